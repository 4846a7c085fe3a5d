#pragma once

#include <base/error.h>
#include <gateway/published_change.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

/// Settings of a change_follower.
struct change_follower_settings {
    std::chrono::milliseconds wait{2000}; ///< How long the source may wait for a change before it answers.
    std::chrono::milliseconds answerTime{700}; ///< Time allowed for an answer beyond `wait`; a slow source takes some 300 ms.
    std::chrono::milliseconds batch{250}; ///< Pause after changes, so that those that come together are read together.
    std::chrono::milliseconds retryFirst{50}; ///< Pause after a failed read; doubles up to retryLongest.
    std::chrono::milliseconds retryLongest{500};
};

/// What the owner of a change_follower has to do next.
struct source_read {
    bool list = false; ///< True: read a page of the list; false: wait for changes.
    std::string from; ///< Start of the page.
    std::uint64_t after = 0; ///< Changes after this revision.
    std::chrono::milliseconds wait{0};
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds delay{0}; ///< Pause before the read.
};

/// What a read has brought.
struct follower_news {
    bool whole = false; ///< `changes` is all that is published; anything else is gone.
    bool regained = false; ///< The source answers again after a failure.
    bool lost = false; ///< The source stopped answering with this read.
    std::vector<published_change> changes;
};

/// Keeps a copy of what is published up to date: reads the whole list once, then follows the changes, and reads the list
/// again when changes were missed. One read is open at a time. Not thread-safe.
class change_follower
{
public:
    explicit change_follower(change_follower_settings settings);

    /// @return The read to start now.
    [[nodiscard]] source_read next() const;

    /// A read has ended.
    follower_news ended(expected<change_page> &&page);

    /// @return True after the whole list was read once.
    [[nodiscard]] bool synchronized() const { return m_synchronized; }
    /// @return The revision up to which everything is known.
    [[nodiscard]] std::uint64_t revision() const { return m_revision; }
    /// @return Failed reads in a row.
    [[nodiscard]] std::uint32_t failures() const { return m_failures; }

private:
    change_follower_settings m_settings;
    bool m_listing = true;
    bool m_synchronized = false;
    std::string m_from;
    std::uint64_t m_listRevision = 0; // Of the first page: changes made while the other pages were read are read again.
    std::vector<published_change> m_listed;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0;
    bool m_changed = false; // The last read brought changes.
};

} // namespace orioledrum
