#pragma once

#include <base/ids.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// Computes the rendezvous hashing weight of a node for a key. The value depends only on the bytes of both names, so that
/// it is the same in every process and on every host.
/// @param key The key to place, for example a group id or "config-reader".
/// @param node The name of the candidate.
/// @return The weight; a greater weight ranks first.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Ranks hosts for a key by rendezvous hashing.
/// @param key The key to place.
/// @param hosts The candidates, in any order.
/// @return The candidates, most preferred first; candidates of equal weight are ordered by id.
std::vector<entry_host_id> rankHosts(std::string_view key, std::vector<entry_host_id> hosts);

} // namespace orioledrum
