#pragma once

#include <base/strong_id.h>

#include <compare>
#include <cstdint>

namespace orioledrum
{

using entry_host_id = strong_id<struct entry_host_tag>;
using zone_id = strong_id<struct zone_tag>;
using backend_id = strong_id<struct backend_tag>;
using service_id = strong_id<struct service_tag>;
using shard_id = strong_id<struct shard_tag>;
using customer_id = strong_id<struct customer_tag>;
using request_id = strong_id<struct request_tag>;

/// Identifies a group of backend servers that share one owner lease: "SERVICE/ZONE/NUMBER".
using group_id = strong_id<struct group_tag>;

/// Random identifier of one run of a process, 32 hexadecimal digits. Every start of the process has a new one.
using incarnation_id = strong_id<struct incarnation_tag>;

/// Revision that the platform assigns to each published configuration or host list.
using revision_number = std::uint64_t;

/// A snapshot of a service's index together with the shard layout that it was built for.
struct snapshot_ref {
    std::uint64_t snapshot = 0; ///< Number of the snapshot.
    std::uint32_t layout = 0; ///< Number of the layout.
    auto operator<=>(const snapshot_ref &other) const = default; // NOLINT(modernize-use-nullptr): flags the generated comparison.
};

} // namespace orioledrum
