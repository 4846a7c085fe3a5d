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

/// Reads the members of a JSON object and keeps the first problem.
class object_reader
{
public:
    explicit object_reader(const json &object)
        : m_object(object)
    {
    }

    void rejectUnknown(std::initializer_list<std::string_view> known)
    {
        for (const auto &item : m_object.items()) {
            if (std::find(known.begin(), known.end(), item.key()) == known.end()) {
                fail("unknown key '" + item.key() + "'");
            }
        }
    }

    std::string text(const std::string &key, std::size_t longest, bool required)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            if (required) {
                fail("'" + key + "' is missing");
            }
            return {};
        }
        if (!found->is_string()) {
            fail("'" + key + "' is " + found->type_name() + "; expected a string");
            return {};
        }
        const auto &value = found->get_ref<const std::string &>();
        if (value.size() > longest || (required && value.empty())) {
            fail("'" + key + "' has " + std::to_string(value.size()) + " bytes; allowed are 1 to " + std::to_string(longest));
            return {};
        }
        return value;
    }

    std::optional<double> number(const std::string &key, double least, double greatest)
    {
        const auto found = m_object.find(key);
        if (found == m_object.end()) {
            return std::nullopt;
        }
        if (!found->is_number()) {
            fail("'" + key + "' is " + found->type_name() + "; expected a number");
            return std::nullopt;
        }
        const double value = found->get<double>();
        if (!(value >= least && value <= greatest)) {
            fail("'" + key + "' is " + found->dump() + "; allowed are " + json(least).dump() + " to " + json(greatest).dump());
            return std::nullopt;
        }
        return value;
    }

    std::optional<std::chrono::milliseconds> deadline()
    {
        const auto found = m_object.find("deadlineMs");
        if (found != m_object.end() && found->is_number() && found->get<double>() <= 0) {
            failAs(error_code::deadlineExceeded, "'deadlineMs' is " + found->dump() + "; the deadline has already passed");
            return std::nullopt;
        }
        const auto value = number("deadlineMs", 1, static_cast<double>(caller_limits::longestDeadline.count()));
        if (!value) {
            return std::nullopt;
        }
        return std::chrono::milliseconds(static_cast<std::int64_t>(*value));
    }

    void failAs(error_code code, std::string message)
    {
        if (!m_failure) {
            m_failure = error{code, std::move(message), readStep, {}};
        }
    }
    void fail(std::string message) { failAs(error_code::invalidArgument, std::move(message)); }
    [[nodiscard]] const std::optional<error> &failure() const { return m_failure; }

private:
    const json &m_object;
    std::optional<error> m_failure;
};

constexpr std::size_t longestName = 128;

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

template<typename T>
expected<T> finish(const object_reader &reader, T value)
{
    if (reader.failure()) {
        return tl::unexpected<error>(*reader.failure());
    }
    return value;
}

customer_id readCustomer(object_reader &reader)
{
    auto name = reader.text("customer", longestName, false);
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
    reader.rejectUnknown({"service", "query", "customer", "deadlineMs", "minCoverage", "limit", "priority"});
    caller_search search;
    search.service = service_id(reader.text("service", longestName, true));
    search.query = reader.text("query", caller_limits::longestQuery, true);
    search.customer = readCustomer(reader);
    search.deadline = reader.deadline();
    search.minCoverage = reader.number("minCoverage", 0, 1);
    search.limit = static_cast<unsigned>(reader.number("limit", 1, caller_limits::greatestResultCount).value_or(10));
    search.priority = static_cast<int>(reader.number("priority", 0, caller_limits::greatestPriority).value_or(0));
    return finish(reader, std::move(search));
}

expected<caller_ticket> parseTicketRequest(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    object_reader reader(*object);
    reader.rejectUnknown({"service", "customer"});
    caller_ticket request;
    request.service = service_id(reader.text("service", longestName, true));
    request.customer = readCustomer(reader);
    return finish(reader, std::move(request));
}

expected<caller_order> parseOrder(const std::string &body)
{
    const auto object = parseObject(body);
    if (!object) {
        return tl::unexpected<error>(object.error());
    }
    object_reader reader(*object);
    reader.rejectUnknown({"service", "customer", "deadlineMs", "order"});
    caller_order order;
    order.service = service_id(reader.text("service", longestName, true));
    order.customer = readCustomer(reader);
    order.deadline = reader.deadline();
    if (const auto found = object->find("order"); found == object->end()) {
        reader.fail("'order' is missing");
    } else {
        order.order = found->dump(-1, ' ', false, json::error_handler_t::replace);
    }
    return finish(reader, std::move(order));
}

} // namespace orioledrum
