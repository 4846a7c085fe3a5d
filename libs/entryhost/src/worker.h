#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <thread>

#include <base/error.h>
#include <base/ids.h>

namespace asio
{
class io_context;
}

namespace orioledrum
{

class backend_pool;
class order_coordinator;
class order_executor;
class search_call_executor;
class root_searches;
struct host_shared;

/// A thread that coordinates searches and orders, and sends the calls to the groups of backend servers that are assigned to it. The
/// accessors are thread-safe, but the returned objects may be used on the worker's thread only: post to context().
class worker
{
public:
    /// Creates a worker without starting its thread.
    /// @param shared State of the process; must outlive the worker.
    /// @param index Position in host_shared::workers.
    static expected<std::unique_ptr<worker>> create(host_shared &shared, std::size_t index);
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /// Starts the thread.
    void start();
    /// Ends the thread and drops open requests.
    void stop();

    [[nodiscard]] asio::io_context &context();
    [[nodiscard]] backend_pool &pool();
    [[nodiscard]] search_call_executor &searchCallExecutor();
    [[nodiscard]] order_executor &orderExecutor();
    [[nodiscard]] order_coordinator &orderCoordinator();
    [[nodiscard]] root_searches &rootSearches();

private:
    struct impl;
    explicit worker(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
