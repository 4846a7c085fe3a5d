#include <host_capacities.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

host_capacities::host_capacities(entry_host_id self, std::optional<std::uint32_t> millicores)
    : m_self(std::move(self))
{
    if (millicores) {
        m_meter.emplace(*millicores);
        m_own.millicores = *millicores;
    }
}

void host_capacities::tick(time_point now)
{
    if (!m_meter) {
        return;
    }
    m_meter->sample(processor_meter::processTime(), now);
    const auto used = m_meter->usedPercent() / usedPercentStep * usedPercentStep;
    m_changed = m_changed || used != m_own.usedPercent;
    m_own.usedPercent = used;
}

capacity_digest host_capacities::addTo(digest message) const
{
    capacity_digest result;
    result.sender = m_own;
    for (const auto &member : message.members) {
        result.members.push_back(of(member.host));
    }
    result.base = std::move(message);
    return result;
}

void host_capacities::take(const member_entry &entry, const host_capacity &capacity)
{
    if (entry.host == m_self || capacity.millicores == 0) {
        return;
    }
    auto &known = m_known[entry.host];
    if (entry.heartbeat < known.heartbeat) {
        return;
    }
    known.heartbeat = entry.heartbeat;
    m_changed = m_changed || capacity != known.capacity;
    known.capacity = capacity;
}

void host_capacities::merge(const capacity_digest &message)
{
    take(message.base.sender, message.sender);
    const auto count = std::min(message.members.size(), message.base.members.size());
    for (std::size_t i = 0; i < count; ++i) {
        take(message.base.members[i], message.members[i]);
    }
}

host_capacity host_capacities::of(const entry_host_id &host) const
{
    if (host == m_self) {
        return m_own;
    }
    const auto found = m_known.find(host);
    return found == m_known.end() ? host_capacity() : found->second.capacity;
}

bool host_capacities::takeChanged()
{
    return std::exchange(m_changed, false);
}

bool host_capacities::understands(const std::string &address, time_point now) const
{
    const auto found = m_refusedAt.find(address);
    return found == m_refusedAt.end() || now - found->second >= refusalMemory;
}

void host_capacities::refused(const std::string &address, time_point now)
{
    m_refusedAt[address] = now;
}

} // namespace orioledrum
