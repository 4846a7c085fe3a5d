#pragma once

#include <base/ids.h>
#include <base/monotonic_clock.h>
#include <config/route.h>
#include <search/call_outcome.h>
#include <search/call_run.h>
#include <search/latency_profile.h>
#include <search/replica_board.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace orioledrum
{

/// A request that one backend server answers.
struct forward_input {
    service_id service;
    repeat_rule repeat = repeat_rule::atMostOnce;
    std::uint32_t maxAttempts = 1;
    time_point deadline; ///< The final answer must be given by then.
};

/// How a forwarded request ended.
enum class forward_end : std::uint8_t {
    answered, ///< A backend server answered; its answer is passed on, whatever its status.
    notRun, ///< No backend server has run it and none will.
    failed, ///< It may have run, and there is no answer.
    late, ///< No answer before the deadline; it may have run.
};

/// @return The camelCase name of the end.
std::string_view toString(forward_end end);

/// Sends one request to one backend server after another until one answers. Not thread-safe.
///
/// A request with repeat_rule::atMostOnce goes to a further backend server only after proof that it has not run and never
/// will. An idempotent one is also hedged when it is slow.
class forward_run final : public call_run
{
public:
    /// Share of calls that are answered before a hedge is considered, and the factor on that time.
    static constexpr double hedgeQuantile = 0.95;
    static constexpr double hedgeFactor = 1.3;

    forward_run(forward_input input, replica_board &board, latency_profile &profile);

    /// Sends the first call, or ends with notRun.
    void start(time_point now) override;

    /// A call has ended.
    /// @param attempt The call.
    /// @param end How it ended; `failed` means an answer that reports a failure, which is passed on if nothing better comes.
    void ended(std::uint64_t attempt, attempt_end end, time_point now);

    void wakeup(time_point now) override;
    [[nodiscard]] time_point nextWakeup() const override { return m_next; }
    [[nodiscard]] bool finished() const override { return m_finished; }
    std::vector<send_call> takeCalls() override { return std::exchange(m_calls, {}); }

    [[nodiscard]] forward_end end() const { return m_end; }
    /// @return The attempt whose answer is passed on; meaningful when the end is `answered`.
    [[nodiscard]] std::uint64_t answeredBy() const { return m_answeredBy; }
    /// @return How the latest call ended, for the log.
    [[nodiscard]] attempt_end lastEnd() const { return m_lastEnd; }
    [[nodiscard]] std::uint32_t calls() const { return static_cast<std::uint32_t>(m_attempts); }
    /// @return The backend server of the latest call, or null before the first.
    [[nodiscard]] const replica_board::replica_ptr &lastServer() const { return m_lastServer; }

private:
    bool send(bool again, bool onlyIfFree, time_point now);
    bool retry(attempt_end end, time_point now);
    void finish(forward_end end);
    void plan();

    forward_input m_input;
    replica_board &m_board;
    latency_profile &m_profile;
    std::vector<replica_board::replica_ptr> m_asked;
    replica_board::replica_ptr m_lastServer;
    std::vector<std::uint64_t> m_open;
    std::vector<send_call> m_calls;
    std::uint64_t m_attempts = 0;
    time_point m_hedgeAt = time_point::max();
    bool m_mayHaveRun = false;
    bool m_failureKept = false; // A failure answer that can be passed on.
    std::uint64_t m_failureOf = 0;
    bool m_finished = false;
    forward_end m_end = forward_end::late;
    attempt_end m_lastEnd = attempt_end::timedOut;
    std::uint64_t m_answeredBy = 0;
    time_point m_next = time_point::max();
};

} // namespace orioledrum
