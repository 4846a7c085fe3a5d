#include "host_shared.h"

#include "worker.h"

#include <orders/ticket_store.h>

namespace orioledrum
{

host_shared::host_shared(entry_host_settings values)
    : settings(std::move(values))
{
}

host_shared::~host_shared() = default;

void host_shared::record(event_kind kind, std::string subject, std::string detail, request_id request)
{
    event entry;
    entry.kind = kind;
    entry.peer = std::move(subject);
    entry.detail = std::move(detail);
    entry.request = std::move(request);
    events.record(std::move(entry));
}

} // namespace orioledrum
