#pragma once

#include <base/error.h>

#include <chrono>
#include <string>

namespace orioledrum
{

/// Reads from the admin address of an entry host.
class admin_client
{
public:
    /// @param token Bearer token of the admin address.
    /// @param timeout Longest time for one call.
    admin_client(std::string token, std::chrono::milliseconds timeout);

    /// @param host "ip:port".
    /// @param target Path and query, for example "/admin/v1/status".
    /// @return The body of a 200 answer. The code of the error is unreachable when there was no answer at all.
    [[nodiscard]] expected<std::string> get(const std::string &host, const std::string &target) const;

private:
    std::string m_token;
    std::chrono::milliseconds m_timeout;
};

} // namespace orioledrum
