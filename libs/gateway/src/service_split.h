#pragma once

#include <config/route.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Distributes the requests of a route over its services in proportion to their weights, by smooth weighted round robin.
class service_split
{
public:
    /// @param route A route with at least one service.
    /// @param version Version of the route table; a new version resets the distribution of the route.
    /// @return The service for the next request.
    const service_id &next(const route &route, std::uint64_t version);

private:
    struct split_state {
        std::uint64_t version = 0;
        std::vector<double> credit; // Current weights of the round robin, by position in route::services.
    };
    std::map<std::string, split_state> m_routes;
};

} // namespace orioledrum
