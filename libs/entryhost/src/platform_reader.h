#pragma once

#include <config/config_files.h>
#include <wire/control_messages.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace orioledrum
{

class http_client;

/// Reads the platform's services, one base URL after the other when one fails. Belongs to the control thread.
class platform_reader
{
public:
    /// Result of a read.
    enum class outcome { answered, unchanged, failed };
    using config_callback = std::function<void(outcome, revision_number, config_files)>;
    using hosts_callback = std::function<void(outcome, const host_list &)>;

    platform_reader(http_client &client, std::vector<std::string> configServices, std::vector<std::string> hostServices);

    /// GET /v1/config?after=AFTER&waitMs=WAIT.
    void readConfig(revision_number after, std::chrono::milliseconds wait, config_callback done);
    /// GET /v1/hosts?after=AFTER&waitMs=WAIT.
    void readHosts(revision_number after, std::chrono::milliseconds wait, hosts_callback done);

private:
    static std::string url(const std::vector<std::string> &services,
                           std::size_t &index,
                           const char *path,
                           revision_number after,
                           std::chrono::milliseconds wait);

    http_client &m_client;
    std::vector<std::string> m_configServices;
    std::vector<std::string> m_hostServices;
    std::size_t m_configIndex = 0;
    std::size_t m_hostIndex = 0;
};

} // namespace orioledrum
