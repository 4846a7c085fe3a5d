#pragma once

#include <base/error.h>

#include <memory>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class change_source;
class http_client;
class message_codec;
struct gateway_settings;

/// The query tier of one entry host: serves the requests of callers, calls backend servers, follows the state that the platform
/// publishes and exchanges heartbeats with the other entry hosts. Everything runs on one io_context with one thread.
class gateway
{
public:
    /// Opens the listening ports and starts to read the published state.
    /// @param context Event loop that the caller of this function runs. context, codec, source and client must outlive the gateway.
    /// @param client HTTP client for backend servers and other entry hosts.
    /// @return The gateway, or an error when it cannot listen on one of its addresses.
    static expected<std::unique_ptr<gateway>> create(asio::io_context &context,
                                                     const gateway_settings &settings,
                                                     const message_codec &codec,
                                                     change_source &source,
                                                     http_client &client);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /// Applies the seeds of the new settings; changes of all other settings need a restart.
    void reload(const gateway_settings &settings);

    /// Starts a graceful stop: reports not ready, tells the other entry hosts that this one is leaving, finishes the open requests of
    /// callers, then stops the event loop. The loop stops shortly before gateway_settings::stopTime has passed, even if requests are
    /// still open.
    void stop();

private:
    class impl;
    explicit gateway(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
