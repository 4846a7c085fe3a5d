#pragma once

#include <standin/http_connection.h>

#include <http_parser.h>

namespace orioledrum::standin
{

/// Assembles requests from the callbacks of http_parser and queues them on the connection.
class http_parser_state
{
public:
    explicit http_parser_state(http_connection &connection);

    /// Parses received bytes.
    /// @return 0, or the HTTP status to answer with: 413 when the body is too large, 400 when the request is malformed.
    int feed(const char *data, std::size_t size);

private:
    static http_parser_state &fromParser(http_parser *parser);
    static const http_parser_settings &parserCallbacks();
    /// Queues the parsed request on the connection.
    /// @return 0, which tells http_parser to continue.
    int completeRequest();

    http_connection &m_connection;
    http_parser m_parser{};
    http_request m_request;
    std::string m_target;
    std::string m_headerName;
    std::string m_headerValue;
    bool m_headerValueStarted = false;
    bool m_tooLarge = false;

    /// Adds the header parsed last to the request, if there is one.
    void storeHeader();
};

} // namespace orioledrum::standin
