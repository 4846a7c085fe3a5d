#include <load/load_runner.h>
#include <load/report.h>

#include <standin/control_server.h>

#include <nlohmann/json.hpp>

#include <base/monotonic_clock.h>

#include <gtest/gtest.h>

#include <numeric>
#include <thread>

using namespace orioledrum::load;
using orioledrum::standin::control_server;
using orioledrum::standin::errorResponse;
using orioledrum::standin::http_request;
using orioledrum::standin::http_response;
using json = nlohmann::json;

namespace
{

const std::string fullAnswer =
    R"({"requestId":"r1","results":[{"id":"x","score":0.5,"text":"t"}],"snapshot":3,"layout":2,"coverage":{"shardsTotal":4,)"
    R"("shardsAnswered":4,"fraction":1.0,"missing":[]},"complete":true,"elapsedMs":1})";
const std::string partialAnswer =
    R"({"requestId":"r2","results":[],"snapshot":3,"layout":2,"coverage":{"shardsTotal":4,"shardsAnswered":2,"fraction":0.5,)"
    R"("missing":[{"shard":"s1","reason":"timeout"},{"shard":"s2","reason":"timeout"}]},"complete":false,"elapsedMs":1})";

/// A stand-in for an entry host: one thread that answers one request at a time.
class test_server
{
public:
    explicit test_server(control_server::request_handler answer)
        : m_server(m_context, std::move(answer))
        , m_port(*m_server.listen(0))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~test_server()
    {
        m_context.stop();
        m_thread.join();
    }

    test_server(const test_server &) = delete;
    test_server &operator=(const test_server &) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    asio::io_context m_context;
    control_server m_server;
    std::uint16_t m_port;
    std::thread m_thread;
};

arrival_settings makeArrivalSettings(double searchesPerSecond, double ordersPerSecond, std::chrono::milliseconds duration)
{
    arrival_settings settings;
    settings.seed = 4;
    settings.searchesPerSecond = searchesPerSecond;
    settings.ordersPerSecond = ordersPerSecond;
    settings.duration = duration;
    settings.searchServices = {{"archive", 3}, {"roster", 1}};
    settings.orderServices = {{"orders", 1}};
    settings.customers = {{"cabs", 9}, {"desk", 1}};
    return settings;
}

report_context makeContext(const arrival_settings &arrivalSettings, const load_settings &loadSettings)
{
    report_context context;
    context.searchesPerSecond = arrivalSettings.searchesPerSecond;
    context.ordersPerSecond = arrivalSettings.ordersPerSecond;
    context.duration = arrivalSettings.duration;
    context.deadline = loadSettings.deadline;
    context.seed = arrivalSettings.seed;
    return context;
}

} // namespace

// Guards against coordinated omission: a stall must delay every request scheduled during it, not only the one in progress.
TEST(LoadRunner, StallIsVisibleInPercentiles)
{
    static constexpr std::chrono::milliseconds stall{400};
    int requests = 0;
    test_server server([&requests](const http_request &) -> http_response {
        if (++requests == 50) {
            std::this_thread::sleep_for(stall);
        }
        return {200, {}, fullAnswer};
    });
    const auto arrivalSettings = makeArrivalSettings(200, 0, std::chrono::seconds{1});
    load_settings loadSettings;
    loadSettings.hosts = {server.address()};
    const auto arrivals = makeArrivals(arrivalSettings);
    const auto samples = runLoad(loadSettings, arrivals);
    ASSERT_EQ(samples.size(), arrivals.size());
    const auto report = json::parse(reportAsJson(samples, makeContext(arrivalSettings, loadSettings)));
    // 80 of 200 requests are scheduled in the stall; a closed loop with one request at a time would show one slow request.
    EXPECT_GE(report["searches"]["latencyMs"]["p90"].get<double>(), 150) << report["searches"].dump(1);
    EXPECT_GE(report["searches"]["latencyMs"]["max"].get<double>(), 390);
    EXPECT_GE(report["searches"]["late"].get<int>(), 40);
    EXPECT_EQ(report["searches"]["outcomes"]["answered"], samples.size());
}

