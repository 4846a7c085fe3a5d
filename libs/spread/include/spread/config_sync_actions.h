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
    std::uint64_t call = 0; ///< Number of the call, increasing from 1.
    revision_number after = 0; ///< The service sends a revision only if it is greater than this; 0 requests any.
    std::chrono::milliseconds wait{0}; ///< How long the service may wait for a greater revision (long poll); 0 for none.
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

/// Send this host's digest to a peer immediately and pass the digest in its answer to onDigest.
struct send_digest_action {
    entry_host_id to;
};

/// Activate a configuration. Its revision is greater than that of the previously active configuration. Until
/// start_complete_action, the caller may store the configuration without using it.
struct apply_configuration_action {
    std::shared_ptr<const configuration> value;
};

/// The start-up wait for answers of peers is over. Emitted once.
struct start_complete_action {
    bool majorityAnswered = false; ///< A majority of the peers has answered; false only when the time limit ended the wait.
};

/// Kind of a reported problem.
enum class config_sync_problem_kind : std::uint8_t {
    rejected, ///< A revision greater than the active one failed the configuration check and is not applied.
    olderRevision, ///< The configuration service answered with a revision less than the active one.
    conflictingRevision, ///< The service or a peer has different content with the number of the active revision.
    hashMismatch, ///< Files from a peer do not match their hash and were discarded.
};

/// @return The camelCase name of the kind.
std::string_view toString(config_sync_problem_kind kind);

/// Report a problem in log, time line and metrics. Not emitted when the previous problem of the same kind concerned the same
/// revision; the problem is then only counted.
struct report_problem_action {
    config_sync_problem_kind kind = config_sync_problem_kind::rejected;
    revision_number revision = 0; ///< The revision that the problem concerns.
    std::string source; ///< Id of the peer, or "configuration service".
    std::string text; ///< Description of the problem, one sentence.
    std::vector<config_problem> problems; ///< The errors found by the configuration check; empty for kinds other than `rejected`.
};

/// An action that the caller of a config_sync_machine must carry out.
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
