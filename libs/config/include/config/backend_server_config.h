#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// One backend server and what it bears.
struct backend_server_config {
    backend_id id;
    zone_id zone;
    std::string address; ///< "ip:port"; IPv6 as "[ip]:port".
    std::uint32_t slots = 1; ///< Calls it runs at a time when warm.
    std::uint32_t coldSlots = 1; ///< Calls it runs at a time in a cold start; at most `slots`.
    std::uint32_t connections = 1; ///< Connections it accepts; at least `slots`.
    std::chrono::microseconds connectionCost{0}; ///< Its time for each new connection.
    std::chrono::milliseconds rampTime{10000}; ///< Time from cold to warm.
};

} // namespace orioledrum
