#include "config_folder.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

namespace orioledrum::standin
{

namespace
{

// Size limit of one value in the configuration service of the platform.
constexpr std::size_t maxValueBytes = 1024UL * 1024UL;

} // namespace

tl::expected<std::string, std::string> readConfigFolder(const std::filesystem::path &folder)
{
    std::error_code error;
    auto entries = std::filesystem::directory_iterator(folder, error);
    if (error) {
        return tl::unexpected("Cannot read folder " + folder.string() + ": " + error.message() + ".");
    }
    nlohmann::json files = nlohmann::json::object();
    for (const auto &entry : entries) {
        const std::string name = entry.path().filename().string();
        if (name.front() == '.' || !entry.is_regular_file(error)) {
            continue;
        }
        std::ifstream input(entry.path(), std::ios::binary);
        std::string text((std::istreambuf_iterator<char>(input)), std::istreambuf_iterator<char>());
        if (!input) {
            return tl::unexpected("Cannot read file " + entry.path().string() + ".");
        }
        if (text.size() > maxValueBytes) {
            return tl::unexpected("File " + entry.path().string() + " is larger than 1 MB.");
        }
        files[name] = std::move(text);
    }
    try {
        return files.dump();
    } catch (const nlohmann::json::exception &) {
        return tl::unexpected("A file in " + folder.string() + " is not valid UTF-8.");
    }
}

} // namespace orioledrum::standin