// Guards against requests that wait for earlier answers when the entry host is slower than the load.
TEST(LoadRunner, SendsWithoutWaitingForAnswers)
{
    test_server server([](const http_request &) -> http_response {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        return {200, {}, fullAnswer};
    });
    const auto arrivalSettings = makeArrivalSettings(200, 0, std::chrono::milliseconds{500});
    load_settings loadSettings;
    loadSettings.hosts = {server.address()};
    loadSettings.threads = 2;
    loadSettings.timeout = std::chrono::seconds{30};
    const auto samples = runLoad(loadSettings, makeArrivals(arrivalSettings));
    ASSERT_GT(samples.size(), 60U);
    std::chrono::microseconds lastEnd{0};
    for (const auto &entry : samples) {
        ASSERT_EQ(entry.outcome, "answered") << toJsonLine(entry);
        EXPECT_GE(entry.sent, entry.scheduled);
        lastEnd = std::max(lastEnd, entry.ended);
    }
    // The server needs 20 ms for each of about 100 requests, so the last answer arrives long after the last request was sent.
    EXPECT_GT(lastEnd - samples.back().sent, std::chrono::milliseconds{500});
}

// Guards against requests that entry hosts would reject, and against orders that do not use their tickets.
TEST(LoadRunner, RequestsMatchTheCallerApi)
{
    std::vector<http_request> receivedRequests;
    auto server = std::make_unique<test_server>([&receivedRequests](const http_request &request) -> http_response {
        receivedRequests.push_back(request);
        if (request.path == "/v1/search") {
            return {200, {}, fullAnswer};
        }
        if (request.path == "/v1/orders/tickets") {
            return {200, {}, R"({"ticket":"t-1","expiresInMs":60000})"};
        }
        return {200, {}, R"({"outcome":"ran","result":{}})"};
    });
    const auto arrivalSettings = makeArrivalSettings(50, 50, std::chrono::milliseconds{400});
    load_settings loadSettings;
    loadSettings.hosts = {server->address()};
    loadSettings.priority = 2;
    loadSettings.keepResults = true;
    const auto samples = runLoad(loadSettings, makeArrivals(arrivalSettings));
    server.reset(); // Joins the thread that writes to the received requests.
    std::size_t searches = 0;
    std::size_t orders = 0;
    for (const auto &entry : samples) {
        EXPECT_TRUE(entry.succeeded()) << toJsonLine(entry);
        EXPECT_EQ(entry.ticket, entry.isOrder ? "t-1" : "");
        // Guards against samples that cannot be aligned with recordings on CLOCK_BOOTTIME.
        const auto now = std::chrono::duration_cast<std::chrono::microseconds>(orioledrum::monotonic_clock::now().time_since_epoch());
        EXPECT_GT(entry.runStart, now - std::chrono::seconds{60});
        EXPECT_LE(entry.runStart + entry.ended, now);
        EXPECT_EQ(entry.deadline, loadSettings.deadline);
        EXPECT_EQ(entry.limit, entry.isOrder ? 0 : loadSettings.limit);
        EXPECT_EQ(entry.orderSent >= entry.sent && entry.orderSent <= entry.ended, entry.isOrder);
        EXPECT_NE(toJsonLine(entry).find("\"sentAtUs\":" + std::to_string((entry.runStart + entry.sent).count())), std::string::npos);
        EXPECT_EQ(entry.results.size(), entry.isOrder ? 0U : 1U);
        ++(entry.isOrder ? orders : searches);
    }
    EXPECT_GT(searches, 5U);
    EXPECT_GT(orders, 5U);
    EXPECT_EQ(receivedRequests.size(), searches + 2 * orders);
    for (const auto &request : receivedRequests) {
        const auto body = json::parse(request.body);
        if (request.path == "/v1/search") {
            EXPECT_EQ(request.method, "POST");
            EXPECT_EQ(body.size(), 7U);
            EXPECT_EQ(body["deadlineMs"], 79);
            EXPECT_EQ(body["minCoverage"], 0.99);
            EXPECT_EQ(body["limit"], 10);
            EXPECT_EQ(body["priority"], 2);
        } else if (request.path == "/v1/orders/tickets") {
            EXPECT_EQ(request.method, "POST");
            EXPECT_EQ(body.size(), 2U);
        } else {
            EXPECT_EQ(request.method, "PUT");
            EXPECT_EQ(request.path, "/v1/orders/t-1");
            EXPECT_TRUE(body["order"].is_object());
        }
    }
}

