#pragma once

#include "host_metrics.h"
#include "routing_state.h"

#include <base/event_ring.h>
#include <base/ids.h>
#include <base/rcu_cell.h>
#include <entryhost/settings.h>
#include <membership/freshness.h>
#include <search/admission.h>

#include <atomic>
#include <memory>
#include <vector>

namespace orioledrum
{

class lease_table;
class ticket_store;
class worker;

/// State shared by all threads of an entry host; outlives them.
struct host_shared {
    explicit host_shared(entry_host_settings values);
    ~host_shared();
    host_shared(const host_shared &) = delete;
    host_shared &operator=(const host_shared &) = delete;

    const entry_host_settings settings;
    incarnation_id incarnation; ///< Random; identifies this run of the process.
    std::string peerAddress; ///< "ip:port" at which other entry hosts reach this one, with the bound port.
    event_ring events{65536}; ///< Timeline that the administration API shows; keeps the last 65536 events.
    host_metrics metrics;
    freshness configFreshness; ///< Decides whether new work may start: not while the configuration counts as stale.
    admission admissionControl{admission_settings{}};
    rcu_cell<routing_state> routing{std::make_shared<const routing_state>()}; ///< Published by the control thread.
    const rcu_cell<lease_table> *leases = nullptr; ///< Lease table published by the control thread; set before the workers start.
    std::unique_ptr<ticket_store> tickets; ///< Tickets issued by this host.
    std::vector<std::unique_ptr<worker>> workers; ///< Constant once the threads have started.
    std::atomic<bool> ready{false}; ///< Whether callers should send requests here; returned by /readyz.
    std::atomic<bool> stopping{false}; ///< A planned stop has started.

    /// Records an event in the timeline.
    /// @param subject Entry host, backend server, group or service that the event concerns; stored as event::peer; may be empty.
    void record(event_kind kind, std::string subject = {}, std::string detail = {}, request_id request = {});
};

} // namespace orioledrum
