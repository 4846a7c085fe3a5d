#include "schema.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <limits>
#include <set>
#include <sstream>

namespace orioledrum
{

namespace
{

using nlohmann::json;

constexpr std::size_t maxIdLength = 64;
constexpr std::string_view allowedId = "1 to 64 characters of letters, digits, '.', '_', ':' and '-'";

bool isValidId(std::string_view id)
{
    return !id.empty() && id.size() <= maxIdLength && std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
            || character == '.' || character == '_' || character == ':' || character == '-';
    });
}

/// Parses the entire text as an unsigned decimal integer without leading zeros. Returns false if it is not one.
template<typename Number>
bool parseUnsigned(std::string_view text, Number &value)
{
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    return failure == std::errc() && end == text.data() + text.size() && (text.size() == 1 || text.front() != '0');
}

bool isValidLayoutNumber(std::string_view text)
{
    std::uint32_t number = 0;
    return parseUnsigned(text, number) && number > 0;
}

bool isValidAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string_view::npos || !parseUnsigned(text.substr(colon + 1), port) || port == 0) {
        return false;
    }
    auto host = text.substr(0, colon);
    int family = AF_INET;
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        family = AF_INET6;
    }
    in6_addr parsed{};
    return inet_pton(family, std::string(host).c_str(), &parsed) == 1;
}

schema_node leaf(std::string name, std::string allowed, value_check<json> check)
{
    schema_node node;
    node.name = std::move(name);
    node.allowed = std::move(allowed);
    node.validValue = std::move(check);
    return node;
}

/// @return The node, marked so that later files may repeat but not change its value.
schema_node immutable(schema_node node)
{
    node.immutable = true;
    return node;
}

schema_node integer(std::string name, std::uint64_t minimum, std::uint64_t maximum)
{
    return leaf(std::move(name),
                "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum),
                [minimum, maximum](const json &value) {
                    return value.is_number_unsigned() && value.get<std::uint64_t>() >= minimum && value.get<std::uint64_t>() <= maximum;
                });
}

schema_node number(std::string name, double minimum, double maximum)
{
    std::ostringstream allowed;
    allowed << "a number from " << minimum << " to " << maximum;
    return leaf(std::move(name), allowed.str(), [minimum, maximum](const json &value) {
        return value.is_number() && value.get<double>() >= minimum && value.get<double>() <= maximum;
    });
}

schema_node oneOf(std::string name, std::vector<std::string> values)
{
    std::string allowed;
    for (const auto &value : values) {
        allowed += (allowed.empty() ? "\"" : " or \"") + value + "\"";
    }
    return leaf(std::move(name), std::move(allowed), [values = std::move(values)](const json &value) {
        return value.is_string() && std::find(values.begin(), values.end(), value.get_ref<const std::string &>()) != values.end();
    });
}

schema_node identifier(std::string name, std::string_view allowed)
{
    return leaf(std::move(name), std::string(allowed), [](const json &value) {
        return value.is_string() && isValidId(value.get_ref<const std::string &>());
    });
}

schema_node address(std::string name)
{
    return leaf(std::move(name), "an IP address and a port, for example \"10.0.0.1:8080\" or \"[::1]:8080\"", [](const json &value) {
        return value.is_string() && isValidAddress(value.get_ref<const std::string &>());
    });
}

schema_node replicas()
{
    return leaf({}, "a list of at least one backend server id without repetition", [](const json &value) {
        if (!value.is_array() || value.empty()) {
            return false;
        }
        std::set<std::string> seen;
        return std::all_of(value.begin(), value.end(), [&seen](const json &id) {
            return id.is_string() && isValidId(id.get_ref<const std::string &>()) && seen.insert(id.get<std::string>()).second;
        });
    });
}

schema_node object(std::string name, std::vector<schema_node> children)
{
    schema_node node;
    node.name = std::move(name);
    node.kind = schema_node::node_kind::object;
    node.allowed = "an object";
    node.children = std::move(children);
    return node;
}

schema_node entries(std::string name,
                    schema_node entry,
                    value_check<std::string_view> validKey = isValidId,
                    std::string allowedKey = std::string(allowedId))
{
    schema_node node;
    node.name = std::move(name);
    node.kind = schema_node::node_kind::entries;
    node.allowed = "an object";
    node.validKey = std::move(validKey);
    node.allowedKey = std::move(allowedKey);
    node.children.push_back(std::move(entry));
    return node;
}

schema_node makeSchema()
{
    // waitForMore limits the wait for missing shards after minimumCoverage is reached; see extra_wait.
    auto policy = object("policy",
                         {
                             number("minimumCoverage", 0, 1),
                             integer("defaultDeadlineMs", 10, 10000),
                             number("hedgeBudget", 0, 0.05),
                             object("waitForMore", {integer("maximumMs", 0, 10000), number("elapsedFactor", 0, 100)}),
                         });
    auto layout = object({}, {entries("shards", replicas())});
    auto service = object({},
                          {
                              immutable(oneOf("kind", {"search", "order"})),
                              std::move(policy),
                              entries("layouts", std::move(layout), isValidLayoutNumber, "a layout number from 1 to 4294967295"),
                          });
    auto backendServer = object({},
                                {
                                    immutable(identifier("zone", "the id of an availability zone")),
                                    immutable(address("address")),
                                    integer("slots", 1, 1024),
                                    integer("coldSlots", 1, 1024),
                                    integer("connections", 1, 65535),
                                    number("connectionCostMs", 0, 1000),
                                    integer("rampMs", 0, 600000),
                                });
    // "in" means in service, "out" means taken out of service by an operator.
    auto zone = object({}, {oneOf("state", {"in", "out"})});
    auto customer = object({}, {number("weight", 0.001, 1000), integer("priority", 0, 9)});
    return object({},
                  {
                      entries("services", std::move(service)),
                      entries("backendServers", std::move(backendServer)),
                      entries("availabilityZones", std::move(zone)),
                      entries("customers", std::move(customer)),
                  });
}

} // namespace

const schema_node *schema_node::child(std::string_view key) const
{
    if (kind == node_kind::entries) {
        return children.data();
    }
    const auto found = std::find_if(children.begin(), children.end(), [key](const schema_node &node) { return node.name == key; });
    return found == children.end() ? nullptr : &*found;
}

const schema_node &configurationSchema()
{
    static const schema_node schema = makeSchema();
    return schema;
}

} // namespace orioledrum
