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

/// Runs the calls of search_requests on the backend servers that this worker owns. Belongs to the worker's thread.
class owner_calls
{
public:
    owner_calls(host_shared &shared, backend_pool &pool);

    /// Runs the calls of a request; each is answered through the sink.
    /// @param request Only calls whose group belongs to this worker.
    void run(const search_request &request, const std::shared_ptr<answer_sink> &sink);

    /// Ends attempts whose answers are no longer wanted.
    void cancel(const request_id &request, const std::vector<std::uint64_t> &attempts);

private:
    void runCall(const search_request &request, const shard_call &call, const std::shared_ptr<answer_sink> &sink);
    void answerDiscovery(const shard_call &call, const std::shared_ptr<answer_sink> &sink);
    void fill(shard_answer &answer, backend_result result, const std::string &remoteId);
    void setHolder(shard_answer &answer);

    host_shared &m_shared;
    backend_pool &m_pool;
    std::unordered_map<std::string, std::uint64_t> m_active; ///< Call in the pool by the id sent to the backend server.
};

} // namespace orioledrum
