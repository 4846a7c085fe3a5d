#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace orioledrum
{

constexpr std::size_t frameHeaderBytes = 4;

/// Appends a frame: 4 bytes length, big endian, then the bytes.
void appendFrame(std::string &target, std::string_view frame);

/// Splits the bytes of a reply into frames.
class frame_parser
{
public:
    /// @param maxFrameBytes Largest frame that is accepted.
    explicit frame_parser(std::size_t maxFrameBytes);

    /// @param bytes The next bytes.
    /// @param deliver Called for each complete frame; returns false to stop.
    /// @return False when a frame is too large or deliver() returned false; no further bytes may follow.
    bool consume(std::string_view bytes, const std::function<bool(std::string_view)> &deliver);

    /// @return True when the bytes so far end with a complete frame.
    [[nodiscard]] bool atFrameEnd() const { return m_partial.empty(); }

private:
    std::size_t m_maxFrameBytes;
    std::string m_partial;
};

} // namespace orioledrum
