#include <config/route_table.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace orioledrum
{

namespace
{

tl::unexpected<error> routeError(const route &route, std::string message)
{
    return makeError(error_code::invalidArgument, "check routes", "route '" + route.name + "': " + std::move(message));
}

expected<void> checkRoute(const route &route)
{
    if (route.host.empty()) {
        return routeError(route, "the host is empty");
    }
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return routeError(route, "the prefix '" + route.prefix + "' does not begin and end with a slash");
    }
    if (route.services.empty() == route.shards.empty()) {
        return routeError(route, "exactly one of services and shards must be given");
    }
    for (const auto &weighted : route.services) {
        if (!(weighted.weight >= 0)) {
            return routeError(route, "the weight of service '" + weighted.service.str() + "' is negative");
        }
    }
    if (route.timeout.count() <= 0) {
        return routeError(route, "the timeout is not positive");
    }
    if (route.timeout > route::maxTime || route.targetLatency > route::maxTime || route.targetLatency.count() < 0) {
        return routeError(route, "the timeout or the target latency is out of range");
    }
    if (route.maxServers == 0) {
        return routeError(route, "the maximum number of backend servers is 0");
    }
    if (route.isSearch() && !(route.minCoverage >= 0 && route.minCoverage <= 1)) {
        return routeError(route, "the minimum coverage is not between 0 and 1");
    }
    return {};
}

} // namespace

expected<std::shared_ptr<const route_table>> route_table::create(std::uint64_t version,
                                                                 std::vector<route> routes,
                                                                 std::vector<route_service> services,
                                                                 http_request_limits limits,
                                                                 std::optional<std::vector<organisation>> organisations)
{
    auto table = std::shared_ptr<route_table>(new route_table());
    table->m_version = version;
    table->m_routes = std::move(routes);
    table->m_limits = limits;
    for (std::size_t index = 0; index < table->m_routes.size(); ++index) {
        const auto &route = table->m_routes[index];
        if (auto checkResult = checkRoute(route); !checkResult) {
            return tl::unexpected(checkResult.error());
        }
        if (!table->m_byHost[route.host].emplace(route.prefix, index).second) {
            return routeError(route, "host and prefix are those of another route");
        }
    }
    for (auto &service : services) {
        auto id = service.id;
        table->m_longestWarmUpTime = std::max(table->m_longestWarmUpTime, service.warmUpTime);
        table->m_services.emplace(std::move(id), std::move(service));
    }
    if (organisations) {
        if (auto checkResult = table->setOrganisations(std::move(*organisations)); !checkResult) {
            return tl::unexpected(checkResult.error());
        }
    }
    return table;
}

expected<void> route_table::setOrganisations(std::vector<organisation> organisations)
{
    m_requiresKeys = true;
    m_organisations = std::move(organisations);
    for (std::size_t index = 0; index < m_organisations.size(); ++index) {
        const auto &each = m_organisations[index];
        const auto invalid = [&](const char *message) {
            return makeError(error_code::invalidArgument, "check routes", "organisation '" + each.name + "': " + message);
        };
        // The name is sent in a header field.
        if (each.name.empty() || std::any_of(each.name.begin(), each.name.end(), [](unsigned char c) { return c <= ' ' || c >= 0x7f; })) {
            return invalid("the name is empty or contains a space or a character outside ASCII");
        }
        if (!std::isfinite(each.requestsPerSecond) || !std::isfinite(each.burst) || each.requestsPerSecond < 0 || each.burst < 0) {
            return invalid("the rate or the burst is negative or not a number");
        }
        if (!m_organisationByName.emplace(each.name, index).second) {
            return invalid("another organisation has the same name");
        }
        for (const auto &key : each.keys) {
            const auto [found, added] = m_organisationByKey.emplace(key, index);
            if (!added && found->second != index) {
                return invalid("another organisation has the same key");
            }
        }
    }
    return {};
}

const organisation *route_table::organisationOf(std::string_view key) const
{
    const auto found = m_organisationByKey.find(key_digest::of(key));
    return found == m_organisationByKey.end() ? nullptr : &m_organisations[found->second];
}

const organisation *route_table::findOrganisation(std::string_view name) const
{
    const auto found = m_organisationByName.find(name);
    return found == m_organisationByName.end() ? nullptr : &m_organisations[found->second];
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto prefixes = m_byHost.find(host);
    if (prefixes == m_byHost.end()) {
        return nullptr;
    }
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        if (const auto found = prefixes->second.find(path.substr(0, end + 1)); found != prefixes->second.end()) {
            return &m_routes[found->second];
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const route_service *route_table::findService(const service_id &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace orioledrum
