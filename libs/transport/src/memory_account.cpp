#include <memory_account.h>

#include <utility>

namespace orioledrum
{

memory_account::holder_id memory_account::add(time_point now)
{
    const auto id = ++m_lastId;
    holder entry;
    entry.progressAt = now;
    m_holders.emplace(id, entry);
    ++m_connections;
    return id;
}

void memory_account::remove(holder_id id)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return;
    }
    if (!found->second.closed) {
        m_requestBytes -= found->second.bytes;
        --m_connections;
    }
    m_holders.erase(found);
}

bool memory_account::set(holder_id id, phase waitsFor, std::size_t bytes, time_point now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return true;
    }
    auto &entry = found->second;
    if (entry.closed) {
        return false;
    }
    m_requestBytes = m_requestBytes - entry.bytes + bytes;
    entry.waitsFor = waitsFor;
    entry.bytes = bytes;
    entry.transferred = 0;
    entry.progressAt = now;
    closeSlowest(id);
    return true;
}

bool memory_account::grow(holder_id id, std::size_t bytes, time_point now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end() || found->second.closed) {
        return true;
    }
    found->second.bytes += bytes;
    m_requestBytes += bytes;
    recordTransfer(id, bytes, now);
    closeSlowest(id);
    return m_budget == 0 || used() <= m_budget || !isLarge(found->second);
}

void memory_account::recordTransfer(holder_id id, std::size_t bytes, time_point now)
{
    const auto found = m_holders.find(id);
    if (found == m_holders.end()) {
        return;
    }
    auto &entry = found->second;
    entry.transferred += bytes;
    if (entry.transferred >= progressBytes) {
        entry.transferred = 0;
        entry.progressAt = now;
    }
}

bool memory_account::admitsLarge(std::size_t bytes) const
{
    // A single request may exceed half of the budget, so that it is served by a process with little memory when there is nothing else.
    return m_budget == 0 || m_requestBytes + bytes <= m_budget / 2 || m_requestBytes <= m_budget / 8;
}

std::vector<memory_account::closed_holder> memory_account::takeClosed()
{
    return std::exchange(m_closed, {});
}

memory_account::time_point memory_account::lastProgress(holder_id id) const
{
    const auto found = m_holders.find(id);
    return found == m_holders.end() ? time_point::max() : found->second.progressAt;
}

void memory_account::closeSlowest(holder_id except)
{
    while (m_budget != 0 && used() > m_budget) {
        auto slowest = m_holders.end();
        for (auto entry = m_holders.begin(); entry != m_holders.end(); ++entry) {
            const auto &[id, candidate] = *entry;
            const bool waitsForClient = candidate.waitsFor == phase::receiving || candidate.waitsFor == phase::sending;
            if (id == except || candidate.closed || !waitsForClient || candidate.bytes == 0) {
                continue;
            }
            const bool better = slowest == m_holders.end() || (isLarge(candidate) && !isLarge(slowest->second))
                || (isLarge(candidate) == isLarge(slowest->second) && candidate.progressAt < slowest->second.progressAt);
            if (better) {
                slowest = entry;
            }
        }
        if (slowest == m_holders.end()) {
            return;
        }
        forget(slowest->second);
        m_closed.push_back({slowest->first, slowest->second.waitsFor});
    }
}

void memory_account::close(holder_id id)
{
    const auto found = m_holders.find(id);
    if (found != m_holders.end() && !found->second.closed) {
        forget(found->second);
    }
}

void memory_account::forget(holder &entry)
{
    entry.closed = true;
    m_requestBytes -= entry.bytes;
    --m_connections;
}

} // namespace orioledrum
