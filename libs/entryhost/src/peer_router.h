#pragma once

#include <transport/peer_handler.h>

namespace orioledrum
{

class control_plane;
struct host_shared;

/// Hands the requests of other entry hosts to the thread that they belong to.
class peer_router : public peer_handler
{
public:
    explicit peer_router(host_shared &shared);

    /// Sets the receiver of control messages; called before the first request is served.
    void setControlPlane(control_plane &control) { m_control = &control; }

    void onRequest(peer_request request, std::shared_ptr<peer_reply> reply) override;

private:
    void search(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void cancel(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void submitOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void runOrder(const peer_request &request, const std::shared_ptr<peer_reply> &reply);
    void forwardToControlPlane(peer_request request, std::shared_ptr<peer_reply> reply);

    host_shared &m_shared;
    control_plane *m_control = nullptr;
};

} // namespace orioledrum
