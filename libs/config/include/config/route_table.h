#pragma once

#include <base/error.h>
#include <config/route.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// All routes and services of one published version. Immutable; a request keeps the table under which it began.
class route_table
{
public:
    /// Checks the references and the values of all routes.
    /// @param version Number of the version; a greater one is newer.
    /// @param routes The routes.
    /// @param services The services. A service that routes name without an entry here gets default values.
    /// @param limits Bounds on requests.
    /// @return The table, or invalidArgument naming the route and the field.
    static expected<std::shared_ptr<const route_table>>
    create(std::uint64_t version, std::vector<route> routes, std::vector<route_service> services, caller_limits limits);

    /// @param host Value of the Host field.
    /// @param path Path without query.
    /// @return The route with the longest matching prefix, or null. Valid as long as the table.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;

    /// @return What is known about a service; default values for an unknown one.
    [[nodiscard]] const route_service &service(const service_id &id) const;

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::vector<route> &routes() const { return m_routes; }
    [[nodiscard]] const caller_limits &limits() const { return m_limits; }

private:
    route_table() = default;

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    template<typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    caller_limits m_limits;
    text_map<text_map<std::size_t>> m_byHost; ///< Host, then prefix, to the position in m_routes.
    std::unordered_map<service_id, route_service> m_services;
    route_service m_defaultService;
};

} // namespace orioledrum
