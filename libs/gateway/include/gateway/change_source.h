#pragma once

#include <gateway/published_change.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace orioledrum
{

/// Reads what the platform publishes. Callbacks are called later, on the caller's thread, and not after destruction.
class change_source
{
public:
    using callback = std::function<void(expected<change_page>)>;

    virtual ~change_source() = default;

    /// Reads one page of all that is published now.
    /// @param from change_page::next of the page before; empty for the first page.
    /// @param timeout Longest time until the callback.
    virtual void list(const std::string &from, std::chrono::milliseconds timeout, callback done) = 0;

    /// Waits for changes.
    /// @param after Changes after this revision are wanted.
    /// @param wait How long the source may wait for a change.
    /// @param timeout Longest time until the callback. Fails with historyLost when the changes are no longer known.
    virtual void changes(std::uint64_t after, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, callback done) = 0;
};

} // namespace orioledrum
