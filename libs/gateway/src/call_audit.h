#pragma once

#include <base/ids.h>

#include <cstdint>
#include <unordered_map>

namespace orioledrum
{

class event_log;
class replica_registry;

/// Logs services to which more requests were written than calls were decided, see call_account::unaccountedWrites().
class call_audit
{
public:
    /// Both arguments must outlive this object.
    call_audit(const replica_registry &registry, event_log &log);

    /// Writes one line for each service whose number of unaccounted writes has grown since the previous check.
    void check();

private:
    const replica_registry &m_registry;
    event_log &m_log;
    std::unordered_map<service_id, std::uint64_t> m_reported; // Unaccounted writes that were logged.
};

} // namespace orioledrum
