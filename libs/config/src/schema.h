#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// Whether a key may be used, and a value of JSON may stand for it.
template<typename T>
using value_check = std::function<bool(const T &)>;

/// What is allowed at one place of a configuration file.
struct schema_node {
    enum class node_kind {
        object, ///< Fixed keys, one child for each.
        entries, ///< Keys chosen by the operator; the only child describes each entry.
        leaf, ///< A value that is replaced as a whole.
    };

    std::string name; ///< Key in the parent object; empty for the child of `entries`.
    node_kind kind = node_kind::leaf;
    std::string allowed; ///< What may stand here, for messages.
    std::vector<schema_node> children;
    value_check<std::string_view> validKey; ///< For entries.
    std::string allowedKey; ///< For entries.
    value_check<nlohmann::json> validValue; ///< For leaves.
    bool identity = false; ///< Files may repeat but not change the value.

    /// @return The child for a key, or nullptr.
    [[nodiscard]] const schema_node *child(std::string_view key) const;
};

/// @return The schema of a configuration file.
const schema_node &configurationSchema();

} // namespace orioledrum
