#pragma once

#include <base/error.h>
#include <config/organisation.h>
#include <config/route.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// All routes and services of one published version. Immutable; a request uses the same table from start to end.
class route_table
{
public:
    /// Checks that each route is valid and that no two routes have the same host and prefix.
    /// @param version Number of the version; greater numbers are newer.
    /// @param services Settings of services. Of several entries for the same service, the first is used.
    /// @param limits Size limits for requests.
    /// @param organisations The organisations, each with a name and keys of its own; nullopt when requests carry no keys.
    /// @return The table, or invalidArgument with the name of the invalid route or organisation and the reason.
    static expected<std::shared_ptr<const route_table>> create(std::uint64_t version,
                                                               std::vector<route> routes,
                                                               std::vector<route_service> services,
                                                               http_request_limits limits,
                                                               std::optional<std::vector<organisation>> organisations = std::nullopt);

    /// @param host Value of the Host header.
    /// @param path Path without query.
    /// @return The route of the host with the longest matching prefix, or nullptr. Valid for the lifetime of the table.
    [[nodiscard]] const route *find(std::string_view host, std::string_view path) const;

    /// @return The settings of a service, or nullptr when it has no entry. Valid for the lifetime of the table.
    [[nodiscard]] const route_service *findService(const service_id &id) const;

    /// @return True when a request needs the key of an organisation, unless its route is public.
    [[nodiscard]] bool requiresKeys() const { return m_requiresKeys; }

    /// @return The organisation that holds a key, or nullptr. Valid for the lifetime of the table.
    [[nodiscard]] const organisation *organisationOf(std::string_view key) const;

    /// @return True when an organisation holds the key with this digest.
    [[nodiscard]] bool holdsKey(const key_digest &digest) const { return m_organisationByKey.contains(digest); }

    /// @return The organisation with a name, or nullptr. Valid for the lifetime of the table.
    [[nodiscard]] const organisation *findOrganisation(std::string_view name) const;

    [[nodiscard]] const std::vector<organisation> &organisations() const { return m_organisations; }

    /// @return The longest route_service::warmUpTime of all entries; 0 when there are none.
    [[nodiscard]] std::chrono::milliseconds longestWarmUpTime() const { return m_longestWarmUpTime; }

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::vector<route> &routes() const { return m_routes; }
    [[nodiscard]] const http_request_limits &limits() const { return m_limits; }

private:
    route_table() = default;
    expected<void> setOrganisations(std::vector<organisation> organisations);

    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    template<typename Value>
    using text_map = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    http_request_limits m_limits;
    text_map<text_map<std::size_t>> m_byHost; ///< Position in m_routes by host and then by prefix.
    std::unordered_map<service_id, route_service> m_services;
    std::vector<organisation> m_organisations;
    std::unordered_map<key_digest, std::size_t> m_organisationByKey; ///< Position in m_organisations.
    text_map<std::size_t> m_organisationByName;
    bool m_requiresKeys = false;
    std::chrono::milliseconds m_longestWarmUpTime{0};
};

} // namespace orioledrum
