#include <base/monotonic_clock.h>

#include <ctime>

namespace orioledrum
{

monotonic_clock::time_point monotonic_clock::now() noexcept
{
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec));
}

} // namespace orioledrum
