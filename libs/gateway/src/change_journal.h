#pragma once

#include <base/monotonic_clock.h>
#include <gateway/published_revision.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// The latest pages of changes that this host has read from the platform, for the hosts that read them from here. A host that has got its
/// list from a reader has the pages of that list until they are too old, in case it becomes a reader. Not thread-safe.
class change_journal
{
public:
    /// Pages older than this are dropped. Hosts that read from here ask at least every 2 s; one that lags further reads the platform.
    static constexpr std::chrono::seconds maxAge{20};
    /// Limit on the size of all pages together.
    static constexpr std::size_t maxBytes = std::size_t{4} * 1024 * 1024;

    /// Discards all pages, after a read of the full list.
    /// @param revision Revision of the list.
    /// @param listPages The pages of the list, if this host has them.
    void restart(const published_revision &revision, std::vector<std::string> listPages = {});

    /// Adds a page of changes, or advances the revision when `page` is empty.
    /// @param revision The page contains all changes after revision() up to this one, in the same era.
    void add(std::uint64_t revision, std::string page, time_point now);

    /// Drops pages that are older than maxAge; add() does so as well.
    void dropOld(time_point now);

    /// @return The pages that contain all changes after a revision, and possibly earlier ones; nothing when the journal does not
    /// reach back that far or is of another era.
    [[nodiscard]] std::optional<std::vector<std::string>> pagesAfter(const published_revision &revision) const;

    /// @return The pages of the list from which the journal was restarted, while it contains all changes since; otherwise empty.
    /// They are kept for maxAge, for hosts that miss changes because the platform has dropped its history.
    [[nodiscard]] const std::vector<std::string> &listPages() const { return m_listPages; }
    /// @return Revision after which the journal contains all changes.
    [[nodiscard]] published_revision startRevision() const { return {m_era, m_start}; }

    /// @return The revision up to which all changes are known.
    [[nodiscard]] published_revision revision() const { return {m_era, m_revision}; }

private:
    struct recorded_page {
        std::uint64_t revision = 0; // The page contains all changes up to this one since the page before.
        std::string page;
        time_point addedAt;
    };

    std::deque<recorded_page> m_entries;
    std::vector<std::string> m_listPages;
    std::optional<time_point> m_restartedAt; // Set by the first add() after restart().
    std::size_t m_bytes = 0;
    std::optional<std::uint64_t> m_era; // Of all revisions here.
    std::uint64_t m_start = 0; // The journal contains all changes after this revision.
    std::uint64_t m_revision = 0;
};

} // namespace orioledrum
