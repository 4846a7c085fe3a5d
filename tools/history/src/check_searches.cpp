#include "checks.h"

#include <standin/hits.h>

#include <algorithm>
#include <cmath>
#include <optional>

namespace orioledrum::history
{

namespace
{

/// Largest accepted difference between the coverage that an answer states and the quotient of its shard counts.
constexpr double coverageTolerance = 1e-6;

/// Shard and snapshot that a result id names. The stand-ins form ids as SHARD-SNAPSHOT-NUMBER.
struct result_origin {
    std::string shard;
    std::uint64_t snapshot = 0;
};

std::optional<result_origin> parseResultId(const std::string &id)
{
    const auto lastDash = id.rfind('-');
    const auto middleDash = lastDash == std::string::npos || lastDash == 0 ? std::string::npos : id.rfind('-', lastDash - 1);
    if (middleDash == std::string::npos || middleDash == 0) {
        return std::nullopt;
    }
    const std::string number = id.substr(middleDash + 1, lastDash - middleDash - 1);
    if (number.empty() || number.size() > 18 || number.find_first_not_of("0123456789") != std::string::npos) {
        return std::nullopt;
    }
    return result_origin{id.substr(0, middleDash), std::stoull(number)};
}

bool returnedResults(const backend_record &record)
{
    return record.outcome == "answered" || record.outcome == "partial";
}

/// @return The request's calls for the shard, including calls for snapshots other than that of the answer.
std::vector<const backend_record *> callsForShard(const check_context &context, const caller_sample &sample, const std::string &shard)
{
    std::vector<const backend_record *> shardCalls;
    const auto calls = context.searchCallsByRequest.find(sample.request);
    if (calls != context.searchCallsByRequest.end()) {
        std::copy_if(calls->second.begin(), calls->second.end(), std::back_inserter(shardCalls), [&shard](const backend_record *record) {
            return record->shard == shard;
        });
    }
    return shardCalls;
}

std::vector<line_source> sourcesOf(const caller_sample &sample, const std::vector<const backend_record *> &records)
{
    std::vector<line_source> result{sample.source};
    for (const auto *record : records) {
        result.push_back(record->source);
    }
    return result;
}

/// @return The shards that recorded calls show as fully answered, for the answer's snapshot and layout, before the caller received the
/// answer. sample.endedAtUs must be set.
std::set<std::string> fullyAnsweredShards(const check_context &context, const caller_sample &sample)
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

/// @return The results that the stand-ins of these shards hold for the query, highest score first.
std::vector<standin::shard_hit> expectedHits(const check_context &context, const caller_sample &sample, const std::set<std::string> &shards)
{
    std::vector<standin::shard_hit> hits;
    for (const auto &shard : shards) {
        auto shardHits = standin::makeHits(shard, sample.snapshot, sample.query, context.settings.hitsPerShard, 0);
        std::move(shardHits.begin(), shardHits.end(), std::back_inserter(hits));
    }
    std::sort(hits.begin(), hits.end(), [](const standin::shard_hit &left, const standin::shard_hit &right) {
        return left.score != right.score ? left.score > right.score : left.id < right.id;
    });
    return hits;
}

/// Checks that each result belongs to the query, occurs once and was returned by a call that ended before the caller received the answer.
/// Also checks that a complete answer contains the results with the highest scores. Reports only the first violation of an answer.
void checkResults(const check_context &context, const caller_sample &sample, promise_result &result)
{
    std::set<std::string> seen;
    for (const auto &id : sample.results) {
        if (!seen.insert(id).second) {
            result.violations.push_back({"result " + id + " appears twice in one answer", {sample.source}});
            return;
        }
        const auto origin = parseResultId(id);
        if (!origin) {
            result.violations.push_back({"result " + id + " does not have the form SHARD-SNAPSHOT-NUMBER", {sample.source}});
            return;
        }
        const auto hitsOfShard = standin::makeHits(origin->shard, origin->snapshot, sample.query, context.settings.hitsPerShard, 0);
        if (std::none_of(hitsOfShard.begin(), hitsOfShard.end(), [&id](const standin::shard_hit &hit) { return hit.id == id; })) {
            result.violations.push_back({"result " + id + " does not belong to query \"" + sample.query + "\"", {sample.source}});
            return;
        }
        if (context.events.records.empty() || !sample.endedAtUs) {
            continue;
        }
        const auto calls = callsForShard(context, sample, origin->shard);
        const bool returnedInTime = std::any_of(calls.begin(), calls.end(), [&sample](const backend_record *record) {
            return returnedResults(*record) && record->endUs <= *sample.endedAtUs;
        });
        if (!returnedInTime) {
            result.violations.push_back({"result " + id + " comes from shard " + origin->shard
                                             + ", but no call of this request to that shard was answered before the caller got the answer",
                                         sourcesOf(sample, calls)});
            return;
        }
    }
    if (!sample.complete || sample.limit == 0 || context.events.records.empty() || !sample.endedAtUs) {
        return;
    }
    const auto rankedHits = expectedHits(context, sample, fullyAnsweredShards(context, sample));
    const std::size_t expectedCount = std::min<std::size_t>(rankedHits.size(), sample.limit);
    std::set<std::string> expected;
    for (std::size_t index = 0; index < expectedCount; ++index) {
        expected.insert(rankedHits[index].id);
    }
    for (const auto &id : expected) {
        // A result with the score of the last expected one may be replaced by another with the same score.
        if (!seen.contains(id)) {
            const auto missingHit =
                std::find_if(rankedHits.begin(), rankedHits.end(), [&id](const standin::shard_hit &hit) { return hit.id == id; });
            if (missingHit->score > rankedHits[expectedCount - 1].score || seen.size() < expectedCount) {
                result.violations.push_back(
                    {"the complete answer lacks result " + id + ", one of the best " + std::to_string(expectedCount), {sample.source}});
                return;
            }
        }
    }
}

/// Checks that the answer arrived by its deadline. A late answer is only counted if the entry host was down or paused meanwhile.
void checkDeadline(const check_context &context, const caller_sample &sample, promise_result &result)
{
    const std::int64_t latestUs = *sample.sentAtUs + *sample.deadlineUs + context.settings.deadlineGrace.count();
    if (*sample.endedAtUs <= latestUs) {
        return;
    }
    if (context.wasDownOrPaused(context.hostForAddress(sample.hostAddress), *sample.sentAtUs, *sample.endedAtUs)) {
        ++result.counts["lateWhileHostStoodStill"];
        return;
    }
    const auto lateUs = *sample.endedAtUs - *sample.sentAtUs - *sample.deadlineUs;
    result.violations.push_back({"the answer came " + std::to_string(lateUs) + " us after its deadline", {sample.source}});
}

} // namespace

promise_result checkSnapshot(const check_context &context)
{
    promise_result result{0, "snapshot", "Every answer comes from one snapshot of the index.", 0, {}, {}, {}};
    bool hasSearches = false;
    for (const auto &sample : context.events.samples) {
        if (!sample.isAnsweredSearch()) {
            continue;
        }
        hasSearches = true;
        if (!sample.resultsRecorded) {
            ++result.counts["answersWithoutResults"];
            continue;
        }
        ++result.checked;
        for (const auto &id : sample.results) {
            const auto origin = parseResultId(id);
            if (!origin) {
                continue; // checkAnswers() reports invalid ids.
            }
            if (origin->snapshot != sample.snapshot) {
                result.violations.push_back({"result " + id + " comes from snapshot " + std::to_string(origin->snapshot)
                                                 + ", but the answer states " + std::to_string(sample.snapshot),
                                             sourcesOf(sample, callsForShard(context, sample, origin->shard))});
                break;
            }
            const auto calls = callsForShard(context, sample, origin->shard);
            const auto matchesAnswer = [&sample](const backend_record *record) {
                return record->snapshot == sample.snapshot && record->layout == sample.layout;
            };
            if (!calls.empty() && std::none_of(calls.begin(), calls.end(), matchesAnswer)) {
                result.violations.push_back(
                    {"shard " + origin->shard + " was called only for other snapshots or layouts than the answer states",
                     sourcesOf(sample, calls)});
                break;
            }
        }
    }
    if (!hasSearches) {
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
    bool hasSearches = false;
    bool layoutUnknown = false;
    for (const auto &sample : context.events.samples) {
        if (!sample.isAnsweredSearch()) {
            continue;
        }
        hasSearches = true;
        const auto addViolation = [&](std::string text) { result.violations.push_back({std::move(text), {sample.source}}); };
        const auto shardsTotalText = std::to_string(sample.shardsTotal);
        const double answeredShare =
            sample.shardsTotal == 0 ? 0 : static_cast<double>(sample.shardsAnswered) / static_cast<double>(sample.shardsTotal);
        if (sample.shardsAnswered + sample.missingShards != sample.shardsTotal) {
            addViolation("answered and missing shards do not add up to " + shardsTotalText);
            continue;
        }
        if (std::abs(sample.coverage - answeredShare) > coverageTolerance
            || sample.complete != (sample.shardsAnswered == sample.shardsTotal)) {
            addViolation("coverage or complete contradicts the shard counts");
            continue;
        }
        if (context.events.records.empty() || !sample.endedAtUs) {
            continue;
        }
        const auto fullyAnswered = fullyAnsweredShards(context, sample);
        ++result.checked;
        if (sample.shardsAnswered > fullyAnswered.size()) {
            const auto calls = context.searchCallsByRequest.find(sample.request);
            auto otherCalls = calls == context.searchCallsByRequest.end() ? std::vector<const backend_record *>{} : calls->second;
            std::erase_if(otherCalls, [&](const backend_record *record) { return fullyAnswered.contains(record->shard); });
            result.violations.push_back({"the answer counts " + std::to_string(sample.shardsAnswered) + " shards as answered, but only "
                                             + std::to_string(fullyAnswered.size())
                                             + " were fully answered for its snapshot and layout in time",
                                         sourcesOf(sample, otherCalls)});
            continue;
        }
        // A caller_sample does not name the service, so it is taken from the backend server that got the first call of the request.
        const auto calls = context.searchCallsByRequest.find(sample.request);
        const auto service = calls == context.searchCallsByRequest.end()
            ? context.events.serviceOfBackend.end()
            : context.events.serviceOfBackend.find(calls->second.front()->backend);
        const auto layoutEntry = service == context.events.serviceOfBackend.end()
            ? context.events.shardsOfLayout.end()
            : context.events.shardsOfLayout.find({service->second, sample.layout});
        if (layoutEntry != context.events.shardsOfLayout.end()) {
            if (layoutEntry->second.size() != sample.shardsTotal) {
                addViolation("the answer states " + shardsTotalText + " shards in total, but its layout has "
                             + std::to_string(layoutEntry->second.size()));
            }
        } else {
            layoutUnknown = layoutUnknown || calls != context.searchCallsByRequest.end();
        }
    }
    if (!hasSearches) {
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
    std::map<std::string, const caller_sample *> sampleByRequest;
    bool hasTimes = false;
    bool allResultsRecorded = true;
    for (const auto &sample : context.events.samples) {
        if (sample.status == 0) {
            ++result.counts["withoutAnswer"];
            continue;
        }
        ++result.checked;
        if (sample.sentAtUs && sample.endedAtUs && sample.deadlineUs) {
            checkDeadline(context, sample, result);
            hasTimes = true;
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
        const auto [first, added] = sampleByRequest.try_emplace(sample.request, &sample);
        if (!added) {
            result.violations.push_back({"two answers have request id " + sample.request, {first->second->source, sample.source}});
        }
        if (sample.resultsRecorded) {
            checkResults(context, sample, result);
        } else {
            allResultsRecorded = false;
        }
    }
    if (result.checked == 0) {
        result.missingEvidence.emplace_back("samples with an answer");
    }
    if (!hasTimes) {
        result.missingEvidence.emplace_back("absolute times and deadlines in the samples (sentAtUs, endedAtUs, deadlineUs)");
    }
    if (!allResultsRecorded) {
        result.missingEvidence.emplace_back("results in the samples (orioledrum-load --sample-results)");
    }
    if (context.events.records.empty()) {
        result.missingEvidence.emplace_back("calls recorded by the backend servers");
    }
    return result;
}

} // namespace orioledrum::history
