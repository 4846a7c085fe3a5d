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

/// An entry host that can gather for others.
struct relay_host {
    std::string address; ///< "ip:port" for traffic between entry hosts.
    zone_id zone;
};

/// Chooses the entry host that gathers from the backend servers of another availability zone. Not thread-safe.
class relay_selector
{
public:
    /// First time without work after a failure; doubles up to blockLongest.
    static constexpr std::chrono::milliseconds blockFirst{500};
    static constexpr std::chrono::milliseconds blockLongest{4000};

    explicit relay_selector(random_source random);

    /// Sets the other hosts that are live. What is known about hosts in both lists is kept.
    void setHosts(const std::vector<relay_host> &hosts);

    /// @param zones Availability zones that would do, all alike.
    /// @param taken Addresses of hosts that are not wanted.
    /// @return A host in one of them, or nothing.
    [[nodiscard]] std::optional<relay_host>
    choose(const std::vector<zone_id> &zones, time_point now, const std::vector<std::string> &taken = {});

    /// @param address A host that did not answer in time or could not be reached.
    void failed(const std::string &address, time_point now);
    /// @param address A host that answered.
    void answered(const std::string &address);

private:
    struct host_state {
        zone_id zone;
        std::chrono::milliseconds nextBlock = blockFirst;
        time_point blockedUntil;
    };

    random_source m_random;
    std::map<std::string, host_state> m_hosts;
};

} // namespace orioledrum
