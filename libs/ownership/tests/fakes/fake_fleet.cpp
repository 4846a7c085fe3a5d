#include "tests/fakes/fake_fleet.h"

#include <algorithm>
#include <utility>

namespace orioledrum
{

using namespace std::chrono_literals;

namespace
{

entry_host_id hostName(std::size_t index)
{
    return entry_host_id("h" + std::to_string(index));
}

std::size_t hostIndex(const entry_host_id &host)
{
    return static_cast<std::size_t>(std::stoul(host.str().substr(1)));
}

zone_id zoneName(std::size_t index)
{
    return zone_id("z" + std::to_string(index));
}

void sortById(host_list_view &hosts)
{
    std::sort(hosts.members.begin(), hosts.members.end(), [](const host_list_member &left, const host_list_member &right) {
        return left.host < right.host;
    });
}

} // namespace

fake_fleet::fake_fleet(const fleet_options &options)
    : m_options(options)
    , m_random(options.seed)
{
    for (std::size_t zone = 0; zone < options.zones; ++zone) {
        for (const std::string service : {"orders", "parts"}) {
            for (backend_group &group : partitionIntoGroups(service_id(service), zoneName(zone), {backend_id("b0"), backend_id("b1")})) {
                m_groups.push_back(std::move(group));
            }
        }
    }
    m_hosts.resize(options.hosts);
    m_hostList.revision = 1;
    for (std::size_t host = 0; host < options.hosts; ++host) {
        m_hostList.members.push_back({hostName(host), zoneName(zoneOf(host))});
        m_hosts[host].clockErrorPpm = options.clockDrift ? (m_random.below(2) == 0 ? 5000 : -5000) : 0;
        m_hosts[host].clockOffset = std::chrono::seconds(1000 * (host + 1));
    }
    sortById(m_hostList);
    for (std::size_t host = 0; host < options.hosts; ++host) {
        schedule(std::chrono::milliseconds(m_random.below(200)), [this, host] { start(host); });
    }
}

void fake_fleet::schedule(duration when, std::function<void()> handler)
{
    m_events.push({when, m_nextSequence++, std::move(handler)});
}

time_point fake_fleet::localTime(std::size_t host) const
{
    const host_process &process = m_hosts[host];
    return time_point(process.clockOffset + m_now + duration(m_now.count() / 1000000 * process.clockErrorPpm));
}

fake_fleet::duration fake_fleet::toSimulationTime(std::size_t host, time_point time) const
{
    const host_process &process = m_hosts[host];
    const double passed = static_cast<double>((time.time_since_epoch() - process.clockOffset).count());
    return duration(static_cast<std::int64_t>(passed / (1.0 + static_cast<double>(process.clockErrorPpm) * 1e-6)));
}

bool fake_fleet::zonesConnected(std::size_t left, std::size_t right) const
{
    return !m_partitionedZones.contains(std::minmax(left, right));
}

bool fake_fleet::connected(std::size_t left, std::size_t right) const
{
    return zonesConnected(zoneOf(left), zoneOf(right)) && !m_partitionedHosts.contains(std::minmax(left, right));
}

fake_fleet::duration fake_fleet::randomDelay()
{
    const bool slow = m_now >= m_lossFreeUntil && m_random.below(100) < m_options.slowPercent;
    const duration limit = slow ? duration(2s) : m_options.maxDelay;
    return duration(100us) + duration(static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(limit.count()))));
}

std::string fake_fleet::processName(std::size_t host) const
{
    return hostName(host).str() + "#" + std::to_string(m_hosts[host].startCount);
}

void fake_fleet::runOnHost(std::size_t host, std::uint64_t startCount, const std::function<void()> &handler)
{
    host_process &process = m_hosts[host];
    if (process.manager == nullptr || process.startCount != startCount) {
        return;
    }
    if (process.paused) {
        process.inbox.push_back([this, host, startCount, handler] { runOnHost(host, startCount, handler); });
        return;
    }
    handler();
}

void fake_fleet::deliver(std::size_t from, std::size_t to, const std::function<void()> &handler)
{
    if (!connected(from, to)) {
        return;
    }
    const bool lossFree = m_now < m_lossFreeUntil;
    const std::size_t copies = m_random.below(100) < m_options.duplicatePercent ? 2 : 1;
    for (std::size_t copy = 0; copy < copies; ++copy) {
        if (!lossFree && m_random.below(100) < m_options.lossPercent) {
            continue;
        }
        schedule(m_now + randomDelay(), [this, from, to, handler] {
            if (connected(from, to)) {
                runOnHost(to, m_hosts[to].startCount, handler);
            }
        });
    }
}

