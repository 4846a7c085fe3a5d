#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Accounts for the bytes that clients make a process hold, by connection, and decides which of them to refuse. New large requests are
/// refused first, from half of the budget on; then the clients that have made no progress for longest are closed. A request that is not
/// large is never refused, and a request that is being handled is never closed, because it may run. No I/O; not thread-safe.
class memory_account
{
public:
    using time_point = std::chrono::steady_clock::time_point;
    using holder_id = std::uint64_t;

    /// What a connection waits for.
    enum class phase {
        idle, ///< For a request.
        receiving, ///< For more of a request.
        handling, ///< For the handler.
        sending, ///< For its client to take a response.
    };

    /// A request that takes more bytes than this is large. Twice the usual limit of heads, 16 KiB, so that a request with a head within
    /// that limit and a body of its size is not large.
    static constexpr std::size_t maxOrdinaryBytes = std::size_t{32} * 1024;
    /// What a connection takes before its first request: a read buffer of 4 KiB, the state of the parser and of the socket.
    static constexpr std::size_t connectionBytes = std::size_t{8} * 1024;
    /// A client makes progress whenever it has sent or taken this many bytes. Clients that send single bytes make none.
    static constexpr std::size_t progressBytes = std::size_t{1} * 1024;

    /// @param budget In bytes; 0: no limit.
    explicit memory_account(std::size_t budget)
        : m_budget(budget)
    {
    }

    /// Adds a connection.
    holder_id add(time_point now);
    /// Removes a connection; its bytes no longer count.
    void remove(holder_id id);

    /// Sets what a connection waits for, and the bytes that its request or response takes. Counts as progress.
    /// @return False when the connection was closed before; its request must not be handled.
    bool set(holder_id id, phase waitsFor, std::size_t bytes, time_point now);

    /// Adds bytes that a connection has received.
    /// @return False when the request must be refused: it is large, and the budget is used up by requests that must not be closed.
    bool grow(holder_id id, std::size_t bytes, time_point now);

    /// Records that a client has sent or taken bytes that are not held, or no longer.
    void recordTransfer(holder_id id, std::size_t bytes, time_point now);

    /// Records that a connection is closed for another reason, so that its request is not handled.
    void close(holder_id id);

    /// @param bytes Size that a large request is going to have.
    /// @return Whether it may be read.
    [[nodiscard]] bool admitsLarge(std::size_t bytes) const;

    /// A connection that must be closed.
    struct closed_holder {
        holder_id id = 0;
        phase waitedFor = phase::idle;
    };

    /// @return The connections to close since the last call.
    std::vector<closed_holder> takeClosed();

    /// @return Bytes in use, without those of connections that are to be closed.
    [[nodiscard]] std::size_t used() const { return m_requestBytes + m_connections * connectionBytes; }
    [[nodiscard]] std::size_t budget() const { return m_budget; }
    void setBudget(std::size_t budget) { m_budget = budget; }
    /// @return When the client of a connection made progress last.
    [[nodiscard]] time_point lastProgress(holder_id id) const;

private:
    struct holder {
        phase waitsFor = phase::idle;
        std::size_t bytes = 0;
        std::size_t transferred = 0; ///< Bytes since the last progress.
        time_point progressAt;
        bool closed = false;
    };

    static bool isLarge(const holder &entry) { return entry.bytes > maxOrdinaryBytes; }
    /// Closes connections until the budget is kept or no candidate is left.
    /// @param except A connection that is not closed.
    void closeSlowest(holder_id except);
    void forget(holder &entry);

    std::size_t m_budget;
    std::size_t m_requestBytes = 0; ///< Of requests and responses.
    std::size_t m_connections = 0; ///< Number of connections that are not to be closed.
    holder_id m_lastId = 0;
    std::unordered_map<holder_id, holder> m_holders;
    std::vector<closed_holder> m_closed;
};

} // namespace orioledrum
