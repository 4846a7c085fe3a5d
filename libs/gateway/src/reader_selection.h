#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Decides which hosts of an availability zone read the platform's changes themselves and from which of them the others read, so that
/// the number of calls to the platform does not grow with the number of hosts. Hosts with different views may choose different readers;
/// that costs calls, but no host waits for it. Not thread-safe.
class reader_selection
{
public:
    /// Readers in each zone. With two, the other hosts go on without reading the platform when one of them fails.
    static constexpr std::size_t readersPerZone = 2;
    /// Time for which a reader that has failed is not asked.
    static constexpr std::chrono::milliseconds failureBackoff{2000};

    /// @param self Address of this host.
    explicit reader_selection(std::string self);

    /// Sets the addresses of the live hosts of this host's zone; this host counts even if it is not in the list.
    void setZoneHosts(const std::vector<std::string> &addresses);

    /// @return True when this host is one of the readers of its zone.
    [[nodiscard]] bool isReader() const;

    /// @return Address of the reader to ask; nothing when this host has to read the platform itself, because it is a reader or because
    /// all readers have failed.
    [[nodiscard]] std::optional<std::string> readerToAsk(time_point now) const;

    /// @return The hosts that a host that starts asks for the whole state: the readers of the zone, this host excluded, in an order that
    /// differs between hosts, which divides their questions; then the next hosts in rank, which were readers until others joined.
    [[nodiscard]] std::vector<std::string> stateCandidates() const;

    /// Records that a reader did not answer or is out of contact with the platform.
    void failed(const std::string &address, time_point now);

private:
    std::string m_self;
    std::vector<std::string> m_readers; // Highest rank first.
    std::vector<std::string> m_nextInRank; // As many after the readers, this host excluded.
    std::map<std::string, time_point> m_backoffUntil;
};

} // namespace orioledrum