lease_batch_answer fake_fleet::answerBatch(std::size_t from, std::size_t to, lease_batch batch)
{
    const revision_number newest = m_hostList.revision;
    for (lease_request &request : batch.requests) {
        if (m_options.disabledMechanism == disabled_mechanism::oldHostListAccepted) {
            request.hostListRevision = std::max(request.hostListRevision, newest);
        }
    }
    for (lease_release &release : batch.releases) {
        if (m_options.disabledMechanism == disabled_mechanism::releaseWithoutSequence) {
            release.sequence = ~std::uint64_t{0};
        }
    }
    lease_actions actions;
    // The answers are then changed as if the host lacked the disabled mechanism.
    lease_batch_answer answer = m_hosts[to].manager->receiveBatch(hostName(from), batch, localTime(to), actions);
    for (std::size_t index = 0; index < answer.answers.size(); ++index) {
        lease_answer &leaseAnswer = answer.answers[index];
        const bool hasHolder = !leaseAnswer.holder.empty();
        const bool twice = m_options.disabledMechanism == disabled_mechanism::grantsTwice && hasHolder;
        const bool shares = m_options.disabledMechanism == disabled_mechanism::grantsDuringShares
            && m_hosts[to].manager->table().read()->shareDivisor(leaseAnswer.group, localTime(to), time_point{}) > 0;
        const bool isolated =
            m_options.disabledMechanism == disabled_mechanism::grantsIsolatedWhenConnected && batch.requests[index].isolated && !hasHolder;
        leaseAnswer.granted = leaseAnswer.granted || twice || shares || isolated;
        leaseAnswer.isolated = leaseAnswer.isolated || isolated;
        leaseAnswer.hostListRevision =
            m_options.disabledMechanism == disabled_mechanism::oldHostListAccepted ? 0 : leaseAnswer.hostListRevision;
    }
    performActions(to, actions);
    return answer;
}

void fake_fleet::sendBatch(std::size_t from, std::size_t to, lease_batch batch)
{
    if (m_options.disabledMechanism == disabled_mechanism::releaseLost) {
        batch.releases.clear();
    }
    const std::uint64_t senderStartCount = m_hosts[from].startCount;
    deliver(from, to, [this, from, to, senderStartCount, batch = std::move(batch)] {
        lease_batch_answer answer = answerBatch(from, to, batch);
        recordMessage(to, from);
        attemptCalls(to);
        deliver(to, from, [this, from, to, senderStartCount, answer = std::move(answer)] {
            if (m_hosts[from].startCount != senderStartCount) {
                return;
            }
            performActions(from, m_hosts[from].manager->receiveAnswers(hostName(to), answer, localTime(from)));
            recordMessage(from, to);
            if (m_options.disabledMechanism == disabled_mechanism::countFromReceipt) {
                const auto table = m_hosts[from].manager->table().read();
                for (const lease_answer &leaseAnswer : answer.answers) {
                    if (leaseAnswer.granted && table->holds(leaseAnswer.group, localTime(from))) {
                        table->leaseState(leaseAnswer.group)
                            ->extend(localTime(from) + m_options.timing.lease * m_options.timing.holderPercent / 100);
                    }
                }
            }
            attemptCalls(from);
        });
    });
}

void fake_fleet::performActions(std::size_t host, const lease_actions &actions)
{
    for (const lease_action &action : actions) {
        if (const auto *batch = std::get_if<send_lease_batch>(&action)) {
            if (!batch->batch.releases.empty()) {
                m_lastRelease = m_now;
            }
            sendBatch(host, hostIndex(batch->to), batch->batch);
        } else if (const auto *handover = std::get_if<handover_started>(&action)) {
            m_handovers[host].insert(handover->group);
        } else if (const auto *gained = std::get_if<lease_gained>(&action)) {
            m_isolatedLeasesGained += gained->isolated ? 1U : 0U;
        } else if (std::get_if<fetch_host_list_from_host>(&action) != nullptr) {
            const std::uint64_t startCount = m_hosts[host].startCount;
            schedule(m_now + randomDelay(),
                     [this, host, startCount] { runOnHost(host, startCount, [this, host] { adoptHostList(host); }); });
        }
    }
    if (!actions.empty()) {
        finishHandovers(host);
    }
}

