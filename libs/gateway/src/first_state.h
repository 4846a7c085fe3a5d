#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Decides from whom a host that starts gets its first state: from a reader of its zone, so that the number of reads of the full list does
/// not grow with the number of hosts, or from the source.
///
/// Until the hosts of the zone are known, it waits at most `peerWait`. A host that is no reader, by the hosts that it knows so far, is none
/// when it knows more, and asks at once; a reader that is still reading the list holds the question. One that may be a reader asks the
/// others for what they have already, and reads the source at the end of `peerWait`. A host that knows hosts of other zones and none of its
/// own waits only `aloneWait`. All waits end at one deadline.
///
/// A state machine without I/O. Not thread-safe.
class first_state
{
public:
    /// Limits, as parts of the bound on changes.
    struct timing {
        std::chrono::milliseconds peerWait{0}; ///< Until the hosts of the zone are known.
        std::chrono::milliseconds aloneWait{0}; ///< The same while hosts of other zones are known, but none of this one.
        std::chrono::milliseconds retryInterval{0}; ///< Between two questions to the same host that has no state yet.
        std::chrono::milliseconds deadline{0}; ///< From the start until the source is read in any case.

        /// @param bound The shortest bound on any kind of change.
        static timing within(std::chrono::milliseconds bound);
    };

    /// Ask a reader for its whole state.
    struct ask {
        std::string reader; ///< Address.
        std::chrono::milliseconds wait{0}; ///< How long it may hold the question.
        std::chrono::milliseconds timeout{0};
    };
    struct read_source {
    };
    /// Nothing to do before nextTick().
    struct wait {
    };
    using decision = std::variant<wait, ask, read_source>;

    explicit first_state(const timing &times);

    /// Begins to wait. @return What to do.
    void start(time_point now);
    /// Sets the hosts to ask, in this order.
    /// @param selfIsReader This host is a reader by the hosts that are known so far.
    /// @param otherZonesKnown Hosts of other zones are known.
    void setReaders(std::vector<std::string> readers, bool selfIsReader, bool otherZonesKnown);
    /// The reader that was asked has no state yet, but is going to read the list.
    void readerIsReading() { readerFailed(); }
    /// The reader that was asked has failed or refused.
    void readerFailed();

    /// @return What to do now. After `ask`, nothing else is returned until readerIsReading() or readerFailed(), or the deadline.
    decision next(time_point now);
    /// @return When next() is to be called again.
    [[nodiscard]] time_point nextTick() const;
    /// @return When the source is read if no other host has the state; nothing when no wait is in progress.
    [[nodiscard]] std::optional<time_point> readsSourceAt() const;
    /// @return True when questions of other hosts may be held, because this host is a reader by the hosts that it knows.
    [[nodiscard]] bool mayRead() const { return m_selfIsReader || m_readers.empty(); }
    [[nodiscard]] bool active() const { return m_startedAt.has_value(); }
    /// The state is known, or is being read from the source.
    void finish() { m_startedAt.reset(); }

private:
    timing m_times;
    std::optional<time_point> m_startedAt;
    std::vector<std::string> m_readers;
    std::vector<std::string> m_failed;
    std::string m_asked; // Empty: none.
    std::optional<time_point> m_askAgainAt; // When all have failed.
    bool m_selfIsReader = false;
    bool m_otherZonesKnown = false;
};

} // namespace orioledrum
