#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace orioledrum
{

constexpr std::size_t frameHeaderBytes = 4; ///< Length field before the content of a reply frame.

/// Appends a reply frame: the length as 4 bytes, big endian, then the content.
void appendFrame(std::string &target, std::string_view frame);

/// Incremental parser that splits the byte stream of a reply into frames.
class frame_parser
{
public:
    /// @param maxFrameBytes Maximum content size of a frame.
    explicit frame_parser(std::size_t maxFrameBytes);

    /// @param bytes The next bytes of the stream; they may begin and end within a frame.
    /// @param deliver Called for each complete frame; the view is valid only during the call. Returns false to stop.
    /// @return False when a frame is too large or deliver() returned false; consume() must not be called after that.
    bool consume(std::string_view bytes, const std::function<bool(std::string_view)> &deliver);

    /// @return True when the consumed bytes end at a frame boundary.
    [[nodiscard]] bool atFrameEnd() const { return m_partialFrame.empty(); }

private:
    std::size_t m_maxFrameBytes;
    std::string m_partialFrame; ///< Header and content received so far of an incomplete frame.
};

} // namespace orioledrum
