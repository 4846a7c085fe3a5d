#pragma once

#include <base/monotonic_clock.h>
#include <search/server_incarnation.h>

#include <chrono>
#include <utility>

namespace orioledrum
{

/// What a backend server said in its answers about getting no more requests from this host: that it leaves, or for how long it wants none.
/// Holds for one incarnation of the backend server, whatever its entry says and also while it has none. Not thread-safe.
class call_suspension
{
public:
    /// Longest time for which a backend server may ask. A longer one is taken as this; no overload lasts so long, and a faulty backend
    /// server must not be lost for good.
    static constexpr std::chrono::hours maxQuietTime{1};

    explicit call_suspension(server_incarnation incarnation)
        : m_incarnation(std::move(incarnation))
    {
    }

    /// Records that the backend server leaves. @return False when that was known.
    bool setLeaving()
    {
        const bool changed = !m_leaving;
        m_leaving = true;
        return changed;
    }

    /// Records that the backend server wants nothing until the given time. An earlier time than the latest known one changes nothing.
    /// @return False when nothing changed.
    bool setQuietUntil(time_point until)
    {
        const bool changed = until > m_quietUntil;
        m_quietUntil = changed ? until : m_quietUntil;
        return changed;
    }

    /// @return The incarnation that this suspension is about.
    [[nodiscard]] const server_incarnation &incarnation() const { return m_incarnation; }
    /// @return True when nothing was recorded.
    [[nodiscard]] bool empty() const { return !m_leaving && m_quietUntil == time_point::min(); }
    [[nodiscard]] bool leaving() const { return m_leaving; }
    [[nodiscard]] time_point quietUntil() const { return m_quietUntil; }
    [[nodiscard]] bool active(time_point now) const { return m_leaving || now < m_quietUntil; }

private:
    server_incarnation m_incarnation;
    bool m_leaving = false;
    time_point m_quietUntil = time_point::min();
};

} // namespace orioledrum
