#include <limits/limit_share.h>

#include <algorithm>

namespace orioledrum
{

std::uint32_t limit_share::divide(double limit, std::uint32_t usefulCalls) const
{
    const auto calls = static_cast<std::uint32_t>(std::clamp(limit, 0.0, static_cast<double>(UINT32_MAX)));
    const std::uint32_t evenPart = calls / std::max(1U, hosts);
    if (evenPart >= usefulCalls) {
        return evenPart;
    }
    const std::uint32_t smallPart = std::min(1U, evenPart);
    const std::uint32_t preferredHosts = (calls - smallPart * hosts) / (usefulCalls - smallPart);
    return rank < preferredHosts ? usefulCalls : smallPart;
}

} // namespace orioledrum
