#include <membership/membership.h>

#include <algorithm>
#include <tuple>

namespace orioledrum
{

namespace
{

/// Time between two looks at the age of all entries; shorter ones cost processor time in fleets of thousands of hosts.
constexpr std::chrono::milliseconds scanInterval{250};
/// Hosts that are down and not in the list are forgotten after this time. It exceeds the age up to which other hosts pass
/// their entries on, so that an entry does not return from a peer.
constexpr std::chrono::seconds forgetAfter{120};

} // namespace

membership::membership(membership_settings settings, random_source random, time_point now)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_nextPeriod(now)
{
    m_own.host = m_settings.self;
    m_own.zone = m_settings.zone;
    m_own.address = m_settings.address;
    m_own.incarnation = m_settings.incarnation;
    m_own.heartbeat = 1;
    m_own.state = host_state::live;
    countZones();
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
    m_roster = makeRoster(m_list);
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
            host.refreshed = now;
        }
        if (!host.known) {
            host.entry.zone = listed.zone;
            host.entry.address = listed.address;
        }
        host.listed = true;
        host.listedLeaving = listed.leaving;
    }
    m_changed = true;
    countZones();
    updateStates(now, actions);
    rebuildViewIfChanged(actions);
    return actions;
}

void membership::setConfig(revision_number revision, std::uint64_t hash)
{
    m_configRevision = revision;
    m_configHash = hash;
}

void membership::countZones()
{
    m_zoneSizes.clear();
    ++m_zoneSizes[m_settings.zone];
    for (const auto &[id, host] : m_hosts) {
        ++m_zoneSizes[host.entry.zone];
    }
}

host_state membership::stateOf(const record &host, time_point now) const
{
    const bool leaving = host.listedLeaving || (host.known && host.entry.state == host_state::leaving);
    const host_state present = leaving ? host_state::leaving : host_state::live;
    if (host.listed && host.entry.zone != m_settings.zone && m_hosts.size() + 1 > m_settings.scaledFrom) {
        return present;
    }
    const auto size = m_zoneSizes.find(host.entry.zone);
    const double hosts = size == m_zoneSizes.end() ? 1.0 : static_cast<double>(size->second);
    const double scale = std::max(1.0, hosts / static_cast<double>(m_settings.scaledFrom));
    const std::chrono::duration<double> age = now - host.refreshed;
    if (age >= m_settings.downAfter * scale) {
        return host_state::down;
    }
    return age >= m_settings.suspectAfter * scale ? host_state::suspect : present;
}

void membership::updateStates(time_point now, membership_actions &actions)
{
    const std::size_t before = m_hosts.size();
    std::erase_if(m_hosts, [&](const auto &entry) {
        return !entry.second.listed && entry.second.state == host_state::down && now - entry.second.refreshed >= forgetAfter;
    });
    if (m_hosts.size() != before) {
        m_changed = true;
        countZones();
    }
    for (auto &[id, host] : m_hosts) {
        const host_state state = stateOf(host, now);
        if (state != host.state || !host.reported) {
            host.state = state;
            host.reported = true;
            m_changed = true;
            actions.emplace_back(host_state_changed{id, state, false});
        }
    }
}

void membership::rebuildViewIfChanged(membership_actions &actions)
{
    if (!m_changed) {
        return;
    }
    m_changed = false;
    auto view = std::make_shared<membership_view>();
    view->members.reserve(m_hosts.size() + 1);
    view->members.push_back({m_own.host, m_own.zone, m_own.address, m_own.incarnation, m_own.state, true});
    for (const auto &[id, host] : m_hosts) {
        view->members.push_back(
            {id, host.entry.zone, host.entry.address, host.known ? host.entry.incarnation : incarnation_id(), host.state, false});
    }
    std::sort(view->members.begin(), view->members.end(), [](const member &left, const member &right) { return left.host < right.host; });
    view->platform = m_list;
    view->hosts = m_roster;
    m_view = std::move(view);
    actions.emplace_back(view_changed{});
}

bool membership::mergeEntry(const member_entry &entry, time_point now, membership_actions &actions)
{
    if (entry.host.empty()) {
        return false;
    }
    if (entry.host == m_settings.self) {
        // News of an earlier run of this host: continue above its heartbeat, so that the present run wins everywhere.
        if (entry.incarnation != m_own.incarnation && entry.heartbeat >= m_own.heartbeat) {
            m_own.heartbeat = entry.heartbeat + 1;
            return true;
        }
        return false;
    }
    const auto [found, created] = m_hosts.try_emplace(entry.host);
    record &host = found->second;
    if (host.known && entry.heartbeat <= host.entry.heartbeat) {
        return false;
    }
    const bool restarted = host.known && host.entry.incarnation != entry.incarnation;
    const bool moved = created || host.entry.zone != entry.zone;
    if (!host.known || restarted || moved || host.entry.address != entry.address || host.entry.state != entry.state) {
        m_changed = true;
    }
    host.entry = entry;
    host.known = true;
    host.refreshed = now;
    if (moved) {
        countZones();
    }
    const host_state state = stateOf(host, now);
    if (state != host.state || restarted || !host.reported) {
        host.state = state;
        host.reported = true;
        m_changed = true;
        actions.emplace_back(host_state_changed{entry.host, state, restarted});
    }
    return false;
}

