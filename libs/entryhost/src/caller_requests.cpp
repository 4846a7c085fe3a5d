#include "caller_requests.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <initializer_list>

namespace orioledrum
{

namespace
{

using nlohmann::json;

constexpr auto readStep = "read request";

/// Reads members of a JSON object and records the first error. Returns an empty value for a missing or invalid member.
class object_reader
{
public:
    explicit object_reader(const json &object)
        : m_object(object)
    {
    }

    void rejectUnknownKeys(std::initializer_list<std::string_view> known)
    {
        for (const auto &item : m_object.items()) {
            if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
                recordInvalidArgument("unknown key '" + item.key() + "'");
            }
        }
    }

    /// @param required If true, a missing or empty text is an error.
    std::string readText(const std::string &key, std::size_t maxBytes, bool required)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            if (required) {
                recordInvalidArgument("'" + key + "' is missing");
            }
            return {};
        }
        if (!found->is_string()) {
            recordInvalidArgument("'" + key + "' is " + found->type_name() + "; expected a string");
            return {};
        }
        const auto &value = found->get_ref<const std::string &>();
        if (value.size() > maxBytes || (required && value.empty())) {
            recordInvalidArgument("'" + key + "' has " + std::to_string(value.size()) + " bytes; allowed are 1 to "
                                  + std::to_string(maxBytes));
            return {};
        }
        return value;
    }

    std::optional<double> readNumber(const std::string &key, double minimum, double maximum)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            return std::nullopt;
        }
        if (!found->is_number()) {
            recordInvalidArgument("'" + key + "' is " + found->type_name() + "; expected a number");
            return std::nullopt;
        }
        const double value = found->get<double>();
        if (!(value >= minimum && value <= maximum)) {
            recordInvalidArgument("'" + key + "' is " + found->dump() + "; allowed are " + json(minimum).dump() + " to "
                                  + json(maximum).dump());
            return std::nullopt;
        }
        return value;
    }

    /// Reads "deadlineMs". A value of 0 or less is reported as deadlineExceeded, because it counts as a deadline in the past.
    std::optional<std::chrono::milliseconds> readDeadline()
    {
        const auto found = m_object.find("deadlineMs");
        if (found != m_object.end() && found->is_number() && found->get<double>() <= 0) {
            recordError(error_code::deadlineExceeded, "'deadlineMs' is " + found->dump() + "; the deadline has already passed");
            return std::nullopt;
        }
        const auto value = readNumber("deadlineMs", 1, static_cast<double>(caller_api_limits::maxDeadline.count()));
        if (!value) {
            return std::nullopt;
        }
        return std::chrono::milliseconds(static_cast<std::int64_t>(*value));
    }

    void recordError(error_code code, std::string message)
    {
        if (!m_failure) {
            m_failure = error{code, std::move(message), readStep, {}};
        }
    }
    void recordInvalidArgument(std::string message) { recordError(error_code::invalidArgument, std::move(message)); }
    [[nodiscard]] const std::optional<error> &failure() const { return m_failure; }

private:
    const json &m_object;
    std::optional<error> m_failure;
};

constexpr std::size_t maxNameBytes = 128;

expected<json> parseObject(const std::string &body)
{
    auto value = json::parse(body, nullptr, false);
    if (value.is_discarded()) {
        return makeError(error_code::malformed, readStep, "the body is not valid JSON");
    }
    if (!value.is_object()) {
        return makeError(error_code::malformed, readStep, std::string("the body is ") + value.type_name() + "; expected an object");
    }
    return value;
}

/// @return The value, or the first error that the reader recorded.
template<typename T>
expected<T> valueOrError(const object_reader &reader, T value)
{
    if (reader.failure()) {
        return tl::unexpected<error>(*reader.failure());
    }
    return value;
}

/// @return The customer of the request, or "default" when it names none.
customer_id readCustomer(object_reader &reader)
{
    auto name = reader.readText("customer", maxNameBytes, false);
    return customer_id(name.empty() ? "default" : std::move(name));
}

} // namespace

expected<caller_search> parseSearch(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    object_reader reader(*object);
    reader.rejectUnknownKeys({"service", "query", "customer", "deadlineMs", "minCoverage", "limit", "priority"});
    caller_search search;
    search.service = service_id(reader.readText("service", maxNameBytes, true));
    search.query = reader.readText("query", caller_api_limits::maxQueryBytes, true);
    search.customer = readCustomer(reader);
    search.deadline = reader.readDeadline();
    search.minCoverage = reader.readNumber("minCoverage", 0, 1);
    search.limit = static_cast<unsigned>(reader.readNumber("limit", 1, caller_api_limits::maxResultCount).value_or(10));
    search.priority = static_cast<int>(reader.readNumber("priority", 0, caller_api_limits::maxPriority).value_or(0));
    return valueOrError(reader, std::move(search));
}

expected<caller_ticket_request> parseTicketRequest(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    object_reader reader(*object);
    reader.rejectUnknownKeys({"service", "customer"});
    caller_ticket_request request;
    request.service = service_id(reader.readText("service", maxNameBytes, true));
    request.customer = readCustomer(reader);
    return valueOrError(reader, std::move(request));
}

expected<caller_order> parseOrder(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    object_reader reader(*object);
    reader.rejectUnknownKeys({"service", "customer", "deadlineMs", "order"});
    caller_order order;
    order.service = service_id(reader.readText("service", maxNameBytes, true));
    order.customer = readCustomer(reader);
    order.deadline = reader.readDeadline();
    if (const auto found = object->find("order"); found == object->end()) {
        reader.recordInvalidArgument("'order' is missing");
    } else {
        order.order = found->dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return valueOrError(reader, std::move(order));
}

} // namespace orioledrum
