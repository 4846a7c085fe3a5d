#include <config/configuration.h>

#include "configuration_builder.h"
#include "merged_tree.h"

#include <algorithm>

namespace orioledrum
{

namespace
{

template<typename Entry, typename Id>
const Entry *findById(const std::vector<Entry> &entries, const std::unordered_map<Id, std::uint32_t> &index, const Id &id)
{
    const auto found = index.find(id);
    return found == index.end() ? nullptr : &entries[found->second];
}

/// Appends the values below a node in the order of their key paths.
void collectValues(const merged_node &node, const std::string &path, std::vector<merged_value> &values)
{
    if (!node.value.is_null()) {
        values.push_back({path, node.value.dump(), node.file});
    }
    for (const auto &[key, child] : node.children) {
        collectValues(child, joinPath(path, key), values);
    }
}

} // namespace

std::string_view toString(service_kind kind)
{
    return kind == service_kind::order ? "order" : "search";
}

const shard_config *layout_config::findShard(const shard_id &shard) const
{
    const auto found = std::lower_bound(shards.begin(), shards.end(), shard, [](const shard_config &entry, const shard_id &wanted) {
        return entry.id.str() < wanted.str();
    });
    return found != shards.end() && found->id == shard ? &*found : nullptr;
}

const layout_config *service_config::findLayout(std::uint32_t layout) const
{
    const auto found = std::find_if(layouts.begin(), layouts.end(), [layout](const layout_config &entry) { return entry.id == layout; });
    return found == layouts.end() ? nullptr : &*found;
}

const service_config *configuration::findService(const service_id &id) const
{
    return findById(m_services, m_serviceIndex, id);
}

const backend_server_config *configuration::findBackendServer(const backend_id &id) const
{
    return findById(m_backendServers, m_backendIndex, id);
}

const zone_config *configuration::findAvailabilityZone(const zone_id &id) const
{
    return findById(m_zones, m_zoneIndex, id);
}

const customer_config *configuration::findCustomer(const customer_id &id) const
{
    return findById(m_customers, m_customerIndex, id);
}

const service_config *configuration::serviceOf(const backend_id &id) const
{
    const auto found = m_backendIndex.find(id);
    if (found == m_backendIndex.end() || m_serviceOfBackend[found->second] == noService) {
        return nullptr;
    }
    return &m_services[m_serviceOfBackend[found->second]];
}

bool configuration::inService(const zone_id &id) const
{
    const auto *zone = findAvailabilityZone(id);
    return zone != nullptr && zone->inService;
}

configuration_result loadConfiguration(const config_files &files, revision_number revision)
{
    std::vector<config_problem> problems;
    const auto root = mergeFiles(files, problems);
    // The values of an unusable file are missing from the tree. Reporting each missing value as well would hide the cause.
    if (root.invalid) {
        return tl::unexpected(std::move(problems));
    }
    auto result = configuration_builder(root, problems).build(revision, hashOf(files));
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return result;
}

tl::expected<std::vector<merged_value>, std::vector<config_problem>> mergedValues(const config_files &files)
{
    std::vector<config_problem> problems;
    const auto root = mergeFiles(files, problems);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    std::vector<merged_value> values;
    collectValues(root, "", values);
    return values;
}

} // namespace orioledrum
