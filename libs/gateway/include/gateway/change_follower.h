#pragma once

#include <base/error.h>
#include <base/monotonic_clock.h>
#include <gateway/published_change.h>
#include <gateway/published_revision.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Delays and timeouts of a change_follower.
struct change_follower_settings {
    std::chrono::milliseconds wait{2000}; ///< How long the source may hold a request open until there is a change.
    std::chrono::milliseconds answerTimeout{700}; ///< Time allowed for the answer beyond `wait`; a slow source takes about 300 ms.
    std::chrono::milliseconds batchDelay{250}; ///< Delay after a watch with changes, so that changes close together are read in one call.
    std::chrono::milliseconds maxBatchDelay{250}; ///< The delay doubles up to this while each read has changes, however many there are.
    /// A read with at least this many changes is followed by the next one at once, because there may be a backlog: the source returns
    /// 500 changes at most in one read.
    std::size_t backlogChanges = 100;
    std::chrono::milliseconds initialRetryDelay{50}; ///< Delay after the first failed read; doubles up to maxRetryDelay.
    std::chrono::milliseconds maxRetryDelay{500};
};

/// A read of the change_source, to be started by the user of a change_follower.
struct source_read {
    bool listPage = false; ///< True: read one page of the full list; false: wait for changes.
    std::string pageToken; ///< change_page::nextPageToken of the previous page; empty for the first page.
    std::uint64_t after = 0; ///< Only changes after this revision are read; not used for a list page.
    std::chrono::milliseconds wait{0}; ///< How long the source may hold the request open; 0 for a list page.
    std::chrono::milliseconds timeout{0}; ///< Maximum time until the read completes or fails.
    std::chrono::milliseconds delay{0}; ///< Time to wait before the read starts.
};

/// What a completed or failed read changed.
struct follower_update {
    bool isFullSnapshot = false; ///< `changes` is the complete published state; anything not in it was removed.
    bool reconnected = false; ///< The source answered again after failed reads.
    bool disconnected = false; ///< This read is the first of consecutive failed reads.
    std::vector<published_change> changes;
};

/// Follows the published state: reads the full list once, then waits for changes. Reads the list again when the source no
/// longer has the changes that were missed, or they are too many for one answer. At most one read is outstanding. Not thread-safe.
class change_follower
{
public:
    explicit change_follower(change_follower_settings settings);

    /// @return The read to start next.
    [[nodiscard]] source_read nextRead() const;

    /// Takes the era of an answer of the source, before readCompleted(). A new era means that the source has come back with an older copy
    /// of its state, so that its revisions cannot be compared with those read before.
    /// @param page The answer.
    /// @param read The read that it answers.
    /// @return The page; historyLost when its era is new, unless it is the first page of the list, so that the full list is read;
    /// notReady when its era is older than one seen before.
    expected<change_page> checkEra(change_page &&page, const source_read &read);

    /// Takes the result of the read that nextRead() returned.
    /// @return The changes to apply. Pages of the full list are collected and returned together with the last page; when the list is read
    /// again, the routes and the excluded zones of earlier pages are also returned at once.
    follower_update readCompleted(expected<change_page> &&page, time_point now);

    /// Takes a full list that another host has read.
    /// @param revision Revision of the list; an older one than position() is ignored.
    /// @return The changes to apply.
    follower_update listReceived(std::vector<published_change> &&changes, const published_revision &revision);

    /// @return True once the full list has been read for the first time.
    [[nodiscard]] bool synchronized() const { return m_synchronized; }
    /// @return The revision up to which all changes were read.
    [[nodiscard]] std::uint64_t revision() const { return m_position.number; }
    /// @return The same with its era.
    [[nodiscard]] const published_revision &position() const { return m_position; }
    /// @return The newest era that was seen; that of position() unless the list is being read because of a new one.
    [[nodiscard]] const std::optional<std::uint64_t> &latestEra() const { return m_latestEra; }
    /// @return The number of consecutive failed reads; reads that are followed by one of the full list at once are
    /// not counted.
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    change_follower_settings m_settings;
    bool m_listing = true; // The full list is being read; otherwise changes are watched.
    bool m_synchronized = false;
    std::string m_pageToken;
    std::uint64_t m_listRevision = 0; // Revision of the first page: changes made while later pages were read are read again.
    std::vector<published_change> m_listedChanges;
    published_revision m_position;
    std::optional<std::uint64_t> m_latestEra;
    std::uint32_t m_failures = 0;
    bool m_lastReadHadChanges = false;
    std::chrono::milliseconds m_batchDelay{0}; // Delay after the latest read with changes.
    time_point m_lastChangesAt;
};

} // namespace orioledrum
