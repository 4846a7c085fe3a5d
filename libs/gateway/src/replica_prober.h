#pragma once

#include <search/replica_board.h>

#include <asio/steady_timer.hpp>

namespace orioledrum
{

class http_client;
struct gateway_state;

/// Asks backend servers that have stopped to answer whether they are back, so that no caller's request has to try.
class replica_prober
{
public:
    replica_prober(gateway_state &state, http_client &client);

    /// Starts to look for suspects at regular times.
    void start();

private:
    void tick();
    void probe(const replica_board::replica_ptr &server);

    gateway_state &m_state;
    http_client &m_client;
    asio::steady_timer m_timer;
};

} // namespace orioledrum
