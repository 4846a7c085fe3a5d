#pragma once

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <string>

namespace orioledrum::standin
{

/// @param hosts Array of objects with id, kind (entryHost or backendServer), zone, address and state (live or leaving).
/// @return An empty string when valid, otherwise an error message. It contains the invalid entry unless hosts is not an array.
std::string validateHosts(const nlohmann::json &hosts);

/// Reads a JSON file that holds an array of hosts, or an object with the member "hosts". Comments are allowed.
/// @return The validated array, or an error message.
tl::expected<nlohmann::json, std::string> readHostFile(const std::string &file);

} // namespace orioledrum::standin
