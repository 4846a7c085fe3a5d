#pragma once

#include <base/error.h>

#include <functional>
#include <string>

namespace orioledrum
{

/// Reply to one request of a peer_server: a sequence of frames, ended by success or an error. A frame is a byte sequence
/// that the client receives whole; it is independent of the HTTP/2 frames. All functions may be called on any thread, as
/// long as the server's io_context exists. A reply that is destroyed before finish() or fail() fails with the code
/// `internal`.
class peer_reply
{
public:
    virtual ~peer_reply() = default;

    /// Sends one frame. Frames arrive in order and are neither split nor merged.
    /// @param frame Content of the frame; may be empty.
    /// @return tooLarge when the frame exceeds the limit, overloaded when the client reads too slowly and the
    /// send buffer is full, cancelled when the client has reset the stream, the connection is closed or the reply has
    /// ended. On an error no part of the frame is sent.
    virtual expected<void> sendFrame(std::string frame) = 0;

    /// Ends the reply successfully after the frames sent so far. No effect when the reply has already ended.
    virtual void finish() = 0;

    /// Ends the reply with an error after the frames sent so far. No effect when the reply has already ended.
    /// @param failure The error sent to the client.
    virtual void fail(const error &failure) = 0;

    /// @return True when the client reset the stream or the connection was closed before the whole reply was sent.
    [[nodiscard]] virtual bool cancelled() const = 0;

    /// Sets the function that is called once on the server's thread when the reply becomes cancelled. It is called
    /// shortly afterwards if the reply already is cancelled, and discarded when the reply ends.
    /// @param notify Replaces a function that was set before.
    virtual void onCancel(std::function<void()> notify) = 0;
};

} // namespace orioledrum