void fake_fleet::finishHandovers(std::size_t host)
{
    auto &handovers = m_handovers[host];
    for (auto entry = handovers.begin(); entry != handovers.end();) {
        const group_id group = *entry;
        if (m_options.disabledMechanism != disabled_mechanism::releaseWithoutWaiting && m_hosts[host].callsEnd[group] > m_now) {
            ++entry;
            continue;
        }
        entry = handovers.erase(entry);
        for (const lease_action &action : m_hosts[host].manager->callsFinished(group, localTime(host))) {
            if (const auto *batch = std::get_if<send_lease_batch>(&action)) {
                m_lastRelease = m_now;
                sendBatch(host, hostIndex(batch->to), batch->batch);
            }
        }
    }
}

void fake_fleet::recordMessage(std::size_t host, std::size_t peer)
{
    m_hosts[host].lastMessageTimes[peer] = localTime(host);
}

void fake_fleet::tick(std::size_t host, std::uint64_t startCount)
{
    schedule(m_now + 100ms,
             [this, host, startCount] { runOnHost(host, startCount, [this, host, startCount] { tick(host, startCount); }); });
    host_process &process = m_hosts[host];
    const time_point now = localTime(host);
    for (std::size_t zone = 0; zone < m_options.zones; ++zone) {
        std::optional<time_point> &since = process.reachableSince[zone];
        if (!zonesConnected(zoneOf(host), zone)) {
            since.reset();
        } else if (!since) {
            since = now;
        }
    }
    for (const auto &[peer, lastMessageTime] : process.lastMessageTimes) {
        const auto silence = now - lastMessageTime;
        const host_state state = silence >= 10s ? host_state::down : silence >= 5s ? host_state::suspect : host_state::live;
        if (const auto known = process.states.find(peer); known == process.states.end() || known->second != state) {
            process.states[peer] = state;
            performActions(host, process.manager->setPeerState(hostName(peer), state, now));
        }
    }
    performActions(host, process.manager->tick(now));
    finishHandovers(host);
    attemptCalls(host);
}

void fake_fleet::heartbeat(std::size_t host, std::uint64_t startCount)
{
    schedule(m_now + 1s,
             [this, host, startCount] { runOnHost(host, startCount, [this, host, startCount] { heartbeat(host, startCount); }); });
    if (!m_zonesWithoutPlatform.contains(zoneOf(host))) {
        m_hosts[host].manager->recordPlatformAnswer(localTime(host));
    }
    for (std::size_t peer = 0; peer < m_hosts.size(); ++peer) {
        if (peer == host) {
            continue;
        }
        deliver(host, peer, [this, host, peer] {
            m_hosts[peer].manager->recordPeerMessage(hostName(host), localTime(peer));
            recordMessage(peer, host);
            deliver(peer, host, [this, host, peer] {
                m_hosts[host].manager->recordPeerMessage(hostName(peer), localTime(host));
                recordMessage(host, peer);
            });
        });
    }
}

void fake_fleet::attemptCalls(std::size_t host)
{
    const auto table = m_hosts[host].manager->table().read();
    for (const backend_group &group : m_groups) {
        attemptCall(host, group, *table);
    }
}

void fake_fleet::attemptCall(std::size_t host, const backend_group &group, const lease_table &table)
{
    host_process &process = m_hosts[host];
    const std::size_t zone = static_cast<std::size_t>(std::stoul(group.zone.str().substr(1)));
    if (!zonesConnected(zoneOf(host), zone)) {
        return;
    }
    const time_point now = localTime(host);
    const std::optional<time_point> reachable = process.reachableSince[zone];
    const std::optional<time_point> latest = table.latestCallEnd(group.id, now, reachable);
    double share = 1;
    time_point callEnd = latest.value_or(now);
    bool allowed = latest && table.maySend(group.id, callEnd, now, reachable);
    if (m_options.disabledMechanism == disabled_mechanism::callEndUnchecked && table.holds(group.id, now)) {
        allowed = true;
        callEnd = now + m_options.timing.maxCallDuration;
    }
    if (m_options.disabledMechanism == disabled_mechanism::checkBeforePause && !allowed && process.lastAllowedEnd.contains(group.id)) {
        // Simulates a thread that was paused between its check and its write.
        allowed = process.inbox.empty() ? false : true;
        callEnd = now + m_options.timing.maxCallDuration;
    }
    if (allowed) {
        process.lastAllowedEnd[group.id] = callEnd;
        m_otherZoneCalls += zone == zoneOf(host) ? 0U : 1U;
    } else {
        process.lastAllowedEnd.erase(group.id);
        const std::uint32_t divisor = table.shareDivisor(group.id, now, reachable);
        if (divisor == 0) {
            return;
        }
        share = 1.0 / divisor;
        callEnd = now + m_options.timing.maxCallDuration;
        ++m_shareCalls;
    }
    // Most calls are answered immediately. The backend server works on the others until the deadline plus the deadline grace.
    const bool answered = m_random.below(4) != 0;
    const duration end = answered ? m_now + duration(1ms) : toSimulationTime(host, callEnd + 250ms);
    process.callsEnd[group.id] = std::max(process.callsEnd[group.id], end);
    m_calls.add(group.id, processName(host), m_now, end, share);
}

