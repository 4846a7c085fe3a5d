#include <gateway/gateway_settings.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace orioledrum
{

namespace
{

using json = nlohmann::json;

/// Reads required fields of a JSON object and keeps the first problem.
class field_reader
{
public:
    explicit field_reader(const json &object)
        : m_object(object)
    {
    }

    void readString(const char *key, std::string &target)
    {
        if (const auto *value = findRequired(key)) {
            if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
                fail(key, "must be a text that is not empty");
                return;
            }
            target = value->get<std::string>();
        }
    }

    void readNumber(const char *key, double minimum, double &target)
    {
        if (const auto *value = findRequired(key)) {
            if (!value->is_number() || value->get<double>() < minimum) {
                fail(key, "must be a number of at least " + std::to_string(minimum));
                return;
            }
            target = value->get<double>();
        }
    }

    void readMilliseconds(const char *key, std::chrono::milliseconds &target)
    {
        double value = 0;
        readNumber(key, 1, value);
        target = std::chrono::milliseconds(static_cast<std::int64_t>(value));
    }

    /// Reads a number of seconds that may have a fraction, and rounds it down to milliseconds.
    void readSeconds(const char *key, std::chrono::milliseconds &target)
    {
        double value = 0;
        readNumber(key, 0.001, value);
        target = std::chrono::milliseconds(static_cast<std::int64_t>(value * 1000));
    }

    /// Reads a time from one of two keys, of which exactly one must be present.
    void readMillisecondsOrSeconds(const char *millisecondsKey, const char *secondsKey, std::chrono::milliseconds &target)
    {
        if (has(millisecondsKey) && has(secondsKey)) {
            fail(millisecondsKey, "must not be given together with '" + std::string(secondsKey) + "'");
        } else if (has(secondsKey)) {
            readSeconds(secondsKey, target);
        } else {
            readMilliseconds(millisecondsKey, target);
        }
    }

    [[nodiscard]] bool has(const char *key) const { return m_object.contains(key); }

    void readBool(const char *key, bool &target)
    {
        if (const auto *value = findRequired(key)) {
            if (!value->is_boolean()) {
                fail(key, "must be true or false");
                return;
            }
            target = value->get<bool>();
        }
    }

    void readAddress(const char *key, listen_address &target)
    {
        std::string value;
        readString(key, value);
        if (!m_firstProblem.empty()) {
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
        target = {value.substr(0, colon), static_cast<std::uint16_t>(port)};
    }

    void readStringList(const char *key, std::vector<std::string> &target)
    {
        const auto *value = findRequired(key);
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
            target.push_back(entry.get<std::string>());
        }
    }

    [[nodiscard]] const std::string &firstProblem() const { return m_firstProblem; }

private:
    const json *findRequired(const char *key)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end() || found->is_null()) {
            fail(key, "is missing");
            return nullptr;
        }
        return &*found;
    }

    void fail(const char *key, const std::string &description)
    {
        if (m_firstProblem.empty()) {
            m_firstProblem = "field '" + std::string(key) + "' " + description;
        }
    }

    const json &m_object;
    std::string m_firstProblem;
};

/// Reads the settings that a deployment may leave out.
void readOptionalSettings(field_reader &reader, gateway_settings &settings)
{
    constexpr double bytesPerMegabyte = 1024 * 1024;
    if (reader.has("memoryMb")) {
        double megabytes = 0;
        reader.readNumber("memoryMb", 1, megabytes);
        settings.memoryBytes = static_cast<std::uint64_t>(megabytes * bytesPerMegabyte);
    }
    if (reader.has("processorShare")) {
        reader.readNumber("processorShare", 0.001, settings.processorShare.emplace());
    }
    if (reader.has("processors")) {
        reader.readNumber("processors", 0.001, settings.processors.emplace());
    }
    if (reader.has("usageCapWindowS")) {
        auto &caps = settings.usageCaps.emplace();
        reader.readSeconds("usageCapWindowS", caps.window);
        reader.readNumber("usageCapOvershoot", 0, caps.overshoot);
        reader.readNumber("usageCapSlack", 0, caps.slack);
    }
    if (reader.has("strictRevocation")) {
        reader.readBool("strictRevocation", settings.strictRevocation);
    }
    if (reader.has("revocationMs")) {
        reader.readMilliseconds("revocationMs", settings.revocationTime.emplace());
    }
    if (reader.has("learnedLimits")) {
        reader.readBool("learnedLimits", settings.learnedLimits);
    }
}

} // namespace

std::chrono::milliseconds gateway_settings::shortestChangeBound() const
{
    auto shortest = std::min(maxActivationDelay, contactLossTimeout);
    const auto revocationBound = strictRevocation ? revocationTime.value_or(std::chrono::milliseconds(0)) : std::chrono::milliseconds(0);
    for (const auto bound : {drainTime, maxExclusionDelay, revocationBound}) {
        if (bound.count() > 0) {
            shortest = std::min(shortest, bound);
        }
    }
    return shortest;
}

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
    reader.readString("host", host);
    reader.readString("zone", zone);
    reader.readAddress("callers", settings.callers);
    reader.readAddress("readiness", settings.readiness);
    reader.readAddress("hosts", settings.hosts);
    reader.readAddress("metrics", settings.metrics);
    reader.readStringList("seeds", settings.seeds);
    reader.readString("platform", settings.platform);
    reader.readNumber("maxDescriptors", 64, descriptors);
    reader.readNumber("extraCallShare", 0, settings.extraCalls.share);
    reader.readNumber("extraCallSlack", 0, settings.extraCalls.slack);
    if (reader.has("extraCallWindowS")) {
        reader.readSeconds("extraCallWindowS", settings.extraCallWindow);
    }
    reader.readNumber("coldFactor", 0, settings.coldFactor);
    reader.readNumber("coldSlack", 0, settings.coldSlack);
    reader.readMilliseconds("configurationInForceMs", settings.maxActivationDelay);
    reader.readMilliseconds("contactLossMs", settings.contactLossTimeout);
    if (reader.has("drainMs")) {
        reader.readMilliseconds("drainMs", settings.drainTime);
    }
    if (reader.has("zoneOutOfUseMs")) {
        reader.readMilliseconds("zoneOutOfUseMs", settings.maxExclusionDelay);
    }
    reader.readMillisecondsOrSeconds("stopTimeMs", "stopTimeS", settings.stopTime);
    reader.readMilliseconds("lapsedReturnMs", settings.expiredEntryReturnTime);
    reader.readMilliseconds("callerDelayMs", settings.callerDelay);
    readOptionalSettings(reader, settings);
    if (!reader.firstProblem().empty()) {
        return makeError(error_code::invalidArgument, "read settings", reader.firstProblem(), file);
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
