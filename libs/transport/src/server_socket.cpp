#include <server_socket.h>

#include <lingering_close.h>
#include <reason_phrase.h>
#include <transport/http_response.h>

#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace orioledrum
{

namespace
{

std::shared_ptr<const request_policy> defaultPolicy()
{
    // Only for a connection whose server was stopped before its first read.
    static const auto policy = std::make_shared<const request_policy>(
        request_policy{[] { return request_limits{}; }, [](int status) { return errorResponse(status, {}); }});
    return policy;
}

http_response badRequestResponse()
{
    return errorResponse(400, {error_code::malformed, "the request is not valid HTTP/1.1", "read request", {}});
}

} // namespace

void server_socket::beforeRead()
{
    if (!m_input) {
        m_registry->addConnection();
        m_input = std::make_shared<connection_input>(*m_registry, native_handle());
        asio::error_code code;
        const auto local = local_endpoint(code);
        m_policy = code ? nullptr : m_registry->policy(local);
        if (!m_policy) {
            m_policy = defaultPolicy();
        }
        m_input->setPolicy(m_policy);
    }
    if (m_input->inHead()) {
        m_registry->addUnfinishedHead(native_handle(), m_input->holder(), m_input->waitsSince());
    } else if (m_input->inBody()) {
        m_registry->addUnfinishedBody(native_handle(), m_input->holder());
    } else {
        m_registry->addIdle(native_handle(), m_input->waitsSince());
    }
}

void server_socket::sendRejection(int status)
{
    const auto response = status == badRequest ? badRequestResponse() : m_policy->refuse(status);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status))
        + "\r\nConnection: close\r\nContent-Type: " + response.contentType + "\r\n";
    for (const auto &header : response.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    const int descriptor = native_handle();
    // A client that does not read receives no response; the connection is closed in any case.
    if (::send(descriptor, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
        return;
    }
    ::shutdown(descriptor, SHUT_WR);
    asio::error_code code;
    const auto local = local_endpoint(code);
    const int copy = code ? -1 : ::dup(descriptor);
    if (copy >= 0) {
        lingering_close::start(*m_context, *m_registry, local.protocol(), copy);
    }
}

void server_socket::unregister()
{
    if (m_watch) {
        m_watch->detach();
        m_watch.reset();
    }
    if (is_open()) {
        m_registry->removeIdle(native_handle());
        m_registry->removeUnfinished(native_handle());
        m_registry->removeWriting(native_handle());
    }
    if (m_input && !m_unregistered) {
        m_unregistered = true;
        m_input->detach();
        m_registry->removeConnection();
    }
}

} // namespace orioledrum
