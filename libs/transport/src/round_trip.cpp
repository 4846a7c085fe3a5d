#include <round_trip.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace orioledrum
{

std::optional<std::chrono::microseconds> smoothedRoundTrip(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(info.tcpi_rtt);
}

} // namespace orioledrum
