#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::standin
{

/// One search hit in a shard.
struct shard_hit {
    std::string id;
    double score = 0;
    std::string text;
};

/// @return FNV-1a hash with a final mixing step; identical on all machines.
std::uint64_t stableHash(const std::string &text);

/// Generates the hits of a shard, highest score first. The result depends only on the arguments.
/// @param count Number of hits that the shard holds for the query.
/// @param limit Maximum number of hits to return; 0 returns all.
std::vector<shard_hit>
makeHits(const std::string &shard, std::uint64_t snapshot, const std::string &query, std::uint32_t count, std::uint32_t limit);

} // namespace orioledrum::standin
