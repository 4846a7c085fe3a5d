#pragma once

#include <base/random_source.h>
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

class event_log;
class gateway_metrics;
class message_codec;
class replica_registry;
struct backend_fields;

/// Content that is sent with every call for one caller's request. Shared by the request and its calls.
struct call_template {
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
    http_headers headers;
    bool atMostOnce = false; ///< Each call is sent on a new connection.
    std::shared_ptr<latency_profile> profile; ///< Records the latency of served calls.
};

/// Sends calls to backend servers and records each request that is written in the account of its service. Updates each replica with the
/// outcome of its calls and the state that it reports.
class backend_caller
{
public:
    /// @param outcome How the call ended.
    /// @param reply The answer; empty when none was received.
    using callback = std::function<void(call_outcome &&outcome, http_reply &&reply)>;

    /// All arguments must outlive this object.
    backend_caller(http_client &client, const message_codec &codec, replica_registry &registry, gateway_metrics &metrics, event_log &log);

    /// @param call Backend server and deadline.
    /// @param request Content of the call.
    /// @param done Called exactly once, asynchronously.
    /// @return Handle for cancel().
    http_call_handle send(const send_call &call, std::shared_ptr<const call_template> request, callback done);

    /// Applies what an answer, also one to a status check, says about further requests to the backend server.
    /// @param requestId For the log; empty for a status check.
    void applyNotices(replica &server, const backend_fields &fields, const std::string &requestId, time_point now);

    /// Cancels a call and closes its connection. The callback of the call is still called.
    void cancel(http_call_handle handle);

private:
    struct outstanding_call;
    void callEnded(const outstanding_call &call, http_client::result &&result, const callback &done);

    http_client &m_client;
    const message_codec &m_codec;
    replica_registry &m_registry;
    gateway_metrics &m_metrics;
    event_log &m_log;
    random_source m_random;
};

} // namespace orioledrum
