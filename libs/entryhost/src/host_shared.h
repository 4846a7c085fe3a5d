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

/// What the threads of an entry host share. Outlives all of them.
struct host_shared {
    explicit host_shared(entry_host_settings values);
    ~host_shared();
    host_shared(const host_shared &) = delete;
    host_shared &operator=(const host_shared &) = delete;

    const entry_host_settings options;
    incarnation_id incarnation;
    std::string peerAddress; ///< Address that other entry hosts reach this one at.
    event_ring events{65536};
    host_metrics metrics;
    freshness configFreshness;
    admission admissionControl{admission_settings{}};
    rcu_cell<routing_state> routing{std::make_shared<const routing_state>()};
    const rcu_cell<lease_table> *leases = nullptr; ///< Published by the control thread; set before workers start.
    std::unique_ptr<ticket_store> tickets;
    std::vector<std::unique_ptr<worker>> workers; ///< Fixed after the start.
    std::atomic<bool> ready{false};
    std::atomic<bool> stopping{false};

    /// Records a time line event.
    void record(event_kind kind, std::string peer = {}, std::string detail = {}, request_id request = {});
};

} // namespace orioledrum
