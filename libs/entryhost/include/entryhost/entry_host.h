#pragma once

#include <base/error.h>

#include <cstdint>
#include <memory>

namespace orioledrum
{

struct entry_host_settings;

/// An entry host process: serves callers, owns groups of backend servers through leases, and exchanges searches, orders and
/// control messages with other entry hosts.
class entry_host
{
public:
    /// Binds all addresses and starts all threads.
    /// @param options Validated settings.
    /// @return The running host, or an error that names the step and the address.
    static expected<std::unique_ptr<entry_host>> create(const entry_host_settings &options);

    /// Without a preceding stop(), ends all threads at once and drops open requests.
    ~entry_host();
    entry_host(const entry_host &) = delete;
    entry_host &operator=(const entry_host &) = delete;

    /// Stops gracefully: reports not ready, waits until the load balancer has reacted, finishes open requests, releases the leases
    /// and closes connections. Takes at most entry_host_settings::stopLimit.
    /// @return True when all requests finished, all leases were released and all peer streams ended in time.
    bool stop();

    /// @return Bound port for callers.
    [[nodiscard]] std::uint16_t callerPort() const;
    /// @return Bound port for other entry hosts.
    [[nodiscard]] std::uint16_t peerPort() const;
    /// @return Bound port for administration and metrics.
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    struct impl;
    explicit entry_host(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
