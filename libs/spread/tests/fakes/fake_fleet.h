#pragma once

#include <base/random_source.h>
#include <spread/spread_machine.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace orioledrum
{

/// Several spread machines with a fake configuration service, joined by a fake network with fake time that loses,
/// duplicates and reorders messages. Digests travel as membership sends them: every second to three random hosts of
/// the zone and one elsewhere, each answered by a digest.
class fake_fleet
{
public:
    struct options {
        std::size_t zones = 2;
        std::size_t hostsPerZone = 3;
        std::uint64_t seed = 1;
        double loss = 0;
        double duplication = 0;
        std::chrono::milliseconds maxDelay{5};
    };

    explicit fake_fleet(options given);

    /// Publishes the next revision at the service.
    /// @param valid False for one that fails the check.
    void publish(bool valid = true);
    /// Loses the memory of a host.
    void restart(std::size_t host);
    /// Lets fake time pass.
    void run(std::chrono::milliseconds duration);

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] const spread_machine &machine(std::size_t host) const { return *m_hosts[host].machine; }
    [[nodiscard]] revision_number revision(std::size_t host) const;
    /// @return True when every host has the latest valid revision and is ready.
    [[nodiscard]] bool converged() const;
    /// @return True when all hosts have the same revision.
    [[nodiscard]] bool agreed() const;
    [[nodiscard]] revision_number greatestInForce() const;
    [[nodiscard]] bool latestIsValid() const { return m_latest == m_latestValid; }
    [[nodiscard]] revision_number latestValid() const { return m_latestValid; }
    [[nodiscard]] std::uint64_t serviceCalls() const { return m_serviceCalls; }
    [[nodiscard]] std::uint64_t applied() const { return m_applied; }
    [[nodiscard]] time_point now() const { return m_now; }
    /// @return Faults seen by the checks that run with every action; empty when there is none.
    [[nodiscard]] const std::string &violation() const { return m_violation; }

    std::set<std::size_t> cutFromService; ///< Hosts whose calls to the service get no answer.
    std::set<std::size_t> cutFromPeers; ///< Hosts that exchange no messages with other hosts.
    revision_number staleAt = 0; ///< When set, the service answers with this revision whatever is asked.

private:
    struct fleet_host {
        entry_host_id id;
        std::size_t zone = 0;
        std::unique_ptr<spread_machine> machine;
        std::uint64_t incarnation = 0;
        time_point nextDigest;
    };
    struct waiting_call {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t call = 0;
        revision_number after = 0;
        time_point until;
    };
    using delivery = std::function<void(fleet_host &)>;

    void start(std::size_t index);
    void tick();
    void carryOut(std::size_t index, const spread_actions &actions);
    void send(std::size_t from, const entry_host_id &to, const delivery &deliver);
    void later(std::size_t index, std::uint64_t incarnation, const delivery &deliver);
    void sendDigest(std::size_t from, const entry_host_id &to, bool answer);
    void callService(std::size_t index, const read_service_action &action);
    void answerCall(const waiting_call &call);
    void checkApplied(std::size_t index, const configuration &value);
    [[nodiscard]] std::size_t indexOf(const entry_host_id &id) const;
    std::chrono::nanoseconds delay();

    options m_options;
    random_source m_random;
    time_point m_now{std::chrono::hours(1)};
    std::vector<fleet_host> m_hosts;
    std::map<std::string, std::size_t> m_index;
    std::multimap<time_point, std::function<void()>> m_pending;
    std::vector<waiting_call> m_waiting;
    std::map<revision_number, config_files> m_revisions;
    revision_number m_latest = 0;
    revision_number m_latestValid = 0;
    std::map<std::size_t, revision_number> m_inForce; ///< By host, since its last restart.
    std::uint64_t m_serviceCalls = 0;
    std::uint64_t m_applied = 0;
    std::string m_violation;
};

/// @return A valid set of two files that both name the number, so that a mixture of two sets can be told.
config_files filesNumbered(revision_number number);

} // namespace orioledrum
