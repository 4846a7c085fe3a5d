#include "routing_state.h"

#include <base/rendezvous.h>
#include <config/configuration.h>
#include <membership/membership_view.h>
#include <ownership/backend_group.h>
#include <search/search_topology.h>

#include <map>

namespace orioledrum
{

namespace
{

/// @return The layouts of a search service with their shards and replicas, or null when they are invalid.
std::shared_ptr<const search_topology> buildTopology(const service_config &service, const routing_state &state)
{
    std::vector<search_layout> layouts;
    for (const auto &layout : service.layouts) {
        search_layout topologyLayout;
        topologyLayout.number = layout.id;
        for (const auto &shard : layout.shards) {
            search_shard topologyShard;
            topologyShard.id = shard.id;
            for (const auto &replica : shard.replicas) {
                const auto *backend = state.config->findBackendServer(replica);
                const auto group = state.groupOf.find(replica);
                topologyShard.replicas.push_back({replica, backend->zone, group->second, !state.acceptsWork(replica)});
            }
            topologyLayout.shards.push_back(std::move(topologyShard));
        }
        layouts.push_back(std::move(topologyLayout));
    }
    auto topology = search_topology::create(service.id, std::move(layouts));
    return topology ? std::make_shared<const search_topology>(std::move(*topology)) : nullptr;
}

} // namespace

bool routing_state::acceptsWork(const backend_id &backend) const
{
    const auto *server = config ? config->findBackendServer(backend) : nullptr;
    return server != nullptr && config->inService(server->zone) && leaving.count(backend) == 0;
}

std::string routing_state::addressOf(const entry_host_id &host) const
{
    const auto *member = view ? view->find(host) : nullptr;
    return member != nullptr ? member->address : std::string();
}

std::vector<backend_group> buildGroups(const configuration &config)
{
    std::vector<backend_group> groups;
    for (const auto &service : config.services()) {
        std::map<zone_id, std::vector<backend_id>> backendsByZone;
        for (const auto index : service.backendIndexes) {
            const auto &backend = config.backendServers()[index];
            backendsByZone[backend.zone].push_back(backend.id);
        }
        for (auto &[zone, backends] : backendsByZone) {
            auto zoneGroups = partitionIntoGroups(service.id, zone, std::move(backends));
            groups.insert(groups.end(), std::make_move_iterator(zoneGroups.begin()), std::make_move_iterator(zoneGroups.end()));
        }
    }
    return groups;
}

std::shared_ptr<routing_state>
buildRouting(std::shared_ptr<const configuration> config, std::shared_ptr<const membership_view> view, const routing_state *previous)
{
    auto state = std::make_shared<routing_state>();
    state->config = std::move(config);
    state->view = std::move(view);
    if (state->view) {
        for (const auto &host : state->view->platform.hosts) {
            if (host.kind == host_kind::backendServer && host.leaving) {
                state->leaving.insert(backend_id(host.id));
            }
        }
    }
    if (!state->config) {
        return state;
    }
    for (const auto &group : buildGroups(*state->config)) {
        for (const auto &member : group.members) {
            state->groupOf.emplace(member, group.id);
        }
    }
    const bool unchanged = previous != nullptr && previous->config == state->config && previous->leaving == state->leaving;
    if (unchanged) {
        state->topologies = previous->topologies;
        return state;
    }
    for (const auto &service : state->config->services()) {
        if (service.kind == service_kind::search) {
            if (auto topology = buildTopology(service, *state)) {
                state->topologies.emplace(service.id, std::move(topology));
            }
        }
    }
    return state;
}

std::size_t workerIndexOfGroup(const group_id &group, std::size_t workers)
{
    return rendezvousWeight(group.str(), "worker") % workers;
}

} // namespace orioledrum
