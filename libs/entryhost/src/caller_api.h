#pragma once

#include <base/error.h>
#include <transport/http_handler.h>

#include <atomic>
#include <memory>

namespace orioledrum
{

struct host_shared;

/// The HTTP API for callers: searches, tickets and orders.
class caller_api : public http_handler
{
public:
    explicit caller_api(host_shared &shared);

    void handle(http_request request, std::shared_ptr<http_exchange> exchange) override;

    /// @return Searches and orders that have not been answered.
    [[nodiscard]] std::size_t openRequests() const { return m_open->load(); }

private:
    using exchange_ptr = std::shared_ptr<http_exchange>;

    void search(const http_request &request, const exchange_ptr &exchange);
    void mintTicket(const http_request &request, const exchange_ptr &exchange);
    void order(const http_request &request, const std::string &ticketText, const exchange_ptr &exchange);
    void refuse(const exchange_ptr &exchange, const error &failure);
    [[nodiscard]] expected<void> checkServing();

    host_shared &m_shared;
    std::atomic<std::size_t> m_nextWorker{0};
    std::shared_ptr<std::atomic<std::size_t>> m_open;
};

} // namespace orioledrum
