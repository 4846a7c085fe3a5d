#include <usage_caps.h>

#include <gateway_state.h>
#include <host_call.h>
#include <transport/http_client.h>
#include <transport/http_exchange.h>
#include <transport/http_request.h>
#include <usage_hosts.h>
#include <wire/codec.h>
#include <wire/usage_messages.h>

#include <config/organisation.h>
#include <membership/membership.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

usage_caps::usage_caps(gateway_state &state, http_client &client)
    : m_state(state)
    , m_client(client)
    , m_fleet(state.settings.host, state.settings.zone)
    , m_owner(m_fleet, monotonic_clock::now())
    , m_requests(m_fleet, m_owner)
    , m_lastActiveAt(monotonic_clock::now())
{
}

void usage_caps::setHosts(const membership_view &view, bool settled, time_point now)
{
    checkForPause(now);
    m_knownHosts = view.members.size();
    m_fleet.update(usageHostsOf(view), settled, usageTimesOf(view), now);
    m_owner.fleetChanged();
}

void usage_caps::checkForPause(time_point now)
{
    const bool paused = now - m_lastActiveAt >= m_fleet.times().notice;
    m_lastActiveAt = now;
    if (paused) {
        m_state.log.write("usage", "restartedAfterPause", {});
        m_fleet.restart(now);
        m_owner.restart(now);
        m_requests.restart();
    }
}

bool usage_caps::limits(const organisation &organisation) const
{
    return organisation.capped() && m_state.settings.usageCaps.has_value();
}

const usage_place *usage_caps::findPlace(const organisation &organisation) const
{
    return limits(organisation) ? &m_fleet.placeOf(organisation.name) : nullptr;
}

usage_cap usage_caps::capOf(const organisation &organisation) const
{
    return {organisation.name, organisation.requestsPerSecond, organisation.burst, m_state.settings.usageCaps.value_or(usage_cap_limits())};
}

std::optional<usage_cap> usage_caps::findCap(const std::string &organisation) const
{
    const auto *found = m_state.table ? m_state.table->findOrganisation(organisation) : nullptr;
    return found != nullptr && limits(*found) ? std::optional(capOf(*found)) : std::nullopt;
}

std::uint64_t usage_caps::acquire(const organisation &organisation, std::chrono::microseconds patience, callback done)
{
    const auto handle = ++m_lastHandle;
    const auto now = monotonic_clock::now();
    checkForPause(now);
    m_waiting.emplace(handle, std::move(done));
    m_requests.acquire(handle, capOf(organisation), patience, now);
    run();
    return handle;
}

void usage_caps::cancel(std::uint64_t handle)
{
    if (m_waiting.erase(handle) > 0) {
        m_requests.cancel(handle);
    }
}

void usage_caps::run()
{
    for (const auto &question : m_requests.takeQuestions()) {
        send(question);
    }
    for (const auto &claim : m_owner.takeClaims()) {
        send(claim);
    }
    for (const auto &decision : m_requests.takeDecisions()) {
        if (auto waiting = m_waiting.extract(decision.request); !waiting.empty()) {
            waiting.mapped()(decision);
        }
    }
    m_state.metrics.setUsageCounts(m_requests.counts());
}

