#pragma once

#include <algorithm>

namespace orioledrum
{

/// Token bucket that is filled by ordinary calls instead of time: it limits extra calls to a fraction of the ordinary calls.
/// Not thread-safe.
class token_bucket
{
public:
    /// @param tokensPerCall Tokens added by each ordinary call.
    /// @param capacity Maximum number of tokens.
    /// @param initial Initial number of tokens.
    token_bucket(double tokensPerCall, double capacity, double initial)
        : m_tokensPerCall(tokensPerCall)
        , m_capacity(capacity)
        , m_tokens(std::min(capacity, initial))
    {
    }

    /// @param tokensPerCall Tokens added by each ordinary call from now on.
    void setTokensPerCall(double tokensPerCall) { m_tokensPerCall = tokensPerCall; }

    /// @param capacity Maximum number of tokens from now on; surplus tokens are discarded.
    void setCapacity(double capacity)
    {
        m_capacity = capacity;
        m_tokens = std::min(m_tokens, capacity);
    }

    /// Adds the tokens for the given number of ordinary calls.
    void add(double calls) { m_tokens = std::min(m_capacity, m_tokens + calls * m_tokensPerCall); }

    /// Adds tokens without ordinary calls.
    void grant(double tokens) { m_tokens = std::min(m_capacity, m_tokens + tokens); }

    /// Takes a token, if one is available.
    /// @return True when a token was taken.
    bool tryAcquire()
    {
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

    [[nodiscard]] double tokens() const { return m_tokens; }
    [[nodiscard]] double capacity() const { return m_capacity; }

    /// @return Tokens divided by the capacity, 0 to 1.
    [[nodiscard]] double fillRatio() const { return m_tokens / m_capacity; }

private:
    double m_tokensPerCall;
    double m_capacity;
    double m_tokens;
};

} // namespace orioledrum
