#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <config/route.h>
#include <search/call_outcome.h>
#include <search/call_run.h>
#include <search/latency_profile.h>
#include <search/replica_registry.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace orioledrum
{

/// A request that is answered by a single backend server.
struct forward_input {
    service_id service;
    retry_safety retrySafety = retry_safety::atMostOnce;
    /// Maximum number of backend servers that get the request. Retries stop after maxServers + 1 calls; a hedge counts as a call.
    std::uint32_t maxServers = 1;
    time_point deadline; ///< The run finishes by then, with or without an answer.
};

/// How a forwarded request ended.
enum class forward_end : std::uint8_t {
    answered, ///< A backend server answered; its answer is returned to the caller, whatever its status.
    notRun, ///< No backend server has run the request or will run it.
    failed, ///< The request may have run, but there is no answer.
    late, ///< No answer before the deadline; the request may have run.
};

/// @return The camelCase name of the end.
std::string_view toString(forward_end end);

/// Decides the calls for a request that is answered by a single backend server. Not thread-safe.
///
/// A request with retry_safety::atMostOnce is retried only when every earlier call has certainly not run and will never run.
/// An idempotent request is retried after any failure, and hedged at most once when it is slow. Retries and hedges also need
/// budget, see replica_registry::budget().
class forward_run final : public call_run
{
public:
    /// Latency quantile of calls on which the hedge delay is based.
    static constexpr double hedgeQuantile = 0.95;
    /// Hedge delay as a multiple of that quantile.
    static constexpr double hedgeFactor = 1.3;

    forward_run(forward_input input, replica_registry &registry, latency_profile &profile);

    /// Queues the first call, or finishes with `notRun` when no backend server may be called.
    void start(time_point now) override;

    /// Handles the end of a call.
    /// @param attempt send_call::attempt.
    /// @param end How the call ended. With `failed`, its answer is returned to the caller if no other call is served.
    void callEnded(std::uint64_t attempt, attempt_end end, time_point now);

    void wakeup(time_point now) override;
    [[nodiscard]] time_point nextWakeup() const override { return m_nextWakeup; }
    [[nodiscard]] bool finished() const override { return m_finished; }
    std::vector<send_call> takeCalls() override { return std::exchange(m_calls, {}); }

    [[nodiscard]] forward_end end() const { return m_end; }
    /// @return The call whose answer is returned to the caller; valid when end() is `answered`.
    [[nodiscard]] std::uint64_t answeringAttempt() const { return m_answeringAttempt; }
    /// @return The end of the call that finished last, for the log; `unreachable` when no call could be sent, `timedOut` while no
    /// call has ended.
    [[nodiscard]] attempt_end lastEnd() const { return m_lastEnd; }
    /// @return The number of calls sent.
    [[nodiscard]] std::uint32_t callCount() const { return static_cast<std::uint32_t>(m_attemptCount); }
    /// @return The backend server of the latest call, or null before the first call.
    [[nodiscard]] const replica_registry::replica_ptr &lastServer() const { return m_lastServer; }

private:
    // Queues a call; false when no backend server may be called. The flags are those of selection_criteria.
    bool send(bool reuseTried, bool requireFreeSlot, time_point now);
    // Sends a retry if it is allowed; false when none is sent.
    bool tryRetry(attempt_end end, time_point now);
    void finish(forward_end end);
    void scheduleWakeup();

    forward_input m_input;
    replica_registry &m_registry;
    latency_profile &m_profile;
    std::vector<replica_registry::replica_ptr> m_tried;
    replica_registry::replica_ptr m_lastServer;
    std::vector<std::uint64_t> m_outstanding;
    std::vector<send_call> m_calls;
    std::uint64_t m_attemptCount = 0;
    time_point m_hedgeAt = time_point::max();
    bool m_mayHaveRun = false;
    bool m_hasFailureAnswer = false; // The answer of m_failureAttempt reports a failure and can be returned.
    std::uint64_t m_failureAttempt = 0;
    bool m_finished = false;
    forward_end m_end = forward_end::late;
    attempt_end m_lastEnd = attempt_end::timedOut;
    std::uint64_t m_answeringAttempt = 0;
    time_point m_nextWakeup = time_point::max();
};

} // namespace orioledrum
