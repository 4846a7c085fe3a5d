#pragma once

#include <config/route.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Spreads the requests of a route over its services in the proportion of their weights, as evenly as possible.
class service_split
{
public:
    /// @param route A route with services.
    /// @param version Version of the routes; a new one starts afresh.
    /// @return The service for the next request.
    const service_id &next(const route &route, std::uint64_t version);

private:
    struct split_state {
        std::uint64_t version = 0;
        std::vector<double> credit; // By position of the service.
    };
    std::map<std::string, split_state> m_routes;
};

} // namespace orioledrum
