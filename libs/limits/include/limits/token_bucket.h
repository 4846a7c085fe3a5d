#pragma once

#include <algorithm>

namespace orioledrum
{

/// Bounds extra calls to a share of the ordinary ones: each ordinary call adds a fraction of a token. Not thread-safe.
class token_bucket
{
public:
    /// @param share Tokens added by each ordinary call.
    /// @param capacity Most tokens held.
    /// @param initial Tokens at the start.
    token_bucket(double share, double capacity, double initial)
        : m_share(share)
        , m_capacity(capacity)
        , m_tokens(std::min(capacity, initial))
    {
    }

    /// @param share Tokens added by each later ordinary call.
    void setShare(double share) { m_share = share; }

    /// @param capacity Most tokens held from now on.
    void setCapacity(double capacity)
    {
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, capacity);
    }

    /// Adds the tokens of some ordinary calls.
    void add(double calls) { m_tokens = std::min(m_capacity, m_tokens + calls * m_share); }

    /// @return True when a token was there and has been taken.
    bool take()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    [[nodiscard]] double tokens() const { return m_tokens; }
    [[nodiscard]] double capacity() const { return m_capacity; }

    /// @return Share of the capacity that is filled, 0 to 1.
    [[nodiscard]] double fill() const { return m_tokens / m_capacity; }

private:
    double m_share;
    double m_capacity;
    double m_tokens;
};

} // namespace orioledrum
