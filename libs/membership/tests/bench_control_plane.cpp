// Prints the messages, bytes and processor time per second and host that heartbeats and leases need, for zones of 5, 50 and 390
// hosts. All hosts of one zone run in one process with simulated time and no network delay. Every message is encoded and decoded.

#include <membership/membership.h>
#include <ownership/lease_manager.h>

#include <wire/codec.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

struct zone_size {
    std::size_t zoneHosts;
    std::size_t otherHosts; ///< Number of hosts of other zones, which exist only in the host list.
    std::size_t groups; ///< Number of groups of backend servers in the zone.
};

struct counters {
    std::size_t messages = 0;
    std::size_t bytes = 0;
    double cpuSeconds = 0;

    void print(const char *part, std::size_t hosts, double seconds) const
    {
        const double perHost = 1.0 / (static_cast<double>(hosts) * seconds);
        std::printf("  %-10s %7.2f messages/s %8.0f bytes/s %8.3f ms/s processor time\n",
                    part,
                    static_cast<double>(messages) * perHost,
                    static_cast<double>(bytes) * perHost,
                    cpuSeconds * 1000 * perHost);
    }
};

double threadCpuSeconds()
{
    timespec spec{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spec);
    return static_cast<double>(spec.tv_sec) + static_cast<double>(spec.tv_nsec) * 1e-9;
}

/// Adds the processor time spent in its scope to the counters.
class cpu_timer
{
public:
    explicit cpu_timer(counters &target)
        : m_target(target)
        , m_begin(threadCpuSeconds())
    {
    }
    ~cpu_timer() { m_target.cpuSeconds += threadCpuSeconds() - m_begin; }
    cpu_timer(const cpu_timer &) = delete;
    cpu_timer &operator=(const cpu_timer &) = delete;

private:
    counters &m_target;
    double m_begin;
};

/// Encodes a message, counts the message and its bytes, and decodes it. @return The decoded copy.
template<typename Message>
Message encodeAndDecode(const Message &message, counters &count)
{
    const std::string bytes = encode(message);
    ++count.messages;
    count.bytes += bytes.size();
    return *decode<Message>(bytes);
}

class zone_simulation
{
public:
    explicit zone_simulation(const zone_size &size)
        : m_size(size)
        , m_random(1)
    {
        host_list list;
        list.revision = 1;
        for (std::size_t host = 0; host < size.zoneHosts + size.otherHosts; ++host) {
            const std::size_t zone = host < size.zoneHosts ? 0 : 1 + host % 9;
            list.hosts.push_back(
                {"host-" + std::to_string(host), host_kind::entryHost, zone_id("zone-" + std::to_string(zone)), address(host), false});
        }
        std::vector<backend_group> groups;
        for (std::size_t group = 0; group < size.groups; ++group) {
            std::vector<backend_id> backends;
            for (std::size_t backend = 0; backend < 6; ++backend) {
                backends.emplace_back("backend-" + std::to_string(group * 6 + backend));
            }
            const service_id service("service-" + std::to_string(group));
            groups.push_back(partitionIntoGroups(service, zone_id("zone-0"), backends).front());
        }
        for (std::size_t host = 0; host < size.zoneHosts; ++host) {
            membership_settings settings;
            settings.self = entry_host_id(list.hosts[host].id);
            settings.zone = zone_id("zone-0");
            settings.address = address(host);
            m_byAddress[settings.address] = host;
            settings.incarnation = incarnation_id(m_random.hexId());
            m_members.push_back(std::make_unique<membership>(settings, random_source(m_random.next()), m_now));
            m_leases.push_back(
                std::make_unique<lease_manager>(lease_identity{settings.self, settings.zone, settings.incarnation}, lease_timing(), m_now));
            m_members.back()->setHostList(list, m_now);
            m_leases.back()->setHostList(makeHostListView(list), m_now);
            m_leases.back()->setGroups(groups, m_now);
        }
    }

    void run(std::chrono::milliseconds duration)
    {
        const time_point end = m_now + duration;
        for (; m_now < end; m_now += 100ms) {
            for (std::size_t host = 0; host < m_size.zoneHosts; ++host) {
                membership_actions heartbeat;
                {
                    const cpu_timer scope(heartbeats);
                    heartbeat = m_members[host]->tick(m_now);
                }
                performActions(host, heartbeat);
                lease_actions lease;
                {
                    const cpu_timer scope(leases);
                    lease = m_leases[host]->tick(m_now);
                }
                performActions(host, lease);
            }
        }
    }

    std::size_t leasesHeld() const
    {
        std::size_t count = 0;
        for (const auto &manager : m_leases) {
            count += manager->heldGroups(m_now).size();
        }
        return count;
    }

    std::size_t entriesNotLive() const
    {
        std::size_t count = 0;
        for (const auto &instance : m_members) {
            for (const member &entry : instance->view()->members) {
                count += entry.state == host_state::live ? 0U : 1U;
            }
        }
        return count;
    }

    counters heartbeats;
    counters leases;

private:
    static std::string address(std::size_t host)
    {
        return "10.0." + std::to_string(host / 256) + "." + std::to_string(host % 256) + ":7000";
    }

    std::size_t indexOf(const std::string &name) const { return static_cast<std::size_t>(std::stoul(name.substr(5))); }

