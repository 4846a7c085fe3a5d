#include <status_handler.h>

#include <gateway_state.h>
#include <route_explainer.h>
#include <transport/http_exchange.h>

#include <utility>

namespace orioledrum
{

status_handler::status_handler(gateway_state &state, const route_explainer &explainer)
    : m_state(state)
    , m_explainer(explainer)
{
}

bool status_handler::ready() const
{
    return m_state.table && m_state.registry.size() > 0 && m_state.canServeNow && !m_state.stopping;
}

void status_handler::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.path == "/metrics") {
        http_response response;
        response.contentType = "text/plain; version=0.0.4";
        m_state.metrics.setBackendServers(m_state.registry.size());
        const auto learned = m_state.registry.learnedCounts(monotonic_clock::now());
        m_state.metrics.setLearnedLimits(learned.slow, learned.limited);
        m_state.metrics.setHosts(m_state.registry.hostCount());
        m_state.metrics.setReady(ready());
        m_state.metrics.setOmittedLines(m_state.log.omitted());
        m_state.registry.visitAccounts(
            [this](const service_id &service, const call_account &account) { m_state.metrics.setServiceCalls(service.str(), account); });
        response.body = m_state.metrics.text();
        exchange->respond(std::move(response));
        return;
    }
    if (request.path == "/route") {
        const auto asked = route_explainer::question::parse(request.query);
        if (asked) {
            exchange->respond({200, "application/json", {}, m_explainer.explain(*asked, monotonic_clock::now())});
        } else {
            const error reason{error_code::invalidArgument, "the query is not valid", "explain route", request.remoteAddress};
            exchange->respond(errorResponse(400, reason));
        }
        return;
    }
    const bool isReady = ready();
    if (isReady != std::exchange(m_wasReady, isReady)) {
        m_state.log.write("status",
                          isReady ? "ready" : "notReady",
                          {{"config", static_cast<std::int64_t>(m_state.table ? m_state.table->version() : 0)},
                           {"backendServers", static_cast<std::int64_t>(m_state.registry.size())}});
    }
    if (isReady) {
        exchange->respond({200, "application/json", {}, R"({"ready":true})"});
    } else {
        exchange->respond(errorResponse(503, {error_code::notReady, "no routes or no backend servers are known", "check readiness", {}}));
    }
}

} // namespace orioledrum
