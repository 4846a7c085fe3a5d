#include <limits/usage_cap_owner.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

/// Refused requests are told to come back one after the other; beyond this time the order is of no use, because callers give up.
constexpr std::chrono::seconds maxRetryAfter{10};

std::uint32_t wholeTokens(double tokens)
{
    return static_cast<std::uint32_t>(std::clamp(std::floor(tokens), 0.0, static_cast<double>(UINT32_MAX)));
}

std::chrono::microseconds toMicroseconds(double seconds)
{
    const auto longest = std::chrono::duration<double>(maxRetryAfter).count();
    return std::chrono::microseconds(static_cast<std::int64_t>(std::ceil(std::min(seconds, longest) * 1e6)));
}

} // namespace

usage_cap_owner::usage_cap_owner(const usage_fleet &fleet, time_point now)
    : m_fleet(fleet)
    , m_startedAt(now)
{
}

void usage_cap_owner::fleetChanged()
{
    for (auto &[organisation, state] : m_caps) {
        if (!m_fleet.settled() || !m_fleet.placeOf(organisation).ownerIsSelf) {
            stopOwning(state);
        }
    }
}

void usage_cap_owner::stopOwning(owned_cap &state)
{
    state.ownedSince.reset();
    state.confirmed = false;
    state.claimSent = false;
    state.level = 0;
    state.share = 0;
}

bool usage_cap_owner::advance(const usage_cap &cap, owned_cap &state, time_point now)
{
    const auto &place = m_fleet.placeOf(cap.organisation);
    if (!place.ownerIsSelf || !m_fleet.settled() || now < state.stoppedUntil) {
        stopOwning(state);
        return false;
    }
    if (!state.ownedSince) {
        state.ownedSince = now;
        state.updatedAt = place.certainFrom;
        state.level = startsEmpty() ? 0 : cap.depth();
    }
    const bool certain = state.confirmed || now >= place.certainFrom;
    if (!certain) {
        if (place.earlierOwner && !std::exchange(state.claimSent, true)) {
            m_claims.push_back({cap.organisation, place.earlierOwner->address});
        }
        return false;
    }
    // Right after a start this host knows since when hosts are live only from the earlier owner.
    const bool knowsFleet = now - m_fleet.settledAt() >= m_fleet.times().establish;
    const auto share = knowsFleet || !state.confirmed ? m_fleet.establishedShare(now) : std::min(m_fleet.liveShare(), state.confirmedShare);
    // Until the latest rise of the share, the lower of both shares holds. An organisation with few requests would otherwise get the share
    // of the time before its latest request, however long ago the share rose.
    const auto lowerShare = state.share > 0 ? std::min(share, state.share) : share;
    const auto risenAt = knowsFleet ? std::clamp(m_fleet.establishedSince(now), state.updatedAt, std::max(state.updatedAt, now)) : now;
    const auto secondsOf = [](time_point::duration span) {
        return std::chrono::duration<double>(std::max(time_point::duration(0), span)).count();
    };
    const auto filled = lowerShare * secondsOf(std::min(risenAt, now) - state.updatedAt) + share * secondsOf(now - risenAt);
    state.level = std::min(state.level + cap.requestsPerSecond * filled, std::max(1.0, cap.depth() * share));
    state.updatedAt = now;
    state.share = share;
    return true;
}

usage_grant usage_cap_owner::request(const usage_cap &cap, std::uint32_t wanted, time_point now)
{
    auto &state = m_caps[cap.organisation];
    if (!advance(cap, state, now)) {
        return {};
    }
    const auto tokens = std::min(wanted, wholeTokens(state.level));
    if (tokens == 0) {
        return refuse(cap, state, now);
    }
    state.level -= tokens;
    return {usage_grant::kind::granted, tokens, {}};
}

