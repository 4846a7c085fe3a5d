#include "loopback_client.h"

#include <standin/backend_fleet.h>
#include <standin/hits.h>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>

using namespace orioledrum;
using namespace orioledrum::standin;
using json = nlohmann::json;

namespace
{

/// Runs one backend server with a constant service time: sigma 0, no slow or unanswered calls.
class BackendTest : public testing::Test
{
protected:
    /// @param changes Replaces or adds keys of the default settings.
    /// @param recordFile No recording when empty.
    void start(const json &changes = json::object(), const std::string &recordFile = {})
    {
        json defaults = {{"id", "b0"},
                         {"service", "archive"},
                         {"shard", "s0"},
                         {"slots", 2},
                         {"medianMs", 1},
                         {"sigma", 0},
                         {"slowShare", 0},
                         {"neverShare", 0},
                         {"connectionCostMs", 0},
                         {"coldFactor", 1}};
        defaults.update(changes);
        const auto settings = parseFleet(json::array({defaults}));
        ASSERT_TRUE(settings) << settings.error();
        if (!recordFile.empty()) {
            ASSERT_TRUE(m_recording.open(recordFile));
        }
        m_fleet = std::make_unique<backend_fleet>(*settings, 1, m_recording);
        const auto ports = m_fleet->start(0);
        ASSERT_TRUE(ports) << ports.error();
        m_port = json::parse(*ports)["backendServers"]["b0"].get<std::uint16_t>();
        m_controlPort = json::parse(*ports)["controlPort"].get<std::uint16_t>();
    }

    static std::string searchBody(const std::string &shard = "s0", int snapshot = 1, int layout = 1)
    {
        return json{{"service", "archive"}, {"shard", shard}, {"snapshot", snapshot}, {"layout", layout}, {"query", "oak"}, {"limit", 2}}
            .dump();
    }

    json stats() { return json::parse(exchangeOnce(m_controlPort, "GET", "/control/stats").body)["backendServers"][0]; }
    json orders() { return json::parse(exchangeOnce(m_controlPort, "GET", "/control/orders").body)["orders"]; }

    /// Sends a control request.
    /// @return The HTTP status.
    int control(const json &change) { return exchangeOnce(m_controlPort, "POST", "/control/backend/b0", change.dump()).status; }

    /// Polls the stats until the key has the given value. The timeout only ends a test that would otherwise hang.
    /// @return False on timeout.
    bool waitForStat(const std::string &key, const json &value)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (stats()[key] != value) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
        }
        return true;
    }

    recorder m_recording;
    std::unique_ptr<backend_fleet> m_fleet;
    std::uint16_t m_port = 0;
    std::uint16_t m_controlPort = 0;
};

constexpr int longerThanTestMs = 60000;

} // namespace

// Guards against hits that the history checker cannot recompute (to verify searches, the checker must know the hits of a full answer),
// against equal hits for different shards or snapshots, and against missing ids, state, load or snapshots in the response headers.
TEST_F(BackendTest, HitsAreReproducibleAndDifferByShardAndSnapshot)
{
    start();
    loopback_client client(m_port);
    const auto reply = client.exchange("POST", "/search", searchBody(), {{"X-Request-Id", "r1"}, {"X-Attempt-Id", "7"}});
    ASSERT_EQ(reply.status, 200) << reply.body;
    EXPECT_EQ(reply.headers.at("x-request-id"), "r1");
    EXPECT_EQ(reply.headers.at("x-attempt-id"), "7");
    EXPECT_EQ(reply.headers.at("x-state"), "warm");
    EXPECT_EQ(reply.headers.at("x-load"), "0/2");
    EXPECT_EQ(reply.headers.at("x-snapshots"), "1:1");
    const auto body = json::parse(reply.body);
    EXPECT_EQ(body["hits"].size(), 2U);
    const auto expected = exchangeOnce(m_controlPort, "GET", "/control/expected?shard=s0&snapshot=1&query=oak&limit=2");
    EXPECT_EQ(body["hits"], json::parse(expected.body)["hits"]);
    EXPECT_NE(makeHits("s0", 1, "oak", 3, 0).front().id, makeHits("s0", 2, "oak", 3, 0).front().id);
    EXPECT_NE(makeHits("s0", 1, "oak", 3, 0).front().id, makeHits("s1", 1, "oak", 3, 0).front().id);
}

