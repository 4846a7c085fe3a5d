#include <fakes/scripted_http_server.h>

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>

namespace orioledrum
{

namespace
{

void resetOnClose(asio::ip::tcp::socket &socket, bool enable)
{
    asio::error_code code;
    if (enable) {
        socket.set_option(asio::socket_base::linger(true, 0), code);
    }
}

} // namespace

scripted_http_server::scripted_http_server(std::function<action(const std::string &)> script,
                                           std::function<std::optional<action>(const std::string &)> endAfterHead)
    : m_script(std::move(script))
    , m_endAfterHead(std::move(endAfterHead))
    , m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_port(m_acceptor.local_endpoint().port())
{
    m_acceptThread = std::thread([this] {
        for (;;) {
            asio::error_code code;
            auto socket = m_acceptor.accept(code);
            if (code) {
                return;
            }
            ++m_connections;
            const std::lock_guard lock(m_mutex);
            m_openDescriptors.push_back(socket.native_handle());
            m_threads.emplace_back([this, accepted = std::move(socket)]() mutable { serve(accepted); });
        }
    });
}

scripted_http_server::~scripted_http_server()
{
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR); // Unblocks accept().
    m_acceptThread.join();
    closeConnections();
    for (auto &thread : m_threads) {
        thread.join();
    }
}

void scripted_http_server::closeConnections()
{
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_openDescriptors) {
        ::shutdown(descriptor, SHUT_RDWR);
    }
}

void scripted_http_server::serve(asio::ip::tcp::socket &socket)
{
    std::string input;
    asio::error_code code;
    for (;;) {
        const auto headSize = asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n", code);
        if (code) {
            break;
        }
        ++m_heads;
        if (const auto ending = m_endAfterHead ? m_endAfterHead(input.substr(0, headSize)) : std::nullopt) {
            asio::write(socket, asio::buffer(ending->bytes), code);
            resetOnClose(socket, ending->reset);
            break;
        }
        std::size_t length = 0;
        if (const auto fieldPosition = input.find("Content-Length: "); fieldPosition < headSize) {
            length = std::stoul(input.substr(fieldPosition + 16));
        }
        if (input.size() < headSize + length) {
            asio::read(socket, asio::dynamic_buffer(input), asio::transfer_exactly(headSize + length - input.size()), code);
        }
        if (code) {
            break;
        }
        ++m_requests;
        const auto response = m_script(input.substr(0, headSize + length));
        input.erase(0, headSize + length);
        asio::write(socket, asio::buffer(response.bytes), code);
        while (!code && !response.repeated.empty()) {
            asio::write(socket, asio::buffer(response.repeated), code);
            std::this_thread::sleep_for(response.repeatInterval);
        }
        if (code || response.close) {
            resetOnClose(socket, response.reset);
            break;
        }
    }
    const std::lock_guard lock(m_mutex);
    std::erase(m_openDescriptors, socket.native_handle());
    socket.close(code);
}

scripted_http_server::action scripted_http_server::ok(const std::string &body)
{
    return {"HTTP/1.1 200 OK\r\nX-State: warm\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false};
}

std::string exchangeBytes(std::uint16_t port, const std::string &bytes)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::error_code code;
    asio::write(socket, asio::buffer(bytes), code);
    std::string received;
    asio::read(socket, asio::dynamic_buffer(received), code);
    return received;
}

} // namespace orioledrum
