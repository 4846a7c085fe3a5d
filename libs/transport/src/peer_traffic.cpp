#include <peer_traffic_counters.h>

#include <transport/peer_traffic.h>

namespace orioledrum
{

peer_traffic_counters &peer_traffic_counters::instance()
{
    static peer_traffic_counters counters;
    return counters;
}

peer_traffic readPeerTraffic()
{
    const auto &counters = peer_traffic_counters::instance();
    const auto read = [](const std::atomic<std::uint64_t> &counter) { return counter.load(std::memory_order_relaxed); };
    return {read(counters.bytesSent),
            read(counters.bytesReceived),
            read(counters.requestsSent),
            read(counters.requestsReceived),
            read(counters.connections)};
}

} // namespace orioledrum
