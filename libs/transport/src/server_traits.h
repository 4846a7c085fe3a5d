#pragma once

#include <server_socket.h>

#include <restinio/all.hpp>

#include <http_parser.h>

#include <cstdint>
#include <limits>
#include <string_view>

namespace orioledrum
{

/// The standard HTTP methods. A separate type, so that the parser settings below apply only to this server.
struct server_methods : restinio::default_http_methods_t {
};

} // namespace orioledrum

namespace restinio::impl
{

/// RESTinio only limits each part of a message, and keeps bodies, trailers and the position of each chunk itself. These settings count a
/// request in the connection_input, which also keeps its body. Trailers are dropped: they must not replace header fields.
template<>
inline http_parser_settings create_parser_settings<orioledrum::server_methods>() noexcept
{
    using orioledrum::connection_input;
    constexpr int stop = -1;
    http_parser_settings settings = create_parser_settings<restinio::default_http_methods_t>();
    settings.on_message_begin = [](http_parser *) -> int {
        connection_input::current()->beginRequest();
        return 0;
    };
    settings.on_url = [](http_parser *parser, const char *at, std::size_t length) -> int {
        return connection_input::current()->addHead(length, false) ? restinio_url_cb(parser, at, length) : stop;
    };
    settings.on_header_field = [](http_parser *parser, const char *at, std::size_t length) -> int {
        auto *context = static_cast<http_parser_ctx_t *>(parser->data);
        if (context->m_leading_headers_completed) {
            return 0;
        }
        return connection_input::current()->addHead(length, context->m_last_was_value) ? restinio_header_field_cb(parser, at, length)
                                                                                       : stop;
    };
    settings.on_header_value = [](http_parser *parser, const char *at, std::size_t length) -> int {
        if (static_cast<http_parser_ctx_t *>(parser->data)->m_leading_headers_completed) {
            return 0;
        }
        return connection_input::current()->addHead(length, false) ? restinio_header_value_cb(parser, at, length) : stop;
    };
    settings.on_headers_complete = [](http_parser *parser) -> int {
        static_cast<http_parser_ctx_t *>(parser->data)->m_leading_headers_completed = true;
        const bool announced = parser->content_length != std::numeric_limits<std::uint64_t>::max();
        const auto bytes = announced ? std::optional<std::uint64_t>(parser->content_length) : std::nullopt;
        try {
            return connection_input::current()->endHead(bytes) ? 0 : stop;
        } catch (const std::exception &) {
            return stop;
        }
    };
    settings.on_body = [](http_parser *, const char *at, std::size_t length) -> int {
        try {
            return connection_input::current()->addBody({at, length}) ? 0 : stop;
        } catch (const std::exception &) {
            return stop;
        }
    };
    settings.on_chunk_header = [](http_parser *) -> int { return 0; };
    return settings;
}

} // namespace restinio::impl

namespace orioledrum
{

/// Makes room for connections over the limit, or rejects them. RESTinio's own limiter cannot be used, because connections refer to it in
/// their destructor, which may run after the server was destroyed.
class connection_limiter
{
public:
    connection_limiter(asio::io_context &context, std::size_t maxConnections)
        : m_registry(asio::use_service<socket_registry>(context))
        , m_maxConnections(maxConnections)
    {
    }

    [[nodiscard]] restinio::ip_blocker::inspection_result_t inspect(const restinio::ip_blocker::incoming_info_t &) const noexcept
    {
        return m_registry.makeRoom(m_maxConnections) ? restinio::ip_blocker::allow() : restinio::ip_blocker::deny();
    }

private:
    socket_registry &m_registry;
    std::size_t m_maxConnections;
};

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    using http_methods_mapper_t = server_methods;
    using stream_socket_t = server_socket;
    using ip_blocker_t = connection_limiter;
};

} // namespace orioledrum
