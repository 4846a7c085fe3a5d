#pragma once

#include <search/replica.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
class Registry;
template<typename T>
class Family;
} // namespace prometheus

namespace orioledrum
{

struct organisation;
class call_account;
struct usage_counts;

/// Prometheus metrics of one gateway; docs/OPERATIONS.md lists the name, unit and meaning of each.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics &) = delete;
    gateway_metrics &operator=(const gateway_metrics &) = delete;

    void callSent();
    /// @param latency Recorded for served calls only.
    void callEnded(attempt_end end, std::chrono::microseconds latency);
    /// @param route Name of the route, or "none" for a request that caller_front refused.
    /// @param outcome Value of the label "outcome".
    void requestEnded(const std::string &route, std::string_view outcome, std::chrono::microseconds latency);
    /// @param reason Why the request was refused by its key or by the usage cap of its organisation.
    /// @param organisation Name of the organisation; empty when it is not known.
    void requestRefused(std::string_view reason, std::string_view organisation);
    /// Shows these organisations, with the number of their keys and their caps, and no others.
    void setOrganisations(const std::vector<organisation> &organisations);
    /// @param account Counts of the calls to a service since the start.
    void setServiceCalls(const std::string &service, const call_account &account);
    /// @param kind Event of the log line.
    void noticeReceived(const std::string &kind);
    void addExtraCalls(std::uint32_t hedges, std::uint32_t retries);
    void setConfigVersion(std::uint64_t version);
    /// @param age Time since the latest moment of which it is certain that all changes published before it are known; nothing before the
    /// first list.
    void setStateAge(std::optional<std::chrono::nanoseconds> age);
    void setBackendServers(std::size_t count);
    /// @param slow Backend servers that this host has learned to be slow. @param limited Those with a learned limit below their slots.
    void setLearnedLimits(std::size_t slow, std::size_t limited);
    /// @param count Entry hosts that share limits, or the number assumed while others may be unknown, see host_counter::assumedHosts.
    void setHosts(std::size_t count);
    /// @param counts Tokens of organisations with a usage cap, since the start.
    void setUsageCounts(const usage_counts &counts);
    void setReady(bool ready);
    void platformReadFailed();
    void changeUnreadable();
    /// @param lines Total since the start.
    void setOmittedLines(std::uint64_t lines);

    /// @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct organisation_gauges {
        prometheus::Gauge *keys = nullptr;
        prometheus::Gauge *rate = nullptr;
        prometheus::Gauge *burst = nullptr;
    };

    std::unique_ptr<prometheus::Registry> m_registry;
    prometheus::Family<prometheus::Counter> *m_requests;
    prometheus::Family<prometheus::Histogram> *m_requestTimes;
    prometheus::Counter *m_calls;
    std::map<attempt_end, prometheus::Counter *> m_callEnds;
    prometheus::Histogram *m_callTimes;
    prometheus::Family<prometheus::Counter> *m_serviceCalls;
    prometheus::Family<prometheus::Counter> *m_notices;
    prometheus::Family<prometheus::Counter> *m_refused;
    prometheus::Family<prometheus::Gauge> *m_organisationKeys;
    prometheus::Family<prometheus::Gauge> *m_organisationRate;
    prometheus::Family<prometheus::Gauge> *m_organisationBurst;
    std::map<std::string, organisation_gauges> m_organisations;
    prometheus::Family<prometheus::Counter> *m_usageTokens;
    prometheus::Counter *m_hedges;
    prometheus::Counter *m_retries;
    prometheus::Gauge *m_configVersion;
    prometheus::Gauge *m_stateAge;
    prometheus::Gauge *m_backendServers;
    prometheus::Gauge *m_slowServers;
    prometheus::Gauge *m_limitedServers;
    prometheus::Gauge *m_hosts;
    prometheus::Gauge *m_ready;
    prometheus::Counter *m_platformReadFailures;
    prometheus::Counter *m_unreadableChanges;
    prometheus::Gauge *m_omittedLogLines;
};

/// @return The name of the enumerator, as it appears in metrics and logs.
std::string_view toString(attempt_end end);

} // namespace orioledrum
