#pragma once

#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <spread/spread_actions.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Decides when this host calls the configuration service. At most one call is outstanding.
class service_reader
{
public:
    /// What a call led to.
    enum class call_result : std::uint8_t {
        progress, ///< A revision that was not known before.
        unchanged, ///< Nothing new.
        useless, ///< A failure, or a revision that cannot be used.
    };

    /// @param watchWait Longest wait of a reader's call at the service.
    /// @param random Source of random times; must outlive this object.
    service_reader(std::chrono::milliseconds watchWait, random_source &random);

    /// @param reader Whether this host is one of the zone's readers.
    /// @param fleetSize Number of live entry hosts.
    void setRole(bool reader, std::size_t fleetSize, time_point now);

    /// @param after Greatest revision that the service need not send.
    /// @param overdue Whether the configuration has gone unconfirmed for too long.
    /// @return The call to make now, if any. Now and then a reader asks with `after` 0: a service whose numbering was
    /// restarted below `after` would otherwise look like one that has nothing new.
    std::optional<read_service_action> poll(revision_number after, bool overdue, time_point now);

    /// A call ended.
    /// @return False when it is not the outstanding call.
    bool finish(std::uint64_t call, call_result result, time_point now);

    /// @return When the outstanding call was sent.
    [[nodiscard]] time_point sentAt() const { return m_sentAt; }
    [[nodiscard]] std::chrono::milliseconds wait() const { return m_wait; }
    [[nodiscard]] bool isOutstanding(std::uint64_t call) const { return m_outstanding && call == m_lastCall; }
    [[nodiscard]] bool reader() const { return m_reader; }
    [[nodiscard]] std::uint64_t calls() const { return m_lastCall; }

private:
    [[nodiscard]] bool due(bool overdue, time_point now);
    [[nodiscard]] std::chrono::nanoseconds window() const;
    std::chrono::nanoseconds randomBelow(std::chrono::nanoseconds bound);

    std::chrono::milliseconds m_watchWait;
    random_source &m_random;
    bool m_reader = false;
    bool m_roleKnown = false;
    std::size_t m_fleetSize = 1;
    time_point m_nextVerify; ///< When a reader next asks for the revision in force, whatever it is.
    bool m_startRead = true; ///< The read at the start has not been made yet.
    time_point m_nextRead; ///< Earliest time of the next call of a reader, or of the read at the start.
    std::optional<time_point> m_windowStart; ///< Window of the next fallback read.
    time_point m_fallbackAt;
    bool m_outstanding = false;
    std::uint64_t m_lastCall = 0;
    time_point m_sentAt;
    std::chrono::milliseconds m_wait{0};
};

} // namespace orioledrum
