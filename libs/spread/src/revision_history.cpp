#include "revision_history.h"

#include <algorithm>

namespace orioledrum
{

revision_history::revision_history(std::size_t length)
    : m_length(std::max<std::size_t>(length, 1))
{
}

void revision_history::append(revision_number revision, const config_delta &delta)
{
    entry added;
    added.revision = revision;
    for (const auto &[name, text] : delta.changed) {
        added.names.insert(name);
    }
    added.names.insert(delta.removed.begin(), delta.removed.end());
    m_entries.push_back(std::move(added));
    if (m_entries.size() > m_length) {
        m_entries.pop_front();
    }
}

config_files_message revision_history::messageSince(revision_number have, const config_files &files, std::uint64_t hash) const
{
    config_files_message message;
    message.revision = m_entries.empty() ? 0 : m_entries.back().revision;
    message.hash = hash;
    const auto base =
        std::find_if(m_entries.begin(), m_entries.end(), [have](const entry &candidate) { return candidate.revision == have; });
    if (base == m_entries.end()) {
        message.files = files;
        return message;
    }
    message.base = have;
    std::set<std::string> names;
    for (auto later = base + 1; later != m_entries.end(); ++later) {
        names.insert(later->names.begin(), later->names.end());
    }
    for (const auto &name : names) {
        if (const auto file = files.find(name); file != files.end()) {
            message.files.insert(*file);
        } else {
            message.removed.push_back(name);
        }
    }
    return message;
}

} // namespace orioledrum
