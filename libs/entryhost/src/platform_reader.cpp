#include "platform_reader.h"

#include "platform_messages.h"

#include <logging/component_logger.h>
#include <transport/http_client.h>

namespace orioledrum
{

namespace
{

const component_logger logger("platform");

/// Time for which this host waits for an answer in addition to the wait time of the long poll.
constexpr std::chrono::milliseconds answerTimeout{900};

} // namespace

platform_reader::platform_reader(http_client &client, std::vector<std::string> configServices, std::vector<std::string> hostServices)
    : m_client(client)
    , m_configServices(std::move(configServices))
    , m_hostServices(std::move(hostServices))
{
}

std::string platform_reader::makeUrl(const std::vector<std::string> &services,
                                     std::size_t &serviceIndex,
                                     const char *path,
                                     revision_number after,
                                     std::chrono::milliseconds wait)
{
    return services[serviceIndex % services.size()] + path + "?after=" + std::to_string(after) + "&waitMs=" + std::to_string(wait.count());
}

template<typename Answer>
void platform_reader::sendRead(std::string url,
                               std::chrono::milliseconds wait,
                               std::size_t &serviceIndex,
                               expected<Answer> (*parse)(const std::string &, const std::string &),
                               std::function<void(outcome, Answer)> done)
{
    http_call call;
    call.url = url;
    call.timeout = wait + answerTimeout;
    m_client.send(std::move(call),
                  [requestUrl = std::move(url), &serviceIndex, parse, done = std::move(done)](const http_client::result &result) {
                      if (result && result->status == 304) {
                          done(outcome::unchanged, {});
                          return;
                      }
                      if (result && result->status == 200) {
                          auto answer = parse(result->body, requestUrl);
                          if (answer) {
                              done(outcome::answered, std::move(*answer));
                              return;
                          }
                          logger.warning("malformed answer from a platform service", {{"error", answer.error().describe()}});
                      } else {
                          logger.debug("no usable answer from a platform service", {{"service", requestUrl}});
                      }
                      ++serviceIndex;
                      done(outcome::failed, {});
                  });
}

void platform_reader::readConfig(revision_number after, std::chrono::milliseconds wait, config_callback done)
{
    sendRead<config_answer>(
        makeUrl(m_configServices, m_configIndex, "/v1/config", after, wait), wait, m_configIndex, &parseConfigAnswer, std::move(done));
}

void platform_reader::readHostList(revision_number after, std::chrono::milliseconds wait, hosts_callback done)
{
    sendRead<host_list>(makeUrl(m_hostServices, m_hostIndex, "/v1/hosts", after, wait), wait, m_hostIndex, &parseHostList, std::move(done));
}

} // namespace orioledrum
