#pragma once

#include <base/ids.h>

#include <chrono>
#include <cstdint>
#include <string>

namespace orioledrum
{

/// Address and capacity of one backend server.
struct backend_server_config {
    backend_id id;
    zone_id zone;
    std::string address; ///< "ip:port"; IPv6 as "[ip]:port".
    std::uint32_t slots = 1; ///< Maximum number of concurrent calls when warm.
    std::uint32_t coldSlots = 1; ///< Maximum number of concurrent calls while cold; at most `slots`.
    std::uint32_t connections = 1; ///< Maximum number of connections that the backend server accepts; at least `slots`.
    std::chrono::microseconds connectionCost{0}; ///< Time that the backend server needs for each new connection.
    std::chrono::milliseconds warmUpTime{10000}; ///< Duration of the warm-up after a cold start; key "rampMs".
};

} // namespace orioledrum
