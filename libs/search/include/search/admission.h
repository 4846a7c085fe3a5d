#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace orioledrum
{

/// Share of a customer.
struct customer_share {
    double weight = 1; ///< Greater than 0.
    std::uint8_t priority = 1; ///< 0 is the highest; lower priorities may use less of what others leave unused.
};

/// Bounds of admission.
struct admission_settings {
    double initialLimit = 64; ///< Queries at the same time at the start.
    double minLimit = 4;
    double maxLimit = 1024;
};

/// Decides at the entry which queries are run. Thread-safe.
///
/// The number of queries in progress is bounded by a limit that follows the load seen by finished queries. Each
/// customer with queries in the last second has a share of the limit by weight, and is admitted up to that share;
/// beyond it, only while the total is below the limit.
class admission
{
public:
    explicit admission(admission_settings settings);

    /// @param customer The customer; unknown ones have the default share.
    /// @param share Its weight and priority in the current configuration.
    /// @param now Current time.
    /// @return Nothing, or `overloaded`: the query is not run. Every admitted query must be finished once.
    expected<void> admit(const customer_id &customer, customer_share share, time_point now);

    /// @param overloaded search_result::overloaded, or true when an order was refused because of load.
    void finished(const customer_id &customer, bool overloaded, time_point now);

    /// @return The current limit.
    [[nodiscard]] double limit() const;
    /// @return Admitted and not finished.
    [[nodiscard]] std::uint32_t inProgress() const;

private:
    struct customer_state {
        customer_share share;
        std::uint32_t inProgress = 0;
        time_point lastSeen;
    };

    void forgetIdle(time_point now);

    mutable std::mutex m_mutex;
    admission_settings m_settings;
    double m_limit;
    double m_activeWeight = 0;
    std::uint32_t m_total = 0;
    std::unordered_map<customer_id, customer_state> m_customers;
    time_point m_nextDecrease;
    time_point m_nextForget;
};

} // namespace orioledrum
