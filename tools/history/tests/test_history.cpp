#include <history/check.h>
#include <history/read_history.h>
#include <history/render.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/wait.h>

namespace orioledrum::history
{
namespace
{

std::vector<std::filesystem::path> fixturePaths()
{
    std::vector<std::filesystem::path> paths;
    for (const auto &entry : std::filesystem::directory_iterator(ORIOLEDRUM_HISTORY_FIXTURES)) {
        paths.push_back(entry.path());
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

recorded_history loadHistory(const std::filesystem::path &path)
{
    recorded_history events;
    std::ifstream input(path);
    const auto readResult = readHistory(input, path.filename().string(), events);
    EXPECT_TRUE(readResult) << readResult.error();
    const auto completed = completeHistory(events);
    EXPECT_TRUE(completed) << completed.error();
    return events;
}

std::string readError(const std::string &text)
{
    recorded_history events;
    std::istringstream input(text);
    auto readResult = readHistory(input, "in", events);
    if (readResult) {
        readResult = completeHistory(events);
    }
    return readResult ? "" : readResult.error();
}

const promise_result &resultOf(const std::vector<promise_result> &results, const std::string &name)
{
    return *std::find_if(results.begin(), results.end(), [&name](const promise_result &result) { return result.name == name; });
}

int exitCodeOf(const std::string &arguments)
{
    const int status = std::system((std::string(ORIOLEDRUM_HISTORY) + " " + arguments + " >/dev/null 2>&1").c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string fixturePath(const std::string &name)
{
    return std::string(ORIOLEDRUM_HISTORY_FIXTURES) + "/" + name + ".jsonl";
}

} // namespace

// Guards against a check that misses a violation, and against one that reports an allowed history that is close to a violation.
// Each promise needs at least one fixture of both kinds.
TEST(History, FixturesHaveTheirExpectedVerdicts)
{
    std::map<std::string, std::pair<int, int>> brokenAndAllowed;
    for (const auto &path : fixturePaths()) {
        SCOPED_TRACE(path.filename().string());
        const auto events = loadHistory(path);
        const auto results = checkHistory(events, {});
        EXPECT_EQ(compareWithExpected(events, results), std::vector<std::string>{}) << renderText(results, 3);
        const std::string name = path.stem().string();
        const std::string promiseName = name.substr(0, name.find('-'));
        const bool broken = name.find("-broken-") != std::string::npos;
        ++(broken ? brokenAndAllowed[promiseName].first : brokenAndAllowed[promiseName].second);
        for (const auto &result : results) {
            const bool violated = result.decision() == verdict::violated;
            EXPECT_EQ(violated, broken && result.name == promiseName) << result.name << "\n" << renderText(results, 3);
            for (const auto &violation : result.violations) {
                EXPECT_FALSE(violation.events.empty());
            }
        }
    }
    for (const auto &result : checkHistory({}, {})) {
        EXPECT_GT(brokenAndAllowed[result.name].first, 0) << result.name;
        EXPECT_GT(brokenAndAllowed[result.name].second, 0) << result.name;
    }
}

// Guards against a promise that counts as held although the history has no events to check it with.
TEST(History, EmptyHistoryIsNotDecidable)
{
    const auto results = checkHistory({}, {});
    ASSERT_EQ(results.size(), 10U);
    for (const auto &result : results) {
        EXPECT_EQ(result.decision(), verdict::notDecidable) << result.name;
        EXPECT_FALSE(result.missingEvidence.empty()) << result.name;
    }
}

// Guards against reporting the promises about zones and leaving backend servers as held although the history ends while new work is
// still allowed.
TEST(History, TooShortHistoryIsNotDecidable)
{
    recorded_history events;
    std::istringstream input(R"({"event":"backendServer","backend":"b1","zone":"b"}
{"event":"zoneOut","zone":"b","atUs":1000000}
{"event":"backendLeaving","backend":"b1","atUs":1000000}
{"event":"search","backend":"b1","instance":"i","request":"r.1","outcome":"answered","state":"warm","concurrent":0,"bears":3,"shard":"s","snapshot":1,"layout":1,"arrivalUs":2000000,"endUs":3000000}
)");
    ASSERT_TRUE(readHistory(input, "in", events));
    ASSERT_TRUE(completeHistory(events));
    const auto results = checkHistory(events, {});
    EXPECT_EQ(resultOf(results, "zoneOut").decision(), verdict::notDecidable);
    EXPECT_EQ(resultOf(results, "leaving").decision(), verdict::notDecidable);
}

// Guards against counting excess calls to a cold backend server as unavoidable when the sender could have known about the cold start. A
// call is unavoidable only if it was sent before a response, an interrupted call or a closed connection could tell the sender about the
// cold start.
TEST(History, ExcessColdCallsAreCountedByWhatTheSenderCouldKnow)
{
    const auto beforeResponse = loadHistory(fixturePath("cold-broken-before-word"));
    const auto afterResponse = loadHistory(fixturePath("cold-broken-after-word"));
    const auto pausedSender = loadHistory(fixturePath("cold-broken-paused-owner"));
    EXPECT_EQ(resultOf(checkHistory(beforeResponse, {}), "cold").counts.at("beforeFirstWord"), 1U);
    EXPECT_EQ(resultOf(checkHistory(afterResponse, {}), "cold").counts.at("afterFirstWord"), 1U);
    EXPECT_EQ(resultOf(checkHistory(pausedSender, {}), "cold").counts.at("afterClosedConnection"), 1U);
    const auto closedIdle = loadHistory(fixturePath("cold-broken-closed-idle"));
    EXPECT_EQ(resultOf(checkHistory(closedIdle, {}), "cold").counts.at("afterClosedConnection"), 1U);
    const auto interruptedCall = loadHistory(fixturePath("cold-broken-after-cut-call"));
    EXPECT_EQ(resultOf(checkHistory(interruptedCall, {}), "cold").counts.at("afterFirstWord"), 1U);
    check_settings lenientSettings;
    lenientSettings.allowColdBeforeFirstResponse = true;
    EXPECT_EQ(resultOf(checkHistory(beforeResponse, lenientSettings), "cold").decision(), verdict::held);
    EXPECT_EQ(resultOf(checkHistory(afterResponse, lenientSettings), "cold").decision(), verdict::violated);
    EXPECT_EQ(resultOf(checkHistory(closedIdle, lenientSettings), "cold").decision(), verdict::violated);
}

// Guards against malformed lines that are skipped, because a skipped line can hide a violation.
TEST(History, MalformedInputIsRejectedWithItsLocation)
{
    const std::string call =
        R"({"event":"search","backend":"b","instance":"i","request":"r.1","outcome":"answered","state":"warm","concurrent":0,"bears":3,"shard":"s","snapshot":1,"layout":1,"arrivalUs":5,"endUs":9})";
    ASSERT_EQ(readError(call + "\n\n"), "");
    const auto callWith = [&call](const std::string &from, const std::string &to) {
        std::string text = call;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<std::string> malformedLines = {
        "{",
        call.substr(0, 50),
        "[]",
        "{}",
        "7",
        callWith("\"search\"", "\"seach\""),
        callWith("\"search\"", "5"),
        callWith("\"arrivalUs\":5,", ""),
        callWith("\"arrivalUs\":5", "\"arrivalUs\":\"5\""),
        callWith("\"arrivalUs\":5", "\"arrivalUs\":10"),
        callWith("\"concurrent\":0", "\"concurrent\":-1"),
        callWith("\"backend\":\"b\"", "\"backend\":\"\""),
        callWith("\"layout\":1", "\"layout\":1.5"),
        R"({"event":"publish","atUs":5})",
        R"({"event":"zoneOut","atUs":5})",
        R"({"event":"zoneOut","zone":"b","atUs":5,"beganUs":6})",
        R"({"event":"zoneOut","zone":"b"})",
        R"({"event":"stopped","host":"e0","atUs":5})",
        R"({"kind":"serch","host":"h","outcome":"answered","status":200})",
        R"({"kind":"search","host":"h","outcome":"answered","status":200,"query":"x"})",
        R"({"kind":"search","host":"h","outcome":"failed","status":0,"query":"x","sentAtUs":9,"endedAtUs":5})",
        R"({"host":"e0","events":[{"sequence":1,"wallTimeUs":5,"kind":"configApplied","detail":"one"}]})",
        R"({"host":"e0","events":[{"sequence":1}]})",
        R"({"host":"e0","events":[{"sequence":1,"wallTimeUs":5,"kind":"peerUp"},{"sequence":1,"wallTimeUs":6,"kind":"peerUp"}]})",
    };
    for (const auto &text : malformedLines) {
        std::string input = call;
        input.append("\n").append(text).append("\n");
        const auto error = readError(input);
        EXPECT_TRUE(error.starts_with("in:2: ")) << text << " gives: " << error;
    }
}

// Guards against exit codes by which a script would mistake a violation, invalid usage or unreadable input for success.
TEST(History, ExitCodesTellResultsFromErrors)
{
    EXPECT_EQ(exitCodeOf(fixturePath("snapshot-allowed-restarted")), 0);
    EXPECT_EQ(exitCodeOf("--json " + fixturePath("snapshot-broken-mixed")), 1);
    EXPECT_EQ(exitCodeOf("--replay " + fixturePath("snapshot-broken-mixed")), 0);
    EXPECT_EQ(exitCodeOf("--replay " + fixturePath("coverage-broken-partial") + " " + fixturePath("coverage-allowed-hedged")), 1);
    EXPECT_EQ(exitCodeOf(""), 2);
    EXPECT_EQ(exitCodeOf("--unknown " + fixturePath("snapshot-allowed-restarted")), 2);
    EXPECT_EQ(exitCodeOf("--no-new-work-s -1 " + fixturePath("snapshot-allowed-restarted")), 2);
    EXPECT_EQ(exitCodeOf("/dev/null/absent"), 3);
    EXPECT_EQ(exitCodeOf("--replay /dev/null"), 3);
}

// Guards against events that count twice because their timeline was fetched several times.
TEST(History, OverlappingTimelinesAreMerged)
{
    const std::string line =
        R"({"host":"e0","incarnation":"1","events":[{"sequence":1,"wallTimeUs":5,"kind":"configApplied","detail":"1"},{"sequence":2,"wallTimeUs":6,"kind":"configApplied","detail":"2"}]})";
    recorded_history events;
    std::istringstream input(line + "\n" + line + "\n");
    ASSERT_TRUE(readHistory(input, "in", events));
    ASSERT_TRUE(completeHistory(events));
    EXPECT_EQ(events.hostEvents.size(), 2U);
    EXPECT_TRUE(resultOf(checkHistory(events, {}), "configuration").violations.empty());
}

} // namespace orioledrum::history
