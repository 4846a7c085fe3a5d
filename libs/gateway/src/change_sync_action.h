#pragma once

#include <base/error.h>
#include <base/monotonic_clock.h>
#include <gateway/change_follower.h>
#include <wire/change_messages.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Start a read of the platform; its result goes to change_sync::readCompleted().
struct start_platform_read {
    std::uint64_t id = 0;
    source_read read; ///< `delay` is 0.
    bool freshConnection = false; ///< Open connections may have gone silent; the read must not use one that is idle.
};

/// Send a change_pull to a reader; its result goes to change_sync::readerAnswered().
struct send_pull {
    std::uint64_t id = 0;
    std::string reader; ///< Address.
    change_pull pull;
    /// Era of the state of this host. Nothing when the source tells none; the pull then has the form without an era.
    std::optional<std::uint64_t> era;
    std::chrono::milliseconds timeout{0};
};

/// Send a state_request to a reader; its result goes to change_sync::stateAnswered().
struct send_state_request {
    std::uint64_t id = 0;
    std::string reader; ///< Address.
    state_request request;
    std::chrono::milliseconds timeout{0};
};

/// Answer the change_pull or the state_request of another host.
struct answer_pull {
    std::uint64_t pull = 0; ///< As given to change_sync::pullReceived() or stateRequested().
    expected<change_batch> result;
    std::optional<std::uint64_t> era; ///< Of the result.
};

/// Apply changes to this host's state.
struct apply_changes {
    follower_update update;
    std::optional<std::uint64_t> era; ///< Era of the state that results.
    std::string from; ///< "list", "watch", "check" or the address of the reader.
    /// All changes published before this time were known before; nothing on the first list.
    std::optional<time_point> knownBefore;
    std::optional<time_point> deferRemovalsUntil; ///< Removals, these and later ones, are deferred until then; may be in the past.
};

/// A reader did not answer, is out of contact with the platform, or knows nothing newer.
struct reader_failed {
    std::string reader;
    error reason;
};

/// A read of the platform failed.
struct platform_read_failed {
    error reason;
    bool firstOfSeries = false; ///< The reads before it were answered.
};

/// The state has reached the age at which this host reads the platform itself beside what is outstanding.
struct state_old {
    std::chrono::milliseconds age{0};
};

using change_sync_action = std::
    variant<start_platform_read, send_pull, send_state_request, answer_pull, apply_changes, reader_failed, platform_read_failed, state_old>;
using change_sync_actions = std::vector<change_sync_action>;

} // namespace orioledrum
