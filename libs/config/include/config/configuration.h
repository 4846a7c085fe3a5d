#pragma once

#include <base/ids.h>
#include <config/backend_server_config.h>
#include <config/config_files.h>
#include <config/config_problem.h>
#include <config/service_config.h>

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// One availability zone.
struct zone_config {
    zone_id id;
    bool inService = true; ///< False when an operator has taken the zone out of service; it then gets no new work.
};

/// Scheduling parameters of a customer.
struct customer_config {
    customer_id id;
    double weight = 1.0; ///< Relative share of the capacity among customers, greater than 0.
    std::uint32_t priority = 5; ///< 0 to 9; requests with a greater number are served first.
};

class configuration;

/// A checked configuration, or all problems found in the files.
using configuration_result = tl::expected<std::shared_ptr<const configuration>, std::vector<config_problem>>;

/// Immutable, fully checked configuration at one revision. Lookups take constant time and allocate nothing.
/// References and pointers stay valid for as long as the configuration exists.
class configuration
{
public:
    configuration(const configuration &) = delete;
    configuration &operator=(const configuration &) = delete;

    [[nodiscard]] revision_number revision() const { return m_revision; }
    /// @return hashOf() of the files from which the configuration was loaded.
    [[nodiscard]] std::uint64_t hash() const { return m_hash; }

    /// @return All services, sorted by id.
    [[nodiscard]] const std::vector<service_config> &services() const { return m_services; }
    /// @return All backend servers, sorted by id.
    [[nodiscard]] const std::vector<backend_server_config> &backendServers() const { return m_backendServers; }
    /// @return All availability zones, sorted by id.
    [[nodiscard]] const std::vector<zone_config> &availabilityZones() const { return m_zones; }
    /// @return All customers, sorted by id.
    [[nodiscard]] const std::vector<customer_config> &customers() const { return m_customers; }

    /// @return The service, or nullptr when there is none with this id.
    [[nodiscard]] const service_config *findService(const service_id &id) const;
    /// @return The backend server, or nullptr when there is none with this id.
    [[nodiscard]] const backend_server_config *findBackendServer(const backend_id &id) const;
    /// @return The availability zone, or nullptr when there is none with this id.
    [[nodiscard]] const zone_config *findAvailabilityZone(const zone_id &id) const;
    /// @return The customer, or nullptr when there is none with this id.
    [[nodiscard]] const customer_config *findCustomer(const customer_id &id) const;
    /// @return The only service that uses the backend server, or nullptr when none does.
    [[nodiscard]] const service_config *serviceOf(const backend_id &id) const;
    /// @return True when the availability zone is defined and in service.
    [[nodiscard]] bool inService(const zone_id &id) const;

private:
    friend class configuration_builder;
    configuration() = default;
    static constexpr std::uint32_t noService = UINT32_MAX; ///< Marks a backend server that no service uses.

    revision_number m_revision = 0;
    std::uint64_t m_hash = 0;
    std::vector<service_config> m_services;
    std::vector<backend_server_config> m_backendServers;
    std::vector<zone_config> m_zones;
    std::vector<customer_config> m_customers;
    std::unordered_map<service_id, std::uint32_t> m_serviceIndex;
    std::unordered_map<backend_id, std::uint32_t> m_backendIndex;
    std::unordered_map<zone_id, std::uint32_t> m_zoneIndex;
    std::unordered_map<customer_id, std::uint32_t> m_customerIndex;
    std::vector<std::uint32_t> m_serviceOfBackend; ///< Position in m_services, or noService, for each entry of m_backendServers.
};

/// Merges and checks a set of files. The same files give the same result on every host.
/// @param files JSON files, which may contain comments.
/// @param revision Number that the platform assigned to this set.
/// @return The configuration, or all problems that were found.
configuration_result loadConfiguration(const config_files &files, revision_number revision);

/// One value of the merged configuration and the file that it comes from.
struct merged_value {
    std::string keyPath; ///< As in config_problem.
    std::string value; ///< The value as JSON text.
    std::string file; ///< Last file in merge order that sets the value.
};

/// Merges files and checks each value separately, but not references between values. The result is computed on demand,
/// because storing the key paths of 24,000 backend servers would exceed the memory limit of a host.
/// @return All values in the order of their key paths, or the problems that prevent the merge.
tl::expected<std::vector<merged_value>, std::vector<config_problem>> mergedValues(const config_files &files);

} // namespace orioledrum
