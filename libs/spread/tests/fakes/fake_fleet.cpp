#include "fake_fleet.h"

#include <algorithm>
#include <type_traits>

namespace orioledrum
{

namespace
{

using namespace std::chrono_literals;

/// Longest interval between ticks that config_sync_machine allows.
constexpr std::chrono::milliseconds tickInterval = 100ms;
constexpr std::chrono::milliseconds digestInterval = 1s;

} // namespace

config_files filesForRevision(revision_number number)
{
    const auto customer = R"({"customers": {"r)" + std::to_string(number) + R"(": {}}})";
    return {{"10.json", R"({"availabilityZones": {"a": {}},
                 "backendServers": {"b": {"zone": "a", "address": "10.0.0.1:80", "slots": 1, "connections": 1}},
                 "services": {"s": {"kind": "search", "layouts": {"1": {"shards": {"x": ["b"]}}}}}})"},
            {"20.json", customer},
            {"3" + std::to_string(number % 3) + ".json", "// also\n" + customer}};
}

fake_fleet::fake_fleet(options fleetOptions)
    : m_options(fleetOptions)
    , m_random(fleetOptions.seed)
{
    for (std::size_t zone = 0; zone < fleetOptions.zones; ++zone) {
        for (std::size_t number = 0; number < fleetOptions.hostsPerZone; ++number) {
            fleet_host newHost;
            newHost.id = entry_host_id("z" + std::to_string(zone) + "-h" + std::to_string(number));
            newHost.zone = zone;
            m_indexById[newHost.id.str()] = m_hosts.size();
            m_hosts.push_back(std::move(newHost));
        }
    }
    publish();
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        start(index);
    }
}

void fake_fleet::publish(bool valid)
{
    ++m_latestRevision;
    auto files = filesForRevision(m_latestRevision);
    if (valid) {
        m_latestValidRevision = m_latestRevision;
    } else {
        files["90.json"] = R"({"customers": 1})";
    }
    m_publishedFiles[m_latestRevision] = std::move(files);
    auto longPolls = std::exchange(m_longPolls, {});
    for (const auto &call : longPolls) {
        answerCall(call);
    }
}

void fake_fleet::restart(std::size_t index)
{
    start(index);
}

void fake_fleet::start(std::size_t index)
{
    auto &started = m_hosts[index];
    ++started.incarnation;
    started.nextDigest = m_now + std::chrono::milliseconds(m_random.below(1000));
    m_activeRevisions.erase(index);
    config_sync_settings settings;
    settings.self = started.id;
    settings.seed = m_random.next();
    started.configSync = std::make_unique<config_sync_machine>(settings, m_now);
    config_sync_peers hosts;
    for (const auto &other : m_hosts) {
        (other.zone == started.zone ? hosts.rankedZoneHosts : hosts.otherZoneHosts).push_back(other.id);
    }
    carryOut(index, started.configSync->setHosts(std::move(hosts), m_now));
}

void fake_fleet::run(std::chrono::milliseconds duration)
{
    const auto end = m_now + duration;
    while (m_now < end) {
        const auto target = std::min(end, m_now + tickInterval);
        while (!m_pendingEvents.empty() && m_pendingEvents.begin()->first <= target) {
            auto next = m_pendingEvents.extract(m_pendingEvents.begin());
            m_now = std::max(m_now, next.key());
            next.mapped()();
        }
        m_now = target;
        tick();
    }
}

void fake_fleet::tick()
{
    auto longPolls = std::exchange(m_longPolls, {});
    for (const auto &call : longPolls) {
        if (m_now >= call.until) {
            answerCall(call);
        } else {
            m_longPolls.push_back(call);
        }
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        auto &current = m_hosts[index];
        carryOut(index, current.configSync->onTick(m_now));
        if (m_now < current.nextDigest) {
            continue;
        }
        current.nextDigest += digestInterval;
        // The hosts of a zone are consecutive in m_hosts.
        const auto perZone = m_options.hostsPerZone;
        for (int count = 0; count < 3 && perZone > 1; ++count) {
            const auto other = (index % perZone + 1 + m_random.below(perZone - 1)) % perZone;
            sendDigest(index, m_hosts[current.zone * perZone + other].id, false);
        }
        if (m_options.zones > 1) {
            const auto outside = m_random.below(m_hosts.size() - perZone);
            sendDigest(index, m_hosts[((current.zone + 1) * perZone + outside) % m_hosts.size()].id, false);
        }
    }
}

void fake_fleet::carryOut(std::size_t index, const config_sync_actions &actions)
{
    for (const auto &action : actions) {
        std::visit(
            [this, index](const auto &item) {
                using type = std::decay_t<decltype(item)>;
                const auto self = m_hosts[index].id;
                if constexpr (std::is_same_v<type, fetch_config_action>) {
                    callService(index, item);
                } else if constexpr (std::is_same_v<type, send_push_action>) {
                    send(index, item.to, [this, self, message = item.message](fleet_host &to) {
                        carryOut(indexOf(to.id), to.configSync->onPush(self, message, m_now));
                    });
                } else if constexpr (std::is_same_v<type, send_pull_action>) {
                    send(index, item.to, [this, self, request = item.message](fleet_host &responder) {
                        const auto from = responder.id;
                        send(indexOf(from), self, [this, from, answer = responder.configSync->answerPull(request)](fleet_host &to) {
                            carryOut(indexOf(to.id), to.configSync->onPullAnswer(from, answer, m_now));
                        });
                    });
                } else if constexpr (std::is_same_v<type, send_digest_action>) {
                    sendDigest(index, item.to, false);
                } else if constexpr (std::is_same_v<type, apply_configuration_action>) {
                    checkApplied(index, *item.value);
                }
            },
            action);
    }
}

