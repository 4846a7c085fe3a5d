#pragma once

#include <membership/membership_actions.h>
#include <membership/membership_view.h>

#include <base/monotonic_clock.h>
#include <base/random_source.h>

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// Settings of the membership.
struct membership_settings {
    entry_host_id self;
    zone_id zone;
    std::string address; ///< Own "ip:port" for traffic between entry hosts.
    incarnation_id incarnation;
    std::vector<std::string> seeds; ///< Addresses of entry hosts to contact while no other is known.
    std::chrono::milliseconds period{1000}; ///< Time between heartbeats.
    std::chrono::milliseconds suspectAfter{5000}; ///< Entries not refreshed for this time are suspect.
    std::chrono::milliseconds downAfter{10000}; ///< Entries not refreshed for this time are down.
    std::size_t zonePeers = 3; ///< Peers of the own zone contacted each period.
    std::size_t otherPeers = 1; ///< Peers of other zones contacted each period.
    std::size_t smallFleet = 7; ///< Up to this many hosts, all are contacted each period.
    std::size_t digestEntries = 20; ///< Most entries in a digest.
    std::size_t scaledFrom = 60; ///< In zones with more hosts, suspectAfter and downAfter grow with hosts / scaledFrom.
};

/// Knows the entry hosts from the platform's host list and from heartbeats. Used by one thread; view() values may be
/// published to others.
///
/// Heartbeats order what is known about a host. A restarted host learns the heartbeat of its earlier run from its peers and
/// continues above it, so that its new incarnation wins and late news of the earlier one is ignored.
///
/// In fleets of more than membership_settings::scaledFrom hosts, hosts of other zones count as live while they are listed.
class membership
{
public:
    /// @param settings The settings. @param random Choice of peers. @param now The time.
    membership(membership_settings settings, random_source random, time_point now);

    /// Takes a host list; one that is not newer is ignored. @param list The list. @param now The time.
    membership_actions setHostList(const host_list &list, time_point now);
    /// Sets what the digests say about the configuration. @param revision Its revision. @param hash Its hash.
    void setConfig(revision_number revision, std::uint64_t hash);
    /// Replaces the addresses that are contacted while no other host is known. @param seeds The addresses.
    void setSeeds(std::vector<std::string> seeds) { m_settings.seeds = std::move(seeds); }
    /// Does what is due; to be called every 100 ms. @param now The time.
    membership_actions tick(time_point now);
    /// Takes a peer's digest. @param message The digest. @param now Time of receipt. @param actions Receives what has to be done.
    /// @return The own digest, to send back.
    digest receive(const digest &message, time_point now, membership_actions &actions);
    /// Takes a peer's answer to an own digest. @param message The answer. @param now Time of receipt.
    membership_actions receiveAnswer(const digest &message, time_point now);
    /// Announces that this host leaves. @param now The time. @return Digests to send at once, and the new view.
    membership_actions leave(time_point now);

    /// @param recipient The peer that gets it. @param now The time. @return The own digest as it stands.
    [[nodiscard]] digest makeDigest(const entry_host_id &recipient, time_point now);

    /// @return The present view; a new object after each change. Changes by digests appear with the next tick, because a view of
    /// thousands of hosts is too costly to rebuild for each message.
    [[nodiscard]] std::shared_ptr<const membership_view> view() const { return m_view; }
    /// @return Peers whose digest or answer arrived within the last period and a half. @param now The time.
    [[nodiscard]] std::size_t heardRecently(time_point now) const;

private:
    struct record {
        member_entry entry;
        time_point refreshed; ///< When a higher heartbeat was last seen, or the host was first listed.
        time_point heard; ///< When the host itself was last heard from.
        host_state state = host_state::down; ///< As last reported.
        bool reported = false; ///< The state has been reported.
        bool known = false; ///< A heartbeat has been seen.
        bool listed = false; ///< The host list names the host.
        bool listedLeaving = false;
    };

    void merge(const digest &message, time_point now, membership_actions &actions);
    bool mergeEntry(const member_entry &entry, time_point now, membership_actions &actions);
    [[nodiscard]] host_state stateOf(const record &host, time_point now) const;
    void updateStates(time_point now, membership_actions &actions);
    void rebuildViewIfChanged(membership_actions &actions);
    [[nodiscard]] std::vector<std::string> choosePeers(time_point now);
    void countZones();

    membership_settings m_settings;
    random_source m_random;
    member_entry m_own;
    std::unordered_map<entry_host_id, record> m_hosts;
    host_list m_list;
    roster m_roster; ///< Entry hosts of m_list.
    std::shared_ptr<const membership_view> m_view;
    revision_number m_configRevision = 0;
    std::uint64_t m_configHash = 0;
    time_point m_nextPeriod;
    time_point m_nextScan;
    std::unordered_map<zone_id, std::size_t> m_zoneSizes; ///< Hosts of each zone, this one included.
    bool m_changed = true; ///< The view is out of date.
};

} // namespace orioledrum
