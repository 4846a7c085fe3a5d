#include "platform_messages.h"

#include <nlohmann/json.hpp>

namespace orioledrum
{

namespace
{

using nlohmann::json;

/// Parses an entry of the host list. Throws when a member is missing or invalid.
platform_host parseHost(const json &item)
{
    platform_host host;
    host.id = item.at("id").get<std::string>();
    const auto kind = item.at("kind").get<std::string>();
    if (kind != "entryHost" && kind != "backendServer") {
        throw std::invalid_argument("unknown kind '" + kind + "'");
    }
    host.kind = kind == "entryHost" ? host_kind::entryHost : host_kind::backendServer;
    host.zone = zone_id(item.at("zone").get<std::string>());
    host.address = item.at("address").get<std::string>();
    const auto state = item.at("state").get<std::string>();
    if (state != "live" && state != "leaving") {
        throw std::invalid_argument("unknown state '" + state + "'");
    }
    host.leaving = state == "leaving";
    return host;
}

/// Parses an answer and converts any failure to protocolError.
/// @param read Converts the JSON value; may throw.
template<typename Result, typename Reader>
expected<Result> parseAnswer(const std::string &body, const std::string &step, const std::string &service, const Reader &read)
{
    try {
        return read(json::parse(body));
    } catch (const std::exception &failure) {
        return makeError(error_code::protocolError, step, std::string("malformed answer: ") + failure.what(), service);
    }
}

} // namespace

expected<config_answer> parseConfigAnswer(const std::string &body, const std::string &service)
{
    return parseAnswer<config_answer>(body, "read configuration", service, [](const json &answer) {
        config_answer result;
        result.revision = answer.at("revision").get<revision_number>();
        result.files = answer.at("files").get<config_files>();
        return result;
    });
}

expected<host_list> parseHostList(const std::string &body, const std::string &service)
{
    return parseAnswer<host_list>(body, "read host list", service, [](const json &answer) {
        host_list result;
        result.revision = answer.at("revision").get<revision_number>();
        for (const auto &item : answer.at("hosts")) {
            result.hosts.push_back(parseHost(item));
        }
        return result;
    });
}

} // namespace orioledrum
