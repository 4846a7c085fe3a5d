#include "tests/fakes/simulated_usage.h"

#include <usage_hosts.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds step{100}; // Interval of host_link::tick().
constexpr std::chrono::microseconds patience{25000};
/// One-way delay between hosts, and the share of lost messages: a connection that fails.
constexpr std::uint64_t minDelayUs = 200;
constexpr std::uint64_t maxDelayUs = 5000;
constexpr std::uint64_t lostPerMille = 2;

class simulated_owner final : public usage_cap_owner
{
public:
    simulated_owner(const usage_fleet &fleet, usage_fault fault, time_point now)
        : usage_cap_owner(fleet, now)
        , m_fault(fault)
    {
    }

private:
    [[nodiscard]] bool startsEmpty() const override { return m_fault != usage_fault::bucketsStartFull; }

    usage_fault m_fault;
};

class simulated_client final : public usage_cap_client
{
public:
    simulated_client(const usage_fleet &fleet, usage_cap_owner &owner, usage_fault fault)
        : usage_cap_client(fleet, owner)
        , m_fault(fault)
    {
    }

private:
    [[nodiscard]] std::chrono::microseconds tokenLife(const usage_cap &cap) const override
    {
        return m_fault == usage_fault::tokensDoNotExpire ? std::chrono::hours(1) : usage_cap_client::tokenLife(cap);
    }

    usage_fault m_fault;
};

} // namespace

struct simulated_usage::process {
    process(std::size_t host, std::size_t zone, std::uint64_t number, usage_fault fault, time_point now)
        : runNumber(number)
        , fleet(fake_gossip::hostName(host), zone_id("z" + std::to_string(zone)))
        , owner(fleet, fault, now)
        , client(fleet, owner, fault)
        , counter(now, 630, 10s)
        , lastActiveAt(now)
    {
    }

    struct fixed_share {
        double level = 0;
        time_point at;
    };

    std::uint64_t runNumber;
    usage_fleet fleet;
    simulated_owner owner;
    simulated_client client;
    host_counter counter;
    time_point lastActiveAt;
    bool frozen = false;
    std::vector<std::function<void()>> backlog;
    std::shared_ptr<const membership_view> view;
    bool settled = false;
    std::unordered_map<std::uint64_t, std::size_t> waiting; // Organisation of each request.
    std::unordered_map<std::size_t, fixed_share> fixedShares;
};

simulated_usage::simulated_usage(std::size_t hosts, std::size_t zones, std::uint64_t seed, usage_fault fault)
    : m_zones(zones)
    , m_fault(fault)
    , m_random(seed * 7919 + 1)
    , m_gossip(hosts, zones, seed, 2, 20ms)
    , m_hosts(hosts)
    , m_now(m_gossip.now())
{
    m_gossip.setReachable([this](std::size_t from, std::size_t to) { return reaches(from, to); });
    for (std::size_t host = 0; host < hosts; ++host) {
        m_hosts[host] = std::make_unique<process>(host, zoneOf(host), ++m_runs, m_fault, m_now);
    }
}

simulated_usage::~simulated_usage() = default;

void simulated_usage::start(std::size_t host)
{
    m_gossip.start(host);
    m_hosts[host] = std::make_unique<process>(host, zoneOf(host), ++m_runs, m_fault, m_now);
}

void simulated_usage::kill(std::size_t host)
{
    m_gossip.kill(host);
    m_hosts[host].reset();
}

void simulated_usage::freeze(std::size_t host)
{
    m_gossip.freeze(host);
    m_hosts[host]->frozen = true;
}

void simulated_usage::thaw(std::size_t host)
{
    if (!m_hosts[host]) {
        return;
    }
    m_hosts[host]->frozen = false;
    for (const auto &handler : std::exchange(m_hosts[host]->backlog, {})) {
        handler();
    }
    m_gossip.thaw(host);
}

void simulated_usage::setParts(std::vector<int> parts)
{
    m_parts = std::move(parts);
}

