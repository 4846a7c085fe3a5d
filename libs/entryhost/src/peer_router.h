#pragma once

#include <transport/peer_handler.h>

namespace orioledrum
{

class control_plane;
struct host_shared;

/// Passes the requests of other entry hosts to the thread that handles them: searches and orders to workers, everything else to the
/// control thread.
class peer_router : public peer_handler
{
public:
    explicit peer_router(host_shared &shared);

    /// Sets the receiver of control messages. Must be called before the first request arrives.
    void setControlPlane(control_plane &control) { m_control = &control; }

    void onRequest(peer_request request, std::shared_ptr<peer_reply> reply) override;

private:
    /// Passes each call of a search to the worker of its group and streams the answers back.
    void search(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void cancel(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    /// Submits an order whose ticket this host issued; an order with the ticket of another host is refused.
    void submitOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    /// Passes an attempt of an order to the worker of its backend server's group; the attempt is refused unless this host holds
    /// the group's lease or a fixed share.
    void runOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void forwardToControlPlane(peer_request request, std::shared_ptr<peer_reply> reply);

    host_shared &m_shared;
    control_plane *m_control = nullptr;
};

} // namespace orioledrum
