#include <fakes/fake_fleet.h>

#include <config/route_table.h>

#include <algorithm>
#include <cmath>

namespace orioledrum
{

namespace
{

const service_id service("s");
/// One way between a host and a backend server, as on a network within a zone.
constexpr std::chrono::microseconds networkTime{500};
constexpr double coldWorkFactor = 3;

std::chrono::microseconds scaled(std::chrono::microseconds time, double factor)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

} // namespace

fake_fleet::fake_fleet(std::uint64_t seed, bool learns, std::vector<fake_server> servers, fake_demand demand)
    : m_random(seed)
    , m_demand(demand)
    , m_hosts(demand.hosts)
{
    route_service limits;
    limits.id = service;
    const auto table = *route_table::create(1, {}, {limits}, {});
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        replica_registry_settings settings;
        settings.localZone = zone_id("z");
        settings.extraCalls = {0.2, 58};
        settings.learnedLimits = learns;
        auto &registry = m_hosts[i].registry;
        registry = std::make_unique<replica_registry>(settings, random_source(seed * 1000 + i));
        registry->setRouteTable(table);
        for (std::size_t server = 0; server < servers.size(); ++server) {
            replica_entry entry;
            entry.id = backend_id("s-" + std::to_string(server));
            entry.service = service;
            entry.address = "127.0.0.1:1";
            entry.zone = zone_id("z");
            entry.slots = servers[server].slots;
            entry.coldRemaining = servers[server].cold;
            registry->put(entry, m_now);
        }
    }
    for (auto &server : servers) {
        m_servers.emplace_back().behaviour = std::move(server);
    }
}

void fake_fleet::run()
{
    schedule(m_now, [this] { decide(); });
    while (!m_events.empty()) {
        auto next = m_events.extract(m_events.begin());
        m_now = next.key();
        next.mapped()();
    }
}

void fake_fleet::decide()
{
    if (m_now - start() >= m_demand.duration) {
        return;
    }
    const double gap = -std::log(1 - m_random.nextDouble()) / m_demand.callsPerSecond;
    schedule(m_now + scaled(std::chrono::seconds(1), gap), [this] { decide(); });

    call_state call;
    call.host = m_random.below(m_hosts.size());
    call.decidedAt = m_now;
    auto &host = m_hosts[call.host];
    const auto unqueued = host.profile.unqueuedLatency(m_now);
    // The rule of gather_run::admit() for one shard.
    const auto expected = host.registry->expectedTime(service, unqueued, m_now);
    constexpr double refuseFactor = 1.25;
    if (!expected || *expected > scaled(m_demand.target, refuseFactor)) {
        m_calls.push_back(call);
        return;
    }
    replica_registry::selection_criteria criteria;
    criteria.service = &service;
    criteria.unqueuedLatency = unqueued;
    const auto chosen = host.registry->choose(criteria, m_now);
    if (!chosen) {
        m_calls.push_back(call);
        return;
    }
    call.server = static_cast<std::size_t>(std::stoul(chosen->entry().id.str().substr(2)));
    call.attempt = host.attempts++;
    call.expected = chosen->latencyAtNormalSpeed(unqueued, m_now);
    chosen->callSent(call.attempt, call.expected, m_now);
    const auto index = m_calls.size();
    m_calls.push_back(call);
    schedule(m_now + networkTime, [this, index] { arrive(index); });
    schedule(m_now + m_demand.deadline, [this, index] { end(index, attempt_end::timedOut); });
}

void fake_fleet::arrive(std::size_t call)
{
    const auto server = *m_calls[call].server;
    m_servers[server].queue.push_back(call);
    begin(server);
}

void fake_fleet::begin(std::size_t server)
{
    auto &state = m_servers[server];
    while (state.running < state.behaviour.slots && !state.queue.empty()) {
        const auto call = state.queue.front();
        state.queue.pop_front();
        if (m_calls[call].ended) {
            continue; // Its deadline has passed.
        }
        ++state.running;
        const auto work = scaled(workTime, (0.5 + m_random.nextDouble()) * workFactor(state) * state.behaviour.workFactor);
        schedule(skipPauses(state.behaviour, m_now, work), [this, server, call] {
            auto &ended = m_servers[server];
            --ended.running;
            replica_load load;
            load.running = ended.running;
            load.waiting = static_cast<std::uint32_t>(ended.queue.size());
            load.slots = ended.behaviour.slots;
            if (ended.behaviour.reportsWorkTime) {
                load.workTimePercent = static_cast<std::uint32_t>(100 * workFactor(ended));
            }
            const auto reported = ended.behaviour.reportsLoad ? std::optional(load) : std::nullopt;
            schedule(m_now + networkTime, [this, call, reported] { answer(call, reported); });
            begin(server);
        });
    }
}

