#include "host_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace orioledrum
{

namespace
{

using prometheus::Counter;
using prometheus::Family;
using prometheus::Histogram;

// Upper bounds of the buckets, in seconds. 0.079 is the target for the p99 of searches.
const Histogram::BucketBoundaries latencyBuckets = {0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.079, 0.1, 0.2, 0.5, 1, 2, 5, 10};
const Histogram::BucketBoundaries coverageBuckets = {0.5, 0.9, 0.95, 0.99, 0.995, 0.998, 0.999, 0.9999};

} // namespace

struct host_metrics::impl {
    prometheus::Registry registry;
    Family<Histogram> &searchSeconds = prometheus::BuildHistogram()
                                           .Name("orioledrum_search_seconds")
                                           .Help("Latency of answered searches in seconds, at the host that received them.")
                                           .Register(registry);
    Family<Histogram> &coverage =
        prometheus::BuildHistogram().Name("orioledrum_search_coverage").Help("Coverage of answered searches, 0 to 1.").Register(registry);
    Family<Counter> &extraCalls =
        prometheus::BuildCounter().Name("orioledrum_extra_calls_total").Help("Hedges and retries of searches.").Register(registry);
    Family<Counter> &refused = prometheus::BuildCounter()
                                   .Name("orioledrum_refused_total")
                                   .Help("Caller requests refused before they were run, by error code.")
                                   .Register(registry);
    Family<Counter> &orders = prometheus::BuildCounter()
                                  .Name("orioledrum_orders_total")
                                  .Help("Orders by outcome, counted at the host that issued the ticket.")
                                  .Register(registry);
    Family<Counter> &calls = prometheus::BuildCounter()
                                 .Name("orioledrum_backend_calls_total")
                                 .Help("Calls to backend servers that this host owns, by result.")
                                 .Register(registry);
    Family<Counter> &queueSeconds = prometheus::BuildCounter()
                                        .Name("orioledrum_backend_queue_seconds_total")
                                        .Help("Total time in seconds that calls to backend servers waited in this host's queues.")
                                        .Register(registry);
    Family<Counter> &leases =
        prometheus::BuildCounter().Name("orioledrum_lease_changes_total").Help("Leases gained, lost and released.").Register(registry);
};

host_metrics::host_metrics()
    : m_impl(std::make_unique<impl>())
{
}

host_metrics::~host_metrics() = default;

void host_metrics::searchFinished(std::string_view service,
                                  std::chrono::microseconds latency,
                                  double coverage,
                                  unsigned hedges,
                                  unsigned retries)
{
    const prometheus::Labels labels{{"service", std::string(service)}};
    m_impl->searchSeconds.Add(labels, latencyBuckets).Observe(std::chrono::duration<double>(latency).count());
    m_impl->coverage.Add(labels, coverageBuckets).Observe(coverage);
    m_impl->extraCalls.Add({{"service", std::string(service)}, {"kind", "hedge"}}).Increment(hedges);
    m_impl->extraCalls.Add({{"service", std::string(service)}, {"kind", "retry"}}).Increment(retries);
}

void host_metrics::requestRefused(std::string_view code)
{
    m_impl->refused.Add({{"code", std::string(code)}}).Increment();
}

void host_metrics::orderFinished(std::string_view outcome)
{
    m_impl->orders.Add({{"outcome", std::string(outcome)}}).Increment();
}

void host_metrics::backendCallFinished(std::string_view result, std::chrono::microseconds queueTime)
{
    m_impl->calls.Add({{"result", std::string(result)}}).Increment();
    m_impl->queueSeconds.Add({}).Increment(std::chrono::duration<double>(queueTime).count());
}

void host_metrics::leaseChanged(std::string_view change)
{
    m_impl->leases.Add({{"change", std::string(change)}}).Increment();
}

void host_metrics::setGauge(const std::string &name, const std::string &help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(m_impl->registry).Add({}).Set(value);
}

std::string host_metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace orioledrum
