#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <limits/cold_rate_limit.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// What is published about one run of a backend server.
struct replica_entry {
    backend_id id;
    service_id service;
    std::string address; ///< "ip:port".
    zone_id zone;
    std::uint32_t slots = 1; ///< Requests that it runs at a time.
    bool draining = false; ///< It is about to leave.
    std::chrono::milliseconds coldFor{0}; ///< How much longer it is cold, when the entry was written.
    std::optional<std::chrono::milliseconds> startedAt; ///< Unix time of its start.
};

/// Load that a backend server reported with an answer.
struct replica_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// How an attempt at a backend server ended.
enum class attempt_end : std::uint8_t {
    served, ///< A usable answer.
    shed, ///< Refused without running it.
    misdirected, ///< Another backend server has the address; not run.
    failed, ///< An answer that reports a failure; it may have run.
    broken, ///< The connection broke or the answer was not usable; it may have run.
    unreachable, ///< No connection; nothing was sent.
    timedOut, ///< No answer in time; it may have run.
    abandoned, ///< Given up by this host; says nothing about the backend server.
};

/// @return True when a call that ended so surely has not run and will not.
constexpr bool provesNotRun(attempt_end end)
{
    return end == attempt_end::shed || end == attempt_end::misdirected || end == attempt_end::unreachable;
}

/// One backend server as this host sees it: what is published, and what its own calls have shown. Not thread-safe.
class replica
{
public:
    /// Age of the oldest open call, as a multiple of its expected time, at which the backend server counts as paused.
    static constexpr double pausedFactor = 4;
    /// Shortest age at which it counts as paused; below, scheduling delays of this host look the same.
    static constexpr std::chrono::milliseconds pausedMinimum{25};
    /// First time without calls after a connection could not be opened; doubles up to unreachableLongest.
    static constexpr std::chrono::milliseconds unreachableFirst{200};
    static constexpr std::chrono::milliseconds unreachableLongest{1600};
    /// Time without calls after another backend server was found at the address.
    static constexpr std::chrono::milliseconds misdirectedPause{2000};
    /// Age of the oldest open call at which a backend server that has said nothing since counts as stalled.
    static constexpr std::chrono::milliseconds stalledAfter{700};
    /// Half-life of what is known about speed and failures, so that a bad backend server is tried again.
    static constexpr std::chrono::milliseconds memoryHalfLife{1500};
    /// Age after which a reported load is not used.
    static constexpr std::chrono::milliseconds loadLifetime{250};
    /// Time in which a draining backend server still gets calls that no other can take.
    static constexpr std::chrono::milliseconds drainUse{800};

    replica(replica_entry entry, time_point now);

    /// Takes a newer entry. A new start makes the backend server cold and forgets what calls have shown.
    void update(replica_entry entry, time_point now);

    /// A call was sent. @param attempt Number of the call. @param expected Usual time of such a call.
    void sent(std::uint64_t attempt, std::chrono::microseconds expected, time_point now);

    /// A call ended.
    /// @param latency From sending to the end.
    /// @param usual Time that such a call takes at the usual speed with the load at the time of sending.
    void ended(std::uint64_t attempt, attempt_end end, std::chrono::microseconds latency, std::chrono::microseconds usual, time_point now);

    /// Takes a reported load.
    void reported(replica_load load, time_point now);

    /// A probe has ended. @param answered Whether the backend server itself answered, in whatever way.
    void probed(bool answered, time_point now);

    /// A probe was sent; no further one is due before it has ended.
    void probeSent() { m_probing = true; }

    /// The backend server will be cold for this long.
    void setCold(std::chrono::milliseconds remaining, time_point now);

    [[nodiscard]] const replica_entry &entry() const { return m_entry; }
    [[nodiscard]] std::size_t openCalls() const { return m_open.size(); }
    [[nodiscard]] bool cold(time_point now) const { return now < m_coldUntil; }
    [[nodiscard]] cold_rate_limit &coldRate() { return m_coldRate; }

    /// @return True when calls may be sent: not known to be unreachable or misdirected, nor leaving for longer than drainUse.
    [[nodiscard]] bool usable(time_point now) const;

    /// @return True when the backend server has stopped to answer: unreachable, or stalled.
    [[nodiscard]] bool suspect(time_point now) const { return m_unreachable || stalled(now); }

    /// @return True when nothing was heard since the oldest open call was sent, and that is stalledAfter ago.
    [[nodiscard]] bool stalled(time_point now) const;

    /// @return True when a suspect should be asked whether it is back.
    [[nodiscard]] bool probeDue(time_point now) const { return !m_probing && now >= m_blockedUntil && suspect(now); }

    /// @return True when an open call is so old that the backend server seems to stand still.
    [[nodiscard]] bool paused(time_point now) const;

    /// @return Calls running or waiting there, from the latest report and the own calls since.
    [[nodiscard]] std::uint32_t load(time_point now) const;

    /// @return Time that a call takes as a multiple of the usual time.
    [[nodiscard]] double slowness(time_point now) const;

    /// @return Share of recent calls that failed, 0 to 1.
    [[nodiscard]] double failureShare(time_point now) const;

    /// @return Time of a further call at the usual speed, with the wait behind the present load.
    /// @param usual Time of such a call without waiting.
    [[nodiscard]] std::chrono::microseconds queuedTime(std::chrono::microseconds usual, time_point now) const;

    /// @return Expected time of a further call: queuedTime() at the speed of this backend server.
    /// @param usual Time of such a call without waiting.
    [[nodiscard]] std::chrono::microseconds expectedTime(std::chrono::microseconds usual, time_point now) const;

private:
    struct open_call {
        std::uint64_t attempt = 0;
        time_point sentAt;
        std::chrono::microseconds expected{0};
    };

    void block(time_point now); // No calls for a time that doubles until it is heard again.
    void heard(time_point now);
    [[nodiscard]] double memory(time_point now) const;

    replica_entry m_entry;
    std::vector<open_call> m_open; // Oldest first.
    double m_logSlowness = 0; // Base 2; mean over recent calls.
    double m_failures = 0;
    time_point m_learned;
    replica_load m_load;
    std::uint32_t m_openAtReport = 0;
    time_point m_loadAt;
    bool m_loadKnown = false;
    time_point m_drainingSince;
    time_point m_coldUntil;
    time_point m_blockedUntil;
    std::chrono::milliseconds m_nextBlock = unreachableFirst;
    bool m_unreachable = false; // Until it is heard again.
    bool m_probing = false;
    time_point m_heard; // Latest answer of any kind.
    cold_rate_limit m_coldRate;
};

} // namespace orioledrum
