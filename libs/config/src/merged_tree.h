#pragma once

#include <config/config_files.h>
#include <config/config_problem.h>

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// A place in the merged configuration: an object with children, or a value.
struct merged_node {
    std::string file; ///< For a value the file whose value is in force, for an object the first file that has it.
    nlohmann::json value; ///< Null for objects.
    bool invalid = false; ///< Every value found here was reported as a problem; there is no value and no child.
    std::map<std::string, merged_node, std::less<>> children;

    /// @return The child, or nullptr. It may be invalid.
    [[nodiscard]] const merged_node *child(std::string_view key) const;
    /// @return The child, or nullptr when there is none or it is invalid.
    [[nodiscard]] const merged_node *validChild(std::string_view key) const;
};

/// Parses every file, checks it against the schema and merges the values in the order of the file names.
/// @param files The files.
/// @param problems Receives what is wrong. Values with a problem are left out of the result.
/// @return The root; invalid when a whole file could not be used, so that values are missing from the result.
merged_node mergeFiles(const config_files &files, std::vector<config_problem> &problems);

/// @return JSON text of a value for messages, shortened when it is long.
std::string describeValue(const nlohmann::json &value);

/// @return `path` extended by `key`.
std::string joinPath(const std::string &path, std::string_view key);

} // namespace orioledrum
