#pragma once

#include <chrono>

namespace orioledrum
{

/// When a host that follows published changes asks whom, by the age of its state: the time since the latest moment of which it is certain
/// that all changes published before it are known. All times are parts of one bound, so that waits that fail one after the other do not
/// add up beyond it.
struct change_deadlines {
    std::chrono::milliseconds bound{0}; ///< Maximum time from the publication of a change to its use.
    std::chrono::milliseconds wait{0}; ///< How long the platform may hold a read open until there is a change.
    std::chrono::milliseconds nextReaderAge{0}; ///< At this age another reader is asked.
    std::chrono::milliseconds answerTime{0}; ///< Time for the answer of another host beyond the wait that it is asked for.
    /// Wait of a read of the platform that is to confirm the state soon, because the read before it had changes.
    std::chrono::milliseconds shortWait{0};
    std::chrono::milliseconds ownReadAge{0}; ///< At this age a host reads the platform itself, whatever else is outstanding.
    std::chrono::milliseconds ownReadInterval{0}; ///< Time after which it starts another such read beside an unanswered one.
    std::chrono::milliseconds ownReadTimeout{0}; ///< Longer than the interval: a large answer may take its time.

    /// @param bound The shortest bound on any kind of change.
    static change_deadlines within(std::chrono::milliseconds bound);
};

} // namespace orioledrum
