#pragma once

#include <change_journal.h>

#include <base/error.h>
#include <base/monotonic_clock.h>
#include <gateway/change_follower.h>
#include <gateway/published_change.h>
#include <gateway/published_revision.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace orioledrum
{

/// The pages of a full list that a reader of a zone reads for hosts that start, beside the changes that it follows. They are not applied
/// here. Not thread-safe.
class list_copy
{
public:
    /// Least time between two reads, so that hosts that ask again do not load a source in trouble, or one that has come back with older
    /// state while the journal is still of the earlier era.
    static constexpr std::chrono::milliseconds minInterval{1000};

    /// Begins to read, unless a read has begun shortly before. @return False in that case.
    bool begin(time_point now);
    [[nodiscard]] bool reading() const { return m_reading; }
    /// @param timeout Maximum time for a page.
    /// @return The next page to read. Only while reading().
    [[nodiscard]] source_read nextRead(std::chrono::milliseconds timeout) const;
    /// Takes the result of the read that nextRead() returned.
    void pageRead(expected<change_page> &&page);

    /// @return True when the pages and the changes of the journal together are a whole state.
    [[nodiscard]] bool completes(const change_journal &journal, time_point now) const;
    [[nodiscard]] const std::vector<std::string> &pages() const { return m_pages; }
    /// @return Revision of the list: its first page has all changes up to it.
    [[nodiscard]] const published_revision &revision() const { return m_revision; }
    /// @return The list has all changes published before this time.
    [[nodiscard]] time_point startedAt() const { return m_startedAt; }

private:
    bool m_reading = false;
    bool m_complete = false;
    std::string m_pageToken;
    std::vector<std::string> m_pages;
    published_revision m_revision;
    time_point m_startedAt;
};

} // namespace orioledrum
