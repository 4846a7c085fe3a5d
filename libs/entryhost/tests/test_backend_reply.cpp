#include "backend_reply.h"

#include <gtest/gtest.h>

using namespace orioledrum;

namespace
{

http_reply replyWith(http_headers headers)
{
    http_reply reply;
    reply.status = 200;
    reply.headers = std::move(headers);
    return reply;
}

http_headers validReportHeaders()
{
    return {{"X-State", "cold"}, {"X-Instance", "i1"}, {"X-Load", "1/3"}, {"X-Snapshots", "41:2,42:2"}};
}

} // namespace

// Guards against a header that is not parsed or is stored in the wrong field.
TEST(BackendReply, AllReportHeadersAreParsed)
{
    const auto report = parseReport(replyWith(validReportHeaders()));
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->state, backend_state::cold);
    EXPECT_EQ(report->instance, "i1");
    EXPECT_EQ(report->slotsInUse, 1U);
    EXPECT_EQ(report->slots, 3U);
    EXPECT_EQ(report->heldSnapshots, (std::vector<snapshot_ref>{{41, 2}, {42, 2}}));
}

// A report with one malformed header must be rejected as a whole; a partly parsed report could make a cold backend server look warm.
TEST(BackendReply, MalformedReportsAreRejected)
{
    for (const auto &[name, value] : std::vector<std::pair<std::string, std::string>>{{"X-State", "hot"},
                                                                                      {"X-Instance", ""},
                                                                                      {"X-Load", "1"},
                                                                                      {"X-Load", "a/3"},
                                                                                      {"X-Load", "-1/3"},
                                                                                      {"X-Snapshots", "41"},
                                                                                      {"X-Snapshots", "41:x"}}) {
        auto headers = validReportHeaders();
        for (auto &header : headers) {
            if (header.name == name) {
                header.value = value;
            }
        }
        EXPECT_FALSE(parseReport(replyWith(headers)).has_value()) << name << "=" << value;
    }
}

// A reply to another request or for another shard must not reach a caller.
TEST(BackendReply, RepliesToOtherRequestsOrShardsAreRejected)
{
    const std::string body = R"({"requestId":"r.1","shard":"s1","snapshot":41,"layout":2,"hits":[{"id":"a","score":0.5,"text":"t"}]})";
    http_reply reply;
    reply.status = 200;
    reply.body = body;
    shard_answer matching;
    parseSearchReply(reply, "r.1", shard_id("s1"), matching);
    EXPECT_EQ(matching.status, shard_status::answered);
    ASSERT_EQ(matching.hits.size(), 1U);
    for (const auto &[request, shard] : std::vector<std::pair<std::string, std::string>>{{"r.2", "s1"}, {"r.1", "s2"}}) {
        shard_answer mismatched;
        parseSearchReply(reply, request, shard_id(shard), mismatched);
        EXPECT_EQ(mismatched.status, shard_status::failed);
        EXPECT_TRUE(mismatched.hits.empty());
    }
}

// A reply truncated at any byte must count as failed, and a reply marked as partial must not count as a full answer.
TEST(BackendReply, TruncatedRepliesFailAndPartialRepliesArePartial)
{
    const std::string body =
        R"({"requestId":"r.1","shard":"s1","snapshot":41,"layout":2,"partial":true,"hits":[{"id":"a","score":1,"text":"t"}]})";
    for (std::size_t size = 0; size <= body.size(); ++size) {
        http_reply reply;
        reply.status = 200;
        reply.body = body.substr(0, size);
        shard_answer answer;
        parseSearchReply(reply, "r.1", shard_id("s1"), answer);
        EXPECT_EQ(answer.status, size == body.size() ? shard_status::partial : shard_status::failed) << size;
    }
}
