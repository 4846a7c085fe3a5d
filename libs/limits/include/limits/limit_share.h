#pragma once

#include <cstdint>

namespace orioledrum
{

/// Position of this host among the hosts that share a limit.
struct limit_share {
    std::uint32_t hosts = 1; ///< Number of hosts that share the limit, at least 1.
    std::uint32_t rank = 0; ///< Rank of this host, from 0 to hosts - 1; different on each host.

    /// Divides a limit in whole calls. The parts of all ranks add up to at most the limit.
    /// @param limit Calls that all hosts together may have.
    /// @param usefulCalls Smallest part that is useful to a host, at least 1. When the even part is smaller, the first hosts in
    /// rank get this many calls, and the others get one call each if the limit suffices for that, otherwise none.
    /// @return The calls that this host may have.
    [[nodiscard]] std::uint32_t divide(double limit, std::uint32_t usefulCalls) const;
};

} // namespace orioledrum
