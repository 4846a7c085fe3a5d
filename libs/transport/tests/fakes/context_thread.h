#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>
#include <type_traits>

namespace orioledrum
{

/// Runs an io_context on its own thread. Objects that use the context must be destroyed within run(), before the
/// context_thread is destroyed.
class context_thread
{
public:
    context_thread()
        : m_work(asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
    }

    context_thread(const context_thread &) = delete;
    context_thread &operator=(const context_thread &) = delete;

    ~context_thread()
    {
        m_context.stop();
        m_thread.join();
    }

    asio::io_context &context() { return m_context; }

    /// Runs a function on the thread and waits for its result.
    template<typename Function>
    auto run(Function function) -> std::invoke_result_t<Function>
    {
        std::packaged_task<std::invoke_result_t<Function>()> task(std::move(function));
        auto result = task.get_future();
        asio::post(m_context, [&task] { task(); });
        return result.get();
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

} // namespace orioledrum
