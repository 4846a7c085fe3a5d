#include <publication_reader.h>

#include <gateway_state.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// A connection to the platform may go silent. The wait is chosen so that this shows before the shorter of two bounds has
/// passed: the time until a configuration must be in force, and the time after which a host counts as out of touch.
change_follower_settings followerSettings(const gateway_settings &settings)
{
    change_follower_settings made;
    const auto bound = std::min(settings.configurationInForce, settings.contactLoss);
    made.wait = std::max(std::chrono::milliseconds(200), bound - made.answerTime - std::chrono::milliseconds(300));
    return made;
}

} // namespace

publication_reader::publication_reader(gateway_state &state, change_source &source)
    : m_state(state)
    , m_source(source)
    , m_follower(followerSettings(state.settings))
    , m_pause(state.context)
    , m_removals(state.context)
{
}

void publication_reader::start()
{
    read();
}

void publication_reader::read()
{
    const auto next = m_follower.next();
    if (next.delay.count() == 0) {
        readNow(next);
        return;
    }
    m_pause.expires_after(next.delay);
    m_pause.async_wait([this, next](const asio::error_code &code) {
        if (!code) {
            readNow(next);
        }
    });
}

void publication_reader::readNow(const source_read &next)
{
    const auto done = [this](expected<change_page> page) { ended(std::move(page)); };
    if (next.list) {
        m_source.list(next.from, next.timeout, done);
    } else {
        m_source.changes(next.after, next.wait, next.timeout, done);
    }
}

void publication_reader::ended(expected<change_page> &&page)
{
    const auto now = monotonic_clock::now();
    if (!page) {
        m_state.metrics.platformReadFailed();
    }
    const std::string problem = page ? std::string() : page.error().describe();
    auto news = m_follower.ended(std::move(page));
    if (news.lost) {
        m_state.log.write("platform", "contactLost", {{"error", problem}, {"revision", static_cast<std::int64_t>(m_follower.revision())}});
    }
    if (news.regained) {
        m_state.log.write("platform", "contactRegained", {{"revision", static_cast<std::int64_t>(m_follower.revision())}});
        m_state.board.holdRemovals(now + m_state.settings.lapsedReturn);
    }
    apply(std::move(news), now);
    read();
}

void publication_reader::apply(follower_news &&news, time_point now)
{
    std::vector<replica_entry> entries;
    auto zonesOut = news.whole ? std::set<zone_id>() : m_zonesOut;
    for (auto &change : news.changes) {
        if (auto *routes = std::get_if<routes_published>(&change)) {
            applyTable(std::move(routes->table));
        } else if (auto *published = std::get_if<replica_published>(&change)) {
            if (news.whole) {
                entries.push_back(std::move(published->entry));
            } else {
                m_state.log.write("platform",
                                  "backendServer",
                                  {{"server", published->entry.id.str()},
                                   {"service", published->entry.service.str()},
                                   {"address", published->entry.address},
                                   {"draining", std::int64_t{published->entry.draining}},
                                   {"coldMs", std::int64_t{published->entry.coldFor.count()}}});
                m_state.board.put(std::move(published->entry), now);
            }
        } else if (const auto *withdrawn = std::get_if<replica_withdrawn>(&change)) {
            m_state.log.write("platform", "backendServerGone", {{"server", withdrawn->id.str()}});
            m_state.board.remove(withdrawn->id, now);
        } else if (const auto *zone = std::get_if<zone_changed>(&change)) {
            if (zone->takenOut) {
                zonesOut.insert(zone->zone);
            } else {
                zonesOut.erase(zone->zone);
            }
        } else if (const auto *unreadable = std::get_if<unreadable_change>(&change)) {
            m_state.metrics.unreadableChange();
            m_state.log.write("platform", "unreadable", {{"error", unreadable->reason.describe()}});
            if (!unreadable->id.empty()) {
                m_state.board.remove(unreadable->id, now);
            }
        }
    }
    if (news.whole) {
        m_state.board.replaceAll(std::move(entries), now);
        m_state.log.write("platform",
                          "listRead",
                          {{"revision", static_cast<std::int64_t>(m_follower.revision())},
                           {"backendServers", static_cast<std::int64_t>(m_state.board.size())}});
    }
    if (zonesOut != m_zonesOut) {
        m_zonesOut = zonesOut;
        std::string names;
        for (const auto &zone : zonesOut) {
            names += (names.empty() ? "" : ",") + zone.str();
        }
        m_state.log.write("platform", "zonesOut", {{"zones", names}});
        m_state.board.setExcludedZones(std::move(zonesOut), now);
    }
    scheduleRemovals();
}

void publication_reader::applyTable(std::shared_ptr<const route_table> table)
{
    // A version that arrives late by another way never replaces a newer one.
    if (m_state.table && table->version() <= m_state.table->version()) {
        return;
    }
    m_state.table = std::move(table);
    m_state.board.setTable(m_state.table);
    m_state.metrics.setConfigVersion(m_state.table->version());
    m_state.log.write("platform",
                      "routesInForce",
                      {{"version", static_cast<std::int64_t>(m_state.table->version())},
                       {"routes", static_cast<std::int64_t>(m_state.table->routes().size())}});
}

void publication_reader::scheduleRemovals()
{
    const auto now = monotonic_clock::now();
    const auto next = m_state.board.applyRemovals(now);
    if (next == time_point::max()) {
        return;
    }
    m_removals.expires_after(next - now);
    m_removals.async_wait([this](const asio::error_code &code) {
        if (!code) {
            scheduleRemovals();
        }
    });
}

} // namespace orioledrum
