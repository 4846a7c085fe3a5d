#include "tests/fakes/run_command.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace orioledrum;
using nlohmann::json;

namespace
{

const std::string logFolder = ORIOLEDRUM_TEST_LOGS;
const std::string bothLogs = logFolder + "/g1.log " + logFolder + "/g2.log";

/// @return The items of one host's view: description and age in ms.
std::vector<std::pair<std::string, json>> viewItemsOf(const json &explanation, const std::string &host)
{
    std::vector<std::pair<std::string, json>> found;
    for (const auto &item : explanation.at("beliefs")) {
        if (item.at("host") == host) {
            found.emplace_back(item.at("what"), item.at("ageMs"));
        }
    }
    return found;
}

bool contains(const std::vector<std::pair<std::string, json>> &views, const std::string &description, const json &age)
{
    return std::find(views.begin(), views.end(), std::pair<std::string, json>(description, age)) != views.end();
}

} // namespace

// Guards against an explanation of a partial answer without the missing shard, the reason, or the age of the host's view.
TEST(ExplainCommand, reportsMissingShardAndReason)
{
    const auto outcome = runCommand("explain --json partial1 " + bothLogs);
    ASSERT_EQ(outcome.exitCode, 0);
    const auto explanation = json::parse(outcome.output);
    EXPECT_EQ(explanation.at("outcome"), "search partial");
    EXPECT_EQ(
        explanation.at("cause"),
        "1 of 6 shards were missing, for example shard2: its backend servers were asked and had not answered in time (slow, paused or "
        "silent); hedges 1, retries 0");
    EXPECT_EQ(explanation.at("path").size(), 1U);
    EXPECT_TRUE(contains(viewItemsOf(explanation, "g1"), "routes of version 3 were in force", 572));
}

// Guards against a request refused by its key or usage cap, or ended by a withdrawn key, that is explained as one without a route.
TEST(ExplainCommand, tellsWhyAnOrganisationWasRefused)
{
    const auto file = std::filesystem::temp_directory_path() / ("orioledrum-organisations-" + std::to_string(::getpid()) + ".log");
    std::ofstream(file) << R"({"at":"2026-01-01T00:00:00.000Z","host":"g1","part":"front","event":"unauthenticated","id":"a","status":401})"
                        << "\n"
                        << R"({"at":"2026-01-01T00:00:01.000Z","host":"g1","part":"request","event":"keyWithdrawn","id":"b","ms":9})"
                        << "\n"
                        << R"({"at":"2026-01-01T00:00:02.000Z","host":"g1","part":"front","event":"overCap","id":"c","organisation":"m"})"
                        << "\n";
    const auto causeOf = [&](const std::string &id) {
        const auto outcome = runCommand("explain --json " + id + " " + file.string() + " 2>/dev/null");
        const auto explanation = json::parse(outcome.output, nullptr, false);
        return explanation.is_discarded() ? outcome.output : explanation.at("cause").get<std::string>();
    };
    EXPECT_EQ(causeOf("a"), "refused: it carried no key of an organisation in the configuration in force");
    EXPECT_EQ(causeOf("b"), "ended because its key was withdrawn");
    EXPECT_EQ(causeOf("c"), "refused: organisation m had reached its usage cap");
    std::filesystem::remove(file);
}

// Guards against explanations limited to the host that answered the caller when the cause lies at another host.
TEST(ExplainCommand, tracesRequestAcrossHosts)
{
    const auto explanation = json::parse(runCommand("explain --json relayed1 " + bothLogs).output);
    EXPECT_EQ(explanation.at("path").size(), 2U);
    EXPECT_NE(explanation.at("cause").get<std::string>().find("did not answer in time: 127.0.0.1:40003"), std::string::npos);
    const auto answeringHost = viewItemsOf(explanation, "g1");
    EXPECT_TRUE(contains(answeringHost, "backend server shard4-9 at 127.0.0.1:40109: listed, cold for 2500 ms", 1000));
    const auto gatheringHost = viewItemsOf(explanation, "g2");
    EXPECT_TRUE(contains(gatheringHost, "had lost contact with the platform: call server: timed out", 1995));
    EXPECT_TRUE(contains(gatheringHost, "no line on a backend server of shard5 since the list of all 15 was read", 2385));
    const auto gaps = explanation.at("gaps").dump();
    EXPECT_NE(gaps.find("no line names the host at 127.0.0.1:40003"), std::string::npos);
    EXPECT_NE(gaps.find("g1 left out 12 lines"), std::string::npos);
}

