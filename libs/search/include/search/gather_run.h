#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <search/call_outcome.h>
#include <search/call_run.h>
#include <search/latency_profile.h>
#include <search/replica_board.h>

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

/// A part of a search that another entry host gathers.
struct relay_part {
    std::vector<std::size_t> shards; ///< Positions in gather_input::shards.
    zone_id zone; ///< Zone of that host.
};

/// The backend servers that may be asked for one shard, each as a hash of its id: short, since it is sent for every shard.
using server_marks = std::vector<std::uint32_t>;

/// A search over all shards of a route.
struct gather_input {
    std::vector<service_id> shards;
    std::uint32_t topRecords = 0;
    double minCoverage = 1;
    std::uint32_t maxAttempts = 1; ///< Most backend servers asked for one shard.
    time_point target; ///< An answer is worth most until then.
    time_point deadline; ///< The final answer must be given by then.
    std::vector<relay_part> relays; ///< Shards that are left to other hosts; the remaining ones are asked directly.
    bool keepPartial = false; ///< Records are merged however the run ends.
    /// Orders the backend servers of shards that several hosts work on, so that all of them ask the same few.
    std::uint64_t preferenceSeed = 0;
    /// Zone whose backend servers come first where this host gathers for another one; empty elsewhere.
    std::optional<zone_id> preferredZone;
    /// With preferredZone: gather_run::allowedServers() of the host that asks. With other entries this host would choose other
    /// backend servers of a shard than that one does, and both together could ask more than maxAttempts.
    std::vector<server_marks> allowedServers;
};

/// How a search ended.
enum class gather_end : std::uint8_t {
    complete, ///< All shards answered.
    partial, ///< Enough shards answered.
    notStarted, ///< Too few shards have a backend server that answers; nothing was sent.
    overloaded, ///< Too few shards would answer before the target; nothing was sent.
    tooFew, ///< Too few shards can answer any more.
    late, ///< Too few shards answered before the deadline.
};

/// @return The camelCase name of the end.
std::string_view toString(gather_end end);

/// The outcome for one shard.
struct gathered_shard {
    attempt_end end = attempt_end::timedOut; ///< served when the shard's records are included.
    std::string proof; ///< By which the backend server vouches for the records.
    double loadFactor = 0; ///< From another host: expected time of a further call against one without waiting; 0: unknown.
};

/// What another host has gathered.
struct relay_result {
    gather_end end = gather_end::late;
    std::vector<gathered_shard> shards; ///< In the order of relay_part::shards.
    std::string records; ///< The greatest records of the served shards.
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
};

/// The result of a search.
struct gather_result {
    gather_end end = gather_end::late;
    std::vector<gathered_shard> shards; ///< In the order of the input.
    std::uint32_t missing = 0; ///< Shards that are left out.
    std::string records; ///< The greatest records of the included shards, in descending order.
    std::uint32_t hedges = 0;
    std::uint32_t retries = 0;
    std::chrono::microseconds slowest{0}; ///< Time of the slowest call that was used.
    service_id worstShard; ///< A shard that is missing, if any.
    attempt_end worstEnd = attempt_end::timedOut; ///< Why it is missing; timedOut when it was still open.
    std::uint32_t skipped = 0; ///< Shards that were not asked because their answer would have come too late.
    std::chrono::microseconds expected{0}; ///< At the start: time until enough shards were expected to have answered.

    [[nodiscard]] bool succeeded() const { return end == gather_end::complete || end == gather_end::partial; }
};

/// Records have a fixed size; a shorter rest of a body is no record.
inline constexpr std::size_t recordBytes = 16;

/// The fan-out of one search to one backend server of each shard. Not thread-safe; board and profile must outlive it.
///
/// The owner calls start, passes in each event, carries out takeCalls and ends with result(). Calls that are open when
/// the run finishes may go on: their outcomes are ignored here.
///
/// Stopping: until the target, an answer loses nothing by waiting, so it waits for all shards. At the target, and at
/// any time after it, it answers with what is there as soon as the least coverage is met.
class gather_run final : public call_run
{
public:
    /// Share of calls that are answered before a hedge is considered.
    static constexpr double hedgeQuantile = 0.93;
    /// Factor on that quantile, so that ordinary queueing is not hedged.
    static constexpr double hedgeFactor = 1.25;
    /// Shortest age of a call at which it is hedged.
    static constexpr std::chrono::milliseconds hedgeMinimum{8};
    /// Latest age, as a part of the time from start to target.
    static constexpr double hedgeLatest = 0.45;
    /// Most hedges in a search, as a share of its shards.
    static constexpr double hedgeShare = 0.4;
    /// Time before the target at which another host sends what it has gathered: two ways of up to 1.5 ms, and the time for
    /// reading a few dozen answers on a quarter of a core.
    static constexpr std::chrono::milliseconds relayLead{8};
    /// Time before the target until which its answer is awaited.
    static constexpr std::chrono::milliseconds relayMargin{1};
    /// A shard is not asked when its expected time exceeds the time until the target by this factor.
    static constexpr double skipFactor = 1.5;
    /// Most shards that are not asked, as a share of those that may be missing.
    static constexpr double skipShare = 0.5;
    /// A search is refused when too few shards are expected to answer within this multiple of the time until the target.
    static constexpr double refuseFactor = 1.25;

