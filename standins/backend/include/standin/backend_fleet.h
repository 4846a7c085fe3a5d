#pragma once

#include <standin/backend_server.h>
#include <standin/control_server.h>

#include <functional>
#include <thread>

namespace orioledrum::standin
{

/// The backend servers of one process, spread over a few threads, and their control port.
class backend_fleet
{
public:
    /// @param threads At least 1; the control port has a thread of its own.
    backend_fleet(const backend_fleet_settings &settings, std::size_t threads, recorder &events);
    ~backend_fleet();
    backend_fleet(const backend_fleet &) = delete;
    backend_fleet &operator=(const backend_fleet &) = delete;

    /// Opens all ports and starts the threads.
    /// @param controlPort 0 to let the system choose.
    /// @return JSON text with the ports, or a message.
    tl::expected<std::string, std::string> start(std::uint16_t controlPort);

    /// Stops all threads.
    void stop();

private:
    http_response answer(const http_request &request);
    http_response change(const std::function<bool(const backend_server &)> &chosen, const http_request &request);
    http_response stats();
    http_response orders();
    void onThreadOf(backend_server &backend, const std::function<void()> &action);

    std::vector<std::unique_ptr<asio::io_context>> m_contexts;
    std::vector<std::unique_ptr<backend_server>> m_backends;
    asio::io_context m_controlContext;
    control_server m_control;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> m_work;
    std::vector<std::thread> m_threads;
    std::uint32_t m_hitsPerShard = 0;
};

} // namespace orioledrum::standin
