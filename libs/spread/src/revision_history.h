#pragma once

#include <base/ids.h>
#include <config/config_files.h>
#include <wire/control_messages.h>

#include <cstddef>
#include <deque>
#include <set>
#include <string>

namespace orioledrum
{

/// Remembers which files changed in the latest revisions. Only names are kept, since the texts of 64 sets of up to
/// 1 MB would take more memory than a host may use.
class revision_history
{
public:
    /// @param length Number of revisions kept.
    explicit revision_history(std::size_t length);

    /// Appends a revision.
    /// @param delta What changed since the revision appended before.
    void append(revision_number revision, const config_delta &delta);

    /// @param have Revision of the receiver.
    /// @param files The files of the latest revision.
    /// @return The files that changed since `have`, or the whole set when `have` is not in the history.
    [[nodiscard]] config_files_message messageSince(revision_number have, const config_files &files, std::uint64_t hash) const;

private:
    struct entry {
        revision_number revision = 0;
        std::set<std::string> names; ///< Files that changed or went since the entry before.
    };

    std::size_t m_length;
    std::deque<entry> m_entries;
};

} // namespace orioledrum
