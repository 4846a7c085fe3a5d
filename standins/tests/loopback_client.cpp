#include "loopback_client.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace orioledrum::standin
{

loopback_client::loopback_client(std::uint16_t port)
    : m_socket(m_context)
{
    std::error_code error;
    m_socket.connect({asio::ip::address_v4::loopback(), port}, error);
    m_connected = !error;
}

void loopback_client::send(const std::string &method,
                           const std::string &path,
                           const std::string &body,
                           const std::map<std::string, std::string> &headers)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "\r\n" + body;
    std::error_code ignored;
    asio::write(m_socket, asio::buffer(text), ignored);
}

test_reply loopback_client::receive(std::chrono::milliseconds timeout)
{
    test_reply reply;
    std::error_code error;
    asio::steady_timer timer(m_context, timeout);
    bool timedOut = false;
    timer.async_wait([&](std::error_code cancelled) {
        if (!cancelled) {
            timedOut = true;
            std::error_code ignored;
            m_socket.cancel(ignored);
        }
    });
    const auto read = [&](std::size_t bytes, bool untilHeaderEnd) {
        bool done = false;
        const auto onCompletion = [&](std::error_code result, std::size_t /*size*/) {
            error = result;
            done = true;
        };
        if (untilHeaderEnd) {
            asio::async_read_until(m_socket, asio::dynamic_buffer(m_receivedBytes), "\r\n\r\n", onCompletion);
        } else {
            asio::async_read(m_socket, asio::dynamic_buffer(m_receivedBytes), asio::transfer_exactly(bytes), onCompletion);
        }
        m_context.restart();
        while (!done) {
            m_context.run_one();
        }
    };
    read(0, true);
    if (!error) {
        const auto end = m_receivedBytes.find("\r\n\r\n") + 4;
        std::istringstream header(m_receivedBytes.substr(0, end));
        m_receivedBytes.erase(0, end);
        std::string version;
        header >> version >> reply.status;
        std::string line;
        std::getline(header, line);
        while (std::getline(header, line) && line.size() > 1) {
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(
                name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
            reply.headers[name] = line.substr(colon + 2, line.size() - colon - 3);
        }
        const auto length = reply.headers.find("content-length");
        const std::size_t size = length == reply.headers.end() ? 0 : std::stoul(length->second);
        if (m_receivedBytes.size() < size) {
            read(size - m_receivedBytes.size(), false);
        }
        reply.body = m_receivedBytes.substr(0, size);
        m_receivedBytes.erase(0, size);
    }
    if (error) {
        reply.status = 0;
        reply.closed = !timedOut;
    }
    timer.cancel();
    m_context.restart();
    m_context.poll();
    return reply;
}

test_reply loopback_client::exchange(const std::string &method,
                                     const std::string &path,
                                     const std::string &body,
                                     const std::map<std::string, std::string> &headers)
{
    send(method, path, body, headers);
    return receive();
}

void loopback_client::close()
{
    std::error_code ignored;
    m_socket.close(ignored);
}

test_reply exchangeOnce(std::uint16_t port, const std::string &method, const std::string &path, const std::string &body)
{
    return loopback_client(port).exchange(method, path, body);
}

} // namespace orioledrum::standin
