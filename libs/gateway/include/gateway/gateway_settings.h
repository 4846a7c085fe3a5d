#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <limits/extra_call_budget.h>
#include <limits/usage_cap_limits.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
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
    std::vector<std::string> seeds; ///< Addresses of entry hosts that are contacted first, to find the others.
    std::string platform; ///< "ip:port" of the platform's store.
    std::uint32_t maxDescriptors = 4096; ///< Limit of file descriptors of this process.
    extra_call_limits extraCalls; ///< Limits of hedges and retries.
    std::chrono::milliseconds extraCallWindow{10000}; ///< Length of the windows in which these limits hold.
    double coldFactor = 1; ///< Highest request rate of a cold backend server, as a multiple of its service's maxColdRequestsPerSecond.
    double coldSlack = 0; ///< Requests per second added to that rate.
    std::chrono::milliseconds maxActivationDelay{3000}; ///< Maximum time from the publication of a configuration to its use.
    /// Maximum time to notice that the platform no longer answers; limits how long a read of its store may take.
    std::chrono::milliseconds contactLossTimeout{4000};
    /// Time from the report that a backend server drains until no request may reach it. 0 when the settings do not give it: a draining
    /// backend server is then not called at all.
    std::chrono::milliseconds drainTime{0};
    /// Maximum time from the exclusion of an availability zone until its backend servers get no calls. 0 when the settings do not give it:
    /// the other bounds then decide alone.
    std::chrono::milliseconds maxExclusionDelay{0};
    std::chrono::milliseconds stopTime{6000}; ///< From the stop signal until the process is killed.
    /// Entries that expired during a platform outage are published again within this time after the outage.
    std::chrono::milliseconds expiredEntryReturnTime{2000};
    std::chrono::milliseconds callerDelay{3}; ///< One-way network delay between callers and this host.
    std::optional<std::uint64_t> memoryBytes; ///< Memory that this process may use.
    std::optional<double> processorShare; ///< Share of each processor that this process may use, above 0 and at most 1.
    std::optional<double> processors; ///< Number of processors.
    std::optional<usage_cap_limits> usageCaps; ///< Bound on the caps of organisations over all hosts.
    /// Requests in progress whose key was withdrawn end within revocationTime.
    bool strictRevocation = false;
    std::optional<std::chrono::milliseconds> revocationTime; ///< From the publication of the withdrawal.
    bool learnedLimits = true; ///< Learn from the answers of each backend server how many calls it takes well.

    /// Memory of the machine when the settings do not give it, in bytes: with it, the limits below are those that held before.
    static constexpr std::uint64_t defaultMemoryBytes = std::uint64_t{256} * 1024 * 1024;

    /// @return Limit of the bytes that callers and other hosts may make this process hold: a fifth of the memory. Requests that are being
    /// handled are held up to three times, and the rest of the process takes about 20 MB of the 112 MB of the smallest host.
    [[nodiscard]] std::size_t callerMemoryBytes() const { return memoryBytes.value_or(defaultMemoryBytes) / 5; }

    /// @return Limit of the bytes of replies of backend servers, other hosts and the store that are being received: a quarter of the
    /// memory.
    [[nodiscard]] std::size_t replyMemoryBytes() const { return memoryBytes.value_or(defaultMemoryBytes) / 4; }

    /// @return The shortest of the bounds on changes of the published state; changes of all kinds are read together.
    [[nodiscard]] std::chrono::milliseconds shortestChangeBound() const;

    /// @param text JSON with comments.
    /// @param file File name for error messages.
    /// @return The settings, or an error that says which field is missing or invalid, or that the text is not a JSON object.
    static expected<gateway_settings> parse(std::string_view text, const std::string &file);

    /// Reads and parses a file. Fails with notReady when it cannot be opened, and otherwise like parse().
    static expected<gateway_settings> load(const std::string &file);
};

} // namespace orioledrum
