#pragma once

#include <search/call_outcome.h>
#include <search/call_run.h>
#include <search/latency_profile.h>
#include <transport/http_client.h>
#include <transport/http_request.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace orioledrum
{

class gateway_metrics;
class message_codec;

/// A caller's request in the form in which calls for it are made. Shared by all calls, since calls may outlive the request.
struct call_template {
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
    http_headers headers;
    bool atMostOnce = false;
    std::shared_ptr<latency_profile> profile; ///< Takes the times of answered calls.
};

/// Sends calls to backend servers and tells the replicas what came of them.
class backend_caller
{
public:
    /// @param outcome How the call ended.
    /// @param reply The answer, when there is one that belongs to the request.
    using callback = std::function<void(call_outcome &&outcome, http_reply &&reply)>;

    /// All must outlive the caller.
    backend_caller(http_client &client, const message_codec &codec, gateway_metrics &metrics);

    /// @param call Where to and until when.
    /// @param request What to send.
    /// @param done Called once, later.
    /// @return Handle for cancel().
    http_call_handle send(const send_call &call, std::shared_ptr<const call_template> request, callback done);

    /// Breaks a call off and closes its connection. Its callback still gets an outcome.
    void cancel(http_call_handle handle);

private:
    struct pending;
    void ended(const pending &call, http_client::result &&result, const callback &done);

    http_client &m_client;
    const message_codec &m_codec;
    gateway_metrics &m_metrics;
};

} // namespace orioledrum
