#include <standin/backend_fleet.h>

#include <standin/hits.h>

#include <nlohmann/json.hpp>

#include <future>

namespace orioledrum::standin
{

using json = nlohmann::json;

namespace
{

constexpr std::string_view backendPath = "/control/backend/";
constexpr std::string_view zonePath = "/control/zone/";

} // namespace

backend_fleet::backend_fleet(const backend_fleet_settings &settings, std::size_t threads, recorder &recording)
    : m_controlContext(1)
    , m_controlServer(m_controlContext, [this](const http_request &request) { return handleControl(request); })
    , m_hitsPerShard(settings.backends.front().hitsPerShard)
{
    for (std::size_t index = 0; index < threads; ++index) {
        m_contexts.push_back(std::make_unique<asio::io_context>(1));
    }
    for (const auto &backend : settings.backends) {
        auto &context = *m_contexts[m_backends.size() % threads];
        m_backends.push_back(std::make_unique<backend_server>(context, backend, settings.seed ^ stableHash(backend.id), recording));
    }
}

backend_fleet::~backend_fleet()
{
    stop();
}

tl::expected<std::string, std::string> backend_fleet::start(std::uint16_t controlPort)
{
    json ports = json::object();
    for (const auto &backend : m_backends) {
        const auto port = backend->listen();
        if (!port) {
            return tl::unexpected("Backend server " + backend->id() + ": " + port.error());
        }
        ports[backend->id()] = *port;
    }
    const auto control = m_controlServer.listen(controlPort);
    if (!control) {
        return tl::unexpected(control.error());
    }
    for (const auto &context : m_contexts) {
        m_workGuards.push_back(asio::make_work_guard(*context));
        m_threads.emplace_back([&context = *context] { context.run(); });
    }
    m_workGuards.push_back(asio::make_work_guard(m_controlContext));
    m_threads.emplace_back([this] { m_controlContext.run(); });
    return json{{"controlPort", *control}, {"backendServers", std::move(ports)}}.dump();
}

void backend_fleet::stop()
{
    // Stop the control thread first: while it handles a request it waits for the backend threads.
    m_controlContext.stop();
    if (!m_threads.empty()) {
        m_threads.back().join();
        m_threads.pop_back();
    }
    for (const auto &context : m_contexts) {
        context->stop();
    }
    for (auto &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void backend_fleet::runOnThreadOf(backend_server &backend, const std::function<void()> &action)
{
    std::promise<void> done;
    asio::post(backend.context(), [&action, &done] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

http_response backend_fleet::statsResponse()
{
    json list = json::array();
    json totals = json::object();
    for (const auto &backend : m_backends) {
        json entry;
        runOnThreadOf(*backend, [&] { entry = backend->stats(); });
        for (const char *key : {"searches",
                                "answered",
                                "orders",
                                "ordersRun",
                                "aboveBorne",
                                "aboveBorneCold",
                                "refusedDraining",
                                "refusedSnapshot",
                                "cancelled",
                                "expired",
                                "neverAnswered",
                                "connectionsRefused",
                                "inUse",
                                "connections"}) {
            totals[key] = totals.value(key, std::uint64_t{0}) + entry[key].get<std::uint64_t>();
        }
        list.push_back(std::move(entry));
    }
    return {200, {}, json{{"totals", std::move(totals)}, {"backendServers", std::move(list)}}.dump()};
}

http_response backend_fleet::ordersResponse()
{
    struct order_count {
        std::uint64_t runs = 0;
        std::map<std::string, std::uint64_t> byBackend;
    };
    std::map<std::string, order_count> counts;
    for (const auto &backend : m_backends) {
        runOnThreadOf(*backend, [&] {
            for (const auto &[orderId, runs] : backend->orderRuns()) {
                counts[orderId].runs += runs;
                counts[orderId].byBackend[backend->id()] = runs;
            }
        });
    }
    json result = json::object();
    for (const auto &[orderId, count] : counts) {
        result[orderId] = {{"runs", count.runs}, {"backendServers", count.byBackend}};
    }
    return {200, {}, json{{"orders", std::move(result)}}.dump(-1, ' ', false, json::error_handler_t::replace)};
}

http_response backend_fleet::changeBackends(const std::function<bool(const backend_server &)> &selects, const http_request &request)
{
    const json body = json::parse(request.body);
    if (!body.is_object()) {
        return errorResponse(400, "invalidArgument", "The body must be an object.");
    }
    std::uint64_t changed = 0;
    for (const auto &backend : m_backends) {
        if (!selects(*backend)) {
            continue;
        }
        std::string problem;
        runOnThreadOf(*backend, [&] {
            try {
                problem = backend->applyControlRequest(body);
            } catch (const json::exception &error) {
                problem = error.what();
            }
        });
        if (!problem.empty()) {
            return errorResponse(400, "invalidArgument", "Backend server " + backend->id() + ": " + problem);
        }
        ++changed;
    }
    if (changed == 0) {
        return errorResponse(404, "invalidArgument", "No such backend server.");
    }
    return {200, {}, json{{"changed", changed}}.dump()};
}

http_response backend_fleet::handleControl(const http_request &request)
{
    const bool post = request.method == "POST";
    if (request.method == "GET" && request.path == "/control/stats") {
        return statsResponse();
    }
    if (request.method == "GET" && request.path == "/control/orders") {
        return ordersResponse();
    }
    if (request.method == "GET" && request.path == "/control/expected") {
        const auto queryText = [&](const std::string &key) {
            const auto found = request.query.find(key);
            return found == request.query.end() ? std::string() : found->second;
        };
        const auto limit = request.queryNumber("limit").value_or(0);
        const auto snapshot = request.queryNumber("snapshot");
        if (queryText("shard").empty() || !snapshot || *snapshot < 1 || limit < 0) {
            return errorResponse(400, "invalidArgument", "expected needs shard, snapshot and query, and takes limit.");
        }
        json hits = json::array();
        for (const auto &hit : makeHits(queryText("shard"),
                                        static_cast<std::uint64_t>(*snapshot),
                                        queryText("query"),
                                        m_hitsPerShard,
                                        static_cast<std::uint32_t>(limit))) {
            hits.push_back({{"id", hit.id}, {"score", hit.score}, {"text", hit.text}});
        }
        return {200, {}, json{{"hits", std::move(hits)}}.dump(-1, ' ', false, json::error_handler_t::replace)};
    }
    if (post && request.path == "/control/all") {
        return changeBackends([](const backend_server &) { return true; }, request);
    }
    if (post && request.path.starts_with(zonePath)) {
        return changeBackends([&](const backend_server &backend) { return backend.zone() == request.path.substr(zonePath.size()); },
                              request);
    }
    if (post && request.path.starts_with(backendPath)) {
        return changeBackends([&](const backend_server &backend) { return backend.id() == request.path.substr(backendPath.size()); },
                              request);
    }
    return errorResponse(404, "invalidArgument", "Unknown control request.");
}

} // namespace orioledrum::standin
