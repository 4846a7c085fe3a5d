#pragma once

#include <base/monotonic_clock.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace orioledrum::load
{

/// The end of one HTTP exchange.
struct http_result {
    bool answered = false; ///< False when there is no complete answer.
    std::string errorMessage; ///< Set when there is no answer.
    int status = 0;
    std::string body;
};

/// Sends many requests at once from one thread.
class http_engine
{
public:
    using callback = std::function<void(const http_result &)>;

    http_engine();
    ~http_engine();
    http_engine(const http_engine &) = delete;
    http_engine &operator=(const http_engine &) = delete;

    /// Starts a request.
    /// @param method GET, POST or PUT.
    /// @param done Called from runUntil; may call send.
    void send(const std::string &method, const std::string &url, std::string body, std::chrono::milliseconds timeout, callback done);

    /// Exchanges data until a time, or until at least one request has ended.
    void runUntil(time_point until);

    /// @return Number of requests in progress.
    [[nodiscard]] std::size_t active() const;

private:
    struct state;
    struct transfer;

    void finishEnded();

    std::unique_ptr<state> m_state;
};

} // namespace orioledrum::load