void membership::merge(const digest &message, time_point now, membership_actions &actions)
{
    bool raised = mergeEntry(message.sender, now, actions);
    for (const member_entry &entry : message.members) {
        raised = mergeEntry(entry, now, actions) || raised;
    }
    const auto sender = m_hosts.find(message.sender.host);
    if (sender != m_hosts.end() && sender->second.entry.incarnation == message.sender.incarnation) {
        sender->second.heard = now;
    }
    if (message.hostListRevision > m_list.revision) {
        actions.emplace_back(host_list_behind{message.sender.address, message.hostListRevision});
    }
    if (message.configRevision != m_configRevision || message.configHash != m_configHash) {
        actions.emplace_back(config_differs{message.sender.address, message.configRevision, message.configHash});
    }
    if (raised && !message.sender.address.empty()) {
        actions.emplace_back(send_digest{message.sender.address, makeDigest(message.sender.host, now)});
    }
}

digest membership::receive(const digest &message, time_point now, membership_actions &actions)
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
    message.sender = m_own;
    message.configRevision = m_configRevision;
    message.configHash = m_configHash;
    message.hostListRevision = m_list.revision;
    struct candidate {
        std::int64_t periods = 0; ///< Age in whole periods.
        std::uint64_t order = 0;
        const record *host = nullptr;
    };
    std::vector<candidate> fresh;
    for (const auto &[id, host] : m_hosts) {
        // Entries past suspicion are not passed on, so that a host that is gone is forgotten everywhere.
        if (host.known && id != recipient && now - host.refreshed < m_settings.suspectAfter) {
            // Among entries of one period the choice is random: with a fixed order some would never be passed on.
            fresh.push_back({(now - host.refreshed) / m_settings.period, m_random.next(), &host});
        }
    }
    const std::size_t count = std::min(fresh.size(), m_settings.digestEntries);
    const auto limit = fresh.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(fresh.begin(), limit, fresh.end(), [](const candidate &left, const candidate &right) {
        return std::tie(left.periods, left.order) < std::tie(right.periods, right.order);
    });
    // A restarted recipient finds the heartbeat of its earlier run here.
    const auto own = m_hosts.find(recipient);
    if (own != m_hosts.end() && own->second.known) {
        message.members.push_back(own->second.entry);
    }
    for (std::size_t index = 0; index < count && message.members.size() < m_settings.digestEntries; ++index) {
        message.members.push_back(fresh[index].host->entry);
    }
    return message;
}

std::vector<std::string> membership::choosePeers(time_point now)
{
    std::vector<const record *> zone;
    std::vector<const record *> others;
    for (const auto &[id, host] : m_hosts) {
        // Listed hosts are contacted even when they seem to be down: a healed partition is found that way.
        if ((host.listed || host.state != host_state::down) && !host.entry.address.empty()) {
            (host.entry.zone == m_settings.zone ? zone : others).push_back(&host);
        }
    }
    std::vector<std::string> addresses;
    const bool all = zone.size() + others.size() < m_settings.smallFleet;
    const auto pick = [&](std::vector<const record *> &from, std::size_t count) {
        // The order of an unordered map differs between processes; a sorted one makes the choice depend on the seed only.
        std::sort(from.begin(), from.end(), [](const record *left, const record *right) { return left->entry.host < right->entry.host; });
        count = all ? from.size() : std::min(count, from.size());
        for (std::size_t index = 0; index < count; ++index) {
            const std::size_t chosen = index + static_cast<std::size_t>(m_random.below(from.size() - index));
            std::swap(from[index], from[chosen]);
            addresses.push_back(from[index]->entry.address);
        }
    };
    pick(zone, m_settings.zonePeers);
    pick(others, m_settings.otherPeers);
    if (heardRecently(now) == 0) {
        for (const std::string &seed : m_settings.seeds) {
            if (seed != m_settings.address && std::find(addresses.begin(), addresses.end(), seed) == addresses.end()) {
                addresses.push_back(seed);
            }
        }
    }
    return addresses;
}

membership_actions membership::tick(time_point now)
{
    membership_actions actions;
    if (now >= m_nextScan) {
        m_nextScan = now + scanInterval;
        updateStates(now, actions);
    }
    if (now >= m_nextPeriod) {
        ++m_own.heartbeat;
        // After a pause the periods start again from now; missed ones are not made up for.
        m_nextPeriod = now - m_nextPeriod > m_settings.period ? now + m_settings.period : m_nextPeriod + m_settings.period;
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
    if (m_own.state == host_state::leaving) {
        return {};
    }
    m_own.state = host_state::leaving;
    m_nextPeriod = now;
    m_changed = true;
    return tick(now);
}

std::size_t membership::heardRecently(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        return entry.second.heard != time_point{} && now - entry.second.heard <= m_settings.period * 3 / 2;
    }));
}

} // namespace orioledrum
