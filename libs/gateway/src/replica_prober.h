#pragma once

#include <search/replica_registry.h>

#include <asio/steady_timer.hpp>

namespace orioledrum
{

class http_client;
struct gateway_state;

/// Sends health checks to backend servers that have stopped answering, so that callers' requests are not needed to find out whether
/// they have recovered.
class replica_prober
{
public:
    replica_prober(gateway_state &state, http_client &client);

    /// Starts a timer that regularly probes the backend servers that replica_registry::takeProbes() returns.
    void start();

private:
    void tick();
    void probe(const replica_registry::replica_ptr &server);

    gateway_state &m_state;
    http_client &m_client;
    asio::steady_timer m_timer;
};

} // namespace orioledrum
