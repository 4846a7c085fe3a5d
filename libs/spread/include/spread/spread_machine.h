#pragma once

#include <base/monotonic_clock.h>
#include <spread/spread_actions.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Settings of a spread_machine. The defaults are those of the design.
struct spread_settings {
    entry_host_id self;
    std::uint64_t seed = 0; ///< For random choices of peers and times.
    std::chrono::milliseconds watchWait{1000}; ///< Longest wait of a reader's call at the service.
    std::chrono::milliseconds confirmTimeout{3000}; ///< Age of the last confirmation at which a fallback read is due.
    std::chrono::milliseconds startTimeout{2000}; ///< Longest wait for the zone's other hosts at the start.
    std::size_t historyLength = 64; ///< Revisions kept to answer pulls with changed files only.
};

/// The hosts that the machine may talk to, as membership sees them.
struct spread_hosts {
    std::vector<entry_host_id> zoneRanked; ///< Live hosts of the own zone including this one, in rendezvous order
                                           ///< for the key "config-reader".
    std::vector<entry_host_id> elsewhere; ///< Live entry hosts of the other zones, in any order.
};

/// A revision that failed the check.
struct rejected_revision {
    revision_number revision = 0;
    std::uint64_t hash = 0;
    std::vector<config_problem> problems;
};

/// State for the admin API and metrics.
struct spread_status {
    revision_number revision = 0; ///< 0 when there is no configuration yet.
    std::uint64_t hash = 0;
    bool started = false; ///< The start-up fence has opened.
    bool reader = false; ///< This host is one of the zone's readers.
    std::optional<std::chrono::milliseconds> confirmationAge; ///< See spread_machine::confirmedAt.
    std::optional<std::chrono::milliseconds> serviceAge; ///< See spread_machine::serviceConfirmedAt.
    std::optional<rejected_revision> rejected; ///< The latest rejected revision, if it is greater than `revision`.
    std::optional<report_problem_action> lastProblem;
    std::map<spread_problem_kind, std::uint64_t> problemCounts;
    std::uint64_t serviceCalls = 0;
};

/// Decides which configuration revision is in force on this host and how revisions travel between hosts. It does no
/// I/O and reads no clock: each event takes the time and returns the actions to carry out. Not thread-safe.
class spread_machine
{
public:
    /// @param settings Identity and limits; startTimeout counts from `now`.
    spread_machine(spread_settings settings, time_point now);
    ~spread_machine();
    spread_machine(const spread_machine &) = delete;
    spread_machine &operator=(const spread_machine &) = delete;

    /// The set of live hosts has changed. Call it before the first tick and after each change of membership.
    spread_actions setHosts(spread_hosts hosts, time_point now);

    /// Time has passed. Call it every 100 ms or more often.
    spread_actions onTick(time_point now);

    /// The service answered a call with a revision (200).
    spread_actions onServiceAnswer(std::uint64_t call, revision_number revision, config_files files, time_point now);
    /// The service answered that it has nothing after the revision asked for (304).
    spread_actions onServiceUnchanged(std::uint64_t call, time_point now);
    /// The call failed or took too long.
    spread_actions onServiceFailed(std::uint64_t call, time_point now);

    /// A digest or the answer to one arrived.
    spread_actions onDigest(const digest &message, time_point now);
    /// A peer pushed a revision.
    spread_actions onPush(const entry_host_id &from, const config_files_message &message, time_point now);
    /// A peer answered a pull.
    spread_actions onPullAnswer(const entry_host_id &from, const config_files_message &message, time_point now);
    /// A pull failed or took too long.
    spread_actions onPullFailed(const entry_host_id &from, time_point now);

    /// @return The answer to a peer's pull: the changed files, the whole set, or revision 0 when there is nothing newer.
    [[nodiscard]] config_files_message answerPull(const config_pull &request) const;

    /// Sets the fields of an outgoing digest that concern the configuration.
    void fillDigest(digest &message, time_point now) const;

    /// @return The configuration in force, or nullptr.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;
    /// @return The files of the configuration in force, or nullptr.
    [[nodiscard]] std::shared_ptr<const config_files> currentFiles() const;
    /// @return True when the start-up fence has opened and there is a configuration.
    [[nodiscard]] bool ready() const;

    /// @return When the service or any peer last said that it has the same configuration; nothing before the first
    /// time. A host that was paused uses it to decide whether its configuration may be out of date.
    [[nodiscard]] std::optional<time_point> confirmedAt() const;
    /// @return When the service last confirmed the configuration, directly or as told by peers in their digests.
    /// Fallback reads depend on it: hosts that are all cut off from the service confirm each other, but this age grows.
    [[nodiscard]] std::optional<time_point> serviceConfirmedAt() const;

    /// @return State for the admin API and metrics.
    [[nodiscard]] spread_status status(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