// Guards against a stand-in that accepts more calls than it has slots, so that tests could not find an entry host that sends too many. Also
// guards against a slot that stays occupied after the connection of its call is closed.
TEST_F(BackendTest, RefusesCallsAboveTheSlotLimit)
{
    start({{"medianMs", longerThanTestMs}});
    loopback_client first(m_port);
    loopback_client second(m_port);
    first.send("POST", "/search", searchBody(), {{"X-Request-Id", "r1"}});
    second.send("POST", "/search", searchBody(), {{"X-Request-Id", "r2"}});
    ASSERT_TRUE(waitForStat("inUse", 2));
    const auto refused = exchangeOnce(m_port, "POST", "/search", searchBody());
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("x-not-run"), "1");
    EXPECT_EQ(refused.headers.at("x-load"), "2/2");
    EXPECT_EQ(stats()["aboveBorne"], 1);
    EXPECT_EQ(stats()["peakInUse"], 2);
    // Closing the connection ends the call.
    first.close();
    EXPECT_TRUE(waitForStat("inUse", 1));
    EXPECT_EQ(stats()["closedInCall"], 1);
}

// Guards against a cold backend server that warms up by time alone, and against one that can use all slots directly after a cold start.
TEST_F(BackendTest, ColdBackendServerWarmsUpByWorkDone)
{
    start({{"slots", 3}, {"startCold", true}, {"coldSlots", 1}, {"medianMs", 10}, {"rampWorkMs", 40}});
    const std::vector<std::pair<std::string, std::string>> expected = {{"cold", "0/1"}, {"cold", "0/2"}, {"cold", "0/2"}, {"warm", "0/3"}};
    loopback_client client(m_port);
    for (const auto &[state, load] : expected) {
        const auto reply = client.exchange("POST", "/search", searchBody());
        EXPECT_EQ(reply.headers.at("x-state"), state);
        EXPECT_EQ(reply.headers.at("x-load"), load);
    }
    // A control request makes the backend server cold without a restart. Calls above coldSlots are then refused.
    ASSERT_EQ(control({{"cold", true}, {"medianMs", longerThanTestMs}}), 200);
    client.send("POST", "/search", searchBody());
    ASSERT_TRUE(waitForStat("inUse", 1));
    const auto refused = exchangeOnce(m_port, "POST", "/search", searchBody());
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("x-state"), "cold");
    EXPECT_EQ(stats()["aboveBorneCold"], 1);
}

// Guards against a drain that aborts running calls or accepts new ones.
TEST_F(BackendTest, DrainRefusesNewCallsAndFinishesRunningCalls)
{
    start({{"medianMs", 1000}});
    loopback_client client(m_port);
    client.send("POST", "/search", searchBody());
    ASSERT_TRUE(waitForStat("inUse", 1));
    ASSERT_EQ(control({{"drain", true}}), 200);
    const auto refused = exchangeOnce(m_port, "POST", "/search", searchBody());
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("x-not-run"), "1");
    EXPECT_EQ(refused.headers.at("x-state"), "draining");
    EXPECT_EQ(json::parse(refused.body)["error"]["code"], "draining");
    const auto reply = client.receive();
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.headers.at("x-state"), "draining");
}

// Guards against silent modes that close connections, that affect the wrong connections, or that cannot be switched off.
TEST_F(BackendTest, SilentConnectionsStayOpenWhileNewConnectionsAreAnswered)
{
    start();
    loopback_client silent(m_port);
    ASSERT_EQ(silent.exchange("POST", "/search", searchBody()).status, 200);
    ASSERT_EQ(control({{"silent", "existing"}}), 200);
    silent.send("POST", "/search", searchBody());
    const auto noReply = silent.receive(std::chrono::milliseconds{200});
    EXPECT_EQ(noReply.status, 0);
    EXPECT_FALSE(noReply.closed);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", searchBody()).status, 200);
    ASSERT_EQ(control({{"silent", "all"}}), 200);
    loopback_client alsoSilent(m_port);
    alsoSilent.send("POST", "/search", searchBody());
    EXPECT_EQ(alsoSilent.receive(std::chrono::milliseconds{200}).status, 0);
    ASSERT_EQ(control({{"silent", "none"}}), 200);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", searchBody()).status, 200);
}

