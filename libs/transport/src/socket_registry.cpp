#include <socket_registry.h>

#include <sys/socket.h>

#include <utility>

namespace orioledrum
{

namespace
{

thread_local std::shared_ptr<peer_close_watch> threadWatch; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

} // namespace

asio::execution_context::id socket_registry::id;

socket_registry::socket_registry(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void socket_registry::addConnection()
{
    const std::lock_guard lock(m_mutex);
    ++m_connectionCount;
}

void socket_registry::removeConnection()
{
    const std::lock_guard lock(m_mutex);
    --m_connectionCount;
}

std::size_t socket_registry::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_connectionCount;
}

void socket_registry::addIdle(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_idle[descriptor] = std::chrono::steady_clock::now();
}

void socket_registry::removeIdle(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(descriptor);
}

void socket_registry::addUnfinished(int descriptor, std::chrono::steady_clock::time_point since)
{
    const std::lock_guard lock(m_mutex);
    m_unfinished[descriptor] = since;
}

void socket_registry::removeUnfinished(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_unfinished.erase(descriptor);
}

void socket_registry::addWriting(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_writing[descriptor] = std::chrono::steady_clock::now();
}

void socket_registry::removeWriting(int descriptor)
{
    const std::lock_guard lock(m_mutex);
    m_writing.erase(descriptor);
}

void socket_registry::shutdownStalledWrites(std::chrono::milliseconds after)
{
    const auto latestStart = std::chrono::steady_clock::now() - after;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_writing) {
        if (since <= latestStart) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

void socket_registry::shutdownUnfinished(std::chrono::milliseconds after)
{
    const auto latestStart = std::chrono::steady_clock::now() - after;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_unfinished) {
        if (since <= latestStart) {
            ::shutdown(descriptor, SHUT_RDWR);
        }
    }
}

void socket_registry::setCurrentWatch(std::shared_ptr<peer_close_watch> watch)
{
    threadWatch = std::move(watch);
}

std::shared_ptr<peer_close_watch> socket_registry::currentWatch()
{
    return threadWatch;
}

void socket_registry::shutdownIdle(std::chrono::milliseconds idleFor)
{
    const auto latestStart = std::chrono::steady_clock::now() - idleFor;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_idle) {
        if (since <= latestStart) {
            ::shutdown(descriptor, SHUT_RD);
        }
    }
}

} // namespace orioledrum