std::size_t simulated_usage::addOrganisation(double usualRate)
{
    const auto index = m_organisations.size();
    const auto rate = usualRate * capFactor;
    simulated_organisation added;
    added.cap = {"o" + std::to_string(index), rate, rate, {window, overshoot, slack}};
    added.usualRate = usualRate;
    added.level = std::max(1.0, rate);
    added.levelAt = m_now;
    added.slotEnd = m_now + window;
    added.earlierCap = added.cap;
    added.capChangedAt = m_now - adoptionTime - window;
    m_organisations.push_back(std::move(added));
    scheduleArrival(index);
    return index;
}

void simulated_usage::setDemand(std::size_t organisation, double factor, std::vector<std::size_t> callers)
{
    auto &changed = m_organisations[organisation];
    changed.demandFactor = factor;
    changed.callers = std::move(callers);
    ++changed.generation;
    scheduleArrival(organisation);
}

void simulated_usage::setCap(std::size_t organisation, double requestsPerSecond, double burst)
{
    auto &cap = m_organisations[organisation].cap;
    m_organisations[organisation].earlierCap = cap;
    m_organisations[organisation].capChangedAt = m_now;
    cap.requestsPerSecond = requestsPerSecond;
    cap.burst = burst;
}

void simulated_usage::schedule(time_point at, std::function<void()> handler)
{
    m_events.push({at, m_order++, std::move(handler)});
}

void simulated_usage::scheduleArrival(std::size_t organisation)
{
    const auto &arriving = m_organisations[organisation];
    const auto rate = arriving.usualRate * arriving.demandFactor;
    if (rate <= 0) {
        return;
    }
    const auto wait = std::chrono::duration<double>(-std::log(1 - random01()) / rate);
    schedule(m_now + std::chrono::duration_cast<time_point::duration>(wait), [this, organisation, generation = arriving.generation] {
        const auto &current = m_organisations[organisation];
        if (current.generation != generation) {
            return;
        }
        const auto &callers = current.callers;
        const auto host = callers.empty() ? m_random.below(m_hosts.size()) : callers[m_random.below(callers.size())];
        if (m_hosts[host]) {
            offered(organisation);
            execute(host, m_hosts[host]->runNumber, [this, host, organisation](process &) { arrive(host, organisation); });
        }
        scheduleArrival(organisation);
    });
}

void simulated_usage::arrive(std::size_t host, std::size_t organisation)
{
    auto &running = *m_hosts[host];
    checkForPause(running);
    const auto &cap = capAt(host, organisation);
    if (m_fault == usage_fault::equalShares) {
        auto &share = running.fixedShares[organisation];
        const auto hosts = static_cast<double>(running.counter.hostCount());
        const auto elapsed = std::chrono::duration<double>(m_now - share.at).count();
        share.level = std::min(share.level + elapsed * cap.requestsPerSecond / hosts, std::max(1.0, cap.burst / hosts));
        share.at = m_now;
        if (share.level >= 1) {
            share.level -= 1;
            served(organisation);
        }
        return;
    }
    const auto request = ++m_lastRequest;
    running.waiting[request] = organisation;
    running.client.acquire(request, cap, patience, m_now);
    carryOut(host);
}

void simulated_usage::execute(std::size_t host, std::uint64_t runNumber, std::function<void(process &)> handler)
{
    if (!m_hosts[host] || m_hosts[host]->runNumber != runNumber) {
        return;
    }
    if (m_hosts[host]->frozen) {
        m_hosts[host]->backlog.push_back([this, host, runNumber, handler = std::move(handler)] { execute(host, runNumber, handler); });
        return;
    }
    handler(*m_hosts[host]);
}

void simulated_usage::deliver(std::size_t from, std::size_t to, std::function<void(process &)> handler)
{
    ++m_messages;
    if (m_random.below(1000) < lostPerMille) {
        return;
    }
    const auto delay = std::chrono::microseconds(minDelayUs + m_random.below(maxDelayUs - minDelayUs));
    schedule(m_now + delay, [this, from, to, handler = std::move(handler)] {
        if (m_hosts[to] && reaches(from, to)) {
            execute(to, m_hosts[to]->runNumber, handler);
        }
    });
}

void simulated_usage::carryOut(std::size_t host)
{
    auto &running = *m_hosts[host];
    for (const auto &question : running.client.takeQuestions()) {
        send(host, question);
    }
    for (const auto &claim : running.owner.takeClaims()) {
        send(host, claim);
    }
    for (const auto &decision : running.client.takeDecisions()) {
        if (const auto waiting = running.waiting.extract(decision.request); !waiting.empty()) {
            if (decision.result == usage_grant::kind::granted) {
                served(waiting.mapped());
            }
        }
    }
}

