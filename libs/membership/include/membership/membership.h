#pragma once

#include <membership/membership_actions.h>
#include <membership/membership_view.h>

#include <base/monotonic_clock.h>
#include <base/random_source.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Identity of this host and parameters of the gossip protocol.
struct membership_settings {
    entry_host_id self;
    zone_id zone;
    std::string address; ///< This host's "ip:port" for traffic between entry hosts.
    incarnation_id incarnation;
    /// Addresses of entry hosts to contact while no message from another host has arrived recently, and now and then while they are
    /// unknown.
    std::vector<std::string> seeds;
    std::chrono::milliseconds period{1000}; ///< Time between heartbeats.
    std::chrono::milliseconds suspectAfter{5000}; ///< Hosts without a new heartbeat for this time are suspect.
    std::chrono::milliseconds downAfter{10000}; ///< Hosts without a new heartbeat for this time are down.
    std::size_t zonePeers = 3; ///< Number of peers of this host's zone contacted in each period.
    std::size_t otherZonePeers = 1; ///< Number of peers of other zones contacted in each period.
    std::size_t fullMeshHosts = 7; ///< In a fleet of up to this many hosts, all peers are contacted in each period.
    std::size_t maxDigestEntries = 20; ///< Maximum number of entries in a digest.
    /// A process with a heartbeat counter of at most this is in its first run; see member::firstRun. A host that restarts continues with
    /// the counter of its earlier run. About 10 s after a start.
    std::uint64_t firstRunHeartbeats = 16;
    /// Time between heartbeats in a growth phase: the first seconds of a process, and while the number of known hosts grows quickly.
    /// Without shorter periods and complete digests, 118 hosts that started together knew each other only after 8 s.
    std::chrono::milliseconds growthPeriod{250};
    std::chrono::milliseconds growthPhase{2000}; ///< Length of a growth phase, from the start or the latest quick growth.
    std::size_t maxGrowthDigestEntries = 250; ///< Maximum number of entries in a digest in a growth phase.
    std::size_t scalingThreshold = 60; ///< In zones with more hosts, suspectAfter and downAfter are multiplied by
                                       ///< hosts / scalingThreshold. Fleets with more hosts: see class membership.
};

/// Tracks the entry hosts through the platform's host list and through heartbeats that spread by gossip. Used by one thread;
/// the values of view() may be published to other threads.
///
/// Of several entries for a host, the one with the highest heartbeat counter is the newest. A restarted host learns the counter
/// of its earlier run from its peers and continues with a higher value. Entries of its new incarnation therefore replace those of
/// the earlier run, and late messages about the earlier run are ignored.
///
/// In fleets of more than membership_settings::scalingThreshold hosts, hosts of other zones count as live, or as leaving if
/// announced, while the host list contains them.
class membership
{
public:
    /// @param random Source for the random selection of peers and entries.
    membership(membership_settings settings, random_source random, time_point now);

    /// Adopts a host list; a list whose revision is not greater than that of the current list is ignored.
    membership_actions setHostList(const host_list &list, time_point now);
    /// Sets the revision and hash of the configuration that the digests report.
    void setConfig(revision_number revision, std::uint64_t hash);
    /// Replaces the addresses that are contacted while no message from another host has arrived recently.
    void setSeeds(std::vector<std::string> seeds) { m_settings.seeds = std::move(seeds); }
    /// Updates the host states and sends the heartbeats that are due. Called every 100 ms.
    membership_actions tick(time_point now);
    /// Merges a peer's digest. @param now Time of receipt. @param actions The actions to carry out are appended here.
    /// @return This host's digest, to send back.
    digest receiveDigest(const digest &message, time_point now, membership_actions &actions);
    /// Merges a peer's answer to a digest of this host. @param now Time of receipt.
    membership_actions receiveAnswer(const digest &message, time_point now);
    /// Sets this host's state to leaving. @return The digests that announce it, to send immediately, and other actions that are
    /// due; empty when this host is already leaving.
    membership_actions leave(time_point now);

    /// @param recipient The peer that receives the digest; empty when unknown. @return This host's current digest, with at most
    /// maxDigestEntries entries of other hosts.
    [[nodiscard]] digest makeDigest(const entry_host_id &recipient, time_point now);

    /// @return The current view; a new object after each change. Changes from digests appear with the next tick, because
    /// rebuilding a view of thousands of hosts for each message is too expensive.
    [[nodiscard]] std::shared_ptr<const membership_view> view() const { return m_view; }
    /// @return The number of peers whose digest or answer arrived within the last one and a half periods.
    [[nodiscard]] std::size_t recentPeerCount(time_point now) const;

private:
    struct record {
        member_entry entry;
        time_point refreshedAt; ///< When a higher heartbeat was last received, or the host was first listed.
        time_point lastMessageAt; ///< When the host itself last sent a digest or an answer.
        host_state state = host_state::down; ///< The state last reported.
        bool stateReported = false; ///< A state has been reported.
        bool heartbeatSeen = false; ///< A heartbeat of the host has been received.
        bool firstRun = false; ///< See member::firstRun.
        bool listed = false; ///< The host list contains the host.
        bool listedLeaving = false; ///< The host list marks the host as leaving.
    };

    /// Merges a digest, and compares its host list and configuration with those of this host.
    void merge(const digest &message, time_point now, membership_actions &actions);
    /// @return Whether the entry raised this host's own heartbeat.
    bool mergeEntry(const member_entry &entry, time_point now, membership_actions &actions);
    [[nodiscard]] host_state stateOf(const record &host, time_point now) const;
    /// Removes unlisted hosts that are down and have sent no new heartbeat for two minutes; reports new and changed states.
    void updateStates(time_point now, membership_actions &actions);
    void rebuildViewIfChanged(membership_actions &actions);
    /// @return Addresses of the hosts to contact in this period.
    [[nodiscard]] std::vector<std::string> choosePeers(time_point now);
    /// Chooses a host that is down, or a seed that is not known, so that the sides of a healed partition find each other again, however
    /// long it lasted. The probability is one in the number of known hosts: all hosts of a side together choose about one in each period.
    [[nodiscard]] std::optional<std::string> chooseLostAddress();
    void countHostsByZone();
    [[nodiscard]] bool growing(time_point now) const { return now < m_growthUntil; }
    /// Starts or extends the growth phase when a fifth more hosts are known than when it was last extended.
    void detectGrowth(time_point now);

    membership_settings m_settings;
    random_source m_random;
    member_entry m_self;
    std::unordered_map<entry_host_id, record> m_hosts;
    host_list m_list;
    host_list_view m_hostListView; ///< Entry hosts of m_list.
    std::shared_ptr<const membership_view> m_view;
    revision_number m_configRevision = 0;
    std::uint64_t m_configHash = 0;
    time_point m_nextPeriod;
    time_point m_growthUntil;
    std::size_t m_hostsAtGrowth = 0; ///< Number of known hosts when the growth phase was last extended.
    time_point m_nextStateScan;
    std::unordered_map<zone_id, std::size_t> m_zoneSizes; ///< Hosts of each zone, this one included.
    bool m_ranBefore = false; ///< Another host remembers an earlier run of this one.
    bool m_viewOutdated = true; ///< m_view does not yet show the latest changes.
};

} // namespace orioledrum
