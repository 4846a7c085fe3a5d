#include <gateway/gateway.h>

#include <call_audit.h>
#include <caller_front.h>
#include <gateway_state.h>
#include <host_link.h>
#include <open_request.h>
#include <publication_reader.h>
#include <replica_prober.h>
#include <request_caps.h>
#include <route_explainer.h>
#include <status_handler.h>
#include <transport/http_server.h>
#include <usage_caps.h>

#include <asio/io_context.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace orioledrum
{

namespace
{

/// Time after the stop signal until the load balancer sends no new connections: two failed readiness checks, one second apart.
constexpr std::chrono::milliseconds balancerDrainTime{2300};
/// From then on no caller's connection is accepted, and connections to all ports of this host are closed when they have been idle for
/// this time; see http_server::closeIdleConnections().
constexpr std::chrono::milliseconds idleGrace{100};
/// Time after the last accepted connection until its request has been read, or it was closed because none came.
constexpr std::chrono::milliseconds lastRequestTime = 2 * idleGrace;
constexpr std::chrono::milliseconds stopPollInterval{50};
/// Interval at which canServe() is evaluated; the load balancer checks readiness once a second.
constexpr std::chrono::milliseconds canServeInterval{200};
/// Limits of the connections of callers until the configuration with its limits is known. All requests are refused until then.
constexpr std::chrono::milliseconds idleTimeBeforeRoutes{60'000};
/// Retry-After of a request for which there is no memory. Requests that make progress take less, and those without are closed.
constexpr std::chrono::milliseconds retryAfterNoMemory{1000};
/// Buffers of a connection in the kernel, which also take memory of the machine; set when its size is known. Requests and responses of
/// usual size fit in.
constexpr int socketBufferBytes = 64 * 1024;
/// Requests that still have no answer get a failure this long before the process is killed.
constexpr std::chrono::milliseconds stopMargin{500};
/// Time after these answers until the event loop stops, in which they leave this host.
constexpr std::chrono::milliseconds flushTime{200};

} // namespace

class gateway::impl
{
public:
    impl(asio::io_context &context,
         const gateway_settings &settings,
         const message_codec &codec,
         change_source &source,
         http_client &client)
        : m_state(context, settings, codec, client)
        , m_callAudit(m_state.registry, m_state.log)
        , m_usage(m_state, client)
        , m_front(m_state, m_usage)
        , m_reader(m_state, source, client)
        , m_explainer(m_state, m_reader, m_usage)
        , m_status(m_state, m_explainer)
        , m_link(m_state, client, m_reader, m_usage, settings.seeds)
        , m_prober(m_state, client)
        , m_canServeTimer(context)
        , m_stopTimer(context)
    {
    }

    expected<void> start()
    {
        auto &settings = m_state.settings;
        const auto maxConnections = settings.maxDescriptors / 3; // All servers together; the HTTP client keeps up to another third.
        for (const auto &[address, handler, server] :
             {std::tuple{&settings.callers, static_cast<http_handler *>(&m_front), &m_callerServer},
              std::tuple{&settings.readiness, static_cast<http_handler *>(&m_status), &m_readinessServer},
              std::tuple{&settings.hosts, static_cast<http_handler *>(&m_link), &m_hostServer},
              std::tuple{&settings.metrics, static_cast<http_handler *>(&m_status), &m_metricsServer}}) {
            http_server_settings serverSettings;
            serverSettings.address = address->address;
            serverSettings.port = address->port;
            serverSettings.maxConnections = maxConnections;
            serverSettings.memoryBudget = settings.callerMemoryBytes();
            serverSettings.socketBufferBytes = settings.memoryBytes ? socketBufferBytes : 0;
            if (server == &m_callerServer) {
                // The limits of the configuration apply, which may change while the server runs; see caller_front and closeConnections().
                serverSettings.maxHeadBytes = maxReadHeadBytes;
                serverSettings.maxBodyBytes = maxReadBodyBytes;
                serverSettings.requestLimits = [this] { return callerLimits(); };
                serverSettings.refuse = [this](int status) { return refuseUnread(status); };
                serverSettings.idleTimeout = std::nullopt;
                serverSettings.writeTimeout = std::nullopt;
            } else if (server == &m_hostServer) {
                serverSettings.maxBodyBytes = 2 * maxReadHeadBytes + maxReadBodyBytes; // A part of a search holds the caller's request.
            }
            auto created = http_server::createOn(m_state.context, serverSettings, *handler);
            if (!created) {
                return tl::unexpected(created.error());
            }
            *server = std::move(*created);
        }
        m_state.log.write("main",
                          "started",
                          {{"zone", settings.zone.str()},
                           {"callers", settings.callers.text()},
                           {"hosts", settings.hosts.text()},
                           {"platform", settings.platform}});
        m_link.start();
        m_reader.start();
        m_prober.start();
        updateCanServeNow();
        return {};
    }

    void reload(const gateway_settings &settings)
    {
        m_state.log.write("main", "reloaded", {{"seeds", static_cast<std::int64_t>(settings.seeds.size())}});
        m_link.setSeeds(settings.seeds);
    }

    void stop()
    {
        if (std::exchange(m_state.stopping, true)) {
            return;
        }
        m_stopStartedAt = monotonic_clock::now();
        m_state.log.write("main", "stopping", {{"openRequests", static_cast<std::int64_t>(m_callerServer->openRequests())}});
        m_link.leave();
        m_reader.stop();
        m_callerServer->startDraining();
        pollStop();
    }

private:
    /// Updates gateway_state::canServeNow and audits the calls, now and every canServeInterval. While this host is stopping, or has a route
    /// table but cannot serve, it closes the connections of callers after each answer, so that they reconnect to other hosts.
    void updateCanServeNow()
    {
        m_state.canServeNow = m_state.canServe(monotonic_clock::now());
        m_callAudit.check();
        m_callerServer->setDraining(m_state.stopping || (m_state.table && !m_state.canServeNow));
        closeConnections();
        m_canServeTimer.expires_after(canServeInterval);
        m_canServeTimer.async_wait([this](const asio::error_code &code) {
            if (!code) {
                updateCanServeNow();
            }
        });
    }

    /// Closes the connections of callers that are idle, or do not go on with a request or a response, for longer than the configuration
    /// allows.
    void closeConnections()
    {
        if (m_state.stopping) {
            return;
        }
        http_request_limits limits;
        limits.idleTimeout = idleTimeBeforeRoutes;
        if (m_state.table) {
            limits = m_state.table->limits();
        }
        if (limits.idleTimeout.count() > 0) {
            m_callerServer->closeIdleConnections(limits.idleTimeout);
            m_callerServer->closeStalledResponses(limits.idleTimeout);
        }
        const bool headsAreLimited = limits.headerTimeout.count() > 0;
        m_callerServer->closeUnfinishedRequests(headsAreLimited ? limits.headerTimeout : limits.idleTimeout, limits.idleTimeout);
    }

    /// @return The limits of the configuration in force; before the first one, those that hold when a configuration gives none.
    [[nodiscard]] request_limits callerLimits() const
    {
        const auto limits = m_state.table ? m_state.table->limits() : http_request_limits();
        return {limits.maxHeaderBytes, limits.maxBodyBytes};
    }

    /// @return The response to a request of a caller that was refused before it was read whole.
    http_response refuseUnread(int status)
    {
        constexpr int noMemory = 503;
        m_state.metrics.requestEnded("none", status == noMemory ? "noMemory" : "tooLarge", std::chrono::microseconds(0));
        if (status == noMemory) {
            return m_state.codec.encodeNotRun({error_code::overloaded, "there is no memory for a request of this size", "read request", {}},
                                              retryAfterNoMemory);
        }
        return m_state.codec.encodeFailure(status, {error_code::tooLarge, "the request exceeds a limit", "read request", {}});
    }

    void pollStop()
    {
        const auto elapsed = monotonic_clock::now() - m_stopStartedAt;
        if (elapsed >= balancerDrainTime) {
            if (!std::exchange(m_stoppedListening, true)) {
                m_callerServer->stopListening();
            }
            m_callerServer->closeIdleConnections(idleGrace);
        }
        // Other hosts may still wait for parts of searches that this host gathers.
        const bool finished =
            elapsed >= balancerDrainTime + lastRequestTime && m_callerServer->openRequests() == 0 && m_hostServer->openRequests() == 0;
        const auto lastAnswerTime = m_state.settings.stopTime - stopMargin;
        if (!finished && elapsed >= lastAnswerTime) {
            // A request leaves the map when it ends.
            for (const auto &[key, open] : std::vector(m_state.openRequests.begin(), m_state.openRequests.end())) {
                if (const auto request = open.lock()) {
                    request->giveUp();
                }
            }
        }
        if (finished || elapsed >= lastAnswerTime + flushTime) {
            m_state.log.write("main", "stopped", {{"openRequests", static_cast<std::int64_t>(m_callerServer->openRequests())}});
            m_state.context.stop();
            return;
        }
        m_stopTimer.expires_after(stopPollInterval);
        m_stopTimer.async_wait([this](const asio::error_code &code) {
            if (!code) {
                pollStop();
            }
        });
    }

    gateway_state m_state;
    call_audit m_callAudit;
    usage_caps m_usage;
    caller_front m_front;
    publication_reader m_reader;
    route_explainer m_explainer;
    status_handler m_status;
    host_link m_link;
    replica_prober m_prober;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_readinessServer;
    std::unique_ptr<http_server> m_hostServer;
    std::unique_ptr<http_server> m_metricsServer;
    asio::steady_timer m_canServeTimer;
    asio::steady_timer m_stopTimer;
    time_point m_stopStartedAt;
    bool m_stoppedListening = false;
};

expected<std::unique_ptr<gateway>> gateway::create(asio::io_context &context,
                                                   const gateway_settings &settings,
                                                   const message_codec &codec,
                                                   change_source &source,
                                                   http_client &client)
{
    auto implementation = std::make_unique<impl>(context, settings, codec, source, client);
    if (auto started = implementation->start(); !started) {
        return tl::unexpected(started.error());
    }
    return std::unique_ptr<gateway>(new gateway(std::move(implementation)));
}

gateway::gateway(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

gateway::~gateway() = default;

void gateway::reload(const gateway_settings &settings)
{
    m_impl->reload(settings);
}

void gateway::stop()
{
    m_impl->stop();
}

} // namespace orioledrum
