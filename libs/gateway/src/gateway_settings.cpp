#include <gateway/gateway_settings.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <fstream>
#include <sstream>

namespace orioledrum
{

namespace
{

using json = nlohmann::json;

/// Reads the fields of one object and keeps the first problem.
class field_reader
{
public:
    explicit field_reader(const json &object)
        : m_object(object)
    {
    }

    void text(const char *key, std::string &into)
    {
        if (const auto *value = need(key)) {
            if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
                fail(key, "must be a text that is not empty");
                return;
            }
            into = value->get<std::string>();
        }
    }

    void number(const char *key, double least, double &into)
    {
        if (const auto *value = need(key)) {
            if (!value->is_number() || value->get<double>() < least) {
                fail(key, "must be a number of at least " + std::to_string(least));
                return;
            }
            into = value->get<double>();
        }
    }

    void milliseconds(const char *key, std::chrono::milliseconds &into)
    {
        double value = 0;
        number(key, 1, value);
        into = std::chrono::milliseconds(static_cast<std::int64_t>(value));
    }

    void address(const char *key, listen_address &into)
    {
        std::string value;
        text(key, value);
        if (!m_problem.empty()) {
            return;
        }
        const auto colon = value.rfind(':');
        unsigned port = 0;
        const char *end = value.data() + value.size();
        const auto parsed = colon == std::string::npos ? std::from_chars_result{end, std::errc::invalid_argument}
                                                       : std::from_chars(value.data() + colon + 1, end, port);
        if (parsed.ec != std::errc() || parsed.ptr != end || port > UINT16_MAX) {
            fail(key, "must be of the form address:port, found '" + value + "'");
            return;
        }
        into = {value.substr(0, colon), static_cast<std::uint16_t>(port)};
    }

    void texts(const char *key, std::vector<std::string> &into)
    {
        const auto *value = need(key);
        if (value == nullptr) {
            return;
        }
        if (!value->is_array()) {
            fail(key, "must be a list of texts");
            return;
        }
        for (const auto &entry : *value) {
            if (!entry.is_string()) {
                fail(key, "must be a list of texts");
                return;
            }
            into.push_back(entry.get<std::string>());
        }
    }

    [[nodiscard]] const std::string &problem() const { return m_problem; }

private:
    const json *need(const char *key)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end() || found->is_null()) {
            fail(key, "is missing");
            return nullptr;
        }
        return &*found;
    }

    void fail(const char *key, const std::string &what)
    {
        if (m_problem.empty()) {
            m_problem = "field '" + std::string(key) + "' " + what;
        }
    }

    const json &m_object;
    std::string m_problem;
};

} // namespace

expected<gateway_settings> gateway_settings::parse(std::string_view text, const std::string &file)
{
    const auto parsed = json::parse(text, nullptr, false, true);
    if (parsed.is_discarded() || !parsed.is_object()) {
        return makeError(error_code::malformed, "read settings", "the file is not a JSON object", file);
    }
    gateway_settings settings;
    field_reader reader(parsed);
    std::string host;
    std::string zone;
    double descriptors = 0;
    reader.text("host", host);
    reader.text("zone", zone);
    reader.address("callers", settings.callers);
    reader.address("readiness", settings.readiness);
    reader.address("hosts", settings.hosts);
    reader.address("metrics", settings.metrics);
    reader.texts("seeds", settings.seeds);
    reader.text("platform", settings.platform);
    reader.number("maxDescriptors", 64, descriptors);
    reader.number("extraCallShare", 0, settings.extraCalls.share);
    reader.number("extraCallSlack", 0, settings.extraCalls.slack);
    reader.number("coldFactor", 0, settings.coldFactor);
    reader.number("coldSlack", 0, settings.coldSlack);
    reader.milliseconds("configurationInForceMs", settings.configurationInForce);
    reader.milliseconds("contactLossMs", settings.contactLoss);
    reader.milliseconds("stopTimeMs", settings.stopTime);
    reader.milliseconds("lapsedReturnMs", settings.lapsedReturn);
    reader.milliseconds("callerDelayMs", settings.callerDelay);
    if (!reader.problem().empty()) {
        return makeError(error_code::invalidArgument, "read settings", reader.problem(), file);
    }
    settings.host = entry_host_id(host);
    settings.zone = zone_id(zone);
    settings.maxDescriptors = static_cast<std::uint32_t>(descriptors);
    return settings;
}

expected<gateway_settings> gateway_settings::load(const std::string &file)
{
    std::ifstream stream(file);
    if (!stream) {
        return makeError(error_code::notReady, "read settings", "the file cannot be opened", file);
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return parse(text.str(), file);
}

} // namespace orioledrum
