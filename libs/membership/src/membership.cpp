#include <membership/membership.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace orioledrum
{

namespace
{

/// Interval between checks of the age of all entries. Shorter intervals use too much processor time in fleets of thousands of
/// hosts.
constexpr std::chrono::milliseconds stateScanInterval{250};
/// Hosts that are down and not in the list are removed after this time. The time exceeds the age up to which other hosts
/// forward such entries, so that no peer adds a removed entry again.
constexpr std::chrono::seconds removeAfter{120};

} // namespace

membership::membership(membership_settings settings, random_source random, time_point now)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_nextPeriod(now)
    , m_growthUntil(now + m_settings.growthPhase)
{
    m_self.host = m_settings.self;
    m_self.zone = m_settings.zone;
    m_self.address = m_settings.address;
    m_self.incarnation = m_settings.incarnation;
    m_self.heartbeat = 1;
    m_self.state = host_state::live;
    countHostsByZone();
    membership_actions unused;
    rebuildViewIfChanged(unused);
}

membership_actions membership::setHostList(const host_list &list, time_point now)
{
    membership_actions actions;
    if (list.revision <= m_list.revision) {
        return actions;
    }
    m_list = list;
    m_hostListView = makeHostListView(m_list);
    for (auto &[id, host] : m_hosts) {
        host.listed = false;
    }
    for (const platform_host &listed : list.hosts) {
        const entry_host_id id(listed.id);
        if (listed.kind != host_kind::entryHost || id == m_settings.self) {
            continue;
        }
        const auto [found, created] = m_hosts.try_emplace(id);
        record &host = found->second;
        if (created) {
            host.entry.host = id;
            host.refreshedAt = now;
        }
        if (!host.heartbeatSeen) {
            host.entry.zone = listed.zone;
            host.entry.address = listed.address;
        }
        host.listed = true;
        host.listedLeaving = listed.leaving;
    }
    m_viewOutdated = true;
    countHostsByZone();
    updateStates(now, actions);
    rebuildViewIfChanged(actions);
    return actions;
}

void membership::setConfig(revision_number revision, std::uint64_t hash)
{
    m_configRevision = revision;
    m_configHash = hash;
}

void membership::detectGrowth(time_point now)
{
    // In small fleets the ordinary digests already contain all hosts.
    if (m_hosts.size() > m_settings.maxDigestEntries && m_hosts.size() * 5 >= m_hostsAtGrowth * 6) {
        m_hostsAtGrowth = m_hosts.size();
        m_growthUntil = now + m_settings.growthPhase;
    }
}

void membership::countHostsByZone()
{
    m_zoneSizes.clear();
    ++m_zoneSizes[m_settings.zone];
    for (const auto &[id, host] : m_hosts) {
        ++m_zoneSizes[host.entry.zone];
    }
}

host_state membership::stateOf(const record &host, time_point now) const
{
    const bool leaving = host.listedLeaving || (host.heartbeatSeen && host.entry.state == host_state::leaving);
    const host_state activeState = leaving ? host_state::leaving : host_state::live;
    if (host.listed && host.entry.zone != m_settings.zone && m_hosts.size() + 1 > m_settings.scalingThreshold) {
        return activeState;
    }
    const auto size = m_zoneSizes.find(host.entry.zone);
    const double hosts = size == m_zoneSizes.end() ? 1.0 : static_cast<double>(size->second);
    const double scale = std::max(1.0, hosts / static_cast<double>(m_settings.scalingThreshold));
    const std::chrono::duration<double> age = now - host.refreshedAt;
    if (age >= m_settings.downAfter * scale) {
        return host_state::down;
    }
    return age >= m_settings.suspectAfter * scale ? host_state::suspect : activeState;
}

void membership::updateStates(time_point now, membership_actions &actions)
{
    const std::size_t before = m_hosts.size();
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !entry.second.listed && entry.second.state == host_state::down && now - entry.second.refreshedAt >= removeAfter;
    });
    if (m_hosts.size() != before) {
        m_hostsAtGrowth = std::min(m_hostsAtGrowth, m_hosts.size()); // A fleet that shrank may grow again.
        m_viewOutdated = true;
        countHostsByZone();
    }
    for (auto &[id, host] : m_hosts) {
        const host_state state = stateOf(host, now);
        if (state != host.state || !host.stateReported) {
            host.state = state;
            host.stateReported = true;
            m_viewOutdated = true;
            actions.emplace_back(host_state_changed{id, state, false});
        }
    }
}

