#include <standin/revision_service.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace orioledrum::standin
{

namespace
{

using json = nlohmann::json;

// In the order of outage_kind.
constexpr std::array<std::string_view, 4> outageNames = {"none", "closed", "silent", "error"};
constexpr std::int64_t maxWatchMs = 60000;

/// @param value Name of an outage; true stands for closed, false for none.
/// @return std::nullopt for an unknown name.
/// @throws nlohmann::json::exception when the value is neither text nor a boolean.
std::optional<outage_kind> parseOutage(const json &value)
{
    if (value.is_boolean()) {
        return value.get<bool>() ? outage_kind::closed : outage_kind::none;
    }
    const auto found = std::find(outageNames.begin(), outageNames.end(), value.get<std::string>());
    if (found == outageNames.end()) {
        return std::nullopt;
    }
    return static_cast<outage_kind>(found - outageNames.begin());
}

} // namespace

revision_service::revision_service(asio::io_context &context, revision_service_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_server(context, *this)
    , m_rateLimiter(m_settings.callsPerSecond)
    , m_nextRevision(m_settings.firstRevision)
{
}

tl::expected<std::uint16_t, std::string> revision_service::listen(std::uint16_t port)
{
    auto result = m_server.listen(port);
    if (result) {
        m_port = *result;
    }
    return result;
}

std::uint64_t revision_service::publish(std::string value)
{
    const std::uint64_t revision = m_nextRevision++;
    m_revisions[revision] = std::move(value);
    if (m_visibleRevision == 0 || m_settings.lag.count() == 0) {
        makeVisible(revision);
        return revision;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_settings.lag);
    timer->async_wait([this, revision, timer](std::error_code error) {
        if (!error) {
            makeVisible(revision);
        }
    });
    return revision;
}

void revision_service::makeVisible(std::uint64_t revision)
{
    // A later revision may already be visible if the lag was shortened in the meantime.
    m_visibleRevision = std::max(m_visibleRevision, revision);
    completeWatches();
}

std::uint64_t revision_service::servedRevision() const
{
    return m_pinnedRevision.value_or(m_visibleRevision);
}

http_response revision_service::currentResponse() const
{
    const auto found = m_revisions.find(servedRevision());
    return {200, {}, R"({"revision":)" + std::to_string(servedRevision()) + ",\"" + m_settings.valueMember + "\":" + found->second + "}"};
}

void revision_service::sendResponse(const std::shared_ptr<http_connection> &connection, http_response response)
{
    if (response.status == 200) {
        ++m_fullAnswers;
    } else if (response.status == 304) {
        ++m_unchangedAnswers;
    }
    if (m_settings.delay.count() == 0) {
        connection->respond(response);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_settings.delay);
    timer->async_wait([connection, timer, response = std::move(response)](std::error_code error) {
        if (!error) {
            connection->respond(response);
        }
    });
}

void revision_service::completeWatches()
{
    for (auto position = m_watches.begin(); position != m_watches.end();) {
        if (servedRevision() > position->after) {
            const auto connection = position->connection;
            position = m_watches.erase(position);
            sendResponse(connection, currentResponse());
        } else {
            ++position;
        }
    }
}

std::chrono::microseconds revision_service::onConnect(const std::shared_ptr<http_connection> &connection)
{
    if (m_outage == outage_kind::silent) {
        connection->mute();
    }
    return std::chrono::microseconds{0};
}

void revision_service::onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    if (!m_rateLimiter.admit(call_rate_limiter::clock::now())) {
        sendResponse(connection, errorResponse(429, "overloaded", "The limit of calls a second is reached."));
        return;
    }
    if (m_outage == outage_kind::error) {
        sendResponse(connection, errorResponse(503, "notReady", "The service is unavailable."));
        return;
    }
    if (request.method != "GET" || request.path != m_settings.path) {
        sendResponse(connection, errorResponse(404, "invalidArgument", "Only GET " + m_settings.path + " is served."));
        return;
    }
    const auto after = request.queryNumber("after");
    const auto waitMs = request.queryNumber("waitMs");
    const bool afterInvalid = request.query.contains("after") && (!after || *after < 0);
    const bool waitInvalid = request.query.contains("waitMs") && (!waitMs || *waitMs < 0 || *waitMs > maxWatchMs);
    if (afterInvalid || waitInvalid) {
        sendResponse(connection, errorResponse(400, "invalidArgument", "after must be a revision and waitMs a number from 0 to 60000."));
        return;
    }
    if (!after || servedRevision() > static_cast<std::uint64_t>(*after)) {
        sendResponse(connection, currentResponse());
        return;
    }
    if (waitMs.value_or(0) == 0) {
        sendResponse(connection, {304, {}, {}});
        return;
    }
    m_watches.push_back(
        {connection, static_cast<std::uint64_t>(*after), asio::steady_timer(m_context, std::chrono::milliseconds(*waitMs))});
    m_watches.back().timer.async_wait([this, connection](std::error_code error) {
        if (error) {
            return;
        }
        const auto found =
            std::find_if(m_watches.begin(), m_watches.end(), [&](const watch &entry) { return entry.connection == connection; });
        if (found != m_watches.end()) {
            m_watches.erase(found);
            sendResponse(connection, {304, {}, {}});
        }
    });
}

void revision_service::onClose(const std::shared_ptr<http_connection> &connection)
{
    m_watches.remove_if([&](const watch &entry) { return entry.connection == connection; });
    m_server.removeConnection(connection);
}

std::string revision_service::setOutage(outage_kind outage)
{
    m_outage = outage;
    if (outage == outage_kind::closed) {
        m_server.stopListening();
        m_server.closeConnections(true);
        return {};
    }
    if (outage == outage_kind::silent) {
        m_server.forEachConnection([](http_connection &connection) { connection.mute(); });
    }
    if (!m_server.listening()) {
        const auto result = m_server.listen(m_port);
        return result ? std::string{} : result.error();
    }
    return {};
}

http_response revision_service::changeSettings(const http_request &request)
{
    const auto body = json::parse(request.body);
    static constexpr std::array<std::string_view, 5> knownKeys = {"outage", "serveRevision", "delayMs", "lagMs", "callsPerSecond"};
    for (const auto &[key, value] : body.items()) {
        if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end()) {
            return errorResponse(400, "invalidArgument", "Unknown key " + key + ".");
        }
    }
    // Validate all keys first so that an invalid request changes nothing.
    std::optional<outage_kind> outage;
    if (body.contains("outage")) {
        outage = parseOutage(body["outage"]);
        if (!outage) {
            return errorResponse(400, "invalidArgument", "outage must be none, closed, silent or error.");
        }
    }
    auto pinnedRevision = m_pinnedRevision;
    if (body.contains("serveRevision")) {
        pinnedRevision = body["serveRevision"].is_null() ? std::nullopt : std::optional(body["serveRevision"].get<std::uint64_t>());
        if (pinnedRevision && !m_revisions.contains(*pinnedRevision)) {
            return errorResponse(404, "invalidArgument", "Revision " + std::to_string(*pinnedRevision) + " was never published.");
        }
    }
    const auto delayMs = body.value("delayMs", m_settings.delay.count());
    const auto lagMs = body.value("lagMs", m_settings.lag.count());
    const auto callsPerSecond = body.value("callsPerSecond", static_cast<std::int64_t>(m_rateLimiter.limit()));
    if (delayMs < 0 || lagMs < 0 || callsPerSecond < 0) {
        return errorResponse(400, "invalidArgument", "delayMs, lagMs and callsPerSecond must not be negative.");
    }
    m_settings.delay = std::chrono::milliseconds(delayMs);
    m_settings.lag = std::chrono::milliseconds(lagMs);
    m_rateLimiter.setLimit(static_cast<std::uint64_t>(callsPerSecond));
    m_pinnedRevision = pinnedRevision;
    if (outage) {
        if (const std::string problem = setOutage(*outage); !problem.empty()) {
            return errorResponse(409, "unreachable", problem);
        }
    }
    completeWatches();
    return statsResponse();
}

http_response revision_service::statsResponse() const
{
    const json body = {{"port", m_port},
                       {"revision", servedRevision()},
                       {"newestRevision", m_nextRevision - 1},
                       {"calls", m_rateLimiter.calls()},
                       {"refused", m_rateLimiter.refused()},
                       {"peakCallsPerSecond", m_rateLimiter.peakPerSecond()},
                       {"callsPerSecond", m_rateLimiter.limit()},
                       {"fullAnswers", m_fullAnswers},
                       {"unchangedAnswers", m_unchangedAnswers},
                       {"waiting", m_watches.size()},
                       {"connections", m_server.connectionCount()},
                       {"outage", outageNames[static_cast<std::size_t>(m_outage)]},
                       {"delayMs", m_settings.delay.count()},
                       {"lagMs", m_settings.lag.count()}};
    return {200, {}, body.dump()};
}

std::optional<http_response> revision_service::handleControl(const http_request &request)
{
    if (request.method == "GET" && request.path == "/control/stats") {
        return statsResponse();
    }
    if (request.method == "POST" && request.path == "/control/service") {
        return changeSettings(request);
    }
    return std::nullopt;
}

} // namespace orioledrum::standin
