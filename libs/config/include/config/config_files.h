#pragma once

#include <base/error.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace orioledrum
{

/// Text of each configuration file by file name. Files are merged in the order of their names.
using config_files = std::map<std::string, std::string>;

/// Reads the files of a folder whose names end in ".json". Sub-folders and other files are ignored.
/// @param folder Folder to read.
/// @return The files, or an error when the folder or one of the files cannot be read or there is no such file.
expected<config_files> readConfigFolder(const std::filesystem::path &folder);

/// @return A 64-bit hash of names and texts that does not depend on the order in which files are visited. It detects
/// accidental differences; it is not cryptographic.
std::uint64_t hashOf(const config_files &files);

/// Difference between two file sets.
struct config_delta {
    config_files changed; ///< Files that are new or have another text.
    std::vector<std::string> removed; ///< Names of files that no longer exist, sorted.
};

/// @return What turns `from` into `to`.
config_delta deltaBetween(const config_files &from, const config_files &to);

/// Applies a delta and checks the result.
/// @param base The set to start from.
/// @param delta What changes.
/// @param hash Expected hash of the result.
/// @return The new set, or an error with code conflict when its hash differs from `hash`.
expected<config_files> applyDelta(const config_files &base, const config_delta &delta, std::uint64_t hash);

} // namespace orioledrum
