#include <relay_client.h>

#include <search/replica_registry.h>
#include <transport/http_client.h>
#include <transport/http_exchange.h>
#include <transport/http_handler.h>
#include <transport/http_request.h>
#include <transport/http_response.h>
#include <transport/http_server.h>

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace orioledrum;
using std::chrono::milliseconds;

namespace
{

/// One entry host of a fleet, without network: decides which host gathers each shard of a search.
struct fleet_host {
    fleet_host(asio::io_context &context, const std::string &address, const std::string &zone)
        : client(*http_client::create(context, {}))
        , registry({zone_id(zone), {0.2, 630}, 1.5, 5}, random_source(1))
        , relays(*client, registry, address)
    {
    }

    std::unique_ptr<http_client> client;
    replica_registry registry;
    relay_client relays;
};

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::string hostAddress(std::size_t host)
{
    return "10.0.0." + std::to_string(host) + ":1";
}

void addEntries(replica_registry &registry,
                const std::vector<service_id> &shards,
                const std::function<std::vector<std::size_t>(std::size_t)> &zonesOfShard,
                time_point now)
{
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        for (const auto zone : zonesOfShard(shard)) {
            replica_entry entry;
            entry.id = backend_id(shards[shard].str() + "-" + std::to_string(zone));
            entry.service = shards[shard];
            entry.zone = zone_id(zoneName(zone));
            entry.address = "10.1.0.1:1";
            entry.slots = 3;
            registry.put(entry, now);
        }
    }
}

/// Another entry host that answers each message with the same status.
class answering_host final : public http_handler
{
public:
    explicit answering_host(int status)
        : m_status(status)
    {
    }

    void handle(http_request, std::shared_ptr<http_exchange> exchange) override
    {
        exchange->respond(errorResponse(m_status, {error_code::protocolError, "answered by the test", "relay search", {}}));
    }

private:
    int m_status;
};

/// @return The notSent of the callback after a search was answered with a status.
bool callsNothing(int status)
{
    asio::io_context context;
    answering_host handler(status);
    const auto server = http_server::createOn(context, {}, handler);
    const auto address = "127.0.0.1:" + std::to_string((*server)->port());
    fleet_host host(context, hostAddress(0), zoneName(0));
    relay_search message;
    message.remaining = milliseconds(500);
    std::optional<bool> notSent;
    host.relays.send(address, message, [&](std::optional<relay_result> result, bool isNotSent) {
        EXPECT_FALSE(result);
        notSent = isNotSent;
        context.stop();
    });
    context.run_for(std::chrono::seconds(5));
    EXPECT_TRUE(notSent) << "no answer";
    return notSent.value_or(false);
}

/// A fleet of 118 hosts in 6 zones and 180 shards.
class LargeFleetTest : public testing::Test
{
protected:
    static constexpr std::size_t hostCount = 118;
    static constexpr std::size_t zoneCount = 6;
    static constexpr std::size_t shardCount = 180;

    void createFleet(const std::function<std::vector<std::size_t>(std::size_t)> &zonesOfShard)
    {
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            shards.emplace_back("shard-" + std::to_string(shard));
        }
        std::vector<relay_host> members;
        for (std::size_t host = 0; host < hostCount; ++host) {
            members.push_back({hostAddress(host), zone_id(zoneName(host % zoneCount))});
        }
        for (std::size_t host = 0; host < hostCount; ++host) {
            hosts.push_back(std::make_unique<fleet_host>(context, hostAddress(host), zoneName(host % zoneCount)));
            hosts.back()->relays.setHosts(members);
            addEntries(hosts.back()->registry, shards, zonesOfShard, now);
        }
    }

    /// Plays searches at every host. @return The hosts that call the backend servers of each shard, by position of the shard.
    std::vector<std::set<std::string>> gatheringHosts(std::size_t searchesPerHost)
    {
        std::vector<std::set<std::string>> result(shardCount);
        for (std::size_t host = 0; host < hostCount; ++host) {
            for (std::size_t search = 0; search < searchesPerHost; ++search) {
                std::vector<std::string> gatheredBy(shardCount, hostAddress(host));
                for (const auto &part : hosts[host]->relays.assignParts(shards, now + milliseconds(120), now)) {
                    EXPECT_LE(part.part.shards.size(), part_sizing::usualShardsPerPart);
                    for (const auto shard : part.part.shards) {
                        EXPECT_EQ(gatheredBy[shard], hostAddress(host)) << "shard " << shard << " is in two parts";
                        gatheredBy[shard] = part.address;
                    }
                }
                for (std::size_t shard = 0; shard < shardCount; ++shard) {
                    result[shard].insert(gatheredBy[shard]);
                }
            }
        }
        return result;
    }

    asio::io_context context;
    time_point now{std::chrono::hours(1)};
    std::vector<service_id> shards;
    std::vector<std::unique_ptr<fleet_host>> hosts;
};

} // namespace

// Load pattern: 60 searches a second over 180 shards, spread over 118 hosts. When each host calls every backend server, a connection is
// used once in several seconds, and most calls open a new one. Guards against more than a few hosts that call one shard.
TEST_F(LargeFleetTest, fewHostsCallTheBackendServersOfAShard)
{
    createFleet([](std::size_t) { return std::vector<std::size_t>{0, 1, 2}; });
    for (const auto &callers : gatheringHosts(10)) {
        EXPECT_LE(callers.size(), 3 * relay_selector::minCandidates); // In each of the three zones of the backend servers.
    }
}

// The same load, with the backend servers of each shard in another three of the six zones: no zone has three quarters of the shards
// that a host's own zone lacks.
TEST_F(LargeFleetTest, fewHostsCallAShardWhenNoZoneCoversMostShards)
{
    createFleet([](std::size_t shard) { return std::vector<std::size_t>{shard % 6, (shard + 1) % 6, (shard + 3) % 6}; });
    std::size_t total = 0;
    for (const auto &callers : gatheringHosts(10)) {
        total += callers.size();
    }
    EXPECT_LE(total / shardCount, hostCount / 4);
}

// Guards against a part that no host gathers, or that a host in backoff gathers, when the hosts of a zone do not answer.
TEST_F(LargeFleetTest, partsOfFailedHostsGoToOtherHosts)
{
    createFleet([](std::size_t) { return std::vector<std::size_t>{0, 1, 2}; });
    auto &relays = hosts[0]->relays;
    const auto parts = relays.assignParts(shards, now + milliseconds(120), now);
    ASSERT_FALSE(parts.empty());
    std::set<std::string> failed;
    for (const auto &part : parts) {
        failed.insert(part.address);
        relays.recordFailure(part.address, now);
    }
    std::size_t delegated = 0;
    for (const auto &part : relays.assignParts(shards, now + milliseconds(120), now)) {
        EXPECT_FALSE(failed.contains(part.address));
        delegated += part.part.shards.size();
    }
    EXPECT_GE(delegated, shardCount / 3);
}

// Guards against a refused search that counts as called: the asking host then needs the budget of extra calls for its own calls, and may
// call only some of the backend servers. In a rolling update each message to a host of the other version is refused.
TEST(RelayClient, ARefusedSearchHasCalledNothing)
{
    EXPECT_TRUE(callsNothing(400)); // Not readable for a host with another software version.
    EXPECT_TRUE(callsNothing(413));
    EXPECT_TRUE(callsNothing(503)); // The host is stopping.
    EXPECT_FALSE(callsNothing(500));
    EXPECT_FALSE(callsNothing(504)); // The host has stopped after it had called backend servers.
}
