#include "host_list_file.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

namespace orioledrum::standin
{

std::string validateHosts(const nlohmann::json &hosts)
{
    if (!hosts.is_array()) {
        return "The host list must be an array.";
    }
    std::set<std::string> knownIds;
    for (const auto &host : hosts) {
        const std::string messagePrefix = "Host " + host.dump() + ": ";
        if (!host.is_object()) {
            return messagePrefix + "must be an object.";
        }
        for (const char *key : {"id", "kind", "zone", "address", "state"}) {
            if (!host.contains(key) || !host[key].is_string()) {
                return messagePrefix + "needs the string member " + key + ".";
            }
        }
        if (host["kind"] != "entryHost" && host["kind"] != "backendServer") {
            return messagePrefix + "kind must be entryHost or backendServer.";
        }
        if (host["state"] != "live" && host["state"] != "leaving") {
            return messagePrefix + "state must be live or leaving.";
        }
        if (!knownIds.insert(host["id"].get<std::string>()).second) {
            return messagePrefix + "the id occurs twice.";
        }
    }
    return {};
}

tl::expected<nlohmann::json, std::string> readHostFile(const std::string &file)
{
    std::ifstream input(file);
    if (!input) {
        return tl::unexpected("Cannot read file " + file + ".");
    }
    nlohmann::json value = nlohmann::json::parse(input, nullptr, false, true);
    if (value.is_discarded()) {
        return tl::unexpected("File " + file + " is not valid JSON.");
    }
    nlohmann::json hosts = value.is_object() ? value.value("hosts", nlohmann::json()) : value;
    if (std::string problem = validateHosts(hosts); !problem.empty()) {
        return tl::unexpected("File " + file + ": " + problem);
    }
    return hosts;
}

} // namespace orioledrum::standin
