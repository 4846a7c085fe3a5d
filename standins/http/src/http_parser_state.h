#pragma once

#include <standin/http_connection.h>

#include <http_parser.h>

namespace orioledrum::standin
{

/// Collects the parts that http_parser reports into requests.
class http_parser_state
{
public:
    explicit http_parser_state(http_connection &connection);

    /// @return HTTP status of the refusal, or 0 when all bytes were accepted.
    int feed(const char *data, std::size_t size);

private:
    static http_parser_state &of(http_parser *parser);
    static const http_parser_settings &settings();
    int finish();

    http_connection &m_connection;
    http_parser m_parser{};
    http_request m_request;
    std::string m_target;
    std::string m_headerName;
    std::string m_headerValue;
    bool m_valueSeen = false;
    bool m_tooLarge = false;

    void storeHeader();
};

} // namespace orioledrum::standin
