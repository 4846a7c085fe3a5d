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
    /// Starts to listen and to read the published state.
    /// @param context Event loop, which the calling code runs. context, codec, source and client must outlive the gateway.
    /// @param settings Addresses and limits.
    /// @param codec Translates between HTTP messages and the types of the query tier.
    /// @param source Source of the published state.
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

    /// Applies changed settings. Only the seeds are applied; all other settings need a restart.
    void reload(const gateway_settings &settings);

    /// Starts a graceful stop: reports not ready, finishes the open requests, then stops the event loop.
    void stop();

private:
    class impl;
    explicit gateway(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
