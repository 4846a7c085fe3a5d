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

source_read change_follower::next() const
{
    source_read read;
    read.list = m_listing;
    read.from = m_from;
    read.after = m_revision;
    read.wait = m_listing ? std::chrono::milliseconds(0) : m_settings.wait;
    read.timeout = read.wait + m_settings.answerTime;
    if (m_failures > 0) {
        const auto doublings = std::min(m_failures - 1, 10U);
        read.delay = std::min(m_settings.retryLongest, m_settings.retryFirst * (1 << doublings));
    } else if (m_changed) {
        read.delay = m_settings.batch;
    }
    return read;
}

follower_news change_follower::ended(expected<change_page> &&page)
{
    follower_news news;
    m_changed = page && !m_listing && !page->changes.empty();
    if (!page) {
        if (page.error().code == error_code::historyLost) {
            m_listing = true;
            m_from.clear();
            m_listed.clear();
            return news;
        }
        news.lost = m_failures == 0;
        ++m_failures;
        return news;
    }
    news.regained = m_failures > 0;
    m_failures = 0;
    if (!m_listing) {
        m_revision = std::max(m_revision, page->revision);
        news.changes = std::move(page->changes);
        return news;
    }
    if (m_from.empty()) {
        m_listRevision = page->revision;
        m_listed.clear();
    }
    std::move(page->changes.begin(), page->changes.end(), std::back_inserter(m_listed));
    m_from = page->next;
    if (!m_from.empty()) {
        return news;
    }
    m_listing = false;
    m_synchronized = true;
    m_revision = m_listRevision;
    news.whole = true;
    news.changes = std::exchange(m_listed, {});
    return news;
}

} // namespace orioledrum
