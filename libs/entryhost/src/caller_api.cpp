#include "caller_api.h"

#include "caller_requests.h"
#include "caller_responses.h"
#include "host_shared.h"
#include "order_coordinator.h"
#include "root_searches.h"
#include "worker.h"

#include <config/configuration.h>
#include <orders/ticket_store.h>
#include <transport/http_exchange.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace orioledrum
{

namespace
{

constexpr std::string_view ticketPath = "/v1/orders/tickets";
constexpr std::string_view orderPath = "/v1/orders/";
constexpr std::chrono::milliseconds ticketLifetime{60000}; // Until the first submission; equals the default of ticket_store_settings.
constexpr int lowestPriority = 9; // Least urgent value of customer_share::priority, where 0 is the most urgent.

/// Increments a counter of open requests and decrements it on destruction.
class open_request_guard
{
public:
    explicit open_request_guard(std::shared_ptr<std::atomic<std::size_t>> counter)
        : m_counter(std::move(counter))
    {
        m_counter->fetch_add(1);
    }
    ~open_request_guard() { m_counter->fetch_sub(1); }
    open_request_guard(const open_request_guard &) = delete;
    open_request_guard &operator=(const open_request_guard &) = delete;

private:
    std::shared_ptr<std::atomic<std::size_t>> m_counter;
};

expected<const service_config *> findService(const configuration &config, const service_id &id, service_kind kind)
{
    const auto *service = config.findService(id);
    if (service == nullptr) {
        return makeError(error_code::unknownService, "find service", "there is no service '" + id.str() + "'");
    }
    if (service->kind != kind) {
        return makeError(error_code::unknownService,
                         "find service",
                         "'" + id.str() + "' is a service of kind " + std::string(toString(service->kind)) + ", not "
                             + std::string(toString(kind)));
    }
    return service;
}

/// Returns weight and priority of a customer for admission control. The more urgent of the configured and the requested priority
/// applies; it is converted from the scale of the API, where a greater number is more urgent, to that of admission control, where 0
/// is the most urgent.
customer_share makeCustomerShare(const configuration &config, const customer_id &customer, int requestPriority)
{
    customer_share share;
    int priority = requestPriority;
    if (const auto *configuredCustomer = config.findCustomer(customer)) {
        share.weight = configuredCustomer->weight;
        priority = std::max(priority, static_cast<int>(configuredCustomer->priority));
    }
    share.priority = static_cast<std::uint8_t>(lowestPriority - std::clamp(priority, 0, lowestPriority));
    return share;
}

search_policy makeSearchPolicy(const service_config &service, const caller_search &request)
{
    search_policy policy;
    policy.minCoverage = request.minCoverage.value_or(service.policy.minCoverage);
    policy.pinCoverage = service.policy.minCoverage;
    policy.maxExtraWait = service.policy.extraWait.maximum;
    policy.elapsedFactor = service.policy.extraWait.elapsedFactor;
    return policy;
}

} // namespace

caller_api::caller_api(host_shared &shared)
    : m_shared(shared)
    , m_openRequests(std::make_shared<std::atomic<std::size_t>>(0))
{
}

void caller_api::handle(http_request request, std::shared_ptr<http_exchange> exchange)
{
    if (request.method == "POST" && request.path == "/v1/search") {
        startSearch(request, exchange);
    } else if (request.method == "POST" && request.path == ticketPath) {
        issueTicket(request, exchange);
    } else if (request.method == "PUT" && request.path.starts_with(orderPath) && request.path.size() > orderPath.size()) {
        submitOrder(request, request.path.substr(orderPath.size()), exchange);
    } else {
        exchange->respond(
            errorResponse(404, {error_code::invalidArgument, "there is no " + request.method + " " + request.path, "route request", {}}));
    }
}

expected<void> caller_api::checkReadyToServe()
{
    if (!m_shared.configFreshness.mayStartWork(monotonic_clock::now())) {
        return makeError(error_code::notReady, "check readiness", "this entry host waits for a confirmation of its configuration; not run");
    }
    if (!m_shared.routing.read()->config) {
        return makeError(error_code::notReady, "check readiness", "this entry host has no configuration yet; not run");
    }
    return {};
}

void caller_api::refuse(const exchange_ptr &exchange, const error &failure)
{
    m_shared.metrics.requestRefused(toString(failure.code));
    m_shared.record(event_kind::requestRefused, {}, std::string(toString(failure.code)));
    exchange->respond(errorResponse(statusFor(failure.code), failure));
}

void caller_api::startSearch(const http_request &request, const exchange_ptr &exchange)
{
    const auto receivedAt = monotonic_clock::now();
    const auto parsed = parseSearch(request.body);
    if (!parsed) {
        refuse(exchange, parsed.error());
        return;
    }
    if (const auto readiness = checkReadyToServe(); !readiness) {
        refuse(exchange, readiness.error());
        return;
    }
    const auto routing = m_shared.routing.read();
    const auto service = findService(*routing->config, parsed->service, service_kind::search);
    if (!service) {
        refuse(exchange, service.error());
        return;
    }
    const auto admitted = m_shared.admissionControl.admit(
        parsed->customer, makeCustomerShare(*routing->config, parsed->customer, parsed->priority), receivedAt);
    if (!admitted) {
        refuse(exchange, admitted.error());
        return;
    }
    static thread_local random_source random = random_source::fromSystem();
    root_query query;
    query.request = request_id(random.hexId());
    query.service = parsed->service;
    query.customer = parsed->customer;
    query.query = parsed->query;
    query.limit = parsed->limit;
    query.policy = makeSearchPolicy(**service, *parsed);
    query.deadline = receivedAt + parsed->deadline.value_or((*service)->policy.defaultDeadline);
    auto openRequest = std::make_shared<open_request_guard>(m_openRequests);
    query.done = [this, openRequest, exchange, receivedAt, id = query.request, customer = parsed->customer](const search_result &result) {
        const auto now = monotonic_clock::now();
        m_shared.admissionControl.release(customer, result.overloaded, now);
        exchange->respond(searchResponse(id, result, std::chrono::duration_cast<std::chrono::milliseconds>(now - receivedAt)));
    };
    auto &target = *m_shared.workers[m_nextWorker.fetch_add(1, std::memory_order_relaxed) % m_shared.workers.size()];
    asio::post(target.context(), [&target, query = std::move(query)]() mutable { target.rootSearches().start(std::move(query)); });
}

void caller_api::issueTicket(const http_request &request, const exchange_ptr &exchange)
{
    const auto parsed = parseTicketRequest(request.body);
    if (!parsed) {
        refuse(exchange, parsed.error());
        return;
    }
    if (const auto readiness = checkReadyToServe(); !readiness) {
        refuse(exchange, readiness.error());
        return;
    }
    const auto routing = m_shared.routing.read();
    if (const auto service = findService(*routing->config, parsed->service, service_kind::order); !service) {
        refuse(exchange, service.error());
        return;
    }
    const auto issued = m_shared.tickets->issue(monotonic_clock::now());
    if (!issued) {
        refuse(exchange, issued.error());
        return;
    }
    exchange->respond(ticketResponse(issued->text(), ticketLifetime));
}

void caller_api::submitOrder(const http_request &request, const std::string &ticketText, const exchange_ptr &exchange)
{
    const auto parsedTicket = ticket::parse(ticketText);
    if (!parsedTicket) {
        refuse(exchange, parsedTicket.error());
        return;
    }
    const auto parsed = parseOrder(request.body);
    if (!parsed) {
        refuse(exchange, parsed.error());
        return;
    }
    // An order whose ticket was issued by another host is forwarded even while this host is not ready, because the issuing host
    // decides whether the order runs.
    const auto routing = m_shared.routing.read();
    auto deadline = parsed->deadline;
    if (routing->config) {
        const auto service = findService(*routing->config, parsed->service, service_kind::order);
        if (!service) {
            refuse(exchange, service.error());
            return;
        }
        deadline = deadline.value_or((*service)->policy.defaultDeadline);
    }
    if (const auto readiness = checkReadyToServe(); !readiness && parsedTicket->host == m_shared.settings.id) {
        refuse(exchange, readiness.error());
        return;
    }
    order_request message;
    message.ticket = ticketText;
    message.service = parsed->service;
    message.customer = parsed->customer;
    message.remaining = deadline.value_or(caller_api_limits::maxDeadline);
    message.body = parsed->order;
    auto openRequest = std::make_shared<open_request_guard>(m_openRequests);
    auto &target = *m_shared.workers[parsedTicket->sequence % m_shared.workers.size()];
    asio::post(target.context(), [&target, openRequest, exchange, message = std::move(message), key = *parsedTicket] {
        target.orderCoordinator().submit(
            key, message, [openRequest, exchange](const order_answer &answer) { exchange->respond(orderResponse(answer)); });
    });
}

} // namespace orioledrum
