#include <limits/usage_cap_client.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

usage_cap_client::usage_cap_client(const usage_fleet &fleet, usage_cap_owner &owner)
    : m_fleet(fleet)
    , m_owner(owner)
{
}

void usage_cap_client::recordDemand(organisation_state &state, time_point now)
{
    const auto span = std::chrono::duration<double>(demandTime).count();
    state.demand *= std::exp(-std::chrono::duration<double>(now - state.demandAt).count() / span);
    state.demand += 1 / span;
    state.demandAt = now;
}

bool usage_cap_client::takeToken(organisation_state &state, time_point now)
{
    while (!state.tokens.empty() && (state.tokens.front().expiresAt <= now || state.tokens.front().count == 0)) {
        state.tokens.pop_front();
    }
    if (state.tokens.empty()) {
        return false;
    }
    --state.tokens.front().count;
    return true;
}

void usage_cap_client::decide(std::uint64_t request, const usage_grant &grant)
{
    m_counts.refused += grant.result == usage_grant::kind::refused ? 1 : 0;
    m_counts.unavailable += grant.result == usage_grant::kind::unavailable ? 1 : 0;
    m_decisions.push_back({request, grant.result, grant.retryAfter});
}

void usage_cap_client::refuse(const waiting_request &waiting, const usage_grant &grant, time_point now)
{
    auto &state = m_organisations[waiting.cap.organisation];
    state.expectedTokenAt = now + grant.retryAfter;
    state.refusedUntil = now + std::min<std::chrono::microseconds>(grant.retryAfter, maxLocalRefusal);
    decide(waiting.request, grant);
}

void usage_cap_client::acquire(std::uint64_t request, const usage_cap &cap, std::chrono::microseconds patience, time_point now)
{
    auto &state = m_organisations[cap.organisation];
    recordDemand(state, now);
    if (takeToken(state, now)) {
        decide(request, {usage_grant::kind::granted, 1, {}});
        return;
    }
    if (now < state.refusedUntil) {
        decide(request, {usage_grant::kind::refused, 0, std::chrono::ceil<std::chrono::microseconds>(state.expectedTokenAt - now)});
        return;
    }
    askOwner({request, cap, patience}, now);
}

void usage_cap_client::askOwner(waiting_request &&waiting, time_point now)
{
    const auto &place = m_fleet.placeOf(waiting.cap.organisation);
    if (place.ownerIsSelf) {
        const auto grant = m_owner.request(waiting.cap, 1, now);
        if (grant.result == usage_grant::kind::unavailable) {
            askZone(std::move(waiting), now);
        } else if (grant.result == usage_grant::kind::refused) {
            refuse(waiting, grant, now);
        } else {
            m_counts.granted += grant.tokens;
            decide(waiting.request, grant);
        }
        return;
    }
    if (!place.owner) {
        askZone(std::move(waiting), now);
        return;
    }
    const auto silent = m_silentUntil.find(place.owner->address);
    if (silent != m_silentUntil.end() && now < silent->second) {
        askZone(std::move(waiting), now);
        return;
    }
    const auto demand = m_organisations[waiting.cap.organisation].demand;
    const auto extra = static_cast<std::uint32_t>(demand * std::chrono::duration<double>(prefetchTime).count());
    ask(usage_source::owner, *place.owner, extra, std::move(waiting), now);
}

void usage_cap_client::askZone(waiting_request &&waiting, time_point now)
{
    const auto &place = m_fleet.placeOf(waiting.cap.organisation);
    if (place.zoneOwnerIsSelf) {
        const auto grant = m_owner.requestZoneReserve(waiting.cap, now);
        if (grant.result == usage_grant::kind::granted) {
            ++m_counts.zoneReserve;
            decide(waiting.request, grant);
        } else {
            takeHostReserve(waiting, now);
        }
        return;
    }
    const auto silent = place.zoneOwner ? m_silentUntil.find(place.zoneOwner->address) : m_silentUntil.end();
    if (!place.zoneOwner || (silent != m_silentUntil.end() && now < silent->second)) {
        takeHostReserve(waiting, now);
        return;
    }
    ask(usage_source::zone, *place.zoneOwner, 0, std::move(waiting), now);
}

