#include "host_list_file.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>

namespace orioledrum::standin
{

std::string checkHosts(const nlohmann::json &hosts)
{
    if (!hosts.is_array()) {
        return "The host list must be an array.";
    }
    std::set<std::string> seen;
    for (const auto &host : hosts) {
        const std::string where = "Host " + host.dump() + ": ";
        if (!host.is_object()) {
            return where + "must be an object.";
        }
        for (const char *key : {"id", "kind", "zone", "address", "state"}) {
            if (!host.contains(key) || !host[key].is_string()) {
                return where + "needs the text " + key + ".";
            }
        }
        if (host["kind"] != "entryHost" && host["kind"] != "backendServer") {
            return where + "kind must be entryHost or backendServer.";
        }
        if (host["state"] != "live" && host["state"] != "leaving") {
            return where + "state must be live or leaving.";
        }
        if (!seen.insert(host["id"].get<std::string>()).second) {
            return where + "the id occurs twice.";
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
    if (std::string problem = checkHosts(hosts); !problem.empty()) {
        return tl::unexpected("File " + file + ": " + problem);
    }
    return hosts;
}

} // namespace orioledrum::standin