void fake_fleet::adoptHostList(std::size_t host)
{
    performActions(host, m_hosts[host].manager->setHostList(m_hostList, localTime(host)));
}

void fake_fleet::start(std::size_t host)
{
    host_process &process = m_hosts[host];
    if (process.manager != nullptr) {
        return;
    }
    ++process.startCount;
    process.paused = false;
    process.leaving = false;
    process.inbox.clear();
    process.lastMessageTimes.clear();
    process.states.clear();
    process.reachableSince.clear();
    process.callsEnd.clear();
    process.lastAllowedEnd.clear();
    m_handovers[host].clear();
    const lease_identity identity{hostName(host), zoneName(zoneOf(host)), incarnation_id(processName(host))};
    process.manager = std::make_unique<lease_manager>(identity, m_options.timing, localTime(host));
    for (std::size_t peer = 0; peer < m_hosts.size(); ++peer) {
        if (peer != host) {
            process.lastMessageTimes[peer] = localTime(host);
        }
    }
    performActions(host, process.manager->setGroups(m_groups, localTime(host)));
    adoptHostList(host);
    const std::uint64_t startCount = process.startCount;
    schedule(m_now + std::chrono::milliseconds(m_random.below(100)),
             [this, host, startCount] { runOnHost(host, startCount, [this, host, startCount] { tick(host, startCount); }); });
    schedule(m_now + std::chrono::milliseconds(m_random.below(1000)),
             [this, host, startCount] { runOnHost(host, startCount, [this, host, startCount] { heartbeat(host, startCount); }); });
}

void fake_fleet::kill(std::size_t host)
{
    m_hosts[host].manager.reset();
    m_hosts[host].inbox.clear();
}

void fake_fleet::leave(std::size_t host)
{
    host_process &process = m_hosts[host];
    if (process.manager == nullptr || process.paused || process.leaving) {
        return;
    }
    process.leaving = true;
    performActions(host, process.manager->leave(localTime(host)));
    finishHandovers(host);
}

void fake_fleet::pause(std::size_t host, duration length)
{
    host_process &process = m_hosts[host];
    if (process.manager == nullptr || process.paused) {
        return;
    }
    process.paused = true;
    const std::uint64_t startCount = process.startCount;
    schedule(m_now + length, [this, host, startCount] {
        if (m_hosts[host].manager != nullptr && m_hosts[host].startCount == startCount) {
            resume(host);
        }
    });
}

void fake_fleet::resume(std::size_t host)
{
    host_process &process = m_hosts[host];
    process.paused = false;
    // Simulates a request thread that sends calls before the control thread has detected the pause.
    attemptCalls(host);
    std::vector<std::function<void()>> inbox = std::move(process.inbox);
    process.inbox.clear();
    for (const auto &handler : inbox) {
        handler();
    }
    if (process.manager != nullptr && m_options.resyncAfterPause) {
        // Simulates a host that fetches the host list after a pause, as docs/ownership.md assumes.
        adoptHostList(host);
    }
}

void fake_fleet::partitionZones(const std::set<std::size_t> &side, const std::set<std::size_t> &withPlatform)
{
    for (std::size_t left = 0; left < m_options.zones; ++left) {
        for (std::size_t right = left + 1; right < m_options.zones; ++right) {
            if (side.contains(left) != side.contains(right)) {
                m_partitionedZones.insert({left, right});
            }
        }
        if (!withPlatform.contains(left)) {
            m_zonesWithoutPlatform.insert(left);
        }
    }
}

void fake_fleet::partitionHosts(std::size_t left, std::size_t right)
{
    m_partitionedHosts.insert(std::minmax(left, right));
}

void fake_fleet::heal()
{
    m_partitionedZones.clear();
    m_partitionedHosts.clear();
    m_zonesWithoutPlatform.clear();
    m_lossFreeUntil = m_now + 2s;
}

void fake_fleet::publishHostList(const std::set<std::size_t> &members)
{
    host_list_view next;
    next.revision = m_hostList.revision + 1;
    for (const std::size_t host : members) {
        next.members.push_back({hostName(host), zoneName(zoneOf(host))});
    }
    sortById(next);
    m_hostList = next;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const std::uint64_t startCount = m_hosts[host].startCount;
        schedule(m_now + std::chrono::milliseconds(m_random.below(3000)), [this, host, startCount, next] {
            if (m_hosts[host].paused && !m_options.resyncAfterPause) {
                return;
            }
            runOnHost(
                host, startCount, [this, host, next] { performActions(host, m_hosts[host].manager->setHostList(next, localTime(host))); });
        });
    }
}

