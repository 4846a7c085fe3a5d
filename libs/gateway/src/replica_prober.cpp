#include <replica_prober.h>

#include <gateway_state.h>
#include <transport/http_client.h>

#include <utility>

namespace orioledrum
{

namespace
{

constexpr std::chrono::milliseconds tickInterval{100};
/// A health check waits for a slot like any request, and a slow call takes about 200 ms.
constexpr std::chrono::milliseconds probeTimeout{500};
/// Path for a service that the route table does not name. Any answer shows that the backend server can be reached.
const std::string defaultHealthPath = "/health";

} // namespace

replica_prober::replica_prober(gateway_state &state, http_client &client)
    : m_state(state)
    , m_client(client)
    , m_timer(state.context)
{
}

void replica_prober::start()
{
    tick();
}

void replica_prober::tick()
{
    if (m_state.table) {
        for (const auto &server : m_state.registry.takeProbes(monotonic_clock::now())) {
            probe(server);
        }
    }
    m_timer.expires_after(tickInterval);
    m_timer.async_wait([this](const asio::error_code &code) {
        if (!code) {
            tick();
        }
    });
}

void replica_prober::probe(const replica_registry::replica_ptr &server)
{
    const auto &entry = server->entry();
    const auto *service = m_state.table->findService(entry.service);
    http_call call;
    call.url = "http://" + entry.address + (service == nullptr || service->healthPath.empty() ? defaultHealthPath : service->healthPath);
    call.timeout = probeTimeout;
    call.freshConnection = true; // A kept-alive connection may have gone silent while new ones work.
    m_client.send(std::move(call), [this, server](http_client::result result) {
        const auto now = monotonic_clock::now();
        bool answered = false;
        if (result) {
            const auto fields = m_state.codec.decodeReply(*result, {});
            answered = fields.server.empty() || fields.server == server->entry().id.str();
            if (answered) {
                m_state.backendCaller.applyNotices(*server, fields, {}, now);
            }
            if (answered && fields.coldRemaining) {
                server->setCold(*fields.coldRemaining, now);
            }
        }
        server->probeEnded(answered, now);
        m_state.log.write("probe",
                          answered ? "backendServerAnswers" : "backendServerSilent",
                          {{"server", server->entry().id.str()}, {"service", server->entry().service.str()}});
    });
}

} // namespace orioledrum
