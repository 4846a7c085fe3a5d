#include <wire/change_messages.h>
#include <wire/codec.h>
#include <wire/control_messages.h>
#include <wire/order_messages.h>
#include <wire/relay_messages.h>
#include <wire/search_messages.h>

#include <gtest/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

search_request sampleSearch()
{
    search_request request;
    request.request = request_id("r1");
    request.service = service_id("planning");
    request.snapshot = {41, 2};
    request.remaining = 79ms;
    request.query = "oak";
    request.limit = 10;
    request.calls.push_back({7, backend_id("b1"), shard_id("s1")});
    return request;
}

} // namespace

// Guards against losing the request id, snapshot, remaining time or backend server between encode and decode.
TEST(Codec, SearchRequestRoundTrip)
{
    const auto decoded = decode<search_request>(encode(sampleSearch()));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->request.str(), "r1");
    EXPECT_EQ(decoded->snapshot, (snapshot_ref{41, 2}));
    EXPECT_EQ(decoded->remaining, std::chrono::microseconds(79ms));
    ASSERT_EQ(decoded->calls.size(), 1U);
    EXPECT_EQ(decoded->calls[0].backend.str(), "b1");
}

// Guards against losing the changed or the removed files of a configuration delta.
TEST(Codec, ConfigFilesRoundTrip)
{
    config_files_message message;
    message.revision = 12;
    message.base = 11;
    message.files["90-zone-b-out.json"] = "{}";
    message.removed = {"20-old.json"};
    const auto decoded = decode<config_files_message>(encode(message));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->files, message.files);
    EXPECT_EQ(decoded->removed, message.removed);
}

// Guards against a search that loses its body, or another part of the request, on the way to the gathering host.
TEST(Codec, RelaySearchRoundTrip)
{
    relay_search message;
    message.request = "r1";
    message.method = "POST";
    message.target = "/search/x?y=1";
    message.headerNames = {"Accept"};
    message.headerValues = {"*/*"};
    message.body = std::string("oak\0pine", 8);
    message.shards = {"s1", "s2"};
    message.shardLimits = {{26, 4.5}, {}};
    message.configVersion = 7;
    message.knownServers = {{1, 2}, {3}};
    message.knownColdTimes = {{0, 1500}, {0}};
    const auto decoded = decode<relay_search>(encode(message));
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded->method, message.method);
    EXPECT_EQ(decoded->target, message.target);
    EXPECT_EQ(decoded->headerNames, message.headerNames);
    EXPECT_EQ(decoded->headerValues, message.headerValues);
    EXPECT_EQ(decoded->body, message.body);
    EXPECT_EQ(decoded->shards, message.shards);
    EXPECT_EQ(decoded->configVersion, 7U);
    ASSERT_EQ(decoded->shardLimits.size(), 2U);
    EXPECT_EQ(decoded->shardLimits[0].maxConnections, 26U);
    EXPECT_EQ(decoded->shardLimits[0].maxColdRequestsPerSecond, 4.5);
    EXPECT_FALSE(decoded->shardLimits[1].maxConnections || decoded->shardLimits[1].maxColdRequestsPerSecond);
    EXPECT_EQ(decoded->knownServers, message.knownServers);
    EXPECT_EQ(decoded->knownColdTimes, message.knownColdTimes);
}

// Guards against a default in place of a field that a host with another software version does not send or that this host does not know.
TEST(Codec, RelaySearchWithOtherFieldsIsRejected)
{
    relay_search message;
    message.body = "the body";
    const std::string bytes = encode(message);
    ASSERT_EQ(bytes.substr(0, 2), std::string("\xdc\x00", 2)) << "an array with a count of two bytes";

    std::string withoutBody = bytes;
    const auto at = withoutBody.find(message.body);
    ASSERT_NE(at, std::string::npos);
    withoutBody.erase(at - 1, message.body.size() + 1); // The byte before the text holds its length.
    --withoutBody[2];
    EXPECT_FALSE(decode<relay_search>(withoutBody).has_value());

    std::string withAnotherField = bytes + '\x00';
    ++withAnotherField[2];
    EXPECT_FALSE(decode<relay_search>(withAnotherField).has_value());
}

