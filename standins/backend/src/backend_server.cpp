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

json snapshotsToJson(const std::vector<held_snapshot> &snapshots)
{
    json list = json::array();
    for (const auto &held : snapshots) {
        list.push_back({{"snapshot", held.snapshotNumber}, {"layout", held.layoutNumber}, {"shards", held.shards}});
    }
    return list;
}

std::string snapshotHeader(const std::vector<held_snapshot> &snapshots)
{
    std::string text;
    for (const auto &held : snapshots) {
        text += (text.empty() ? "" : ",") + std::to_string(held.snapshotNumber) + ":" + std::to_string(held.layoutNumber);
    }
    return text;
}

/// Serializes JSON. Invalid UTF-8 is replaced, because request and order ids from headers may contain any bytes.
std::string dumpJson(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::int64_t toMicroseconds(time_point time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

} // namespace

/// One search or order, from its arrival to its end.
struct backend_server::incoming_call {
    std::uint64_t number = 0; ///< 0 until the call is started.
    std::shared_ptr<http_connection> connection;
    bool order = false;
    std::string requestId; ///< The order id when the call is an order.
    std::string attemptId;
    time_point arrival;
    std::optional<std::chrono::microseconds> timeToDeadline; ///< On arrival; std::nullopt without a deadline.
    std::optional<std::chrono::microseconds> serviceTime; ///< std::nullopt when the call is never answered.
    std::unique_ptr<asio::steady_timer> timer;
    std::string serviceName;
    std::string shard;
    std::uint64_t snapshot = 0;
    std::uint32_t layout = 0;
    std::string query;
    std::uint32_t limit = 0; ///< Maximum number of hits; 0 for all.
    std::uint32_t slotsInUse = 0; ///< Slots in use on arrival, excluding this call.
    std::uint32_t usableSlots = 0; ///< Concurrency limit on arrival.
    std::string_view state; ///< State of the backend server on arrival.
    std::uint64_t runs = 0; ///< Number of runs of the order so far, including this one; 0 for a search or a refused order.
    bool endsAtDeadline = false; ///< True when the timer of the call expires at the deadline instead of after the service time.
};

struct backend_server::counters {
    std::uint64_t searches = 0; ///< Received searches, including refused ones.
    std::uint64_t answered = 0; ///< Answered searches, including partial answers.
    std::uint64_t partial = 0;
    std::uint64_t orders = 0; ///< Received orders, including refused ones.
    std::uint64_t ordersRun = 0;
    std::uint64_t refusedOverload = 0; ///< Calls that arrived while all usable slots were in use.
    std::uint64_t refusedOverloadCold = 0; ///< Part of refusedOverload: calls that arrived while cold.
    std::uint64_t refusedDraining = 0;
    std::uint64_t refusedSnapshot = 0; ///< Searches for a shard, snapshot or layout that is not held.
    std::uint64_t refusedDeadline = 0;
    std::uint64_t refusedInvalid = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t expired = 0; ///< Started calls whose deadline passed.
    std::uint64_t closedInCall = 0; ///< Started calls whose connection was closed before the response.
    std::uint64_t neverAnswered = 0; ///< Started calls chosen to be never answered; also counted by how they end, for example as expired.
    std::uint64_t connectionsAccepted = 0;
    std::uint64_t connectionsRefused = 0;
    std::uint64_t peakConnections = 0;
    std::uint64_t peakInUse = 0;
    std::uint64_t peakInUseCold = 0;
    std::uint64_t probes = 0;
    time_point lastStartedArrival; ///< Arrival of the last started call.
};

/// A validated control request: the complete new settings and the actions to perform.
struct backend_server::parsed_changes {
    backend_settings settings;
    bool cold = false;
    bool restart = false;
    bool dropConnections = false;
    std::optional<bool> drain;
    std::optional<bool> listen;
    std::optional<silence_mode> silence;
    bool muteResponsesOnly = false;
};

backend_server::backend_server(asio::io_context &context, backend_settings settings, std::uint64_t seed, recorder &recording)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_recorder(recording)
    , m_server(context, *this)
    , m_serviceTimes(seed)
    , m_random(random_source::fromSystem())
    , m_instance(m_random.hexId())
    , m_workDone(m_settings.startCold ? std::chrono::microseconds{0} : m_settings.warmUpWork)
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

std::uint32_t backend_server::usableSlots() const
{
    if (warm()) {
        return m_settings.slots;
    }
    const auto extra = (m_settings.slots - m_settings.coldSlots) * m_workDone / m_settings.warmUpWork;
    return m_settings.coldSlots + static_cast<std::uint32_t>(extra);
}

backend_server::load_report backend_server::currentReport() const
{
    return {monotonic_clock::now(), state(), m_slotsInUse, usableSlots(), m_instance, snapshotHeader(m_settings.snapshots)};
}

backend_server::load_report backend_server::probeReport() const
{
    load_report report = currentReport();
    const time_point reportTime = report.time - m_settings.loadLag;
    for (const auto &earlier : m_reportHistory) {
        if (earlier.time <= reportTime || &earlier == &m_reportHistory.front()) {
            report = earlier;
        }
    }
    if (m_settings.probeOverride == probe_override::healthy) {
        report.state = "warm";
        report.slotsInUse = 0;
        report.usableSlots = m_settings.slots;
    } else if (m_settings.probeOverride == probe_override::unhealthy) {
        report.state = "draining";
        report.slotsInUse = report.usableSlots;
    }
    return report;
}

void backend_server::updateReportHistory()
{
    if (m_settings.loadLag.count() == 0) {
        m_reportHistory.clear();
        return;
    }
    m_reportHistory.push_back(currentReport());
    // Probes return the newest report that is at least as old as the lag. Remove only the reports before that one.
    const time_point reportTime = m_reportHistory.back().time - m_settings.loadLag;
    while (m_reportHistory.size() > 1 && m_reportHistory[1].time <= reportTime) {
        m_reportHistory.pop_front();
    }
}

http_response backend_server::withReportHeaders(http_response response, const load_report &report) const
{
    response.headers.emplace_back("X-State", report.state);
    response.headers.emplace_back("X-Instance", report.instance);
    response.headers.emplace_back("X-Load", std::to_string(report.slotsInUse) + "/" + std::to_string(report.usableSlots));
    response.headers.emplace_back("X-Snapshots", report.snapshots);
    return response;
}

std::chrono::microseconds backend_server::onConnect(const std::shared_ptr<http_connection> &connection)
{
    if (m_server.connectionCount() > m_settings.maxConnections) {
        ++m_counters->connectionsRefused;
        return std::chrono::microseconds{-1};
    }
    ++m_counters->connectionsAccepted;
    m_counters->peakConnections = std::max<std::uint64_t>(m_counters->peakConnections, m_server.connectionCount());
    if (m_silence == silence_mode::all) {
        m_muteResponsesOnly ? connection->muteResponses() : connection->mute();
    }
    // Simulate connection setups that run one at a time.
    const time_point now = monotonic_clock::now();
    m_lastConnectionSetupEnd = std::max(m_lastConnectionSetupEnd, now) + m_settings.connectionSetupTime;
    return std::chrono::duration_cast<std::chrono::microseconds>(m_lastConnectionSetupEnd - now);
}

void backend_server::onClose(const std::shared_ptr<http_connection> &connection)
{
    for (auto position = m_calls.begin(); position != m_calls.end();) {
        const auto call = position->second;
        ++position;
        if (call->connection == connection) {
            ++m_counters->closedInCall;
            endCall(call, "closed");
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
        onProbe(connection, request.path == "/health");
    } else {
        connection->respond(
            withReportHeaders(errorResponse(404, "invalidArgument", "Unknown path " + request.path + "."), currentReport()));
    }
}

std::shared_ptr<backend_server::incoming_call>
backend_server::makeCall(const std::shared_ptr<http_connection> &connection, const http_request &request, bool order) const
{
    auto result = std::make_shared<incoming_call>();
    result->connection = connection;
    result->order = order;
    result->requestId = request.header(order ? "x-order-id" : "x-request-id");
    result->attemptId = request.header("x-attempt-id");
    result->arrival = monotonic_clock::now();
    result->slotsInUse = m_slotsInUse;
    result->usableSlots = usableSlots();
    result->state = state();
    if (const auto deadline = request.headerNumber("x-deadline-ms")) {
        // Cap the time to the deadline at one hour so that adding it to a time point cannot overflow.
        result->timeToDeadline = std::chrono::milliseconds(std::clamp<std::int64_t>(*deadline, 0, 3600000));
    }
    return result;
}

void backend_server::refuse(const std::shared_ptr<incoming_call> &call, int status, std::string_view code, std::string_view message)
{
    auto response = errorResponse(status, code, message);
    response.headers.emplace_back("X-Not-Run", "1");
    if (!call->order) {
        response.headers.emplace_back("X-Request-Id", call->requestId);
    }
    record(*call, code);
    call->connection->respond(withReportHeaders(std::move(response), currentReport()));
}

bool backend_server::admit(const std::shared_ptr<incoming_call> &call)
{
    if (m_draining) {
        ++m_counters->refusedDraining;
        refuse(call, 503, "draining", "The backend server is draining.");
        return false;
    }
    if (call->timeToDeadline && call->timeToDeadline->count() <= 0) {
        ++m_counters->refusedDeadline;
        refuse(call, 504, "deadlineExceeded", "The deadline passed before the start.");
        return false;
    }
    if (m_slotsInUse >= usableSlots()) {
        ++m_counters->refusedOverload;
        if (!warm()) {
            ++m_counters->refusedOverloadCold;
        }
        refuse(call, 503, "overloaded", "All slots are in use.");
        return false;
    }
    return true;
}

void backend_server::startCall(const std::shared_ptr<incoming_call> &call)
{
    call->number = ++m_lastCallNumber;
    call->serviceTime = m_serviceTimes.draw(m_settings.serviceTimes, !warm());
    if (!call->serviceTime) {
        ++m_counters->neverAnswered;
    }
    ++m_slotsInUse;
    m_counters->lastStartedArrival = call->arrival;
    m_counters->peakInUse = std::max<std::uint64_t>(m_counters->peakInUse, m_slotsInUse);
    if (!warm()) {
        m_counters->peakInUseCold = std::max<std::uint64_t>(m_counters->peakInUseCold, m_slotsInUse);
    }
    m_calls.emplace(call->number, call);
    updateReportHistory();
    std::optional<std::chrono::microseconds> wait = call->serviceTime;
    if (call->timeToDeadline && (!wait || *call->timeToDeadline < *wait)) {
        wait = call->timeToDeadline;
        call->endsAtDeadline = true;
    }
    if (!wait) {
        return; // The call ends only when it is cancelled or its connection is closed.
    }
    call->timer = std::make_unique<asio::steady_timer>(m_context, *wait);
    call->timer->async_wait([this, call](std::error_code error) {
        if (!error && m_calls.contains(call->number)) {
            finishCall(call);
        }
    });
}

void backend_server::endCall(const std::shared_ptr<incoming_call> &call, std::string_view outcome)
{
    m_calls.erase(call->number);
    --m_slotsInUse;
    if (call->timer) {
        call->timer->cancel();
    }
    updateReportHistory();
    record(*call, outcome);
}

void backend_server::finishCall(const std::shared_ptr<incoming_call> &call)
{
    if (call->endsAtDeadline) {
        ++m_counters->expired;
        endCall(call, call->serviceTime ? "expired" : "never");
        if (call->serviceTime) {
            auto response = errorResponse(504, "deadlineExceeded", "The deadline passed during the work.");
            response.headers.emplace_back(call->order ? "X-Order-Id" : "X-Request-Id", call->requestId);
            call->connection->respond(withReportHeaders(std::move(response), currentReport()));
        }
        return;
    }
    if (!warm()) {
        m_workDone += *call->serviceTime;
    }
    http_response response;
    if (call->order) {
        endCall(call, "ran");
        response.headers.emplace_back("X-Order-Id", call->requestId);
        response.body =
            json{{"orderId", call->requestId}, {"ran", true}, {"result", {{"accepted", true}, {"backend", m_settings.id}}}}.dump();
    } else {
        const bool partial = m_serviceTimes.nextBool(m_settings.partialShare);
        ++m_counters->answered;
        m_counters->partial += partial ? 1 : 0;
        endCall(call, partial ? "partial" : "answered");
        json hits = json::array();
        auto found = makeHits(call->shard, call->snapshot, call->query, m_settings.hitsPerShard, call->limit);
        if (partial) {
            found.resize(found.size() / 2);
        }
        for (auto &hit : found) {
            hits.push_back({{"id", std::move(hit.id)}, {"score", hit.score}, {"text", std::move(hit.text)}});
        }
        response.headers.emplace_back("X-Request-Id", call->requestId);
        response.body = dumpJson({{"requestId", call->requestId},
                                  {"service", call->serviceName},
                                  {"shard", call->shard},
                                  {"snapshot", call->snapshot},
                                  {"layout", call->layout},
                                  {"partial", partial},
                                  {"hits", std::move(hits)}});
    }
    if (!call->attemptId.empty()) {
        response.headers.emplace_back("X-Attempt-Id", call->attemptId);
    }
    call->connection->respond(withReportHeaders(std::move(response), currentReport()));
}

void backend_server::onSearch(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const auto call = makeCall(connection, request, false);
    ++m_counters->searches;
    const json body = json::parse(request.body, nullptr, false);
    try {
        call->serviceName = body.at("service").get<std::string>();
        call->shard = body.at("shard").get<std::string>();
        call->snapshot = body.at("snapshot").get<std::uint64_t>();
        call->layout = body.at("layout").get<std::uint32_t>();
        call->query = body.at("query").get<std::string>();
        call->limit = body.value("limit", std::uint32_t{0});
    } catch (const json::exception &) {
        ++m_counters->refusedInvalid;
        refuse(call, 400, "malformed", "The body needs service, shard, layout, snapshot and query.");
        return;
    }
    if (call->serviceName != m_settings.service) {
        ++m_counters->refusedInvalid;
        refuse(call, 404, "unknownService", "Service " + call->serviceName + " is not served here.");
        return;
    }
    const auto &snapshots = m_settings.snapshots;
    const bool available = std::any_of(snapshots.begin(), snapshots.end(), [&](const held_snapshot &candidate) {
        return candidate.snapshotNumber == call->snapshot && candidate.layoutNumber == call->layout
            && std::find(candidate.shards.begin(), candidate.shards.end(), call->shard) != candidate.shards.end();
    });
    if (!available) {
        ++m_counters->refusedSnapshot;
        refuse(call, 409, "snapshotNotHeld", "This shard is not held at that snapshot and layout.");
        return;
    }
    if (admit(call)) {
        startCall(call);
    }
}

void backend_server::onOrder(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const auto call = makeCall(connection, request, true);
    ++m_counters->orders;
    const json body = json::parse(request.body, nullptr, false);
    if (call->requestId.empty() || !body.is_object()) {
        ++m_counters->refusedInvalid;
        refuse(call, 400, "malformed", "An order needs X-Order-Id and a JSON object.");
        return;
    }
    if (const auto service = body.find("service"); service != body.end() && *service != m_settings.service) {
        ++m_counters->refusedInvalid;
        refuse(call, 404, "unknownService", "This service is not served here.");
        return;
    }
    if (!admit(call)) {
        return;
    }
    // The order takes effect at its start. A deadline or a closed connection does not undo it, and orders cannot be cancelled.
    call->runs = ++m_orderRuns[call->requestId];
    ++m_counters->ordersRun;
    startCall(call);
}

void backend_server::onCancel(const std::shared_ptr<http_connection> &connection, const http_request &request)
{
    const std::string id = request.path.substr(cancelPath.size());
    std::uint64_t cancelled = 0;
    for (auto position = m_calls.begin(); position != m_calls.end();) {
        const auto call = position->second;
        ++position;
        if (!call->order && call->requestId == id) {
            ++cancelled;
            ++m_counters->cancelled;
            endCall(call, "cancelled");
            auto response = errorResponse(499, "cancelled", "The call was cancelled.");
            response.headers.emplace_back("X-Request-Id", call->requestId);
            call->connection->respond(withReportHeaders(std::move(response), currentReport()));
        }
    }
    connection->respond(withReportHeaders({200, {}, json{{"cancelled", cancelled}}.dump()}, currentReport()));
}

void backend_server::onProbe(const std::shared_ptr<http_connection> &connection, bool health)
{
    ++m_counters->probes;
    const load_report report = probeReport();
    json body = {{"state", report.state}};
    if (health) {
        body["healthy"] = report.state == "warm";
    } else {
        body["inUse"] = report.slotsInUse;
        body["slots"] = report.usableSlots;
        body["connections"] = m_server.connectionCount();
    }
    connection->respond(withReportHeaders({200, {}, body.dump()}, report));
}

void backend_server::record(const incoming_call &call, std::string_view outcome) const
{
    if (!m_recorder.enabled()) {
        return;
    }
    json line = {{"event", call.order ? "order" : "search"},
                 {"backend", m_settings.id},
                 {"instance", m_instance},
                 {"outcome", outcome},
                 {"concurrent", call.slotsInUse},
                 {"bears", call.usableSlots},
                 {"state", call.state},
                 {"arrivalUs", toMicroseconds(call.arrival)},
                 {"endUs", toMicroseconds(monotonic_clock::now())},
                 {"connection", call.connection->number()}};
    if (call.timeToDeadline) {
        line["remainingUs"] = call.timeToDeadline->count();
    }
    if (call.order) {
        line["order"] = call.requestId;
        line["runs"] = call.runs;
    } else {
        line["request"] = call.requestId;
        line["shard"] = call.shard;
        line["snapshot"] = call.snapshot;
        line["layout"] = call.layout;
    }
    if (!call.attemptId.empty()) {
        line["attempt"] = call.attemptId;
    }
    m_recorder.append(dumpJson(line));
}

void backend_server::dropCalls(std::string_view outcome)
{
    const auto calls = m_calls;
    for (const auto &[number, call] : calls) {
        endCall(call, outcome);
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
            {"inUse", m_slotsInUse},
            {"bears", usableSlots()},
            {"slots", m_settings.slots},
            {"connections", m_server.connectionCount()},
            {"snapshots", snapshotsToJson(m_settings.snapshots)},
            {"searches", count.searches},
            {"answered", count.answered},
            {"partial", count.partial},
            {"orders", count.orders},
            {"ordersRun", count.ordersRun},
            {"aboveBorne", count.refusedOverload},
            {"aboveBorneCold", count.refusedOverloadCold},
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
            {"lastWorkUs", toMicroseconds(count.lastStartedArrival)}};
}

std::string backend_server::parseChanges(const json &value, parsed_changes &result) const
{
    static constexpr std::array<std::string_view, 22> knownKeys = {
        "cold",         "restart",     "drain",        "listen",           "silent",   "silentLoses", "dropConnections", "addSnapshot",
        "dropSnapshot", "splitLayout", "loadLagMs",    "loadLie",          "medianMs", "sigma",       "slowShare",       "slowMs",
        "neverShare",   "coldFactor",  "partialShare", "connectionCostMs", "slots",    "connections"};
    for (const auto &[key, member] : value.items()) {
        if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end()) {
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
        const std::string silent = value["silent"].get<std::string>();
        if (silent != "none" && silent != "existing" && silent != "all") {
            return "silent must be none, existing or all.";
        }
        result.silence = silent == "none" ? silence_mode::none : (silent == "all" ? silence_mode::all : silence_mode::existing);
    }
    const std::string silentLoses = value.value("silentLoses", std::string("requests"));
    if (silentLoses != "requests" && silentLoses != "answers") {
        return "silentLoses must be requests or answers.";
    }
    result.muteResponsesOnly = silentLoses == "answers";
    if (std::string problem = updateServiceTimes(value, settings.serviceTimes); !problem.empty()) {
        return problem + ".";
    }
    settings.partialShare = value.value("partialShare", settings.partialShare);
    settings.loadLag = std::chrono::milliseconds(value.value("loadLagMs", static_cast<std::int64_t>(settings.loadLag.count())));
    settings.connectionSetupTime = std::chrono::microseconds(static_cast<std::int64_t>(
        value.value("connectionCostMs", static_cast<double>(settings.connectionSetupTime.count()) / 1000) * 1000));
    settings.slots = value.value("slots", settings.slots);
    settings.maxConnections = value.value("connections", settings.maxConnections);
    const bool shareValid = settings.partialShare >= 0 && settings.partialShare <= 1;
    if (!shareValid || settings.loadLag.count() < 0 || settings.connectionSetupTime.count() < 0 || settings.slots < settings.coldSlots
        || settings.slots == 0 || settings.maxConnections == 0) {
        return "Times must not be negative, shares in [0,1], slots at least coldSlots, connections positive.";
    }
    if (value.contains("loadLie")) {
        const auto probeOverride = parseProbeOverride(value["loadLie"].get<std::string>());
        if (!probeOverride) {
            return probeOverride.error() + ".";
        }
        settings.probeOverride = *probeOverride;
    }
    auto &snapshots = settings.snapshots;
    const std::vector<std::string> shards = snapshots.empty() ? std::vector<std::string>{} : snapshots.back().shards;
    if (value.contains("addSnapshot")) {
        auto added = parseSnapshot(value["addSnapshot"], shards);
        if (!added) {
            return added.error() + ".";
        }
        snapshots.push_back(std::move(*added));
    }
    if (value.contains("splitLayout")) {
        // Add a snapshot with the new layout. The snapshot and layout numbers default to those of the last snapshot plus 1.
        json newSnapshot = value["splitLayout"];
        if (!newSnapshot.contains("snapshot")) {
            newSnapshot["snapshot"] = (snapshots.empty() ? 0 : snapshots.back().snapshotNumber) + 1;
        }
        if (!newSnapshot.contains("layout")) {
            newSnapshot["layout"] = (snapshots.empty() ? 0 : snapshots.back().layoutNumber) + 1;
        }
        if (!newSnapshot.contains("shards")) {
            return "splitLayout needs shards.";
        }
        auto added = parseSnapshot(newSnapshot, {});
        if (!added) {
            return added.error() + ".";
        }
        snapshots.push_back(std::move(*added));
    }
    if (value.contains("dropSnapshot")) {
        const auto number = value["dropSnapshot"].get<std::uint64_t>();
        if (std::erase_if(snapshots, [number](const held_snapshot &held) { return held.snapshotNumber == number; }) == 0) {
            return "Snapshot " + std::to_string(number) + " is not held.";
        }
    }
    return {};
}

std::string backend_server::applyChanges(const parsed_changes &changes)
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
    if (changes.silence) {
        m_silence = *changes.silence;
        m_muteResponsesOnly = changes.muteResponsesOnly;
        if (m_silence != silence_mode::none) {
            m_server.forEachConnection(
                [this](http_connection &connection) { m_muteResponsesOnly ? connection.muteResponses() : connection.mute(); });
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
    updateReportHistory();
    return problem;
}

std::string backend_server::applyControlRequest(const json &value)
{
    parsed_changes changes;
    changes.settings = m_settings;
    if (std::string problem = parseChanges(value, changes); !problem.empty()) {
        return problem;
    }
    return applyChanges(changes);
}

} // namespace orioledrum::standin
