#include <gateway_metrics.h>

#include <config/organisation.h>
#include <limits/call_account.h>
#include <limits/usage_cap_client.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace orioledrum
{

namespace
{

/// Upper bounds of the histogram buckets, in seconds: search targets are between 0.05 and 0.6 s, deadlines up to 10 s.
const prometheus::Histogram::BucketBoundaries requestBuckets{0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.15, 0.3, 0.6, 1.2, 2.5, 10};
const prometheus::Histogram::BucketBoundaries callBuckets{0.002, 0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.2, 2.5};

constexpr std::array allEnds{attempt_end::served,
                             attempt_end::shed,
                             attempt_end::misdirected,
                             attempt_end::failed,
                             attempt_end::broken,
                             attempt_end::unreachable,
                             attempt_end::timedOut,
                             attempt_end::abandoned};

double seconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

prometheus::Counter *makeCounter(prometheus::Registry &registry, const char *name, const char *help)
{
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge *makeGauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

} // namespace

std::string_view toString(attempt_end end)
{
    switch (end) {
    case attempt_end::served:
        return "served";
    case attempt_end::shed:
        return "shed";
    case attempt_end::misdirected:
        return "misdirected";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::unreachable:
        return "unreachable";
    case attempt_end::timedOut:
        return "timedOut";
    case attempt_end::abandoned:
        return "abandoned";
    }
    return "broken";
}

gateway_metrics::gateway_metrics()
    : m_registry(std::make_unique<prometheus::Registry>())
{
    auto &registry = *m_registry;
    m_requests = &prometheus::BuildCounter().Name("orioledrum_requests_total").Help("Requests by route and outcome").Register(registry);
    m_requestTimes = &prometheus::BuildHistogram()
                          .Name("orioledrum_request_seconds")
                          .Help("Time from a request to its answer, by route")
                          .Register(registry);
    m_calls = makeCounter(registry, "orioledrum_backend_calls_total", "Calls sent to backend servers");
    auto &ends = prometheus::BuildCounter()
                     .Name("orioledrum_backend_call_ends_total")
                     .Help("Ended calls to backend servers, by outcome")
                     .Register(registry);
    for (const auto end : allEnds) {
        m_callEnds[end] = &ends.Add({{"end", std::string(toString(end))}});
    }
    m_callTimes = &prometheus::BuildHistogram()
                       .Name("orioledrum_backend_call_seconds")
                       .Help("Latency of served calls to backend servers")
                       .Register(registry)
                       .Add({}, callBuckets);
    m_serviceCalls = &prometheus::BuildCounter()
                          .Name("orioledrum_service_calls_total")
                          .Help("Calls to a service: decided as first or extra calls, written, not written, written without a decision")
                          .Register(registry);
    m_usageTokens = &prometheus::BuildCounter()
                         .Name("orioledrum_usage_tokens_total")
                         .Help("Tokens of organisations with a usage cap, by result")
                         .Register(*m_registry);
    m_notices = &prometheus::BuildCounter()
                     .Name("orioledrum_backend_notices_total")
                     .Help("Answers of backend servers that ask for no more requests, by what they say")
                     .Register(registry);
    m_refused =
        &prometheus::BuildCounter()
             .Name("orioledrum_refused_requests_total")
             .Help("Requests refused by their key or by the usage cap of their organisation; the organisation is empty if not known")
             .Register(registry);
    m_organisationKeys =
        &prometheus::BuildGauge().Name("orioledrum_organisation_keys").Help("Number of keys of an organisation").Register(registry);
    m_organisationRate = &prometheus::BuildGauge()
                              .Name("orioledrum_organisation_rate_per_s")
                              .Help("Requests per second of the usage cap of an organisation; 0: no cap")
                              .Register(registry);
    m_organisationBurst = &prometheus::BuildGauge()
                               .Name("orioledrum_organisation_burst")
                               .Help("Requests at once in addition to the rate of the usage cap of an organisation")
                               .Register(registry);
    m_hedges = makeCounter(registry, "orioledrum_hedges_total", "Hedged calls, sent because an earlier call was slow");
    m_retries = makeCounter(registry, "orioledrum_retries_total", "Calls retried after a failure");
    m_stateAge = makeGauge(registry,
                           "orioledrum_platform_state_age_seconds",
                           "Age of the state read from the platform at the latest read or answer; -1 before the first list");
    m_configVersion = makeGauge(registry, "orioledrum_config_version", "Version of the active route table; 0 before the first");
    m_backendServers = makeGauge(registry, "orioledrum_backend_servers", "Backend servers with a published entry");
    m_slowServers =
        makeGauge(registry, "orioledrum_backend_servers_slow", "Backend servers that are slow compared with the others of their service");
    m_limitedServers =
        makeGauge(registry, "orioledrum_backend_servers_limited", "Backend servers whose learned limit is below their slots");
    m_hosts = makeGauge(registry, "orioledrum_hosts", "Entry hosts that share limits, this one included");
    m_ready = makeGauge(registry, "orioledrum_ready", "1 while this host reports itself ready");
    m_platformReadFailures = makeCounter(registry, "orioledrum_platform_read_failures_total", "Failed reads of the platform's store");
    m_unreadableChanges = makeCounter(registry, "orioledrum_unreadable_changes_total", "Published items that could not be decoded");
    m_omittedLogLines =
        makeGauge(registry, "orioledrum_log_lines_omitted", "Log lines of requests dropped by the rate limit since the start");
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::callSent()
{
    m_calls->Increment();
}

void gateway_metrics::callEnded(attempt_end end, std::chrono::microseconds latency)
{
    m_callEnds[end]->Increment();
    if (end == attempt_end::served) {
        m_callTimes->Observe(seconds(latency));
    }
}

void gateway_metrics::requestEnded(const std::string &route, std::string_view outcome, std::chrono::microseconds latency)
{
    m_requests->Add({{"route", route}, {"outcome", std::string(outcome)}}).Increment();
    m_requestTimes->Add({{"route", route}}, requestBuckets).Observe(seconds(latency));
}

void gateway_metrics::requestRefused(std::string_view reason, std::string_view organisation)
{
    m_refused->Add({{"organisation", std::string(organisation)}, {"reason", std::string(reason)}}).Increment();
}

void gateway_metrics::setOrganisations(const std::vector<organisation> &organisations)
{
    auto previous = std::exchange(m_organisations, {});
    for (const auto &each : organisations) {
        const prometheus::Labels labels{{"organisation", each.name}};
        const organisation_gauges gauges{
            &m_organisationKeys->Add(labels), &m_organisationRate->Add(labels), &m_organisationBurst->Add(labels)};
        gauges.keys->Set(static_cast<double>(each.keys.size()));
        gauges.rate->Set(each.requestsPerSecond);
        gauges.burst->Set(each.burst);
        m_organisations[each.name] = gauges;
        previous.erase(each.name);
    }
    for (const auto &[name, gauges] : previous) {
        m_organisationKeys->Remove(gauges.keys);
        m_organisationRate->Remove(gauges.rate);
        m_organisationBurst->Remove(gauges.burst);
    }
}

void gateway_metrics::setServiceCalls(const std::string &service, const call_account &account)
{
    const auto set = [&](const char *kind, std::uint64_t count) {
        auto &counter = m_serviceCalls->Add({{"service", service}, {"kind", kind}});
        // Unaccounted writes can seem to disappear while calls wait for their connection; a counter never decreases.
        counter.Increment(std::max(0.0, static_cast<double>(count) - counter.Value()));
    };
    set("first", account.firstCalls());
    set("extra", account.extraCalls());
    set("written", account.writes());
    set("notWritten", account.notWritten());
    set("unaccounted", account.unaccountedWrites());
}

void gateway_metrics::setUsageCounts(const usage_counts &counts)
{
    const auto set = [this](const char *result, std::uint64_t count) {
        auto &counter = m_usageTokens->Add({{"result", result}});
        counter.Increment(static_cast<double>(count) - counter.Value());
    };
    set("asked", counts.asked);
    set("granted", counts.granted);
    set("refused", counts.refused);
    set("zoneReserve", counts.zoneReserve);
    set("hostReserve", counts.hostReserve);
    set("unavailable", counts.unavailable);
}

void gateway_metrics::noticeReceived(const std::string &kind)
{
    m_notices->Add({{"kind", kind}}).Increment();
}

void gateway_metrics::addExtraCalls(std::uint32_t hedges, std::uint32_t retries)
{
    m_hedges->Increment(hedges);
    m_retries->Increment(retries);
}

void gateway_metrics::setStateAge(std::optional<std::chrono::nanoseconds> age)
{
    m_stateAge->Set(age ? std::chrono::duration<double>(*age).count() : -1);
}

void gateway_metrics::setConfigVersion(std::uint64_t version)
{
    m_configVersion->Set(static_cast<double>(version));
}

void gateway_metrics::setBackendServers(std::size_t count)
{
    m_backendServers->Set(static_cast<double>(count));
}

void gateway_metrics::setLearnedLimits(std::size_t slow, std::size_t limited)
{
    m_slowServers->Set(static_cast<double>(slow));
    m_limitedServers->Set(static_cast<double>(limited));
}

void gateway_metrics::setHosts(std::size_t count)
{
    m_hosts->Set(static_cast<double>(count));
}

void gateway_metrics::setReady(bool ready)
{
    m_ready->Set(ready ? 1 : 0);
}

void gateway_metrics::platformReadFailed()
{
    m_platformReadFailures->Increment();
}

void gateway_metrics::changeUnreadable()
{
    m_unreadableChanges->Increment();
}

void gateway_metrics::setOmittedLines(std::uint64_t lines)
{
    m_omittedLogLines->Set(static_cast<double>(lines));
}

std::string gateway_metrics::text() const
{
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, m_registry->Collect());
    return stream.str();
}

} // namespace orioledrum
