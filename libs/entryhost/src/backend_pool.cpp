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

constexpr std::chrono::milliseconds probeInterval{250};
constexpr std::chrono::milliseconds probeTimeout{500};

/// A late answer within this time after the deadline still frees its slot and keeps its connection. It ends before
/// the limiter's grace.
constexpr std::chrono::milliseconds lateAnswerWait{200};

/// A cancellation with less time left saves the backend server less work than it costs.
constexpr std::chrono::milliseconds worthCancelling{20};

limiter_settings limitsOf(const backend_server_config &server)
{
    limiter_settings settings;
    settings.slots = server.slots;
    settings.coldSlots = server.coldSlots;
    settings.connections = server.connections;
    settings.connectionCost = server.connectionCost;
    settings.rampTime = server.rampTime;
    return settings;
}

bool sameLimits(const limiter_settings &left, const limiter_settings &right)
{
    return left.slots == right.slots && left.coldSlots == right.coldSlots && left.connections == right.connections
        && left.connectionCost == right.connectionCost && left.rampTime == right.rampTime;
}

std::chrono::microseconds toMicros(monotonic_clock::duration value)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(value);
}

std::chrono::milliseconds toMillisUp(monotonic_clock::duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

} // namespace

struct backend_pool::entry {
    entry(asio::io_context &context, backend_limiter limiter)
        : gate(std::move(limiter))
        , timer(context)
    {
    }

    backend_id id;
    group_id group;
    std::string address;
    limiter_settings settings;
    backend_limiter gate;
    asio::steady_timer timer;
    std::optional<time_point> reachableSince;
    bool probing = false;
    backend_state shownState = backend_state::cold;
    std::vector<std::function<void(const backend_report *)>> reportWaiters;
};

struct backend_pool::pending_call {
    backend_call call;
    entry_ptr target;
    std::optional<http_call_handle> handle;
    time_point submitted;
    time_point sent;
    time_point sendDeadline;
    bool wanted = true;
    bool written = false; // The request was handed to a connection.
    bool resendStopped = false;
    std::string remoteId; // X-Request-Id or X-Order-Id, for the cancellation.
};

struct backend_pool::idle_waiter {
    group_id group;
    std::function<void()> idle;
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
    probeAll();
}

backend_pool::~backend_pool()
{
    *m_alive = false;
}

std::uint64_t backend_pool::submit(backend_call call)
{
    const auto now = monotonic_clock::now();
    const auto routing = m_shared.routing.read();
    const std::uint64_t number = m_nextCall++;
    auto pending = std::make_unique<pending_call>();
    pending->submitted = now;
    const auto target = prepare(call.backend, *routing, now);
    pending->target = target;
    for (const auto &header : call.headers) {
        if (header.name == "X-Request-Id" || header.name == "X-Order-Id") {
            pending->remoteId = header.value;
        }
    }
    const auto deadline = call.deadline;
    const auto priority = call.priority;
    const bool fresh = call.freshConnection;
    const auto blocked = routing->regroupedUntil.find(call.backend);
    const bool regrouping = blocked != routing->regroupedUntil.end() && now < blocked->second;
    const bool accepts = routing->acceptsWork(call.backend);
    pending->call = std::move(call);
    m_calls.emplace(number, std::move(pending));

    std::optional<error_code> refusal;
    if (target == nullptr || regrouping || !refreshLease(*target, now)) {
        refusal = error_code::notOwner;
    } else if (!accepts) {
        refusal = error_code::draining;
    } else {
        const auto decision = target->gate.admit(number, deadline, priority, now, fresh);
        if (decision.result == admit_result::refused) {
            refusal = decision.code;
        }
    }
    if (refusal) {
        asio::post(m_context, [this, alive = m_alive, number, code = *refusal] {
            if (*alive) {
                dropped(number, code);
            }
        });
    }
    if (target != nullptr) {
        // Actions run later, so that `done` is never called from inside submit().
        asio::post(m_context, [this, alive = m_alive, target] {
            if (*alive) {
                executeActions(target);
            }
        });
    }
    return number;
}

