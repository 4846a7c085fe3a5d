#pragma once

#include <chrono>

namespace orioledrum
{

struct client_network;

/// Time that the network takes between a caller and this host, as far as it counts towards the time that the caller sees.
struct caller_delay {
    std::chrono::microseconds oneWay{0};
    /// From the start of the caller's request to the receipt of its answer.
    std::chrono::microseconds total{0};

    /// @param configured One-way delay where none is measured, and the greatest that is assumed: a caller who is farther away gets the
    /// same time as without the measurement.
    static caller_delay of(const client_network &network, std::chrono::microseconds configured);
};

} // namespace orioledrum
