#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Limits on the calls of all hosts together to one backend server of a service.
struct service_limits {
    std::optional<std::uint32_t> maxConnections; ///< Maximum number of connections, at least 1; nullopt: not limited.
    /// Request rate while it is cold, before coldFactor and coldSlack; nullopt: not limited.
    std::optional<double> maxColdRequestsPerSecond;

    /// @return The strictest limits, for a service whose limits this host does not know: any configured limit allows as many calls.
    [[nodiscard]] static service_limits unknown() { return {1, 0}; }

    /// @return The lower of both limits on connections and the lower of both rates.
    [[nodiscard]] static service_limits strictest(const service_limits &left, const service_limits &right)
    {
        return {lower(left.maxConnections, right.maxConnections), lower(left.maxColdRequestsPerSecond, right.maxColdRequestsPerSecond)};
    }

    bool operator==(const service_limits &) const = default;

private:
    template<typename Value>
    static std::optional<Value> lower(const std::optional<Value> &left, const std::optional<Value> &right)
    {
        return left && right ? std::min(left, right) : (left ? left : right);
    }
};

} // namespace orioledrum
