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

/// Deliberate faults of fake_owner, each of which takes one mechanism of the limiter out of use.
enum class owner_defect {
    none,
    releasesAbandoned, ///< Frees the slot of an abandoned call at once.
    hidesState, ///< Passes every report on as warm and of the same instance.
    ignoresResets, ///< Passes a reset connection on as an unusable answer.
};

/// A fake backend server and the owner that sends to it as its limiter says, in simulated time. The backend server
/// works on abandoned calls up to 250 ms after their deadline, and turns cold at random, with or without notice.
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

    /// Runs random steps.
    /// @return A description of the first violation, if any.
    std::optional<std::string> run(int steps)
    {
        for (int step = 0; step < steps && !m_violation; ++step) {
            const auto until = m_now + std::chrono::microseconds(m_random.below(4000));
            passTime(until);
            randomStep();
            carryOut();
        }
        return m_violation;
    }

    [[nodiscard]] std::size_t started() const { return m_started; }
    [[nodiscard]] std::uint32_t most() const { return m_most; }

private:
    struct work {
        time_point deadline;
        time_point doneAt;
        bool abandoned = false;
        bool ownerWaits = true; // The owner still has the connection.
    };

    [[nodiscard]] std::uint32_t bears() const
    {
        if (m_cold) {
            return m_settings.coldSlots;
        }
        auto bearable = m_settings.coldSlots;
        auto passed = m_now - m_warmSince;
        while (bearable < m_settings.slots && passed >= m_settings.rampTime / 4) {
            passed -= m_settings.rampTime / 4;
            bearable *= 2;
        }
        return std::min(bearable, m_settings.slots);
    }

    [[nodiscard]] backend_report report() const
    {
        backend_report report;
        report.state = m_cold && m_defect != owner_defect::hidesState ? backend_state::cold : backend_state::warm;
        report.slots = m_settings.slots;
        report.slotsInUse = static_cast<std::uint32_t>(m_work.size());
        report.instance = m_defect == owner_defect::hidesState ? "1" : std::to_string(m_instance);
        return report;
    }

    void violate(const std::string &text)
    {
        if (!m_violation) {
            m_violation = text;
        }
    }

    void passTime(time_point until)
    {
        for (;;) {
            auto next = m_work.end();
            for (auto entry = m_work.begin(); entry != m_work.end(); ++entry) {
                if (next == m_work.end() || entry->second.doneAt < next->second.doneAt) {
                    next = entry;
                }
            }
            const auto wakeup = m_limiter.nextWakeup();
            const bool workFirst = next != m_work.end() && next->second.doneAt <= until && (!wakeup || next->second.doneAt <= *wakeup);
            if (!workFirst && (!wakeup || *wakeup > until)) {
                break;
            }
            m_now = std::max(m_now, workFirst ? next->second.doneAt : *wakeup);
            if (workFirst) {
                finishWork(next);
            } else {
                m_limiter.wakeup(m_now);
            }
            carryOut();
        }
        m_now = std::max(m_now, until);
    }

    void finishWork(std::map<call_number, work>::iterator entry)
    {
        const auto call = entry->first;
        const auto state = entry->second;
        m_work.erase(entry);
        if (!state.ownerWaits) {
            return;
        }
        const auto said = report();
        m_told = m_told || m_cold;
        const auto result = !m_cold && m_random.below(50) == 0 ? call_result::shed : call_result::served;
        m_limiter.answered(call, result, &said, std::chrono::milliseconds(4), m_now, m_random.below(10) != 0);
    }

    void randomStep()
    {
        switch (m_random.below(40)) {
        case 0: // Cold without notice.
            if (!m_cold) {
                m_cold = true;
                m_told = false;
            }
            break;
        case 1: // Restart: all connections are reset, all work is lost.
            m_cold = true;
            m_told = true;
            ++m_instance;
            for (const auto &[call, state] : std::exchange(m_work, {})) {
                if (m_defect == owner_defect::ignoresResets) {
                    m_limiter.answered(call, call_result::failed, nullptr, {}, m_now, false);
                } else {
                    m_limiter.connectionClosed(call, m_now);
                }
            }
            for (auto idle = m_limiter.openConnections() - m_limiter.occupied(); idle > 0; --idle) {
                m_limiter.idleConnectionClosed(m_now);
            }
            // Without work in progress the owner learns of it from a refused probe.
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
            const auto said = report();
            m_told = m_told || m_cold;
            m_limiter.probed(said, m_now);
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
        if (!m_told && !m_cold && bears() == m_settings.slots) {
            m_told = true; // It bears everything again, so nothing was missed.
        }
    }

    void abandonOne()
    {
        for (auto &[call, state] : m_work) {
            if (state.abandoned) {
                continue;
            }
            state.abandoned = true;
            if (m_random.below(2) == 0) {
                state.ownerWaits = false;
                state.doneAt = state.deadline + std::chrono::milliseconds(m_random.below(250));
            }
            m_limiter.abandon(call, m_now);
            if (m_defect == owner_defect::releasesAbandoned) {
                m_limiter.answered(call, call_result::failed, nullptr, {}, m_now, false);
            }
            return;
        }
    }

    void carryOut()
    {
        std::vector<limiter_action> actions;
        m_limiter.takeActions(actions);
        for (const auto &action : actions) {
            if (action.kind != limiter_action_kind::start) {
                continue;
            }
            ++m_started;
            if (action.deadline > m_now + backend_limiter::maxCallTime) {
                violate("a deadline of more than 2 s");
            }
            m_work[action.call] = {action.deadline, m_now + std::chrono::microseconds(1000 + m_random.below(8000)), false, true};
            const auto inProgress = static_cast<std::uint32_t>(m_work.size());
            m_most = std::max(m_most, inProgress);
            if (inProgress > m_settings.slots) {
                violate("more calls in progress than slots");
            }
            if (m_told && inProgress > bears()) {
                violate("more calls in progress than a cold backend server bears, after evidence of it");
            }
            if (action.newConnection) {
                m_limiter.connectionOpened(action.call, m_now);
            }
            if (m_limiter.openConnections() > m_settings.connections) {
                violate("more connections than allowed");
            }
        }
        if (m_limiter.occupied() < m_work.size() && m_defect == owner_defect::none) {
            violate("the limiter counts fewer calls than the backend server works on");
        }
    }

    random_source m_random;
    limiter_settings m_settings;
    owner_defect m_defect;
    time_point m_now;
    backend_limiter m_limiter;
    std::map<call_number, work> m_work;
    call_number m_lastCall = 0;
    std::size_t m_started = 0;
    std::uint32_t m_most = 0;
    bool m_cold = true;
    bool m_told = true; // Evidence of the latest turn to cold has reached the limiter.
    time_point m_warmSince;
    int m_instance = 1;
    std::optional<std::string> m_violation;
};

} // namespace orioledrum
