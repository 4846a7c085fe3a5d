#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace orioledrum
{

/// Weight and priority of a customer in admission control.
struct customer_share {
    double weight = 1; ///< Greater than 0.
    std::uint8_t priority = 1; ///< 0 is the highest. With a greater number, the customer may borrow less of the unused capacity.
};

/// Limits on the number of concurrent queries.
struct admission_settings {
    double initialLimit = 64; ///< Limit at the start; raised to minLimit or lowered to maxLimit if outside.
    double minLimit = 4;
    double maxLimit = 1024;
};

/// Admission control of an entry host: limits concurrent queries and shares the limit fairly between customers. An order counts
/// as a query. Thread-safe.
///
/// The limit adapts to load: it falls, at most every 100 ms, when a finished query was overloaded, and rises otherwise while at
/// least half of it is in use. It is divided by weight between the customers that sent a query within about the last second or
/// have one in progress. A customer is admitted up to its share, which is at least one query, and beyond that only while the total stays
/// within the part of the limit that its priority may use.
class admission
{
public:
    explicit admission(admission_settings settings);

    /// Admits or rejects a query.
    /// @param share Weight and priority from the current configuration, or the default share of an unknown customer.
    /// @return Success, after which release() must be called exactly once. `overloaded` when the query is rejected,
    ///     `invalidArgument` when the weight is not positive.
    expected<void> admit(const customer_id &customer, customer_share share, time_point now);

    /// Ends an admitted query and adapts the limit. Does nothing when the customer has no query in progress.
    /// @param overloaded search_result::overloaded, or true when an order was refused because of load.
    void release(const customer_id &customer, bool overloaded, time_point now);

    /// @return Current limit on concurrent queries.
    [[nodiscard]] double limit() const;
    /// @return Number of admitted queries that have not been released.
    [[nodiscard]] std::uint32_t inProgress() const;

private:
    struct customer_state {
        customer_share share;
        std::uint32_t inProgress = 0;
        time_point lastRequestAt;
    };

    void removeIdleCustomers(time_point now);

    mutable std::mutex m_mutex;
    admission_settings m_settings;
    double m_limit;
    double m_activeWeight = 0; // Sum of the weights in m_customers.
    std::uint32_t m_totalInProgress = 0;
    std::unordered_map<customer_id, customer_state> m_customers;
    time_point m_nextDecrease;
    time_point m_nextIdleCleanup;
};

} // namespace orioledrum
