#pragma once

#include <base/random_source.h>
#include <limits/backend_limiter.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace orioledrum
{

/// Deliberate faults of fake_owner. Each defeats one mechanism of the limiter.
enum class owner_defect {
    none,
    releasesAbandoned, ///< Frees the slot of an abandoned call at once.
    hidesState, ///< Every report of the backend server says warm and has the same instance.
    ignoresResets, ///< Reports a reset connection to the limiter as an unusable answer, and hides the refused probe after a restart.
};

/// Simulates a backend server and the owner that sends calls to it as its backend_limiter allows. The backend server works
/// on abandoned calls up to 250 ms after their deadline, and becomes cold at random times, sometimes by a restart,
/// which resets its connections.
class fake_owner
{
public:
    fake_owner(std::uint64_t seed, limiter_settings settings, owner_defect defect)
        : m_random(seed)
        , m_settings(settings)
        , m_defect(defect)
        , m_now(std::chrono::hours(1))
        , m_limiter(*backend_limiter::create(settings, time_point::max() - std::chrono::hours(1), m_now))
    {
    }

    /// Runs random steps, separated by random times.
    /// @return A description of the first violation, if any.
    std::optional<std::string> run(int steps)
    {
        for (int step = 0; step < steps && !m_violation; ++step) {
            const auto until = m_now + std::chrono::microseconds(m_random.below(4000));
            advanceTo(until);
            randomStep();
            applyActions();
        }
        return m_violation;
    }

    [[nodiscard]] std::size_t startedCalls() const { return m_startedCalls; }
    [[nodiscard]] std::uint32_t peakInProgress() const { return m_peakInProgress; }

private:
    struct call_state {
        time_point deadline;
        time_point finishesAt;
        bool abandoned = false;
        bool ownerConnected = true; // False after the owner has closed the connection of an abandoned call.
    };

    // Number of concurrent calls that the backend server can handle now: coldSlots while cold, then a ramp up to slots.
    [[nodiscard]] std::uint32_t currentCapacity() const
    {
        if (m_cold) {
            return m_settings.coldSlots;
        }
        auto capacity = m_settings.coldSlots;
        auto passed = m_now - m_warmSince;
        while (capacity < m_settings.slots && passed >= m_settings.rampTime / 4) {
            passed -= m_settings.rampTime / 4;
            capacity *= 2;
        }
        return std::min(capacity, m_settings.slots);
    }

    [[nodiscard]] backend_report report() const
    {
        backend_report report;
        report.state = m_cold && m_defect != owner_defect::hidesState ? backend_state::cold : backend_state::warm;
        report.slots = m_settings.slots;
        report.slotsInUse = static_cast<std::uint32_t>(m_calls.size());
        report.instance = m_defect == owner_defect::hidesState ? "1" : std::to_string(m_instance);
        return report;
    }

    void recordViolation(const std::string &text)
    {
        if (!m_violation) {
            m_violation = text;
        }
    }

    void advanceTo(time_point until)
    {
        for (;;) {
            auto next = m_calls.end();
            for (auto entry = m_calls.begin(); entry != m_calls.end(); ++entry) {
                if (next == m_calls.end() || entry->second.finishesAt < next->second.finishesAt) {
                    next = entry;
                }
            }
            const auto wakeup = m_limiter.nextWakeup();
            const bool callFirst =
                next != m_calls.end() && next->second.finishesAt <= until && (!wakeup || next->second.finishesAt <= *wakeup);
            if (!callFirst && (!wakeup || *wakeup > until)) {
                break;
            }
            m_now = std::max(m_now, callFirst ? next->second.finishesAt : *wakeup);
            if (callFirst) {
                finishCall(next);
            } else {
                m_limiter.wakeup(m_now);
            }
            applyActions();
        }
        m_now = std::max(m_now, until);
    }

    void finishCall(std::map<call_number, call_state>::iterator entry)
    {
        const auto call = entry->first;
        const auto state = entry->second;
        m_calls.erase(entry);
        if (!state.ownerConnected) {
            return;
        }
        const auto sentReport = report();
        m_coldReported = m_coldReported || m_cold;
        const auto result = !m_cold && m_random.below(50) == 0 ? call_result::shed : call_result::served;
        m_limiter.answered(call, result, &sentReport, std::chrono::milliseconds(4), m_now, m_random.below(10) != 0);
    }

    void randomStep()
    {
        switch (m_random.below(40)) {
        case 0: // Becomes cold without a restart.
            if (!m_cold) {
                m_cold = true;
                m_coldReported = false;
            }
            break;
        case 1: // Restart: all connections are reset and all calls are lost.
            m_cold = true;
            m_coldReported = true;
            ++m_instance;
            for (const auto &[call, state] : std::exchange(m_calls, {})) {
                if (m_defect == owner_defect::ignoresResets) {
                    m_limiter.answered(call, call_result::failed, nullptr, {}, m_now, false);
                } else {
                    m_limiter.connectionClosed(call, m_now);
                }
            }
            for (auto idle = m_limiter.openConnections() - m_limiter.occupied(); idle > 0; --idle) {
                m_limiter.idleConnectionClosed(m_now);
            }
            // Without a call in progress, the owner learns of the restart only from a refused probe.
            if (m_defect != owner_defect::ignoresResets) {
                m_limiter.probeFailed(m_now);
            }
            break;
        case 2:
        case 3:
        case 4:
            if (m_cold) {
                m_cold = false;
                m_warmSince = m_now;
            }
            break;
        case 5: {
            const auto sentReport = report();
            m_coldReported = m_coldReported || m_cold;
            m_limiter.probeAnswered(sentReport, m_now);
            break;
        }
        case 6:
            abandonOne();
            break;
        default:
            m_limiter.admit(++m_lastCall,
                            m_now + std::chrono::milliseconds(1 + m_random.below(80)),
                            static_cast<std::uint8_t>(m_random.below(3)),
                            m_now);
            break;
        }
        if (!m_coldReported && !m_cold && currentCapacity() == m_settings.slots) {
            m_coldReported = true; // Warm at full capacity again, so a report of the cold state is no longer needed.
        }
    }

    void abandonOne()
    {
        for (auto &[call, state] : m_calls) {
            if (state.abandoned) {
                continue;
            }
            state.abandoned = true;
            if (m_random.below(2) == 0) {
                state.ownerConnected = false;
                state.finishesAt = state.deadline + std::chrono::milliseconds(m_random.below(250));
            }
            m_limiter.abandon(call, m_now);
            if (m_defect == owner_defect::releasesAbandoned) {
                m_limiter.answered(call, call_result::failed, nullptr, {}, m_now, false);
            }
            return;
        }
    }

    void applyActions()
    {
        std::vector<limiter_action> actions;
        m_limiter.takeActions(actions);
        for (const auto &action : actions) {
            if (action.kind != limiter_action_kind::start) {
                continue;
            }
            ++m_startedCalls;
            if (action.deadline > m_now + backend_limiter::maxCallTime) {
                recordViolation("a deadline more than 2 s after the start of the call");
            }
            m_calls[action.call] = {action.deadline, m_now + std::chrono::microseconds(1000 + m_random.below(8000)), false, true};
            const auto inProgress = static_cast<std::uint32_t>(m_calls.size());
            m_peakInProgress = std::max(m_peakInProgress, inProgress);
            if (inProgress > m_settings.slots) {
                recordViolation("more calls in progress than slots");
            }
            if (m_coldReported && inProgress > currentCapacity()) {
                recordViolation("more calls in progress than a backend server's current capacity, after its cold state was reported");
            }
            if (action.newConnection) {
                m_limiter.connectionOpened(action.call, m_now);
            }
            if (m_limiter.openConnections() > m_settings.connections) {
                recordViolation("more connections than allowed");
            }
        }
        if (m_limiter.occupied() < m_calls.size() && m_defect == owner_defect::none) {
            recordViolation("the limiter counts fewer calls than the backend server has in progress");
        }
    }

    random_source m_random;
    limiter_settings m_settings;
    owner_defect m_defect;
    time_point m_now;
    backend_limiter m_limiter;
    std::map<call_number, call_state> m_calls;
    call_number m_lastCall = 0;
    std::size_t m_startedCalls = 0;
    std::uint32_t m_peakInProgress = 0;
    bool m_cold = true;
    bool m_coldReported = true; // The limiter knows of the latest change to cold, or need not know because the ramp has ended.
    time_point m_warmSince;
    int m_instance = 1;
    std::optional<std::string> m_violation;
};

} // namespace orioledrum
