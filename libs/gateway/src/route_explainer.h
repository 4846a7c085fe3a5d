#pragma once

#include <base/monotonic_clock.h>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace orioledrum
{

class publication_reader;
class usage_caps;
struct gateway_state;
struct organisation;
struct route;

/// Explains where a request would go if a caller sent it now, by the functions that decide on requests. Sends nothing, and decides later
/// requests as if it had not been asked.
class route_explainer
{
public:
    /// A request that is not sent.
    struct question {
        std::string method = "GET";
        std::string host; ///< Value of the Host header.
        std::string target; ///< Path and query.
        std::string organisation; ///< Name of the organisation whose key the request would carry; empty: none.
        std::optional<std::uint32_t> priority; ///< In place of that of the organisation and the route.

        /// @param query "name=value" pairs, percent-encoded and separated by '&': method, host, target, organisation, priority.
        /// @return The question; nothing when a name is unknown, a value is malformed or there is no target.
        static std::optional<question> parse(std::string_view query);
    };

    /// All arguments must outlive this object.
    route_explainer(gateway_state &state, const publication_reader &reader, const usage_caps &usage);

    /// @return A JSON object; see docs/OPERATIONS.md.
    [[nodiscard]] std::string explain(const question &asked, time_point now) const;

private:
    /// @return The candidates for calls to a service, the first one first.
    [[nodiscard]] nlohmann::json servers(const std::string &service, std::chrono::microseconds unqueuedLatency, time_point now) const;
    void explainSearch(nlohmann::json &answer, const route &route, time_point now) const;
    void explainForward(nlohmann::json &answer, const route &route, time_point now) const;
    void explainCap(nlohmann::json &answer, const organisation &member) const;

    gateway_state &m_state;
    const publication_reader &m_reader;
    const usage_caps &m_usage;
};

} // namespace orioledrum
