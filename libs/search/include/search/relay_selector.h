#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <base/random_source.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// An entry host that can gather shards for other hosts.
struct relay_host {
    std::string address; ///< "ip:port" for traffic between entry hosts.
    zone_id zone;
};

/// Chooses the entry hosts that gather parts of a search for this host. Not thread-safe.
class relay_selector
{
public:
    /// Backoff after the first failure of a host; doubles with each further failure up to maxBackoff.
    static constexpr std::chrono::milliseconds initialBackoff{500};
    static constexpr std::chrono::milliseconds maxBackoff{4000};

    explicit relay_selector(random_source random);

    /// Replaces the list of other live hosts. Hosts that stay in the list keep their backoff state.
    void setHosts(const std::vector<relay_host> &hosts);

    /// Chooses a random host that is not in backoff.
    /// @param zones Availability zones to choose from. Each zone that has such a host is equally likely.
    /// @param excluded Addresses of hosts that must not be chosen.
    /// @return The host, or nothing when there is none.
    [[nodiscard]] std::optional<relay_host>
    choose(const std::vector<zone_id> &zones, time_point now, const std::vector<std::string> &excluded = {});

    /// Starts the backoff of a host that did not answer in time or could not be reached. Does nothing while its backoff is running.
    void failed(const std::string &address, time_point now);
    /// Resets the length of the next backoff of a host that answered; a running backoff continues.
    void answered(const std::string &address);

private:
    struct relay_state {
        zone_id zone;
        std::chrono::milliseconds nextBackoff = initialBackoff;
        time_point backoffUntil;
    };

    random_source m_random;
    std::map<std::string, relay_state> m_hosts;
};

} // namespace orioledrum
