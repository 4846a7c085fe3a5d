#include "tests/fakes/fake_admin_host.h"
#include "tests/fakes/run_command.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

using namespace orioledrum;
using nlohmann::json;

namespace
{

const std::string exampleConfig = ORIOLEDRUM_EXAMPLE_CONFIG;

class OrioledrumctlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "orioledrumctl-XXXXXX").string();
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        m_folder = pattern;
        std::filesystem::copy(exampleConfig, m_folder / "config");
    }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    [[nodiscard]] std::string folder() const { return (m_folder / "config").string(); }
    void write(const std::string &name, const std::string &text) const { std::ofstream(m_folder / "config" / name) << text; }

    std::filesystem::path m_folder;
};

std::string eventJson(int sequence, std::int64_t time, const std::string &kind, const std::string &request)
{
    return json{{"sequence", sequence}, {"wallTimeUs", time}, {"kind", kind}, {"request", request}, {"peer", "p<1>"}, {"detail", ""}}
        .dump();
}

const std::string northEvents = "[" + eventJson(1, 1000000, "searchStarted", "r1") + "," + eventJson(2, 1000300, "attemptSent", "r1") + ","
    + eventJson(3, 1000900, "searchFinished", "r1") + "]";
const std::string southEvents = "[" + eventJson(1, 1000500, "attemptSent", "r1") + "," + eventJson(2, 1000600, "leaseLost", "") + "]";

} // namespace

// Guards against rejecting a valid folder and against JSON output that scripts cannot parse.
TEST_F(OrioledrumctlTest, CheckAcceptsValidFolder)
{
    EXPECT_EQ(runCommand("check " + folder()).exitCode, 0);
    const auto outcome = runCommand("check --json " + folder());
    EXPECT_EQ(outcome.exitCode, 0);
    const auto value = json::parse(outcome.output);
    EXPECT_EQ(value["ok"], true);
    EXPECT_EQ(value["services"], 2);
}

// Guards against accepting an invalid folder, and against problems printed without their file and key path.
TEST_F(OrioledrumctlTest, CheckReportsEveryProblem)
{
    write("90.json", R"({"availabilityZones": {"nroth": {"state": "out"}}, "customers": {"cabs": {"weight": "x"}}})");
    const auto text = runCommand("check " + folder());
    EXPECT_EQ(text.exitCode, 1);
    EXPECT_NE(text.output.find("90.json: customers/cabs/weight: found \"x\", allowed: a number"), std::string::npos) << text.output;
    EXPECT_NE(text.output.find("90.json: availabilityZones/nroth"), std::string::npos) << text.output;
    const auto outcome = runCommand("check --json " + folder());
    EXPECT_EQ(outcome.exitCode, 1);
    EXPECT_EQ(json::parse(outcome.output)["problems"].size(), 2U);
    write("90.json", "{");
    EXPECT_EQ(runCommand("check " + folder()).exitCode, 1);
    EXPECT_EQ(runCommand("merged " + folder()).exitCode, 1);
    EXPECT_EQ(runCommand("diff " + folder() + " " + exampleConfig).exitCode, 1);
}

// Guards against accepting a missing or empty folder.
TEST_F(OrioledrumctlTest, CheckRejectsMissingAndEmptyFolders)
{
    EXPECT_EQ(runCommand("check " + folder() + "/missing 2>/dev/null").exitCode, 1);
    std::filesystem::create_directory(m_folder / "empty");
    const auto outcome = runCommand("check " + (m_folder / "empty").string() + " 2>&1");
    EXPECT_EQ(outcome.exitCode, 1);
    EXPECT_NE(outcome.output.find("no file"), std::string::npos) << outcome.output;
}

// Guards against values attributed to the wrong file and against missed differences.
TEST_F(OrioledrumctlTest, MergedAndDiffNameTheFiles)
{
    write("90-north-out.json", R"({"availabilityZones": {"north": {"state": "out"}}})");
    const auto merged = runCommand("merged " + folder());
    EXPECT_EQ(merged.exitCode, 0);
    EXPECT_NE(merged.output.find("availabilityZones/north/state = \"out\"  (90-north-out.json)\n"), std::string::npos);
    EXPECT_EQ(json::parse(runCommand("merged --json " + folder()).output)["customers/cabs/weight"]["file"], "40-customers.json");
    const auto diff = runCommand("diff " + exampleConfig + " " + folder());
    EXPECT_EQ(diff.exitCode, 0);
    EXPECT_EQ(diff.output, "~ availabilityZones/north/state = \"in\"  (10-zones.json) -> \"out\"  (90-north-out.json)\n");
    const auto value = json::parse(runCommand("diff --json " + folder() + " " + exampleConfig).output);
    EXPECT_EQ(value["removedFiles"], json::array({"90-north-out.json"}));
    EXPECT_EQ(value["changed"].size(), 1U);
}