// Guards against error answers counted as answered searches, and against orders with an unknown outcome counted as not run.
TEST(LoadRunner, CountsErrorsByCode)
{
    test_server server([](const http_request &request) -> http_response {
        if (request.path == "/v1/search") {
            return errorResponse(503, "overloaded", "full");
        }
        if (request.path == "/v1/orders/tickets") {
            return {200, {}, R"({"ticket":"t-1","expiresInMs":60000})"};
        }
        return {504, {}, R"({"outcome":"unknown","code":"deadlineExceeded","message":"late"})"};
    });
    const auto arrivalSettings = makeArrivalSettings(50, 50, std::chrono::milliseconds{300});
    load_settings loadSettings;
    loadSettings.hosts = {server.address()};
    const auto samples = runLoad(loadSettings, makeArrivals(arrivalSettings));
    const auto report = json::parse(reportAsJson(samples, makeContext(arrivalSettings, loadSettings)));
    const auto &searches = report["searches"];
    const auto &orders = report["orders"];
    EXPECT_EQ(searches["outcomes"], (json{{"refused", searches["count"]}}));
    EXPECT_EQ(searches["errorsByCode"], (json{{"overloaded", searches["count"]}}));
    EXPECT_TRUE(searches["latencyMs"].is_null());
    EXPECT_EQ(orders["outcomes"], (json{{"unknown", orders["count"]}}));
    EXPECT_EQ(orders["errorsByCode"], (json{{"deadlineExceeded", orders["count"]}}));
}

// Guards against a run that hangs, or that counts requests as answered, when no entry host listens.
TEST(LoadRunner, ReportsUnreachableHosts)
{
    std::string address;
    {
        const test_server stoppedServer([](const http_request &) { return http_response{}; });
        address = stoppedServer.address();
    }
    const auto arrivalSettings = makeArrivalSettings(50, 20, std::chrono::milliseconds{200});
    load_settings loadSettings;
    loadSettings.hosts = {address};
    for (const auto &entry : runLoad(loadSettings, makeArrivals(arrivalSettings))) {
        EXPECT_EQ(entry.outcome, entry.isOrder ? "notRun" : "failed");
        EXPECT_EQ(entry.code, "noAnswer");
    }
}

// Guards against waiting forever for a host that accepts connections and does not answer: the request must end at its timeout.
TEST(LoadRunner, RequestToSilentHostTimesOut)
{
    asio::io_context context;
    const asio::ip::tcp::acceptor silentHost(context, {asio::ip::address_v4::loopback(), 0});
    const auto arrivalSettings = makeArrivalSettings(50, 0, std::chrono::milliseconds{100});
    load_settings loadSettings;
    loadSettings.hosts = {"127.0.0.1:" + std::to_string(silentHost.local_endpoint().port())};
    loadSettings.timeout = std::chrono::milliseconds{150};
    for (const auto &entry : runLoad(loadSettings, makeArrivals(arrivalSettings))) {
        EXPECT_EQ(entry.outcome, "failed");
        EXPECT_GE(entry.latency(), std::chrono::milliseconds{149});
    }
}

