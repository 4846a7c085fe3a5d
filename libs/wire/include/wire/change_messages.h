#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Asks an entry host that reads the platform's changes itself for the changes after a revision.
struct change_pull {
    std::uint64_t after = 0; ///< Revision up to which the asking host knows all changes.
    /// How long the answer may be held back until there is a change, or the answering host knows that there was none.
    std::chrono::microseconds wait{0};
};

/// The answer to a change_pull.
struct change_batch {
    std::uint64_t revision = 0; ///< Revision up to which the answering host knows all changes; may be below change_pull::after.
    /// Time from the arrival of the change_pull to the latest moment of which it is certain that all changes published before it are
    /// known; negative when that moment is earlier. Counted from the arrival, it needs no common clock, and time on the way or in a
    /// frozen process makes the state seem older, never newer.
    std::chrono::microseconds confirmed{0};
    /// Remaining time for which removals of entries are deferred, because the platform was out of reach shortly before.
    std::chrono::microseconds deferRemovals{0};
    std::vector<std::string> pages; ///< Changes as the platform has sent them, oldest first, in the platform's encoding.
    /// Pages of the full list, when the asking host has missed changes that the answering host no longer has; `pages` then contains the
    /// changes after it. Otherwise empty.
    std::vector<std::string> listPages;
};

/// A change_pull with the era of its revision. A message of its own beside change_pull, which hosts of an earlier build read and send: the
/// codec refuses a message with another number of fields.
struct era_pull {
    std::uint64_t era = 0;
    change_pull pull;
};

/// The answer to an era_pull.
struct era_batch {
    std::uint64_t era = 0; ///< Era of all revisions and pages of the batch; may differ from era_pull::era.
    change_batch batch;
};

/// Asks a reader of the zone for the whole published state. Sent by a host that starts.
struct state_request {
    std::chrono::microseconds wait{0}; ///< How long the answer may be held back while the reader reads the list itself.
};

/// The answer to a state_request.
struct state_answer {
    std::optional<std::uint64_t> era; ///< Nothing when the platform tells none.
    change_batch batch; ///< Without a list when the reader is still reading it.
};

} // namespace orioledrum
