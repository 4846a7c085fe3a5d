#include "http_parser_state.h"

#include <algorithm>
#include <cctype>

namespace orioledrum::standin
{

namespace
{

constexpr std::size_t maxBodyBytes = 1024UL * 1024UL;

int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string urlDecode(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size() && hexValue(text[index + 1]) >= 0 && hexValue(text[index + 2]) >= 0) {
            result.push_back(static_cast<char>(hexValue(text[index + 1]) * 16 + hexValue(text[index + 2])));
            index += 2;
        } else {
            result.push_back(text[index] == '+' ? ' ' : text[index]);
        }
    }
    return result;
}

void parseTarget(std::string_view target, http_request &request)
{
    const auto queryStart = target.find('?');
    request.path = std::string(target.substr(0, queryStart));
    std::string_view remaining = queryStart == std::string_view::npos ? std::string_view{} : target.substr(queryStart + 1);
    while (!remaining.empty()) {
        const auto pairEnd = remaining.find('&');
        const std::string_view pair = remaining.substr(0, pairEnd);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos) {
            request.query[urlDecode(pair.substr(0, equals))] = urlDecode(pair.substr(equals + 1));
        }
        remaining = pairEnd == std::string_view::npos ? std::string_view{} : remaining.substr(pairEnd + 1);
    }
}

} // namespace

http_parser_state::http_parser_state(http_connection &connection)
    : m_connection(connection)
{
    http_parser_init(&m_parser, HTTP_REQUEST);
    m_parser.data = this;
}

http_parser_state &http_parser_state::fromParser(http_parser *parser)
{
    return *static_cast<http_parser_state *>(parser->data);
}

void http_parser_state::storeHeader()
{
    if (m_headerValueStarted) {
        std::transform(m_headerName.begin(), m_headerName.end(), m_headerName.begin(), [](unsigned char character) {
            return static_cast<char>(std::tolower(character));
        });
        m_request.headers.emplace_back(std::move(m_headerName), std::move(m_headerValue));
    }
    m_headerName.clear();
    m_headerValue.clear();
    m_headerValueStarted = false;
}

int http_parser_state::completeRequest()
{
    m_request.method = http_method_str(static_cast<http_method>(m_parser.method));
    parseTarget(m_target, m_request);
    m_target.clear();
    if (http_should_keep_alive(&m_parser) == 0) {
        m_connection.m_closeAfterWrite = true;
    }
    m_connection.m_pendingRequests.push_back(std::move(m_request));
    m_request = {};
    return 0;
}

const http_parser_settings &http_parser_state::parserCallbacks()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = [](http_parser *parser, const char *data, std::size_t size) {
            fromParser(parser).m_target.append(data, size);
            return 0;
        };
        result.on_header_field = [](http_parser *parser, const char *data, std::size_t size) {
            if (fromParser(parser).m_headerValueStarted) {
                fromParser(parser).storeHeader();
            }
            fromParser(parser).m_headerName.append(data, size);
            return 0;
        };
        result.on_header_value = [](http_parser *parser, const char *data, std::size_t size) {
            fromParser(parser).m_headerValueStarted = true;
            fromParser(parser).m_headerValue.append(data, size);
            return 0;
        };
        result.on_headers_complete = [](http_parser *parser) {
            fromParser(parser).storeHeader();
            return 0;
        };
        result.on_body = [](http_parser *parser, const char *data, std::size_t size) {
            auto &state = fromParser(parser);
            if (state.m_request.body.size() + size > maxBodyBytes) {
                state.m_tooLarge = true;
                return 1;
            }
            state.m_request.body.append(data, size);
            return 0;
        };
        result.on_message_complete = [](http_parser *parser) { return fromParser(parser).completeRequest(); };
        return result;
    }();
    return callbacks;
}

int http_parser_state::feed(const char *data, std::size_t size)
{
    const std::size_t consumed = http_parser_execute(&m_parser, &parserCallbacks(), data, size);
    if (HTTP_PARSER_ERRNO(&m_parser) == HPE_OK && consumed == size) {
        return 0;
    }
    return m_tooLarge ? 413 : 400;
}

} // namespace orioledrum::standin
