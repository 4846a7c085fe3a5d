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

/// Node of the merged configuration: an object with children, or a value.
struct merged_node {
    std::string file; ///< For a value: the last file that sets it. For an object: the first file that contains it.
    nlohmann::json value; ///< Null for objects.
    bool invalid = false; ///< All values found for this key were reported as problems; the node has no value or children. The root
                          ///< is an exception, see mergeFiles().
    std::map<std::string, merged_node, std::less<>> children; ///< By key.

    /// @return The child, which may be invalid, or nullptr when there is none.
    [[nodiscard]] const merged_node *child(std::string_view key) const;
    /// @return The child, or nullptr when there is none or it is invalid.
    [[nodiscard]] const merged_node *validChild(std::string_view key) const;
};

/// Parses every file, checks its values against the schema and merges the values in the order of the file names.
/// @param problems Receives the problems. Values that violate the schema are left out of the result.
/// @return The root. It is invalid when there is no file or when the values of a whole file are missing because the file
/// could not be used; it then still has the values of the other files.
merged_node mergeFiles(const config_files &files, std::vector<config_problem> &problems);

/// @return JSON text of a value for messages, truncated when it is long.
std::string describeValue(const nlohmann::json &value);

/// @return `path` extended by `key`.
std::string joinPath(const std::string &path, std::string_view key);

} // namespace orioledrum