std::vector<usage_grant> simulated_usage::answer(std::size_t host, const usage_question &question)
{
    auto &owner = m_hosts[host]->owner;
    std::vector<usage_grant> grants;
    for (const auto &item : question.items) {
        const auto &cap = capAt(host, indexOf(item.organisation));
        grants.push_back(question.source == usage_source::owner ? owner.request(cap, item.tokens, m_now)
                                                                : owner.requestZoneReserve(cap, m_now));
    }
    return grants;
}

void simulated_usage::send(std::size_t host, const usage_question &question)
{
    const auto runNumber = m_hosts[host]->runNumber;
    const auto to = static_cast<std::size_t>(std::stoul(question.address));
    const auto known = m_hosts[host]->view ? m_hosts[host]->view->members.size() : 1;
    deliver(host, to, [this, host, to, known, runNumber, question](process &asked) {
        checkForPause(asked);
        asked.fleet.hearOfHosts(known, m_now);
        auto grants = answer(to, question);
        carryOut(to);
        deliver(to, host, [this, host, runNumber, id = question.id, grants = std::move(grants)](process &asking) {
            if (asking.runNumber == runNumber) {
                checkForPause(asking);
                asking.client.answered(id, grants, m_now);
                carryOut(host);
            }
        });
    });
    schedule(m_now + question.timeout, [this, host, runNumber, id = question.id] {
        execute(host, runNumber, [this, host, id](process &asking) {
            checkForPause(asking);
            asking.client.failed(id, m_now);
            carryOut(host);
        });
    });
}

void simulated_usage::send(std::size_t host, const usage_claim &claim)
{
    const auto runNumber = m_hosts[host]->runNumber;
    const auto to = static_cast<std::size_t>(std::stoul(claim.address));
    const auto known = m_hosts[host]->view ? m_hosts[host]->view->members.size() : 1;
    const auto cap = capAt(host, indexOf(claim.organisation));
    deliver(host, to, [this, host, to, known, runNumber, cap](process &asked) {
        checkForPause(asked);
        asked.fleet.hearOfHosts(known, m_now);
        const auto handover = asked.owner.claimReceived(cap, m_now);
        const auto knownThere = asked.view ? asked.view->members.size() : 1;
        deliver(to, host, [this, runNumber, cap, handover, knownThere](process &asking) {
            if (asking.runNumber == runNumber) {
                checkForPause(asking);
                asking.fleet.hearOfHosts(knownThere, m_now);
                asking.owner.claimAnswered(cap, handover, m_now);
            }
        });
    });
}

void simulated_usage::checkForPause(process &host)
{
    const bool paused = m_now - host.lastActiveAt >= host.fleet.times().notice && host.fleet.times().notice > 0ms;
    host.lastActiveAt = m_now;
    if (paused) {
        host.fleet.restart(m_now);
        host.owner.restart(m_now);
        host.client.restart();
    }
}

void simulated_usage::updateFleet(std::size_t host)
{
    auto &running = *m_hosts[host];
    checkForPause(running);
    const auto view = m_gossip.membershipOf(host)->view();
    running.counter.update(view->members.size(), m_now);
    if (view == running.view && running.counter.settled() == running.settled) {
        return;
    }
    running.view = view;
    running.settled = running.counter.settled();
    auto hosts = usageHostsOf(*view);
    auto times = usageTimesOf(*view);
    if (m_fault == usage_fault::ownerDoesNotWait) {
        times.notice = 0ms;
        times.establish = 0ms;
    }
    if (m_fault == usage_fault::ownerDoesNotScale) {
        for (auto &each : hosts) {
            // Hosts that leave are not taken for lost, so that the owner waits as usual.
            each.state = each.state == usage_host_state::lost ? usage_host_state::leaving : each.state;
        }
    }
    running.fleet.update(std::move(hosts), running.settled, times, m_now);
    running.owner.fleetChanged();
}