// Guards against silentLoses "answers" dropping the order too. Only an order that has run without an answer shows whether a caller
// reports its outcome as unknown.
TEST_F(BackendTest, SilenceCanDropTheAnswerOfAnExecutedOrder)
{
    start();
    loopback_client client(m_port);
    ASSERT_EQ(client.exchange("GET", "/load", "").status, 200);
    ASSERT_EQ(control({{"silent", "existing"}, {"silentLoses", "answers"}}), 200);
    client.send("POST", "/order", R"({"service":"archive"})", {{"X-Order-Id", "t1"}});
    EXPECT_EQ(client.receive(std::chrono::milliseconds{200}).status, 0);
    EXPECT_EQ(orders()["t1"]["runs"], 1);
}

// Guards against answers for a snapshot, layout or shard that the backend server does not hold.
TEST_F(BackendTest, AnswersOnlyFromHeldSnapshotsAndLayouts)
{
    start();
    loopback_client client(m_port);
    const auto refused = client.exchange("POST", "/search", searchBody("s0", 2));
    EXPECT_EQ(refused.status, 409);
    EXPECT_EQ(refused.headers.at("x-not-run"), "1");
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0", 1, 2)).status, 409);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s9")).status, 409);
    ASSERT_EQ(control({{"addSnapshot", {{"snapshot", 2}, {"layout", 1}}}}), 200);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0", 2)).headers.at("x-snapshots"), "1:1,2:1");
    ASSERT_EQ(control({{"splitLayout", {{"shards", {"s0a", "s0b"}}}}}), 200);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0a", 3, 2)).status, 200);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0", 3, 2)).status, 409);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0", 1)).status, 200);
    ASSERT_EQ(control({{"dropSnapshot", 1}}), 200);
    EXPECT_EQ(client.exchange("POST", "/search", searchBody("s0", 1)).status, 409);
}

// Guards against order counts that miss a second run or include a refused order, and against orders without an id that are accepted.
TEST_F(BackendTest, CountsEveryRunOfAnOrder)
{
    start();
    loopback_client client(m_port);
    const std::string body = R"({"service":"archive","order":{}})";
    EXPECT_EQ(client.exchange("POST", "/order", body, {{"X-Order-Id", "t1"}}).status, 200);
    EXPECT_EQ(client.exchange("POST", "/order", body, {{"X-Order-Id", "t1"}}).status, 200);
    EXPECT_EQ(orders()["t1"]["runs"], 2);
    ASSERT_EQ(control({{"drain", true}}), 200);
    const auto refused = client.exchange("POST", "/order", body, {{"X-Order-Id", "t2"}});
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.headers.at("x-not-run"), "1");
    EXPECT_FALSE(orders().contains("t2"));
    EXPECT_EQ(client.exchange("POST", "/order", body).status, 400);
}

// Guards against an answer at the deadline that claims "not run" although the order has run, and against a call refused on arrival
// without "not run".
TEST_F(BackendTest, ExpiredOrderIsNotReportedAsNotRun)
{
    start({{"medianMs", longerThanTestMs}});
    loopback_client client(m_port);
    const auto before = client.exchange("POST", "/search", searchBody(), {{"X-Deadline-Ms", "0"}});
    EXPECT_EQ(before.status, 504);
    EXPECT_EQ(before.headers.at("x-not-run"), "1");
    const auto during = client.exchange("POST", "/order", R"({"service":"archive"})", {{"X-Order-Id", "t1"}, {"X-Deadline-Ms", "20"}});
    EXPECT_EQ(during.status, 504);
    EXPECT_FALSE(during.headers.contains("x-not-run"));
    EXPECT_EQ(orders()["t1"]["runs"], 1);
    EXPECT_EQ(stats()["inUse"], 0);
}

// Guards against a cancellation that leaves the slot of a search occupied, and against one that ends an order.
TEST_F(BackendTest, CancellationEndsSearchesButNotOrders)
{
    start({{"neverShare", 1}});
    loopback_client search(m_port);
    search.send("POST", "/search", searchBody(), {{"X-Request-Id", "r1"}});
    loopback_client order(m_port);
    order.send("POST", "/order", R"({"service":"archive"})", {{"X-Order-Id", "r1"}});
    ASSERT_TRUE(waitForStat("inUse", 2));
    const auto reply = exchangeOnce(m_port, "POST", "/cancel/r1");
    EXPECT_EQ(json::parse(reply.body)["cancelled"], 1);
    EXPECT_EQ(search.receive().status, 499);
    EXPECT_EQ(stats()["inUse"], 1);
}

