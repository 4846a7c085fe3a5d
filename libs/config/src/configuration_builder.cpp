#include "configuration_builder.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

namespace orioledrum
{

namespace
{

template<typename T>
T valueOr(const merged_node &node, std::string_view key, T fallback)
{
    const auto *child = node.validChild(key);
    return child == nullptr ? fallback : child->value.get<T>();
}

std::chrono::milliseconds millisecondsOr(const merged_node &node, std::string_view key, std::chrono::milliseconds fallback)
{
    return std::chrono::milliseconds(valueOr<std::int64_t>(node, key, fallback.count()));
}

std::string inQuotes(const std::string &text)
{
    return '"' + text + '"';
}

template<typename Entry, typename Id>
void indexById(const std::vector<Entry> &entries, std::unordered_map<Id, std::uint32_t> &index)
{
    index.reserve(entries.size());
    for (std::uint32_t position = 0; position < entries.size(); ++position) {
        index.emplace(entries[position].id, position);
    }
}

} // namespace

configuration_builder::configuration_builder(const merged_node &root, std::vector<config_problem> &problems)
    : m_root(root)
    , m_problems(problems)
    , m_result(new configuration())
{
}

std::shared_ptr<const configuration> configuration_builder::build(revision_number revision, std::uint64_t hash)
{
    m_result->m_revision = revision;
    m_result->m_hash = hash;
    buildZones();
    buildBackendServers();
    buildCustomers();
    buildServices();
    checkUniqueAddresses();
    checkZonesUsed();
    return m_result;
}

const merged_node &configuration_builder::topLevelNode(const std::string &name) const
{
    static const merged_node empty;
    const auto *node = m_root.child(name);
    return node == nullptr ? empty : *node;
}

const merged_node *
configuration_builder::requireChild(const merged_node &node, const std::string &path, const std::string &key, const std::string &allowed)
{
    if (node.invalid) {
        return nullptr; // The invalid node has been reported already.
    }
    const auto *child = node.child(key);
    if (child == nullptr) {
        report(node.file, joinPath(path, key), "no value", allowed);
    }
    return child == nullptr || child->invalid ? nullptr : child;
}

void configuration_builder::report(const std::string &file, const std::string &path, std::string found, std::string allowed)
{
    m_problems.push_back({file, path, std::move(found), std::move(allowed)});
}

void configuration_builder::buildZones()
{
    for (const auto &[name, node] : topLevelNode("availabilityZones").children) {
        m_result->m_zones.push_back({zone_id(name), valueOr<std::string>(node, "state", "in") == "in"});
    }
    indexById(m_result->m_zones, m_result->m_zoneIndex);
}

void configuration_builder::buildBackendServers()
{
    for (const auto &[name, node] : topLevelNode("backendServers").children) {
        const auto path = "backendServers/" + name;
        backend_server_config server;
        server.id = backend_id(name);
        if (const auto *zone = requireChild(node, path, "zone", "the id of an availability zone")) {
            server.zone = zone_id(zone->value.get<std::string>());
            if (!m_result->m_zoneIndex.contains(server.zone)) {
                report(zone->file,
                       path + "/zone",
                       "the availability zone \"" + server.zone.str() + "\", which has no definition",
                       "an id in availabilityZones");
            }
        }
        if (const auto *address = requireChild(node, path, "address", "an IP address and a port")) {
            server.address = address->value.get<std::string>();
        }
        const auto *slots = requireChild(node, path, "slots", "a whole number from 1 to 1024");
        const auto *connections = requireChild(node, path, "connections", "a whole number from 1 to 65535");
        server.slots = slots == nullptr ? 1 : slots->value.get<std::uint32_t>();
        server.connections = connections == nullptr ? server.slots : connections->value.get<std::uint32_t>();
        server.coldSlots = valueOr(node, "coldSlots", server.coldSlots);
        server.connectionCost = std::chrono::microseconds(std::llround(valueOr(node, "connectionCostMs", 0.0) * 1000));
        server.warmUpTime = millisecondsOr(node, "rampMs", server.warmUpTime);
        if (slots != nullptr && server.coldSlots > server.slots) {
            report(node.child("coldSlots")->file,
                   path + "/coldSlots",
                   std::to_string(server.coldSlots),
                   "at most slots (" + std::to_string(server.slots) + " in " + slots->file + ")");
        }
        if (slots != nullptr && connections != nullptr && server.connections < server.slots) {
            report(connections->file,
                   path + "/connections",
                   std::to_string(server.connections),
                   "at least slots (" + std::to_string(server.slots) + " in " + slots->file + "), since each call needs a connection");
        }
        m_result->m_backendServers.push_back(std::move(server));
    }
    indexById(m_result->m_backendServers, m_result->m_backendIndex);
    m_serviceNameOfBackend.resize(m_result->m_backendServers.size());
    m_result->m_serviceOfBackend.assign(m_result->m_backendServers.size(), configuration::noService);
}

void configuration_builder::buildCustomers()
{
    for (const auto &[name, node] : topLevelNode("customers").children) {
        customer_config customer;
        customer.id = customer_id(name);
        customer.weight = valueOr(node, "weight", customer.weight);
        customer.priority = valueOr(node, "priority", customer.priority);
        m_result->m_customers.push_back(std::move(customer));
    }
    indexById(m_result->m_customers, m_result->m_customerIndex);
}

void configuration_builder::buildServices()
{
    const auto &services = topLevelNode("services");
    if (services.children.empty() && !services.invalid) {
        report(services.file, "services", "no service", "at least one service");
    }
    for (const auto &[name, node] : services.children) {
        buildService(name, node);
    }
    indexById(m_result->m_services, m_result->m_serviceIndex);
}

void configuration_builder::buildService(const std::string &name, const merged_node &node)
{
    const auto path = "services/" + name;
    service_config service;
    service.id = service_id(name);
    const auto *kind = requireChild(node, path, "kind", "\"search\" or \"order\"");
    if (kind != nullptr) {
        service.kind = kind->value == "order" ? service_kind::order : service_kind::search;
    }
    if (const auto *policy = node.validChild("policy")) {
        buildPolicy(path + "/policy", *policy, service);
    }
    const auto *layouts = requireChild(node, path, "layouts", "one or two layouts with shards");
    if (layouts != nullptr) {
        if (layouts->children.empty() || layouts->children.size() > 2) {
            report(layouts->file, path + "/layouts", std::to_string(layouts->children.size()) + " layouts", "one or two layouts");
        }
        for (const auto &[number, layout] : layouts->children) {
            service.layouts.push_back(buildLayout(joinPath(path + "/layouts", number), number, layout, service));
        }
        std::sort(service.layouts.begin(), service.layouts.end(), [](const layout_config &left, const layout_config &right) {
            return left.id < right.id;
        });
    }
    auto &backends = service.backendIndexes;
    std::sort(backends.begin(), backends.end());
    backends.erase(std::unique(backends.begin(), backends.end()), backends.end());
    for (const auto backend : backends) {
        m_result->m_serviceOfBackend[backend] = static_cast<std::uint32_t>(m_result->m_services.size());
    }
    m_result->m_services.push_back(std::move(service));
}

void configuration_builder::buildPolicy(const std::string &path, const merged_node &node, service_config &service)
{
    auto &policy = service.policy;
    if (service.kind == service_kind::order) {
        for (const auto &[key, child] : node.children) {
            if (key != "defaultDeadlineMs") {
                report(child.file, joinPath(path, key), "a key that has no meaning for orders", "defaultDeadlineMs");
            }
        }
    }
    policy.minCoverage = valueOr(node, "minimumCoverage", policy.minCoverage);
    policy.defaultDeadline = millisecondsOr(node, "defaultDeadlineMs", policy.defaultDeadline);
    policy.hedgeBudget = valueOr(node, "hedgeBudget", policy.hedgeBudget);
    if (const auto *extraWait = node.validChild("waitForMore")) {
        policy.extraWait.maximum = millisecondsOr(*extraWait, "maximumMs", policy.extraWait.maximum);
        policy.extraWait.elapsedFactor = valueOr(*extraWait, "elapsedFactor", policy.extraWait.elapsedFactor);
    }
}

layout_config
configuration_builder::buildLayout(const std::string &path, const std::string &name, const merged_node &node, service_config &service)
{
    layout_config layout;
    std::from_chars(name.data(), name.data() + name.size(), layout.id);
    const auto *shards = node.child("shards");
    if (node.invalid || (shards != nullptr && shards->invalid)) {
        return layout;
    }
    if (shards == nullptr || shards->children.empty()) {
        report(shards == nullptr ? node.file : shards->file, path + "/shards", "no shard", "at least one shard");
        return layout;
    }
    for (const auto &[shardName, replicas] : shards->children) {
        shard_config shard;
        shard.id = shard_id(shardName);
        const auto shardPath = joinPath(path + "/shards", shardName);
        for (const auto &replica : replicas.value) {
            const auto id = replica.get<std::string>();
            const auto found = m_result->m_backendIndex.find(backend_id(id));
            if (found == m_result->m_backendIndex.end()) {
                report(replicas.file, shardPath, "the backend server \"" + id + "\", which has no definition", "ids in backendServers");
                continue;
            }
            // An owner lease covers the backend servers of one service. A second service would have a second owner, and both
            // owners together would overload the backend server.
            auto &usingService = m_serviceNameOfBackend[found->second];
            if (!usingService.empty() && usingService != service.id.str()) {
                report(replicas.file,
                       shardPath,
                       "the backend server " + inQuotes(id) + ", which the service " + inQuotes(usingService) + " uses as well",
                       "backend servers of this service only");
                continue;
            }
            usingService = service.id.str();
            shard.replicas.emplace_back(id);
            shard.replicaIndexes.push_back(found->second);
            service.backendIndexes.push_back(found->second);
        }
        layout.shards.push_back(std::move(shard));
    }
    return layout;
}

void configuration_builder::checkUniqueAddresses()
{
    std::map<std::string, std::string> serverByAddress;
    for (const auto &server : m_result->m_backendServers) {
        if (server.address.empty()) {
            continue;
        }
        const auto [position, added] = serverByAddress.emplace(server.address, server.id.str());
        if (!added) {
            report(topLevelNode("backendServers").child(server.id.str())->child("address")->file,
                   "backendServers/" + server.id.str() + "/address",
                   "\"" + server.address + "\", which \"" + position->second + "\" has as well",
                   "a different address for each backend server");
        }
    }
}

void configuration_builder::checkZonesUsed()
{
    // Without this check a misspelt zone name in the file that takes a zone out of service would have no effect and would not
    // be reported.
    std::set<std::string> usedZones;
    for (const auto &server : m_result->m_backendServers) {
        if (server.zone.empty()) {
            return; // The missing or invalid zone has been reported already.
        }
        usedZones.insert(server.zone.str());
    }
    for (const auto &[name, node] : topLevelNode("availabilityZones").children) {
        if (!usedZones.contains(name)) {
            report(node.file,
                   "availabilityZones/" + name,
                   "an availability zone without backend servers",
                   "availability zones that at least one backend server is in");
        }
    }
}

} // namespace orioledrum
