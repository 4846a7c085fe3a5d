#pragma once

#include <standin/backend_server.h>
#include <standin/control_server.h>

#include <functional>
#include <thread>

namespace orioledrum::standin
{

/// Runs the backend servers of one process on a fixed number of threads, and their control server.
class backend_fleet
{
public:
    /// @param settings Must list at least one backend server.
    /// @param threads Threads for the backend servers, at least 1. The control server runs on an additional thread.
    /// @param recording Must outlive the fleet.
    backend_fleet(const backend_fleet_settings &settings, std::size_t threads, recorder &recording);
    ~backend_fleet();
    backend_fleet(const backend_fleet &) = delete;
    backend_fleet &operator=(const backend_fleet &) = delete;

    /// Opens all ports and starts the threads.
    /// @param controlPort 0 lets the system choose a free port.
    /// @return JSON text with the ports listened on, or an error message.
    tl::expected<std::string, std::string> start(std::uint16_t controlPort);

    /// Stops and joins all threads.
    void stop();

private:
    http_response handleControl(const http_request &request);
    /// Applies the changes in the request body to the backend servers that match a predicate, one after another. Stops at the first error.
    http_response changeBackends(const std::function<bool(const backend_server &)> &selects, const http_request &request);
    http_response statsResponse();
    http_response ordersResponse();
    /// Runs an action on the thread of a backend server and waits until it has finished.
    void runOnThreadOf(backend_server &backend, const std::function<void()> &action);

    std::vector<std::unique_ptr<asio::io_context>> m_contexts;
    std::vector<std::unique_ptr<backend_server>> m_backends;
    asio::io_context m_controlContext;
    control_server m_controlServer;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> m_workGuards;
    std::vector<std::thread> m_threads;
    std::uint32_t m_hitsPerShard = 0; ///< Setting of the first backend server; /control/expected uses it for all shards.
};

} // namespace orioledrum::standin
