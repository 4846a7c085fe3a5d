#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace orioledrum::load
{

/// Outcome of one HTTP exchange.
struct http_result {
    bool answered = false; ///< False when no complete answer arrived.
    std::string errorMessage; ///< Reason why there is no answer; empty otherwise.
    int status = 0; ///< HTTP status; 0 if none arrived.
    std::string body;
};

/// HTTP client that runs many requests concurrently on one thread.
class http_engine
{
public:
    using callback = std::function<void(const http_result &)>;

    http_engine();
    ~http_engine();
    http_engine(const http_engine &) = delete;
    http_engine &operator=(const http_engine &) = delete;

    /// Starts a request. Throws std::runtime_error if the request cannot be created.
    /// @param method GET, POST or PUT.
    /// @param timeout Time allowed from the start to the complete answer.
    /// @param done Called from runUntil when the request has ended; may call send.
    void send(const std::string &method, const std::string &url, std::string body, std::chrono::milliseconds timeout, callback done);

    /// Processes I/O until the given time. Returns earlier once fewer requests are in flight than at the call.
    void runUntil(time_point until);

    /// @return Number of requests in flight.
    [[nodiscard]] std::size_t active() const;

private:
    struct state;
    struct transfer;

    void completeTransfers();

    std::unique_ptr<state> m_state;
};

} // namespace orioledrum::load
