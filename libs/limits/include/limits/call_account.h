#pragma once

#include <cstdint>

namespace orioledrum
{

/// Counts the calls of this host to one service that were decided, and the requests that were written for them. A request that was
/// written without such a decision is a defect: no limit on extra calls knows of it. Not thread-safe.
class call_account
{
public:
    /// A request was assigned to the service for the first time.
    void recordFirstCall() { ++m_firstCalls; }
    /// A retry or a hedge was decided and took its token.
    void recordExtraCall() { ++m_extraCalls; }
    /// A request is about to be written to a connection.
    void recordWrite() { ++m_writes; }
    /// A decided call ended before its request was written.
    void recordNotWritten() { ++m_notWritten; }

    [[nodiscard]] std::uint64_t firstCalls() const { return m_firstCalls; }
    [[nodiscard]] std::uint64_t extraCalls() const { return m_extraCalls; }
    [[nodiscard]] std::uint64_t writes() const { return m_writes; }
    [[nodiscard]] std::uint64_t notWritten() const { return m_notWritten; }

    /// @return Number of requests written beyond the decided calls. Calls that still wait for their connection can hide some until they
    /// end.
    [[nodiscard]] std::uint64_t unaccountedWrites() const
    {
        const auto ended = m_writes + m_notWritten;
        const auto decided = m_firstCalls + m_extraCalls;
        return ended > decided ? ended - decided : 0;
    }

private:
    std::uint64_t m_firstCalls = 0;
    std::uint64_t m_extraCalls = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_notWritten = 0;
};

} // namespace orioledrum
