#pragma once

#include <standin/call_limit.h>
#include <standin/http_server.h>

#include <list>
#include <map>
#include <optional>

namespace orioledrum::standin
{

/// How the service is unavailable.
enum class outage_kind : std::uint8_t {
    none,
    closed, ///< Connections are reset and new ones refused.
    silent, ///< Connections stay open and are never answered, also after the outage.
    error, ///< Each call is answered with 503.
};

/// Settings of a revision_service.
struct revision_service_settings {
    std::string path; ///< Path of the resource.
    std::string member; ///< Name of the member that holds the published value.
    std::uint64_t firstRevision = 1;
    std::uint64_t callsPerSecond = 2000;
    std::chrono::milliseconds lag{0}; ///< Time from publishing to being served.
    std::chrono::milliseconds delay{0}; ///< Added to every answer.
};

/// Serves numbered revisions of one JSON value, with a long poll for newer ones.
class revision_service : public http_handler
{
public:
    revision_service(asio::io_context &context, revision_service_settings settings);

    /// @param port 0 to let the system choose.
    /// @return The port in use, or a message.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port);

    /// Gives a value the next revision number and serves it after the lag; the first one is served at once.
    /// @param value JSON text.
    /// @return The revision number.
    std::uint64_t publish(std::string value);

    /// Answers GET /control/stats and POST /control/service.
    /// @return Nothing when the request is neither.
    std::optional<http_response> control(const http_request &request);

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    struct watch {
        std::shared_ptr<http_connection> connection;
        std::uint64_t after = 0;
        asio::steady_timer timer;
    };

    [[nodiscard]] std::uint64_t served() const;
    [[nodiscard]] http_response current() const;
    [[nodiscard]] http_response stats() const;
    http_response change(const http_request &request);
    std::string setOutage(outage_kind outage);
    void makeVisible(std::uint64_t revision);
    void answerWatches();
    void answer(const std::shared_ptr<http_connection> &connection, http_response response);

    asio::io_context &m_context;
    revision_service_settings m_settings;
    http_server m_server;
    call_limit m_limit;
    std::map<std::uint64_t, std::string> m_revisions;
    std::uint64_t m_next;
    std::uint64_t m_visible = 0;
    std::optional<std::uint64_t> m_pinned;
    outage_kind m_outage = outage_kind::none;
    std::uint16_t m_port = 0;
    std::list<watch> m_watches;
    std::uint64_t m_fullAnswers = 0;
    std::uint64_t m_unchangedAnswers = 0;
};

} // namespace orioledrum::standin
