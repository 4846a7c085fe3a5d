#include <service_split.h>

#include <algorithm>

namespace orioledrum
{

const service_id &service_split::next(const route &route, std::uint64_t version)
{
    if (route.services.size() == 1) {
        return route.services.front().service;
    }
    auto &state = m_routes[route.name];
    if (state.version != version || state.credit.size() != route.services.size()) {
        state.version = version;
        state.credit.assign(route.services.size(), 0);
    }
    double totalWeight = 0;
    for (std::size_t i = 0; i < route.services.size(); ++i) {
        state.credit[i] += route.services[i].weight;
        totalWeight += route.services[i].weight;
    }
    const auto highest = std::max_element(state.credit.begin(), state.credit.end());
    *highest -= totalWeight;
    return route.services[static_cast<std::size_t>(highest - state.credit.begin())].service;
}

} // namespace orioledrum
