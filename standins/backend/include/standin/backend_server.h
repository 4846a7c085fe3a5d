#pragma once

#include <base/monotonic_clock.h>
#include <standin/backend_settings.h>
#include <standin/http_server.h>
#include <standin/recorder.h>
#include <standin/service_times.h>

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <map>
#include <memory>

namespace orioledrum::standin
{

/// Which connections never answer.
enum class silence : std::uint8_t {
    none,
    existing, ///< Those open when the silence began; new ones work.
    all,
};

/// One backend server on its own loopback port. All calls must be made on the thread of its io_context.
class backend_server : public http_handler
{
public:
    /// @param events Must outlive the server.
    backend_server(asio::io_context &context, backend_settings settings, std::uint64_t seed, recorder &events);
    ~backend_server() override;

    /// @return The port in use, or a message.
    tl::expected<std::uint16_t, std::string> listen();

    [[nodiscard]] const std::string &id() const { return m_settings.id; }
    [[nodiscard]] const std::string &zone() const { return m_settings.zone; }
    [[nodiscard]] asio::io_context &context() { return m_context; }

    /// Applies a control request; nothing changes when any part of it is invalid.
    /// @return Empty when applied, else a message.
    std::string change(const nlohmann::json &value);

    /// @return Counters and state.
    [[nodiscard]] nlohmann::json stats() const;

    /// @return How often each order was run.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &orderRuns() const { return m_orderRuns; }

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    /// What the backend server says about itself.
    struct view {
        time_point when;
        std::string_view state;
        std::uint32_t inUse = 0;
        std::uint32_t slots = 0;
        std::string instance;
        std::string snapshots;
    };

    struct call;
    struct counters;
    struct change_plan;

    [[nodiscard]] bool warm() const { return m_workDone >= m_settings.rampWork; }
    [[nodiscard]] std::string_view state() const;
    [[nodiscard]] std::uint32_t bears() const;
    [[nodiscard]] view currentView() const;
    [[nodiscard]] view reportedView() const;
    [[nodiscard]] http_response withReport(http_response response, const view &seen) const;
    void noteChange();

    void onSearch(const std::shared_ptr<http_connection> &connection, const http_request &request);
    void onOrder(const std::shared_ptr<http_connection> &connection, const http_request &request);
    void onCancel(const std::shared_ptr<http_connection> &connection, const http_request &request);
    void onLoad(const std::shared_ptr<http_connection> &connection, bool health);
    [[nodiscard]] std::shared_ptr<call>
    makeCall(const std::shared_ptr<http_connection> &connection, const http_request &request, bool order) const;
    bool admit(const std::shared_ptr<call> &entry);
    void begin(const std::shared_ptr<call> &entry);
    void finish(const std::shared_ptr<call> &entry);
    void release(const std::shared_ptr<call> &entry, std::string_view outcome);
    void refuse(const std::shared_ptr<call> &entry, int status, std::string_view code, std::string_view message);
    void record(const call &entry, std::string_view outcome) const;
    void restart();
    void dropCalls(std::string_view outcome);
    [[nodiscard]] std::string plan(const nlohmann::json &value, change_plan &result) const;
    std::string apply(const change_plan &changes);

    asio::io_context &m_context;
    backend_settings m_settings;
    recorder &m_recorder;
    http_server m_server;
    service_times m_times;
    random_source m_random;
    std::string m_instance;
    std::uint16_t m_port = 0;
    std::chrono::microseconds m_workDone{0};
    bool m_draining = false;
    silence m_silence = silence::none;
    bool m_silentLosesAnswers = false;
    time_point m_connectionReady;
    std::map<std::uint64_t, std::shared_ptr<call>> m_calls;
    std::uint64_t m_callNumber = 0;
    std::uint32_t m_inUse = 0;
    std::map<std::string, std::uint64_t> m_orderRuns;
    std::deque<view> m_history;
    std::unique_ptr<counters> m_counters;
};

} // namespace orioledrum::standin
