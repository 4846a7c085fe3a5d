#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <base/monotonic_clock.h>

#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace orioledrum
{

struct host_shared;

/// Membership, leases and configuration of this host on one thread, and the publishing of what the request path reads.
class control_plane
{
public:
    /// @param shared State of the process; must outlive the control plane. Sets host_shared::leases.
    static expected<std::unique_ptr<control_plane>> create(host_shared &shared);
    ~control_plane();
    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;

    /// Starts the thread. The workers exist by then.
    void start();
    /// Ends the thread.
    void stop();

    /// @return The context that the functions below have to be called on.
    [[nodiscard]] asio::io_context &context();

    /// Handles a control message of a peer.
    /// @param path Below "/peer/", for example "digest".
    /// @param body The encoded message.
    /// @return The encoded answer, empty for a message without an answer.
    expected<std::string> handleMessage(const std::string &path, const std::string &body);

    /// Gives the leases back and announces the departure.
    /// @param done Called when nothing is held any more.
    void leave(std::function<void()> done);

    /// @return JSON for the status page.
    [[nodiscard]] std::string statusJson() const;

private:
    struct impl;
    explicit control_plane(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
