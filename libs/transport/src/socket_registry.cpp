#include <socket_registry.h>

#include <sys/socket.h>

#include <utility>

namespace orioledrum
{

namespace
{

thread_local std::shared_ptr<peer_close_watch> currentlyReading; // NOLINT(cppcoreguidelines-avoid-non-const-global-variables)

} // namespace

asio::execution_context::id socket_registry::id;

socket_registry::socket_registry(asio::execution_context &context)
    : asio::execution_context::service(context)
{
}

void socket_registry::opened()
{
    const std::lock_guard lock(m_mutex);
    ++m_open;
}

void socket_registry::closed()
{
    const std::lock_guard lock(m_mutex);
    --m_open;
}

std::size_t socket_registry::open() const
{
    const std::lock_guard lock(m_mutex);
    return m_open;
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

void socket_registry::setReading(std::shared_ptr<peer_close_watch> watch)
{
    currentlyReading = std::move(watch);
}

std::shared_ptr<peer_close_watch> socket_registry::reading()
{
    return currentlyReading;
}

void socket_registry::shutdownIdle(std::chrono::milliseconds idleFor)
{
    const auto limit = std::chrono::steady_clock::now() - idleFor;
    const std::lock_guard lock(m_mutex);
    for (const auto &[descriptor, since] : m_idle) {
        if (since <= limit) {
            ::shutdown(descriptor, SHUT_RD);
        }
    }
}

} // namespace orioledrum
