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

/// Runs membership, leases and configuration distribution of this host on one control thread, and publishes the lease table and the
/// routing state to the request threads.
class control_plane
{
public:
    /// Creates the control plane without starting its thread, and sets host_shared::leases.
    /// @param shared Must outlive the control plane.
    static expected<std::unique_ptr<control_plane>> create(host_shared &shared);
    ~control_plane();
    control_plane(const control_plane &) = delete;
    control_plane &operator=(const control_plane &) = delete;

    /// Starts the thread. All workers must have been created before.
    void start();
    /// Ends the thread without releasing leases; see leave().
    void stop();

    /// @return I/O context of the control thread. All functions declared below must be called on that thread.
    [[nodiscard]] asio::io_context &context();

    /// Handles a control message from a peer.
    /// @param path Path without the prefix "/peer/", for example "digest".
    /// @param body The encoded message.
    /// @return The encoded answer, empty for a message that needs no answer, or an error for a malformed message or an unknown path.
    expected<std::string> handleMessage(const std::string &path, const std::string &body);

    /// Announces to the peers that this host leaves the fleet of entry hosts, and releases its leases.
    /// @param done Called once all leases have been released.
    void leave(std::function<void()> done);

    /// @return Body of /admin/v1/status.
    [[nodiscard]] std::string statusJson() const;

private:
    struct impl;
    explicit control_plane(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
