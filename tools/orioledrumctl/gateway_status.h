#pragma once

#include <base/error.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Status of a gatewayd process, read from its metrics.
struct gateway_status {
    /// Calls to one service since the start of the process, see call_account in libs/limits.
    struct service_calls {
        std::uint64_t first = 0;
        std::uint64_t extra = 0;
        std::uint64_t written = 0;
        std::uint64_t notWritten = 0;
        std::uint64_t unaccounted = 0;
    };

    /// An organisation of the active configuration.
    struct organisation_status {
        double keys = 0;
        double ratePerSecond = 0; ///< Of its usage cap; 0: none.
        double burst = 0;
    };

    /// Number of refused requests since the start of the process, by reason.
    using refusals = std::map<std::string, std::uint64_t>;

    bool ready = false;
    std::uint64_t configVersion = 0;
    std::uint64_t hosts = 0;
    std::uint64_t backendServers = 0;
    std::map<std::string, service_calls> services;
    std::map<std::string, organisation_status> organisations;
    /// By organisation; empty for requests whose organisation is not known. May hold organisations that the configuration no longer has.
    std::map<std::string, refusals> refused;

    /// @param metrics Text format of Prometheus. Unknown metrics are ignored.
    /// @param host Named in the error.
    /// @return The status, or a malformed error when a metric of the status is missing or not a number.
    static expected<gateway_status> parse(std::string_view metrics, const std::string &host);

    /// @return Sum over all services.
    [[nodiscard]] service_calls totalCalls() const;
    /// @return "key: value" lines; of the services only those with unaccounted calls.
    [[nodiscard]] std::string text() const;
    /// @return A JSON object with all services.
    [[nodiscard]] std::string json() const;
};

} // namespace orioledrum
