#pragma once

#include <tl/expected.hpp>

#include <filesystem>
#include <string>

namespace orioledrum::standin
{

/// Reads the regular files of a folder, except hidden files (names that start with a dot).
/// @return JSON text of an object that maps file names to file contents. An error message when a file cannot be read, is larger than
/// 1 MB or is not valid UTF-8.
tl::expected<std::string, std::string> readConfigFolder(const std::filesystem::path &folder);

} // namespace orioledrum::standin
