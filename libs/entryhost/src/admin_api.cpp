#include "admin_api.h"

#include "backend_pool.h"
#include "control_plane.h"
#include "host_shared.h"
#include "worker.h"

#include <config/configuration.h>
#include <transport/http_exchange.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <mutex>
#include <optional>

namespace orioledrum
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxTimelineEvents = 10000;

http_response textResponse(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.contentType = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

http_response jsonResponse(std::string body)
{
    http_response response;
    response.body = std::move(body);
    return response;
}

/// Takes a time that depends only on the length of `received`, so that the response time does not reveal how many characters match.
bool constantTimeEquals(std::string_view received, std::string_view correct)
{
    unsigned difference = received.size() == correct.size() ? 0 : 1;
    for (std::size_t index = 0; index < received.size(); ++index) {
        difference |=
            static_cast<unsigned char>(received[index]) ^ static_cast<unsigned char>(correct.empty() ? 0 : correct[index % correct.size()]);
    }
    return difference == 0;
}

/// @return The value of a query parameter, nothing when it is missing, or invalidArgument when it is not a number.
expected<std::optional<std::uint64_t>> parseNumberParameter(const std::string &query, std::string_view name)
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto item = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        if (!item.starts_with(name) || item.size() <= name.size() || item[name.size()] != '=') {
            continue;
        }
        const auto value = item.substr(name.size() + 1);
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
        if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size()) {
            return makeError(error_code::invalidArgument,
                             "read query parameter",
                             "'" + std::string(name) + "' is '" + std::string(value) + "'; expected a number");
        }
        return std::optional(number);
    }
    return std::optional<std::uint64_t>();
}

json configToJson(const configuration &config)
{
    json services = json::object();
    for (const auto &service : config.services()) {
        json layouts = json::array();
        for (const auto &layout : service.layouts) {
            layouts.push_back({{"layout", layout.id}, {"shards", layout.shards.size()}});
        }
        services[service.id.str()] = {{"kind", toString(service.kind)},
                                      {"minCoverage", service.policy.minCoverage},
                                      {"deadlineMs", service.policy.defaultDeadline.count()},
                                      {"backendServers", service.backendIndexes.size()},
                                      {"layouts", std::move(layouts)}};
    }
    json backends = json::object();
    for (const auto &backend : config.backendServers()) {
        backends[backend.id.str()] = {{"zone", backend.zone.str()},
                                      {"address", backend.address},
                                      {"slots", backend.slots},
                                      {"coldSlots", backend.coldSlots},
                                      {"connections", backend.connections}};
    }
    return {{"revision", config.revision()}, {"services", std::move(services)}, {"backendServers", std::move(backends)}};
}

} // namespace

admin_api::admin_api(host_shared &shared, control_plane &control)
    : m_shared(shared)
    , m_control(control)
{
}

bool admin_api::authorized(const http_request &request) const
{
    constexpr std::string_view scheme = "Bearer ";
    const auto header = headerValue(request.headers, "Authorization");
    return header.starts_with(scheme) && constantTimeEquals(header.substr(scheme.size()), m_shared.settings.adminToken);
}

void admin_api::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.method != "GET") {
        exchange->respond(errorResponse(405, {error_code::invalidArgument, "only GET is allowed", "route request", {}}));
    } else if (request.path == "/livez") {
        exchange->respond(textResponse(200, "ok\n"));
    } else if (request.path == "/readyz") {
        const bool ready = m_shared.ready.load();
        exchange->respond(textResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
    } else if (request.path == "/metrics") {
        exchange->respond(textResponse(200, m_shared.metrics.serialize()));
    } else if (!authorized(request)) {
        exchange->respond(errorResponse(401, {error_code::unauthorized, "the bearer token is missing or wrong", "authorize", {}}));
    } else if (request.path == "/admin/v1/status") {
        respondWithStatus(exchange);
    } else if (request.path == "/admin/v1/timeline") {
        respondWithTimeline(request, exchange);
    } else if (request.path == "/admin/v1/backends") {
        respondWithBackends(exchange);
    } else if (request.path == "/admin/v1/config") {
        const auto routing = m_shared.routing.read();
        if (!routing->config) {
            exchange->respond(errorResponse(503, {error_code::notReady, "there is no configuration yet", "read configuration", {}}));
            return;
        }
        exchange->respond(jsonResponse(configToJson(*routing->config).dump()));
    } else {
        exchange->respond(errorResponse(404, {error_code::invalidArgument, "there is no " + request.path, "route request", {}}));
    }
}

void admin_api::respondWithStatus(const std::shared_ptr<http_exchange> &exchange)
{
    asio::post(m_control.context(), [this, exchange] { exchange->respond(jsonResponse(m_control.statusJson())); });
}

void admin_api::respondWithTimeline(const http_request &request, const std::shared_ptr<http_exchange> &exchange)
{
    const auto after = parseNumberParameter(request.query, "after");
    const auto limit = parseNumberParameter(request.query, "limit");
    if (!after || !limit) {
        exchange->respond(errorResponse(400, after ? limit.error() : after.error()));
        return;
    }
    json events = json::array();
    for (const auto &entry :
         m_shared.events.eventsAfter(after->value_or(0), std::min<std::size_t>(limit->value_or(maxTimelineEvents), maxTimelineEvents))) {
        events.push_back({{"sequence", entry.sequence},
                          {"wallTimeUs", std::chrono::duration_cast<std::chrono::microseconds>(entry.wallTime.time_since_epoch()).count()},
                          {"kind", toString(entry.kind)},
                          {"request", entry.request.str()},
                          {"peer", entry.peer},
                          {"detail", entry.detail}});
    }
    exchange->respond(jsonResponse(
        json{{"host", m_shared.settings.id.str()}, {"events", std::move(events)}}.dump(-1, ' ', false, json::error_handler_t::replace)));
}

void admin_api::respondWithBackends(const std::shared_ptr<http_exchange> &exchange)
{
    struct status_collector {
        std::mutex mutex; // Guards the other members, because the workers report on several threads.
        std::size_t pendingWorkers = 0;
        json list = json::array();
    };
    auto collector = std::make_shared<status_collector>();
    collector->pendingWorkers = m_shared.workers.size();
    for (const auto &worker : m_shared.workers) {
        auto &target = *worker;
        asio::post(target.context(), [&target, collector, exchange] {
            const auto entries = target.pool().status();
            const std::lock_guard lock(collector->mutex);
            for (const auto &entry : entries) {
                collector->list.push_back({{"backend", entry.backend.str()},
                                           {"group", entry.group.str()},
                                           {"state", toString(entry.state)},
                                           {"limit", entry.limit},
                                           {"occupied", entry.occupied},
                                           {"queued", entry.queued},
                                           {"connections", entry.connections}});
            }
            if (--collector->pendingWorkers == 0) {
                exchange->respond(jsonResponse(json{{"backendServers", collector->list}}.dump()));
            }
        });
    }
}

} // namespace orioledrum
