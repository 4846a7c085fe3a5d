#include <http_transfer.h>

#include <curl_socket.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace orioledrum
{

namespace
{

// A reply with a larger header fails with tooLarge.
constexpr std::size_t maxReplyHeaderBytes = std::size_t{64} * 1024;
/// A reply up to this size is accepted however much memory the other replies take.
constexpr std::size_t minReplyShare = std::size_t{256} * 1024;

int onBeforeSend(void *user, char *, char *, int, int)
{
    auto &running = *static_cast<http_transfer *>(user);
    if (running.lastSocket) {
        running.lastSocket->connected = true;
    }
    if (running.writeAllowed) {
        // libcurl sends a request again when a reused connection is lost before the first byte of the reply.
        running.resendRefused = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (running.call.beforeSend && !running.call.beforeSend()) {
        running.stoppedBeforeSend = true;
        return CURL_PREREQFUNC_ABORT;
    }
    running.writeAllowed = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &running = *static_cast<http_transfer *>(user);
    const std::size_t length = size * count;
    if (!running.appendBody(data, length)) {
        running.tooLarge = true;
        return 0;
    }
    return length;
}

std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    const std::string_view line(data, size * count);
    return static_cast<http_transfer *>(user)->receiveHeadLine(line) ? line.size() : 0;
}

std::string_view trim(std::string_view text)
{
    const auto begin = text.find_first_not_of(" \t\r\n");
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
}

/// @return The status of a line "HTTP/1.1 200 OK": three digits, 100 to 599. Empty for any other line; libcurl takes more, for example 600,
/// which is no status that a caller may see.
std::optional<int> parseStatus(std::string_view line)
{
    constexpr std::size_t digits = 3;
    const auto space = line.find(' ');
    const auto text = trim(space == std::string_view::npos ? std::string_view() : line.substr(space + 1));
    const auto isDigit = [](unsigned char c) { return std::isdigit(c) != 0; };
    if (text.size() < digits || !std::all_of(text.begin(), text.begin() + digits, isDigit)
        || (text.size() > digits && text[digits] != ' ')) {
        return std::nullopt;
    }
    const int status = (text[0] - '0') * 100 + (text[1] - '0') * 10 + (text[2] - '0');
    return status >= 100 && status <= 599 ? std::optional(status) : std::nullopt;
}

} // namespace

http_transfer::~http_transfer()
{
    discardReply();
    curl_slist_free_all(headers);
}

void http_transfer::discardReply()
{
    if (bufferedBytes != nullptr) {
        *bufferedBytes -= m_accountedBytes;
    }
    m_accountedBytes = 0;
    reply = {};
}

bool http_transfer::appendBody(const char *data, std::size_t length)
{
    const auto size = reply.body.size() + length;
    const auto unused = maxBufferedBytes - std::min(maxBufferedBytes, *bufferedBytes);
    if (size > maxReplyBytes || (size > minReplyShare && size > unused)) {
        return false;
    }
    const auto before = reply.body.capacity();
    if (size > before && size > minReplyShare) {
        // std::string doubles its capacity, which would take up to twice the reply from what other replies may use.
        std::string larger;
        larger.reserve(size + size / 4);
        larger.append(reply.body);
        reply.body = std::move(larger);
    }
    reply.body.append(data, length);
    const auto grown = reply.body.capacity() - before;
    m_accountedBytes += grown;
    *bufferedBytes += grown;
    return true;
}

bool http_transfer::receiveHeadLine(std::string_view line)
{
    headerBytes += line.size();
    if (headerBytes > maxReplyHeaderBytes) {
        tooLarge = true;
        return false;
    }
    if (line.starts_with("HTTP/")) {
        // Discards an interim response such as "100 Continue" that precedes the final one.
        discardReply();
        headComplete = false;
        const auto status = parseStatus(line);
        invalidStatus = !status;
        reply.status = status.value_or(0);
        return !invalidStatus;
    }
    if (headComplete) {
        return true; // A trailer, which is no header field.
    }
    if (trim(line).empty()) {
        headComplete = reply.status >= 200;
    } else if (const auto colon = line.find(':'); colon != std::string_view::npos) {
        reply.headers.push_back({std::string(trim(line.substr(0, colon))), std::string(trim(line.substr(colon + 1)))});
    }
    return true;
}

http_failure http_transfer::describeFailure(CURLcode code) const
{
    const std::string message = errorText[0] != '\0' ? errorText.data() : curl_easy_strerror(code);
    error_code kind = error_code::unreachable;
    if (resendRefused) {
        return makeFailure(error_code::unreachable, "the connection was lost after the request was written", server, true);
    }
    if (stoppedBeforeSend) {
        return makeFailure(error_code::cancelled, "the call was stopped before it was sent", server, writeAllowed);
    }
    if (code == CURLE_OK) {
        return makeFailure(error_code::unreachable, "the connection was closed within the head of the reply", server, true);
    }
    if (invalidStatus) {
        return makeFailure(error_code::protocolError, "the reply has no valid status", server, true);
    }
    if (tooLarge) {
        return makeFailure(error_code::tooLarge, "the reply is too large", server, writeAllowed);
    }
    switch (code) {
    case CURLE_URL_MALFORMAT:
    case CURLE_COULDNT_RESOLVE_HOST:
        kind = error_code::invalidArgument;
        break;
    case CURLE_UNSUPPORTED_PROTOCOL: // Also reported for a reply that is not HTTP/1.x.
        kind = writeAllowed ? error_code::protocolError : error_code::invalidArgument;
        break;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_BAD_CONTENT_ENCODING:
    case CURLE_WRITE_ERROR:
        kind = error_code::protocolError;
        break;
    case CURLE_OUT_OF_MEMORY:
    case CURLE_FAILED_INIT:
        kind = error_code::internal;
        break;
    default:
        break;
    }
    return makeFailure(kind, message, server, writeAllowed);
}

void http_transfer::setCallbacks(CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBody);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeSend);
}

std::string formatAddress(const sockaddr &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.sa_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        return std::string(text.data()) + ":" + std::to_string(ntohs(v4.sin_port));
    }
    if (address.sa_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        return "[" + std::string(text.data()) + "]:" + std::to_string(ntohs(v6.sin6_port));
    }
    return {};
}

std::string serverAddress(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme) || std::any_of(url.begin(), url.end(), [](unsigned char c) { return c <= ' ' || c == 0x7f; })) {
        return {};
    }
    url.remove_prefix(scheme.size());
    return std::string(url.substr(0, url.find_first_of("/?#")));
}

std::string_view validateCall(const http_call &call)
{
    if (serverAddress(call.url).empty()) {
        return "the URL is not of the form http://address:port/path";
    }
    if (!isToken(call.method)) {
        return "the method is not valid";
    }
    if (!std::all_of(call.headers.begin(), call.headers.end(), isValidRequestField)) {
        return "a header field is not valid";
    }
    return {};
}

http_failure makeFailure(error_code code, std::string message, std::string server, bool mayHaveBeenSent)
{
    return {{code, std::move(message), "call server", std::move(server)}, mayHaveBeenSent};
}

} // namespace orioledrum
