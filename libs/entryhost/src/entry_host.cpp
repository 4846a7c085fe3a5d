#include <entryhost/entry_host.h>

#include "admin_api.h"
#include "caller_api.h"
#include "control_plane.h"
#include "host_shared.h"
#include "peer_router.h"
#include "worker.h"

#include <base/random_source.h>
#include <logging/part_logger.h>
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

const part_logger logger("host");

/// Time of a planned stop that is kept for giving leases back and closing peer streams.
constexpr std::chrono::milliseconds handoverTime{4000};

/// Time in which the other entry hosts learn the new holders; they refresh their routes every 250 ms.
constexpr std::chrono::milliseconds routeLinger{1000};

std::pair<std::string, std::uint16_t> splitAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

expected<std::unique_ptr<http_server>> listen(const std::string &address, std::size_t threads, http_handler &handler)
{
    http_server_settings options;
    std::tie(options.address, options.port) = splitAddress(address);
    options.threads = threads;
    return http_server::create(options, handler);
}

} // namespace

struct entry_host::impl {
    explicit impl(const entry_host_settings &options)
        : shared(options)
        , peerContext(1)
        , peerWork(peerContext.get_executor())
    {
    }
    ~impl();

    void stopThreads();

    host_shared shared;
    asio::io_context peerContext;
    asio::executor_work_guard<asio::io_context::executor_type> peerWork;
    std::unique_ptr<control_plane> control;
    std::unique_ptr<peer_router> router;
    std::unique_ptr<peer_server> peers;
    std::thread peerThread;
    std::unique_ptr<caller_api> callers;
    std::unique_ptr<admin_api> admins;
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
    peerWork.reset();
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

expected<std::unique_ptr<entry_host>> entry_host::create(const entry_host_settings &options)
{
    auto parts = std::make_unique<impl>(options);
    auto &shared = parts->shared;
    auto random = random_source::fromSystem();
    shared.incarnation = incarnation_id(random.hexId());
    auto tickets = ticket_store::create(options.id, shared.incarnation, ticket_store_settings{});
    if (!tickets) {
        return tl::unexpected<error>(tickets.error());
    }
    shared.tickets = std::move(*tickets);

    // The peer port has to be known before the control plane announces it. Requests wait in the socket until the
    // thread of the peer server runs.
    parts->router = std::make_unique<peer_router>(shared);
    peer_server_settings peerSettings;
    peerSettings.address = options.peerAddress;
    auto peers = peer_server::create(parts->peerContext, peerSettings, *parts->router);
    if (!peers) {
        return tl::unexpected<error>(peers.error());
    }
    parts->peers = std::move(*peers);
    parts->peerPort = parts->peers->port();
    shared.peerAddress = splitAddress(options.peerAddress).first + ":" + std::to_string(parts->peerPort);

    auto control = control_plane::create(shared);
    if (!control) {
        return tl::unexpected<error>(control.error());
    }
    parts->control = std::move(*control);
    parts->router->attach(*parts->control);
    for (unsigned index = 0; index < options.workers; ++index) {
        auto created = worker::create(shared, index);
        if (!created) {
            return tl::unexpected<error>(created.error());
        }
        shared.workers.push_back(std::move(*created));
    }

    parts->admins = std::make_unique<admin_api>(shared, *parts->control);
    auto adminServer = listen(options.adminAddress, 1, *parts->admins);
    if (!adminServer) {
        return tl::unexpected<error>(adminServer.error());
    }
    parts->adminServer = std::move(*adminServer);
    parts->adminPort = parts->adminServer->port();
    parts->callers = std::make_unique<caller_api>(shared);
    auto callerServer = listen(options.callerAddress, options.callerThreads, *parts->callers);
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
    logger.info("the entry host has started",
                {{"host", options.id.str()},
                 {"zone", options.zone.str()},
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
    const auto deadline = monotonic_clock::now() + state.shared.options.stopLimit;
    const auto remaining = [deadline] {
        return std::max(std::chrono::duration_cast<milliseconds>(deadline - monotonic_clock::now()), milliseconds(0));
    };
    logger.info("a planned stop has begun");
    state.shared.record(event_kind::shutdownStarted);
    state.shared.stopping = true;
    state.shared.ready = false;
    state.callerServer->startDraining();
    std::this_thread::sleep_for(state.shared.options.balancerDelay);

    const auto forCallers = std::max(remaining() - handoverTime, milliseconds(0));
    bool complete = state.callerServer->stop(forCallers);

    std::promise<void> left;
    auto leftFuture = left.get_future();
    asio::post(state.control->context(), [&state, &left] { state.control->leave([&left] { left.set_value(); }); });
    const bool leasesReleased = leftFuture.wait_for(remaining()) == std::future_status::ready;

    // Hosts that have not seen the handover yet still route calls here; each is refused with a hint to the new holder.
    std::this_thread::sleep_for(std::min(remaining(), routeLinger));

    std::promise<bool> streams;
    auto streamsFuture = streams.get_future();
    asio::post(state.peerContext, [&state, &streams, atMost = remaining()] {
        state.peers->shutdown(atMost, [&streams](bool ended) { streams.set_value(ended); });
    });
    complete = streamsFuture.get() && leasesReleased && complete;
    state.stopThreads();
    logger.info(complete ? "the planned stop is complete" : "the planned stop reached its time limit");
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
