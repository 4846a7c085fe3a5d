#pragma once

#include <change_deadlines.h>
#include <change_journal.h>
#include <change_sync_action.h>
#include <first_state.h>
#include <list_copy.h>
#include <reader_selection.h>

#include <gateway/change_follower.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace orioledrum
{

class change_source;

/// Settings of a change_sync.
struct change_sync_settings {
    std::chrono::milliseconds bound{3000}; ///< The shortest bound on any kind of change.
    /// A host that could read the platform at any time within this time counts as connected to it; the bounds hold for it.
    std::chrono::milliseconds contactTime{4000};
    std::chrono::milliseconds removalBound{3000}; ///< Bound on removals of entries.
    /// A host that starts asks a reader of its zone for the whole state before it reads the platform, see first_state.
    bool asksReadersFirst = false;
    std::chrono::milliseconds removalDeferral{2000}; ///< Entries that expired during an outage are published again within this time.
};

/// Decides what a host reads, from whom and when, so that each published change is in use within a bound.
///
/// The full list is read from the platform. Changes are read from the platform by the readers of each zone, see reader_selection, and from
/// a reader by the other hosts of the zone. What a host knows has an age, see change_deadlines, which the answers of readers carry along.
/// When it grows, the host asks the other reader and then reads the platform itself, without waiting for the end of what is outstanding;
/// so the bound holds for a host that can read the platform, however its readers fail.
///
/// A state machine without I/O: the caller carries out the returned actions in their order. Not thread-safe.
class change_sync
{
public:
    /// @param source Decodes pages that other hosts have read; it is not read from here.
    /// @param self Address of this host.
    change_sync(const change_sync_settings &settings, const change_source &source, std::string self);

    /// Starts the first read.
    change_sync_actions start(time_point now);
    /// Does what is due. To be called at nextTick().
    change_sync_actions tick(time_point now);
    /// @return When the next tick() is due.
    [[nodiscard]] time_point nextTick() const;

    /// Takes the result of a start_platform_read.
    change_sync_actions readCompleted(std::uint64_t id, expected<change_page> &&result, time_point now);
    /// Takes the result of a send_pull.
    /// @param era Era of the batch; nothing when the reader does not tell it.
    change_sync_actions
    readerAnswered(std::uint64_t id, expected<change_batch> &&batch, time_point now, std::optional<std::uint64_t> era = std::nullopt);
    /// Takes a change_pull of another host. It is answered when there is a change, when this host knows that there was none, or after its
    /// wait; with an error when this host does not read the platform itself, is out of contact with it, is stopping, or no longer has the
    /// changes.
    /// @param pull Chosen by the caller, for answer_pull.
    /// @param era Era of the state of the asking host; nothing when it is not known, because that host is of an earlier build. Such a host
    /// is answered while this host has seen a single era, and refused afterwards, because it would mix the eras.
    change_sync_actions
    pullReceived(std::uint64_t pull, const change_pull &message, time_point now, std::optional<std::uint64_t> era = std::nullopt);

    /// Takes the result of a send_state_request. @param era As for readerAnswered().
    change_sync_actions
    stateAnswered(std::uint64_t id, expected<change_batch> &&batch, time_point now, std::optional<std::uint64_t> era = std::nullopt);
    /// Takes a state_request of another host. It is answered with the whole state; without one when this host is still reading it at the
    /// end of the wait; with an error as for pullReceived().
    /// @param request Chosen by the caller, for answer_pull.
    change_sync_actions stateRequested(std::uint64_t request, const state_request &message, time_point now);

    /// Sets the addresses of the live hosts of this host's zone. A tick() is due afterwards while the first state is not known.
    /// @param otherZonesKnown Hosts of other zones are known.
    void setZoneHosts(const std::vector<std::string> &addresses, bool otherZonesKnown);
    /// @return When the platform is read for the first state if no other host has it; nothing when it is being read, or the state is known.
    [[nodiscard]] std::optional<time_point> firstReadAt() const { return m_first.readsSourceAt(); }
    /// @return True once the first state is known.
    [[nodiscard]] bool synchronized() const { return m_follower.synchronized(); }
    /// From now on, pulls are refused.
    void stop() { m_stopping = true; }

    /// @return The revision up to which all changes are known.
    [[nodiscard]] std::uint64_t revision() const { return m_follower.revision(); }
    /// @return The same with its era.
    [[nodiscard]] const published_revision &position() const { return m_follower.position(); }
    /// @return The latest moment of which it is certain that all changes published before it are known.
    [[nodiscard]] std::optional<time_point> confirmedAt() const { return m_confirmedAt; }

private:
    struct platform_read {
        source_read read;
        std::optional<std::uint64_t> era; // Of `read.after`.
        time_point startedAt;
        bool isCheck = false; // Started because of the age of the state, beside what was outstanding.
    };

    struct outstanding_pull {
        std::string reader;
        time_point sentAt;
    };

    struct waiting_pull {
        std::uint64_t pull = 0;
        std::optional<std::uint64_t> era; // Nothing: not known.
        std::uint64_t after = 0;
        time_point arrivedAt;
        time_point deadline;
    };

    /// Chooses the next read of the main sequence: of a reader, or of the platform after its delay.
    void scheduleNext(time_point now, change_sync_actions &actions);
    /// Does what first_state decides. Only while it is active.
    void advanceStart(time_point now, change_sync_actions &actions);
    void answerStateRequests(time_point now, change_sync_actions &actions);
    /// @return False when the request has to wait.
    [[nodiscard]] bool tryAnswerState(const waiting_pull &request, time_point now, change_sync_actions &actions);
    void readCopyPage(change_sync_actions &actions);
    change_sync_actions copyPageRead(expected<change_page> &&page, time_point now);
    void sendPull(const std::string &reader, time_point now, change_sync_actions &actions);
    void startMainRead(time_point now, change_sync_actions &actions);
    void startCheck(time_point now, change_sync_actions &actions);
    /// @return When the platform is to be read because of the age of the state; max() while the full list is being read.
    [[nodiscard]] time_point checkDueAt() const;
    /// Handles the result of a read of changes that another read may have overtaken.
    [[nodiscard]] expected<change_page> withoutKnownChanges(expected<change_page> &&page, const platform_read &read) const;
    void recordInJournal(bool listPage, bool isFullSnapshot, bool hasChanges, std::string encoded, time_point now);
    [[nodiscard]] expected<void> applyBatch(const outstanding_pull &pull,
                                            const change_batch &batch,
                                            const std::optional<std::uint64_t> &era,
                                            time_point now,
                                            change_sync_actions &actions);
    [[nodiscard]] expected<follower_update> decodeList(const std::vector<std::string> &pages, const std::optional<std::uint64_t> &era);
    void apply(follower_update &&update, std::string from, time_point now, change_sync_actions &actions);
    void confirm(time_point moment, time_point now);
    /// @return Until when removals may be deferred, so that a host that was connected to the platform applies each of them within its
    /// bound.
    [[nodiscard]] time_point removalsDeferredUntil(time_point wanted, time_point now) const;
    [[nodiscard]] bool canAnswerPulls(time_point now) const;
    void answerPulls(time_point now, change_sync_actions &actions);
    /// @return False when the pull has to wait.
    [[nodiscard]] bool tryAnswer(const waiting_pull &pull, time_point now, change_sync_actions &actions) const;

    change_sync_settings m_settings;
    change_deadlines m_deadlines;
    const change_source &m_source;
    change_follower m_follower;
    reader_selection m_selection;
    first_state m_first;
    list_copy m_copy; // For hosts that start.
    std::uint64_t m_copyReadId = 0; // 0: none.
    std::vector<waiting_pull> m_stateRequests;
    change_journal m_journal; // Changes read from the platform while this host reads it itself.
    std::vector<std::string> m_listPages; // Pages of the list that is being read from the platform.
    time_point m_listStartedAt; // Start of the read of its first page.
    std::optional<time_point> m_confirmedAt;
    time_point m_lastContactAt; // When the platform or a reader that is in contact with it has answered last.
    std::uint64_t m_lastId = 0;
    std::uint64_t m_mainId = 0; // The outstanding read or pull of the main sequence; 0: none.
    std::optional<time_point> m_mainDueAt; // Start of the next read of the platform of the main sequence.
    bool m_readingPlatform = false; // The latest read of the main sequence was one of the platform.
    std::map<std::uint64_t, platform_read> m_reads; // Outstanding reads of the platform.
    std::map<std::uint64_t, outstanding_pull> m_pulls; // Outstanding pulls.
    std::optional<time_point> m_nextCheckAt; // Not before this time, because one was started or has failed shortly before.
    std::uint32_t m_checkFailures = 0; // Since the state was confirmed.
    bool m_ageReported = false; // state_old was reported since the state was confirmed.
    std::vector<waiting_pull> m_waitingPulls;
    bool m_eraChanged = false; // The source has come back with older state since the first list.
    time_point m_removalsDeferredUntil; // Of this host or of the reader that it asks.
    bool m_stopping = false;
};

} // namespace orioledrum