void backend_pool::abandon(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end() || !found->second->wanted) {
        return;
    }
    auto &pending = *found->second;
    const entry_ptr target = pending.target;
    const auto now = monotonic_clock::now();
    pending.wanted = false;
    if (target == nullptr || target->gate.abandon(call, now)) {
        m_calls.erase(found);
    } else if (pending.handle) {
        cancelAtBackend(pending);
    }
    if (target != nullptr) {
        executeActions(target);
    }
}

void backend_pool::groupGained(const group_id &group)
{
    const auto now = monotonic_clock::now();
    const auto routing = m_shared.routing.read();
    for (const auto &[backend, owner] : routing->groupOf) {
        if (owner != group) {
            continue;
        }
        // What an earlier lease learnt may be out of date, so an idle limiter starts anew in the cold state.
        const auto found = m_entries.find(backend);
        if (found != m_entries.end() && found->second->gate.occupied() == 0 && found->second->gate.queued() == 0) {
            m_entries.erase(found);
        }
        if (const auto target = prepare(backend, *routing, now)) {
            probe(target);
        }
    }
}

void backend_pool::groupLost(const group_id &group, std::function<void()> idle)
{
    const auto now = monotonic_clock::now();
    for (auto &[backend, target] : m_entries) {
        if (target->group == group) {
            target->gate.dropQueue(error_code::notOwner, now);
            refreshLease(*target, now);
            executeActions(target);
        }
    }
    if (idle) {
        m_idleWaiters.push_back({group, std::move(idle)});
        checkIdle();
    }
}

void backend_pool::report(const backend_id &backend, std::function<void(const backend_report *)> done)
{
    const auto routing = m_shared.routing.read();
    const auto target = prepare(backend, *routing, monotonic_clock::now());
    if (target == nullptr) {
        done(nullptr);
        return;
    }
    if (!target->gate.lastReport().instance.empty()) {
        done(&target->gate.lastReport());
        return;
    }
    target->reportWaiters.push_back(std::move(done));
    probe(target);
}

std::vector<backend_pool::entry_status> backend_pool::status() const
{
    const auto now = monotonic_clock::now();
    std::vector<entry_status> result;
    for (const auto &[backend, target] : m_entries) {
        result.push_back({backend,
                          target->group,
                          target->gate.state(),
                          target->gate.limit(now),
                          target->gate.occupied(),
                          target->gate.queued(),
                          target->gate.openConnections()});
    }
    std::sort(result.begin(), result.end(), [](const auto &left, const auto &right) { return left.backend < right.backend; });
    return result;
}

std::size_t backend_pool::inFlight() const
{
    return static_cast<std::size_t>(
        std::count_if(m_calls.begin(), m_calls.end(), [](const auto &item) { return item.second->handle.has_value(); }));
}

backend_pool::entry_ptr backend_pool::prepare(const backend_id &backend, const routing_state &routing, time_point now)
{
    const auto *server = routing.config ? routing.config->findBackendServer(backend) : nullptr;
    const auto group = routing.groupOf.find(backend);
    if (server == nullptr || group == routing.groupOf.end()) {
        return nullptr;
    }
    const auto wantedLimits = limitsOf(*server);
    const auto found = m_entries.find(backend);
    if (found != m_entries.end()) {
        auto &present = *found->second;
        present.group = group->second;
        const bool idle = present.gate.occupied() == 0 && present.gate.queued() == 0;
        if ((sameLimits(present.settings, wantedLimits) && present.address == server->address) || !idle) {
            present.gate.setLeaving(routing.leaving.count(backend) > 0, now);
            return found->second;
        }
        m_entries.erase(found); // New limits take effect once no call holds a slot under the old ones.
    }
    auto limiter = backend_limiter::create(wantedLimits, now, now);
    if (!limiter) {
        return nullptr;
    }
    auto fresh = std::make_shared<entry>(m_context, std::move(*limiter));
    fresh->id = backend;
    fresh->group = group->second;
    fresh->address = server->address;
    fresh->settings = wantedLimits;
    fresh->gate.setLeaving(routing.leaving.count(backend) > 0, now);
    m_entries.emplace(backend, fresh);
    return fresh;
}

