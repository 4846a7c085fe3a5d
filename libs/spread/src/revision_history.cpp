#include "revision_history.h"

#include <algorithm>

namespace orioledrum
{

revision_history::revision_history(std::size_t maxEntries)
    : m_maxEntries(std::max<std::size_t>(maxEntries, 1))
{
}

void revision_history::append(revision_number revision, const config_delta &delta)
{
    entry newest;
    newest.revision = revision;
    for (const auto &[name, text] : delta.changed) {
        newest.changedNames.insert(name);
    }
    newest.changedNames.insert(delta.removed.begin(), delta.removed.end());
    m_entries.push_back(std::move(newest));
    if (m_entries.size() > m_maxEntries) {
        m_entries.pop_front();
    }
}

config_files_message revision_history::messageSince(revision_number knownRevision, const config_files &files, std::uint64_t hash) const
{
    config_files_message message;
    message.revision = m_entries.empty() ? 0 : m_entries.back().revision;
    message.hash = hash;
    const auto base = std::find_if(
        m_entries.begin(), m_entries.end(), [knownRevision](const entry &candidate) { return candidate.revision == knownRevision; });
    if (base == m_entries.end()) {
        message.files = files;
        return message;
    }
    message.base = knownRevision;
    std::set<std::string> changedNames;
    for (auto later = base + 1; later != m_entries.end(); ++later) {
        changedNames.insert(later->changedNames.begin(), later->changedNames.end());
    }
    for (const auto &name : changedNames) {
        if (const auto file = files.find(name); file != files.end()) {
            message.files.insert(*file);
        } else {
            message.removed.push_back(name);
        }
    }
    return message;
}

} // namespace orioledrum
