#pragma once

#include <orders/ticket.h>
#include <wire/order_messages.h>

#include <base/monotonic_clock.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>
#include <vector>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class order_run;
class peer_client;
struct host_shared;
struct order_target;
struct routing_state;

/// Runs the orders whose ticket this host issued, and forwards every other order to the host that issued its ticket. Used on a
/// worker's thread only.
class order_coordinator
{
public:
    using answer_callback = std::function<void(const order_answer &)>;

    order_coordinator(host_shared &shared, asio::io_context &context, peer_client &peers);
    ~order_coordinator();
    order_coordinator(const order_coordinator &) = delete;
    order_coordinator &operator=(const order_coordinator &) = delete;

    /// Submits an order from a caller or from another entry host.
    /// @param ticket The parsed text of order_request::ticket.
    /// @param request The order; `ticket` and `remaining` are set.
    /// @param done Called exactly once, on any thread, possibly from inside this function.
    void submit(const ticket &ticket, order_request request, answer_callback done);

    /// @return Number of orders in progress whose ticket this host issued.
    [[nodiscard]] std::size_t openOrders() const { return m_activeOrders.size(); }

private:
    struct active_order;
    using active_order_ptr = std::shared_ptr<active_order>;

    void forwardToIssuingHost(const ticket &ticket, const order_request &request, answer_callback done);
    /// Starts the order if this is the first submission with its ticket. Otherwise `done` gets the outcome of the first submission, at
    /// once or when it is known, or a refusal.
    void submitLocally(const ticket &ticket, order_request request, answer_callback done);
    /// @return Replicas of one shard of the service's last layout in the sequence in which to try them, each with the assumed owner of
    /// its group. A hash of the ticket selects the shard. Replicas that accept no work or whose owner is unknown are left out.
    [[nodiscard]] std::vector<order_target> selectTargets(const order_request &request, const routing_state &routing) const;
    /// Executes the actions of the order_run: sends attempts, or delivers the outcome and removes the order.
    void executeActions(const active_order_ptr &order);
    void sendToOwner(const active_order_ptr &order, const entry_host_id &owner, order_request request);
    void armTimer(const active_order_ptr &order);

    host_shared &m_shared;
    asio::io_context &m_context;
    peer_client &m_peers;
    std::unordered_set<active_order_ptr> m_activeOrders;
    std::shared_ptr<bool> m_alive; ///< Set to false by the destructor; callbacks that hold a copy then do nothing.
};

} // namespace orioledrum
