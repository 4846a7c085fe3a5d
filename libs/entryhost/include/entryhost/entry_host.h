#pragma once

#include <base/error.h>

#include <cstdint>
#include <memory>

namespace orioledrum
{

struct entry_host_settings;

/// One entry host: serves callers, owns backend servers, and exchanges control messages with other entry hosts.
class entry_host
{
public:
    /// Binds all addresses and starts all threads.
    /// @param options Checked settings.
    /// @return The running host, or an error that names the step and the address.
    static expected<std::unique_ptr<entry_host>> create(const entry_host_settings &options);

    /// Stops at once if stop() was not called.
    ~entry_host();
    entry_host(const entry_host &) = delete;
    entry_host &operator=(const entry_host &) = delete;

    /// Stops gracefully: withdraws readiness, waits for the load balancer, finishes requests, gives the leases back and closes
    /// connections. Bounded by entry_host_settings::stopLimit.
    /// @return True when every request was finished.
    bool stop();

    /// @return Port for callers.
    [[nodiscard]] std::uint16_t callerPort() const;
    /// @return Port for other entry hosts.
    [[nodiscard]] std::uint16_t peerPort() const;
    /// @return Port for administration.
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    struct impl;
    explicit entry_host(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