void fake_fleet::answer(std::size_t call, std::optional<replica_load> load)
{
    auto &state = m_calls[call];
    if (state.ended) {
        return;
    }
    if (load) {
        replicaOf(state.host, *state.server)->setReportedLoad(*load, m_now);
    }
    state.latency = std::chrono::duration_cast<std::chrono::microseconds>(m_now - state.decidedAt);
    m_hosts[state.host].profile.record(*state.latency, m_now);
    end(call, attempt_end::served);
}

void fake_fleet::end(std::size_t call, attempt_end end)
{
    auto &state = m_calls[call];
    if (std::exchange(state.ended, true)) {
        return;
    }
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(m_now - state.decidedAt);
    replicaOf(state.host, *state.server)->callEnded(state.attempt, end, latency, state.expected, m_now);
}

double fake_fleet::workFactor(const server_state &server) const
{
    double factor = 1;
    for (const auto &spell : server.behaviour.spells) {
        if (spell.workFactor > 0 && m_now >= spell.from && m_now < spell.to) {
            factor *= spell.workFactor;
        }
    }
    if (server.behaviour.fullFrom > 0 && server.running >= server.behaviour.fullFrom) {
        factor *= server.behaviour.fullFactor;
    }
    return m_now < start() + server.behaviour.cold ? factor * coldWorkFactor : factor;
}

time_point fake_fleet::skipPauses(const fake_server &server, time_point from, std::chrono::microseconds work)
{
    time_point to = from + work;
    for (const auto &spell : server.spells) { // In the order of time.
        if (spell.workFactor == 0 && spell.from < to && spell.to > from) {
            to += spell.to - std::max(spell.from, from);
        }
    }
    return to;
}

replica_registry::replica_ptr fake_fleet::replicaOf(std::size_t host, std::size_t server) const
{
    return m_hosts[host].registry->replicas(service)[server];
}

double fake_fleet::shareWithinTarget(std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    std::size_t all = 0;
    std::size_t good = 0;
    for (const auto &call : m_calls) {
        if (call.decidedAt >= start() + from && call.decidedAt < start() + to) {
            ++all;
            good += call.latency && *call.latency <= m_demand.target ? 1 : 0;
        }
    }
    return static_cast<double>(good) / static_cast<double>(std::max<std::size_t>(1, all));
}

std::size_t fake_fleet::calls(std::size_t server, std::chrono::milliseconds from, std::chrono::milliseconds to) const
{
    return static_cast<std::size_t>(std::count_if(m_calls.begin(), m_calls.end(), [&](const call_state &call) {
        return call.server == server && call.decidedAt >= start() + from && call.decidedAt < start() + to;
    }));
}

std::vector<fake_spell> noiseSpells(std::uint64_t seed, std::chrono::milliseconds duration)
{
    constexpr std::chrono::milliseconds length{600};
    constexpr double share = 0.15;
    random_source random(seed);
    std::vector<fake_spell> spells;
    for (auto at = fake_fleet::start();;) {
        at += scaled(length, -std::log(1 - random.nextDouble()) * (1 - share) / share);
        if (at >= fake_fleet::start() + duration) {
            return spells;
        }
        spells.push_back({at, at + length, 2.5});
        at += length;
    }
}

std::vector<fake_spell> pauses(std::uint64_t seed, std::chrono::milliseconds duration)
{
    random_source random(seed);
    std::vector<fake_spell> spells;
    for (auto at = fake_fleet::start();;) {
        at += std::chrono::milliseconds(2400 + random.below(1200));
        if (at >= fake_fleet::start() + duration) {
            return spells;
        }
        spells.push_back({at, at + std::chrono::milliseconds(100 + random.below(50)), 0});
    }
}

} // namespace orioledrum
