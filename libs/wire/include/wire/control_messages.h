#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Asks a voter to grant or renew the lease of a group.
struct lease_request {
    group_id group;
    entry_host_id holder; ///< The requesting host, which is the holder if a majority of the voters grants the lease.
    incarnation_id incarnation; ///< Incarnation of `holder`.
    revision_number hostListRevision = 0; ///< Host list revision that determined the voters.
    std::uint64_t sequence = 0; ///< Set by the requesting host to find the sending time of the request that an answer belongs to.
    bool isolated = false; ///< The requesting host's zone is cut off from all other zones, so only hosts of this zone vote.
};

/// A voter's answer to a lease_request.
struct lease_answer {
    group_id group;
    entry_host_id voter;
    std::uint64_t sequence = 0;
    bool granted = false;
    entry_host_id holder; ///< Holder of the unexpired grant of this voter, the requesting host if granted; empty without such a grant.
    revision_number hostListRevision = 0; ///< The voter's host list revision.
    bool isolated = false; ///< The voter considers its zone cut off from all other zones.
};

/// Releases a lease; the voter may grant it to another host at once.
struct lease_release {
    group_id group;
    entry_host_id holder;
    incarnation_id incarnation;
    /// Sequence of the last released request. The release also covers earlier requests, even those that arrive after it, but no
    /// later ones, so that a delayed release does not affect later grants.
    std::uint64_t sequence = 0;
};

/// Lease requests and releases for one voter, sent as one message.
struct lease_batch {
    std::vector<lease_request> requests;
    std::vector<lease_release> releases;
};

/// The answers to the requests of a lease_batch, in their order; releases are not answered.
struct lease_batch_answer {
    std::vector<lease_answer> answers;
};

/// Membership state of an entry host.
enum class host_state : std::uint8_t { live, leaving, suspect, down };

/// @return "live", "leaving", "suspect" or "down".
std::string_view toString(host_state state);

/// Membership entry of an entry host, distributed by gossip.
struct member_entry {
    entry_host_id host;
    zone_id zone;
    std::string address; ///< "ip:port" for traffic between entry hosts.
    incarnation_id incarnation;
    std::uint64_t heartbeat = 0; ///< Counter that the host itself increments in each gossip period.
    host_state state = host_state::live; ///< Only live or leaving is sent.
};

/// Periodic anti-entropy message; the receiver answers with its own digest.
struct digest {
    member_entry sender;
    revision_number configRevision = 0;
    std::uint64_t configHash = 0;
    /// Time since the configuration service confirmed configRevision, directly or through peers; negative when it never did.
    std::chrono::microseconds configConfirmedAge{-1};
    revision_number hostListRevision = 0;
    std::vector<member_entry> members; ///< The newest entry of each host that the sender knows.
};

/// Processor capacity of a host and how much of it is in use.
struct host_capacity {
    std::uint32_t millicores = 0; ///< Thousandths of a processor that the host may use; 0: not known.
    std::uint32_t usedPercent = 0; ///< Share of it that the host has used in the last seconds.

    bool operator==(const host_capacity &) const = default;
};

/// A digest with the capacity of the hosts in it. A host of an earlier version knows only the digest alone.
struct capacity_digest {
    digest base;
    host_capacity sender;
    std::vector<host_capacity> members; ///< In the order of digest::members.
};

/// Asks a peer for a newer configuration.
struct config_pull {
    revision_number knownRevision = 0; ///< Configuration revision of the asking host; 0 when it has no configuration.
};

/// A configuration revision: all files, or only the files that changed since `base`.
struct config_files_message {
    revision_number revision = 0; ///< 0 when the sender has nothing newer.
    revision_number base = 0; ///< Revision that `files` and `removed` are relative to; 0 when `files` has all files.
    std::uint64_t hash = 0; ///< Hash of all files at `revision`.
    std::map<std::string, std::string> files; ///< Contents by file name.
    std::vector<std::string> removed; ///< Files of `base` that no longer exist.
};

/// Kind of host in the platform's host list.
enum class host_kind : std::uint8_t { entryHost, backendServer };

/// Entry of the platform's host list.
struct platform_host {
    std::string id;
    host_kind kind = host_kind::entryHost;
    zone_id zone;
    std::string address;
    bool leaving = false;
};

/// The platform's host list at one revision.
struct host_list {
    revision_number revision = 0;
    std::vector<platform_host> hosts;
};

/// Asks a peer for a newer host list.
struct host_list_pull {
    revision_number knownRevision = 0; ///< Host list revision of the asking host.
};

} // namespace orioledrum
