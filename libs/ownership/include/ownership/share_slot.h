#pragma once

#include <base/monotonic_clock.h>

#include <atomic>
#include <cstdint>

namespace orioledrum
{

/// Whether this host uses fixed shares of every backend server in place of leases. Written by the control thread.
class share_slot
{
public:
    /// Allows shares. @param hosts Hosts of the roster. @param until Time after which the permission ends by itself.
    void allow(std::uint32_t hosts, time_point until);
    /// Withdraws the permission at once.
    void revoke();

    /// @param now The time.
    /// @return The number by which slots and connections are divided, rounding down; 0 when shares are not in use.
    [[nodiscard]] std::uint32_t divisor(time_point now) const;

private:
    std::atomic<std::uint32_t> m_hosts{0};
    std::atomic<monotonic_clock::rep> m_until{0};
};

} // namespace orioledrum