std::optional<std::size_t> fake_fleet::sender(const group_id &group) const
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const host_process &process = m_hosts[host];
        if (process.manager == nullptr || process.paused) {
            continue;
        }
        const std::size_t zone = static_cast<std::size_t>(std::stoul(zoneOfGroup(group).str().substr(1)));
        const auto reachable = process.reachableSince.find(zone);
        const time_point now = localTime(host);
        if (zonesConnected(zoneOf(host), zone)
            && process.manager->table().read()->maySend(
                group, now + 50ms, now, reachable == process.reachableSince.end() ? std::nullopt : reachable->second)) {
            return host;
        }
    }
    return std::nullopt;
}

bool fake_fleet::callsInFlight(std::size_t host, const group_id &group) const
{
    const auto found = m_hosts[host].callsEnd.find(group);
    return found != m_hosts[host].callsEnd.end() && found->second > m_now;
}

void fake_fleet::runUntil(duration until)
{
    while (!m_events.empty() && m_events.top().at <= until) {
        const scheduled_event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.handler();
    }
    m_now = until;
}

void fake_fleet::randomFault()
{
    const std::size_t host = m_random.below(m_hosts.size());
    std::vector<std::function<void()>> faults;
    if (m_options.pauses) {
        faults.emplace_back([this, host] { pause(host, std::chrono::milliseconds(m_random.below(10000))); });
    }
    if (m_options.restarts && m_now >= m_hostListStableUntil) {
        faults.emplace_back([this, host] {
            kill(host);
            schedule(m_now + std::chrono::milliseconds(m_random.below(5000)), [this, host] { start(host); });
        });
    }
    if (m_options.handovers) {
        faults.emplace_back([this, host] {
            if (m_hosts[host].manager != nullptr && !m_hosts[host].paused) {
                const group_id group = m_groups[m_random.below(m_groups.size())].id;
                performActions(host, m_hosts[host].manager->beginHandover(group, localTime(host)));
                finishHandovers(host);
            }
        });
        faults.emplace_back([this, host] {
            leave(host);
            schedule(m_now + 4s + std::chrono::milliseconds(m_random.below(3000)), [this, host] {
                if (m_now >= m_hostListStableUntil) {
                    kill(host);
                    start(host);
                }
            });
        });
    }
    if (m_options.zonePartitions && m_options.zones > 1) {
        faults.emplace_back([this] {
            std::set<std::size_t> withPlatform;
            for (std::size_t zone = 0; zone < m_options.zones; ++zone) {
                if (m_random.below(2) == 0) {
                    withPlatform.insert(zone);
                }
            }
            partitionZones({m_random.below(m_options.zones)}, withPlatform);
            schedule(m_now + std::chrono::milliseconds(m_random.below(15000)), [this] { heal(); });
        });
    }
    if (m_options.arbitraryPartitions && m_hosts.size() > 1) {
        faults.emplace_back([this] {
            for (std::size_t left = 0; left < m_hosts.size(); ++left) {
                for (std::size_t right = left + 1; right < m_hosts.size(); ++right) {
                    if (m_random.below(2) == 0) {
                        partitionHosts(left, right);
                    }
                }
            }
            schedule(m_now + std::chrono::milliseconds(m_random.below(15000)), [this] { heal(); });
        });
    }
    if (m_options.hostListChanges && m_now >= m_hostListStableUntil) {
        faults.emplace_back([this] {
            std::set<std::size_t> members;
            for (std::size_t index = 0; index < m_hosts.size(); ++index) {
                if (m_random.below(3) != 0) {
                    members.insert(index);
                }
            }
            if (members.empty()) {
                members.insert(0);
            }
            publishHostList(members);
            m_hostListStableUntil = m_now + 6500ms;
        });
    }
    if (!faults.empty()) {
        faults[m_random.below(faults.size())]();
    }
}

void fake_fleet::scheduleFaults()
{
    // Faults may overlap in time.
    duration when = 5s;
    while (when < m_options.length) {
        schedule(when, [this] { randomFault(); });
        when += std::chrono::milliseconds(300 + m_random.below(4000));
    }
}

void fake_fleet::run()
{
    scheduleFaults();
    runUntil(m_options.length);
}

} // namespace orioledrum
