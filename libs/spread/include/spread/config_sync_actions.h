#pragma once

#include <base/ids.h>
#include <config/configuration.h>
#include <wire/control_messages.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// Call the configuration service: GET /v1/config?after=AFTER&waitMs=WAIT. Report the result with the same `call`
/// number through onServiceAnswer, onServiceUnchanged or onServiceFailed. The call times out after `wait` + 1 s, which is
/// reported as a failure.
struct fetch_config_action {
    std::uint64_t call = 0; ///< Number of the call.
    revision_number after = 0; ///< Greatest revision that the service need not send; 0 asks for any.
    std::chrono::milliseconds wait{0}; ///< How long the service may hold the call (long poll); 0: it answers at once.
};

/// Push a revision to a peer. The result is not reported back.
struct send_push_action {
    entry_host_id to;
    config_files_message message;
};

/// Send a config_pull to a peer. Pass its answer to onPullAnswer and a failure to onPullFailed.
struct send_pull_action {
    entry_host_id to;
    config_pull message;
};

/// Send this host's digest to a peer at once and pass the digest in its answer to onDigest.
struct send_digest_action {
    entry_host_id to;
};

/// Put a configuration into force. Each revision is greater than the previous one.
struct apply_configuration_action {
    std::shared_ptr<const configuration> value;
};

/// The start-up wait is over. Emitted once.
struct start_complete_action {
    bool majorityAnswered = false; ///< False when the time limit ended the wait.
};

/// Kind of a reported problem.
enum class spread_problem_kind : std::uint8_t {
    rejected, ///< A greater revision failed the check and is not applied.
    olderRevision, ///< The configuration service answered with a revision below the one in force.
    conflictingRevision, ///< The service or a peer has other content under the number of the revision in force.
    hashMismatch, ///< Files from a peer do not match their hash and were discarded.
};

/// @return The camelCase name of the kind.
std::string_view toString(spread_problem_kind kind);

/// Report a problem in log, time line and metrics. When the next problem of a kind concerns the same revision, it is only
/// counted.
struct report_problem_action {
    spread_problem_kind kind = spread_problem_kind::rejected;
    revision_number revision = 0; ///< The revision that the problem concerns.
    std::string source; ///< Id of the peer, or "configuration service".
    std::string text; ///< One sentence.
    std::vector<config_problem> problems; ///< Filled for `rejected`.
};

/// An action that the owner of a config_sync_machine must carry out.
using config_sync_action = std::variant<fetch_config_action,
                                        send_push_action,
                                        send_pull_action,
                                        send_digest_action,
                                        apply_configuration_action,
                                        start_complete_action,
                                        report_problem_action>;

/// Actions in the order in which they are to be carried out.
using config_sync_actions = std::vector<config_sync_action>;

} // namespace orioledrum
