#include "checks.h"

#include <standin/hits.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace orioledrum::history
{

namespace
{

/// Greatest difference of a stated share from the quotient of its numbers.
constexpr double shareTolerance = 1e-6;

/// A result identifier, SHARD-SNAPSHOT-NUMBER.
struct result_origin {
    std::string shard;
    std::uint64_t snapshot = 0;
};

std::optional<result_origin> originOf(const std::string &id)
{
    const auto last = id.rfind('-');
    const auto middle = last == std::string::npos || last == 0 ? std::string::npos : id.rfind('-', last - 1);
    if (middle == std::string::npos || middle == 0) {
        return std::nullopt;
    }
    const std::string number = id.substr(middle + 1, last - middle - 1);
    if (number.empty() || number.size() > 18 || number.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return result_origin{id.substr(0, middle), std::stoull(number)};
}

bool useful(const backend_record &record)
{
    return record.outcome == "answered" || record.outcome == "partial";
}

/// Calls of the request for the shard, which may be of other snapshots.
std::vector<const backend_record *> callsFor(const check_context &context, const caller_sample &sample, const std::string &shard)
{
    std::vector<const backend_record *> found;
    const auto calls = context.searchCallsByRequest.find(sample.request);
    if (calls != context.searchCallsByRequest.end()) {
        std::copy_if(calls->second.begin(), calls->second.end(), std::back_inserter(found), [&shard](const backend_record *record) {
            return record->shard == shard;
        });
    }
    return found;
}

std::vector<line_source> sources(const caller_sample &sample, const std::vector<const backend_record *> &records)
{
    std::vector<line_source> result{sample.source};
    for (const auto *record : records) {
        result.push_back(record->source);
    }
    return result;
}

/// Shards of the pinned layout that the recorded calls show as answered whole before the answer was received.
std::set<std::string> wholeShards(const check_context &context, const caller_sample &sample)
{
    std::set<std::string> shards;
    const auto calls = context.searchCallsByRequest.find(sample.request);
    if (calls == context.searchCallsByRequest.end()) {
        return shards;
    }
    for (const auto *record : calls->second) {
        if (record->outcome == "answered" && record->snapshot == sample.snapshot && record->layout == sample.layout
            && record->endUs <= *sample.endedAtUs) {
            shards.insert(record->shard);
        }
    }
    return shards;
}

/// @return The results that the shards hold for the query, best first.
std::vector<standin::shard_hit> expectedHits(const check_context &context, const caller_sample &sample, const std::set<std::string> &shards)
{
    std::vector<standin::shard_hit> hits;
    for (const auto &shard : shards) {
        auto part = standin::makeHits(shard, sample.snapshot, sample.query, context.settings.hitsPerShard, 0);
        std::move(part.begin(), part.end(), std::back_inserter(hits));
    }
    std::sort(hits.begin(), hits.end(), [](const standin::shard_hit &left, const standin::shard_hit &right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    return hits;
}

/// Checks the results against what the shards hold for the query.
void checkResults(const check_context &context, const caller_sample &sample, promise_result &result)
{
    std::set<std::string> seen;
    for (const auto &id : sample.results) {
        if (!seen.insert(id).second) {
            result.violations.push_back({"result " + id + " appears twice in one answer", {sample.source}});
            return;
        }
        const auto origin = originOf(id);
        if (!origin) {
            result.violations.push_back({"result " + id + " is not one that a shard gives", {sample.source}});
            return;
        }
        const auto held = standin::makeHits(origin->shard, origin->snapshot, sample.query, context.settings.hitsPerShard, 0);
        if (std::none_of(held.begin(), held.end(), [&id](const standin::shard_hit &hit) { return hit.id == id; })) {
            result.violations.push_back({"result " + id + " does not belong to query \"" + sample.query + "\"", {sample.source}});
            return;
        }
        if (context.events.records.empty() || !sample.endedAtUs) {
            continue;
        }
        const auto calls = callsFor(context, sample, origin->shard);
        const bool given = std::any_of(calls.begin(), calls.end(), [&sample](const backend_record *record) {
            return useful(*record) && record->endUs <= *sample.endedAtUs;
        });
        if (!given) {
            result.violations.push_back({"result " + id + " comes from shard " + origin->shard
                                             + ", of which no call of this request was answered before the answer",
                                         sources(sample, calls)});
            return;
        }
    }
    if (!sample.complete || sample.limit == 0 || context.events.records.empty() || !sample.endedAtUs) {
        return;
    }
    const auto best = expectedHits(context, sample, wholeShards(context, sample));
    const std::size_t wanted = std::min<std::size_t>(best.size(), sample.limit);
    std::set<std::string> expected;
    for (std::size_t index = 0; index < wanted; ++index) {
        expected.insert(best[index].id);
    }
    for (const auto &id : expected) {
        // A result with the score of the last one may stand in for it.
        if (!seen.contains(id)) {
            const auto position = std::find_if(best.begin(), best.end(), [&id](const standin::shard_hit &hit) { return hit.id == id; });
            if (position->score > best[wanted - 1].score || seen.size() < wanted) {
                result.violations.push_back(
                    {"the complete answer lacks result " + id + ", one of the best " + std::to_string(wanted), {sample.source}});
                return;
            }
        }
    }
}

/// Checks that the answer came within its deadline.
void checkDeadline(const check_context &context, const caller_sample &sample, promise_result &result)
{
    const std::int64_t allowed = *sample.sentAtUs + *sample.deadlineUs + context.settings.deadlineGrace.count();
    if (*sample.endedAtUs <= allowed) {
        return;
    }
    if (context.wasDownOrPaused(context.hostForAddress(sample.hostAddress), *sample.sentAtUs, *sample.endedAtUs)) {
        ++result.counts["lateWhileHostStoodStill"];
        return;
    }
    const auto late = *sample.endedAtUs - *sample.sentAtUs - *sample.deadlineUs;
    result.violations.push_back({"the answer came " + std::to_string(late) + " us after its deadline", {sample.source}});
}

} // namespace

promise_result checkSnapshot(const check_context &context)
{
    promise_result result{0, "snapshot", "Every answer comes from one snapshot of the index.", 0, {}, {}, {}};
    bool searches = false;
    for (const auto &sample : context.events.samples) {
        if (!sample.isAnsweredSearch()) {
            continue;
        }
        searches = true;
        if (!sample.resultsRecorded) {
            ++result.counts["answersWithoutResults"];
            continue;
        }
        ++result.checked;
        for (const auto &id : sample.results) {
            const auto origin = originOf(id);
            if (!origin) {
                continue; // Reported by the check of answers.
            }
            if (origin->snapshot != sample.snapshot) {
                result.violations.push_back({"result " + id + " is of snapshot " + std::to_string(origin->snapshot) + ", the answer states "
                                                 + std::to_string(sample.snapshot),
                                             sources(sample, callsFor(context, sample, origin->shard))});
                break;
            }
            const auto calls = callsFor(context, sample, origin->shard);
            const auto fits = [&sample](const backend_record *record) {
                return record->snapshot == sample.snapshot && record->layout == sample.layout;
            };
            if (!calls.empty() && std::none_of(calls.begin(), calls.end(), fits)) {
                result.violations.push_back(
                    {"shard " + origin->shard + " was asked only for other snapshots or layouts than the one stated",
                     sources(sample, calls)});
                break;
            }
        }
    }
    if (!searches) {
        result.missingEvidence.emplace_back("samples of answered searches");
    } else if (result.checked == 0) {
        result.missingEvidence.emplace_back("results in the samples (orioledrum-load --sample-results)");
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers, which show the layouts");
    }
    return result;
}

promise_result checkCoverage(const check_context &context)
{
    promise_result result{0, "coverage", "Every answer states its coverage truthfully.", 0, {}, {}, {}};
    std::map<std::uint64_t, std::set<std::string>> recordedShards;
    for (const auto &record : context.events.records) {
        if (!record.isOrder && record.outcome == "answered") {
            recordedShards[record.layout].insert(record.shard);
        }
    }
    bool searches = false;
    bool layoutUnknown = false;
    for (const auto &sample : context.events.samples) {
        if (!sample.isAnsweredSearch()) {
            continue;
        }
        searches = true;
        const auto report = [&](std::string text) { result.violations.push_back({std::move(text), {sample.source}}); };
        const auto total = std::to_string(sample.shardsTotal);
        const double share =
            sample.shardsTotal == 0 ? 0 : static_cast<double>(sample.shardsAnswered) / static_cast<double>(sample.shardsTotal);
        if (sample.shardsAnswered + sample.missingShards != sample.shardsTotal) {
            report("answered and missing shards do not add up to " + total);
            continue;
        }
        if (std::abs(sample.coverage - share) > shareTolerance || sample.complete != (sample.shardsAnswered == sample.shardsTotal)) {
            report("the share or the mark of a complete answer contradicts the numbers");
            continue;
        }
        if (context.events.records.empty() || !sample.endedAtUs) {
            continue;
        }
        const auto whole = wholeShards(context, sample);
        ++result.checked;
        if (sample.shardsAnswered > whole.size()) {
            const auto calls = context.searchCallsByRequest.find(sample.request);
            auto shown = calls == context.searchCallsByRequest.end() ? std::vector<const backend_record *>{} : calls->second;
            std::erase_if(shown, [&](const backend_record *record) { return whole.contains(record->shard); });
            result.violations.push_back({"the answer counts " + std::to_string(sample.shardsAnswered) + " shards, "
                                             + std::to_string(whole.size()) + " were answered whole at its snapshot and in time",
                                         sources(sample, shown)});
            continue;
        }
        // The backend server that answered tells the service of the request.
        const auto calls = context.searchCallsByRequest.find(sample.request);
        const auto service = calls == context.searchCallsByRequest.end()
            ? context.events.serviceOfBackend.end()
            : context.events.serviceOfBackend.find(calls->second.front()->backend);
        const auto layout = service == context.events.serviceOfBackend.end()
            ? context.events.shardsOfLayout.end()
            : context.events.shardsOfLayout.find({service->second, sample.layout});
        if (layout != context.events.shardsOfLayout.end()) {
            if (layout->second.size() != sample.shardsTotal) {
                report("the answer states " + total + " shards in all, its layout has " + std::to_string(layout->second.size()));
            }
        } else {
            layoutUnknown = layoutUnknown || calls != context.searchCallsByRequest.end();
        }
    }
    if (!searches) {
        result.missingEvidence.emplace_back("samples of answered searches");
    } else if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    } else if (result.checked == 0 && result.violations.empty()) {
        result.missingEvidence.emplace_back("absolute times in the samples (endedAtUs)");
    }
    if (layoutUnknown) {
        result.missingEvidence.emplace_back("the shards of the layouts (events layout and backendServer with their service)");
    }
    return result;
}

promise_result checkAnswers(const check_context &context)
{
    promise_result result{0, "answers", "Each caller gets the complete answer to its own request, before its deadline.", 0, {}, {}, {}};
    std::map<std::string, const caller_sample *> requests;
    bool times = false;
    bool results = true;
    for (const auto &sample : context.events.samples) {
        if (sample.status == 0) {
            ++result.counts["withoutAnswer"];
            continue;
        }
        ++result.checked;
        if (sample.sentAtUs && sample.endedAtUs && sample.deadlineUs) {
            checkDeadline(context, sample, result);
            times = true;
        } else {
            ++result.counts["withoutDeadline"];
        }
        if (sample.outcome == "failed") {
            result.violations.push_back({"the answer cannot be read", {sample.source}});
        }
        if (sample.isOrder) {
            const auto found = context.orderCallsByTicket.find(sample.ticket);
            const bool ran = found != context.orderCallsByTicket.end()
                && std::any_of(found->second.begin(), found->second.end(), [](const backend_record *record) { return record->runs > 0; });
            if (sample.outcome == "ran" && !context.events.records.empty() && !ran) {
                result.violations.push_back({"the order is reported as run, but no backend server recorded it", {sample.source}});
            }
        }
        if (!sample.isAnsweredSearch()) {
            continue;
        }
        const auto [first, added] = requests.try_emplace(sample.request, &sample);
        if (!added) {
            result.violations.push_back({"two answers carry request " + sample.request, {first->second->source, sample.source}});
        }
        if (sample.resultsRecorded) {
            checkResults(context, sample, result);
        } else {
            results = false;
        }
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("samples with an answer");
    }
    if (!times) {
        result.missingEvidence.emplace_back("absolute times and deadlines in the samples (sentAtUs, endedAtUs, deadlineUs)");
    }
    if (!results) {
        result.missingEvidence.emplace_back("results in the samples (orioledrum-load --sample-results)");
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    return result;
}

} // namespace orioledrum::history
