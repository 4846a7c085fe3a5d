#include "platform_messages.h"

#include <gtest/gtest.h>

using namespace orioledrum;

// Guards against a wrong revision, kind or state of a host in the host list.
TEST(PlatformMessages, RevisionKindAndStateOfHostListAreParsed)
{
    const auto list =
        parseHostList(R"({"revision":7,"hosts":[{"id":"e0","kind":"entryHost","zone":"a","address":"127.0.0.1:1","state":"live"},)"
                      R"({"id":"b0","kind":"backendServer","zone":"b","address":"127.0.0.1:2","state":"leaving"}]})",
                      "p");
    ASSERT_TRUE(list.has_value());
    EXPECT_EQ(list->revision, 7U);
    ASSERT_EQ(list->hosts.size(), 2U);
    EXPECT_EQ(list->hosts[0].kind, host_kind::entryHost);
    EXPECT_FALSE(list->hosts[0].leaving);
    EXPECT_EQ(list->hosts[1].kind, host_kind::backendServer);
    EXPECT_TRUE(list->hosts[1].leaving);
}

// An answer with a malformed or missing member must be rejected as a whole, so that no part of a host list or configuration is applied.
// The error for a host list must name the service.
TEST(PlatformMessages, MalformedAnswersAreRejectedAsAWhole)
{
    for (const char *body : {"",
                             "{",
                             R"({"hosts":[]})",
                             R"({"revision":-1,"hosts":3})",
                             R"({"revision":1,"hosts":[{"id":"e0","kind":"printer","zone":"a","address":"x","state":"live"}]})",
                             R"({"revision":1,"hosts":[{"id":"e0","kind":"entryHost","zone":"a","address":"x","state":"asleep"}]})",
                             R"({"revision":1,"hosts":[{"id":"e0","kind":"entryHost","zone":"a","state":"live"}]})"}) {
        const auto list = parseHostList(body, "service-1");
        ASSERT_FALSE(list.has_value()) << body;
        EXPECT_EQ(list.error().code, error_code::protocolError);
        EXPECT_EQ(list.error().peer, "service-1");
    }
    EXPECT_FALSE(parseConfigAnswer(R"({"revision":1,"files":{"a.json":5}})", "p").has_value());
    EXPECT_FALSE(parseConfigAnswer(R"({"files":{}})", "p").has_value());
    const auto config = parseConfigAnswer(R"({"revision":3,"files":{"a.json":"{}"}})", "p");
    ASSERT_TRUE(config.has_value());
    EXPECT_EQ(config->files.at("a.json"), "{}");
}
