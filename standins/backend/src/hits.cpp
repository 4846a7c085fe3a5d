#include <standin/hits.h>

#include <base/random_source.h>

#include <algorithm>

namespace orioledrum::standin
{

std::uint64_t stableHash(const std::string &text)
{
    std::uint64_t hash = 0xCBF29CE484222325U;
    for (const char character : text) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001B3U;
    }
    return random_source(hash).next();
}

std::vector<shard_hit>
makeHits(const std::string &shard, std::uint64_t snapshot, const std::string &query, std::uint32_t count, std::uint32_t limit)
{
    random_source random(stableHash(shard + '\n' + std::to_string(snapshot) + '\n' + query));
    std::vector<shard_hit> hits;
    for (std::uint32_t index = 0; index < count; ++index) {
        // Scores are multiples of 1e-6 so that their JSON representation is short and exact.
        const double score = static_cast<double>(random.below(1000000)) / 1000000.0;
        hits.push_back(
            {shard + "-" + std::to_string(snapshot) + "-" + std::to_string(random.below(1000000000)), score, "Entry for " + query});
    }
    std::sort(hits.begin(), hits.end(), [](const shard_hit &left, const shard_hit &right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    if (limit != 0 && hits.size() > limit) {
        hits.resize(limit);
    }
    return hits;
}

} // namespace orioledrum::standin
