#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace orioledrum
{

/// Answers the admin requests of orioledrumctl on a free loopback port. Accepts the token "secret" only.
class fake_admin_host
{
public:
    /// @param name Name of the host in its status and timeline.
    /// @param events JSON array of all events.
    /// @param pageLimit Maximum number of events in one answer.
    fake_admin_host(std::string name, const std::string &events, std::size_t pageLimit);
    ~fake_admin_host();
    fake_admin_host(const fake_admin_host &) = delete;
    fake_admin_host &operator=(const fake_admin_host &) = delete;

    /// @return "ip:port".
    [[nodiscard]] std::string address() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace orioledrum
