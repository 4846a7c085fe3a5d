#include <load/report.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iomanip>
#include <sstream>

namespace orioledrum::load
{

using json = nlohmann::ordered_json;

namespace
{

using sample_list = std::vector<const sample *>;

double toMs(std::chrono::microseconds value)
{
    return static_cast<double>(value.count()) / 1000;
}

json percentiles(std::vector<double> values)
{
    if (values.empty()) {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    return {{"count", values.size()},
            {"p50", percentile(values, 0.5)},
            {"p90", percentile(values, 0.9)},
            {"p99", percentile(values, 0.99)},
            {"p99.9", percentile(values, 0.999)},
            {"max", values.back()}};
}

/// @return Latency percentiles of the samples that match.
json latencyPercentiles(const sample_list &samples, const std::function<bool(const sample &)> &matches)
{
    std::vector<double> values;
    for (const sample *entry : samples) {
        if (matches(*entry)) {
            values.push_back(toMs(entry->latency()));
        }
    }
    return percentiles(std::move(values));
}

/// @return Number of samples by key; samples with an empty key are not counted.
json countBy(const sample_list &samples, const std::function<std::string(const sample &)> &key)
{
    std::map<std::string, std::uint64_t> counts;
    for (const sample *entry : samples) {
        if (const std::string name = key(*entry); !name.empty()) {
            ++counts[name];
        }
    }
    return json(counts);
}

/// @return Coverage statistics of the answered searches; null if there are none.
json coverageReport(const sample_list &samples)
{
    std::vector<double> values;
    std::uint64_t full = 0;
    double sum = 0;
    std::map<std::string, std::uint64_t> missing;
    for (const sample *entry : samples) {
        if (entry->outcome != "answered") {
            continue;
        }
        values.push_back(entry->coverage);
        sum += entry->coverage;
        full += entry->shardsAnswered == entry->shardsTotal ? 1 : 0;
        for (const auto &[reason, count] : entry->missing) {
            missing[reason] += count;
        }
    }
    if (values.empty()) {
        return nullptr;
    }
    std::sort(values.begin(), values.end());
    const auto below = [&](double bound) { return std::lower_bound(values.begin(), values.end(), bound) - values.begin(); };
    return {{"min", values.front()},
            {"p0.1", percentile(values, 0.001)},
            {"p1", percentile(values, 0.01)},
            {"p10", percentile(values, 0.1)},
            {"p50", percentile(values, 0.5)},
            {"mean", sum / static_cast<double>(values.size())},
            {"full", full},
            {"below0.5", below(0.5)},
            {"below0.9", below(0.9)},
            {"below0.99", below(0.99)},
            {"below0.999", below(0.999)},
            {"missingShardsByReason", json(missing)}};
}

/// @return The figures of one kind of request: of all searches, or of all orders.
/// @param samples All samples of this kind after the warm-up.
json kindReport(const sample_list &samples, const report_context &context, bool isOrder)
{
    const auto isSuccess = [](const sample &entry) { return entry.succeeded(); };
    const auto successCount =
        static_cast<std::uint64_t>(std::count_if(samples.begin(), samples.end(), [](const sample *entry) { return entry->succeeded(); }));
    const double seconds = std::chrono::duration<double>(context.duration - context.warmup).count();
    json result;
    result["count"] = samples.size();
    result["wantedPerSecond"] = isOrder ? context.ordersPerSecond : context.searchesPerSecond;
    result["sentPerSecond"] = static_cast<double>(samples.size()) / seconds;
    result["goodPerSecond"] = static_cast<double>(successCount) / seconds;
    result["outcomes"] = countBy(samples, [](const sample &entry) { return entry.outcome; });
    result["errorsByCode"] = countBy(samples, [](const sample &entry) { return entry.code; });
    result["latencyMs"] = latencyPercentiles(samples, isSuccess);
    result["latencyOfAllMs"] = latencyPercentiles(samples, [](const sample &) { return true; });
    if (!isOrder) {
        result["coverage"] = coverageReport(samples);
    }
    // The deadline of a request counts from the sending of the search or order. `late` counts from the scheduled time, so it is
    // stricter. `lateAfterSending` is stricter for orders only, because it counts from the request for the ticket.
    std::uint64_t late = 0;
    std::uint64_t lateAfterSending = 0;
    for (const sample *entry : samples) {
        late += entry->latency() > context.deadline ? 1 : 0;
        lateAfterSending += entry->ended - entry->sent > context.deadline ? 1 : 0;
    }
    result["late"] = late;
    result["lateAfterSending"] = lateAfterSending;
    return result;
}

/// @return Outcomes and latencies by group, for example by customer.
json groupReports(const sample_list &samples, const std::function<std::string(const sample &)> &key)
{
    std::map<std::string, sample_list> groups;
    for (const sample *entry : samples) {
        groups[key(*entry)].push_back(entry);
    }
    json result = json::object();
    for (const auto &[name, members] : groups) {
        json entry;
        entry["count"] = members.size();
        entry["outcomes"] = countBy(members, [](const sample &member) { return member.outcome; });
        entry["latencyMs"] = latencyPercentiles(members, [](const sample &member) { return member.succeeded(); });
        result[name] = std::move(entry);
    }
    return result;
}

/// @return Outcomes, latencies and lowest coverage by the second in which requests were scheduled. Without an answered search the
/// lowest coverage is 1.
json reportsPerSecond(const sample_list &samples)
{
    std::map<std::int64_t, sample_list> seconds;
    for (const sample *entry : samples) {
        seconds[entry->scheduled.count() / 1000000].push_back(entry);
    }
    json result = json::array();
    for (const auto &[second, members] : seconds) {
        double lowest = 1;
        for (const sample *entry : members) {
            if (!entry->isOrder && entry->outcome == "answered") {
                lowest = std::min(lowest, entry->coverage);
            }
        }
        result.push_back({{"second", second},
                          {"count", members.size()},
                          {"outcomes", countBy(members, [](const sample &member) { return member.outcome; })},
                          {"latencyMs", latencyPercentiles(members, [](const sample &member) { return member.succeeded(); })},
                          {"lowestCoverage", lowest}});
    }
    return result;
}

json makeReport(const std::vector<sample> &samples, const report_context &context)
{
    sample_list searches;
    sample_list orders;
    sample_list all;
    std::vector<double> delays;
    for (const sample &entry : samples) {
        if (entry.scheduled < context.warmup) {
            continue;
        }
        all.push_back(&entry);
        (entry.isOrder ? orders : searches).push_back(&entry);
        delays.push_back(toMs(entry.sent - entry.scheduled));
    }
    json result;
    result["seed"] = context.seed;
    result["durationSeconds"] = std::chrono::duration<double>(context.duration).count();
    result["warmupSeconds"] = std::chrono::duration<double>(context.warmup).count();
    result["deadlineMs"] = context.deadline.count();
    result["searches"] = kindReport(searches, context, false);
    result["orders"] = kindReport(orders, context, true);
    // Delay added by the load generator itself, included in every latency above. A large delay means that the generator was too slow.
    result["sendDelayMs"] = percentiles(std::move(delays));
    result["customers"] = groupReports(all, [](const sample &entry) { return entry.customer; });
    result["hosts"] = groupReports(all, [](const sample &entry) { return entry.host; });
    result["perSecond"] = reportsPerSecond(all);
    return result;
}

std::string formatCounts(const json &counts)
{
    std::string text;
    for (const auto &[name, count] : counts.items()) {
        text += (text.empty() ? "" : ", ") + name + " " + count.dump();
    }
    return text.empty() ? "none" : text;
}

std::string formatPercentiles(const json &value)
{
    if (value.is_null()) {
        return "none";
    }
    std::ostringstream text;
    text << std::fixed << std::setprecision(2);
    for (const char *name : {"p50", "p90", "p99", "p99.9", "max"}) {
        text << name << ' ' << value[name].get<double>() << "  ";
    }
    return text.str();
}

void writeKindReport(std::ostream &stream, const std::string &name, const json &kind)
{
    if (kind["count"] == 0) {
        return;
    }
    stream << name << ": " << kind["count"] << " (" << kind["sentPerSecond"].get<double>() << "/s of "
           << kind["wantedPerSecond"].get<double>() << "/s requested, " << kind["goodPerSecond"].get<double>() << "/s successful)\n"
           << "  outcomes      " << formatCounts(kind["outcomes"]) << '\n'
           << "  errors        " << formatCounts(kind["errorsByCode"]) << '\n'
           << "  latency ms    " << formatPercentiles(kind["latencyMs"]) << '\n'
           << "  all ms        " << formatPercentiles(kind["latencyOfAllMs"]) << '\n'
           << "  late          " << kind["late"] << " counted from the scheduled time, " << kind["lateAfterSending"]
           << " counted from sending\n";
    if (kind.contains("coverage") && !kind["coverage"].is_null()) {
        const auto &coverage = kind["coverage"];
        stream << std::setprecision(4) << "  coverage      mean " << coverage["mean"].get<double>() << "  min "
               << coverage["min"].get<double>() << "  p1 " << coverage["p1"].get<double>() << "  p10 " << coverage["p10"].get<double>()
               << "  full " << coverage["full"] << "  below 0.99 " << coverage["below0.99"] << '\n'
               << std::setprecision(2) << "  missing       " << formatCounts(coverage["missingShardsByReason"]) << '\n';
    }
}

} // namespace

double percentile(const std::vector<double> &sortedValues, double fraction)
{
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sortedValues.size())));
    return sortedValues[std::clamp<std::size_t>(rank, 1, sortedValues.size()) - 1];
}

std::string reportAsJson(const std::vector<sample> &samples, const report_context &context)
{
    return makeReport(samples, context).dump(2, ' ', false, json::error_handler_t::replace);
}

std::string reportAsText(const std::vector<sample> &samples, const report_context &context)
{
    const json report = makeReport(samples, context);
    std::ostringstream stream;
    stream << std::fixed << std::setprecision(2);
    stream << "run: " << report["durationSeconds"].get<double>() << " s, first " << report["warmupSeconds"].get<double>()
           << " s excluded, seed " << context.seed << ", deadline " << context.deadline.count() << " ms\n";
    writeKindReport(stream, "searches", report["searches"]);
    writeKindReport(stream, "orders", report["orders"]);
    stream << "send delay ms   " << formatPercentiles(report["sendDelayMs"]) << '\n';
    if (report["customers"].size() > 1) {
        for (const auto &[name, customer] : report["customers"].items()) {
            stream << "customer " << name << ": " << customer["count"] << ", " << formatCounts(customer["outcomes"]) << ", "
                   << formatPercentiles(customer["latencyMs"]) << '\n';
        }
    }
    return stream.str();
}

} // namespace orioledrum::load
