#include "backend_reply.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <string_view>

namespace orioledrum
{

namespace
{

/// @return The number, or nothing when the entire text is not one number of this type.
template<typename Number>
std::optional<Number> parseNumber(std::string_view text)
{
    Number value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<backend_state> parseState(std::string_view text)
{
    for (const auto state : {backend_state::warm, backend_state::cold, backend_state::draining}) {
        if (text == toString(state)) {
            return state;
        }
    }
    return std::nullopt;
}

/// Parses "inUse/slots".
bool parseLoad(std::string_view text, backend_report &report)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return false;
    }
    const auto inUse = parseNumber<std::uint32_t>(text.substr(0, slash));
    const auto slots = parseNumber<std::uint32_t>(text.substr(slash + 1));
    if (!inUse || !slots) {
        return false;
    }
    report.slotsInUse = *inUse;
    report.slots = *slots;
    return true;
}

/// Parses a comma-separated list of "snapshot:layout".
bool parseSnapshots(std::string_view text, backend_report &report)
{
    while (!text.empty()) {
        const auto comma = text.find(',');
        const auto item = text.substr(0, comma);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
        const auto colon = item.find(':');
        if (colon == std::string_view::npos) {
            return false;
        }
        const auto snapshot = parseNumber<std::uint64_t>(item.substr(0, colon));
        const auto layout = parseNumber<std::uint32_t>(item.substr(colon + 1));
        if (!snapshot || !layout) {
            return false;
        }
        report.heldSnapshots.push_back({*snapshot, *layout});
    }
    return true;
}

/// Fills the answer from the body, or sets status failed and code protocolError when the body belongs to another request or shard.
/// Throws nlohmann::json::exception when a member is missing or invalid.
void parseSearchBody(const nlohmann::json &body, const std::string &requestId, const shard_id &shard, shard_answer &answer)
{
    if (body.at("requestId").get_ref<const std::string &>() != requestId
        || body.at("shard").get_ref<const std::string &>() != shard.str()) {
        answer.status = shard_status::failed;
        answer.code = error_code::protocolError;
        return;
    }
    answer.snapshot = {body.at("snapshot").get<std::uint64_t>(), body.at("layout").get<std::uint32_t>()};
    for (const auto &item : body.at("hits")) {
        answer.hits.push_back({item.at("id").get<std::string>(), item.at("score").get<double>(), item.at("text").get<std::string>()});
    }
    answer.status = body.value("partial", false) ? shard_status::partial : shard_status::answered;
}

} // namespace

std::optional<backend_report> parseReport(const http_reply &reply)
{
    backend_report report;
    const auto state = parseState(headerValue(reply.headers, "X-State"));
    report.instance = headerValue(reply.headers, "X-Instance");
    if (!state || report.instance.empty() || !parseLoad(headerValue(reply.headers, "X-Load"), report)
        || !parseSnapshots(headerValue(reply.headers, "X-Snapshots"), report)) {
        return std::nullopt;
    }
    report.state = *state;
    return report;
}

bool isMarkedNotRun(const http_reply &reply)
{
    return headerValue(reply.headers, "X-Not-Run") == "1";
}

void parseSearchReply(const http_reply &reply, const std::string &requestId, const shard_id &shard, shard_answer &answer)
{
    try {
        parseSearchBody(nlohmann::json::parse(reply.body), requestId, shard, answer);
    } catch (const nlohmann::json::exception &) {
        answer.hits.clear();
        answer.status = shard_status::failed;
        answer.code = error_code::protocolError;
    }
}

} // namespace orioledrum
