#pragma once

#include <wire/search_messages.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

class answer_sink;
class backend_pool;
struct backend_result;
struct host_shared;

/// Sends the calls of search requests to the backend servers whose groups belong to this worker. Used on the worker's thread only.
class search_call_executor
{
public:
    search_call_executor(host_shared &shared, backend_pool &pool);

    /// Sends the calls of a request and passes the answer to each call to the sink.
    /// @param request Holds only calls whose group belongs to this worker.
    void run(const search_request &request, const std::shared_ptr<answer_sink> &sink);

    /// Abandons attempts; the sink gets no answer for them. Unknown attempts are ignored, and so are discovery calls, which are still
    /// answered.
    void cancel(const request_id &request, const std::vector<std::uint64_t> &attempts);

private:
    void runCall(const search_request &request, const shard_call &call, const std::shared_ptr<answer_sink> &sink);
    /// Answers a discovery call, which asks for the snapshots that a backend server holds, from the latest report of that server.
    void answerWithReport(const shard_call &call, const std::shared_ptr<answer_sink> &sink);
    /// Sets status, code, times, report and hits of an answer.
    void fillFromResult(shard_answer &answer, backend_result result, const std::string &backendRequestId);
    /// Sets shard_answer::holder to the entry host assumed to own the group of the backend server; leaves it empty when the owner is
    /// unknown or this host.
    void setLikelyOwner(shard_answer &answer);

    host_shared &m_shared;
    backend_pool &m_pool;
    std::unordered_map<std::string, std::uint64_t> m_activeCalls; ///< X-Request-Id to call number of the backend pool.
};

} // namespace orioledrum