// Guards against a connection limit that is not enforced, and against closed connections that still count towards the limit.
TEST_F(BackendTest, ClosesConnectionsAboveTheLimit)
{
    start({{"connections", 2}});
    loopback_client first(m_port);
    loopback_client second(m_port);
    ASSERT_EQ(first.exchange("GET", "/load", "").status, 200);
    ASSERT_EQ(second.exchange("GET", "/load", "").status, 200);
    loopback_client third(m_port);
    third.send("GET", "/load", "");
    EXPECT_TRUE(third.receive().closed);
    EXPECT_EQ(stats()["connectionsRefused"], 1);
    first.close();
    ASSERT_TRUE(waitForStat("connections", 1));
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/load").status, 200);
}

// Guards against connections without setup time, and against connections that are set up in parallel.
TEST_F(BackendTest, ConnectionsAreSetUpOneAtATime)
{
    start({{"connectionCostMs", 30}});
    const auto startTime = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<loopback_client>> clients;
    for (int index = 0; index < 4; ++index) {
        clients.push_back(std::make_unique<loopback_client>(m_port));
        clients.back()->send("GET", "/load", "");
    }
    EXPECT_EQ(clients.back()->receive().status, 200);
    // The four setups take 120 ms. The bound of three setup times holds even when the server accepts the connections only once
    // receive() is called.
    EXPECT_GE(std::chrono::steady_clock::now() - startTime, std::chrono::milliseconds{90});
}

// Guards against probes that always report the true current state, so that tests could not find an entry host that trusts probes
// alone. Responses to searches must still report the true current state.
TEST_F(BackendTest, ProbesApplyLoadLagAndOverride)
{
    start({{"loadLagMs", longerThanTestMs}});
    ASSERT_EQ(exchangeOnce(m_port, "POST", "/search", searchBody()).status, 200);
    ASSERT_EQ(control({{"cold", true}}), 200);
    EXPECT_EQ(json::parse(exchangeOnce(m_port, "GET", "/load").body)["state"], "warm");
    EXPECT_EQ(json::parse(exchangeOnce(m_port, "GET", "/health").body)["healthy"], true);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", searchBody()).headers.at("x-state"), "cold");
    ASSERT_EQ(control({{"loadLagMs", 0}}), 200);
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/load").headers.at("x-state"), "cold");
    ASSERT_EQ(control({{"loadLie", "healthy"}}), 200);
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/load").headers.at("x-state"), "warm");
    ASSERT_EQ(control({{"loadLie", "unhealthy"}}), 200);
    EXPECT_EQ(json::parse(exchangeOnce(m_port, "GET", "/health").body)["healthy"], false);
}

// Guards against a restart that keeps the instance id, the warm state or the connections, and against a listen change without effect.
TEST_F(BackendTest, RestartStartsANewColdInstance)
{
    start();
    loopback_client client(m_port);
    const auto before = client.exchange("POST", "/search", searchBody());
    ASSERT_EQ(control({{"restart", true}}), 200);
    client.send("POST", "/search", searchBody());
    EXPECT_TRUE(client.receive().closed);
    const auto after = exchangeOnce(m_port, "GET", "/load");
    EXPECT_EQ(after.headers.at("x-state"), "cold");
    EXPECT_NE(after.headers.at("x-instance"), before.headers.at("x-instance"));
    ASSERT_EQ(control({{"listen", false}, {"dropConnections", true}}), 200);
    EXPECT_FALSE(loopback_client(m_port).connected());
    ASSERT_EQ(control({{"listen", true}}), 200);
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/load").status, 200);
}

// Guards against invalid control requests that are partly applied, and against unknown keys or backend servers that are ignored.
TEST_F(BackendTest, InvalidControlRequestsChangeNothing)
{
    start();
    const json before = stats();
    EXPECT_EQ(control({{"drain", true}, {"slowShare", 2}}), 400);
    EXPECT_EQ(control({{"drain", true}, {"drian", true}}), 400);
    EXPECT_EQ(control({{"cold", true}, {"dropSnapshot", 9}}), 400);
    EXPECT_EQ(control({{"slots", "many"}}), 400);
    EXPECT_EQ(exchangeOnce(m_controlPort, "POST", "/control/backend/b9", "{}").status, 404);
    EXPECT_EQ(exchangeOnce(m_controlPort, "POST", "/control/backend/b0", "{").status, 400);
    EXPECT_EQ(stats(), before);
}

