#include "platform_reader.h"

#include "platform_messages.h"

#include <logging/part_logger.h>
#include <transport/http_client.h>

namespace orioledrum
{

namespace
{

const part_logger logger("platform");

/// Time for the answer itself, on top of the wait that was asked for.
constexpr std::chrono::milliseconds answerTime{900};

} // namespace

platform_reader::platform_reader(http_client &client, std::vector<std::string> configServices, std::vector<std::string> hostServices)
    : m_client(client)
    , m_configServices(std::move(configServices))
    , m_hostServices(std::move(hostServices))
{
}

std::string platform_reader::url(const std::vector<std::string> &services,
                                 std::size_t &index,
                                 const char *path,
                                 revision_number after,
                                 std::chrono::milliseconds wait)
{
    return services[index % services.size()] + path + "?after=" + std::to_string(after) + "&waitMs=" + std::to_string(wait.count());
}

void platform_reader::readConfig(revision_number after, std::chrono::milliseconds wait, config_callback done)
{
    http_call call;
    call.url = url(m_configServices, m_configIndex, "/v1/config", after, wait);
    call.timeout = wait + answerTime;
    const auto peer = call.url;
    m_client.send(std::move(call), [this, peer, done = std::move(done)](const http_client::result &result) {
        if (result && result->status == 304) {
            done(outcome::unchanged, 0, {});
            return;
        }
        if (result && result->status == 200) {
            if (auto answer = parseConfigAnswer(result->body, peer)) {
                done(outcome::answered, answer->revision, std::move(answer->files));
                return;
            } else {
                logger.warning("the configuration service sent a malformed answer", {{"error", answer.error().describe()}});
            }
        } else {
            logger.debug("the configuration service did not answer", {{"service", peer}});
        }
        ++m_configIndex;
        done(outcome::failed, 0, {});
    });
}

void platform_reader::readHosts(revision_number after, std::chrono::milliseconds wait, hosts_callback done)
{
    http_call call;
    call.url = url(m_hostServices, m_hostIndex, "/v1/hosts", after, wait);
    call.timeout = wait + answerTime;
    const auto peer = call.url;
    m_client.send(std::move(call), [this, peer, done = std::move(done)](const http_client::result &result) {
        if (result && result->status == 304) {
            done(outcome::unchanged, {});
            return;
        }
        if (result && result->status == 200) {
            if (auto list = parseHostList(result->body, peer)) {
                done(outcome::answered, *list);
                return;
            } else {
                logger.warning("the host list service sent a malformed answer", {{"error", list.error().describe()}});
            }
        } else {
            logger.debug("the host list service did not answer", {{"service", peer}});
        }
        ++m_hostIndex;
        done(outcome::failed, {});
    });
}

} // namespace orioledrum
