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

std::vector<std::filesystem::path> fixtures()
{
    std::vector<std::filesystem::path> found;
    for (const auto &entry : std::filesystem::directory_iterator(ORIOLEDRUM_HISTORY_FIXTURES)) {
        found.push_back(entry.path());
    }
    std::sort(found.begin(), found.end());
    return found;
}

recorded_history load(const std::filesystem::path &path)
{
    recorded_history events;
    std::ifstream input(path);
    const auto read = readHistory(input, path.filename().string(), events);
    EXPECT_TRUE(read) << read.error();
    const auto complete = completeHistory(events);
    EXPECT_TRUE(complete) << complete.error();
    return events;
}

std::string readError(const std::string &text)
{
    recorded_history events;
    std::istringstream input(text);
    auto read = readHistory(input, "in", events);
    if (read) {
        read = completeHistory(events);
    }
    return read ? "" : read.error();
}

const promise_result &named(const std::vector<promise_result> &results, const std::string &name)
{
    return *std::find_if(results.begin(), results.end(), [&name](const promise_result &one) { return one.name == name; });
}

int exitCodeOf(const std::string &arguments)
{
    const int status = std::system((std::string(ORIOLEDRUM_HISTORY) + " " + arguments + " >/dev/null 2>&1").c_str());
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string fixture(const std::string &name)
{
    return std::string(ORIOLEDRUM_HISTORY_FIXTURES) + "/" + name + ".jsonl";
}

} // namespace