void membership::rebuildViewIfChanged(membership_actions &actions)
{
    if (!m_viewOutdated) {
        return;
    }
    m_viewOutdated = false;
    auto view = std::make_shared<membership_view>();
    view->members.reserve(m_hosts.size() + 1);
    view->members.push_back({m_self.host, m_self.zone, m_self.address, m_self.incarnation, m_self.state, true, !m_ranBefore});
    for (const auto &[id, host] : m_hosts) {
        view->members.push_back({id,
                                 host.entry.zone,
                                 host.entry.address,
                                 host.heartbeatSeen ? host.entry.incarnation : incarnation_id(),
                                 host.state,
                                 false,
                                 host.firstRun});
    }
    std::sort(view->members.begin(), view->members.end(), [](const member &left, const member &right) { return left.host < right.host; });
    view->platform = m_list;
    view->hosts = m_hostListView;
    m_view = std::move(view);
    actions.emplace_back(view_changed{});
}

bool membership::mergeEntry(const member_entry &entry, time_point now, membership_actions &actions)
{
    if (entry.host.empty()) {
        return false;
    }
    if (entry.host == m_settings.self) {
        // An entry of an earlier run of this host. A higher heartbeat makes all hosts accept the entry of the current run.
        if (entry.incarnation != m_self.incarnation && entry.heartbeat >= m_self.heartbeat) {
            m_self.heartbeat = entry.heartbeat + 1;
            m_viewOutdated = m_viewOutdated || !m_ranBefore;
            m_ranBefore = true;
            return true;
        }
        return false;
    }
    const auto [found, created] = m_hosts.try_emplace(entry.host);
    record &host = found->second;
    if (host.heartbeatSeen && entry.heartbeat <= host.entry.heartbeat) {
        return false;
    }
    const bool restarted = host.heartbeatSeen && host.entry.incarnation != entry.incarnation;
    // A counter that jumps is that of an earlier run, which the host has just learnt.
    const auto counted = host.heartbeatSeen && !restarted ? entry.heartbeat - host.entry.heartbeat : entry.heartbeat;
    const bool firstRun = counted <= m_settings.firstRunHeartbeats && (host.firstRun || !host.heartbeatSeen);
    m_viewOutdated = m_viewOutdated || firstRun != host.firstRun;
    host.firstRun = firstRun;
    const bool zoneChanged = created || host.entry.zone != entry.zone;
    if (!host.heartbeatSeen || restarted || zoneChanged || host.entry.address != entry.address || host.entry.state != entry.state) {
        m_viewOutdated = true;
    }
    host.entry = entry;
    host.heartbeatSeen = true;
    host.refreshedAt = now;
    if (zoneChanged) {
        countHostsByZone();
    }
    const host_state state = stateOf(host, now);
    if (state != host.state || restarted || !host.stateReported) {
        host.state = state;
        host.stateReported = true;
        m_viewOutdated = true;
        actions.emplace_back(host_state_changed{entry.host, state, restarted});
    }
    return false;
}

void membership::merge(const digest &message, time_point now, membership_actions &actions)
{
    bool ownHeartbeatRaised = mergeEntry(message.sender, now, actions);
    for (const member_entry &entry : message.members) {
        ownHeartbeatRaised = mergeEntry(entry, now, actions) || ownHeartbeatRaised;
    }
    const auto sender = m_hosts.find(message.sender.host);
    if (sender != m_hosts.end() && sender->second.entry.incarnation == message.sender.incarnation) {
        sender->second.lastMessageAt = now;
    }
    if (message.hostListRevision > m_list.revision) {
        actions.emplace_back(fetch_host_list_from_address{message.sender.address, message.hostListRevision});
    }
    if (message.configRevision != m_configRevision || message.configHash != m_configHash) {
        actions.emplace_back(config_differs{message.sender.address, message.configRevision, message.configHash});
    }
    detectGrowth(now);
    if (ownHeartbeatRaised && !message.sender.address.empty()) {
        actions.emplace_back(send_digest{message.sender.address, makeDigest(message.sender.host, now)});
    }
}

digest membership::receiveDigest(const digest &message, time_point now, membership_actions &actions)
{
    merge(message, now, actions);
    return makeDigest(message.sender.host, now);
}

membership_actions membership::receiveAnswer(const digest &message, time_point now)
{
    membership_actions actions;
    merge(message, now, actions);
    return actions;
}

