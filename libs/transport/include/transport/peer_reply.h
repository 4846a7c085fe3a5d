#pragma once

#include <base/error.h>

#include <functional>
#include <string>

namespace orioledrum
{

/// The open end of one request at a peer_server: a stream of frames, then an end. All functions may be called on
/// any thread, as long as the server's io_context exists. A reply that is destroyed before its end fails with the code `internal`.
class peer_reply
{
public:
    virtual ~peer_reply() = default;

    /// Sends one frame. Frames arrive in order, each whole.
    /// @param frame Its bytes; may be empty.
    /// @return tooLarge when the frame exceeds the limit, overloaded when the client reads too slowly and too much
    /// waits to be sent, cancelled when the client has reset the stream, the connection is gone or the reply has ended.
    /// In each case nothing of the frame is sent.
    virtual expected<void> sendFrame(std::string frame) = 0;

    /// Ends the reply successfully after the frames sent so far. No effect after an end.
    virtual void finish() = 0;

    /// Ends the reply with an error after the frames sent so far. No effect after an end.
    /// @param failure The error that the client gets.
    virtual void fail(const error &failure) = 0;

    /// @return True when the client has reset the stream or the connection is gone before the reply was sent.
    [[nodiscard]] virtual bool cancelled() const = 0;

    /// Sets a function that is called once on the server's thread when the reply becomes cancelled, or soon if it
    /// already is. It is dropped when the reply ends.
    /// @param notify The function.
    virtual void onCancel(std::function<void()> notify) = 0;
};

} // namespace orioledrum
