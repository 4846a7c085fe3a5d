#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace orioledrum
{

/// Answers the admin calls that orioledrumctl makes, on a free loopback port, with the token "secret".
class fake_admin_host
{
public:
    /// @param name Host name in the time line.
    /// @param events JSON array of all events.
    /// @param pageLimit Greatest number of events in one answer.
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