void fake_fleet::checkApplied(std::size_t index, const configuration &value)
{
    ++m_appliedCount;
    auto &activeRevision = m_activeRevisions[index];
    const auto name = m_hosts[index].id.str() + " applied revision " + std::to_string(value.revision());
    if (value.revision() <= activeRevision) {
        m_violation = name + " after " + std::to_string(activeRevision);
    }
    const auto published = m_publishedFiles.find(value.revision());
    if (published == m_publishedFiles.end() || hashOf(published->second) != value.hash()
        || *m_hosts[index].configSync->currentFiles() != published->second) {
        m_violation = name + " with files that were not published under this number";
    }
    activeRevision = value.revision();
}

void fake_fleet::sendDigest(std::size_t from, const entry_host_id &to, bool answer)
{
    if (m_hosts[from].id == to) {
        return;
    }
    digest message;
    message.sender.host = m_hosts[from].id;
    m_hosts[from].configSync->fillDigest(message, m_now);
    send(from, to, [this, message, answer](fleet_host &receiver) {
        const auto index = indexOf(receiver.id);
        if (!answer) {
            sendDigest(index, message.sender.host, true);
        }
        carryOut(index, receiver.configSync->onDigest(message, m_now));
    });
}

void fake_fleet::send(std::size_t from, const entry_host_id &to, const delivery &deliver)
{
    const auto target = indexOf(to);
    if (disconnectedFromPeers.contains(from) || disconnectedFromPeers.contains(target)) {
        return;
    }
    const int copies = m_random.nextDouble() < m_options.lossProbability ? 0
        : m_random.nextDouble() < m_options.duplicationProbability       ? 2
                                                                         : 1;
    for (int copy = 0; copy < copies; ++copy) {
        deliverAfterDelay(target, m_hosts[target].incarnation, deliver);
    }
}

void fake_fleet::deliverAfterDelay(std::size_t index, std::uint64_t incarnation, const delivery &deliver)
{
    m_pendingEvents.emplace(m_now + randomDelay(), [this, index, incarnation, deliver] {
        if (m_hosts[index].incarnation == incarnation) {
            deliver(m_hosts[index]);
        }
    });
}

void fake_fleet::callService(std::size_t index, const fetch_config_action &action)
{
    ++m_serviceCalls;
    const auto incarnation = m_hosts[index].incarnation;
    const service_call call{index, incarnation, action.call, action.after, m_now + action.wait};
    if (staleRevision != 0 || m_latestRevision > action.after || action.wait == 0ms || disconnectedFromService.contains(index)) {
        answerCall(call);
    } else {
        m_longPolls.push_back(call);
    }
}

void fake_fleet::answerCall(const service_call &call)
{
    if (disconnectedFromService.contains(call.host)) {
        m_pendingEvents.emplace(call.until + 1s, [this, call] {
            if (m_hosts[call.host].incarnation == call.incarnation) {
                carryOut(call.host, m_hosts[call.host].configSync->onServiceFailed(call.callNumber, m_now));
            }
        });
        return;
    }
    const auto number = staleRevision != 0 ? staleRevision : m_latestRevision;
    const bool unchanged = staleRevision == 0 && number <= call.after;
    deliverAfterDelay(call.host, call.incarnation, [this, call, number, unchanged](fleet_host &to) {
        auto &configSync = *to.configSync;
        carryOut(call.host,
                 unchanged ? configSync.onServiceUnchanged(call.callNumber, m_now)
                           : configSync.onServiceAnswer(call.callNumber, number, m_publishedFiles.at(number), m_now));
    });
}

revision_number fake_fleet::revision(std::size_t index) const
{
    const auto value = m_hosts[index].configSync->current();
    return value ? value->revision() : 0;
}

bool fake_fleet::converged() const
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (revision(index) != m_latestValidRevision || !m_hosts[index].configSync->ready()) {
            return false;
        }
    }
    return true;
}

revision_number fake_fleet::greatestActiveRevision() const
{
    revision_number greatest = 0;
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        greatest = std::max(greatest, revision(index));
    }
    return greatest;
}

bool fake_fleet::allHaveSameRevision() const
{
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        if (revision(index) != greatestActiveRevision()) {
            return false;
        }
    }
    return true;
}

std::size_t fake_fleet::indexOf(const entry_host_id &id) const
{
    return m_indexById.at(id.str());
}

std::chrono::nanoseconds fake_fleet::randomDelay()
{
    return std::chrono::nanoseconds(m_random.below(static_cast<std::uint64_t>(std::chrono::nanoseconds(m_options.maxDelay).count()) + 1));
}

} // namespace orioledrum
