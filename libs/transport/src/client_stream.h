#pragma once

#include <frame_parser.h>
#include <transport/peer_client.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace orioledrum
{

class client_connection;

/// One request of a peer_client and the progress of its reply.
struct client_stream {
    explicit client_stream(std::size_t maxFrameBytes)
        : frames(maxFrameBytes)
    {
    }

    std::uint64_t handle = 0;
    std::string address;
    std::string path;
    std::string body;
    std::size_t bodySent = 0;
    std::chrono::steady_clock::time_point deadline;
    peer_client::on_frame onFrame;
    peer_client::on_stream_end onEnd;
    frame_parser frames;
    std::map<std::string, std::string, std::less<>> replyFields; ///< Header and trailer fields of the reply, without :status.
    std::weak_ptr<client_connection> connection; ///< Empty until the request is submitted to a connection.
    std::int32_t id = 0; ///< HTTP/2 stream id on that connection.
    bool sendStarted = false; ///< Set before the HEADERS frame is written: the peer may have received the request.
    bool countedAsOpen = false; ///< Included in the number of open streams of its address.
    bool ended = false;
};

} // namespace orioledrum
