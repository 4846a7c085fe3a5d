#include <load/sample.h>

#include <nlohmann/json.hpp>

namespace orioledrum::load
{

using json = nlohmann::json;

namespace
{

/// Fills in code and message from an error answer: {"error":{"code","message"}}.
void readError(const json &body, sample &result)
{
    result.code = "malformedAnswer";
    if (body.is_object() && body.contains("error") && body["error"].is_object()) {
        result.code = body["error"].value("code", std::string("malformedAnswer"));
        result.message = body["error"].value("message", std::string());
    }
}

} // namespace

void readSearchAnswer(int status, const std::string &text, bool keepResults, sample &result)
{
    result.status = status;
    const json body = json::parse(text, nullptr, false);
    try {
        if (status != 200) {
            result.outcome = "refused";
            readError(body, result);
            return;
        }
        const auto &coverage = body.at("coverage");
        result.requestId = body.at("requestId").get<std::string>();
        result.snapshot = body.at("snapshot").get<std::uint64_t>();
        result.layout = body.at("layout").get<std::uint64_t>();
        result.complete = body.at("complete").get<bool>();
        result.shardsTotal = coverage.at("shardsTotal").get<std::uint64_t>();
        result.shardsAnswered = coverage.at("shardsAnswered").get<std::uint64_t>();
        result.coverage = coverage.at("fraction").get<double>();
        for (const auto &entry : coverage.at("missing")) {
            ++result.missing[entry.at("reason").get<std::string>()];
        }
        for (const auto &hit : body.at("results")) {
            std::string id = hit.at("id").get<std::string>();
            if (keepResults) {
                result.results.push_back(std::move(id));
            }
        }
        result.outcome = "answered";
    } catch (const json::exception &error) {
        result.outcome = "failed";
        result.code = "malformedAnswer";
        result.message = error.what();
    }
}

void readOrderAnswer(int status, const std::string &text, sample &result)
{
    result.status = status;
    result.outcome = "unknown";
    const json body = json::parse(text, nullptr, false);
    try {
        if (!body.is_object() || !body.contains("outcome")) {
            readError(body, result);
            return;
        }
        const auto outcome = body["outcome"].get<std::string>();
        if (outcome != "ran" && outcome != "notRun" && outcome != "unknown") {
            result.code = "malformedAnswer";
            result.message = "unknown outcome " + outcome;
            return;
        }
        result.outcome = outcome;
        if (outcome != "ran") {
            result.code = body.value("code", std::string("none"));
            result.message = body.value("message", std::string());
        }
    } catch (const json::exception &error) {
        result.code = "malformedAnswer";
        result.message = error.what();
    }
}

std::string toJsonLine(const sample &entry)
{
    // sentAtUs, endedAtUs and orderSentAtUs are on CLOCK_BOOTTIME; the other times count from the start of the run.
    json line = {{"kind", entry.isOrder ? "order" : "search"},
                 {"service", entry.service},
                 {"customer", entry.customer},
                 {"host", entry.host},
                 {"scheduledUs", entry.scheduled.count()},
                 {"sentUs", entry.sent.count()},
                 {"endedUs", entry.ended.count()},
                 {"latencyUs", entry.latency().count()},
                 {"sentAtUs", (entry.runStart + entry.sent).count()},
                 {"endedAtUs", (entry.runStart + entry.ended).count()},
                 {"deadlineUs", entry.deadline.count()},
                 {"status", entry.status},
                 {"outcome", entry.outcome}};
    if (!entry.code.empty()) {
        line["code"] = entry.code;
        line["message"] = entry.message;
    }
    if (entry.isOrder) {
        line["ticket"] = entry.ticket;
        if (entry.orderSent.count() != 0) {
            line["orderSentAtUs"] = (entry.runStart + entry.orderSent).count();
        }
    } else {
        line["query"] = entry.query;
        line["limit"] = entry.limit;
    }
    if (!entry.isOrder && entry.outcome == "answered") {
        line["requestId"] = entry.requestId;
        line["snapshot"] = entry.snapshot;
        line["layout"] = entry.layout;
        line["shardsTotal"] = entry.shardsTotal;
        line["shardsAnswered"] = entry.shardsAnswered;
        line["coverage"] = entry.coverage;
        line["complete"] = entry.complete;
        line["missing"] = entry.missing;
        if (!entry.results.empty()) {
            line["results"] = entry.results;
        }
    }
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace orioledrum::load
