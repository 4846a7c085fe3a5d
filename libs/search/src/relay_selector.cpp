#include <search/relay_selector.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

relay_selector::relay_selector(random_source random)
    : m_random(random)
{
}

void relay_selector::setHosts(const std::vector<relay_host> &hosts)
{
    std::map<std::string, relay_state> updated;
    for (const auto &host : hosts) {
        const auto existing = m_hosts.find(host.address);
        auto &state = updated[host.address];
        if (existing != m_hosts.end()) {
            state = existing->second;
        }
        state.zone = host.zone;
    }
    m_hosts = std::move(updated);
}

std::optional<relay_host>
relay_selector::choose(const std::vector<zone_id> &zones, time_point now, const std::vector<std::string> &excluded)
{
    // Choose a zone first and then a host in it, so that the backend servers of each zone get the same share of the work
    // however many hosts the zone has.
    std::map<zone_id, std::vector<const std::string *>> candidates;
    for (const auto &[address, state] : m_hosts) {
        const bool allowed = std::find(excluded.begin(), excluded.end(), address) == excluded.end();
        if (allowed && now >= state.backoffUntil && std::find(zones.begin(), zones.end(), state.zone) != zones.end()) {
            candidates[state.zone].push_back(&address);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto zone = std::next(candidates.begin(), static_cast<std::ptrdiff_t>(m_random.below(candidates.size())));
    const auto &addresses = zone->second;
    return relay_host{*addresses[m_random.below(addresses.size())], zone->first};
}

void relay_selector::failed(const std::string &address, time_point now)
{
    const auto found = m_hosts.find(address);
    if (found == m_hosts.end() || now < found->second.backoffUntil) {
        return; // Searches that were already sent to the host may fail as well; together they count as one failure.
    }
    found->second.backoffUntil = now + found->second.nextBackoff;
    found->second.nextBackoff = std::min(maxBackoff, found->second.nextBackoff * 2);
}

void relay_selector::answered(const std::string &address)
{
    if (const auto found = m_hosts.find(address); found != m_hosts.end()) {
        found->second.nextBackoff = initialBackoff;
    }
}

} // namespace orioledrum
