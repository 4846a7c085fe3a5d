#include <retained_state.h>

#include <algorithm>
#include <iterator>

namespace orioledrum
{

retained_state::retained_state(std::chrono::milliseconds returnTime)
    : m_returnTime(returnTime)
{
}

time_point retained_state::nextTick() const
{
    return m_retaining ? m_retainedUntil : time_point::max();
}

std::size_t retained_state::retained() const
{
    const auto entries = std::count_if(
        m_entries.begin(), m_entries.end(), [](const auto &known) { return known.second.missing || known.second.undecided.has_value(); });
    return static_cast<std::size_t>(entries) + m_missingZones.size();
}

retained_state::entry_order retained_state::compare(const replica_entry &entry, const replica_entry &known)
{
    const bool sameRun = entry.startedAt && known.startedAt ? entry.startedAt == known.startedAt : entry.address == known.address;
    if (entry.startedAt && known.startedAt && !sameRun) {
        return *entry.startedAt > *known.startedAt ? entry_order::newer : entry_order::older;
    }
    if (sameRun && entry.sequence >= known.sequence) {
        return entry.sequence > known.sequence ? entry_order::newer : entry_order::same;
    }
    // Without a start time, the counter may have begun anew.
    return entry.startedAt && known.startedAt ? entry_order::older : entry_order::unknown;
}

bool retained_state::accept(const replica_entry &entry, bool fromList, time_point now)
{
    const auto found = m_entries.find(entry.id);
    if (found == m_entries.end()) {
        m_entries.emplace(entry.id, known_entry{entry, {}, 0, {}, false});
        return true;
    }
    auto &known = found->second;
    // Within an era, whatever comes after a removal was written after it.
    if (m_returns > 0 && (!known.removedAt || known.returnsAtRemoval < m_returns)) {
        const auto order = compare(entry, known.entry);
        // The old copy still has the last entry of a backend server that has left.
        const bool refused = order == entry_order::older || (known.removedAt && order == entry_order::same);
        if (refused || (order == entry_order::unknown && known.removedAt && fromList)) {
            return false;
        }
        if (order == entry_order::unknown && now < m_retainedUntil) {
            known.undecided = entry;
            return false;
        }
    }
    known = {entry, {}, 0, {}, false};
    return true;
}

void retained_state::recordRemoval(const backend_id &id, time_point now)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    found->second.undecided.reset();
    found->second.missing = false;
    if (!found->second.removedAt) {
        found->second.removedAt = now;
        found->second.returnsAtRemoval = m_returns;
        m_removals.emplace_back(now, id);
    }
}

void retained_state::forgetOldRemovals(time_point now)
{
    while (!m_removals.empty() && now - m_removals.front().first > removalMemory) {
        const auto found = m_entries.find(m_removals.front().second);
        if (found != m_entries.end() && found->second.removedAt == m_removals.front().first) {
            m_entries.erase(found);
        }
        m_removals.pop_front();
    }
}

bool retained_state::pass(published_change &change, time_point now)
{
    if (const auto *published = std::get_if<replica_published>(&change)) {
        return accept(published->entry, false, now);
    }
    if (const auto *removal = std::get_if<replica_removed>(&change)) {
        recordRemoval(removal->id, now);
    } else if (const auto *unreadable = std::get_if<unreadable_change>(&change)) {
        recordRemoval(unreadable->id, now);
    } else if (const auto *zone = std::get_if<zone_changed>(&change)) {
        m_missingZones.erase(zone->zone); // Written again, or written and removed again.
        if (zone->excluded) {
            m_excludedZones.insert(zone->zone);
        } else {
            m_excludedZones.erase(zone->zone);
        }
    }
    return true;
}

follower_update retained_state::filterList(follower_update &&update, bool isReturn, time_point now)
{
    std::vector<published_change> changes;
    std::set<zone_id> zones;
    std::set<backend_id> listed;
    for (auto &change : update.changes) {
        if (auto *published = std::get_if<replica_published>(&change)) {
            const auto id = published->entry.id;
            if (accept(published->entry, true, now)) {
                listed.insert(id);
                changes.push_back(std::move(change));
            } else if (const auto &known = m_entries.at(id); !known.removedAt) {
                listed.insert(id);
                changes.emplace_back(replica_published{known.entry});
            }
        } else if (auto *unreadable = std::get_if<unreadable_change>(&change); unreadable != nullptr && isReturn) {
            unreadable->id = {}; // An older entry, which does not end the use of the known one.
            changes.push_back(std::move(change));
        } else {
            if (const auto *zone = std::get_if<zone_changed>(&change); zone != nullptr && zone->excluded) {
                zones.insert(zone->zone);
            }
            changes.push_back(std::move(change));
        }
    }
    for (auto &[id, known] : m_entries) {
        if (known.removedAt || listed.contains(id)) {
            continue;
        }
        if (isReturn || known.missing) {
            known.missing = true;
            known.undecided.reset();
            changes.emplace_back(replica_published{known.entry});
        } else {
            recordRemoval(id, now);
        }
    }
    const auto before = std::exchange(m_excludedZones, std::move(zones));
    const auto missingBefore = std::exchange(m_missingZones, {});
    for (const auto &zone : before) {
        if ((isReturn || missingBefore.contains(zone)) && m_excludedZones.insert(zone).second) {
            m_missingZones.insert(zone);
            changes.emplace_back(zone_changed{zone, true});
        }
    }
    update.changes = std::move(changes);
    return std::move(update);
}

follower_update retained_state::filter(follower_update &&update, const std::optional<std::uint64_t> &era, time_point now)
{
    if (!era) {
        return std::move(update);
    }
    forgetOldRemovals(now);
    if (!update.isFullSnapshot) {
        std::erase_if(update.changes, [&](published_change &change) { return !pass(change, now); });
        return std::move(update);
    }
    const bool isReturn = m_synchronized && era != m_era;
    m_era = era;
    m_synchronized = true;
    if (isReturn) {
        ++m_returns;
        m_retainedUntil = now + m_returnTime;
        m_retaining = true;
    }
    return filterList(std::move(update), isReturn, now);
}

std::vector<published_change> retained_state::tick(time_point now)
{
    std::vector<published_change> changes;
    if (now < nextTick()) {
        return changes;
    }
    m_retaining = false;
    for (const auto &zone : std::exchange(m_missingZones, {})) {
        m_excludedZones.erase(zone);
        changes.emplace_back(zone_changed{zone, false});
    }
    for (auto known = m_entries.begin(); known != m_entries.end();) {
        if (auto &undecided = known->second.undecided) {
            changes.emplace_back(replica_published{*undecided});
            auto entry = std::move(*undecided);
            known->second = {std::move(entry), {}, 0, {}, false};
        } else if (known->second.missing) {
            changes.emplace_back(replica_removed{known->first});
            known = m_entries.erase(known); // Unlike one that was removed before, it may return as it was.
            continue;
        }
        ++known;
    }
    return changes;
}

} // namespace orioledrum
