#pragma once

#include <base/random_source.h>
#include <spread/config_sync_machine.h>

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

/// Simulates the config_sync_machines of several hosts and a configuration service in simulated time. The network between the
/// hosts loses, duplicates and reorders messages. As in membership, each host sends its digest every second to three random
/// hosts of its zone and to one random host of other zones; each receiver answers with a digest.
class fake_fleet
{
public:
    struct options {
        std::size_t zones = 2;
        std::size_t hostsPerZone = 3;
        std::uint64_t seed = 1;
        double lossProbability = 0; ///< Probability that a message between hosts is lost.
        double duplicationProbability = 0; ///< Probability that a message that is not lost arrives twice.
        std::chrono::milliseconds maxDelay{5}; ///< Longest delay of a message between hosts or of an answer of the service.
    };

    explicit fake_fleet(options fleetOptions);

    /// Publishes the next revision at the service and answers all long polls with it.
    /// @param valid False for a revision that fails the configuration check.
    void publish(bool valid = true);
    /// Restarts a host with empty state.
    void restart(std::size_t host);
    /// Advances the simulated time.
    void run(std::chrono::milliseconds duration);

    [[nodiscard]] std::size_t size() const { return m_hosts.size(); }
    [[nodiscard]] const config_sync_machine &configSync(std::size_t host) const { return *m_hosts[host].configSync; }
    [[nodiscard]] revision_number revision(std::size_t host) const;
    /// @return True when the latest valid revision is active on every host and every host is ready.
    [[nodiscard]] bool converged() const;
    /// @return True when the same revision is active on all hosts.
    [[nodiscard]] bool allHaveSameRevision() const;
    [[nodiscard]] revision_number greatestActiveRevision() const;
    [[nodiscard]] bool latestIsValid() const { return m_latestRevision == m_latestValidRevision; }
    [[nodiscard]] revision_number latestValid() const { return m_latestValidRevision; }
    /// @return Number of calls made to the service by all hosts.
    [[nodiscard]] std::uint64_t serviceCalls() const { return m_serviceCalls; }
    /// @return Number of activations of a revision on all hosts.
    [[nodiscard]] std::uint64_t appliedCount() const { return m_appliedCount; }
    [[nodiscard]] time_point now() const { return m_now; }
    /// Whenever a host applies a revision, two checks are made: the revision is greater than the previous one of the host, and
    /// its files are those published with its number.
    /// @return The latest violation found; empty when there is none.
    [[nodiscard]] const std::string &violation() const { return m_violation; }

    std::set<std::size_t> disconnectedFromService; ///< Hosts whose calls to the service time out.
    std::set<std::size_t> disconnectedFromPeers; ///< Hosts that exchange no messages with other hosts.
    revision_number staleRevision = 0; ///< Unless 0, the service answers every call with this revision.

private:
    struct fleet_host {
        entry_host_id id;
        std::size_t zone = 0;
        std::unique_ptr<config_sync_machine> configSync;
        std::uint64_t incarnation = 0;
        time_point nextDigest;
    };
    /// A call that the service has not answered yet.
    struct service_call {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t callNumber = 0;
        revision_number after = 0;
        time_point until; ///< End of the long poll.
    };
    using delivery = std::function<void(fleet_host &)>;

    void start(std::size_t index);
    void tick();
    void carryOut(std::size_t index, const config_sync_actions &actions);
    void send(std::size_t from, const entry_host_id &to, const delivery &deliver);
    void deliverAfterDelay(std::size_t index, std::uint64_t incarnation, const delivery &deliver);
    /// @param answer True if the digest answers another digest; the receiver sends no answer to it.
    void sendDigest(std::size_t from, const entry_host_id &to, bool answer);
    void callService(std::size_t index, const fetch_config_action &action);
    void answerCall(const service_call &call);
    void checkApplied(std::size_t index, const configuration &value);
    [[nodiscard]] std::size_t indexOf(const entry_host_id &id) const;
    std::chrono::nanoseconds randomDelay();

    options m_options;
    random_source m_random;
    time_point m_now{std::chrono::hours(1)};
    std::vector<fleet_host> m_hosts;
    std::map<std::string, std::size_t> m_indexById;
    std::multimap<time_point, std::function<void()>> m_pendingEvents;
    std::vector<service_call> m_longPolls;
    std::map<revision_number, config_files> m_publishedFiles;
    revision_number m_latestRevision = 0;
    revision_number m_latestValidRevision = 0;
    std::map<std::size_t, revision_number> m_activeRevisions; ///< By host index; no entry until a started host applies one.
    std::uint64_t m_serviceCalls = 0;
    std::uint64_t m_appliedCount = 0;
    std::string m_violation;
};

/// @return A valid set of files. Two of them contain the revision number, so that a mixture of two revisions is detected.
config_files filesForRevision(revision_number number);

} // namespace orioledrum
