#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <limits/extra_call_budget.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// An IP address with a port.
struct listen_address {
    std::string address;
    std::uint16_t port = 0;

    /// @return "address:port".
    [[nodiscard]] std::string text() const { return address + ":" + std::to_string(port); }
};

/// Settings of one gateway process, from a JSON file with comments; docs/OPERATIONS.md documents the keys.
struct gateway_settings {
    entry_host_id host;
    zone_id zone;
    listen_address callers;
    listen_address readiness;
    listen_address hosts; ///< For traffic between entry hosts.
    listen_address metrics;
    std::vector<std::string> seeds; ///< Addresses for traffic between entry hosts, to find the first ones.
    std::string platform; ///< "ip:port" of the platform's service.
    std::uint32_t maxDescriptors = 4096;
    extra_call_limits extraCalls;
    double coldFactor = 1;
    double coldSlack = 0;
    std::chrono::milliseconds configurationInForce{3000}; ///< Bound on the time from a publication to its use.
    std::chrono::milliseconds contactLoss{4000}; ///< Time without the platform after which this host counts as out of touch.
    std::chrono::milliseconds stopTime{6000}; ///< From the stop signal to the kill.
    std::chrono::milliseconds lapsedReturn{2000}; ///< Entries that lapsed during an outage are back after this time.
    std::chrono::milliseconds callerDelay{3}; ///< One way between callers and this host.

    /// @param text JSON with comments.
    /// @param file Name for messages.
    /// @return The settings, or an error that names the field.
    static expected<gateway_settings> parse(std::string_view text, const std::string &file);

    /// Reads and parses a file.
    static expected<gateway_settings> load(const std::string &file);
};

} // namespace orioledrum