// Guards against a check that accepts a broken promise, and against one that rejects a history close to it.
TEST(History, FixturesAreDecidedAsStated)
{
    std::map<std::string, std::pair<int, int>> brokenAndAllowed;
    for (const auto &path : fixtures()) {
        SCOPED_TRACE(path.filename().string());
        const auto events = load(path);
        const auto results = checkHistory(events, {});
        EXPECT_EQ(compareWithExpected(events, results), std::vector<std::string>{}) << renderText(results, 3);
        const std::string name = path.stem().string();
        const std::string promise = name.substr(0, name.find('-'));
        const bool broken = name.find("-broken-") != std::string::npos;
        ++(broken ? brokenAndAllowed[promise].first : brokenAndAllowed[promise].second);
        for (const auto &result : results) {
            const bool violated = result.decision() == verdict::violated;
            EXPECT_EQ(violated, broken && result.name == promise) << result.name << "\n" << renderText(results, 3);
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

// Guards against a promise that counts as held because nothing was recorded.
TEST(History, NothingIsDecidedFromNothing)
{
    const auto results = checkHistory({}, {});
    ASSERT_EQ(results.size(), 10U);
    for (const auto &result : results) {
        EXPECT_EQ(result.decision(), verdict::notDecidable) << result.name;
        EXPECT_FALSE(result.missingEvidence.empty()) << result.name;
    }
}

// Guards against a zone that counts as empty although the recording ends before the time allowed.
TEST(History, TooShortHistoryIsNotDecided)
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
    EXPECT_EQ(named(results, "zoneOut").decision(), verdict::notDecidable);
    EXPECT_EQ(named(results, "leaving").decision(), verdict::notDecidable);
}

// Guards against a cold turn whose unavoidable calls are mixed with those that the owner could have held back.
TEST(History, ColdCallsAreSplitAtTheFirstWord)
{
    const auto before = load(fixture("cold-broken-before-word"));
    const auto after = load(fixture("cold-broken-after-word"));
    const auto paused = load(fixture("cold-broken-paused-owner"));
    EXPECT_EQ(named(checkHistory(before, {}), "cold").counts.at("beforeFirstWord"), 1U);
    EXPECT_EQ(named(checkHistory(after, {}), "cold").counts.at("afterFirstWord"), 1U);
    EXPECT_EQ(named(checkHistory(paused, {}), "cold").counts.at("afterClosedConnection"), 1U);
    const auto idle = load(fixture("cold-broken-closed-idle"));
    EXPECT_EQ(named(checkHistory(idle, {}), "cold").counts.at("afterClosedConnection"), 1U);
    const auto cut = load(fixture("cold-broken-after-cut-call"));
    EXPECT_EQ(named(checkHistory(cut, {}), "cold").counts.at("afterFirstWord"), 1U);
    check_settings tolerant;
    tolerant.allowColdBeforeFirstResponse = true;
    EXPECT_EQ(named(checkHistory(before, tolerant), "cold").decision(), verdict::held);
    EXPECT_EQ(named(checkHistory(after, tolerant), "cold").decision(), verdict::violated);
    EXPECT_EQ(named(checkHistory(idle, tolerant), "cold").decision(), verdict::violated);
}

// Guards against malformed input that is skipped, which would hide a violation.
TEST(History, MalformedInputIsAnErrorWithItsPlace)
{
    const std::string call =
        R"({"event":"search","backend":"b","instance":"i","request":"r.1","outcome":"answered","state":"warm","concurrent":0,"bears":3,"shard":"s","snapshot":1,"layout":1,"arrivalUs":5,"endUs":9})";
    ASSERT_EQ(readError(call + "\n\n"), "");
    const auto changed = [&call](const std::string &from, const std::string &to) {
        std::string text = call;
        return text.replace(text.find(from), from.size(), to);
    };
    const std::vector<std::string> bad = {
        "{",
        call.substr(0, 50),
        "[]",
        "{}",
        "7",
        changed("\"search\"", "\"seach\""),
        changed("\"search\"", "5"),
        changed("\"arrivalUs\":5,", ""),
        changed("\"arrivalUs\":5", "\"arrivalUs\":\"5\""),
        changed("\"arrivalUs\":5", "\"arrivalUs\":10"),
        changed("\"concurrent\":0", "\"concurrent\":-1"),
        changed("\"backend\":\"b\"", "\"backend\":\"\""),
        changed("\"layout\":1", "\"layout\":1.5"),
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
    for (const auto &text : bad) {
        std::string input = call;
        input.append("\n").append(text).append("\n");
        const auto problem = readError(input);
        EXPECT_TRUE(problem.starts_with("in:2: ")) << text << " gives: " << problem;
    }
}

// Guards against scripts that take a violation, a usage error or an unreadable file for a good run.
TEST(History, ExitCodes)
{
    EXPECT_EQ(exitCodeOf(fixture("snapshot-allowed-restarted")), 0);
    EXPECT_EQ(exitCodeOf("--json " + fixture("snapshot-broken-mixed")), 1);
    EXPECT_EQ(exitCodeOf("--replay " + fixture("snapshot-broken-mixed")), 0);
    EXPECT_EQ(exitCodeOf("--replay " + fixture("coverage-broken-partial") + " " + fixture("coverage-allowed-hedged")), 1);
    EXPECT_EQ(exitCodeOf(""), 2);
    EXPECT_EQ(exitCodeOf("--unknown " + fixture("snapshot-allowed-restarted")), 2);
    EXPECT_EQ(exitCodeOf("--no-new-work-s -1 " + fixture("snapshot-allowed-restarted")), 2);
    EXPECT_EQ(exitCodeOf("/dev/null/absent"), 3);
    EXPECT_EQ(exitCodeOf("--replay /dev/null"), 3);
}

// Guards against time lines that count twice because they were fetched several times.
TEST(History, OverlappingTimeLinesAreMerged)
{
    const std::string line =
        R"({"host":"e0","incarnation":"1","events":[{"sequence":1,"wallTimeUs":5,"kind":"configApplied","detail":"1"},{"sequence":2,"wallTimeUs":6,"kind":"configApplied","detail":"2"}]})";
    recorded_history events;
    std::istringstream input(line + "\n" + line + "\n");
    ASSERT_TRUE(readHistory(input, "in", events));
    ASSERT_TRUE(completeHistory(events));
    EXPECT_EQ(events.hostEvents.size(), 2U);
    EXPECT_TRUE(named(checkHistory(events, {}), "configuration").violations.empty());
}

} // namespace orioledrum::history
