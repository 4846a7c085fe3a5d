#pragma once

#include <base/error.h>
#include <transport/http_handler.h>

#include <atomic>
#include <memory>

namespace orioledrum
{

struct host_shared;

/// HTTP API for callers: searches, tickets and orders. Validates requests, issues tickets, applies admission control to
/// searches, and passes searches and orders to workers.
class caller_api : public http_handler
{
public:
    explicit caller_api(host_shared &shared);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// @return Number of accepted searches and orders that have not been answered yet.
    [[nodiscard]] std::size_t openRequests() const { return m_openRequests->load(); }

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void startSearch(const http_request &request, const exchange_ptr &exchange);
    void issueTicket(const http_request &request, const exchange_ptr &exchange);
    void submitOrder(const http_request &request, const std::string &ticketText, const exchange_ptr &exchange);
    /// Records a refusal in metrics and timeline, and responds with the error.
    void refuse(const exchange_ptr &exchange, const error &failure);
    /// @return The error notReady while this host has no configuration or its configuration is stale.
    [[nodiscard]] expected<void> checkReadyToServe();

    host_shared &m_shared;
    std::atomic<std::size_t> m_nextWorker{0};
    std::shared_ptr<std::atomic<std::size_t>> m_openRequests;
};

} // namespace orioledrum
