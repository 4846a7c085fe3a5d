#include "worker.h"

#include "backend_pool.h"
#include "host_shared.h"
#include "order_coordinator.h"
#include "order_executor.h"
#include "root_searches.h"
#include "search_call_executor.h"

#include <transport/http_client.h>
#include <transport/peer_client.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

namespace orioledrum
{

struct worker::impl {
    impl()
        : context(1)
        , workGuard(context.get_executor())
    {
    }

    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    std::unique_ptr<http_client> client;
    std::unique_ptr<peer_client> peers;
    std::unique_ptr<backend_pool> pool;
    std::unique_ptr<search_call_executor> calls;
    std::unique_ptr<order_executor> orders;
    std::unique_ptr<order_coordinator> coordinator;
    std::unique_ptr<root_searches> searches;
    std::thread thread;
};

expected<std::unique_ptr<worker>> worker::create(host_shared &shared, std::size_t index)
{
    auto parts = std::make_unique<impl>();
    auto client = http_client::create(parts->context, http_client_settings{});
    if (!client) {
        return tl::unexpected<error>(client.error());
    }
    auto peers = peer_client::create(parts->context, peer_client_settings{});
    if (!peers) {
        return tl::unexpected<error>(peers.error());
    }
    parts->client = std::move(*client);
    parts->peers = std::move(*peers);
    parts->pool = std::make_unique<backend_pool>(shared, parts->context, *parts->client);
    parts->calls = std::make_unique<search_call_executor>(shared, *parts->pool);
    parts->orders = std::make_unique<order_executor>(shared, *parts->pool);
    parts->coordinator = std::make_unique<order_coordinator>(shared, parts->context, *parts->peers);
    parts->searches = std::make_unique<root_searches>(shared, index, parts->context, *parts->peers);
    return std::unique_ptr<worker>(new worker(std::move(parts)));
}

worker::worker(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

worker::~worker()
{
    stop();
}

void worker::start()
{
    m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void worker::stop()
{
    m_impl->workGuard.reset();
    m_impl->context.stop();
    if (m_impl->thread.joinable()) {
        m_impl->thread.join();
    }
}

asio::io_context &worker::context()
{
    return m_impl->context;
}

backend_pool &worker::pool()
{
    return *m_impl->pool;
}

search_call_executor &worker::searchCallExecutor()
{
    return *m_impl->calls;
}

order_executor &worker::orderExecutor()
{
    return *m_impl->orders;
}

order_coordinator &worker::orderCoordinator()
{
    return *m_impl->coordinator;
}

root_searches &worker::rootSearches()
{
    return *m_impl->searches;
}

} // namespace orioledrum
