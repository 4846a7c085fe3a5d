#include <frame_parser.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

std::size_t frameLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        length = length << 8U | static_cast<unsigned char>(header[i]);
    }
    return length;
}

} // namespace

void appendFrame(std::string &target, std::string_view frame)
{
    const auto length = static_cast<std::uint32_t>(frame.size());
    target.reserve(target.size() + frameHeaderBytes + frame.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        target += static_cast<char>(length >> shift & 0xffU);
    }
    target += frame;
}

frame_parser::frame_parser(std::size_t maxFrameBytes)
    : m_maxFrameBytes(maxFrameBytes)
{
}

bool frame_parser::consume(std::string_view bytes, const std::function<bool(std::string_view)> &deliver)
{
    while (!bytes.empty()) {
        if (m_partialFrame.empty() && bytes.size() >= frameHeaderBytes) {
            // A frame that is complete in `bytes` is delivered without copying.
            const auto length = frameLength(bytes);
            if (length > m_maxFrameBytes) {
                return false;
            }
            if (bytes.size() - frameHeaderBytes >= length) {
                if (!deliver(bytes.substr(frameHeaderBytes, length))) {
                    return false;
                }
                bytes.remove_prefix(frameHeaderBytes + length);
                continue;
            }
            m_partialFrame.reserve(frameHeaderBytes + length);
        }
        if (m_partialFrame.size() < frameHeaderBytes) {
            const auto copied = std::min(frameHeaderBytes - m_partialFrame.size(), bytes.size());
            m_partialFrame += bytes.substr(0, copied);
            bytes.remove_prefix(copied);
            if (m_partialFrame.size() < frameHeaderBytes) {
                return true;
            }
        }
        const auto length = frameLength(m_partialFrame);
        if (length > m_maxFrameBytes) {
            return false;
        }
        const auto copied = std::min(frameHeaderBytes + length - m_partialFrame.size(), bytes.size());
        m_partialFrame += bytes.substr(0, copied);
        bytes.remove_prefix(copied);
        if (m_partialFrame.size() == frameHeaderBytes + length) {
            const std::string frame = std::move(m_partialFrame);
            m_partialFrame.clear();
            if (!deliver(std::string_view(frame).substr(frameHeaderBytes))) {
                return false;
            }
        }
    }
    return true;
}

} // namespace orioledrum
