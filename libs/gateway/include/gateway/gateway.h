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

/// The whole query tier of one entry host: takes requests of callers, calls backend servers, follows what the platform
/// publishes and keeps in touch with the other entry hosts. All of it runs on one io_context with one thread.
class gateway
{
public:
    /// Starts to listen and to read what is published.
    /// @param context The loop that the caller runs. It, source, codec and client must outlive the gateway.
    /// @param settings Addresses and limits.
    /// @param codec Translates messages.
    /// @param source What the platform publishes.
    /// @param client Client for backend servers.
    /// @return The gateway, or the address on which it could not listen.
    static expected<std::unique_ptr<gateway>> create(asio::io_context &context,
                                                     const gateway_settings &settings,
                                                     const message_codec &codec,
                                                     change_source &source,
                                                     http_client &client);
    ~gateway();
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;

    /// Takes changed settings; only the seeds change while the process runs.
    void reload(const gateway_settings &settings);

    /// Begins a graceful stop: reports itself not ready, finishes the open requests, then stops the loop.
    void stop();

private:
    class impl;
    explicit gateway(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