void usage_caps::send(const usage_question &question)
{
    usage_request message;
    message.source = static_cast<std::uint8_t>(question.source);
    message.knownHosts = static_cast<std::uint32_t>(m_knownHosts);
    for (const auto &item : question.items) {
        message.organisations.push_back(item.organisation);
        message.tokens.push_back(item.tokens);
    }
    const auto timeout = std::chrono::ceil<std::chrono::milliseconds>(question.timeout);
    auto call = makeHostCall(question.address, requestPath, encode(message), timeout);
    m_client.send(std::move(call), [this, id = question.id, size = question.items.size()](http_client::result result) {
        const auto now = monotonic_clock::now();
        checkForPause(now);
        const auto answer = result && result->status == 200
            ? decode<usage_answer>(result->body)
            : expected<usage_answer>(makeError(error_code::unreachable, "ask for tokens", "no answer"));
        const bool complete =
            answer && answer->results.size() == size && answer->tokens.size() == size && answer->retryAfter.size() == size;
        if (!complete) {
            m_requests.failed(id, now);
            run();
            return;
        }
        std::vector<usage_grant> grants;
        for (std::size_t i = 0; i < size; ++i) {
            const bool known = answer->results[i] <= static_cast<std::uint8_t>(usage_grant::kind::unavailable);
            const auto kind = known ? static_cast<usage_grant::kind>(answer->results[i]) : usage_grant::kind::unavailable;
            grants.push_back({kind, answer->tokens[i], std::max(std::chrono::microseconds(0), answer->retryAfter[i])});
        }
        m_requests.answered(id, grants, now);
        run();
    });
}

void usage_caps::send(const usage_claim &claim)
{
    const usage_takeover message{claim.organisation, static_cast<std::uint32_t>(m_knownHosts)};
    auto call = makeHostCall(claim.address, takeoverPath, encode(message), m_fleet.times().notice);
    m_client.send(std::move(call), [this, organisation = claim.organisation](http_client::result result) {
        const auto now = monotonic_clock::now();
        checkForPause(now);
        std::optional<usage_handover> handover;
        if (result && result->status == 200) {
            if (const auto answer = decode<usage_takeover_answer>(result->body)) {
                m_fleet.hearOfHosts(answer->knownHosts, now);
                handover = usage_handover{answer->stopped, answer->level, answer->share};
            }
        }
        if (const auto cap = findCap(organisation)) {
            m_owner.claimAnswered(*cap, handover, now);
        }
    });
}

void usage_caps::handleRequest(const http_request &request, http_exchange &exchange)
{
    const auto message = decode<usage_request>(request.body);
    if (!message || message->organisations.size() != message->tokens.size()) {
        exchange.respond(errorResponse(400, {error_code::malformed, "the message is not valid", "ask for tokens", request.remoteAddress}));
        return;
    }
    const auto now = monotonic_clock::now();
    checkForPause(now);
    m_fleet.hearOfHosts(message->knownHosts, now);
    usage_answer answer;
    for (std::size_t i = 0; i < message->organisations.size(); ++i) {
        usage_grant grant;
        const auto cap = findCap(message->organisations[i]);
        if (cap && message->source == static_cast<std::uint8_t>(usage_source::owner)) {
            grant = m_owner.request(*cap, message->tokens[i], now);
        } else if (cap && message->source == static_cast<std::uint8_t>(usage_source::zone)) {
            grant = m_owner.requestZoneReserve(*cap, now);
        }
        answer.results.push_back(static_cast<std::uint8_t>(grant.result));
        answer.tokens.push_back(grant.tokens);
        answer.retryAfter.push_back(grant.retryAfter);
    }
    exchange.respond({200, "application/msgpack", {}, encode(answer)});
    run();
}

void usage_caps::handleTakeover(const http_request &request, http_exchange &exchange)
{
    const auto message = decode<usage_takeover>(request.body);
    if (!message) {
        exchange.respond(errorResponse(400, message.error()));
        return;
    }
    const auto now = monotonic_clock::now();
    checkForPause(now);
    m_fleet.hearOfHosts(message->knownHosts, now);
    usage_takeover_answer answer;
    answer.knownHosts = static_cast<std::uint32_t>(m_knownHosts);
    if (const auto cap = findCap(message->organisation)) {
        const auto handover = m_owner.claimReceived(*cap, now);
        answer.stopped = handover.stopped;
        answer.level = handover.level;
        answer.share = handover.share;
    }
    exchange.respond({200, "application/msgpack", {}, encode(answer)});
}

} // namespace orioledrum
