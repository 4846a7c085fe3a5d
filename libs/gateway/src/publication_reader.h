#pragma once

#include <change_sync.h>
#include <retained_state.h>

#include <base/ids.h>

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

struct gateway_state;
struct http_request;
class change_source;
class http_client;
class http_exchange;
class route_table;

/// Follows the state that the platform publishes (routes, backend servers, excluded availability zones) and applies it to the
/// gateway. Carries out what change_sync decides: reads the platform and other hosts, and answers those that read from this one.
class publication_reader
{
public:
    /// @param client Calls the readers.
    publication_reader(gateway_state &state, change_source &source, http_client &client);

    /// Starts the first read.
    void start();
    /// Refuses the questions of other hosts from now on.
    void stop();

    /// Sets the addresses of the live hosts of this host's zone.
    /// @param otherZonesKnown Hosts of other zones are known.
    void setZoneHosts(const std::vector<std::string> &addresses, bool otherZonesKnown);

    /// @return The latest moment of which it is certain that all changes published before it are known.
    [[nodiscard]] std::optional<time_point> confirmedAt() const { return m_sync.confirmedAt(); }

    /// @return True once the first state is known.
    [[nodiscard]] bool hasState() const { return m_sync.synchronized(); }

    /// Handles a state_request of another host, see change_sync::stateRequested(). Errors are answered with status 503.
    void handleStateRequest(const http_request &request, std::shared_ptr<http_exchange> exchange);
    /// Handles a change_pull or, at eraChangesPath, an era_pull of another host, see change_sync::pullReceived(). Errors are answered with
    /// status 503.
    void handlePull(const http_request &request, std::shared_ptr<http_exchange> exchange);

private:
    struct waiting_exchange {
        std::shared_ptr<http_exchange> exchange;
        enum class answer_form { changeBatch, eraBatch, stateAnswer } form = answer_form::changeBatch;
    };

    /// Carries out the actions and sets the timer for the next ones.
    void run(change_sync_actions &&actions);
    void read(const start_platform_read &action);
    void pull(const send_pull &action);
    void requestState(const send_state_request &action);
    void answer(answer_pull &&action);
    /// Applies changes, except those that an older copy of the source's state has brought back.
    void apply(apply_changes &&changes);
    void applyFiltered(apply_changes &&changes);
    void applyDueReturns();
    void applyTable(std::shared_ptr<const route_table> table, const apply_changes &changes, time_point now);
    /// Applies the deferred removals of backend servers that are due, and sets the timer for the next one.
    void applyDueRemovals();

    gateway_state &m_state;
    change_source &m_source;
    http_client &m_client;
    change_sync m_sync;
    retained_state m_retained;
    std::unordered_map<std::uint64_t, waiting_exchange> m_waitingPulls; // By the id given to change_sync.
    std::uint64_t m_lastPull = 0;
    asio::steady_timer m_tickTimer;
    asio::steady_timer m_removalTimer;
    asio::steady_timer m_returnTimer;
    std::set<zone_id> m_excludedZones;
};

/// HTTP path at which entry hosts answer a change_pull.
inline constexpr const char *changesPath = "/hosts/changes";
/// HTTP path at which they answer a state_request. Hosts of an earlier build answer it with status 400.
inline constexpr const char *statePath = "/hosts/state";
/// HTTP path at which they answer an era_pull. Hosts of an earlier build answer it with status 400.
inline constexpr const char *eraChangesPath = "/hosts/era-changes";

} // namespace orioledrum
