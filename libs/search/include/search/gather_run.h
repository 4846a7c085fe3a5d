#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <search/call_outcome.h>
#include <search/call_run.h>
#include <search/latency_profile.h>
#include <search/record_merge.h>
#include <search/replica_registry.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace orioledrum
{

/// A relayed part of a search: shards that another entry host, the gathering host, gathers for this host.
struct relay_part {
    std::vector<std::size_t> shards; ///< Positions in gather_input::shards.
    zone_id zone; ///< Availability zone of the gathering host.
};

/// The backend servers that may be called for one shard, each as a 32-bit hash of its id. The list is sent for every shard, so a
/// hash keeps the message small.
using server_hashes = std::vector<std::uint32_t>;

/// How long the backend servers of server_hashes are still cold, in the same order; 0 for those that are not.
using server_cold_times = std::vector<std::chrono::milliseconds>;

/// A search over all shards of a route.
struct gather_input {
    std::vector<service_id> shards;
    std::uint32_t maxRecords = 0; ///< Maximum number of records in the result.
    double minCoverage = 1; ///< Share of the shards that must answer, 0 to 1. At least one shard must answer in any case.
    std::uint32_t maxServers = 1; ///< Maximum number of backend servers called for one shard.
    time_point target; ///< Desired time of the answer; an earlier answer has no additional benefit.
    time_point deadline; ///< The run finishes by then, with or without an answer.
    std::vector<relay_part> relays; ///< Shards that other hosts gather; this host calls backend servers for all other shards.
    bool keepPartial = false; ///< Merge the records even when the run does not succeed.
    /// Seed for ranking the backend servers of a shard. Hosts that work on the same shard use the same seed, so that they call the
    /// same backend servers.
    std::uint64_t preferenceSeed = 0;
    /// Zone whose backend servers rank first. Set only when this host gathers for another host.
    std::optional<zone_id> preferredZone;
    /// Set together with preferredZone: gather_run::knownServers() of the asking host. The first ones of a shard are reserved: both hosts
    /// may call them, and this host as many others as maxServers leaves.
    std::vector<server_hashes> knownServers;
    /// Set together with knownServers, in the same order: gather_run::knownColdTimes() of the asking host.
    std::vector<server_cold_times> knownColdTimes;
    /// The run finishes at the target with what it has, and resume() may continue it until the deadline. Set only when this host
    /// gathers for another host.
    bool resumable = false;
};

/// A part whose gathering host is asked to go on with the shards that were missing in its first answer.
struct part_resume {
    std::size_t part = 0; ///< Position in gather_input::relays.
    std::uint32_t neededShards = 0; ///< The gathering host answers as soon as it has this many further shards.
};

/// How a search ended.
enum class gather_end : std::uint8_t {
    complete, ///< All shards answered.
    partial, ///< Not all shards answered, but the minimum coverage was reached.
    notStarted, ///< Too few shards are reachable; no backend server was called.
    overloaded, ///< Too few shards are expected to answer soon enough, see search_admission; no backend server was called.
    tooFew, ///< The minimum coverage can no longer be reached.
    late, ///< The minimum coverage was not reached before the deadline.
};

/// @return The camelCase name of the end.
std::string_view toString(gather_end end);

/// Outcome of a search for one shard.
struct gathered_shard {
    /// `served` when the shard has answered. `unreachable` also when it was skipped or no backend server could be called.
    /// In the result of a resumed run, `abandoned` for the shards of the first result.
    attempt_end end = attempt_end::timedOut;
    std::string signature; ///< Opaque signature that the backend server attaches to its answer.
    double loadFactor = 0; ///< In a relay_result: expected latency of a further call / latency without queueing; 0: unknown.
};

/// Result that another host returns for the relay_part that it gathers.
struct relay_result {
    gather_end end = gather_end::late;
    std::vector<gathered_shard> shards; ///< In the order of relay_part::shards.
    std::string records; ///< The greatest records of the served shards.
    std::uint32_t hedges = 0; ///< Sent by the gathering host.
    std::uint32_t retries = 0; ///< Sent by the gathering host.
};

/// The result of a search.
struct gather_result {
    gather_end end = gather_end::late;
    std::vector<gathered_shard> shards; ///< In the order of the input.
    std::uint32_t missing = 0; ///< Number of shards that have not answered.
    /// The greatest records of the served shards, in descending order. Empty unless succeeded() or gather_input::keepPartial is true.
    std::string records;
    std::uint32_t hedges = 0; ///< Sent by this host and the gathering hosts.
    std::uint32_t retries = 0; ///< Sent by this host and the gathering hosts.
    std::chrono::microseconds slowest{0}; ///< Latency of the slowest call of this host whose answer is used.
    service_id firstMissingShard; ///< The first missing shard, if any.
    /// gathered_shard::end of firstMissingShard; timedOut when a call was still outstanding or the search was not sent.
    attempt_end firstMissingEnd = attempt_end::timedOut;
    std::uint32_t skipped = 0; ///< Number of shards that were not called because their answers were expected too late.
    /// With `notStarted`: time until enough shards want calls again; 0 when that is not known.
    std::chrono::milliseconds reachableIn{0};
    std::chrono::microseconds expected{0}; ///< Time until enough shards have answered, as estimated at the start; 0 with `notStarted`.

    [[nodiscard]] bool succeeded() const { return end == gather_end::complete || end == gather_end::partial; }
};

/// Decides the fan-out of one search to one backend server of each shard. Not thread-safe; the registry and the profile must outlive
/// the run.
///
/// The user calls start(), passes in each event, sends the calls from takeCalls() and fetches takeResult() when finished() is
/// true. Calls that are outstanding when the run finishes may go on; their outcomes are ignored.
///
/// Until the target the run waits for all shards, because an earlier answer has no additional benefit. At the target and later it
/// finishes as soon as the minimum coverage is reached.
///
/// A shard that a gathering host did not deliver in time is slow, not lost. When the results of all parts are in and the minimum
/// coverage is not reached, the run asks the gathering hosts to go on with their outstanding calls, see takeResumes(). Only the
/// shards that fail there as well are called by this host.
class gather_run final : public call_run
{
public:
    /// Latency quantile of calls on which the hedge delay is based.
    static constexpr double hedgeQuantile = 0.93;
    /// Hedge delay as a multiple of that quantile, so that ordinary queueing is not hedged.
    static constexpr double hedgeFactor = 1.25;
    /// Minimum age of a call when it is hedged; takes precedence over maxHedgeAgeShare.
    static constexpr std::chrono::milliseconds minHedgeAge{8};
    /// Upper bound of the hedge delay, as a share of the time from the start to the target.
    static constexpr double maxHedgeAgeShare = 0.45;
    /// Maximum number of hedges in a search, as a share of its shards.
    static constexpr double maxHedgeShare = 0.4;
    /// Time before the target at which another host has to send its result: two network trips of up to 1.5 ms each, and the time
    /// for reading a few dozen answers on a host limited to a quarter of a CPU core.
    static constexpr std::chrono::milliseconds relayLead{8};
    /// Time after the target at which this host stops waiting for the result of another host, if the minimum coverage is missing. The
    /// event loop of a busy host that is limited to a quarter of a CPU core answers up to 30 ms late.
    static constexpr std::chrono::milliseconds maxRelayDelay{30};
    /// A shard is skipped when its expected latency exceeds this multiple of the time until the target; see maxSkippedShare.
    static constexpr double skipFactor = 1.5;
    /// Maximum number of skipped shards, as a share of the reachable shards beyond the minimum coverage.
    static constexpr double maxSkippedShare = 0.5;

    /// A wakeup that comes later than this says that this host was busy or paused. Answers that have arrived since are unread, so that
    /// neither backend servers nor gathering hosts may be taken for slow until they were read.
    static constexpr std::chrono::milliseconds maxWakeupDelay{4};

    gather_run(gather_input input, replica_registry &registry, latency_profile &profile);

    /// @return How many of the shards must answer for a minimum coverage; at least 1.
    [[nodiscard]] static std::size_t requiredShards(double minCoverage, std::size_t shards);

    /// Queues the first calls, or finishes with `notStarted` or `overloaded`.
    void start(time_point now) override;

    /// Handles the end of a call.
    /// @param attempt send_call::attempt.
    void callEnded(std::uint64_t attempt, call_outcome &&outcome, time_point now);

    /// Handles the result of another host. It is ignored when the run no longer waits for it.
    /// @param part Position in gather_input::relays.
    /// @return False when the host has gathered nothing although backend servers have room, because it reaches too few of them or is
    /// slow itself; this host then calls the backend servers. Other hosts should gather the next searches.
    bool relayAnswered(std::size_t part, relay_result &&result, time_point now);

    /// Handles a host that will not answer: this host calls backend servers for the shards of the part. Ignored when the run no
    /// longer waits for the result of the host.
    /// @param part Position in gather_input::relays.
    /// @param noCallsSent True when the host has certainly called no backend server; the calls of this host then do not count as
    ///     retries and need no budget.
    void relayFailed(std::size_t part, bool noCallsSent, time_point now);

    /// Handles the answer of a host to a part_resume.
    /// @param part Position in gather_input::relays.
    /// @param result What the host has gathered since its first result; nullopt when it did not answer.
    void relayResumed(std::size_t part, std::optional<relay_result> &&result, time_point now);

    /// Continues a resumable run that has finished at its target. The next result contains only the records and signatures of shards
    /// that have answered since takeResult().
    /// @param neededShards The run finishes when this many further shards have answered, no call is outstanding, or at the deadline.
    void resume(std::uint32_t neededShards, time_point now);

    void wakeup(time_point now) override;

    /// @return The parts to resume that were requested since the previous takeResumes().
    std::vector<part_resume> takeResumes() { return std::exchange(m_resumes, {}); }

    /// @return True while the run waits for the result of the host that gathers a part.
    [[nodiscard]] bool relayPending(std::size_t part) const { return m_relayPending[part]; }

    /// @return For each shard of the part: the backend servers of which this host has entries, in the order of preference and up to
    /// maxServers + 2. The first reservedServers() are the only ones that this host calls once the gathering host may have sent calls.
    [[nodiscard]] std::vector<server_hashes> knownServers(std::size_t part) const;

    /// @return For each shard of the part: how long the backend servers of knownServers() are still cold, see replica::seenColdTime().
    [[nodiscard]] std::vector<server_cold_times> knownColdTimes(std::size_t part, time_point now) const;

    /// @return Time by which the other hosts have to send their results.
    [[nodiscard]] time_point relayTarget() const { return m_input.target - relayLead; }

    [[nodiscard]] time_point nextWakeup() const override { return m_nextWakeup; }
    [[nodiscard]] bool finished() const override { return m_finished; }
    std::vector<send_call> takeCalls() override { return std::exchange(m_calls, {}); }

    /// @return The result, valid when finished. Call it once: the result is moved out.
    gather_result takeResult() { return std::move(m_result); }

private:
    struct outstanding_attempt {
        std::uint64_t number = 0;
        const replica *server = nullptr;
        time_point sentAt;
    };
    struct shard_state {
        std::vector<outstanding_attempt> outstanding;
        std::vector<replica_registry::replica_ptr> tried;
        bool answered = false;
        bool failed = false;
        bool hedged = false;
        bool skipped = false;
        bool relayed = false; // Assigned to another host at the start.
        bool recoverable = false; // Failed at the gathering host, but may be resumed there or called by this host.
        bool outstandingAtRelay = false; // Recoverable, and the gathering host had a call outstanding when it answered.
        bool resumed = false; // The gathering host has been asked to go on with it.
        bool delivered = false; // Part of a result that was taken before resume().
        // For a shard on which two hosts may work: the backend servers that both may call, determined on construction.
        std::optional<std::vector<replica_registry::replica_ptr>> reserved;
        std::uint32_t otherServers = 0; // Number of other backend servers that this host may call. Only the gathering host may.
        std::vector<replica_registry::replica_ptr> known; // At the gathering host: those that the asking host has entries of.
        std::uint32_t maxServers = 1; // Maximum number of backend servers that this host may call.
        std::uint32_t sendCount = 0; // Calls sent, plus one when the result of another host lacks the shard.
        attempt_end lastEnd = attempt_end::timedOut;
        std::string signature;
        std::string body;
    };

    // Reserves backend servers of a relayed shard for this host.
    void reserveServers(std::size_t shard, const zone_id &zone);
    // Limits a shard by gather_input::knownServers.
    void limitToServersLeft(std::size_t shard);
    // Treats the backend servers of a shard as cold for at least as long as the asking host does.
    void takeColdTimes(std::size_t shard, time_point now);
    // @return The backend servers that may be called for a shard; nullopt when all may.
    [[nodiscard]] static std::optional<std::vector<replica_registry::replica_ptr>> allowedServers(const shard_state &shard);
    // Number of backend servers of a shard that the asking host reserves for itself.
    [[nodiscard]] std::uint32_t reservedServers() const;
    // Finishes the run when too few shards are reachable or would answer in time; otherwise marks shards to skip. False when finished.
    bool admit(time_point now);
    // Queues a call; false when no backend server may be called. The flags are those of selection_criteria.
    bool send(std::size_t shard, bool reuseTried, bool requireFreeSlot, time_point now);
    // Sends a retry if it is allowed; false when none is sent.
    bool tryRetry(std::size_t shard, attempt_end end, time_point now);
    // Retries a shard after a failed call, or marks it as failed. Does nothing while another call for it is outstanding.
    void handleFailure(std::size_t shard, attempt_end end, time_point now);
    // True when, by the load that the other host reports and the latencies that this host knows, no shard would answer in time.
    [[nodiscard]] bool queuesAreTooLong(const relay_result &result, time_point now) const;
    // Marks an unanswered shard of an answered part as failed; `recoverable` as in shard_state.
    void markMissingAtRelay(std::size_t shard, attempt_end end, bool recoverable);
    // Takes over the shards that the gathering host has served, its records and its load hints.
    void takeRelayedShards(std::size_t part, relay_result &result, time_point now);
    // Resumes parts and retries shards that are missing there, while the minimum coverage is not reached and no part is pending.
    void recoverShards(time_point now);
    // Number of shards that have neither answered nor failed.
    [[nodiscard]] std::size_t openCount() const { return m_shards.size() - m_answeredCount - m_failedCount; }
    // Time after which no retry is sent, because its answer would be too late.
    [[nodiscard]] time_point retryDeadline() const;
    void sendHedges(time_point now);
    // True when the only outstanding call of a shard is older than the hedge delay, or is older than minHedgeAge and its backend
    // server seems to be paused.
    [[nodiscard]] bool hedgeDue(const shard_state &shard, time_point now) const;
    [[nodiscard]] bool minCoverageReached() const;
    [[nodiscard]] std::size_t requiredShards() const;
    void finishOrSchedule(time_point now);
    void finish(gather_end end);
    void mergeRecords();
    [[nodiscard]] bool anyRelayPending() const;
    void scheduleWakeup(time_point now);

    gather_input m_input;
    replica_registry &m_registry;
    latency_profile &m_profile;
    std::chrono::microseconds m_hedgeDelay{0};
    std::vector<shard_state> m_shards;
    std::vector<std::size_t> m_shardOfAttempt; // Indexed by send_call::attempt.
    std::vector<send_call> m_calls;
    std::size_t m_answeredCount = 0;
    std::size_t m_failedCount = 0;
    std::size_t m_hedgesLeft = 0;
    std::size_t m_recoverableCount = 0;
    std::size_t m_deliveredCount = 0;
    std::size_t m_resumeGoal = 0; // Number of answered shards at which a resumed run finishes.
    bool m_resumed = false;
    std::vector<part_resume> m_resumes;
    std::vector<bool> m_relayPending; // By position in gather_input::relays.
    std::string m_relayRecords; // Records that other hosts have gathered.
    bool m_finished = false;
    time_point m_nextWakeup = time_point::max();
    time_point m_waitsForUnreadUntil; // After a late wakeup: before this time, nothing is done about calls without an answer.
    gather_result m_result;
};

} // namespace orioledrum
