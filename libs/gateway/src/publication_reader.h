#pragma once

#include <gateway/change_follower.h>
#include <gateway/change_source.h>

#include <asio/steady_timer.hpp>

#include <set>
#include <vector>

namespace orioledrum
{

struct gateway_state;

/// Reads what the platform publishes and brings it into force: routes, backend servers, availability zones.
class publication_reader
{
public:
    publication_reader(gateway_state &state, change_source &source);

    /// Starts the first read.
    void start();

private:
    void read();
    void readNow(const source_read &next);
    void ended(expected<change_page> &&page);
    void apply(follower_news &&news, time_point now);
    void applyTable(std::shared_ptr<const route_table> table);
    void scheduleRemovals();

    gateway_state &m_state;
    change_source &m_source;
    change_follower m_follower;
    asio::steady_timer m_pause;
    asio::steady_timer m_removals;
    std::set<zone_id> m_zonesOut;
};

} // namespace orioledrum
