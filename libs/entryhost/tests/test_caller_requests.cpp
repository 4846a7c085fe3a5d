#include "caller_requests.h"

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

// Guards against request members that are dropped or given the wrong default.
TEST(CallerRequests, SearchIsReadInFull)
{
    const auto search = parseSearch(R"({"service":"archive","query":"dial","deadlineMs":79,"minCoverage":0.99,"limit":5,"priority":2})");
    ASSERT_TRUE(search.has_value()) << search.error().describe();
    EXPECT_EQ(search->service.str(), "archive");
    EXPECT_EQ(search->deadline, 79ms);
    EXPECT_DOUBLE_EQ(*search->minCoverage, 0.99);
    EXPECT_EQ(search->limit, 5U);
    EXPECT_EQ(search->priority, 2);
    EXPECT_EQ(search->customer.str(), "default");
}

// Guards against bad input that is accepted or reported without the key that is wrong.
TEST(CallerRequests, BadSearchesNameTheProblem)
{
    struct bad_case {
        const char *body;
        error_code code;
        const char *word;
    };
    for (const auto &bad : {bad_case{"{", error_code::malformed, "JSON"},
                            bad_case{"[]", error_code::malformed, "array"},
                            bad_case{R"({"query":"x"})", error_code::invalidArgument, "service"},
                            bad_case{R"({"service":"s"})", error_code::invalidArgument, "query"},
                            bad_case{R"({"service":1,"query":"x"})", error_code::invalidArgument, "service"},
                            bad_case{R"({"service":"s","query":"x","extra":1})", error_code::invalidArgument, "extra"},
                            bad_case{R"({"service":"s","query":"x","minCoverage":1.5})", error_code::invalidArgument, "minCoverage"},
                            bad_case{R"({"service":"s","query":"x","limit":"ten"})", error_code::invalidArgument, "limit"},
                            bad_case{R"({"service":"s","query":"x","deadlineMs":0})", error_code::deadlineExceeded, "deadlineMs"},
                            bad_case{R"({"service":"s","query":"x","deadlineMs":-5})", error_code::deadlineExceeded, "deadlineMs"},
                            bad_case{R"({"service":"s","query":"x","deadlineMs":999999})", error_code::invalidArgument, "deadlineMs"}}) {
        const auto search = parseSearch(bad.body);
        ASSERT_FALSE(search.has_value()) << bad.body;
        EXPECT_EQ(search.error().code, bad.code) << bad.body;
        EXPECT_NE(search.error().message.find(bad.word), std::string::npos) << search.error().message;
    }
}

// Guards against two spellings of one order that are taken for different orders.
TEST(CallerRequests, OrderBodyIsCanonical)
{
    const auto left = parseOrder(R"({"service":"o","order":{"b":1,"a":2}})");
    const auto right = parseOrder(R"({ "order": {"a":2, "b":1}, "service":"o"})");
    ASSERT_TRUE(left.has_value() && right.has_value());
    EXPECT_EQ(left->order, right->order);
    EXPECT_FALSE(parseOrder(R"({"service":"o"})").has_value());
}
