#include <ownership/backend_group.h>

#include <algorithm>
#include <string>
#include <unordered_map>

namespace orioledrum
{

std::vector<backend_group> partitionIntoGroups(const service_id &service, const zone_id &zone, std::vector<backend_id> backends)
{
    std::sort(backends.begin(), backends.end());
    backends.erase(std::unique(backends.begin(), backends.end()), backends.end());
    const std::size_t count = (backends.size() + maxGroupSize - 1) / maxGroupSize;
    std::vector<backend_group> groups;
    groups.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t begin = backends.size() * index / count;
        const std::size_t end = backends.size() * (index + 1) / count;
        backend_group group;
        group.id = group_id(service.str() + "/" + zone.str() + "/" + std::to_string(index));
        group.zone = zone;
        group.members.assign(backends.begin() + static_cast<std::ptrdiff_t>(begin), backends.begin() + static_cast<std::ptrdiff_t>(end));
        groups.push_back(std::move(group));
    }
    return groups;
}

std::vector<backend_id> regroupedBackends(const std::vector<backend_group> &before, const std::vector<backend_group> &after)
{
    std::unordered_map<backend_id, group_id> groupBefore;
    for (const backend_group &group : before) {
        for (const backend_id &backend : group.members) {
            groupBefore.emplace(backend, group.id);
        }
    }
    std::vector<backend_id> regrouped;
    for (const backend_group &group : after) {
        for (const backend_id &backend : group.members) {
            const auto found = groupBefore.find(backend);
            if (found != groupBefore.end() && found->second != group.id) {
                regrouped.push_back(backend);
            }
        }
    }
    std::sort(regrouped.begin(), regrouped.end());
    return regrouped;
}

zone_id zoneOfGroup(const group_id &group)
{
    const std::string &text = group.str();
    const std::size_t lastSlash = text.rfind('/');
    if (lastSlash == std::string::npos || lastSlash == 0) {
        return {};
    }
    const std::size_t previousSlash = text.rfind('/', lastSlash - 1);
    if (previousSlash == std::string::npos) {
        return {};
    }
    return zone_id(text.substr(previousSlash + 1, lastSlash - previousSlash - 1));
}

} // namespace orioledrum
