#include <standin/http_message.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace orioledrum::standin
{

namespace
{

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    if (text.empty() || error != std::errc{} || position != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

std::optional<std::int64_t> http_request::queryNumber(const std::string &name) const
{
    const auto found = query.find(name);
    return found == query.end() ? std::nullopt : parseNumber(found->second);
}

std::optional<std::int64_t> http_request::headerNumber(std::string_view name) const
{
    return parseNumber(header(name));
}

http_response errorResponse(int status, std::string_view code, std::string_view message)
{
    const nlohmann::json body = {{"error", {{"code", code}, {"message", message}}}};
    return {status, {}, body.dump()};
}

} // namespace orioledrum::standin
