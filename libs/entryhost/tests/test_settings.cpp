#include <entryhost/settings.h>

#include <gtest/gtest.h>

using namespace orioledrum;

namespace
{

std::vector<std::string> validArguments()
{
    return {"--id=e0",
            "--zone=a",
            "--caller-address=127.0.0.1:0",
            "--peer-address=127.0.0.1:0",
            "--admin-address=127.0.0.1:0",
            "--config-service=http://127.0.0.1:1",
            "--host-service=http://127.0.0.1:2",
            "--peer=e1,b,127.0.0.1:9",
            "--admin-token=secret"};
}

} // namespace

// Guards against an id, zone or peer address that is stored in the wrong field, and against a wrong default of balancer-delay-ms.
TEST(Settings, ValidSettingsAreStoredInTheirFields)
{
    const auto parsed = parseSettings(validArguments());
    ASSERT_TRUE(parsed.has_value()) << parsed.error().describe();
    EXPECT_EQ(parsed->values.id.str(), "e0");
    EXPECT_EQ(parsed->values.zone.str(), "a");
    ASSERT_EQ(parsed->values.peers.size(), 1U);
    EXPECT_EQ(parsed->values.peers[0].address, "127.0.0.1:9");
    EXPECT_EQ(parsed->values.callerPortCloseDelay, std::chrono::milliseconds(2000));
}

// A missing required key must be reported at start-up and by its name; otherwise the process would fail later.
TEST(Settings, ErrorNamesMissingRequiredKey)
{
    for (const std::size_t missing : {0U, 1U, 2U, 3U, 4U, 5U, 6U, 8U}) {
        auto arguments = validArguments();
        const auto key = arguments[missing].substr(2, arguments[missing].find('=') - 2);
        arguments.erase(arguments.begin() + static_cast<std::ptrdiff_t>(missing));
        const auto parsed = parseSettings(arguments);
        ASSERT_FALSE(parsed.has_value()) << key;
        EXPECT_NE(parsed.error().message.find("'" + key + "'"), std::string::npos) << parsed.error().message;
    }
}

// An invalid address, URL, peer, thread count or log level and an unknown key must be rejected at start-up.
TEST(Settings, InvalidValuesAndUnknownKeysAreRejected)
{
    for (const std::string wrong : {"--caller-address=nowhere",
                                    "--caller-address=127.0.0.1:70000",
                                    "--config-service=ftp://x",
                                    "--peer=e1,b",
                                    "--workers=0",
                                    "--workers=many",
                                    "--log-level=loud",
                                    "--unknown=1"}) {
        auto arguments = validArguments();
        const auto key = wrong.substr(0, wrong.find('=') + 1);
        std::erase_if(arguments, [&key](const std::string &argument) { return argument.starts_with(key); });
        arguments.push_back(wrong);
        const auto parsed = parseSettings(arguments);
        ASSERT_FALSE(parsed.has_value()) << wrong;
        EXPECT_EQ(parsed.error().code, error_code::invalidArgument);
    }
}
