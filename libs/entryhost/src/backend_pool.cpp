#include "backend_pool.h"

#include "backend_reply.h"
#include "host_shared.h"

#include <config/configuration.h>
#include <limits/backend_limiter.h>
#include <ownership/lease_table.h>
#include <transport/http_client.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <optional>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds probeInterval{250}; // Interval between checks for backend servers that are due for a probe.
constexpr std::chrono::milliseconds probeTimeout{500};

/// Time to wait for a reply after the deadline. A reply within this time frees the slot of the call and keeps the connection open.
/// Must be shorter than backend_limiter::deadlineGrace, after which the limiter frees the slot itself.
constexpr std::chrono::milliseconds lateAnswerWait{200};

/// Calls with less time left than this are not cancelled at the backend server: the cancellation would cost more than it saves.
constexpr std::chrono::milliseconds minTimeToCancel{20};

limiter_settings makeLimiterSettings(const backend_server_config &server)
{
    limiter_settings settings;
    settings.slots = server.slots;
    settings.coldSlots = server.coldSlots;
    settings.connections = server.connections;
    settings.connectionCost = server.connectionCost;
    settings.rampTime = server.warmUpTime;
    return settings;
}

bool equalSettings(const limiter_settings &left, const limiter_settings &right)
{
    return left.slots == right.slots && left.coldSlots == right.coldSlots && left.connections == right.connections
        && left.connectionCost == right.connectionCost && left.rampTime == right.rampTime;
}

std::chrono::microseconds toMicros(monotonic_clock::duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

std::chrono::milliseconds ceilToMillis(monotonic_clock::duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

} // namespace

/// Limiter, timer and probe state of one backend server.
struct backend_pool::backend_entry {
    backend_entry(asio::io_context &context, backend_limiter limiter)
        : callLimiter(std::move(limiter))
        , timer(context)
    {
    }

    backend_id id;
    group_id group;
    std::string address;
    limiter_settings settings;
    backend_limiter callLimiter;
    asio::steady_timer timer;
    std::optional<time_point> reachableSince; // First contact since the last failure to connect or failed probe.
    bool probeInFlight = false;
    backend_state recordedState = backend_state::cold; // Last state recorded in the timeline.
    std::vector<std::function<void(const backend_report *)>> reportWaiters; // Callbacks of fetchReport() that wait for a probe.
};

/// A submitted call until its result is delivered or, for an abandoned call, until it has ended.
struct backend_pool::pending_call {
    backend_call call;
    entry_ptr target;
    std::optional<http_call_handle> handle; // Set once the call has been passed to the HTTP client.
    time_point submitted;
    time_point sent; // When the call was passed to the HTTP client.
    time_point callDeadline; // Deadline that the limiter set when it started the call.
    bool resultWanted = true; // False after abandon().
    bool requestWritten = false; // The checks before the write passed, so the request may have been written.
    std::string backendRequestId; // X-Request-Id or X-Order-Id; identifies the call in a cancellation.
};

/// A callback of stopGroup() that has not been called yet.
struct backend_pool::idle_waiter {
    group_id group;
    std::function<void()> onIdle;
};

struct backend_pool::timers {
    explicit timers(asio::io_context &context)
        : probe(context)
    {
    }
    asio::steady_timer probe;
};

backend_pool::backend_pool(host_shared &shared, asio::io_context &context, http_client &client)
    : m_shared(shared)
    , m_context(context)
    , m_client(client)
    , m_timers(std::make_unique<timers>(context))
    , m_alive(std::make_shared<bool>(true))
{
    scheduleProbes();
}

backend_pool::~backend_pool()
{
    *m_alive = false;
}

std::uint64_t backend_pool::submit(backend_call call)
{
    const auto now = monotonic_clock::now();
    const auto routing = m_shared.routing.read();
    const std::uint64_t callNumber = m_nextCallNumber++;
    auto pending = std::make_unique<pending_call>();
    pending->submitted = now;
    const auto target = findOrCreateEntry(call.backend, *routing, now);
    pending->target = target;
    for (const auto &header : call.headers) {
        if (header.name == "X-Request-Id" || header.name == "X-Order-Id") {
            pending->backendRequestId = header.value;
        }
    }
    const auto deadline = call.deadline;
    const auto priority = call.priority;
    const bool freshConnection = call.freshConnection;
    const auto block = routing->callsBlockedUntil.find(call.backend);
    const bool callsBlocked = block != routing->callsBlockedUntil.end() && now < block->second;
    const bool accepts = routing->acceptsWork(call.backend);
    pending->call = std::move(call);
    m_calls.emplace(callNumber, std::move(pending));

    std::optional<error_code> refusal;
    if (target == nullptr || callsBlocked || !applyLeaseToLimiter(*target, now)) {
        refusal = error_code::notOwner;
    } else if (!accepts) {
        refusal = error_code::draining;
    } else {
        const auto decision = target->callLimiter.admit(callNumber, deadline, priority, now, freshConnection);
        if (decision.result == admit_result::refused) {
            refusal = decision.code;
        }
    }
    if (refusal) {
        asio::post(m_context, [this, alive = m_alive, callNumber, code = *refusal] {
            if (*alive) {
                refuseCall(callNumber, code);
            }
        });
    }
    if (target != nullptr) {
        // Deferred, so that `done` is never called from inside submit().
        asio::post(m_context, [this, alive = m_alive, target] {
            if (*alive) {
                executeActions(target);
            }
        });
    }
    return callNumber;
}

void backend_pool::abandon(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end() || !found->second->resultWanted) {
        return;
    }
    auto &pending = *found->second;
    const entry_ptr target = pending.target;
    const auto now = monotonic_clock::now();
    pending.resultWanted = false;
    if (target == nullptr || target->callLimiter.abandon(call, now)) {
        m_calls.erase(found);
    } else if (pending.handle) {
        cancelAtBackend(pending);
    }
    if (target != nullptr) {
        executeActions(target);
    }
}

