#include <base/rendezvous.h>

#include <algorithm>
#include <utility>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace orioledrum
{

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    // XXH64 is specified on bytes, so all hosts compute the same weight whatever their processor and compiler.
    return XXH64(node.data(), node.size(), XXH64(key.data(), key.size(), 0));
}

std::vector<entry_host_id> rankHosts(std::string_view key, std::vector<entry_host_id> hosts)
{
    std::vector<std::pair<std::uint64_t, entry_host_id>> weighted;
    weighted.reserve(hosts.size());
    for (entry_host_id &host : hosts) {
        const std::uint64_t weight = rendezvousWeight(key, host.str());
        weighted.emplace_back(weight, std::move(host));
    }
    std::sort(weighted.begin(), weighted.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    std::vector<entry_host_id> ranked;
    ranked.reserve(weighted.size());
    for (auto &entry : weighted) {
        ranked.push_back(std::move(entry.second));
    }
    return ranked;
}

} // namespace orioledrum
