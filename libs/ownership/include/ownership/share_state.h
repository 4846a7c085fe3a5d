#pragma once

#include <base/monotonic_clock.h>

#include <atomic>
#include <cstdint>

namespace orioledrum
{

/// Permission to use a fixed share of each backend server's capacity in place of leases. Written by the control thread and
/// read by request threads; any thread may call revoke().
class share_state
{
public:
    /// Allows fixed shares. @param hosts Number of hosts in the host list. @param until Time at which the permission expires.
    void allow(std::uint32_t hosts, time_point until);
    /// Withdraws the permission immediately.
    void revoke();

    /// @return The number by which slots and connections are divided, rounding down; 0 when fixed shares are not in use.
    [[nodiscard]] std::uint32_t divisor(time_point now) const;

private:
    std::atomic<std::uint32_t> m_hosts{0};
    std::atomic<monotonic_clock::rep> m_until{0};
};

} // namespace orioledrum
