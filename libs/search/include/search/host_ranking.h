#pragma once

#include <base/ids.h>
#include <limits/limit_share.h>

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

struct replica_entry;

/// The entry hosts that share the limits of backend servers. For each backend server, all hosts rank them in the same order: first the
/// hosts of its zone, which gather most of the searches that call it, then by rendezvous hashing. Not thread-safe.
class host_ranking
{
public:
    struct ranked_host {
        entry_host_id id;
        zone_id zone;
    };

    /// @param self This host; counts even if it is not in `hosts`.
    /// @param hosts The other hosts, also those that were lost a short time ago.
    /// @param assumedHosts Number of hosts to assume if it exceeds the number of known ones. This host then has the last rank.
    /// @param settled False while other hosts may be unknown.
    explicit host_ranking(ranked_host self = {}, std::vector<ranked_host> hosts = {}, std::uint32_t assumedHosts = 1, bool settled = true);

    [[nodiscard]] std::uint32_t hostCount() const { return m_hostCount; }
    [[nodiscard]] bool settled() const { return m_settled; }

    /// @return This host's share of the limits of a backend server. The result is cached.
    [[nodiscard]] limit_share shareOf(const replica_entry &server) const;

private:
    ranked_host m_self;
    std::vector<ranked_host> m_others;
    std::uint32_t m_hostCount;
    bool m_settled;
    mutable std::unordered_map<backend_id, std::uint32_t> m_ranks;
};

} // namespace orioledrum
