#include <list_copy.h>

#include <utility>

namespace orioledrum
{

bool list_copy::begin(time_point now)
{
    if (now - m_startedAt < minInterval) {
        return false;
    }
    m_reading = true;
    m_complete = false;
    m_pageToken.clear();
    m_pages.clear();
    m_startedAt = now;
    return true;
}

source_read list_copy::nextRead(std::chrono::milliseconds timeout) const
{
    source_read read;
    read.listPage = true;
    read.pageToken = m_pageToken;
    read.timeout = timeout;
    return read;
}

void list_copy::pageRead(expected<change_page> &&page)
{
    const bool isFirst = m_pageToken.empty();
    if (!page || (!isFirst && page->era != m_revision.era)) {
        m_reading = false;
        m_pages.clear();
        return;
    }
    if (isFirst) {
        m_revision = {page->era, page->revision};
    }
    m_pages.push_back(std::move(page->encoded));
    m_pageToken = std::move(page->nextPageToken);
    m_reading = !m_pageToken.empty();
    m_complete = !m_reading;
}

bool list_copy::completes(const change_journal &journal, time_point now) const
{
    return m_complete && now - m_startedAt <= change_journal::maxAge && journal.pagesAfter(m_revision).has_value();
}

} // namespace orioledrum
