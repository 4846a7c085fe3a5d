#pragma once

#include <base/error.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// HTTP client for the admin address of entry hosts.
class admin_client
{
public:
    /// @param token Bearer token of the admin address.
    /// @param timeout Timeout of one request, including the connection setup; 0 means none.
    admin_client(std::string token, std::chrono::milliseconds timeout);

    /// @param host "ip:port".
    /// @param target Path and query, for example "/admin/v1/status".
    /// @return The body of an answer with status 200. The error code is unreachable when no complete answer arrived in time,
    /// unauthorized when the host rejected the token, protocolError for any other status, and tooLarge for a body above 64 MiB.
    [[nodiscard]] expected<std::string> get(const std::string &host, const std::string &target) const;

private:
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

} // namespace orioledrum
