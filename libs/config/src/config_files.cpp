#include <config/config_files.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string_view>
#include <system_error>

namespace orioledrum
{

namespace
{

constexpr std::string_view readStep = "read configuration folder";

/// FNV-1a with a SplitMix64 finalizer. It hashes single bytes, so hosts of different byte order compute the same hash.
class byte_hash
{
public:
    void add(std::string_view bytes)
    {
        // Hashing the length distinguishes ("ab", "c") from ("a", "bc").
        for (std::uint64_t length = bytes.size(), index = 0; index < 8; ++index) {
            addByte(static_cast<unsigned char>(length >> (8 * index)));
        }
        for (const char byte : bytes) {
            addByte(static_cast<unsigned char>(byte));
        }
    }

    [[nodiscard]] std::uint64_t finish() const
    {
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9U;
        mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBU;
        return mixed ^ (mixed >> 31);
    }

private:
    void addByte(unsigned char byte) { m_state = (m_state ^ byte) * 0x100000001B3U; }

    std::uint64_t m_state = 0xCBF29CE484222325U;
};

expected<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    if (stream) {
        // An empty file sets failbit on `text`, which is ignored here: the configuration check reports empty files.
        text << stream.rdbuf();
    }
    if (!stream || stream.bad()) {
        return makeError(error_code::invalidArgument, std::string(readStep), "the file cannot be read", path.string());
    }
    return text.str();
}

} // namespace

expected<config_files> readConfigFolder(const std::filesystem::path &folder)
{
    std::error_code failure;
    std::filesystem::directory_iterator entries(folder, failure);
    if (failure) {
        return makeError(
            error_code::invalidArgument, std::string(readStep), "the folder cannot be read: " + failure.message(), folder.string());
    }
    config_files files;
    for (const std::filesystem::directory_iterator end; entries != end; entries.increment(failure)) {
        const auto &path = entries->path();
        std::error_code typeFailure;
        if (path.extension() == ".json" && !entries->is_directory(typeFailure)) {
            auto text = readFile(path);
            if (!text) {
                return tl::unexpected<error>(std::move(text.error()));
            }
            files.emplace(path.filename().string(), std::move(*text));
        }
        if (failure) {
            break;
        }
    }
    if (failure) {
        return makeError(
            error_code::invalidArgument, std::string(readStep), "the folder cannot be read: " + failure.message(), folder.string());
    }
    if (files.empty()) {
        return makeError(error_code::invalidArgument, std::string(readStep), "the folder has no file that ends in .json", folder.string());
    }
    return files;
}

std::uint64_t hashOf(const config_files &files)
{
    std::uint64_t sum = 0;
    for (const auto &[name, text] : files) {
        byte_hash hash;
        hash.add(name);
        hash.add(text);
        sum += hash.finish();
    }
    return sum;
}

config_delta deltaBetween(const config_files &from, const config_files &to)
{
    config_delta delta;
    for (const auto &[name, text] : to) {
        const auto previous = from.find(name);
        if (previous == from.end() || previous->second != text) {
            delta.changed.emplace(name, text);
        }
    }
    for (const auto &[name, text] : from) {
        if (!to.contains(name)) {
            delta.removed.push_back(name);
        }
    }
    return delta;
}

expected<config_files> applyDelta(const config_files &base, const config_delta &delta, std::uint64_t hash)
{
    config_files files = base;
    for (const auto &name : delta.removed) {
        files.erase(name);
    }
    for (const auto &[name, text] : delta.changed) {
        files.insert_or_assign(name, text);
    }
    if (hashOf(files) != hash) {
        return makeError(error_code::conflict, "apply changed files", "the resulting files do not have the expected hash");
    }
    return files;
}

} // namespace orioledrum
