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

/// Sends orders to the backend servers whose groups belong to this worker, each attempt at most once. Used on the worker's thread
/// only.
class order_executor
{
public:
    using answer_callback = std::function<void(const order_answer &)>;

    order_executor(host_shared &shared, backend_pool &pool);

    /// Sends an attempt of an order to its backend server, unless the guard recognises a duplicate or refuses the attempt.
    /// @param request The attempt; the group of its backend server belongs to this worker.
    /// @param done Called with the answer; not called for a duplicate of an attempt that is in progress.
    void run(const order_request &request, answer_callback done);

private:
    /// Passes the attempt to the backend pool.
    void sendAttempt(const order_request &request, answer_callback done);
    /// Records the result of the call in the guard.
    /// @return The answer that the guard derives from the result.
    order_answer finishAttempt(const order_request &request, const backend_result &result);
    /// Claims the right to write the attempt, immediately before the write. Refuses the attempt for good when the backend server accepts
    /// no work or when the deadline or the lease has ended.
    /// @param latestCallEnd Latest time at which the call may end under the lease or fixed share.
    /// @return True at most once for an attempt; false when the attempt must not be written.
    bool claimWrite(const order_request &request, time_point latestCallEnd);
    /// @return The entry host assumed to own the group of the backend server; empty when the owner is unknown or this host.
    [[nodiscard]] entry_host_id likelyOwner(const backend_id &backend) const;

    host_shared &m_shared;
    backend_pool &m_pool;
    order_guard m_guard;
};

} // namespace orioledrum