usage_grant usage_cap_owner::refuse(const usage_cap &cap, owned_cap &state, time_point now) const
{
    const auto rate = cap.requestsPerSecond * state.share;
    const auto nextToken = now + toMicroseconds((1 - state.level) / rate);
    state.expectedFreeAt = std::clamp(state.expectedFreeAt + toMicroseconds(1 / rate), nextToken, now + maxRetryAfter);
    return {usage_grant::kind::refused, 0, std::chrono::ceil<std::chrono::microseconds>(state.expectedFreeAt - now)};
}

usage_grant
usage_cap_owner::takeReserve(std::optional<window_counter> &counter, const usage_cap &cap, std::uint32_t limit, time_point now) const
{
    const auto span = cap.limits.window + cap.tokenLife(); // A token may be used until the end of its life.
    if (startsEmpty() && now - m_startedAt < span) {
        return {usage_grant::kind::refused, 0, std::chrono::ceil<std::chrono::microseconds>(m_startedAt + span - now)};
    }
    if (!counter) {
        counter.emplace(span);
    }
    if (counter->count(now) >= limit) {
        return {usage_grant::kind::refused, 0, counter->timeUntilLower(now)};
    }
    counter->add(1, now);
    return {usage_grant::kind::granted, 1, {}};
}

usage_grant usage_cap_owner::requestZoneReserve(const usage_cap &cap, time_point now)
{
    const auto &place = m_fleet.placeOf(cap.organisation);
    if (!place.zoneOwnerIsSelf || !m_fleet.settled()) {
        return {};
    }
    const auto limit = wholeTokens(cap.reserve() * usage_cap::zoneReserveShare / static_cast<double>(m_fleet.zoneCount()));
    return takeReserve(m_caps[cap.organisation].zoneReserve, cap, limit, now);
}

usage_grant usage_cap_owner::takeHostReserve(const usage_cap &cap, time_point now)
{
    if (!m_fleet.settled()) {
        return {};
    }
    const auto &place = m_fleet.placeOf(cap.organisation);
    return takeReserve(m_caps[cap.organisation].hostReserve, cap, place.share.divide(cap.reserve() * usage_cap::hostReserveShare, 1), now);
}

std::vector<usage_claim> usage_cap_owner::takeClaims()
{
    return std::exchange(m_claims, {});
}

usage_handover usage_cap_owner::claimReceived(const usage_cap &cap, time_point now)
{
    auto &state = m_caps[cap.organisation];
    const auto &place = m_fleet.placeOf(cap.organisation);
    usage_handover answer;
    // Shortly after its start, a host does not know whether a third one acts as the owner.
    answer.stopped = m_fleet.settled() && now - m_fleet.settledAt() >= m_fleet.times().notice;
    answer.share = m_fleet.establishedShare(now);
    if (place.ownerIsSelf && advance(cap, state, now)) {
        answer.level = state.level;
    }
    // The claiming host ranks higher, so that this host follows as soon as it knows it.
    state.stoppedUntil = now + m_fleet.times().notice;
    advance(cap, state, now);
    return answer;
}

void usage_cap_owner::claimAnswered(const usage_cap &cap, const std::optional<usage_handover> &answer, time_point now)
{
    auto &state = m_caps[cap.organisation];
    // A level that is not a number would stay one in the bucket.
    if (!answer || !std::isfinite(answer->level) || !std::isfinite(answer->share)) {
        return;
    }
    if (!answer->stopped || !state.ownedSince || state.confirmed || now >= m_fleet.placeOf(cap.organisation).certainFrom) {
        return;
    }
    state.confirmed = true;
    state.confirmedShare = std::clamp(answer->share, 0.0, 1.0);
    state.level = startsEmpty() ? std::clamp(answer->level, 0.0, cap.depth()) : cap.depth();
    state.updatedAt = now;
}

void usage_cap_owner::restart(time_point now)
{
    m_startedAt = now;
    m_caps.clear();
    m_claims.clear();
}

} // namespace orioledrum
