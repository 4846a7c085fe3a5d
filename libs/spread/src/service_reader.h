#pragma once

#include <base/monotonic_clock.h>
#include <base/random_source.h>
#include <spread/config_sync_actions.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Schedules this host's calls to the configuration service. At most one call is outstanding.
class service_reader
{
public:
    /// Result of a call to the service.
    enum class call_result : std::uint8_t {
        newRevision, ///< The answer has a greater revision than the active one, not rejected before.
        unchanged, ///< The service has no newer revision.
        failed, ///< The call failed, or the answer has a revision that is older, conflicting or rejected before.
    };

    /// @param maxLongPollWait Longest time for which the service may hold a reader's long poll.
    /// @param random Source of random delays; must outlive this object.
    service_reader(std::chrono::milliseconds maxLongPollWait, random_source &random);

    /// Sets the role of this host. The first call also schedules the start read, which every host makes once.
    /// @param reader Whether this host is one of the zone's readers.
    /// @param fleetSize Number of live entry hosts, which share the limit on the rate of start reads and fallback reads.
    void setRole(bool reader, std::size_t fleetSize, time_point now);

    /// Starts a call if one is due; also ends an outstanding call whose result was not reported in time.
    /// @param after The service is to answer only with a greater revision.
    /// @param confirmationOverdue Whether the service's last confirmation of the configuration is too old.
    /// @return The call to make now, if any. Every 5 minutes a reader sends 0 instead of `after`. Otherwise a service that
    /// restarted its numbering below `after` would look as if it had no newer revision.
    std::optional<fetch_config_action> startDueCall(revision_number after, bool confirmationOverdue, time_point now);

    /// Ends the outstanding call and sets the earliest time of the next one.
    /// @return False when `call` is not the outstanding call; nothing changes then.
    bool finishCall(std::uint64_t call, call_result result, time_point now);

    /// @return When the latest call was started.
    [[nodiscard]] time_point sentAt() const { return m_sentAt; }
    /// @return How long the service may hold the latest call.
    [[nodiscard]] std::chrono::milliseconds longPollWait() const { return m_longPollWait; }
    [[nodiscard]] bool isOutstanding(std::uint64_t call) const { return m_outstanding && call == m_lastCall; }
    [[nodiscard]] bool isReader() const { return m_isReader; }
    [[nodiscard]] std::uint64_t callCount() const { return m_lastCall; }

private:
    /// Decides whether a call is due. Also starts, advances or ends the fallback window.
    /// @return True when a call is due.
    [[nodiscard]] bool checkCallDue(bool confirmationOverdue, time_point now);
    /// @return Length of the interval in which each host makes one fallback read at a random time.
    [[nodiscard]] std::chrono::nanoseconds fallbackWindow() const;
    std::chrono::nanoseconds randomBelow(std::chrono::nanoseconds bound);

    std::chrono::milliseconds m_maxLongPollWait;
    random_source &m_random;
    bool m_isReader = false;
    bool m_roleKnown = false;
    std::size_t m_fleetSize = 1;
    time_point m_nextUnconditionalRead; ///< When a reader next sends `after` 0.
    bool m_startReadPending = true; ///< The start read has not been made yet.
    time_point m_nextRead; ///< Earliest time of the next call of a reader, or of the start read.
    std::optional<time_point> m_fallbackWindowStart; ///< Unset while the service's confirmation is not overdue.
    time_point m_nextFallbackRead; ///< Random time in the current window.
    bool m_outstanding = false;
    std::uint64_t m_lastCall = 0;
    time_point m_sentAt;
    std::chrono::milliseconds m_longPollWait{0}; ///< Of the latest call; 0 unless this host was a reader.
};

} // namespace orioledrum
