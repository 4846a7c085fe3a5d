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
    std::map<std::string, host_state> next;
    for (const auto &host : hosts) {
        const auto known = m_hosts.find(host.address);
        auto &state = next[host.address];
        if (known != m_hosts.end()) {
            state = known->second;
        }
        state.zone = host.zone;
    }
    m_hosts = std::move(next);
}

std::optional<relay_host> relay_selector::choose(const std::vector<zone_id> &zones, time_point now, const std::vector<std::string> &taken)
{
    // First a zone, then a host in it: the backend servers of the zones get the same share however many hosts each has.
    std::map<zone_id, std::vector<const std::string *>> candidates;
    for (const auto &[address, state] : m_hosts) {
        const bool wanted = std::find(taken.begin(), taken.end(), address) == taken.end();
        if (wanted && now >= state.blockedUntil && std::find(zones.begin(), zones.end(), state.zone) != zones.end()) {
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
    if (found == m_hosts.end() || now < found->second.blockedUntil) {
        return; // Failures of searches that were sent before the first one showed count once.
    }
    found->second.blockedUntil = now + found->second.nextBlock;
    found->second.nextBlock = std::min(blockLongest, found->second.nextBlock * 2);
}

void relay_selector::answered(const std::string &address)
{
    if (const auto found = m_hosts.find(address); found != m_hosts.end()) {
        found->second.nextBlock = blockFirst;
    }
}

} // namespace orioledrum
