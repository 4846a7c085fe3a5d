#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum::standin
{

/// One hit of a search.
struct shard_hit {
    std::string id;
    double score = 0;
    std::string text;
};

/// @return FNV-1a hash with a final mix; equal on every machine.
std::uint64_t stableHash(const std::string &text);

/// Computes the hits of a shard, which depend on nothing but the arguments, best score first.
/// @param count Hits that the shard holds for a query.
/// @param limit Hits to return at most; 0 for all.
std::vector<shard_hit>
makeHits(const std::string &shard, std::uint64_t snapshot, const std::string &query, std::uint32_t count, std::uint32_t limit);

} // namespace orioledrum::standin
