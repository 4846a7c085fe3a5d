#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Metrics of the process for /metrics. Thread-safe.
class host_metrics
{
public:
    host_metrics();
    ~host_metrics();
    host_metrics(const host_metrics &) = delete;
    host_metrics &operator=(const host_metrics &) = delete;

    /// A search was answered.
    void searchFinished(std::string_view service, std::chrono::microseconds latency, double coverage, unsigned hedges, unsigned retries);
    /// A request was refused at the entry.
    void requestRefused(std::string_view code);
    /// An order got its outcome.
    void orderFinished(std::string_view outcome);
    /// A call to a backend server ended; `result` is answered, refused or failed.
    void backendCallFinished(std::string_view result, std::chrono::microseconds queueTime);
    /// A lease was gained or lost.
    void leaseChanged(std::string_view change);
    /// Sets a gauge without labels.
    void setGauge(const std::string &name, const std::string &help, double value);

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string serialize() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
