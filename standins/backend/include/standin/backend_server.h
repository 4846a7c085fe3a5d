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

/// Selects the connections that are never answered.
enum class silence_mode : std::uint8_t {
    none,
    existing, ///< Connections that were open when this mode was set; later connections are answered.
    all, ///< Connections that were open when this mode was set, and later ones.
};

/// Simulates one backend server on its own loopback port. While its io_context runs, all calls
/// except id(), zone() and context() must be made on the thread that runs it.
class backend_server : public http_handler
{
public:
    /// @param seed Seed of the service times and of the choice of partial answers.
    /// @param recording Receives one line per search and order; must outlive the server.
    backend_server(asio::io_context &context, backend_settings settings, std::uint64_t seed, recorder &recording);
    ~backend_server() override;

    /// Listens on the configured port.
    /// @return The port listened on, or an error message.
    tl::expected<std::uint16_t, std::string> listen();

    [[nodiscard]] const std::string &id() const { return m_settings.id; }
    [[nodiscard]] const std::string &zone() const { return m_settings.zone; }
    [[nodiscard]] asio::io_context &context() { return m_context; }

    /// Applies a control request. Changes nothing when any part of the request is invalid.
    /// @return An empty string when applied, otherwise an error message. If only reopening the port fails, the other changes stay applied.
    /// @throws nlohmann::json::exception when a value has the wrong type; nothing is changed then.
    std::string applyControlRequest(const nlohmann::json &value);

    /// @return Counters and current state for GET /control/stats.
    [[nodiscard]] nlohmann::json stats() const;

    /// @return Number of runs by order id.
    [[nodiscard]] const std::map<std::string, std::uint64_t> &orderRuns() const { return m_orderRuns; }

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    /// State and load that response headers, /load and /health report.
    struct load_report {
        time_point time;
        std::string_view state;
        std::uint32_t slotsInUse = 0;
        std::uint32_t usableSlots = 0;
        std::string instance;
        std::string snapshots; ///< Value of X-Snapshots: comma-separated "snapshot:layout" pairs.
    };

    struct incoming_call;
    struct counters;
    struct parsed_changes;

    /// @return True when the service time completed since the last cold start has reached warmUpWork.
    [[nodiscard]] bool warm() const { return m_workDone >= m_settings.warmUpWork; }
    [[nodiscard]] std::string_view state() const;
    /// @return Current concurrency limit. It grows from coldSlots to slots in proportion to the warm-up work done.
    [[nodiscard]] std::uint32_t usableSlots() const;
    [[nodiscard]] load_report currentReport() const;
    /// @return The report for /load and /health, with the load lag and the probe override applied.
    [[nodiscard]] load_report probeReport() const;
    [[nodiscard]] http_response withReportHeaders(http_response response, const load_report &report) const;
    /// Stores the current report for probes that report with a lag; without a lag, clears the stored reports. Called after every change
    /// of the state or load.
    void updateReportHistory();

    void onSearch(const std::shared_ptr<http_connection> &connection, const http_request &request);
    void onOrder(const std::shared_ptr<http_connection> &connection, const http_request &request);
    void onCancel(const std::shared_ptr<http_connection> &connection, const http_request &request);
    /// @param health True for /health, false for /load.
    void onProbe(const std::shared_ptr<http_connection> &connection, bool health);
    /// @param order True for an order, false for a search.
    [[nodiscard]] std::shared_ptr<incoming_call>
    makeCall(const std::shared_ptr<http_connection> &connection, const http_request &request, bool order) const;
    /// Refuses the call when the server is draining, the deadline has passed or all usable slots are in use.
    /// @return True when the call may start, false when it was refused.
    bool admit(const std::shared_ptr<incoming_call> &call);
    /// Occupies a slot and starts a timer for the service time or the deadline, whichever is earlier.
    /// A call that is never answered and has no deadline gets no timer.
    void startCall(const std::shared_ptr<incoming_call> &call);
    /// Ends a call whose service time or deadline has passed. Responds unless the call was chosen to be never answered.
    void finishCall(const std::shared_ptr<incoming_call> &call);
    /// Frees the slot of a call and records its outcome. Sends no response.
    void endCall(const std::shared_ptr<incoming_call> &call, std::string_view outcome);
    /// Records a call that was not started, and responds with an error and X-Not-Run.
    void refuse(const std::shared_ptr<incoming_call> &call, int status, std::string_view code, std::string_view message);
    void record(const incoming_call &call, std::string_view outcome) const;
    /// Simulates a restart of the process: ends all calls and connections, and continues with a new instance id, cold and not draining.
    void restart();
    /// Ends all started calls without a response.
    void dropCalls(std::string_view outcome);
    /// Validates a control request.
    /// @param result Its settings must hold the current settings; receives the changes.
    /// @return An empty string when valid, otherwise an error message.
    /// @throws nlohmann::json::exception when a value has the wrong type.
    [[nodiscard]] std::string parseChanges(const nlohmann::json &value, parsed_changes &result) const;
    std::string applyChanges(const parsed_changes &changes);

    asio::io_context &m_context;
    backend_settings m_settings;
    recorder &m_recorder;
    http_server m_server;
    service_time_sampler m_serviceTimes;
    random_source m_random; ///< Source of instance ids; not seeded.
    std::string m_instance;
    std::uint16_t m_port = 0;
    /// Service time completed since the last cold start; starts at warmUpWork without startCold. Not increased when warm.
    std::chrono::microseconds m_workDone{0};
    bool m_draining = false;
    silence_mode m_silence = silence_mode::none;
    bool m_muteResponsesOnly = false; ///< Silenced connections still handle one request; only its response is dropped.
    time_point m_lastConnectionSetupEnd;
    std::map<std::uint64_t, std::shared_ptr<incoming_call>> m_calls; ///< Started calls that have not ended, by number.
    std::uint64_t m_lastCallNumber = 0;
    std::uint32_t m_slotsInUse = 0;
    std::map<std::string, std::uint64_t> m_orderRuns;
    std::deque<load_report> m_reportHistory; ///< Oldest report first.
    std::unique_ptr<counters> m_counters;
};

} // namespace orioledrum::standin
