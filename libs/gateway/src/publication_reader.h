#pragma once

#include <change_journal.h>
#include <reader_selection.h>

#include <gateway/change_follower.h>
#include <gateway/change_source.h>
#include <transport/http_client.h>

#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace orioledrum
{

struct gateway_state;
struct change_batch;
struct http_request;
class http_exchange;

/// Follows the state that the platform publishes (routes, backend servers, excluded availability zones) and applies it to the
/// gateway.
///
/// The full list is read from the platform. Changes are read from the platform by the readers of each zone, see reader_selection, and
/// from a reader by the other hosts of the zone. A host whose reader fails reads the platform itself at once.
class publication_reader
{
public:
    /// @param client Calls the readers.
    publication_reader(gateway_state &state, change_source &source, http_client &client);

    /// Starts the first read. Each read, when it has completed or failed, schedules the next one.
    void start();

    /// Sets the addresses of the live hosts of this host's zone.
    void setZoneHosts(const std::vector<std::string> &addresses) { m_selection.setZoneHosts(addresses); }

    /// Handles a change_pull of another host. It is answered when there is a change, or after its wait; with status 503 when this host
    /// does not read the platform itself, is out of contact with it, is stopping, or no longer has the changes.
    void handlePull(const http_request &request, std::shared_ptr<http_exchange> exchange);

private:
    struct waiting_pull {
        std::uint64_t after = 0;
        std::shared_ptr<http_exchange> exchange;
        time_point deadline;
    };

    void scheduleRead();
    void startRead(const source_read &next);
    void askReader(const std::string &reader);
    void readerAnswered(const std::string &reader, http_client::result &&result);
    /// Applies the list and the changes of a batch. @return The reason when nothing could be applied.
    [[nodiscard]] expected<void> applyBatch(const change_batch &batch);
    /// Decodes and applies a full list that a reader has passed on.
    [[nodiscard]] expected<void> applyList(const std::vector<std::string> &pages, time_point now);
    /// Handles the end of a read of the platform.
    void readCompleted(expected<change_page> &&page);
    /// @return True when other hosts may read the changes from here.
    [[nodiscard]] bool canAnswerPulls() const;
    /// Answers the waiting pulls for which there are changes or whose wait is over; all of them when canAnswerPulls() is false.
    void answerPulls(time_point now);
    /// @return False when the pull has to wait.
    [[nodiscard]] bool tryAnswer(const waiting_pull &pull, time_point now) const;
    void apply(follower_update &&update, time_point now);
    void applyTable(std::shared_ptr<const route_table> table);
    /// Applies the deferred removals of backend servers that are due, and sets the timer for the next one.
    void applyDueRemovals();

    gateway_state &m_state;
    change_source &m_source;
    http_client &m_client;
    change_follower m_follower;
    reader_selection m_selection;
    change_journal m_journal; ///< Changes read from the platform while this host reads it itself.
    bool m_readingPlatform = false; ///< The latest read was one of the platform.
    std::string m_readFrom; ///< "list", "watch" or the address of the reader that is being read.
    time_point m_lastReadAt; ///< When the latest successful read ended.
    std::vector<std::string> m_listPages; ///< Pages of the list that is being read from the platform.
    std::vector<waiting_pull> m_waitingPulls;
    time_point m_removalsDeferredUntil; ///< Of this host or of the reader that it asks.
    std::chrono::milliseconds m_pullWait; ///< Time for which a reader holds back its answer.
    asio::steady_timer m_pullTimer;
    asio::steady_timer m_readTimer;
    asio::steady_timer m_removalTimer;
    std::set<zone_id> m_excludedZones;
};

/// HTTP path at which entry hosts answer a change_pull.
inline constexpr const char *changesPath = "/hosts/changes";

} // namespace orioledrum
