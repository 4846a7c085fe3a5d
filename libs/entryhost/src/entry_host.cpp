#include <entryhost/entry_host.h>

#include "admin_api.h"
#include "caller_api.h"
#include "control_plane.h"
#include "host_shared.h"
#include "peer_router.h"
#include "worker.h"

#include <base/random_source.h>
#include <logging/component_logger.h>
#include <orders/ticket_store.h>
#include <transport/http_server.h>
#include <transport/peer_server.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <future>
#include <thread>

namespace orioledrum
{

namespace
{

const component_logger logger("host");

/// Part of the time limit of a planned stop that is reserved for releasing leases and ending peer streams.
constexpr std::chrono::milliseconds handoverReserve{4000};

/// Time for the other entry hosts to learn the new lease holders; they refresh their routes every 250 ms.
constexpr std::chrono::milliseconds routeUpdateTime{1000};

std::pair<std::string, std::uint16_t> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

expected<std::unique_ptr<http_server>> listen(const std::string &address, std::size_t threads, http_handler &handler)
{
    http_server_settings settings;
    std::tie(settings.address, settings.port) = splitAddress(address);
    settings.threads = threads;
    return http_server::create(settings, handler);
}

} // namespace

/// Servers and threads of the process.
struct entry_host::impl {
    explicit impl(const entry_host_settings &settings)
        : shared(settings)
        , peerContext(1)
        , peerWorkGuard(peerContext.get_executor())
    {
    }
    ~impl();

    void stopThreads();

    host_shared shared;
    asio::io_context peerContext;
    asio::executor_work_guard<asio::io_context::executor_type> peerWorkGuard;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<peer_router> router;
    std::unique_ptr<peer_server> peers;
    std::thread peerThread;
    std::unique_ptr<caller_api> callerApi;
    std::unique_ptr<admin_api> adminApi;
    std::unique_ptr<http_server> callerServer;
    std::unique_ptr<http_server> adminServer;
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    std::uint16_t adminPort = 0;
};

entry_host::impl::~impl()
{
    stopThreads();
}

void entry_host::impl::stopThreads()
{
    callerServer.reset();
    adminServer.reset();
    peerWorkGuard.reset();
    peerContext.stop();
    if (peerThread.joinable()) {
        peerThread.join();
    }
    peers.reset();
    if (control) {
        control->stop();
    }
    for (const auto &worker : shared.workers) {
        worker->stop();
    }
}

expected<std::unique_ptr<entry_host>> entry_host::create(const entry_host_settings &settings)
{
    auto parts = std::make_unique<impl>(settings);
    auto &shared = parts->shared;
    auto random = random_source::fromSystem();
    shared.incarnation = incarnation_id(random.hexId());
    auto tickets = ticket_store::create(settings.id, shared.incarnation, ticket_store_settings{});
    if (!tickets) {
        return tl::unexpected<error>(tickets.error());
    }
    shared.tickets = std::move(*tickets);

    // The peer server binds first, because the control plane announces the bound port. Requests wait in the socket until peerThread
    // runs.
    parts->router = std::make_unique<peer_router>(shared);
    peer_server_settings peerSettings;
    peerSettings.address = settings.peerAddress;
    auto peers = peer_server::create(parts->peerContext, peerSettings, *parts->router);
    if (!peers) {
        return tl::unexpected<error>(peers.error());
    }
    parts->peers = std::move(*peers);
    parts->peerPort = parts->peers->port();
    shared.peerAddress = splitAddress(settings.peerAddress).first + ":" + std::to_string(parts->peerPort);

    auto control = control_plane::create(shared);
    if (!control) {
        return tl::unexpected<error>(control.error());
    }
    parts->control = std::move(*control);
    parts->router->setControlPlane(*parts->control);
    for (unsigned index = 0; index < settings.workers; ++index) {
        auto created = worker::create(shared, index);
        if (!created) {
            return tl::unexpected<error>(created.error());
        }
        shared.workers.push_back(std::move(*created));
    }

    parts->adminApi = std::make_unique<admin_api>(shared, *parts->control);
    auto adminServer = listen(settings.adminAddress, 1, *parts->adminApi);
    if (!adminServer) {
        return tl::unexpected<error>(adminServer.error());
    }
    parts->adminServer = std::move(*adminServer);
    parts->adminPort = parts->adminServer->port();
    parts->callerApi = std::make_unique<caller_api>(shared);
    auto callerServer = listen(settings.callerAddress, settings.callerThreads, *parts->callerApi);
    if (!callerServer) {
        return tl::unexpected<error>(callerServer.error());
    }
    parts->callerServer = std::move(*callerServer);
    parts->callerPort = parts->callerServer->port();

    for (const auto &worker : shared.workers) {
        worker->start();
    }
    parts->control->start();
    parts->peerThread = std::thread([state = parts.get()] { state->peerContext.run(); });
    logger.info("entry host started",
                {{"host", settings.id.str()},
                 {"zone", settings.zone.str()},
                 {"caller", std::to_string(parts->callerPort)},
                 {"peer", std::to_string(parts->peerPort)},
                 {"admin", std::to_string(parts->adminPort)}});
    return std::unique_ptr<entry_host>(new entry_host(std::move(parts)));
}

entry_host::entry_host(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

entry_host::~entry_host() = default;

bool entry_host::stop()
{
    using std::chrono::milliseconds;
    auto &state = *m_impl;
    const auto deadline = monotonic_clock::now() + state.shared.settings.stopLimit;
    const auto remaining = [deadline] {
        return std::max(std::chrono::duration_cast<milliseconds>(deadline - monotonic_clock::now()), milliseconds(0));
    };
    logger.info("planned stop started");
    state.shared.record(event_kind::shutdownStarted);
    state.shared.stopping = true;
    state.shared.ready = false;
    state.callerServer->startDraining();
    std::this_thread::sleep_for(state.shared.settings.callerPortCloseDelay);

    const auto callerTimeLimit = std::max(remaining() - handoverReserve, milliseconds(0));
    bool complete = state.callerServer->stop(callerTimeLimit);

    std::promise<void> leaveDone;
    auto leaveDoneFuture = leaveDone.get_future();
    asio::post(state.control->context(), [&state, &leaveDone] { state.control->leave([&leaveDone] { leaveDone.set_value(); }); });
    const bool leasesReleased = leaveDoneFuture.wait_for(remaining()) == std::future_status::ready;

    // Entry hosts that do not know the new lease holders yet still send calls here. Each of these calls is refused, and the answer
    // names the new holder.
    std::this_thread::sleep_for(std::min(remaining(), routeUpdateTime));

    std::promise<bool> streamsEnded;
    auto streamsEndedFuture = streamsEnded.get_future();
    asio::post(state.peerContext, [&state, &streamsEnded, timeLimit = remaining()] {
        state.peers->shutdown(timeLimit, [&streamsEnded](bool ended) { streamsEnded.set_value(ended); });
    });
    complete = streamsEndedFuture.get() && leasesReleased && complete;
    state.stopThreads();
    logger.info(complete ? "planned stop complete" : "planned stop reached its time limit");
    return complete;
}

std::uint16_t entry_host::callerPort() const
{
    return m_impl->callerPort;
}

std::uint16_t entry_host::peerPort() const
{
    return m_impl->peerPort;
}

std::uint16_t entry_host::adminPort() const
{
    return m_impl->adminPort;
}

} // namespace orioledrum
