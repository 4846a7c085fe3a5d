#include <standin/backend_server.h>

#include <standin/hits.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace orioledrum::standin
{

using json = nlohmann::json;

namespace
{

constexpr std::string_view cancelPath = "/cancel/";

json snapshotList(const std::vector<held_snapshot> &held)
{
    json list = json::array();
    for (const auto &entry : held) {
        list.push_back({{"snapshot", entry.snapshot}, {"layout", entry.layout}, {"shards", entry.shards}});
    }
    return list;
}

std::string snapshotHeader(const std::vector<held_snapshot> &held)
{
    std::string text;
    for (const auto &entry : held) {
        text += (text.empty() ? "" : ",") + std::to_string(entry.snapshot) + ":" + std::to_string(entry.layout);
    }
    return text;
}

/// Identifiers taken from headers may hold bytes that are not UTF-8; these are replaced.
std::string toText(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t toMicroseconds(time_point when)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count();
}

} // namespace

/// One search or order, from its arrival to its end.
struct backend_server::call {
    std::uint64_t number = 0;
    std::shared_ptr<http_connection> connection;
    bool order = false;
    std::string requestId;
    std::string attemptId;
    time_point arrival;
    std::optional<std::chrono::microseconds> remaining; ///< Time left at the arrival.
    std::optional<std::chrono::microseconds> service; ///< Nothing when the call is never answered.
    std::unique_ptr<asio::steady_timer> timer;
    std::string serviceName;
    std::string shard;
    std::uint64_t snapshot = 0;
    std::uint32_t layout = 0;
    std::string query;
    std::uint32_t limit = 0;
    std::uint32_t inUse = 0; ///< Slots in use at the arrival, this call not counted.
    std::uint32_t bears = 0;
    std::string_view state;
    std::uint64_t runs = 0; ///< How often the order has been run, this time included.
    bool expired = false;
};

struct backend_server::counters {
    std::uint64_t searches = 0;
    std::uint64_t answered = 0;
    std::uint64_t partial = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersRun = 0;
    std::uint64_t aboveBorne = 0;
    std::uint64_t aboveBorneCold = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t refusedSnapshot = 0;
    std::uint64_t refusedDeadline = 0;
    std::uint64_t refusedInvalid = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0;
    std::uint64_t closedInCall = 0;
    std::uint64_t neverAnswered = 0;
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t peakConnections = 0;
    std::uint64_t peakInUse = 0;
    std::uint64_t peakInUseCold = 0;
    std::uint64_t probes = 0;
    time_point lastWork;
};

/// A checked control request.
struct backend_server::change_plan {
    backend_settings settings;
    bool cold = false;
    bool restart = false;
    bool dropConnections = false;
    std::optional<bool> drain;
    std::optional<bool> listen;
    std::optional<silence> quiet;
    bool silentLosesAnswers = false;
};

backend_server::backend_server(asio::io_context &context, backend_settings settings, std::uint64_t seed, recorder &events)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_recorder(events)
    , m_server(context, *this)
    , m_times(seed)
    , m_random(random_source::fromSystem())
    , m_instance(m_random.hexId())
    , m_workDone(m_settings.startCold ? std::chrono::microseconds{0} : m_settings.rampWork)
    , m_counters(std::make_unique<counters>())
{
}

backend_server::~backend_server() = default;

tl::expected<std::uint16_t, std::string> backend_server::listen()
{
    auto result = m_server.listen(m_settings.port);
    if (result) {
        m_port = *result;
    }
    return result;
}

std::string_view backend_server::state() const
{
    if (m_draining) {
        return "draining";
    }
    return warm() ? "warm" : "cold";
}

std::uint32_t backend_server::bears() const
{
    if (warm()) {
        return m_settings.slots;
    }
    const auto extra = (m_settings.slots - m_settings.coldSlots) * m_workDone / m_settings.rampWork;
    return m_settings.coldSlots + static_cast<std::uint32_t>(extra);
}

backend_server::view backend_server::currentView() const
{
    return {monotonic_clock::now(), state(), m_inUse, bears(), m_instance, snapshotHeader(m_settings.snapshots)};
}

backend_server::view backend_server::reportedView() const
{
    view seen = currentView();
    const time_point shown = seen.when - m_settings.loadLag;
    for (const auto &past : m_history) {
        if (past.when <= shown || &past == &m_history.front()) {
            seen = past;
        }
    }
    if (m_settings.lie == load_lie::healthy) {
        seen.state = "warm";
        seen.inUse = 0;
        seen.slots = m_settings.slots;
    } else if (m_settings.lie == load_lie::unhealthy) {
        seen.state = "draining";
        seen.inUse = seen.slots;
    }
    return seen;
}

void backend_server::noteChange()
{
    if (m_settings.loadLag.count() == 0) {
        m_history.clear();
        return;
    }
    m_history.push_back(currentView());
    // The newest entry older than the lag is still needed: it is the one shown.
    const time_point shown = m_history.back().when - m_settings.loadLag;
    while (m_history.size() > 1 && m_history[1].when <= shown) {
        m_history.pop_front();
    }
}

http_response backend_server::withReport(http_response response, const view &seen) const
{
    response.headers.emplace_back("X-State", seen.state);
    response.headers.emplace_back("X-Instance", seen.instance);
    response.headers.emplace_back("X-Load", std::to_string(seen.inUse) + "/" + std::to_string(seen.slots));
    response.headers.emplace_back("X-Snapshots", seen.snapshots);
    return response;
}

std::chrono::microseconds backend_server::onConnect(const std::shared_ptr<http_connection> &connection)
{
    if (m_server.connectionCount() > m_settings.connections) {
        ++m_counters->connectionsRefused;
        return std::chrono::microseconds{-1};
    }
    ++m_counters->connectionsAccepted;
    m_counters->peakConnections = std::max<std::uint64_t>(m_counters->peakConnections, m_server.connectionCount());
    if (m_silence == silence::all) {
        m_silentLosesAnswers ? connection->muteAnswers() : connection->mute();
    }
    // New connections are set up one after the other.
    const time_point now = monotonic_clock::now();
    m_connectionReady = std::max(m_connectionReady, now) + m_settings.connectionCost;
    return std::chrono::duration_cast<std::chrono::microseconds>(m_connectionReady - now);
}

void backend_server::onClose(const std::shared_ptr<http_connection> &connection)
{
    for (auto position = m_calls.begin(); position != m_calls.end();) {
        const auto entry = position->second;
        ++position;
        if (entry->connection == connection) {
            ++m_counters->closedInCall;
            release(entry, "closed");
        }
    }
    m_server.removeConnection(connection);
}

void backend_server::onRequest(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    if (request.method == "POST" && request.path == "/search") {
        onSearch(connection, request);
    } else if (request.method == "POST" && request.path == "/order") {
        onOrder(connection, request);
    } else if (request.method == "POST" && request.path.starts_with(cancelPath) && request.path.size() > cancelPath.size()) {
        onCancel(connection, request);
    } else if (request.method == "GET" && (request.path == "/load" || request.path == "/health")) {
        onLoad(connection, request.path == "/health");
    } else {
        connection->respond(withReport(errorResponse(404, "invalidArgument", "Unknown path " + request.path + "."), currentView()));
    }
}

std::shared_ptr<backend_server::call>
backend_server::makeCall(const std::shared_ptr<http_connection> &connection, const http_request &request, bool order) const
{
    auto result = std::make_shared<call>();
    result->connection = connection;
    result->order = order;
    result->requestId = request.header(order ? "x-order-id" : "x-request-id");
    result->attemptId = request.header("x-attempt-id");
    result->arrival = monotonic_clock::now();
    result->inUse = m_inUse;
    result->bears = bears();
    result->state = state();
    if (const auto deadline = request.headerNumber("x-deadline-ms")) {
        // A deadline beyond an hour is cut, which keeps the sum of times in range.
        result->remaining = std::chrono::milliseconds(std::clamp<std::int64_t>(*deadline, 0, 3600000));
    }
    return result;
}

void backend_server::refuse(const std::shared_ptr<call> &entry, int status, std::string_view code, std::string_view message)
{
    auto response = errorResponse(status, code, message);
    response.headers.emplace_back("X-Not-Run", "1");
    if (!entry->order) {
        response.headers.emplace_back("X-Request-Id", entry->requestId);
    }
    record(*entry, code);
    entry->connection->respond(withReport(std::move(response), currentView()));
}

bool backend_server::admit(const std::shared_ptr<call> &entry)
{
    if (m_draining) {
        ++m_counters->refusedDraining;
        refuse(entry, 503, "draining", "The backend server is draining.");
        return false;
    }
    if (entry->remaining && entry->remaining->count() <= 0) {
        ++m_counters->refusedDeadline;
        refuse(entry, 504, "deadlineExceeded", "The deadline passed before the start.");
        return false;
    }
    if (m_inUse >= bears()) {
        ++m_counters->aboveBorne;
        if (!warm()) {
            ++m_counters->aboveBorneCold;
        }
        refuse(entry, 503, "overloaded", "All slots are in use.");
        return false;
    }
    return true;
}

void backend_server::begin(const std::shared_ptr<call> &entry)
{
    entry->number = ++m_callNumber;
    entry->service = m_times.draw(m_settings.times, !warm());
    if (!entry->service) {
        ++m_counters->neverAnswered;
    }
    ++m_inUse;
    m_counters->lastWork = entry->arrival;
    m_counters->peakInUse = std::max<std::uint64_t>(m_counters->peakInUse, m_inUse);
    if (!warm()) {
        m_counters->peakInUseCold = std::max<std::uint64_t>(m_counters->peakInUseCold, m_inUse);
    }
    m_calls.emplace(entry->number, entry);
    noteChange();
    std::optional<std::chrono::microseconds> wait = entry->service;
    if (entry->remaining && (!wait || *entry->remaining < *wait)) {
        wait = entry->remaining;
        entry->expired = true;
    }
    if (!wait) {
        return; // Ends when it is cancelled or its connection is closed.
    }
    entry->timer = std::make_unique<asio::steady_timer>(m_context, *wait);
    entry->timer->async_wait([this, entry](std::error_code error) {
        if (!error && m_calls.contains(entry->number)) {
            finish(entry);
        }
    });
}

void backend_server::release(const std::shared_ptr<call> &entry, std::string_view outcome)
{
    m_calls.erase(entry->number);
    --m_inUse;
    if (entry->timer) {
        entry->timer->cancel();
    }
    noteChange();
    record(*entry, outcome);
}

void backend_server::finish(const std::shared_ptr<call> &entry)
{
    if (entry->expired) {
        ++m_counters->expired;
        release(entry, entry->service ? "expired" : "never");
        if (entry->service) {
            auto response = errorResponse(504, "deadlineExceeded", "The deadline passed during the work.");
            response.headers.emplace_back(entry->order ? "X-Order-Id" : "X-Request-Id", entry->requestId);
            entry->connection->respond(withReport(std::move(response), currentView()));
        }
        return;
    }
    if (!warm()) {
        m_workDone += *entry->service;
    }
    http_response response;
    if (entry->order) {
        release(entry, "ran");
        response.headers.emplace_back("X-Order-Id", entry->requestId);
        response.body =
            json{{"orderId", entry->requestId}, {"ran", true}, {"result", {{"accepted", true}, {"backend", m_settings.id}}}}.dump();
    } else {
        const bool partial = m_times.chance(m_settings.partialShare);
        ++m_counters->answered;
        m_counters->partial += partial ? 1 : 0;
        release(entry, partial ? "partial" : "answered");
        json hits = json::array();
        auto found = makeHits(entry->shard, entry->snapshot, entry->query, m_settings.hitsPerShard, entry->limit);
        if (partial) {
            found.resize(found.size() / 2);
        }
        for (auto &hit : found) {
            hits.push_back({{"id", std::move(hit.id)}, {"score", hit.score}, {"text", std::move(hit.text)}});
        }
        response.headers.emplace_back("X-Request-Id", entry->requestId);
        response.body = toText({{"requestId", entry->requestId},
                                {"service", entry->serviceName},
                                {"shard", entry->shard},
                                {"snapshot", entry->snapshot},
                                {"layout", entry->layout},
                                {"partial", partial},
                                {"hits", std::move(hits)}});
    }
    if (!entry->attemptId.empty()) {
        response.headers.emplace_back("X-Attempt-Id", entry->attemptId);
    }
    entry->connection->respond(withReport(std::move(response), currentView()));
}

void backend_server::onSearch(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const auto entry = makeCall(connection, request, false);
    ++m_counters->searches;
    const json body = json::parse(request.body, nullptr, false);
    try {
        entry->serviceName = body.at("service").get<std::string>();
        entry->shard = body.at("shard").get<std::string>();
        entry->snapshot = body.at("snapshot").get<std::uint64_t>();
        entry->layout = body.at("layout").get<std::uint32_t>();
        entry->query = body.at("query").get<std::string>();
        entry->limit = body.value("limit", std::uint32_t{0});
    } catch (const json::exception &) {
        ++m_counters->refusedInvalid;
        refuse(entry, 400, "malformed", "The body needs service, shard, layout, snapshot and query.");
        return;
    }
    if (entry->serviceName != m_settings.service) {
        ++m_counters->refusedInvalid;
        refuse(entry, 404, "unknownService", "Service " + entry->serviceName + " is not served here.");
        return;
    }
    const auto &held = m_settings.snapshots;
    const bool holds = std::any_of(held.begin(), held.end(), [&](const held_snapshot &candidate) {
        return candidate.snapshot == entry->snapshot && candidate.layout == entry->layout
            && std::find(candidate.shards.begin(), candidate.shards.end(), entry->shard) != candidate.shards.end();
    });
    if (!holds) {
        ++m_counters->refusedSnapshot;
        refuse(entry, 409, "snapshotNotHeld", "This shard is not held at that snapshot and layout.");
        return;
    }
    if (admit(entry)) {
        begin(entry);
    }
}

void backend_server::onOrder(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const auto entry = makeCall(connection, request, true);
    ++m_counters->orders;
    const json body = json::parse(request.body, nullptr, false);
    if (entry->requestId.empty() || !body.is_object()) {
        ++m_counters->refusedInvalid;
        refuse(entry, 400, "malformed", "An order needs X-Order-Id and a JSON object.");
        return;
    }
    if (const auto service = body.find("service"); service != body.end() && *service != m_settings.service) {
        ++m_counters->refusedInvalid;
        refuse(entry, 404, "unknownService", "This service is not served here.");
        return;
    }
    if (!admit(entry)) {
        return;
    }
    // The order takes effect at its start: a cancelled, late or closed call does not undo it.
    entry->runs = ++m_orderRuns[entry->requestId];
    ++m_counters->ordersRun;
    begin(entry);
}

void backend_server::onCancel(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const std::string id = request.path.substr(cancelPath.size());
    std::uint64_t cancelled = 0;
    for (auto position = m_calls.begin(); position != m_calls.end();) {
        const auto entry = position->second;
        ++position;
        if (!entry->order && entry->requestId == id) {
            ++cancelled;
            ++m_counters->cancelled;
            release(entry, "cancelled");
            auto response = errorResponse(499, "cancelled", "The call was cancelled.");
            response.headers.emplace_back("X-Request-Id", entry->requestId);
            entry->connection->respond(withReport(std::move(response), currentView()));
        }
    }
    connection->respond(withReport({200, {}, json{{"cancelled", cancelled}}.dump()}, currentView()));
}

void backend_server::onLoad(const std::shared_ptr<http_connection> &connection, bool health)
{
    ++m_counters->probes;
    const view seen = reportedView();
    json body = {{"state", seen.state}};
    if (health) {
        body["healthy"] = seen.state == "warm";
    } else {
        body["inUse"] = seen.inUse;
        body["slots"] = seen.slots;
        body["connections"] = m_server.connectionCount();
    }
    connection->respond(withReport({200, {}, body.dump()}, seen));
}

void backend_server::record(const call &entry, std::string_view outcome) const
{
    if (!m_recorder.enabled()) {
        return;
    }
    json line = {{"event", entry.order ? "order" : "search"},
                 {"backend", m_settings.id},
                 {"instance", m_instance},
                 {"outcome", outcome},
                 {"concurrent", entry.inUse},
                 {"bears", entry.bears},
                 {"state", entry.state},
                 {"arrivalUs", toMicroseconds(entry.arrival)},
                 {"endUs", toMicroseconds(monotonic_clock::now())},
                 {"connection", entry.connection->number()}};
    if (entry.remaining) {
        line["remainingUs"] = entry.remaining->count();
    }
    if (entry.order) {
        line["order"] = entry.requestId;
        line["runs"] = entry.runs;
    } else {
        line["request"] = entry.requestId;
        line["shard"] = entry.shard;
        line["snapshot"] = entry.snapshot;
        line["layout"] = entry.layout;
    }
    if (!entry.attemptId.empty()) {
        line["attempt"] = entry.attemptId;
    }
    m_recorder.append(toText(line));
}

void backend_server::dropCalls(std::string_view outcome)
{
    const auto calls = m_calls;
    for (const auto &[number, entry] : calls) {
        release(entry, outcome);
    }
}

void backend_server::restart()
{
    dropCalls("restarted");
    m_server.closeConnections(true);
    m_instance = m_random.hexId();
    m_workDone = std::chrono::microseconds{0};
    m_draining = false;
}

json backend_server::stats() const
{
    const auto &count = *m_counters;
    return {{"id", m_settings.id},
            {"service", m_settings.service},
            {"zone", m_settings.zone},
            {"port", m_port},
            {"instance", m_instance},
            {"state", state()},
            {"listening", m_server.listening()},
            {"inUse", m_inUse},
            {"bears", bears()},
            {"slots", m_settings.slots},
            {"connections", m_server.connectionCount()},
            {"snapshots", snapshotList(m_settings.snapshots)},
            {"searches", count.searches},
            {"answered", count.answered},
            {"partial", count.partial},
            {"orders", count.orders},
            {"ordersRun", count.ordersRun},
            {"aboveBorne", count.aboveBorne},
            {"aboveBorneCold", count.aboveBorneCold},
            {"refusedDraining", count.refusedDraining},
            {"refusedSnapshot", count.refusedSnapshot},
            {"refusedDeadline", count.refusedDeadline},
            {"refusedInvalid", count.refusedInvalid},
            {"cancelled", count.cancelled},
            {"expired", count.expired},
            {"closedInCall", count.closedInCall},
            {"neverAnswered", count.neverAnswered},
            {"connectionsAccepted", count.connectionsAccepted},
            {"connectionsRefused", count.connectionsRefused},
            {"peakConnections", count.peakConnections},
            {"peakInUse", count.peakInUse},
            {"peakInUseCold", count.peakInUseCold},
            {"probes", count.probes},
            {"lastWorkUs", toMicroseconds(count.lastWork)}};
}

std::string backend_server::plan(const json &value, change_plan &result) const
{
    static constexpr std::array<std::string_view, 22> known = {
        "cold",         "restart",     "drain",        "listen",           "silent",   "silentLoses", "dropConnections", "addSnapshot",
        "dropSnapshot", "splitLayout", "loadLagMs",    "loadLie",          "medianMs", "sigma",       "slowShare",       "slowMs",
        "neverShare",   "coldFactor",  "partialShare", "connectionCostMs", "slots",    "connections"};
    for (const auto &[key, member] : value.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            return "Unknown key " + key + ".";
        }
    }
    auto &settings = result.settings;
    result.cold = value.value("cold", false);
    result.restart = value.value("restart", false);
    result.dropConnections = value.value("dropConnections", false);
    if (value.contains("drain")) {
        result.drain = value["drain"].get<bool>();
    }
    if (value.contains("listen")) {
        result.listen = value["listen"].get<bool>();
    }
    if (value.contains("silent")) {
        const std::string kind = value["silent"].get<std::string>();
        if (kind != "none" && kind != "existing" && kind != "all") {
            return "silent must be none, existing or all.";
        }
        result.quiet = kind == "none" ? silence::none : (kind == "all" ? silence::all : silence::existing);
    }
    const std::string loses = value.value("silentLoses", std::string("requests"));
    if (loses != "requests" && loses != "answers") {
        return "silentLoses must be requests or answers.";
    }
    result.silentLosesAnswers = loses == "answers";
    if (std::string problem = readTimes(value, settings.times); !problem.empty()) {
        return problem + ".";
    }
    settings.partialShare = value.value("partialShare", settings.partialShare);
    settings.loadLag = std::chrono::milliseconds(value.value("loadLagMs", static_cast<std::int64_t>(settings.loadLag.count())));
    settings.connectionCost = std::chrono::microseconds(
        static_cast<std::int64_t>(value.value("connectionCostMs", static_cast<double>(settings.connectionCost.count()) / 1000) * 1000));
    settings.slots = value.value("slots", settings.slots);
    settings.connections = value.value("connections", settings.connections);
    const bool shareValid = settings.partialShare >= 0 && settings.partialShare <= 1;
    if (!shareValid || settings.loadLag.count() < 0 || settings.connectionCost.count() < 0 || settings.slots < settings.coldSlots
        || settings.slots == 0 || settings.connections == 0) {
        return "Times must not be negative, shares in [0,1], slots at least coldSlots, connections positive.";
    }
    if (value.contains("loadLie")) {
        const auto lie = parseLoadLie(value["loadLie"].get<std::string>());
        if (!lie) {
            return lie.error() + ".";
        }
        settings.lie = *lie;
    }
    auto &held = settings.snapshots;
    const std::vector<std::string> shards = held.empty() ? std::vector<std::string>{} : held.back().shards;
    if (value.contains("addSnapshot")) {
        auto added = readSnapshot(value["addSnapshot"], shards);
        if (!added) {
            return added.error() + ".";
        }
        held.push_back(std::move(*added));
    }
    if (value.contains("splitLayout")) {
        // The newest snapshot is built again for the new layout, under the next number unless one is given.
        json described = value["splitLayout"];
        if (!described.contains("snapshot")) {
            described["snapshot"] = (held.empty() ? 0 : held.back().snapshot) + 1;
        }
        if (!described.contains("layout")) {
            described["layout"] = (held.empty() ? 0 : held.back().layout) + 1;
        }
        if (!described.contains("shards")) {
            return "splitLayout needs shards.";
        }
        auto added = readSnapshot(described, {});
        if (!added) {
            return added.error() + ".";
        }
        held.push_back(std::move(*added));
    }
    if (value.contains("dropSnapshot")) {
        const auto number = value["dropSnapshot"].get<std::uint64_t>();
        if (std::erase_if(held, [number](const held_snapshot &entry) { return entry.snapshot == number; }) == 0) {
            return "Snapshot " + std::to_string(number) + " is not held.";
        }
    }
    return {};
}

std::string backend_server::apply(const change_plan &changes)
{
    m_settings = changes.settings;
    if (changes.restart) {
        restart();
    }
    if (changes.cold) {
        m_workDone = std::chrono::microseconds{0};
    }
    if (changes.drain) {
        m_draining = *changes.drain;
    }
    if (changes.quiet) {
        m_silence = *changes.quiet;
        m_silentLosesAnswers = changes.silentLosesAnswers;
        if (m_silence != silence::none) {
            m_server.forEachConnection(
                [this](http_connection &connection) { m_silentLosesAnswers ? connection.muteAnswers() : connection.mute(); });
        }
    }
    if (changes.dropConnections) {
        m_server.closeConnections(true);
    }
    std::string problem;
    if (changes.listen && !*changes.listen) {
        m_server.stopListening();
    } else if (changes.listen && !m_server.listening()) {
        if (const auto result = m_server.listen(m_port); !result) {
            problem = result.error();
        }
    }
    noteChange();
    return problem;
}

std::string backend_server::change(const json &value)
{
    change_plan changes;
    changes.settings = m_settings;
    if (std::string problem = plan(value, changes); !problem.empty()) {
        return problem;
    }
    return apply(changes);
}

} // namespace orioledrum::standin
