#pragma once

#include "merged_tree.h"

#include <config/configuration.h>

#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

/// Builds a configuration from merged values. Reports missing required keys, references to undefined ids and values outside
/// a range that depends on another value.
class configuration_builder
{
public:
    /// @param root Root of the merged values; must outlive this object.
    /// @param problems Receives the problems; must outlive this object.
    configuration_builder(const merged_node &root, std::vector<config_problem> &problems);

    /// @return The configuration; must not be used when a problem was reported.
    std::shared_ptr<const configuration> build(revision_number revision, std::uint64_t hash);

private:
    void buildZones();
    void buildBackendServers();
    void buildCustomers();
    void buildServices();
    void buildService(const std::string &name, const merged_node &node);
    void buildPolicy(const std::string &path, const merged_node &node, service_config &service);
    layout_config buildLayout(const std::string &path, const std::string &name, const merged_node &node, service_config &service);
    void checkUniqueAddresses();
    void checkZonesUsed();

    /// @return The object under a top-level key, empty when there is none.
    [[nodiscard]] const merged_node &topLevelNode(const std::string &name) const;
    /// Finds a required child. Reports a problem when it is missing, unless `node` itself is invalid.
    /// @param path Key path of `node`.
    /// @param allowed Description of the allowed values for the report.
    /// @return The child, or nullptr when it is missing or invalid.
    const merged_node *requireChild(const merged_node &node, const std::string &path, const std::string &key, const std::string &allowed);
    void report(const std::string &file, const std::string &path, std::string found, std::string allowed);

    const merged_node &m_root;
    std::vector<config_problem> &m_problems;
    std::shared_ptr<configuration> m_result;
    std::vector<std::string> m_serviceNameOfBackend; ///< By position of the backend server; empty when no service uses it.
};

} // namespace orioledrum
