#include <gateway/change_follower.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace orioledrum
{

change_follower::change_follower(change_follower_settings settings)
    : m_settings(settings)
{
}

source_read change_follower::nextRead() const
{
    source_read read;
    read.listPage = m_listing;
    read.pageToken = m_pageToken;
    read.after = m_position.number;
    read.wait = m_listing ? std::chrono::milliseconds(0) : m_settings.wait;
    read.timeout = read.wait + m_settings.answerTimeout;
    if (m_listing) {
        // After a configuration of 1 MB was published, 300 hosts that all read it take several seconds for a page.
        read.timeout *= 1 << std::min(m_failures, 3U);
    }
    if (m_failures > 0) {
        const auto doublings = std::min(m_failures - 1, 10U);
        read.delay = std::min(m_settings.maxRetryDelay, m_settings.initialRetryDelay * (1 << doublings));
    } else if (m_lastReadHadChanges) {
        read.delay = m_batchDelay;
    }
    return read;
}

expected<change_page> change_follower::checkEra(change_page &&page, const source_read &read)
{
    if (page.era < m_latestEra) {
        return makeError(error_code::notReady, "read changes", "the answer is of an older era of the source");
    }
    const bool isNew = m_latestEra < page.era;
    m_latestEra = page.era;
    if (isNew && !(read.listPage && read.pageToken.empty())) {
        return makeError(error_code::historyLost, "read changes", "the source has come back with older state");
    }
    return std::move(page);
}

follower_update change_follower::readCompleted(expected<change_page> &&page, time_point now)
{
    follower_update update;
    m_lastReadHadChanges = page && !m_listing && !page->changes.empty();
    if (m_lastReadHadChanges) {
        // Changes that came right after the delay are part of a series.
        const bool series = now - m_lastChangesAt < m_batchDelay * 3 / 2;
        m_batchDelay = series ? std::min(m_settings.maxBatchDelay, m_batchDelay * 2) : m_settings.batchDelay;
        if (page->changes.size() >= m_settings.backlogChanges) {
            m_batchDelay = std::chrono::milliseconds(0);
        }
        m_lastChangesAt = now;
    }
    if (!page) {
        // Changes that are too many for one answer would be too many in the next read as well; the list is read in pages.
        const bool tooMany = !m_listing && page.error().code == error_code::tooLarge;
        if (page.error().code == error_code::historyLost || tooMany) {
            m_listing = true;
            m_pageToken.clear();
            m_listedChanges.clear();
            return update;
        }
        update.disconnected = m_failures == 0;
        ++m_failures;
        return update;
    }
    update.reconnected = m_failures > 0;
    m_failures = 0;
    if (!m_listing) {
        m_position.number = std::max(m_position.number, page->revision);
        update.changes = std::move(page->changes);
        return update;
    }
    if (m_pageToken.empty()) {
        m_listRevision = page->revision;
        m_listedChanges.clear();
    }
    if (m_synchronized && !page->nextPageToken.empty()) {
        // What later pages cannot change is applied at once: a list has dozens of pages.
        std::copy_if(page->changes.begin(), page->changes.end(), std::back_inserter(update.changes), [](const published_change &change) {
            const auto *zone = std::get_if<zone_changed>(&change);
            return std::holds_alternative<routes_published>(change) || (zone != nullptr && zone->excluded);
        });
    }
    std::move(page->changes.begin(), page->changes.end(), std::back_inserter(m_listedChanges));
    m_pageToken = page->nextPageToken;
    if (!m_pageToken.empty()) {
        return update;
    }
    m_listing = false;
    m_synchronized = true;
    m_position = {m_latestEra, m_listRevision};
    update.isFullSnapshot = true;
    update.changes = std::exchange(m_listedChanges, {});
    return update;
}

follower_update change_follower::listReceived(std::vector<published_change> &&changes, const published_revision &revision)
{
    follower_update update;
    if (revision < m_position) {
        return update;
    }
    update.reconnected = m_failures > 0;
    m_failures = 0;
    m_listing = false;
    m_synchronized = true;
    m_pageToken.clear();
    m_listedChanges.clear();
    m_position = revision;
    m_latestEra = std::max(m_latestEra, revision.era);
    update.isFullSnapshot = true;
    update.changes = std::move(changes);
    return update;
}

} // namespace orioledrum