    gather_run(gather_input input, replica_board &board, latency_profile &profile);

    /// Sends the first calls, or ends with notStarted or overloaded.
    void start(time_point now) override;

    /// A call has ended.
    void ended(std::uint64_t attempt, call_outcome &&outcome, time_point now);

    /// Another host has answered. Ignored when the run went on without it.
    /// @param part Position in gather_input::relays.
    void relayAnswered(std::size_t part, relay_result &&result, time_point now);

    /// Another host will not answer.
    /// @param part Position in gather_input::relays.
    /// @param notSent It surely has not got the search.
    void relayFailed(std::size_t part, bool notSent, time_point now);

    void wakeup(time_point now) override;

    /// @return True while the answer of the host of a part is awaited.
    [[nodiscard]] bool relayOpen(std::size_t part) const { return m_relayOpen[part]; }

    /// @return The backend servers that this host and the one of the part may ask, by shard of the part.
    [[nodiscard]] std::vector<server_marks> allowedServers(std::size_t part) const;

    /// @return When the other host should send its answer.
    [[nodiscard]] time_point relayTarget() const { return m_input.target - relayLead; }

    [[nodiscard]] time_point nextWakeup() const override { return m_next; }
    [[nodiscard]] bool finished() const override { return m_finished; }
    std::vector<send_call> takeCalls() override { return std::exchange(m_calls, {}); }

    /// @return The result; meaningful once finished. Moved out by the first call.
    gather_result takeResult() { return std::move(m_result); }

private:
    struct open_attempt {
        std::uint64_t number = 0;
        const replica *server = nullptr;
        time_point sentAt;
    };
    struct shard_state {
        std::vector<open_attempt> open;
        std::vector<replica_board::replica_ptr> asked;
        bool done = false;
        bool failed = false;
        bool hedged = false;
        bool skipped = false;
        bool relayed = false; // Another host has been asked for it.
        // Where two hosts may ask its backend servers: those that both may ask, as they were at the start.
        std::optional<std::vector<replica_board::replica_ptr>> allowed;
        std::uint32_t mostServers = 1; // Most backend servers that this host asks.
        std::uint32_t sends = 0;
        attempt_end lastEnd = attempt_end::timedOut;
        std::string proof;
        std::string body;
    };

    void restrictToOwnChoice(std::size_t shard, const zone_id &zone);
    void restrictToChoiceOfOther(std::size_t shard);
    [[nodiscard]] std::uint32_t leftBesideRelay() const;
    bool admit(time_point now);
    bool send(std::size_t shard, bool again, bool onlyIfFree, time_point now);
    bool retry(std::size_t shard, attempt_end end, time_point now);
    void lost(std::size_t shard, attempt_end end, time_point now);
    void hedge(time_point now);
    [[nodiscard]] bool hedgeDue(const shard_state &shard, time_point now) const;
    [[nodiscard]] bool covered() const;
    [[nodiscard]] std::size_t required() const;
    void settle(time_point now);
    void finish(gather_end end);
    void merge();
    [[nodiscard]] bool anyRelayOpen() const;
    void plan(time_point now);

    gather_input m_input;
    replica_board &m_board;
    latency_profile &m_profile;
    std::chrono::microseconds m_hedgeAfter{0};
    std::vector<shard_state> m_shards;
    std::vector<std::size_t> m_shardOfAttempt;
    std::vector<send_call> m_calls;
    std::size_t m_answered = 0;
    std::size_t m_failed = 0;
    std::size_t m_hedgesLeft = 0;
    std::vector<bool> m_relayOpen; // By part.
    std::string m_relayRecords; // Of the shards that other hosts have gathered.
    bool m_finished = false;
    time_point m_next = time_point::max();
    gather_result m_result;
};

} // namespace orioledrum