bool backend_pool::refreshLease(entry &target, time_point now)
{
    const auto leases = m_shared.leases->read();
    if (const auto latest = leases->latestCallEnd(target.group, now, target.reachableSince)) {
        target.gate.setShare(1, now);
        target.gate.setLeaseEnd(*latest + backend_limiter::grace, now);
        return true;
    }
    const auto divisor = leases->shareDivisor(target.group, now, target.reachableSince);
    if (divisor > 0) {
        target.gate.setShare(divisor, now);
        target.gate.setLeaseEnd(now + backend_limiter::maxCallTime + backend_limiter::grace, now);
        return true;
    }
    target.gate.setLeaseEnd(now, now);
    return false;
}

bool backend_pool::checkBeforeWrite(entry &target, const backend_call &call, time_point callEnd)
{
    const auto now = monotonic_clock::now();
    if (!m_shared.configFreshness.mayWork(now)) {
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
    target->gate.takeActions(actions);
    for (const auto &action : actions) {
        if (action.kind == limiter_action_kind::start) {
            if (action.closeIdle) {
                m_client.closeIdleConnections(target->address);
            }
            send(target, action.call, action);
        } else {
            dropped(action.call, action.code);
        }
    }
    if (target->shownState != target->gate.state()) {
        target->shownState = target->gate.state();
        m_shared.record(event_kind::backendStateChanged, target->id.str(), std::string(toString(target->shownState)));
    }
    armTimer(target);
}

void backend_pool::send(const entry_ptr &target, std::uint64_t number, const limiter_action &action)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    auto &pending = *found->second;
    const auto now = monotonic_clock::now();
    pending.sent = now;
    pending.sendDeadline = action.deadline;
    http_call call;
    call.method = "POST";
    call.url = "http://" + target->address + pending.call.path;
    call.headers = pending.call.headers;
    call.headers.push_back({"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, toMillisUp(action.deadline - now).count()))});
    call.headers.push_back({"Content-Type", "application/json"});
    call.body = pending.call.body;
    call.timeout = std::max(toMillisUp(action.deadline - now), std::chrono::milliseconds(1)) + lateAnswerWait;
    call.freshConnection = pending.call.freshConnection;
    call.closeOnCancel = false;
    call.beforeSend = [this, alive = m_alive, target, number, deadline = action.deadline, opened = action.newConnection]() {
        const auto current = m_calls.find(number);
        if (!*alive || current == m_calls.end()) {
            return false;
        }
        if (current->second->written) {
            // libcurl sends again when a reused connection turns out to be dead. The owner has to know of the loss first.
            current->second->resendStopped = true;
            return false;
        }
        if (opened) {
            target->gate.connectionOpened(number, monotonic_clock::now());
        }
        current->second->written = checkBeforeWrite(*target, current->second->call, deadline);
        return current->second->written;
    };
    pending.handle = m_client.send(std::move(call), [this, alive = m_alive, number](http_client::result result) {
        if (!*alive) {
            return;
        }
        if (result) {
            completed(number, true, std::move(*result), error_code::internal, true);
        } else {
            completed(number, false, {}, result.error().failure.code, result.error().mayHaveBeenSent);
        }
    });
}

void backend_pool::completed(std::uint64_t number, bool ok, http_reply reply, error_code code, bool mayHaveBeenSent)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    auto &pending = *found->second;
    const entry_ptr owner = pending.target;
    entry &target = *owner;
    const auto now = monotonic_clock::now();
    backend_result result;
    result.queueTime = toMicros(pending.sent - pending.submitted);
    result.serviceTime = toMicros(now - pending.sent);
    refreshLease(target, now);
    if (ok) {
        const auto report = parseReport(reply);
        const bool notRun = isMarkedNotRun(reply) && reply.status >= 400;
        const bool shed = notRun && reply.status == 503;
        const bool usable = reply.status == 200 || reply.status == 409 || reply.status == 504 || reply.status == 499;
        const auto kind = shed ? call_result::shed : usable ? call_result::served : call_result::failed;
        const bool kept = !pending.call.freshConnection && headerValue(reply.headers, "Connection") != "close";
        target.gate.answered(number, kind, report ? &*report : nullptr, result.serviceTime, now, kept);
        if (!target.reachableSince) {
            target.reachableSince = now;
        }
        result.hasReport = report.has_value();
        result.report = report.value_or(backend_report());
        result.refusedByBackend = notRun;
        result.kind = notRun ? backend_result_kind::refused : backend_result_kind::answered;
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
        if (pending.resendStopped) {
            target.gate.connectionClosed(number, now);
            result.kind = backend_result_kind::failed;
            result.mayHaveBeenSent = true;
            result.code = error_code::unreachable;
        } else if (code == error_code::cancelled) {
            target.gate.abandon(number, now);
            result.code = error_code::notOwner;
        } else if (code == error_code::deadlineExceeded && mayHaveBeenSent) {
            target.gate.abandon(number, now);
        } else if (mayHaveBeenSent) {
            target.gate.connectionClosed(number, now);
        } else {
            target.gate.connectionFailed(number, now);
            target.reachableSince.reset();
        }
    }
    finish(number, std::move(result));
    executeActions(owner);
    checkIdle();
}

void backend_pool::dropped(std::uint64_t number, error_code code)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end()) {
        return;
    }
    backend_result result;
    result.kind = backend_result_kind::refused;
    result.code = code;
    result.queueTime = toMicros(monotonic_clock::now() - found->second->submitted);
    finish(number, std::move(result));
}