    void performActions(std::size_t host, const membership_actions &actions)
    {
        for (const membership_action &action : actions) {
            if (const auto *changed = std::get_if<host_state_changed>(&action)) {
                const cpu_timer scope(leases);
                m_leases[host]->setPeerState(changed->host, changed->state, m_now);
            } else if (const auto *send = std::get_if<send_digest>(&action)) {
                const auto to = m_byAddress.find(send->address);
                exchangeDigests(host, to == m_byAddress.end() ? m_size.zoneHosts : to->second, send->message);
            }
        }
    }

    /// Sends a digest and the answer to it.
    /// @param to Index of the receiver; m_size.zoneHosts for a receiver in another zone.
    void exchangeDigests(std::size_t host, std::size_t to, const digest &message)
    {
        membership_actions atPeer;
        membership_actions atHost;
        {
            const cpu_timer scope(heartbeats);
            digest received = encodeAndDecode(message, heartbeats);
            if (to == m_size.zoneHosts) {
                // Hosts of other zones contact this zone as often as its hosts contact them. In place of the digest to another
                // zone, a random host of this zone receives a digest of the same size from a random host of another zone.
                to = static_cast<std::size_t>(m_random.below(m_size.zoneHosts));
                const std::size_t outside = m_size.zoneHosts + static_cast<std::size_t>(m_random.below(m_size.otherHosts));
                received.sender.host = entry_host_id("host-" + std::to_string(outside));
                received.sender.zone = zone_id("zone-" + std::to_string(1 + outside % 9));
                received.sender.address = address(outside);
                received.sender.heartbeat = static_cast<std::uint64_t>(m_now.time_since_epoch() / 1ms);
                encodeAndDecode(m_members[to]->receiveDigest(received, m_now, atPeer), heartbeats);
            } else {
                const digest answer = encodeAndDecode(m_members[to]->receiveDigest(received, m_now, atPeer), heartbeats);
                atHost = m_members[host]->receiveAnswer(answer, m_now);
            }
        }
        performActions(to, atPeer);
        performActions(host, atHost);
    }

    void performActions(std::size_t host, const lease_actions &actions)
    {
        for (const lease_action &action : actions) {
            const auto *send = std::get_if<send_lease_batch>(&action);
            if (send == nullptr) {
                continue;
            }
            const std::size_t to = indexOf(send->to.str());
            if (to >= m_size.zoneHosts) {
                continue;
            }
            lease_actions atPeer;
            lease_actions atHost;
            {
                const cpu_timer scope(leases);
                const lease_batch received = encodeAndDecode(send->batch, leases);
                const entry_host_id from("host-" + std::to_string(host));
                const lease_batch_answer answer = encodeAndDecode(m_leases[to]->receiveBatch(from, received, m_now, atPeer), leases);
                atHost = m_leases[host]->receiveAnswers(send->to, answer, m_now);
            }
            performActions(to, atPeer);
            performActions(host, atHost);
        }
    }

    zone_size m_size;
    random_source m_random;
    std::unordered_map<std::string, std::size_t> m_byAddress;
    time_point m_now{1000s};
    std::vector<std::unique_ptr<membership>> m_members;
    std::vector<std::unique_ptr<lease_manager>> m_leases;
};

void report(const zone_size &size)
{
    zone_simulation zone(size);
    zone.run(20s);
    zone.heartbeats = {};
    zone.leases = {};
    constexpr double seconds = 10;
    zone.run(10s);
    std::printf("zone of %zu hosts, %zu hosts in other zones, %zu groups; %zu leases held, %zu entries not live\n",
                size.zoneHosts,
                size.otherHosts,
                size.groups,
                zone.leasesHeld(),
                zone.entriesNotLive());
    zone.heartbeats.print("heartbeats", size.zoneHosts, seconds);
    zone.leases.print("leases", size.zoneHosts, seconds);
}

/// Prints the processor time that a lease manager needs to adopt a changed host list, for the largest fleet in the design: 3,900
/// hosts and 4,000 groups in 10 zones.
void reportHostListChange()
{
    const time_point now{1000s};
    std::vector<backend_group> groups;
    for (std::size_t zone = 0; zone < 10; ++zone) {
        for (std::size_t group = 0; group < 400; ++group) {
            const service_id service("service-" + std::to_string(group));
            groups.push_back(partitionIntoGroups(service, zone_id("zone-" + std::to_string(zone)), {backend_id("b")}).front());
        }
    }
    host_list list;
    for (std::size_t host = 0; host < 3900; ++host) {
        list.hosts.push_back(
            {"host-" + std::to_string(host), host_kind::entryHost, zone_id("zone-" + std::to_string(host % 10)), "", false});
    }
    list.revision = 1;
    lease_manager manager({entry_host_id("host-0"), zone_id("zone-0"), incarnation_id("1")}, lease_timing(), now);
    manager.setGroups(groups, now);
    manager.setHostList(makeHostListView(list), now);
    constexpr int changes = 5;
    const double begin = threadCpuSeconds();
    for (int change = 0; change < changes; ++change) {
        ++list.revision;
        list.hosts.back().id += "x";
        manager.setHostList(makeHostListView(list), now + std::chrono::seconds(20 * change));
    }
    std::printf("one change of a list of 3900 hosts with 4000 groups: %.1f ms processor time\n",
                (threadCpuSeconds() - begin) * 1000 / changes);
}

} // namespace

int main()
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    report({5, 0, 50});
    report({50, 0, 50});
    report({390, 3510, 400});
    reportHostListChange();
    return 0;
}