// Guards against a change of the messages without an era, which hosts of an earlier build send and read: these are their bytes.
TEST(Codec, ChangeMessagesOfAnEarlierBuildAreRead)
{
    const std::string pull("\x92\x05\xce\x00\x03\xd0\x90", 7);
    EXPECT_EQ(encode(change_pull{5, std::chrono::milliseconds(250)}), pull);
    const auto decodedPull = decode<change_pull>(pull);
    ASSERT_TRUE(decodedPull);
    EXPECT_EQ(decodedPull->after, 5U);
    const std::string batch("\x95\x06\xd1\xfe\x0c\x00\x91\xa1p\x90", 10);
    EXPECT_EQ(encode(change_batch{6, std::chrono::microseconds(-500), std::chrono::microseconds(0), {"p"}, {}}), batch);
    const auto decodedBatch = decode<change_batch>(batch);
    ASSERT_TRUE(decodedBatch);
    EXPECT_EQ(decodedBatch->revision, 6U);
    // Neither form is taken for the other.
    EXPECT_FALSE(decode<era_pull>(pull));
    EXPECT_FALSE(decode<era_batch>(batch));
    EXPECT_FALSE(decode<change_pull>(encode(era_pull{3, {5, {}}})));
    EXPECT_FALSE(decode<change_batch>(encode(era_batch{3, {}})));
}

// Guards against a batch that loses its era on the way to another host.
TEST(Codec, ChangeMessagesCarryTheirEra)
{
    const auto pull = decode<era_pull>(encode(era_pull{3, {5, std::chrono::milliseconds(250)}}));
    ASSERT_TRUE(pull);
    EXPECT_EQ(pull->era, 3U);
    EXPECT_EQ(pull->pull.after, 5U);
    EXPECT_EQ(pull->pull.wait, std::chrono::milliseconds(250));
    const auto batch = decode<era_batch>(encode(era_batch{4, {6, std::chrono::microseconds(-500), {}, {"p"}, {"l"}}}));
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->era, 4U);
    EXPECT_EQ(batch->batch.revision, 6U);
    EXPECT_EQ(batch->batch.pages, std::vector<std::string>{"p"});
    EXPECT_EQ(batch->batch.listPages, std::vector<std::string>{"l"});
}

// Guards against a first state that loses its era or its list on the way to the host that starts.
TEST(Codec, StateMessagesRoundTrip)
{
    const auto request = decode<state_request>(encode(state_request{std::chrono::milliseconds(750)}));
    ASSERT_TRUE(request);
    EXPECT_EQ(request->wait, std::chrono::milliseconds(750));
    for (const auto era : {std::optional<std::uint64_t>(), std::optional<std::uint64_t>(0), std::optional<std::uint64_t>(9)}) {
        const auto answer = decode<state_answer>(encode(state_answer{era, {6, {}, {}, {"p"}, {"l1", "l2"}}}));
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->era, era);
        EXPECT_EQ(answer->batch.revision, 6U);
        EXPECT_EQ(answer->batch.listPages, (std::vector<std::string>{"l1", "l2"}));
    }
}

// Guards against accepting a truncated message, and against a crash while decoding it.
TEST(Codec, EveryTruncationIsRejected)
{
    const std::string bytes = encode(sampleSearch());
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto decoded = decode<search_request>(std::string_view(bytes).substr(0, size));
        ASSERT_FALSE(decoded.has_value()) << size;
        EXPECT_EQ(decoded.error().code, error_code::protocolError);
    }
}

// Guards against accepting a message of another type or one with trailing bytes.
TEST(Codec, OtherTypesAndTrailingBytesAreRejected)
{
    EXPECT_FALSE(decode<search_request>(encode(config_pull{3})).has_value());
    EXPECT_FALSE(decode<config_pull>(encode(config_pull{3}) + "x").has_value());
}

// Guards against memory that is allocated for elements that a message announces but does not contain: 4.8 GB for this one. Found by
// libFuzzer.
TEST(Codec, AnnouncedElementsAreNotAllocated)
{
    const auto decoded = decode<config_pull>(std::string("\xdd\x0b\xeb\xc2\x00", 5));
    ASSERT_FALSE(decoded.has_value());
    EXPECT_NE(decoded.error().describe().find("more elements than bytes"), std::string::npos) << decoded.error().describe();
}