void backend_pool::startGroup(const group_id &group)
{
    const auto now = monotonic_clock::now();
    const auto routing = m_shared.routing.read();
    for (const auto &[backend, groupOfBackend] : routing->groupOf) {
        if (groupOfBackend != group) {
            continue;
        }
        // State learnt under an earlier lease may be out of date, so an idle limiter is replaced by a new, cold one.
        const auto found = m_entries.find(backend);
        if (found != m_entries.end() && found->second->callLimiter.occupied() == 0 && found->second->callLimiter.queued() == 0) {
            m_entries.erase(found);
        }
        if (const auto target = findOrCreateEntry(backend, *routing, now)) {
            probe(target);
        }
    }
}

void backend_pool::stopGroup(const group_id &group, std::function<void()> onIdle)
{
    const auto now = monotonic_clock::now();
    for (auto &[backend, target] : m_entries) {
        if (target->group == group) {
            target->callLimiter.dropQueue(error_code::notOwner, now);
            applyLeaseToLimiter(*target, now);
            executeActions(target);
        }
    }
    if (onIdle) {
        m_idleWaiters.push_back({group, std::move(onIdle)});
        notifyIdleWaiters();
    }
}

void backend_pool::fetchReport(const backend_id &backend, std::function<void(const backend_report *)> done)
{
    const auto routing = m_shared.routing.read();
    const auto target = findOrCreateEntry(backend, *routing, monotonic_clock::now());
    if (target == nullptr) {
        done(nullptr);
        return;
    }
    if (!target->callLimiter.lastReport().instance.empty()) {
        done(&target->callLimiter.lastReport());
        return;
    }
    target->reportWaiters.push_back(std::move(done));
    probe(target);
}

std::vector<backend_pool::backend_status> backend_pool::status() const
{
    const auto now = monotonic_clock::now();
    std::vector<backend_status> result;
    for (const auto &[backend, target] : m_entries) {
        result.push_back({backend,
                          target->group,
                          target->callLimiter.state(),
                          target->callLimiter.limit(now),
                          target->callLimiter.occupied(),
                          target->callLimiter.queued(),
                          target->callLimiter.openConnections()});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) { return left.backend < right.backend; });
    return result;
}

std::size_t backend_pool::callsInFlight() const
{
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const auto &item) { return item.second->handle.has_value(); }));
}

