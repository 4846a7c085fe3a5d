#pragma once

#include <transport/http_client.h>

#include <curl/curl.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct sockaddr;

namespace orioledrum
{

struct curl_socket;

/// State of one call from send() to its result, or to the end of its transfer when it was cancelled with
/// closeOnCancel = false.
struct http_transfer {
    std::uint64_t id = 0;
    CURL *easy = nullptr;
    http_call call;
    http_client::callback done; ///< Empty after the result was reported.
    http_reply reply;
    std::string server; ///< "address:port" from the URL.
    std::chrono::steady_clock::time_point deadline;
    curl_slist *headers = nullptr;
    void *client = nullptr; ///< The http_client::impl that runs the transfer.
    std::shared_ptr<curl_socket> lastSocket; ///< The socket most recently opened for this call.
    std::size_t headerBytes = 0;
    std::size_t maxReplyBytes = 0;
    std::size_t maxBufferedBytes = 0;
    std::size_t *bufferedBytes = nullptr; ///< Size of the reply bodies of all transfers of the client.
    bool writeAllowed = false; ///< libcurl was allowed to write the request, so it may have been sent.
    bool stoppedBeforeSend = false; ///< beforeSend returned false.
    bool resendRefused = false; ///< libcurl tried to send the request a second time.
    bool headComplete = false; ///< The empty line after the head of the final reply was received.
    bool tooLarge = false; ///< The reply exceeded a limit.
    bool invalidStatus = false; ///< The reply has a status that HTTP does not define.
    std::array<char, CURL_ERROR_SIZE> errorText{}; ///< Written by libcurl.

    http_transfer() = default;
    http_transfer(const http_transfer &) = delete;
    http_transfer &operator=(const http_transfer &) = delete;
    ~http_transfer();

    void discardReply();
    /// Appends to the reply body. @return False when the reply exceeds a limit.
    bool appendBody(const char *data, std::size_t length);
    /// Takes one line of the reply's head: the status line, a header field or the empty line at the end.
    /// @return False when the reply exceeds a limit or its status is not valid.
    bool receiveHeadLine(std::string_view line);
    /// @return The failure of this call, which libcurl has ended with the given code.
    [[nodiscard]] http_failure describeFailure(CURLcode code) const;

    /// Sets the callbacks of a handle that are the same for every call; they expect a transfer as their user data.
    static void setCallbacks(CURL *easy);

private:
    std::size_t m_accountedBytes = 0; // Bytes of the reply that are counted in *bufferedBytes.
};

/// @return "address:port" of a socket address; empty when it is not an IP address.
std::string formatAddress(const sockaddr &address);

/// @return "address:port" of an http URL: the part between the scheme and the path, which is not checked further. Empty when
/// the scheme is not http or the URL contains spaces or control characters.
std::string serverAddress(std::string_view url);

/// @return Why the call is invalid, or empty when it is valid.
std::string_view validateCall(const http_call &call);

http_failure makeFailure(error_code code, std::string message, std::string server, bool mayHaveBeenSent);

} // namespace orioledrum
