#pragma once

#include "merged_tree.h"

#include <config/configuration.h>

#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

/// Turns merged values into a configuration and checks what concerns several values: required keys, references and
/// ranges that depend on another value.
class configuration_builder
{
public:
    /// @param root Merged values.
    /// @param problems Receives what is wrong.
    configuration_builder(const merged_node &root, std::vector<config_problem> &problems);

    /// @return The configuration; it is complete only when no problem was reported.
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

    [[nodiscard]] const merged_node &section(const std::string &name) const;
    /// @return The value, or nullptr after reporting that a required key is missing.
    const merged_node *require(const merged_node &node, const std::string &path, const std::string &key, const std::string &allowed);
    void report(const std::string &file, const std::string &path, std::string found, std::string allowed);

    const merged_node &m_root;
    std::vector<config_problem> &m_problems;
    std::shared_ptr<configuration> m_result;
    std::vector<std::string> m_serviceOfBackend; ///< By position of the backend server; empty when unused.
};

} // namespace orioledrum