void backend_pool::finish(std::uint64_t number, backend_result result)
{
    const auto found = m_calls.find(number);
    const auto pending = std::move(found->second);
    m_calls.erase(found);
    const char *name = result.kind == backend_result_kind::answered ? "answered"
        : result.kind == backend_result_kind::refused               ? "refused"
                                                                    : "failed";
    m_shared.metrics.backendCallFinished(name, result.queueTime);
    if (pending->wanted && pending->call.done) {
        pending->call.done(std::move(result));
    }
}

void backend_pool::cancelAtBackend(const pending_call &call)
{
    const auto now = monotonic_clock::now();
    if (call.call.freshConnection || call.remoteId.empty() || call.sendDeadline - now < worthCancelling) {
        return;
    }
    http_call request;
    request.method = "POST";
    request.url = "http://" + call.target->address + "/cancel/" + call.remoteId;
    request.timeout = toMillisUp(call.sendDeadline - now) + lateAnswerWait;
    m_client.send(std::move(request), [](const http_client::result &) {
        // The reply of the cancelled call itself frees the slot.
    });
}

void backend_pool::armTimer(const entry_ptr &target)
{
    const auto next = target->gate.nextWakeup();
    if (!next) {
        target->timer.cancel();
        return;
    }
    target->timer.expires_after(std::max<monotonic_clock::duration>(*next - monotonic_clock::now(), monotonic_clock::duration::zero()));
    target->timer.async_wait([this, alive = m_alive, weak = std::weak_ptr<entry>(target)](const std::error_code &failure) {
        const auto present = weak.lock();
        if (failure || !*alive || !present) {
            return;
        }
        const auto now = monotonic_clock::now();
        refreshLease(*present, now);
        present->gate.wakeup(now);
        executeActions(present);
        checkIdle();
    });
}

void backend_pool::probe(const entry_ptr &target)
{
    if (target->probing) {
        return;
    }
    target->probing = true;
    http_call call;
    call.url = "http://" + target->address + "/load";
    call.timeout = probeTimeout;
    m_client.send(std::move(call), [this, alive = m_alive, target](const http_client::result &result) {
        if (!*alive) {
            return;
        }
        target->probing = false;
        const auto now = monotonic_clock::now();
        const auto report = result ? parseReport(*result) : std::nullopt;
        if (report) {
            target->gate.probed(*report, now);
            if (!target->reachableSince) {
                target->reachableSince = now;
            }
        } else {
            target->gate.probeFailed(now);
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

void backend_pool::probeAll()
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
            if (owned && target->gate.probeDue(now)) {
                probe(target);
            }
        }
        checkIdle();
        probeAll();
    });
}

void backend_pool::checkIdle()
{
    const auto busy = [this](const group_id &group) {
        return std::any_of(m_entries.begin(), m_entries.end(), [&group](const auto &item) {
            return item.second->group == group && item.second->gate.occupied() > 0;
        });
    };
    std::vector<std::function<void()>> ready;
    std::erase_if(m_idleWaiters, [&](idle_waiter &waiter) {
        if (busy(waiter.group)) {
            return false;
        }
        ready.push_back(std::move(waiter.idle));
        return true;
    });
    for (const auto &idle : ready) {
        idle();
    }
}

} // namespace orioledrum
