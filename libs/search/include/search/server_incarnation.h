#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace orioledrum
{

/// Identifies one run of a backend server's process.
struct server_incarnation {
    std::optional<std::chrono::milliseconds> startedAt; ///< Start of the process, as Unix time.
    std::string address; ///< "ip:port".

    /// @return True when this is certainly another, later run: its start time is later or, if one of them is not known, the address
    /// differs.
    [[nodiscard]] bool isAfter(const server_incarnation &other) const
    {
        return startedAt && other.startedAt ? *startedAt > *other.startedAt : address != other.address;
    }
};

} // namespace orioledrum
