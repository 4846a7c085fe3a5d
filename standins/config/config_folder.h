#pragma once

#include <tl/expected.hpp>

#include <filesystem>
#include <string>

namespace orioledrum::standin
{

/// Reads the regular files of a folder whose names do not start with a dot.
/// @return JSON text of an object from file name to text, or a message.
tl::expected<std::string, std::string> readConfigFolder(const std::filesystem::path &folder);

} // namespace orioledrum::standin
