#pragma once

#include <gateway/change_follower.h>
#include <gateway/change_source.h>

#include <asio/steady_timer.hpp>

#include <set>
#include <vector>

namespace orioledrum
{

struct gateway_state;

/// Follows the state that the platform publishes (routes, backend servers, excluded availability zones) and applies it to the
/// gateway.
class publication_reader
{
public:
    publication_reader(gateway_state &state, change_source &source);

    /// Starts the first read. Each read, when it has completed or failed, schedules the next one.
    void start();

private:
    void scheduleRead();
    void startRead(const source_read &next);
    void readCompleted(expected<change_page> &&page);
    void apply(follower_update &&update, time_point now);
    void applyTable(std::shared_ptr<const route_table> table);
    /// Applies the deferred removals of backend servers that are due, and sets the timer for the next one.
    void applyDueRemovals();

    gateway_state &m_state;
    change_source &m_source;
    change_follower m_follower;
    asio::steady_timer m_readTimer;
    asio::steady_timer m_removalTimer;
    std::set<zone_id> m_excludedZones;
};

} // namespace orioledrum
