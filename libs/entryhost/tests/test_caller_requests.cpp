#include "caller_requests.h"

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

// Guards against losing or mixing up the service, deadline, required coverage, limit and priority of a search request, and against a
// wrong default customer.
TEST(CallerRequests, SearchMembersAndDefaultCustomerAreRead)
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

// An invalid search must be rejected with an error that says what is invalid, for example the key.
TEST(CallerRequests, ErrorSaysWhatIsInvalidInSearch)
{
    struct invalid_case {
        const char *body;
        error_code code;
        const char *expectedText;
    };
    for (const auto &invalid :
         {invalid_case{"{", error_code::malformed, "JSON"},
          invalid_case{"[]", error_code::malformed, "array"},
          invalid_case{R"({"query":"x"})", error_code::invalidArgument, "service"},
          invalid_case{R"({"service":"s"})", error_code::invalidArgument, "query"},
          invalid_case{R"({"service":1,"query":"x"})", error_code::invalidArgument, "service"},
          invalid_case{R"({"service":"s","query":"x","extra":1})", error_code::invalidArgument, "extra"},
          invalid_case{R"({"service":"s","query":"x","minCoverage":1.5})", error_code::invalidArgument, "minCoverage"},
          invalid_case{R"({"service":"s","query":"x","limit":"ten"})", error_code::invalidArgument, "limit"},
          invalid_case{R"({"service":"s","query":"x","deadlineMs":0})", error_code::deadlineExceeded, "deadlineMs"},
          invalid_case{R"({"service":"s","query":"x","deadlineMs":-5})", error_code::deadlineExceeded, "deadlineMs"},
          invalid_case{R"({"service":"s","query":"x","deadlineMs":999999})", error_code::invalidArgument, "deadlineMs"}}) {
        const auto search = parseSearch(invalid.body);
        ASSERT_FALSE(search.has_value()) << invalid.body;
        EXPECT_EQ(search.error().code, invalid.code) << invalid.body;
        EXPECT_NE(search.error().message.find(invalid.expectedText), std::string::npos) << search.error().message;
    }
}

// Orders whose JSON differs only in white space or key sequence must count as equal; otherwise a repeated submission would be refused
// as a conflict. A body without "order" must be rejected.
TEST(CallerRequests, OrderTextIgnoresKeySequenceAndWhiteSpace)
{
    const auto left = parseOrder(R"({"service":"o","order":{"b":1,"a":2}})");
    const auto right = parseOrder(R"({ "order": {"a":2, "b":1}, "service":"o"})");
    ASSERT_TRUE(left.has_value() && right.has_value());
    EXPECT_EQ(left->order, right->order);
    EXPECT_FALSE(parseOrder(R"({"service":"o"})").has_value());
}
