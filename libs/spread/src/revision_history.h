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

/// Records the names of the files that changed in each of the latest revisions. The contents of the files are not kept,
/// because 64 sets of up to 1 MB would exceed the memory limit of a host.
class revision_history
{
public:
    /// @param maxEntries Maximum number of revisions kept; 0 counts as 1.
    explicit revision_history(std::size_t maxEntries);

    /// Appends a revision and drops the oldest one when there are too many.
    /// @param delta Difference from the previously appended revision.
    void append(revision_number revision, const config_delta &delta);

    /// Builds the message that updates a peer to the latest revision.
    /// @param knownRevision Revision that the peer has.
    /// @param files The files of the latest revision.
    /// @param hash Hash of `files`.
    /// @return The files that changed since `knownRevision`, or all files when `knownRevision` is not in the history.
    [[nodiscard]] config_files_message messageSince(revision_number knownRevision, const config_files &files, std::uint64_t hash) const;

private:
    struct entry {
        revision_number revision = 0;
        std::set<std::string> changedNames; ///< Files added, changed or removed since the previous entry.
    };

    std::size_t m_maxEntries;
    std::deque<entry> m_entries;
};

} // namespace orioledrum