// Guards against usage errors that scripts cannot tell from results, and against --help that fails or prints no usage.
TEST_F(OrioledrumctlTest, UsageErrorsHaveASeparateExitCode)
{
    for (const std::string arguments : {"",
                                        "chek x",
                                        "check",
                                        "check a b",
                                        "diff a",
                                        "check --no-such-option a",
                                        "status --token x",
                                        "status --token x --host localhost:1",
                                        "status --token x --host 127.0.0.1:0",
                                        "status --token x --host 127.0.0.1:1 --host 127.0.0.1:2",
                                        "status --token 'a b' --host 127.0.0.1:1",
                                        "status --token-file /nonexistent --host 127.0.0.1:1",
                                        "timeline --token x"}) {
        EXPECT_EQ(runCommand(arguments + " 2>/dev/null").exitCode, 2) << arguments;
    }
    for (const std::string arguments : {"--help", "check --help", "merged --help", "diff --help", "status --help", "timeline --help"}) {
        const auto outcome = runCommand(arguments);
        EXPECT_EQ(outcome.exitCode, 0) << arguments;
        EXPECT_NE(outcome.output.find("Usage: orioledrumctl"), std::string::npos) << arguments;
    }
}

// Guards against a status command that needs the token on the command line, and against the same exit code for a rejected token and
// an unreachable host.
TEST_F(OrioledrumctlTest, StatusPrintsHostStatus)
{
    std::string address;
    {
        const fake_admin_host host("north-1", "[]", 10);
        address = host.address();
        const auto text = runCommand("status --token secret --host " + address);
        EXPECT_EQ(text.exitCode, 0);
        EXPECT_NE(text.output.find("config/revision: 7\n"), std::string::npos) << text.output;
        std::ofstream(m_folder / "token") << "secret\n";
        const auto outcome = runCommand("status --json --token-file " + (m_folder / "token").string() + " --host " + address);
        EXPECT_EQ(outcome.exitCode, 0);
        EXPECT_EQ(json::parse(outcome.output)["host"], "north-1");
        EXPECT_EQ(runCommand("status --token wrong --host " + address + " 2>/dev/null").exitCode, 1);
    }
    EXPECT_EQ(runCommand("status --token secret --host " + address + " 2>/dev/null").exitCode, 3);
}

// Guards against events lost between pages, sorted wrongly across hosts, or not filtered by request.
TEST_F(OrioledrumctlTest, TimelineMergesAndSortsHosts)
{
    const fake_admin_host north("north-1", northEvents, 2);
    const fake_admin_host south("south-1", southEvents, 10);
    const auto hosts = "timeline --token secret --host " + north.address() + " --host " + south.address();
    const auto outcome = runCommand(hosts + " --json");
    EXPECT_EQ(outcome.exitCode, 0);
    std::string eventOrder;
    for (const auto &event : json::parse(outcome.output)) {
        eventOrder += event["host"].get<std::string>()[0] + std::to_string(event["sequence"].get<int>()) + " ";
    }
    EXPECT_EQ(eventOrder, "n1 n2 s1 s2 n3 ");
    const auto text = runCommand(hosts + " --request r1");
    EXPECT_EQ(std::count(text.output.begin(), text.output.end(), '\n'), 4);
    EXPECT_EQ(text.output.substr(0, text.output.find('\n')), "1970-01-01T00:00:01.000000Z  north-1  searchStarted  request=r1  peer=p<1>");
}

// Guards against an SVG file that is not well-formed or lacks events, and against ignoring that the file cannot be written.
TEST_F(OrioledrumctlTest, TimelineWritesSvg)
{
    const fake_admin_host north("north-1", northEvents, 10);
    const auto path = (m_folder / "timeline.svg").string();
    const auto command = "timeline --token secret --host " + north.address() + " --svg ";
    EXPECT_EQ(runCommand(command + path).exitCode, 0);
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    const auto svg = text.str();
    std::size_t circles = 0;
    for (auto position = svg.find("<circle"); position != std::string::npos; position = svg.find("<circle", position + 1)) {
        ++circles;
    }
    EXPECT_EQ(circles, 3U);
    EXPECT_NE(svg.find("p&lt;1&gt;"), std::string::npos);
    EXPECT_EQ(svg.find("p<1>"), std::string::npos);
    EXPECT_NE(svg.find("searchFinished"), std::string::npos);
    EXPECT_EQ(runCommand(command + "/nonexistent/x.svg 2>/dev/null").exitCode, 1);
}

// Guards against one unreachable host that hides the events of the others or leaves the exit code at 0.
TEST_F(OrioledrumctlTest, TimelineContinuesWithoutUnreachableHost)
{
    std::string unreachableHost;
    {
        const fake_admin_host host("x", "[]", 1);
        unreachableHost = host.address();
    }
    const fake_admin_host north("north-1", northEvents, 10);
    const auto outcome =
        runCommand("timeline --json --token secret --host " + unreachableHost + " --host " + north.address() + " 2>/dev/null");
    EXPECT_EQ(outcome.exitCode, 3);
    EXPECT_EQ(json::parse(outcome.output).size(), 3U);
}
