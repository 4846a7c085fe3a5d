#pragma once

#include <base/monotonic_clock.h>
#include <spread/config_sync_actions.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

struct config_sync_settings {
    entry_host_id self;
    std::uint64_t seed = 0; ///< Seed for the random choice of peers and delays.
    std::chrono::milliseconds maxLongPollWait{1000}; ///< Longest time for which the service may hold a reader's long poll.
    std::chrono::milliseconds fallbackReadAge{3000}; ///< Age of the service's last confirmation after which hosts
                                                     ///< that are not readers also call the service (fallback reads).
    std::chrono::milliseconds startTimeout{2000}; ///< Longest wait for answers from peers after the start; 3 times
                                                  ///< as long while a newer revision is known.
    std::size_t historyLength = 64; ///< Number of latest revisions to remember. A pull from a peer that has one
                                    ///< of them is answered with the changed files only.
};

/// Live entry hosts according to membership, from which the state machine chooses readers and the peers to query and push to.
struct config_sync_peers {
    std::vector<entry_host_id> rankedZoneHosts; ///< Live hosts of this host's zone including this one, in rendezvous order
                                                ///< for the key "config-reader".
    std::vector<entry_host_id> otherZoneHosts; ///< Live entry hosts of the other zones, in any order.
};

/// A revision that failed the configuration check and was not applied.
struct rejected_revision {
    revision_number revision = 0;
    std::uint64_t hash = 0;
    std::vector<config_problem> problems;
};

/// Snapshot of a config_sync_machine for the admin API and metrics.
struct config_sync_status {
    revision_number revision = 0; ///< 0 when there is no configuration yet.
    std::uint64_t hash = 0;
    bool started = false; ///< The start-up wait is over, also when there is no configuration yet.
    bool reader = false; ///< This host is one of the zone's readers, which long-poll the service.
    std::optional<std::chrono::milliseconds> confirmationAge; ///< Age of the last confirmation by the service or a peer.
    std::optional<std::chrono::milliseconds> serviceConfirmationAge; ///< Age of the last confirmation by the service.
    std::optional<rejected_revision> rejected; ///< The greatest rejected revision, if it is greater than `revision`.
    std::optional<report_problem_action> lastProblem;
    std::map<config_sync_problem_kind, std::uint64_t> problemCounts; ///< Including repetitions that were not reported.
    std::uint64_t serviceCalls = 0; ///< Number of calls made to the service since the start.
};

/// State machine that decides which configuration revision is active on this host and distributes revisions between entry
/// hosts. It does no I/O and reads no clock: each event function takes the current time and returns the actions that the
/// caller must carry out. Not thread-safe. "The service" is the configuration service.
class config_sync_machine
{
public:
    /// @param settings Identity and limits.
    /// @param now Time of the start; startTimeout begins here.
    config_sync_machine(config_sync_settings settings, time_point now);
    ~config_sync_machine();
    config_sync_machine(const config_sync_machine &) = delete;
    config_sync_machine &operator=(const config_sync_machine &) = delete;

    /// Sets the live hosts. Must be called before the first tick and after each change of membership.
    config_sync_actions setHosts(config_sync_peers hosts, time_point now);

    /// Emits the service calls, peer queries and pull retries that are due, and ends the start-up wait when its conditions
    /// are met. Must be called at least every 100 ms.
    config_sync_actions onTick(time_point now);

    /// The service answered a call with a revision (200).
    config_sync_actions onServiceAnswer(std::uint64_t call, revision_number revision, config_files files, time_point now);
    /// The service answered that it has no revision greater than fetch_config_action::after of the call (304).
    config_sync_actions onServiceUnchanged(std::uint64_t call, time_point now);
    /// A call to the service failed or timed out.
    config_sync_actions onServiceFailed(std::uint64_t call, time_point now);

    /// A peer's digest arrived, either unsolicited or as the answer to a digest of this host.
    config_sync_actions onDigest(const digest &message, time_point now);
    /// A peer pushed a revision.
    config_sync_actions onPush(const entry_host_id &from, const config_files_message &message, time_point now);
    /// A peer answered a pull.
    config_sync_actions onPullAnswer(const entry_host_id &from, const config_files_message &message, time_point now);
    /// A pull failed or timed out.
    config_sync_actions onPullFailed(const entry_host_id &from, time_point now);

    /// @return The answer to a peer's pull: the files changed since the peer's revision, or all files when that revision is
    /// not in the history. The answer has revision 0 when this host has no newer revision.
    [[nodiscard]] config_files_message answerPull(const config_pull &request) const;

    /// Sets the fields configRevision, configHash and configConfirmedAge of an outgoing digest. The age counts from
    /// serviceConfirmedAt() and is -1 microsecond when the service has not confirmed the configuration.
    void fillDigest(digest &message, time_point now) const;

    /// @return The active configuration, or nullptr.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;
    /// @return The files of the active configuration, or nullptr.
    [[nodiscard]] std::shared_ptr<const config_files> currentFiles() const;
    /// @return True when the start-up wait is over and there is a configuration.
    [[nodiscard]] bool ready() const;

    /// @return When the service or a peer was last known to have the same configuration as this host, if ever. Only for status and
    /// metrics: an unsolicited digest or push counts as well; if it waited in a buffer while this host was paused, the time is too late.
    [[nodiscard]] std::optional<time_point> confirmedAt() const;
    /// @return When the service last confirmed the configuration to this host or, according to digests, to a peer, if ever.
    /// Fallback reads depend on this time and not on confirmedAt(): hosts that are all cut off from the service still update
    /// confirmedAt() by their digests, while the age of the service's confirmation grows.
    [[nodiscard]] std::optional<time_point> serviceConfirmedAt() const;

    /// @return State for the admin API and metrics.
    [[nodiscard]] config_sync_status status(time_point now) const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
