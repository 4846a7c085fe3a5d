#pragma once

#include <base/monotonic_clock.h>
#include <gateway/change_follower.h>
#include <gateway/published_change.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace orioledrum
{

/// Keeps what was known in use when the source comes back with an older copy of its state, until it is written again or is shown to be
/// gone. All changes pass through filter() before they are applied.
///
/// Entries are ordered by the start of their process and their sequence number. One that lacks a start time can be a restart as well as an
/// older entry; what was known then stays in use for the return time.
///
/// Nothing is kept while the source tells no era. A state machine without I/O. Not thread-safe.
class retained_state
{
public:
    /// Time for which removed entries are remembered. Copies from which a source comes back are some seconds old; the rest covers the time
    /// for which it was unavailable.
    static constexpr std::chrono::minutes removalMemory{10};

    /// @param returnTime Time after a return of the source in which what was known but is missing in its copy is written again.
    explicit retained_state(std::chrono::milliseconds returnTime);

    /// @param era Era of the state that results from the update.
    /// @return The changes to apply. A full list is completed by what stays in use.
    follower_update filter(follower_update &&update, const std::optional<std::uint64_t> &era, time_point now);

    /// Ends the use of what has not been written again in time. To be called at nextTick().
    /// @return The changes to apply.
    std::vector<published_change> tick(time_point now);
    /// @return When the next tick() is due, or time_point::max().
    [[nodiscard]] time_point nextTick() const;

    /// @return Entries and excluded zones that are in use although the source's copy has none, or older ones.
    [[nodiscard]] std::size_t retained() const;
    /// @return How many times the source has come back with older state.
    [[nodiscard]] std::uint64_t returns() const { return m_returns; }

private:
    struct known_entry {
        replica_entry entry;
        std::optional<time_point> removedAt; // Nothing: in use.
        std::uint64_t returnsAtRemoval = 0;
        std::optional<replica_entry> undecided; // Applied at the end of the return time.
        bool missing = false; // In use, but not in the source's copy.
    };

    enum class entry_order { newer, same, older, unknown };

    [[nodiscard]] static entry_order compare(const replica_entry &entry, const replica_entry &known);
    follower_update filterList(follower_update &&update, bool isReturn, time_point now);
    /// @return True when the entry is to be applied; it is then recorded.
    bool accept(const replica_entry &entry, bool fromList, time_point now);
    void recordRemoval(const backend_id &id, time_point now);
    void forgetOldRemovals(time_point now);
    /// Handles a change other than the entries of a list. @return False when it must not be applied.
    bool pass(published_change &change, time_point now);

    std::chrono::milliseconds m_returnTime;
    std::optional<std::uint64_t> m_era;
    bool m_synchronized = false;
    std::uint64_t m_returns = 0;
    time_point m_retainedUntil = time_point::min(); // End of the return time of the latest return.
    bool m_retaining = false; // Until m_retainedUntil.
    std::unordered_map<backend_id, known_entry> m_entries;
    std::deque<std::pair<time_point, backend_id>> m_removals; // Oldest first; may be out of date.
    std::set<zone_id> m_excludedZones;
    std::set<zone_id> m_missingZones; // Excluded, but not in the source's copy.
};

} // namespace orioledrum
