#include "admin_client.h"

#include <curl/curl.h>

#include <memory>

namespace orioledrum
{

namespace
{

/// Limit of one answer body; enough for the 64k events of a full event ring buffer.
constexpr std::size_t maxBodyBytes = std::size_t{64} * 1024 * 1024;

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *target)
{
    auto &body = *static_cast<std::string *>(target);
    if (body.size() + size * count > maxBodyBytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

} // namespace

admin_client::admin_client(std::string token, std::chrono::milliseconds timeout)
    : m_token(std::move(token))
    , m_timeout(timeout)
{
}

expected<std::string> admin_client::get(const std::string &host, const std::string &target) const
{
    const std::string step = "read " + target;
    const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> handle(curl_easy_init(), curl_easy_cleanup);
    if (!handle) {
        return makeError(error_code::internal, step, "cannot create an HTTP request", host);
    }
    const auto authorization = "Authorization: Bearer " + m_token;
    const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(curl_slist_append(nullptr, authorization.c_str()),
                                                                              curl_slist_free_all);
    const auto url = "http://" + host + target;
    std::string body;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(m_timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    // Entry hosts are addressed directly; a proxy from the environment would receive the token.
    curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &body);
    const auto result = curl_easy_perform(handle.get());
    if (result == CURLE_WRITE_ERROR) {
        return makeError(error_code::tooLarge, step, "the answer is too large", host);
    }
    if (result != CURLE_OK) {
        return makeError(error_code::unreachable, step, curl_easy_strerror(result), host);
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    if (status == 401) {
        return makeError(error_code::unauthorized, step, "the host rejected the token", host);
    }
    if (status != 200) {
        return makeError(error_code::protocolError, step, "the host answered with status " + std::to_string(status), host);
    }
    return body;
}

} // namespace orioledrum
