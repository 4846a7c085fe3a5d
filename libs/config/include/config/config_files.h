#pragma once

#include <base/error.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Maps the name of each configuration file to its text. Files are merged in the order of their names.
using config_files = std::map<std::string, std::string>;

/// Reads the files of a folder whose names end in ".json". Sub-folders and other files are ignored.
/// @return The files, or an error when the folder or one of the files cannot be read, or when the folder has no ".json" file.
expected<config_files> readConfigFolder(const std::filesystem::path &folder);

/// @return A 64-bit hash of the names and texts of all files, independent of their order. It detects accidental differences
/// but is not cryptographic.
std::uint64_t hashOf(const config_files &files);

/// Difference between two file sets.
struct config_delta {
    config_files changed; ///< Files that are new or whose text differs.
    std::vector<std::string> removed; ///< Names of files that no longer exist, sorted.
};

/// @return The delta that turns `from` into `to`.
config_delta deltaBetween(const config_files &from, const config_files &to);

/// Applies a delta and checks the hash of the result.
/// @param base The files to which the delta applies.
/// @param hash Expected hash of the result.
/// @return The resulting files, or an error with code conflict when their hash differs from `hash`.
expected<config_files> applyDelta(const config_files &base, const config_delta &delta, std::uint64_t hash);

} // namespace orioledrum
