#include <change_journal.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

void change_journal::restart(const published_revision &revision, std::vector<std::string> listPages)
{
    m_listPages = std::move(listPages);
    m_restartedAt.reset();
    m_entries.clear();
    m_bytes = 0;
    m_era = revision.era;
    m_start = revision.number;
    m_revision = revision.number;
}

void change_journal::add(std::uint64_t revision, std::string page, time_point now)
{
    if (!page.empty()) {
        m_bytes += page.size();
        m_entries.push_back({revision, std::move(page), now});
    }
    m_revision = std::max(m_revision, revision);
    if (!m_restartedAt) {
        m_restartedAt = now;
    }
    dropOld(now);
}

void change_journal::dropOld(time_point now)
{
    if (m_restartedAt && now - *m_restartedAt > maxAge) {
        m_listPages.clear();
    }
    while (!m_entries.empty() && (now - m_entries.front().addedAt > maxAge || m_bytes > maxBytes)) {
        m_listPages.clear();
        m_start = m_entries.front().revision;
        m_bytes -= m_entries.front().page.size();
        m_entries.pop_front();
    }
}

std::optional<std::vector<std::string>> change_journal::pagesAfter(const published_revision &revision) const
{
    if (revision.era != m_era || revision.number < m_start) {
        return std::nullopt;
    }
    std::vector<std::string> pages;
    for (const auto &entry : m_entries) {
        if (entry.revision > revision.number) {
            pages.push_back(entry.page);
        }
    }
    return pages;
}

} // namespace orioledrum