void simulated_usage::run(std::chrono::milliseconds duration)
{
    for (const auto end = m_now + duration; m_now < end;) {
        m_gossip.run(step);
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            if (m_hosts[host] && !m_hosts[host]->frozen) {
                updateFleet(host);
            }
        }
        const auto next = m_now + step;
        while (!m_events.empty() && m_events.top().at <= next) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            event.handler();
        }
        m_now = next;
    }
}

void simulated_usage::endSlot(simulated_organisation &organisation)
{
    organisation.within += static_cast<double>(organisation.idealInSlot);
    const auto balance =
        static_cast<double>(organisation.servedInSlot) + organisation.surplus - static_cast<double>(organisation.idealInSlot);
    organisation.lost += std::max(0.0, -balance);
    organisation.surplus = std::clamp(balance, 0.0, organisation.cap.depth() - std::max(1.0, organisation.cap.burst));
    organisation.idealInSlot = 0;
    organisation.servedInSlot = 0;
    organisation.slotEnd = m_now + window;
}

void simulated_usage::offered(std::size_t organisation)
{
    auto &target = m_organisations[organisation];
    if (m_now >= target.slotEnd) {
        endSlot(target);
    }
    const bool changing = m_now - target.capChangedAt < adoptionTime;
    const auto rate = changing ? std::min(target.cap.requestsPerSecond, target.earlierCap.requestsPerSecond) : target.cap.requestsPerSecond;
    const auto burst = changing ? std::min(target.cap.burst, target.earlierCap.burst) : target.cap.burst;
    const auto elapsed = std::chrono::duration<double>(m_now - target.levelAt).count();
    target.level = std::min(target.level + elapsed * rate, std::max(1.0, burst));
    target.levelAt = m_now;
    if (target.level >= 1) {
        target.level -= 1;
        ++target.idealInSlot;
    }
}

void simulated_usage::served(std::size_t organisation)
{
    auto &target = m_organisations[organisation];
    ++target.servedInSlot;
    target.served.push_back(m_now);
    while (target.served.front() <= m_now - window) {
        target.served.pop_front();
    }
    const auto boundOf = [](const usage_cap &cap) {
        const auto allowed = cap.requestsPerSecond * std::chrono::duration<double>(window).count() + cap.burst;
        return allowed * (1 + overshoot) + slack;
    };
    auto bound = boundOf(target.cap);
    if (m_now - target.capChangedAt < adoptionTime + window) {
        bound = std::max(bound, boundOf(target.earlierCap));
    }
    const auto share = static_cast<double>(target.served.size()) / bound;
    target.worst = std::max(target.worst, share);
    if (share > 1 && m_firstViolation.empty()) {
        m_firstViolation = target.cap.organisation + " with a rate of " + std::to_string(target.cap.requestsPerSecond) + "/s ran "
            + std::to_string(target.served.size()) + " requests in a window with a bound of " + std::to_string(bound) + " at "
            + std::to_string(std::chrono::duration<double>(m_now.time_since_epoch()).count()) + " s";
    }
}

const usage_cap &simulated_usage::capAt(std::size_t host, std::size_t organisation) const
{
    const auto &target = m_organisations[organisation];
    const auto delay = adoptionTime * static_cast<std::int64_t>(host * 37 % 101) / 100;
    return m_now - target.capChangedAt < delay ? target.earlierCap : target.cap;
}

void simulated_usage::resetCounts()
{
    for (auto &each : m_organisations) {
        endSlot(each);
        each.within = 0;
        each.lost = 0;
    }
}

double simulated_usage::worst() const
{
    double result = 0;
    for (const auto &each : m_organisations) {
        result = std::max(result, each.worst);
    }
    return result;
}

double simulated_usage::lostShare(double fromRate, double toRate)
{
    double within = 0;
    double lost = 0;
    for (auto &each : m_organisations) {
        endSlot(each);
    }
    for (const auto &each : m_organisations) {
        if (each.usualRate >= fromRate && each.usualRate < toRate) {
            within += each.within;
            lost += each.lost;
        }
    }
    return within > 0 ? lost / within : 0;
}

std::optional<std::size_t> simulated_usage::ownerOf(std::size_t organisation, std::size_t viewer) const
{
    const auto &place = m_hosts[viewer]->fleet.placeOf(m_organisations[organisation].cap.organisation);
    return place.owner ? std::optional<std::size_t>(std::stoul(place.owner->address)) : std::nullopt;
}

} // namespace orioledrum
