#pragma once

#include <standin/call_limit.h>
#include <standin/http_server.h>

#include <list>
#include <map>
#include <optional>

namespace orioledrum::standin
{

/// Kind of simulated outage.
enum class outage_kind : std::uint8_t {
    none,
    closed, ///< Open connections are reset, and the port is closed.
    silent, ///< Open and new connections are never answered, not even after the outage.
    error, ///< Every call within the rate limit is answered with 503.
};

struct revision_service_settings {
    std::string path; ///< Path of the served resource.
    std::string valueMember; ///< Name of the JSON member that holds the published value.
    std::uint64_t firstRevision = 1;
    std::uint64_t callsPerSecond = 2000; ///< Calls above this rate are answered with 429; 0 for no limit.
    std::chrono::milliseconds lag{0}; ///< Delay between publishing a revision and serving it.
    std::chrono::milliseconds delay{0}; ///< Added before every response.
};

/// HTTP service for numbered revisions of one JSON value, with long polls for newer revisions. A value must be published before the
/// first request.
class revision_service : public http_handler
{
public:
    revision_service(asio::io_context &context, revision_service_settings settings);

    /// @param port 0 lets the system choose a free port.
    /// @return The port listened on, or an error message.
    tl::expected<std::uint16_t, std::string> listen(std::uint16_t port);

    /// Stores a value under the next revision number and serves it after the lag. The first value is served at once.
    /// @param value JSON text.
    /// @return The revision number of the value.
    std::uint64_t publish(std::string value);

    /// Answers GET /control/stats and POST /control/service.
    /// @return std::nullopt for any other request.
    std::optional<http_response> handleControl(const http_request &request);

    std::chrono::microseconds onConnect(const std::shared_ptr<http_connection> &connection) override;
    void onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request) override;
    void onClose(const std::shared_ptr<http_connection> &connection) override;

private:
    /// A long poll that waits for a revision greater than `after`.
    struct watch {
        std::shared_ptr<http_connection> connection;
        std::uint64_t after = 0;
        asio::steady_timer timer;
    };

    /// @return The pinned revision if one is set, otherwise the visible one.
    [[nodiscard]] std::uint64_t servedRevision() const;
    [[nodiscard]] http_response currentResponse() const;
    [[nodiscard]] http_response statsResponse() const;
    /// Applies POST /control/service. If only reopening the port fails, the other changes stay applied.
    http_response changeSettings(const http_request &request);
    /// @return An empty string, or an error message when the port cannot be reopened.
    std::string setOutage(outage_kind outage);
    void makeVisible(std::uint64_t revision);
    /// Answers the watches for which the served revision is new enough.
    void completeWatches();
    /// Counts the response and sends it after the configured delay.
    void sendResponse(const std::shared_ptr<http_connection> &connection, http_response response);

    asio::io_context &m_context;
    revision_service_settings m_settings;
    http_server m_server;
    call_rate_limiter m_rateLimiter;
    std::map<std::uint64_t, std::string> m_revisions;
    std::uint64_t m_nextRevision;
    std::uint64_t m_visibleRevision = 0; ///< Newest revision whose lag has passed; 0 before the first publish().
    std::optional<std::uint64_t> m_pinnedRevision; ///< Served instead of the visible revision (control key serveRevision).
    outage_kind m_outage = outage_kind::none;
    std::uint16_t m_port = 0;
    std::list<watch> m_watches;
    std::uint64_t m_fullAnswers = 0; ///< Responses with status 200.
    std::uint64_t m_unchangedAnswers = 0; ///< Responses with status 304.
};

} // namespace orioledrum::standin
