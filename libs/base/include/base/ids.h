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

/// Identifies a group of backend servers that share one owner lease: "service/zone/index".
using group_id = strong_id<struct group_tag>;

/// Random identifier of one incarnation of a process (changes at each start), 32 hexadecimal digits.
using incarnation_id = strong_id<struct incarnation_tag>;

/// Revision that the platform assigns to each published configuration or host list.
using revision_number = std::uint64_t;

/// A snapshot of a service's index together with the shard layout that it was built for.
struct snapshot_ref {
    std::uint64_t snapshot = 0;
    std::uint32_t layout = 0;
    auto operator<=>(const snapshot_ref &other) const = default; // NOLINT(modernize-use-nullptr): flags the generated comparison.
};

} // namespace orioledrum
