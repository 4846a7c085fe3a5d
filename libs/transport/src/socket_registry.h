#pragma once

#include <memory_account.h>
#include <transport/http_response.h>
#include <transport/request_limits.h>

#include <asio/execution_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace orioledrum
{

class peer_close_watch;

/// What an http_server does with the requests of its connections before its handler receives them.
struct request_policy {
    std::function<request_limits()> limits; ///< Called when a request begins to arrive.
    /// Called for each request that is refused before it is complete, with 413 or 431, or with 503 when there is no memory for it. Returns
    /// the response.
    std::function<http_response(int status)> refuse;
};

/// Counts the accepted HTTP connections of one io_context and the bytes that they hold, for the limits on both, and records those that wait
/// for their client, so that they can be closed.
class socket_registry : public asio::execution_context::service
{
public:
    using key_type = socket_registry;
    static asio::execution_context::id id;

    explicit socket_registry(asio::execution_context &context);

    void addConnection();
    void removeConnection();
    [[nodiscard]] std::size_t connectionCount() const;

    /// A connection has arrived. When there are maxConnections already, closes the one that has waited longest for its client, if one has
    /// for at least minRoomWait: within a request first, which gets a 408, then within a response, then one without a request.
    /// @return Whether there is room for the new connection.
    bool makeRoom(std::size_t maxConnections);
    /// Longer than callers that make progress wait for the network, short against the timeouts that would close a silent one.
    static constexpr std::chrono::milliseconds minRoomWait{1000};

    /// Raises the budget of the bytes that all connections hold; see memory_account. 0 changes nothing.
    void setMemoryBudget(std::size_t bytes);
    /// Sets the policy of the server at an address; null removes it.
    void setPolicy(const asio::ip::tcp::endpoint &address, std::shared_ptr<const request_policy> policy);
    /// @param local Local address of an accepted connection.
    /// @return The policy of its server, or null.
    [[nodiscard]] std::shared_ptr<const request_policy> policy(const asio::ip::tcp::endpoint &local) const;

    /// Adds a connection to the account of bytes; the functions below are those of memory_account. Connections that must be closed for
    /// others are shut down.
    memory_account::holder_id addHolder(int descriptor);
    /// Must be called before the descriptor is closed.
    void removeHolder(memory_account::holder_id holder);
    bool setHolder(memory_account::holder_id holder, memory_account::phase waitsFor, std::size_t bytes);
    bool growHolder(memory_account::holder_id holder, std::size_t bytes);
    void recordTransfer(memory_account::holder_id holder, std::size_t bytes);
    [[nodiscard]] bool admitsLarge(std::size_t bytes) const;
    [[nodiscard]] std::size_t heldBytes() const;

    /// Records that a socket waits for data and has no partly received request.
    /// @param since Start of the wait.
    void addIdle(int descriptor, std::chrono::steady_clock::time_point since);
    /// Must be called before the descriptor is closed.
    void removeIdle(int descriptor);

    /// Records that a socket waits for the rest of the head of a request.
    /// @param since When the first bytes of the request arrived.
    void addUnfinishedHead(int descriptor, memory_account::holder_id holder, std::chrono::steady_clock::time_point since);
    /// Records that a socket waits for the rest of the body of a request, whose progress the account knows.
    void addUnfinishedBody(int descriptor, memory_account::holder_id holder);
    /// Must be called when the wait has ended, before the descriptor is closed.
    void removeUnfinished(int descriptor);

    /// Records that a socket waits until its client takes more bytes of a response.
    void addWriting(int descriptor);
    /// Must be called when the wait has ended, before the descriptor is closed.
    void removeWriting(int descriptor);

    /// Shuts down the sockets whose client has taken no byte for at least the given time.
    void shutdownStalledWrites(std::chrono::milliseconds after);

    /// Shuts down reading on the sockets that have been idle for at least the given time. Data that has already arrived is
    /// still read.
    void shutdownIdle(std::chrono::milliseconds idleFor);

    /// Shuts down the sockets that have waited for the rest of a head for at least headTime, or whose body has made no progress for at
    /// least bodyTime. They receive a 408, because such a request never runs. 0: no limit.
    void shutdownUnfinished(std::chrono::milliseconds headTime, std::chrono::milliseconds bodyTime);

    /// Sets the watch of the connection whose input is being parsed on the calling thread. RESTinio calls the request handler
    /// while it parses, so that a new exchange can get the watch of its connection from currentWatch().
    /// @param watch The watch, or null when parsing has ended.
    static void setCurrentWatch(std::shared_ptr<peer_close_watch> watch);
    /// @return The watch of the connection whose input is being parsed on the calling thread, or null.
    [[nodiscard]] static std::shared_ptr<peer_close_watch> currentWatch();

private:
    void shutdown() noexcept override {}

    /// Ends an incomplete request and its connection. Called with the lock held.
    void endUnfinished(int descriptor, memory_account::holder_id holder);
    /// Shuts down the sockets that the account has decided to close. Called with the lock held.
    void shutdownClosedHolders();

    mutable std::mutex m_mutex;
    memory_account m_account{0};
    std::unordered_map<memory_account::holder_id, int> m_holderDescriptors;
    std::map<asio::ip::tcp::endpoint, std::shared_ptr<const request_policy>> m_policies; ///< By address of the server.
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_idle; ///< Start of the idle time by descriptor.
    struct unfinished_head {
        memory_account::holder_id holder = 0;
        std::chrono::steady_clock::time_point since; ///< Arrival of the first bytes.
    };

    std::unordered_map<int, unfinished_head> m_unfinishedHeads; ///< By descriptor.
    std::unordered_map<int, memory_account::holder_id> m_unfinishedBodies; ///< By descriptor.
    std::unordered_map<int, std::chrono::steady_clock::time_point> m_writing; ///< Start of the pending write by descriptor.
    std::size_t m_connectionCount = 0;
    std::size_t m_connectionsMadeRoom = 0; ///< Closed by makeRoom() and still counted.
};

} // namespace orioledrum
