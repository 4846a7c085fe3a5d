#include "checks.h"

#include <algorithm>

namespace orioledrum::history
{

promise_result checkNotRun(const check_context &context)
{
    promise_result result{0, "notRun", "An order that is reported as not run has not run and never will.", 0, {}, {}, {}};
    for (const auto &sample : context.events.samples) {
        if (!sample.isOrder || sample.outcome != "notRun" || sample.ticket.empty()) {
            continue;
        }
        if (sample.code == "ticketConflict") {
            // The first order with this ticket may have run, and the recorded calls don't contain the bodies that tell orders apart.
            ++result.counts["ticketConflicts"];
            continue;
        }
        ++result.checked;
        const auto found = context.orderCallsByTicket.find(sample.ticket);
        if (found == context.orderCallsByTicket.end()) {
            continue;
        }
        for (const auto *record : found->second) {
            if (record->runs > 0) {
                result.violations.push_back({"order " + sample.ticket + " is reported as not run, but " + record->backend + " ran it",
                                             {sample.source, record->source}});
            }
        }
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("samples of orders with a ticket that were reported as not run");
    }
    return result;
}

promise_result checkAtMostOnce(const check_context &context)
{
    promise_result result{0, "atMostOnce", "A non-idempotent request runs at most once.", 0, {}, {}, {}};
    for (const auto &[ticket, records] : context.orderCallsByTicket) {
        ++result.checked;
        std::uint64_t runs = 0;
        std::vector<line_source> runCalls;
        for (const auto *record : records) {
            if (record->runs > 0) {
                ++runs;
                runCalls.push_back(record->source);
            }
            // A run count above one proves an earlier run even if the recorded line of that run is lost.
            if (record->runs > 1) {
                runs = std::max(runs, record->runs);
            }
        }
        if (runs > 1) {
            result.violations.push_back({"order " + ticket + " ran " + std::to_string(runs) + " times", std::move(runCalls)});
        }
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("orders recorded by the backend servers");
    }
    return result;
}

} // namespace orioledrum::history
