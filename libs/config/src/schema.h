#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// Returns whether a key or a JSON value is allowed.
template<typename T>
using value_check = std::function<bool(const T &)>;

/// Schema of one node of a configuration file.
struct schema_node {
    enum class node_kind {
        object, ///< Fixed keys, one child for each.
        entries, ///< Keys chosen by the operator. The only child is the schema of every entry.
        leaf, ///< A value. If a later file sets it as well, the later value replaces the whole earlier one.
    };

    std::string name; ///< Key in the parent object; empty for the child of `entries`.
    node_kind kind = node_kind::leaf;
    std::string allowed; ///< Description of the allowed values for messages.
    std::vector<schema_node> children;
    value_check<std::string_view> validKey; ///< Checks the keys of `entries`.
    std::string allowedKey; ///< Description of the keys that validKey allows, for messages.
    value_check<nlohmann::json> validValue; ///< Checks the value of a leaf.
    bool immutable = false; ///< Later files may repeat the value but not change it.

    /// @return The schema of the value under a key; for `entries` the same for every key. nullptr when the key is unknown.
    [[nodiscard]] const schema_node *child(std::string_view key) const;
};

/// @return The schema of a configuration file.
const schema_node &configurationSchema();

} // namespace orioledrum
