#include "config_folder.h"
#include "host_list_file.h"
#include "loopback_client.h"

#include <standin/call_limit.h>
#include <standin/control_server.h>
#include <standin/revision_service.h>

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace orioledrum::standin;
using json = nlohmann::json;

namespace
{

/// Runs a revision service and its control server on a separate thread.
class RevisionServiceTest : public testing::Test
{
protected:
    void start(revision_service_settings settings = {})
    {
        settings.path = "/v1/config";
        settings.valueMember = "files";
        m_service = std::make_unique<revision_service>(m_context, settings);
        m_control = std::make_unique<control_server>(m_context, [this](const http_request &request) {
            return m_service->handleControl(request).value_or(errorResponse(404, "invalidArgument", "unknown"));
        });
        m_service->publish(R"({"a":"1"})");
        m_port = *m_service->listen(0);
        m_controlPort = *m_control->listen(0);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~RevisionServiceTest() override
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    void publish(const std::string &value)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            m_service->publish(value);
            done.set_value();
        });
        done.get_future().wait();
    }

    test_reply get(const std::string &query = {}) { return exchangeOnce(m_port, "GET", "/v1/config" + query); }
    /// Sends a control request.
    /// @return The HTTP status.
    int control(const json &change) { return exchangeOnce(m_controlPort, "POST", "/control/service", change.dump()).status; }
    json stats() { return json::parse(exchangeOnce(m_controlPort, "GET", "/control/stats").body); }

    /// Polls the stats until the given number of watches are waiting.
    /// @return False when this takes longer than 20 seconds.
    bool waitForWatches(int count)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (stats()["waiting"] != count) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
        }
        return true;
    }

    asio::io_context m_context;
    std::unique_ptr<revision_service> m_service;
    std::unique_ptr<control_server> m_control;
    std::uint16_t m_port = 0;
    std::uint16_t m_controlPort = 0;
    std::thread m_thread;
};

} // namespace

// Guards against a watch (long poll) that returns early, late or with the wrong revision.
TEST_F(RevisionServiceTest, WatchReturnsOnANewRevision)
{
    start();
    EXPECT_EQ(get().body, R"({"revision":1,"files":{"a":"1"}})");
    EXPECT_EQ(get("?after=0&waitMs=60000").status, 200);
    EXPECT_EQ(get("?after=1&waitMs=30").status, 304);
    EXPECT_EQ(get("?after=1").status, 304);
    loopback_client client(m_port);
    client.send("GET", "/v1/config?after=1&waitMs=60000", "");
    ASSERT_TRUE(waitForWatches(1));
    publish(R"({"a":"2"})");
    const auto reply = client.receive();
    EXPECT_EQ(reply.body, R"({"revision":2,"files":{"a":"2"}})");
    EXPECT_TRUE(waitForWatches(0));
}

// Guards against a watch that keeps waiting after its connection is closed.
TEST_F(RevisionServiceTest, ClosedConnectionEndsItsWatch)
{
    start();
    loopback_client client(m_port);
    client.send("GET", "/v1/config?after=1&waitMs=60000", "");
    ASSERT_TRUE(waitForWatches(1));
    client.close();
    EXPECT_TRUE(waitForWatches(0));
}

// Guards against a stand-in that cannot serve an older revision. Tests could then not find an entry host that wrongly goes back
// to that revision.
TEST_F(RevisionServiceTest, ServesAPinnedOlderRevision)
{
    start();
    publish(R"({"a":"2"})");
    ASSERT_EQ(control({{"serveRevision", 1}}), 200);
    EXPECT_EQ(json::parse(get().body)["revision"], 1);
    EXPECT_EQ(get("?after=2&waitMs=10").status, 304);
    EXPECT_EQ(control({{"serveRevision", 7}}), 404);
    ASSERT_EQ(control({{"serveRevision", nullptr}}), 200);
    EXPECT_EQ(json::parse(get().body)["revision"], 2);
}

// Guards against a rate limit that is not enforced.
TEST_F(RevisionServiceTest, RefusesCallsAboveTheLimit)
{
    revision_service_settings settings;
    settings.callsPerSecond = 3;
    start(settings);
    loopback_client client(m_port);
    int refused = 0;
    for (int call = 0; call < 6; ++call) {
        refused += client.exchange("GET", "/v1/config", "").status == 429 ? 1 : 0;
    }
    EXPECT_GE(refused, 1);
    EXPECT_EQ(stats()["calls"], 6);
    EXPECT_EQ(stats()["refused"], refused);
}

