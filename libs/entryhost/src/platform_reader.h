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

/// Reads configuration and host list from the platform's services by long polling. After a failed read, the next base URL is used.
/// Used on the control thread only.
class platform_reader
{
public:
    /// Result of a read: a newer revision, no newer revision within the wait time, or no usable answer.
    enum class outcome { answered, unchanged, failed };
    using config_callback = std::function<void(outcome, config_answer)>;
    using hosts_callback = std::function<void(outcome, host_list)>;

    /// @param client Must outlive the reader.
    /// @param configServices Base URLs; not empty.
    /// @param hostServices Base URLs; not empty.
    platform_reader(http_client &client, std::vector<std::string> configServices, std::vector<std::string> hostServices);

    /// Sends GET /v1/config?after=AFTER&waitMs=WAIT.
    /// @param after Revision that this host has; only a newer one is read.
    /// @param wait Time for which the service may delay its answer while there is no newer revision.
    /// @param done Called once; the answer is empty unless the outcome is `answered`.
    void readConfig(revision_number after, std::chrono::milliseconds wait, config_callback done);
    /// Sends GET /v1/hosts?after=AFTER&waitMs=WAIT; otherwise like readConfig().
    void readHostList(revision_number after, std::chrono::milliseconds wait, hosts_callback done);

private:
    /// @param serviceIndex Index of the base URL; incremented when the read fails.
    template<typename Answer>
    void sendRead(std::string url,
                  std::chrono::milliseconds wait,
                  std::size_t &serviceIndex,
                  expected<Answer> (*parse)(const std::string &, const std::string &),
                  std::function<void(outcome, Answer)> done);
    static std::string makeUrl(const std::vector<std::string> &services,
                               std::size_t &serviceIndex,
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