digest membership::makeDigest(const entry_host_id &recipient, time_point now)
{
    digest message;
    message.sender = m_self;
    message.configRevision = m_configRevision;
    message.configHash = m_configHash;
    message.hostListRevision = m_list.revision;
    struct candidate {
        std::int64_t agePeriods = 0; ///< Rounded down.
        std::uint64_t randomOrder = 0;
        const record *host = nullptr;
    };
    std::vector<candidate> freshEntries;
    for (const auto &[id, host] : m_hosts) {
        // Entries older than the suspicion timeout are not forwarded, so that all hosts eventually remove a host that is gone.
        if (host.heartbeatSeen && id != recipient && now - host.refreshedAt < m_settings.suspectAfter) {
            // Entries of the same age in periods are selected at random. With a fixed order, some would never be forwarded.
            freshEntries.push_back({(now - host.refreshedAt) / m_settings.period, m_random.next(), &host});
        }
    }
    const std::size_t maxEntries = growing(now) ? m_settings.maxGrowthDigestEntries : m_settings.maxDigestEntries;
    const std::size_t count = std::min(freshEntries.size(), maxEntries);
    const auto limit = freshEntries.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(freshEntries.begin(), limit, freshEntries.end(), [](const candidate &left, const candidate &right) {
        return std::tie(left.agePeriods, left.randomOrder) < std::tie(right.agePeriods, right.randomOrder);
    });
    // The recipient's entry is always included: a restarted recipient learns the heartbeat counter of its earlier run from it.
    const auto recipientEntry = m_hosts.find(recipient);
    if (recipientEntry != m_hosts.end() && recipientEntry->second.heartbeatSeen) {
        message.members.push_back(recipientEntry->second.entry);
    }
    for (std::size_t index = 0; index < count && message.members.size() < maxEntries; ++index) {
        message.members.push_back(freshEntries[index].host->entry);
    }
    return message;
}

std::vector<std::string> membership::choosePeers(time_point now)
{
    std::vector<const record *> zoneHosts;
    std::vector<const record *> otherHosts;
    for (const auto &[id, host] : m_hosts) {
        // Listed hosts are contacted even if they seem to be down, in order to detect that a partition has healed.
        if ((host.listed || host.state != host_state::down) && !host.entry.address.empty()) {
            (host.entry.zone == m_settings.zone ? zoneHosts : otherHosts).push_back(&host);
        }
    }
    std::vector<std::string> addresses;
    const bool contactAll = zoneHosts.size() + otherHosts.size() < m_settings.fullMeshHosts;
    const auto selectRandom = [&](std::vector<const record *> &hosts, std::size_t count) {
        // The iteration order of an unordered map differs between processes. Sorting makes the selection depend only on the seed.
        std::sort(hosts.begin(), hosts.end(), [](const record *left, const record *right) { return left->entry.host < right->entry.host; });
        count = contactAll ? hosts.size() : std::min(count, hosts.size());
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t selected = index + static_cast<std::size_t>(m_random.below(hosts.size() - index));
            std::swap(hosts[index], hosts[selected]);
            addresses.push_back(hosts[index]->entry.address);
        }
    };
    selectRandom(zoneHosts, m_settings.zonePeers);
    selectRandom(otherHosts, m_settings.otherZonePeers);
    if (recentPeerCount(now) == 0) {
        for (const std::string &seed : m_settings.seeds) {
            if (seed != m_settings.address && std::find(addresses.begin(), addresses.end(), seed) == addresses.end()) {
                addresses.push_back(seed);
            }
        }
    } else if (const auto lost = chooseLostAddress()) {
        addresses.push_back(*lost);
    }
    return addresses;
}

std::optional<std::string> membership::chooseLostAddress()
{
    std::set<std::string> known{m_settings.address};
    std::set<std::string> lost;
    for (const auto &[id, host] : m_hosts) {
        // Listed hosts are contacted in any case.
        const bool isLost = !host.listed && host.state == host_state::down;
        (isLost ? lost : known).insert(host.entry.address);
    }
    // When the hosts on the other side of a partition have been removed, only seeds may lead there.
    lost.insert(m_settings.seeds.begin(), m_settings.seeds.end());
    std::erase_if(lost, [&](const std::string &address) { return address.empty() || known.contains(address); });
    if (lost.empty() || m_random.below(m_hosts.size() + 1) != 0) {
        return std::nullopt;
    }
    return *std::next(lost.begin(), static_cast<std::ptrdiff_t>(m_random.below(lost.size())));
}

membership_actions membership::tick(time_point now)
{
    membership_actions actions;
    if (now >= m_nextStateScan) {
        m_nextStateScan = now + stateScanInterval;
        updateStates(now, actions);
    }
    if (now >= m_nextPeriod) {
        ++m_self.heartbeat;
        // After a pause the next period starts from now; missed heartbeats are skipped.
        const auto period = growing(now) ? m_settings.growthPeriod : m_settings.period;
        m_nextPeriod = now - m_nextPeriod > period ? now + period : m_nextPeriod + period;
        for (const std::string &address : choosePeers(now)) {
            const auto peer =
                std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) { return entry.second.entry.address == address; });
            actions.emplace_back(send_digest{address, makeDigest(peer == m_hosts.end() ? entry_host_id() : peer->first, now)});
        }
    }
    rebuildViewIfChanged(actions);
    return actions;
}

membership_actions membership::leave(time_point now)
{
    if (m_self.state == host_state::leaving) {
        return {};
    }
    m_self.state = host_state::leaving;
    m_nextPeriod = now;
    m_viewOutdated = true;
    return tick(now);
}

std::size_t membership::recentPeerCount(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        return entry.second.lastMessageAt != time_point{} && now - entry.second.lastMessageAt <= m_settings.period * 3 / 2;
    }));
}

} // namespace orioledrum