// Guards against outages that do not have the requested effect (reset connections, 503 or silence), against a service that
// does not listen on the same port after an outage, and against invalid control requests that are accepted.
TEST_F(RevisionServiceTest, OutagesStartAndEnd)
{
    start();
    loopback_client client(m_port);
    ASSERT_EQ(client.exchange("GET", "/v1/config", "").status, 200);
    ASSERT_EQ(control({{"outage", "closed"}}), 200);
    EXPECT_FALSE(loopback_client(m_port).connected());
    client.send("GET", "/v1/config", "");
    EXPECT_TRUE(client.receive().closed);
    ASSERT_EQ(control({{"outage", "error"}}), 200);
    EXPECT_EQ(get().status, 503);
    ASSERT_EQ(control({{"outage", "silent"}}), 200);
    loopback_client silent(m_port);
    silent.send("GET", "/v1/config", "");
    const auto noReply = silent.receive(std::chrono::milliseconds{100});
    EXPECT_EQ(noReply.status, 0);
    EXPECT_FALSE(noReply.closed);
    ASSERT_EQ(control({{"outage", "none"}}), 200);
    EXPECT_EQ(get().status, 200);
    EXPECT_EQ(control({{"outage", "sometimes"}}), 400);
    EXPECT_EQ(control({{"outgae", "none"}}), 400);
}

// Guards against a change that is served before the lag has passed, or never.
TEST_F(RevisionServiceTest, ServesChangesAfterTheLag)
{
    revision_service_settings settings;
    settings.lag = std::chrono::milliseconds{200};
    start(settings);
    const auto startTime = std::chrono::steady_clock::now();
    publish(R"({"a":"2"})");
    const auto reply = get("?after=1&waitMs=60000");
    EXPECT_EQ(json::parse(reply.body)["revision"], 2);
    EXPECT_GE(std::chrono::steady_clock::now() - startTime, std::chrono::milliseconds{190});
}

// Guards against malformed queries that are treated as queries without parameters, and against other paths or methods that are served.
TEST_F(RevisionServiceTest, RefusesInvalidRequests)
{
    start();
    EXPECT_EQ(get("?after=x").status, 400);
    EXPECT_EQ(get("?after=1&waitMs=-5").status, 400);
    EXPECT_EQ(exchangeOnce(m_port, "GET", "/v1/other").status, 404);
    EXPECT_EQ(exchangeOnce(m_port, "POST", "/v1/config").status, 404);
}

// Guards against fixed windows of one second, which would admit up to twice the limit within a second that spans two windows.
TEST(CallRateLimiter, LimitsEveryWindowOfOneSecond)
{
    call_rate_limiter limiter(2);
    const call_rate_limiter::clock::time_point start{std::chrono::seconds{100}};
    EXPECT_TRUE(limiter.admit(start + std::chrono::milliseconds{900}));
    EXPECT_TRUE(limiter.admit(start + std::chrono::milliseconds{950}));
    EXPECT_FALSE(limiter.admit(start + std::chrono::milliseconds{1050}));
    EXPECT_TRUE(limiter.admit(start + std::chrono::milliseconds{1901}));
    EXPECT_FALSE(limiter.admit(start + std::chrono::milliseconds{1902}));
    EXPECT_EQ(limiter.calls(), 5U);
    EXPECT_EQ(limiter.refused(), 2U);
    // The calls at 950, 1050, 1901 and 1902 ms lie within one second.
    EXPECT_EQ(limiter.peakPerSecond(), 4U);
}

// Guards against hidden or oversized files in a revision, and against unreadable folders that are served as empty.
TEST(ConfigFolder, ReadsRegularFiles)
{
    const auto folder = std::filesystem::path(testing::TempDir()) / ("standin_config_" + std::to_string(getpid()));
    std::filesystem::create_directories(folder / "sub");
    std::ofstream(folder / "10-a.json") << "{} // comment";
    std::ofstream(folder / ".hidden") << "x";
    EXPECT_EQ(*readConfigFolder(folder), R"({"10-a.json":"{} // comment"})");
    std::ofstream(folder / "big.json") << std::string(1100000, ' ');
    EXPECT_FALSE(readConfigFolder(folder));
    EXPECT_FALSE(readConfigFolder(folder / "absent"));
    std::filesystem::remove_all(folder);
}

// Guards against invalid host lists that pass validation, and would then be served.
TEST(HostListFile, RefusesInvalidHosts)
{
    const json host = {{"id", "e0"}, {"kind", "entryHost"}, {"zone", "a"}, {"address", "127.0.0.1:1"}, {"state", "live"}};
    EXPECT_EQ(validateHosts(json::array({host})), "");
    EXPECT_NE(validateHosts(json::array({host, host})), "");
    EXPECT_NE(validateHosts(host), "");
    for (const char *key : {"id", "kind", "zone", "address", "state"}) {
        json changed = host;
        changed.erase(key);
        EXPECT_NE(validateHosts(json::array({changed})), "") << key;
    }
    json changed = host;
    changed["state"] = "gone";
    EXPECT_NE(validateHosts(json::array({changed})), "");
}
