#pragma once

#include <backend_caller.h>

#include <base/monotonic_clock.h>
#include <config/route_table.h>
#include <transport/http_exchange.h>
#include <transport/http_request.h>

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

struct gateway_state;

/// One request of a caller while it is served: its calls, its timer and its answer. Lives until all calls have ended, so
/// that late outcomes still teach the replicas.
class caller_request : public std::enable_shared_from_this<caller_request>
{
public:
    /// What is known when the request arrives.
    struct arrival {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        std::string requestId;
        std::shared_ptr<const route_table> table; ///< Keeps `matched` valid.
        const route *matched = nullptr;
        time_point at;
        time_point target; ///< When an answer should leave this host to reach the caller within its target.
        time_point deadline; ///< When the final answer must leave this host.
    };

    virtual ~caller_request() = default;
    caller_request(const caller_request &) = delete;
    caller_request &operator=(const caller_request &) = delete;

    /// Begins to serve the request.
    void start();

protected:
    caller_request(gateway_state &state, arrival received);

    /// @return What decides about the calls of the request.
    [[nodiscard]] virtual call_run &run() = 0;
    /// Starts the run, and what goes on besides its calls.
    virtual void startRun(time_point now) { run().start(now); }
    /// Applies the passing of time.
    virtual void wakeupRun(time_point now) { run().wakeup(now); }
    /// A call has ended.
    virtual void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) = 0;
    /// Answers the caller; called once, when the run has finished.
    virtual void answer(time_point now) = 0;

    /// Breaks off what the run has going on besides its calls, when the caller is gone.
    virtual void cancelRun() {}
    /// Sends what the run wants sent, answers when it has finished, and sets the timer.
    void advance(time_point now);
    /// @return True after the answer, or when the caller is gone.
    [[nodiscard]] bool ended() const { return m_ended; }
    [[nodiscard]] const call_template &callTemplate() const { return *m_template; }

    /// Sends the answer and counts it. @return Time since the arrival.
    std::chrono::microseconds respond(http_response response, std::string_view outcome, time_point now);

    [[nodiscard]] const arrival &input() const { return m_arrival; }
    [[nodiscard]] gateway_state &state() { return m_state; }

private:
    struct open_call {
        std::uint64_t attempt = 0;
        http_call_handle handle{};
    };

    void send(const send_call &call);
    void armTimer(time_point now);
    void callerGone();

    gateway_state &m_state;
    arrival m_arrival;
    std::shared_ptr<const call_template> m_template;
    asio::steady_timer m_timer;
    time_point m_armedFor = time_point::max();
    std::vector<open_call> m_open;
    bool m_ended = false; // Answered, or the caller is gone.
};

/// Creates the handler of a request by the kind of its route.
std::shared_ptr<caller_request> makeCallerRequest(gateway_state &state, caller_request::arrival arrival);

} // namespace orioledrum
