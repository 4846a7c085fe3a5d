#include <call_audit.h>

#include <limits/call_account.h>
#include <logging/event_log.h>
#include <search/replica_registry.h>

namespace orioledrum
{

call_audit::call_audit(const replica_registry &registry, event_log &log)
    : m_registry(registry)
    , m_log(log)
{
}

void call_audit::check()
{
    m_registry.visitAccounts([this](const service_id &service, const call_account &account) {
        const auto unaccounted = account.unaccountedWrites();
        if (unaccounted == 0) {
            return;
        }
        auto &reported = m_reported[service];
        if (unaccounted <= reported) {
            return;
        }
        reported = unaccounted;
        m_log.write("calls",
                    "unaccountedWrites",
                    {{"service", service.str()},
                     {"unaccounted", static_cast<std::int64_t>(unaccounted)},
                     {"first", static_cast<std::int64_t>(account.firstCalls())},
                     {"extra", static_cast<std::int64_t>(account.extraCalls())},
                     {"written", static_cast<std::int64_t>(account.writes())},
                     {"notWritten", static_cast<std::int64_t>(account.notWritten())}});
    });
}

} // namespace orioledrum
