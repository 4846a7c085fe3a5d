#include "gateway_status.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace orioledrum;

namespace
{

const std::string metrics = "# HELP orioledrum_ready 1 while ready\n"
                            "orioledrum_ready 1\n"
                            "orioledrum_config_version 7\n"
                            "orioledrum_hosts 4\n"
                            "orioledrum_backend_servers 1.2e+02\n"
                            "orioledrum_request_seconds_bucket{route=\"a b\",le=\"+Inf\"} 3\n"
                            "orioledrum_service_calls_total{service=\"s1\",kind=\"first\"} 100\n"
                            "orioledrum_service_calls_total{kind=\"extra\",service=\"s1\"} 20\n"
                            "orioledrum_service_calls_total{kind=\"written\",service=\"s1\"} 125\n"
                            "orioledrum_service_calls_total{kind=\"unaccounted\",service=\"s1\"} 5\n"
                            "orioledrum_service_calls_total{kind=\"first\",service=\"s2\"} 40\n"
                            "orioledrum_service_calls_total{kind=\"notWritten\",service=\"s2\"} 2\n";

} // namespace

// Guards against unaccounted calls that an operator does not see, and against numbers of one service shown for another.
TEST(GatewayStatusTest, namesServicesWithUnaccountedCalls)
{
    const auto status = gateway_status::parse(metrics, "h");
    ASSERT_TRUE(status) << status.error().describe();
    EXPECT_TRUE(status->ready);
    EXPECT_EQ(status->backendServers, 120U);
    EXPECT_EQ(status->totalCalls().first, 140U);
    EXPECT_EQ(status->services.at("s2").notWritten, 2U);
    const auto text = status->text();
    EXPECT_NE(text.find("calls/unaccounted: 5\n"), std::string::npos) << text;
    EXPECT_NE(text.find("unaccounted calls to s1: 5\n"), std::string::npos) << text;
    EXPECT_EQ(text.find("s2"), std::string::npos) << text;
    EXPECT_EQ(nlohmann::json::parse(status->json())["services"]["s1"]["extra"], 20);
}

// Guards against organisations, caps or refusals that an operator does not see, or sees for another organisation.
TEST(GatewayStatusTest, showsOrganisationsAndWhatWasRefused)
{
    const auto status = gateway_status::parse(metrics
                                                  + "orioledrum_organisation_keys{organisation=\"north\"} 2\n"
                                                    "orioledrum_organisation_rate_per_s{organisation=\"north\"} 12.5\n"
                                                    "orioledrum_organisation_burst{organisation=\"north\"} 4\n"
                                                    "orioledrum_organisation_keys{organisation=\"a\\\"b\\\\c\"} 1\n"
                                                    "orioledrum_refused_requests_total{organisation=\"\",reason=\"unknownKey\"} 7\n"
                                                    "orioledrum_refused_requests_total{organisation=\"north\",reason=\"overCap\"} 3\n",
                                              "h");
    ASSERT_TRUE(status) << status.error().describe();
    const auto text = status->text();
    EXPECT_NE(text.find("organisation north: keys 2, 12.5 requests/s, burst 4\n"), std::string::npos) << text;
    EXPECT_NE(text.find("organisation a\"b\\c: keys 1\n"), std::string::npos) << text;
    EXPECT_NE(text.find("refused/unknownKey: 7\n"), std::string::npos) << text;
    EXPECT_NE(text.find("refused/overCap of north: 3\n"), std::string::npos) << text;
    const auto json = nlohmann::json::parse(status->json());
    EXPECT_EQ(json["refused"]["unknownKey"], 7);
    EXPECT_EQ(json["organisations"]["north"]["refused"]["overCap"], 3);
    EXPECT_EQ(json["organisations"]["a\"b\\c"]["keys"], 1);
}

// Guards against a status made of zeros when the address is not one of gatewayd, or its numbers cannot be read.
TEST(GatewayStatusTest, rejectsOtherTexts)
{
    EXPECT_FALSE(gateway_status::parse("", "h"));
    EXPECT_FALSE(gateway_status::parse("{\"ready\":true}", "h"));
    for (const char *odd : {"orioledrum_hosts x\n",
                            "orioledrum_hosts -1\n",
                            "orioledrum_hosts nan\n",
                            "orioledrum_hosts 1e300\n",
                            "orioledrum_service_calls_total{kind=\"other\",service=\"s\"} 1\n",
                            "orioledrum_service_calls_total{kind=\"first\",service=\"s\"} many\n",
                            "orioledrum_organisation_keys{organisation=\"s\"} many\n",
                            "orioledrum_organisation_other{organisation=\"s\"} 1\n",
                            "orioledrum_refused_requests_total{organisation=\"s\",reason=\"overCap\"} -1\n"}) {
        EXPECT_FALSE(gateway_status::parse(metrics + odd, "h")) << odd;
    }
}
