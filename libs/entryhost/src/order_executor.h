#pragma once

#include <orders/order_guard.h>
#include <wire/order_messages.h>

#include <functional>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class backend_pool;
struct backend_result;
struct host_shared;

/// Hands orders to the backend servers that this worker owns, each attempt at most once. Belongs to the worker's thread.
class order_executor
{
public:
    using answer_callback = std::function<void(const order_answer &)>;

    order_executor(host_shared &shared, backend_pool &pool);

    /// Runs an attempt of an order.
    /// @param request The order with its backend server; the group belongs to this worker.
    /// @param done Called with the answer; not called for a duplicate of an attempt in progress.
    void run(const order_request &request, answer_callback done);

private:
    void submit(const order_request &request, answer_callback done);
    order_answer conclude(const order_request &request, const backend_result &result);
    bool checkBeforeWrite(const order_request &request, time_point leaseEnd);
    [[nodiscard]] entry_host_id holderOf(const backend_id &backend) const;

    host_shared &m_shared;
    backend_pool &m_pool;
    order_guard m_guard;
};

} // namespace orioledrum
