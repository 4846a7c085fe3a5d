#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Asks a voter for the lease of a group, or renews it.
struct lease_request {
    group_id group;
    entry_host_id holder;
    incarnation_id incarnation;
    revision_number roster = 0; ///< Host list revision under which the voters were chosen.
    std::uint64_t sequence = 0; ///< Numbered by the asker; lets it match the answer to the time of sending.
    bool isolated = false; ///< The asker's zone is cut off from all others and the zone's hosts decide alone.
};

/// A voter's answer to a lease_request.
struct lease_answer {
    group_id group;
    entry_host_id voter;
    std::uint64_t sequence = 0;
    bool granted = false;
    entry_host_id holder; ///< The present holder when the request was not granted.
    revision_number roster = 0; ///< The voter's host list revision.
    bool isolated = false; ///< The voter's zone counts as cut off from all others.
};

/// Gives a lease back; the voter may grant it to another host at once.
struct lease_release {
    group_id group;
    entry_host_id holder;
    incarnation_id incarnation;
    std::uint64_t sequence = 0; ///< Number of the last request it gives back; a late copy does not affect later grants.
};

/// Several lease messages for one voter in one request.
struct lease_batch {
    std::vector<lease_request> requests;
    std::vector<lease_release> releases;
};

/// The answers to a lease_batch.
struct lease_batch_answer {
    std::vector<lease_answer> answers;
};

/// Life cycle state of an entry host or backend server.
enum class host_state : std::uint8_t { live, leaving, suspect, down };

/// @return "live", "leaving", "suspect" or "down".
std::string_view toString(host_state state);

/// What an entry host knows about another one.
struct member_entry {
    entry_host_id host;
    zone_id zone;
    std::string address; ///< "ip:port" for traffic between entry hosts.
    incarnation_id incarnation;
    std::uint64_t heartbeat = 0; ///< Raised by the host itself each period.
    host_state state = host_state::live; ///< Only live or leaving travel.
};

/// Periodic anti-entropy message; the receiver answers with its own digest.
struct digest {
    member_entry sender;
    revision_number configRevision = 0;
    std::uint64_t configHash = 0;
    /// Time since the service confirmed configRevision, directly or through peers; negative when it never did.
    std::chrono::microseconds configConfirmedAge{-1};
    revision_number hostListRevision = 0;
    std::vector<member_entry> members; ///< The freshest entries the sender knows.
};

/// Asks a peer for a newer configuration.
struct config_pull {
    revision_number have = 0; ///< 0 when the asker has none.
};

/// A configuration revision, whole or as the files that changed since `base`.
struct config_files_message {
    revision_number revision = 0; ///< 0 when the sender has nothing newer.
    revision_number base = 0; ///< 0 when `files` is the whole set.
    std::uint64_t hash = 0; ///< Hash of the whole set at `revision`.
    std::map<std::string, std::string> files; ///< File name to text.
    std::vector<std::string> removed; ///< Files of `base` that no longer exist.
};

/// Kind of host in the platform's list.
enum class host_kind : std::uint8_t { entryHost, backendServer };

/// One host of the platform's list.
struct platform_host {
    std::string id;
    host_kind kind = host_kind::entryHost;
    zone_id zone;
    std::string address;
    bool leaving = false;
};

/// The platform's list of hosts at one revision.
struct host_list {
    revision_number revision = 0;
    std::vector<platform_host> hosts;
};

/// Asks a peer for a newer host list.
struct host_list_pull {
    revision_number have = 0;
};

} // namespace orioledrum
