#include <lingering_close.h>

#include <socket_registry.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace orioledrum
{

void lingering_close::start(asio::io_context &context, socket_registry &registry, asio::ip::tcp protocol, int descriptor)
{
    const auto closing = std::make_shared<lingering_close>(context, registry);
    asio::error_code code;
    closing->m_socket.assign(protocol, descriptor, code);
    if (code) {
        ::close(descriptor);
        return;
    }
    closing->m_timer.expires_after(maxTime);
    closing->m_timer.async_wait([weak = std::weak_ptr(closing)](const asio::error_code &failure) {
        const auto self = weak.lock();
        if (!failure && self) {
            asio::error_code ignored;
            self->m_socket.close(ignored);
        }
    });
    closing->waitForInput();
}

lingering_close::lingering_close(asio::io_context &context, socket_registry &registry)
    : m_registry(registry)
    , m_socket(context)
    , m_timer(context)
{
    m_registry.addConnection();
}

lingering_close::~lingering_close()
{
    m_registry.removeConnection();
}

void lingering_close::waitForInput()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const asio::error_code &code) {
        if (!code) {
            self->drop();
        }
    });
}

void lingering_close::drop()
{
    std::array<char, 65536> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): only a sink
    const auto size = ::recv(m_socket.native_handle(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (size > 0) {
        m_dropped += static_cast<std::size_t>(size);
    }
    const bool waits = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if ((size > 0 && m_dropped < maxBytes) || waits) {
        waitForInput();
    }
}

} // namespace orioledrum