// Guards against invalid requests that crash the process or occupy a slot.
TEST_F(BackendTest, RefusesInvalidRequests)
{
    start();
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", "{").status, 400);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", R"({"service":"archive"})").status, 400);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", R"({"service":"x","shard":"s0","snapshot":1,"layout":1,"query":"q"})").status, 404);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/order", "[]").status, 400);
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/nothing").status, 404);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/search", std::string(1100000, ' ')).status, 413);
    loopback_client client(m_port);
    client.send("bad method", "/", "");
    EXPECT_EQ(client.receive().status, 400);
    EXPECT_EQ(stats()["inUse"], 0);
}

// Guards against searches and orders that are not recorded, and against wrong fields in the lines that the history checker reads.
TEST_F(BackendTest, RecordsSearchesAndOrders)
{
    const auto file = std::filesystem::path(testing::TempDir()) / ("standin_backend_" + std::to_string(getpid()) + ".jsonl");
    start(json::object(), file.string());
    loopback_client client(m_port);
    client.exchange("POST", "/search", searchBody(), {{"X-Request-Id", "r1"}, {"X-Attempt-Id", "7"}, {"X-Deadline-Ms", "5000"}});
    client.exchange("POST", "/order", R"({"service":"archive"})", {{"X-Order-Id", "t1"}});
    m_fleet->stop();
    m_recording.flush();
    std::ifstream input(file);
    std::string line;
    ASSERT_TRUE(std::getline(input, line));
    const auto search = json::parse(line);
    EXPECT_EQ(search["request"], "r1");
    EXPECT_EQ(search["attempt"], "7");
    EXPECT_EQ(search["outcome"], "answered");
    EXPECT_EQ(search["concurrent"], 0);
    EXPECT_EQ(search["bears"], 2);
    EXPECT_EQ(search["state"], "warm");
    EXPECT_EQ(search["snapshot"], 1);
    EXPECT_GT(search["endUs"], search["arrivalUs"]);
    ASSERT_TRUE(std::getline(input, line));
    EXPECT_EQ(json::parse(line)["order"], "t1");
    EXPECT_EQ(json::parse(line)["runs"], 1);
    std::filesystem::remove(file);
}

// Guards against service times that do not follow the settings or that differ between runs with the same seed.
TEST(ServiceTimes, FollowTheSettingsAndTheSeed)
{
    service_time_settings settings;
    service_time_sampler first(5);
    service_time_sampler second(5);
    int unanswered = 0;
    int slow = 0;
    std::vector<std::int64_t> ordinaryTimesUs;
    constexpr int count = 100000;
    for (int index = 0; index < count; ++index) {
        const auto time = first.draw(settings, false);
        ASSERT_EQ(time, second.draw(settings, false));
        if (!time) {
            ++unanswered;
        } else if (*time == std::chrono::milliseconds{150}) {
            ++slow;
        } else {
            ordinaryTimesUs.push_back(time->count());
        }
    }
    EXPECT_NEAR(unanswered, 100, 40);
    EXPECT_NEAR(slow, 1000, 130);
    std::nth_element(
        ordinaryTimesUs.begin(), ordinaryTimesUs.begin() + static_cast<std::ptrdiff_t>(ordinaryTimesUs.size() / 2), ordinaryTimesUs.end());
    EXPECT_NEAR(static_cast<double>(ordinaryTimesUs[ordinaryTimesUs.size() / 2]), 4000, 40);
}

// Guards against invalid or contradictory settings that are accepted.
TEST(BackendSettings, RefusesInvalidSettings)
{
    const json valid = {{"id", "b0"}, {"service", "archive"}, {"shard", "s0"}};
    EXPECT_TRUE(parseFleet(json::array({valid})));
    const std::vector<json> changes = {
        {{"slots", 0}}, {{"coldSlots", 9}}, {{"slowShare", 1.5}}, {{"unknown", 1}}, {{"port", "x"}}, {{"loadLie", "x"}}};
    for (const auto &change : changes) {
        json entry = valid;
        entry.update(change);
        EXPECT_FALSE(parseFleet(json::array({entry}))) << change;
    }
    EXPECT_FALSE(parseFleet(json::array({valid, valid})));
    EXPECT_FALSE(parseFleet(json::array()));
    EXPECT_FALSE(parseFleet(json::object()));
}
