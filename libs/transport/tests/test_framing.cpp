#include <frame_parser.h>
#include <reply_trailers.h>

#include <gtest/gtest.h>

#include <vector>

using namespace orioledrum;

// Guards against frames that are lost or altered when the bytes arrive in chunks that do not match the frames.
TEST(FrameParser, ChunkSizeDoesNotChangeFrames)
{
    const std::vector<std::string> frames{"", "a", std::string(300, 'b'), "", "last"};
    std::string bytes;
    for (const auto &frame : frames) {
        appendFrame(bytes, frame);
    }
    for (std::size_t chunkBytes = 1; chunkBytes <= bytes.size(); ++chunkBytes) {
        frame_parser parser(300);
        std::vector<std::string> delivered;
        for (std::size_t offset = 0; offset < bytes.size(); offset += chunkBytes) {
            ASSERT_TRUE(parser.consume(std::string_view(bytes).substr(offset, chunkBytes), [&](std::string_view frame) {
                delivered.emplace_back(frame);
                return true;
            }));
        }
        EXPECT_EQ(delivered, frames) << chunkBytes;
        EXPECT_TRUE(parser.atFrameEnd());
    }
}

// Guards against a faulty peer that announces a huge frame length and so makes the parser allocate that much memory.
TEST(FrameParser, TooLargeFrameIsRefused)
{
    const auto ignore = [](std::string_view) { return true; };
    EXPECT_FALSE(frame_parser(300).consume(std::string("\0\0\x01\x2d", 4), ignore));
    frame_parser parser(300);
    EXPECT_TRUE(parser.consume(std::string("\0\0\x01", 3), ignore));
    EXPECT_FALSE(parser.atFrameEnd());
    EXPECT_FALSE(parser.consume("\x2d", ignore));
}

// Guards against error texts that are invalid in a header field or changed by the transfer, against error codes that are not
// recognised, and against taking "ok" for an error code.
TEST(ReplyTrailers, ErrorTextsAndCodesAreDecoded)
{
    std::string allBytes;
    for (int i = 0; i < 256; ++i) {
        allBytes += static_cast<char>(i);
    }
    const auto encoded = percentEncode(allBytes);
    EXPECT_EQ(encoded.find_first_not_of("%ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789!\"#$&'()*+,-./:;<=>?@[\\]^_`{|}~"),
              std::string::npos);
    EXPECT_EQ(percentDecode(encoded), allBytes);
    EXPECT_EQ(percentDecode("%4"), "%4");
    EXPECT_EQ(percentDecode("%zz%"), "%zz%");
    EXPECT_EQ(parseErrorCode("notOwner"), error_code::notOwner);
    EXPECT_EQ(parseErrorCode("internal"), error_code::internal);
    EXPECT_FALSE(parseErrorCode("ok").has_value());
}