backend_pool::entry_ptr backend_pool::findOrCreateEntry(const backend_id &backend, const routing_state &routing, time_point now)
{
    const auto *server = routing.config ? routing.config->findBackendServer(backend) : nullptr;
    const auto group = routing.groupOf.find(backend);
    if (server == nullptr || group == routing.groupOf.end()) {
        return nullptr;
    }
    const auto newSettings = makeLimiterSettings(*server);
    const auto found = m_entries.find(backend);
    if (found != m_entries.end()) {
        auto &existing = *found->second;
        existing.group = group->second;
        const bool idle = existing.callLimiter.occupied() == 0 && existing.callLimiter.queued() == 0;
        if ((equalSettings(existing.settings, newSettings) && existing.address == server->address) || !idle) {
            existing.callLimiter.setLeaving(routing.leaving.count(backend) > 0, now);
            return found->second;
        }
        m_entries.erase(found); // New settings apply once no call is queued or occupies a slot under the old ones.
    }
    auto limiter = backend_limiter::create(newSettings, now, now);
    if (!limiter) {
        return nullptr;
    }
    auto created = std::make_shared<backend_entry>(m_context, std::move(*limiter));
    created->id = backend;
    created->group = group->second;
    created->address = server->address;
    created->settings = newSettings;
    created->callLimiter.setLeaving(routing.leaving.count(backend) > 0, now);
    m_entries.emplace(backend, created);
    return created;
}

bool backend_pool::applyLeaseToLimiter(backend_entry &target, time_point now)
{
    const auto leases = m_shared.leases->read();
    if (const auto latest = leases->latestCallEnd(target.group, now, target.reachableSince)) {
        target.callLimiter.setSharingHosts(1, now);
        target.callLimiter.setLeaseEnd(*latest + backend_limiter::deadlineGrace, now);
        return true;
    }
    const auto divisor = leases->shareDivisor(target.group, now, target.reachableSince);
    if (divisor > 0) {
        target.callLimiter.setSharingHosts(divisor, now);
        target.callLimiter.setLeaseEnd(now + backend_limiter::maxCallTime + backend_limiter::deadlineGrace, now);
        return true;
    }
    target.callLimiter.setLeaseEnd(now, now);
    return false;
}

bool backend_pool::checkBeforeWrite(backend_entry &target, const backend_call &call, time_point callEnd)
{
    const auto now = monotonic_clock::now();
    if (!m_shared.configFreshness.mayStartWork(now)) {
        return false;
    }
    const auto leases = m_shared.leases->read();
    auto latest = leases->latestCallEnd(target.group, now, target.reachableSince);
    if (!latest && leases->shareDivisor(target.group, now, target.reachableSince) > 0) {
        latest = now + backend_limiter::maxCallTime;
    }
    return latest && callEnd <= *latest && (!call.beforeWrite || call.beforeWrite(*latest));
}

void backend_pool::executeActions(const entry_ptr &target)
{
    std::vector<limiter_action> actions;
    target->callLimiter.takeActions(actions);
    for (const auto &action : actions) {
        if (action.kind == limiter_action_kind::start) {
            if (action.closeIdle) {
                m_client.closeIdleConnections(target->address);
            }
            sendCall(target, action.call, action);
        } else {
            refuseCall(action.call, action.code);
        }
    }
    if (target->recordedState != target->callLimiter.state()) {
        target->recordedState = target->callLimiter.state();
        m_shared.record(event_kind::backendStateChanged, target->id.str(), std::string(toString(target->recordedState)));
    }
    armTimer(target);
}

