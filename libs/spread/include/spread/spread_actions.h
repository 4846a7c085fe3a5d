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
/// number through onServiceAnswer, onServiceUnchanged or onServiceFailed. The caller gives the call up after
/// `wait` + 1 s and reports a failure.
struct read_service_action {
    std::uint64_t call = 0;
    revision_number after = 0;
    std::chrono::milliseconds wait{0}; ///< 0: answer at once.
};

/// Send a config_push to a peer. Nothing is reported back.
struct send_push_action {
    entry_host_id to;
    config_files_message message;
};

/// Send a config_pull to a peer; hand its answer to onPullAnswer, a failure to onPullFailed.
struct send_pull_action {
    entry_host_id to;
    config_pull message;
};

/// Send this host's digest to a peer now and hand the digest that it answers with to onDigest.
struct send_digest_action {
    entry_host_id to;
};

/// Put a configuration into force. Revisions only ever rise.
struct apply_configuration_action {
    std::shared_ptr<const configuration> value;
};

/// The start-up fence has opened; emitted once.
struct start_complete_action {
    bool majorityAnswered = false; ///< False when the time limit ended the wait.
};

/// What kind of fault is reported.
enum class spread_problem_kind : std::uint8_t {
    rejected, ///< A greater revision failed the check and is not applied.
    olderRevision, ///< The platform answered a revision below the one in force.
    conflictingRevision, ///< Two different contents carry the same revision number.
    hashMismatch, ///< Files from a peer do not match their hash; they were not used.
};

/// @return The camelCase name of the kind.
std::string_view toString(spread_problem_kind kind);

/// A fault for log, time line and metrics. A repetition of the last fault of a kind is counted, not reported again.
struct report_problem_action {
    spread_problem_kind kind = spread_problem_kind::rejected;
    revision_number revision = 0; ///< The revision that the fault concerns.
    std::string source; ///< Peer, or "configuration service".
    std::string text; ///< One sentence.
    std::vector<config_problem> problems; ///< Filled for `rejected`.
};

/// What the owner of a spread_machine has to do.
using spread_action = std::variant<read_service_action,
                                   send_push_action,
                                   send_pull_action,
                                   send_digest_action,
                                   apply_configuration_action,
                                   start_complete_action,
                                   report_problem_action>;

/// Actions in the order in which they are to be carried out.
using spread_actions = std::vector<spread_action>;

} // namespace orioledrum