// Guards against arrivals that differ between runs with the same seed, and against wrong rates or weights.
TEST(Arrivals, MatchSettingsAndSeed)
{
    const auto settings = makeArrivalSettings(1000, 100, std::chrono::seconds{20});
    const auto first = makeArrivals(settings);
    const auto second = makeArrivals(settings);
    ASSERT_EQ(first.size(), second.size());
    double orders = 0;
    double cabs = 0;
    double archive = 0;
    for (std::size_t index = 0; index < first.size(); ++index) {
        ASSERT_EQ(first[index].scheduled, second[index].scheduled);
        ASSERT_EQ(first[index].query, second[index].query);
        ASSERT_TRUE(index == 0 || first[index - 1].scheduled <= first[index].scheduled);
        orders += first[index].isOrder ? 1 : 0;
        cabs += first[index].customer == "cabs" ? 1 : 0;
        archive += first[index].service == "archive" ? 1 : 0;
    }
    const auto total = static_cast<double>(first.size());
    EXPECT_NEAR(total, 22000, 600);
    EXPECT_NEAR(orders, 2000, 180);
    EXPECT_NEAR(cabs / total, 0.9, 0.01);
    EXPECT_NEAR(archive / (total - orders), 0.75, 0.015);
}

// Guards against off-by-one errors in percentile ranks.
TEST(Report, PercentilesAreNearestRank)
{
    std::vector<double> values(1000);
    std::iota(values.begin(), values.end(), 1);
    EXPECT_EQ(percentile(values, 0.5), 500);
    EXPECT_EQ(percentile(values, 0.99), 990);
    EXPECT_EQ(percentile(values, 0.999), 999);
    EXPECT_EQ(percentile(values, 1), 1000);
    EXPECT_EQ(percentile({7}, 0.001), 7);
}

// Guards against a report that hides low coverage or late answers, or that counts requests scheduled during the warm-up.
TEST(Report, ShowsCoverageLatenessAndWarmup)
{
    std::vector<sample> samples(4);
    for (std::size_t index = 0; index < samples.size(); ++index) {
        samples[index].customer = "desk";
        samples[index].scheduled = std::chrono::milliseconds(1000 * index);
        samples[index].sent = samples[index].scheduled + std::chrono::milliseconds{60};
        samples[index].ended = samples[index].scheduled + std::chrono::milliseconds{100};
        readSearchAnswer(200, index == 3 ? partialAnswer : fullAnswer, false, samples[index]);
    }
    report_context context;
    context.duration = std::chrono::seconds{4};
    context.warmup = std::chrono::seconds{1};
    context.deadline = std::chrono::milliseconds{79};
    const auto report = json::parse(reportAsJson(samples, context));
    const auto &searches = report["searches"];
    EXPECT_EQ(searches["count"], 3);
    EXPECT_EQ(searches["goodPerSecond"], 1.0);
    EXPECT_EQ(searches["late"], 3);
    EXPECT_EQ(searches["lateAfterSending"], 0);
    EXPECT_EQ(searches["coverage"]["min"], 0.5);
    EXPECT_EQ(searches["coverage"]["full"], 2);
    EXPECT_EQ(searches["coverage"]["below0.99"], 1);
    EXPECT_EQ(searches["coverage"]["missingShardsByReason"]["timeout"], 2);
    EXPECT_EQ(report["perSecond"].size(), 3U);
    const auto text = reportAsText(samples, context);
    EXPECT_NE(text.find("min 0.5000"), std::string::npos) << text;
}

// Guards against malformed answers counted as successes.
TEST(Sample, MalformedAnswersAreErrors)
{
    for (const char *body : {"", "[]", "{}", R"({"requestId":"r"})", R"({"requestId":1,"results":[],"coverage":{}})"}) {
        sample search;
        readSearchAnswer(200, body, false, search);
        EXPECT_EQ(search.outcome, "failed") << body;
        EXPECT_EQ(search.code, "malformedAnswer") << body;
        sample order;
        readOrderAnswer(200, body, order);
        EXPECT_EQ(order.outcome, "unknown") << body;
    }
    sample order;
    readOrderAnswer(200, R"({"outcome":"perhaps"})", order);
    EXPECT_EQ(order.outcome, "unknown");
    EXPECT_EQ(order.code, "malformedAnswer");
}
