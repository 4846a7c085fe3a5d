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
class owner_calls;
class root_searches;
struct host_shared;

/// One thread that gathers queries and runs the calls of the groups it owns. The accessors may be used by any thread,
/// but what they return belongs to the worker's thread: post to context().
class worker
{
public:
    /// @param shared State of the process; must outlive the worker.
    /// @param index Position in host_shared::workers.
    static expected<std::unique_ptr<worker>> create(host_shared &shared, std::size_t index);
    ~worker();
    worker(const worker &) = delete;
    worker &operator=(const worker &) = delete;

    /// Starts the thread.
    void start();
    /// Ends the thread; open work is dropped.
    void stop();

    [[nodiscard]] asio::io_context &context();
    [[nodiscard]] backend_pool &pool();
    [[nodiscard]] owner_calls &ownerCalls();
    [[nodiscard]] order_executor &orderExecutor();
    [[nodiscard]] order_coordinator &orderCoordinator();
    [[nodiscard]] root_searches &rootSearches();

private:
    struct impl;
    explicit worker(std::unique_ptr<impl> implementation);
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
