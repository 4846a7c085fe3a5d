#pragma once

#include "platform_messages.h"

#include <base/error.h>

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
    using config_callback = std::function<void(outcome, config_answer)>;
    using hosts_callback = std::function<void(outcome, host_list)>;

    platform_reader(http_client &client, std::vector<std::string> configServices, std::vector<std::string> hostServices);

    /// GET /v1/config?after=AFTER&waitMs=WAIT.
    void readConfig(revision_number after, std::chrono::milliseconds wait, config_callback done);
    /// GET /v1/hosts?after=AFTER&waitMs=WAIT.
    void readHostList(revision_number after, std::chrono::milliseconds wait, hosts_callback done);

private:
    template<typename Answer>
    void read(std::string url,
              std::chrono::milliseconds wait,
              std::size_t &index,
              expected<Answer> (*parse)(const std::string &, const std::string &),
              std::function<void(outcome, Answer)> done);
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