void backend_pool::sendCall(const entry_ptr &target, std::uint64_t callNumber, const limiter_action &action)
{
    const auto found = m_calls.find(callNumber);
    if (found == m_calls.end()) {
        return;
    }
    auto &pending = *found->second;
    const auto now = monotonic_clock::now();
    pending.sent = now;
    pending.callDeadline = action.deadline;
    http_call call;
    call.method = "POST";
    call.url = "http://" + target->address + pending.call.path;
    call.headers = pending.call.headers;
    call.headers.push_back({"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, ceilToMillis(action.deadline - now).count()))});
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = pending.call.body;
    call.timeout = std::max(ceilToMillis(action.deadline - now), std::chrono::milliseconds(1)) + lateAnswerWait;
    call.freshConnection = pending.call.freshConnection;
    call.closeOnCancel = false;
    call.beforeSend = [this, alive = m_alive, target, callNumber, deadline = action.deadline, opened = action.newConnection]() {
        const auto current = m_calls.find(callNumber);
        if (!*alive || current == m_calls.end()) {
            return false;
        }
        if (opened) {
            target->callLimiter.connectionOpened(callNumber, monotonic_clock::now());
        }
        current->second->requestWritten = checkBeforeWrite(*target, current->second->call, deadline);
        return current->second->requestWritten;
    };
    pending.handle = m_client.send(std::move(call), [this, alive = m_alive, callNumber](http_client::result result) {
        if (!*alive) {
            return;
        }
        if (result) {
            handleCallEnd(callNumber, true, std::move(*result), error_code::internal, true);
        } else {
            handleCallEnd(callNumber, false, {}, result.error().failure.code, result.error().mayHaveBeenSent);
        }
    });
}

void backend_pool::handleCallEnd(std::uint64_t callNumber, bool ok, http_reply reply, error_code code, bool mayHaveBeenSent)
{
    const auto found = m_calls.find(callNumber);
    if (found == m_calls.end()) {
        return;
    }
    auto &pending = *found->second;
    const entry_ptr targetEntry = pending.target;
    backend_entry &target = *targetEntry;
    const auto now = monotonic_clock::now();
    backend_result result;
    result.queueTime = toMicros(pending.sent - pending.submitted);
    result.serviceTime = toMicros(now - pending.sent);
    applyLeaseToLimiter(target, now);
    if (ok) {
        const auto report = parseReport(reply);
        const bool notRun = isMarkedNotRun(reply) && reply.status >= 400;
        const bool shed = notRun && reply.status == 503;
        // Statuses that the limiter does not count as a failure. 409: snapshot not held; 504: deadline exceeded; 499: cancelled.
        const bool usable = reply.status == 200 || reply.status == 409 || reply.status == 504 || reply.status == 499;
        const auto kind = shed ? call_result::shed : usable ? call_result::served : call_result::failed;
        const bool connectionKept = !pending.call.freshConnection && headerValue(reply.headers, "Connection") != "close";
        target.callLimiter.answered(callNumber, kind, report ? &*report : nullptr, result.serviceTime, now, connectionKept);
        if (!target.reachableSince) {
            target.reachableSince = now;
        }
        result.hasReport = report.has_value();
        result.report = report.value_or(backend_report());
        result.refusedByBackend = notRun;
        result.kind = notRun ? backend_result_kind::refused : backend_result_kind::answered;
        // `code` has no meaning with status 200.
        result.code = reply.status == 409                                        ? error_code::snapshotNotHeld
            : reply.status == 504                                                ? error_code::deadlineExceeded
            : result.hasReport && result.report.state == backend_state::draining ? error_code::draining
                                                                                 : error_code::overloaded;
        result.mayHaveBeenSent = true;
        result.reply = std::move(reply);
    } else {
        result.kind = mayHaveBeenSent ? backend_result_kind::failed : backend_result_kind::refused;
        result.code = code;
        result.mayHaveBeenSent = mayHaveBeenSent;
        if (code == error_code::cancelled) {
            // checkBeforeWrite() returned false.
            target.callLimiter.abandon(callNumber, now);
            result.code = error_code::notOwner;
        } else if (code == error_code::deadlineExceeded && mayHaveBeenSent) {
            target.callLimiter.abandon(callNumber, now);
        } else if (mayHaveBeenSent) {
            target.callLimiter.connectionClosed(callNumber, now);
        } else {
            target.callLimiter.connectionFailed(callNumber, now);
            target.reachableSince.reset();
        }
    }
    finishCall(callNumber, std::move(result));
    executeActions(targetEntry);
    notifyIdleWaiters();
}

void backend_pool::refuseCall(std::uint64_t callNumber, error_code code)
{
    const auto found = m_calls.find(callNumber);
    if (found == m_calls.end()) {
        return;
    }
    backend_result result;
    result.kind = backend_result_kind::refused;
    result.code = code;
    result.queueTime = toMicros(monotonic_clock::now() - found->second->submitted);
    finishCall(callNumber, std::move(result));
}

void backend_pool::finishCall(std::uint64_t callNumber, backend_result result)
{
    const auto found = m_calls.find(callNumber);
    const auto pending = std::move(found->second);
    m_calls.erase(found);
    const char *name = result.kind == backend_result_kind::answered ? "answered"
        : result.kind == backend_result_kind::refused               ? "refused"
                                                                    : "failed";
    m_shared.metrics.backendCallFinished(name, result.queueTime);
    if (pending->resultWanted && pending->call.done) {
        pending->call.done(std::move(result));
    }
}

void backend_pool::cancelAtBackend(const pending_call &call)
{
    const auto now = monotonic_clock::now();
    if (call.call.freshConnection || call.backendRequestId.empty() || call.callDeadline - now < minTimeToCancel) {
        return;
    }
    http_call request;
    request.method = "POST";
    request.url = "http://" + call.target->address + "/cancel/" + call.backendRequestId;
    request.timeout = ceilToMillis(call.callDeadline - now) + lateAnswerWait;
    m_client.send(std::move(request), [](const http_client::result &) {
        // The result of the cancellation is ignored: the reply to the cancelled call frees the slot.
    });
}

void backend_pool::armTimer(const entry_ptr &target)
{
    const auto next = target->callLimiter.nextWakeup();
    if (!next) {
        target->timer.cancel();
        return;
    }
    target->timer.expires_after(std::max<monotonic_clock::duration>(*next - monotonic_clock::now(), monotonic_clock::duration::zero()));
    target->timer.async_wait([this, alive = m_alive, weak = std::weak_ptr<backend_entry>(target)](const std::error_code &failure) {
        const auto locked = weak.lock();
        if (failure || !*alive || !locked) {
            return;
        }
        const auto now = monotonic_clock::now();
        applyLeaseToLimiter(*locked, now);
        locked->callLimiter.wakeup(now);
        executeActions(locked);
        notifyIdleWaiters();
    });
}

void backend_pool::probe(const entry_ptr &target)
{
    if (target->probeInFlight) {
        return;
    }
    target->probeInFlight = true;
    http_call call;
    call.url = "http://" + target->address + "/load";
    call.timeout = probeTimeout;
    m_client.send(std::move(call), [this, alive = m_alive, target](const http_client::result &result) {
        if (!*alive) {
            return;
        }
        target->probeInFlight = false;
        const auto now = monotonic_clock::now();
        const auto report = result ? parseReport(*result) : std::nullopt;
        if (report) {
            target->callLimiter.probeAnswered(*report, now);
            if (!target->reachableSince) {
                target->reachableSince = now;
            }
        } else {
            target->callLimiter.probeFailed(now);
            target->reachableSince.reset();
        }
        const auto waiters = std::move(target->reportWaiters);
        target->reportWaiters.clear();
        executeActions(target);
        for (const auto &waiter : waiters) {
            waiter(report ? &*report : nullptr);
        }
    });
}

void backend_pool::scheduleProbes()
{
    m_timers->probe.expires_after(probeInterval);
    m_timers->probe.async_wait([this, alive = m_alive](const std::error_code &failure) {
        if (failure || !*alive) {
            return;
        }
        const auto now = monotonic_clock::now();
        const auto leases = m_shared.leases->read();
        for (auto &[backend, target] : m_entries) {
            const bool owned = leases->holds(target->group, now) || leases->shareDivisor(target->group, now) > 0;
            if (owned && target->callLimiter.probeDue(now)) {
                probe(target);
            }
        }
        notifyIdleWaiters();
        scheduleProbes();
    });
}

void backend_pool::notifyIdleWaiters()
{
    const auto busy = [this](const group_id &group) {
        return std::any_of(m_entries.begin(), m_entries.end(), [&group](const auto &item) {
            return item.second->group == group && item.second->callLimiter.occupied() > 0;
        });
    };
    std::vector<std::function<void()>> callbacks;
    std::erase_if(m_idleWaiters, [&](idle_waiter &waiter) {
        if (busy(waiter.group)) {
            return false;
        }
        callbacks.push_back(std::move(waiter.onIdle));
        return true;
    });
    for (const auto &onIdle : callbacks) {
        onIdle();
    }
}

} // namespace orioledrum