// Guards against text output that lacks the outcome, its cause or the host's view.
TEST(ExplainCommand, printsCauseAsText)
{
    const auto text = runCommand("explain refused1 " + bothLogs + " 2>/dev/null").output;
    EXPECT_NE(text.find("outcome: search notStarted\ncause: refused before anything was sent"), std::string::npos);
    EXPECT_NE(text.find("believed by g1: had contact with the platform (for "), std::string::npos);
}

// Guards against logs of killed processes that cannot be read because their last line is truncated, and against skipping lines
// without reporting it.
TEST(ExplainCommand, countsLinesWithoutLogEntry)
{
    const auto outcome = runCommand("explain partial1 " + bothLogs + " 2>&1");
    EXPECT_EQ(outcome.exitCode, 0);
    EXPECT_NE(outcome.output.find("4 lines contain no log entry"), std::string::npos);
}

// Guards against an unknown request, a missing file or a missing argument that is reported as success.
TEST(ExplainCommand, reportsInvalidInput)
{
    const auto unknownRequest = runCommand("explain nobody " + bothLogs + " 2>&1");
    EXPECT_EQ(unknownRequest.exitCode, 1);
    EXPECT_NE(unknownRequest.output.find("no line names request nobody"), std::string::npos);
    const auto missingFile = runCommand("explain partial1 " + logFolder + "/absent.log 2>&1");
    EXPECT_EQ(missingFile.exitCode, 1);
    EXPECT_NE(missingFile.output.find("absent.log"), std::string::npos);
    EXPECT_EQ(runCommand("explain partial1 2>&1").exitCode, 2);
}

// Guards against a timeline that lacks the state changes of a host, or that includes lines about requests.
TEST(TimelineCommand, showsStateChangesOfHosts)
{
    const auto outcome = runCommand("timeline --json --log " + bothLogs + " 2>/dev/null");
    ASSERT_EQ(outcome.exitCode, 0);
    const auto events = json::parse(outcome.output);
    std::vector<std::string> kinds;
    for (const auto &event : events) {
        kinds.push_back(event.at("host").get<std::string>() + ' ' + event.at("kind").get<std::string>());
    }
    EXPECT_EQ(std::count(kinds.begin(), kinds.end(), "g2 platform.contactLost"), 1);
    EXPECT_TRUE(
        std::none_of(kinds.begin(), kinds.end(), [](const std::string &kind) { return kind.find("search.") != std::string::npos; }));
}

// Guards against lines of other requests in the timeline of one request, and against a wrong order across hosts.
TEST(TimelineCommand, filtersByRequest)
{
    const auto events = json::parse(runCommand("timeline --json --request relayed1 --log " + bothLogs + " 2>/dev/null").output);
    ASSERT_EQ(events.size(), 2U);
    EXPECT_EQ(events[0].at("kind"), "relay.partial");
    EXPECT_EQ(events[1].at("kind"), "search.partial");
}

// Guards against timelines with thousands of entries, of which drawings are unreadable, when the platform publishes many backend
// servers at once.
TEST(TimelineCommand, mergesEventsOfOneKind)
{
    const auto path = std::filesystem::temp_directory_path() / ("orioledrum-timeline-" + std::to_string(getpid()) + ".log");
    {
        std::ofstream stream(path);
        for (int i = 0; i < 500; ++i) {
            stream << R"({"at":"2026-12-04T16:00:00.)" << 100 + i
                   << R"(Z","host":"g1","part":"platform","event":"backendServer","server":"b)" << i << "\"}\n";
        }
    }
    const auto events = json::parse(runCommand("timeline --json --log " + path.string()).output);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].at("detail"), "500 events within 1 s");
    std::filesystem::remove(path);
}
