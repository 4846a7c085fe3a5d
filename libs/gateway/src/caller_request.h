#pragma once

#include <backend_caller.h>
#include <open_request.h>

#include <base/monotonic_clock.h>
#include <config/route_table.h>
#include <gateway/message_codec.h>
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

/// A caller's request in progress: its calls to backend servers, its timer and its answer. Calls that are still open when the answer
/// is sent are not cancelled, so that their outcomes update the replicas. When the caller disconnects before the answer, all open calls
/// are cancelled. The request lives until all its calls have ended.
class caller_request : public open_request, public std::enable_shared_from_this<caller_request>
{
public:
    /// A received request with its route and time limits.
    struct incoming_request {
        http_request request;
        std::shared_ptr<http_exchange> exchange;
        std::string requestId;
        std::shared_ptr<const route_table> table; ///< Keeps `matchedRoute` valid.
        const route *matchedRoute = nullptr;
        time_point receivedAt;
        time_point targetTime; ///< When the answer should leave this host to reach the caller within the target latency.
        time_point deadline; ///< Latest time at which the final answer may leave this host.
        caller_identity identity; ///< Refers to `table`.
        std::optional<key_digest> key; ///< Digest of the key that the caller has proved, if any.
        std::uint32_t priority = 0; ///< Of the organisation, otherwise of the route; 0 is the highest.
    };

    /// Starts to serve the request.
    void start();

    /// Cancels the open calls. The answer leaves open whether the request has run.
    void endIfKeyWithdrawn(const route_table &current) override;

    /// Cancels the open calls. The answer leaves open whether the request has run.
    void giveUp() override;

protected:
    caller_request(gateway_state &state, incoming_request received);

    /// @return The state machine of libs/search that decides which calls are sent.
    [[nodiscard]] virtual call_run &run() = 0;
    /// Starts the run. Overridden when other work than calls to backend servers must also start.
    virtual void startRun(time_point now) { run().start(now); }
    /// Handles a wake-up that the run requested.
    virtual void wakeupRun(time_point now) { run().wakeup(now); }
    /// Passes the outcome of a call to the run.
    virtual void callEnded(std::uint64_t attempt, call_outcome &&outcome, http_reply &&reply, time_point now) = 0;
    /// Answers the caller. Called when the run has finished: once, and once more after each reopen().
    virtual void answer(time_point now) = 0;
    /// Handles the outcome of a call that ended after the answer.
    virtual void callEndedAfterAnswer(std::uint64_t, call_outcome &&, http_reply &&, time_point) {}
    /// Starts other work that the run requests than calls to backend servers.
    virtual void startOtherWork(time_point) {}

    /// Cancels other work than calls to backend servers. Called when the caller has disconnected before the answer.
    virtual void cancelOtherWork() {}
    /// Sends the calls that the run requests, then answers if the run has finished; otherwise sets the timer. Does nothing once ended().
    void advance(time_point now);
    /// Continues the request after its answer with another exchange; the run must have been resumed.
    void reopen(std::shared_ptr<http_exchange> exchange);
    /// @return True once the request was answered or the caller has disconnected.
    [[nodiscard]] bool ended() const { return m_ended; }
    [[nodiscard]] const call_template &callTemplate() const { return *m_callTemplate; }

    /// Sends the answer and records it in the metrics and for the fairness among organisations.
    /// @param overloaded The request was refused because backend servers are overloaded.
    /// @return Time since the request was received.
    std::chrono::microseconds respond(http_response response, std::string_view outcome, time_point now, bool overloaded = false);

    [[nodiscard]] const incoming_request &incoming() const { return m_incoming; }
    [[nodiscard]] gateway_state &state() { return m_state; }

private:
    struct open_call {
        std::uint64_t attempt = 0;
        http_call_handle handle{};
    };

    void send(const send_call &call);
    // Marks the request as ended and stops its timer.
    void end();
    void cancelCalls();
    void endWithFailure(int status, const error &reason, std::string_view outcome);
    void recordForFairness(bool overloaded, time_point now);
    void armTimer(time_point now);
    void watchCaller();
    void callerDisconnected();

    gateway_state &m_state;
    incoming_request m_incoming;
    std::shared_ptr<const call_template> m_callTemplate;
    asio::steady_timer m_timer;
    time_point m_timerDue = time_point::max();
    std::vector<open_call> m_openCalls;
    bool m_ended = false; // Answered, or the caller has disconnected.
};

/// Creates a gathered_request for a search and a forwarded_request for any other route.
std::shared_ptr<caller_request> makeCallerRequest(gateway_state &state, caller_request::incoming_request incoming);

} // namespace orioledrum
