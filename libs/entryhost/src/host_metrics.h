#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Prometheus metrics of the process, served at /metrics. Thread-safe.
class host_metrics
{
public:
    host_metrics();
    ~host_metrics();
    host_metrics(const host_metrics &) = delete;
    host_metrics &operator=(const host_metrics &) = delete;

    /// Records latency, coverage, hedges and retries of a finished search.
    /// @param coverage Fraction of the shards that answered, 0 to 1.
    void searchFinished(std::string_view service, std::chrono::microseconds latency, double coverage, unsigned hedges, unsigned retries);
    /// Counts a caller request that was refused before it was run.
    void requestRefused(std::string_view code);
    /// Counts an order with its outcome. Called on the host that issued the ticket.
    void orderFinished(std::string_view outcome);
    /// Counts an ended call to a backend server and adds its time in this host's queue.
    /// @param result "answered", "refused" or "failed".
    void backendCallFinished(std::string_view result, std::chrono::microseconds queueTime);
    /// Counts a change of a lease.
    /// @param change "gained", "lost" or "released".
    void leaseChanged(std::string_view change);
    /// Sets a gauge without labels, creating it on first use.
    void setGauge(const std::string &name, const std::string &help, double value);

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
