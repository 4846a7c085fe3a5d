#pragma once

#include <base/monotonic_clock.h>
#include <base/processor_meter.h>
#include <wire/control_messages.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace orioledrum
{

/// The processor capacities of the entry hosts, which spread with the digests of membership. Hosts of an earlier version neither send nor
/// understand them; they are found by their refusal and get digests alone. A state machine without I/O.
class host_capacities
{
public:
    /// Time after which a host that has refused a capacity_digest gets one again: it may have been updated.
    static constexpr std::chrono::minutes refusalMemory{1};
    /// Steps in which the use of a host counts. Gathering hosts are chosen by it, and a choice that changes all the time opens new
    /// connections to backend servers.
    static constexpr std::uint32_t usedPercentStep = 25;

    /// @param millicores Capacity of this host; nothing when its settings do not give it.
    host_capacities(entry_host_id self, std::optional<std::uint32_t> millicores);

    /// Measures the use of this host. To be called in each period of heartbeats.
    void tick(time_point now);

    /// @return The message for a digest.
    [[nodiscard]] capacity_digest addTo(digest message) const;
    /// Takes over the newer capacities of a message.
    void merge(const capacity_digest &message);

    /// @return The capacity of a host; unknown when it has sent none.
    [[nodiscard]] host_capacity of(const entry_host_id &host) const;

    /// @return True once after capacities have changed.
    [[nodiscard]] bool takeChanged();

    /// @return True when the host at an address may understand a capacity_digest.
    [[nodiscard]] bool understands(const std::string &address, time_point now) const;
    /// Records that the host at an address has refused a capacity_digest.
    void refused(const std::string &address, time_point now);

private:
    struct known_capacity {
        std::uint64_t heartbeat = 0; ///< member_entry::heartbeat with which it came.
        host_capacity capacity;
    };

    void take(const member_entry &entry, const host_capacity &capacity);

    entry_host_id m_self;
    std::optional<processor_meter> m_meter;
    host_capacity m_own;
    std::unordered_map<entry_host_id, known_capacity> m_known;
    std::unordered_map<std::string, time_point> m_refusedAt; ///< By address.
    bool m_changed = true;
};

} // namespace orioledrum
