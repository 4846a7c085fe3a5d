#include <caller_delay.h>

#include <transport/client_network.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

/// One-way trips for a request on a new connection: two for the connection, one for the request, one for the answer.
constexpr int tripsOfNewConnection = 4;
constexpr int tripsOfReusedConnection = 2;

} // namespace

caller_delay caller_delay::of(const client_network &network, std::chrono::microseconds configured)
{
    caller_delay delay;
    delay.oneWay = network.roundTrip ? std::min(*network.roundTrip / 2, configured) : configured;
    delay.total = delay.oneWay * (network.connectionReused ? tripsOfReusedConnection : tripsOfNewConnection);
    return delay;
}

} // namespace orioledrum
