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
    /// @param settings Settings that parseSettings() has validated; they are not validated again.
    /// @return The running host, or an error that names the failed step.
    static expected<std::unique_ptr<entry_host>> create(const entry_host_settings &settings);

    /// Without a preceding stop(), ends all threads without waiting for open requests, which are dropped.
    ~entry_host();
    entry_host(const entry_host &) = delete;
    entry_host &operator=(const entry_host &) = delete;

    /// Planned stop: reports not ready, waits entry_host_settings::callerPortCloseDelay for the load balancer to react, finishes open
    /// requests, releases the leases and closes connections. Blocks for at most entry_host_settings::stopLimit, provided that
    /// callerPortCloseDelay is shorter. The last 4 s of stopLimit are reserved for releasing the leases and ending peer
    /// streams; caller requests that are still open when these 4 s begin are dropped.
    /// @return True when all requests finished, all leases were released and all peer streams ended in time.
    bool stop();

    /// @return Bound port for callers, also if the configured port is 0.
    [[nodiscard]] std::uint16_t callerPort() const;
    /// @return Bound port for other entry hosts, also if the configured port is 0.
    [[nodiscard]] std::uint16_t peerPort() const;
    /// @return Bound port for administration and metrics, also if the configured port is 0.
    [[nodiscard]] std::uint16_t adminPort() const;

private:
    struct impl;
    explicit entry_host(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
