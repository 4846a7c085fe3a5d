#pragma once

#include <gateway/published_change.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace orioledrum
{

/// Reads the state that the platform publishes. Callbacks are called asynchronously on the calling thread, and never after
/// destruction.
class change_source
{
public:
    using callback = std::function<void(expected<change_page>)>;

    virtual ~change_source() = default;

    /// Reads one page of the complete published state.
    /// @param pageToken change_page::nextPageToken of the previous page; empty for the first page.
    /// @param timeout Maximum time until the callback.
    virtual void list(const std::string &pageToken, std::chrono::milliseconds timeout, callback done) = 0;

    /// Reads the changes after a revision; when there are none yet, waits up to `wait` for the next one. Fails with historyLost when the
    /// source no longer has all changes after that revision, and with tooLarge when they do not fit into one answer.
    /// @param after Revision up to which all changes were already read.
    /// @param wait How long the source may hold the request open until there is a change.
    /// @param timeout Maximum time until the callback.
    virtual void watch(std::uint64_t after, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, callback done) = 0;

    /// Closes the connections that no read uses. They may have gone silent; the next read opens another one.
    virtual void closeIdleConnections() = 0;

    /// Decodes changes that another host has read from the same source.
    /// @param encoded change_page::encoded of the other host.
    /// @param after Changes up to this revision are left out.
    [[nodiscard]] virtual expected<change_page> decode(const std::string &encoded, std::uint64_t after) const = 0;

    /// Decodes a page of the full list that another host has read from the same source.
    [[nodiscard]] virtual expected<change_page> decodeList(const std::string &encoded) const = 0;
};

} // namespace orioledrum
