#pragma once

#include <base/error.h>
#include <transport/http_call.h>
#include <transport/http_failure.h>
#include <transport/http_reply.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <tl/expected.hpp>

namespace asio
{
class io_context;
}

namespace orioledrum
{

/// Timeouts and limits of an http_client.
struct http_client_settings {
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds unacknowledgedTimeout{5000}; ///< A connection is closed when sent data is not acknowledged within this time.
    std::size_t maxReplyBytes = std::size_t{16} * 1024 * 1024; ///< A larger reply body fails with tooLarge.
    /// Limit of the reply bodies that are being received, summed over all calls. A reply that takes more than what is left of it, and more
    /// than 256 KiB, fails with tooLarge, so that servers that send without end do not starve the other calls. Of n equal replies that
    /// are received together each may have limit / (1.25 n + 1) bytes: buffers grow by a quarter.
    std::size_t maxBufferedBytes = std::size_t{64} * 1024 * 1024;
    std::size_t maxIdleConnections = 1024; ///< Limit of the connections kept for reuse, summed over all addresses.
    std::size_t maxConnectionsPerAddress = 0; ///< Calls over this limit wait for a free connection; 0: no limit.
};

/// Identifies one call of an http_client.
enum class http_call_handle : std::uint64_t {};

/// Sends HTTP/1.1 requests and reuses connections.
/// Not thread-safe: an instance belongs to one io_context that is run by one thread. Every function, including the
/// destructor, must be called on that thread, or while the io_context does not run.
class http_client
{
public:
    using settings = http_client_settings;
    using result = tl::expected<http_reply, http_failure>;
    using callback = std::function<void(result)>;

    /// @param context Runs the calls; must outlive the client.
    /// @return The client, or an error if libcurl could not be initialised.
    static expected<std::unique_ptr<http_client>> create(asio::io_context &context, const settings &settings);

    /// Closes all connections. Callbacks of outstanding calls are destroyed without being called.
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Starts a call. An invalid call fails with invalidArgument through `done`.
    /// @param done Called exactly once with the result, never from within send() or cancel().
    /// @return A handle for cancel().
    http_call_handle send(http_call call, callback done);

    /// Cancels a call; its callback receives the code `cancelled`, after cancel() has returned. Has no effect when the call
    /// has already ended.
    /// @param handle Result of send().
    void cancel(http_call_handle handle);

    /// @return Number of outstanding calls, including cancelled calls that continue because of closeOnCancel = false.
    [[nodiscard]] std::size_t openCalls() const;

    /// @return Number of connections, including idle connections and those being established.
    [[nodiscard]] std::size_t connections() const;

    /// @param address "address:port" of a server.
    /// @return Number of connections to that server, including idle connections and those being established.
    [[nodiscard]] std::size_t connections(std::string_view address) const;

    /// Closes the idle connections to a server; connections that a call uses stay open.
    /// @param address "address:port" of the server.
    void closeIdleConnections(std::string_view address);

private:
    class impl;
    explicit http_client(std::shared_ptr<impl> implementation);
    std::shared_ptr<impl> m_impl;
};

} // namespace orioledrum