void usage_cap_client::takeHostReserve(const waiting_request &waiting, time_point now)
{
    auto grant = m_owner.takeHostReserve(waiting.cap, now);
    if (grant.result != usage_grant::kind::granted) {
        // Not the cap is reached, but what this host may use of it without the owner.
        grant = {usage_grant::kind::unavailable, 0, silenceBackoff};
    } else {
        ++m_counts.hostReserve;
    }
    decide(waiting.request, grant);
}

void usage_cap_client::ask(usage_source source, const usage_host &host, std::uint32_t extra, waiting_request &&waiting, time_point now)
{
    auto open = std::find_if(m_questions.begin(), m_questions.end(), [&](const auto &entry) {
        const auto &each = entry.second;
        return !each.taken && each.question.source == source && each.question.address == host.address;
    });
    if (open == m_questions.end()) {
        const auto id = ++m_lastId;
        open = m_questions.emplace(id, open_question{{id, host.address, source, {}, waiting.patience}, {}, {}, now, false}).first;
    }
    auto &question = open->second.question;
    question.timeout = std::min(question.timeout, waiting.patience);
    const auto same = [&](const usage_question::item &item) { return item.organisation == waiting.cap.organisation; };
    const auto found = std::find_if(question.items.begin(), question.items.end(), same);
    const auto position = static_cast<std::size_t>(found - question.items.begin());
    if (found == question.items.end()) {
        question.items.push_back({waiting.cap.organisation, extra});
        open->second.caps.push_back(waiting.cap);
        open->second.waiting.emplace_back();
    }
    ++question.items[position].tokens;
    open->second.waiting[position].push_back(std::move(waiting));
}

void usage_cap_client::cancel(std::uint64_t request)
{
    for (auto &[id, open] : m_questions) {
        for (auto &waiting : open.waiting) {
            std::erase_if(waiting, [request](const waiting_request &each) { return each.request == request; });
        }
    }
}

void usage_cap_client::answered(std::uint64_t question, const std::vector<usage_grant> &grants, time_point now)
{
    auto found = m_questions.extract(question);
    if (found.empty()) {
        return;
    }
    auto &open = found.mapped();
    m_silentUntil.erase(open.question.address);
    for (std::size_t item = 0; item < open.waiting.size(); ++item) {
        auto grant = item < grants.size() ? grants[item] : usage_grant();
        const bool granted = grant.result == usage_grant::kind::granted;
        if (granted && (grant.tokens == 0 || grant.tokens > open.question.items[item].tokens)) {
            grant = {}; // Not an answer to this question.
        }
        auto &state = m_organisations[open.caps[item].organisation];
        if (grant.result == usage_grant::kind::granted) {
            auto &counter = open.question.source == usage_source::owner ? m_counts.granted : m_counts.zoneReserve;
            counter += grant.tokens;
            state.tokens.push_back({grant.tokens, open.askedAt + tokenLife(open.caps[item])});
        }
        for (auto &each : open.waiting[item]) {
            if (grant.result == usage_grant::kind::granted) {
                if (takeToken(state, now)) {
                    decide(each.request, {usage_grant::kind::granted, 1, {}});
                } else {
                    askOwner(std::move(each), now);
                }
            } else if (open.question.source == usage_source::zone) {
                takeHostReserve(each, now);
            } else if (grant.result == usage_grant::kind::refused) {
                refuse(each, grant, now);
            } else {
                askZone(std::move(each), now);
            }
        }
    }
}

void usage_cap_client::failed(std::uint64_t question, time_point now)
{
    const auto found = m_questions.find(question);
    if (found == m_questions.end()) {
        return;
    }
    const auto address = found->second.question.address;
    answered(question, {}, now);
    m_silentUntil[address] = now + silenceBackoff;
}

std::vector<usage_question> usage_cap_client::takeQuestions()
{
    std::vector<usage_question> questions;
    for (auto &[id, open] : m_questions) {
        if (!std::exchange(open.taken, true)) {
            for (const auto &item : open.question.items) {
                m_counts.asked += item.tokens;
            }
            questions.push_back(open.question);
        }
    }
    return questions;
}

std::vector<usage_decision> usage_cap_client::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

void usage_cap_client::restart()
{
    m_organisations.clear();
}

} // namespace orioledrum
