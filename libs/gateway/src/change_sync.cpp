#include <change_sync.h>

#include <gateway/change_source.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace orioledrum
{

namespace
{

/// Upper limit of the delay after a read with changes, however long the bound is: new backend servers wait for it.
constexpr std::chrono::milliseconds maxBatchDelay{1000};
/// Least time for a pull, when the state is already old: an answer without a wait, from a busy host.
constexpr std::chrono::milliseconds minPullTimeout{250};
/// Limit on the wait that another host may ask for.
constexpr std::chrono::seconds maxPullWait{30};
/// Delay after the first failed check; doubles with each up to the interval of unanswered ones.
constexpr std::chrono::milliseconds initialCheckDelay{50};
/// A reader's state that is older is as good as none; the sum with a time stays in range.
constexpr std::chrono::hours maxStateAge{1};
/// Outstanding reads of the platform because of the age of the state. More would only load a platform that answers slowly.
constexpr std::size_t maxChecks = 3;
/// Removals are in use this much before their bound, which ends when the last request arrives at the backend server.
constexpr std::chrono::milliseconds removalMargin{200};

std::chrono::milliseconds roundedUp(time_point::duration duration)
{
    return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

change_follower_settings followerSettings(const change_deadlines &deadlines)
{
    change_follower_settings result;
    result.wait = deadlines.wait;
    result.maxBatchDelay = std::clamp(deadlines.bound / 8, result.batchDelay, maxBatchDelay);
    return result;
}

} // namespace

change_sync::change_sync(const change_sync_settings &settings, const change_source &source, std::string self)
    : m_settings(settings)
    , m_deadlines(change_deadlines::within(settings.bound))
    , m_source(source)
    , m_follower(followerSettings(m_deadlines))
    , m_selection(std::move(self))
    , m_first(first_state::timing::within(settings.bound))
{
}

change_sync_actions change_sync::start(time_point now)
{
    change_sync_actions actions;
    if (m_settings.asksReadersFirst) {
        m_first.start(now);
        advanceStart(now, actions);
    } else {
        scheduleNext(now, actions);
    }
    return actions;
}

time_point change_sync::nextTick() const
{
    auto next = std::min(m_mainDueAt.value_or(time_point::max()), checkDueAt());
    for (const auto *waiting : {&m_waitingPulls, &m_stateRequests}) {
        for (const auto &pull : *waiting) {
            next = std::min(next, pull.deadline);
        }
    }
    return std::min(next, m_first.nextTick());
}

change_sync_actions change_sync::tick(time_point now)
{
    change_sync_actions actions;
    if (m_first.active()) {
        advanceStart(now, actions);
    }
    if (m_mainDueAt && now >= *m_mainDueAt) {
        startMainRead(now, actions);
    }
    if (now >= checkDueAt()) {
        startCheck(now, actions);
    }
    answerPulls(now, actions);
    answerStateRequests(now, actions);
    return actions;
}

time_point change_sync::checkDueAt() const
{
    if (!m_confirmedAt || m_follower.nextRead().listPage || m_reads.size() > maxChecks) {
        return time_point::max();
    }
    return std::max(*m_confirmedAt + m_deadlines.ownReadAge, m_nextCheckAt.value_or(time_point::min()));
}

void change_sync::scheduleNext(time_point now, change_sync_actions &actions)
{
    m_mainId = 0;
    m_mainDueAt.reset();
    const auto next = m_follower.nextRead();
    if (const auto reader = next.listPage ? std::nullopt : m_selection.readerToAsk(now)) {
        sendPull(*reader, now, actions);
        return;
    }
    auto delay = next.delay;
    if (!next.listPage && m_confirmedAt && m_follower.failures() == 0) {
        // The next read has to end before the state is older than after a read without changes.
        delay = std::clamp(roundedUp(*m_confirmedAt + m_deadlines.wait - m_deadlines.shortWait - now), std::chrono::milliseconds(0), delay);
    }
    if (delay.count() == 0) {
        startMainRead(now, actions);
    } else {
        m_mainDueAt = now + delay;
    }
}

void change_sync::startMainRead(time_point now, change_sync_actions &actions)
{
    m_mainDueAt.reset();
    m_readingPlatform = true;
    auto read = m_follower.nextRead();
    read.delay = std::chrono::milliseconds(0);
    if (read.listPage) {
        if (read.pageToken.empty()) {
            m_listPages.clear();
            m_listStartedAt = now;
        }
    } else {
        if (m_journal.revision() != m_follower.position()) {
            m_journal.restart(m_follower.position()); // This host has read from another one meanwhile; the journal lacks those changes.
        }
        const auto answerTime = read.timeout - read.wait;
        const auto untilOld = roundedUp(m_confirmedAt.value_or(now) + m_deadlines.wait - now);
        read.wait = std::clamp(untilOld, m_deadlines.shortWait, m_deadlines.wait);
        read.timeout = read.wait + answerTime;
    }
    m_mainId = ++m_lastId;
    m_reads[m_mainId] = {read, m_follower.position().era, now};
    m_nextCheckAt = now + m_deadlines.ownReadInterval;
    const bool old = m_confirmedAt && now - *m_confirmedAt >= m_deadlines.nextReaderAge;
    actions.emplace_back(start_platform_read{m_mainId, read, old || m_follower.failures() > 0});
}

void change_sync::startCheck(time_point now, change_sync_actions &actions)
{
    if (!std::exchange(m_ageReported, true)) {
        actions.emplace_back(state_old{std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_confirmedAt)});
    }
    source_read read;
    read.after = m_follower.revision();
    read.timeout = m_deadlines.ownReadTimeout;
    const auto id = ++m_lastId;
    m_reads[id] = {read, m_follower.position().era, now, true};
    m_nextCheckAt = now + m_deadlines.ownReadInterval;
    actions.emplace_back(start_platform_read{id, read, true});
}

void change_sync::sendPull(const std::string &reader, time_point now, change_sync_actions &actions)
{
    m_readingPlatform = false;
    answerPulls(now, actions); // Refuses them: a host that reads from another one does not keep what it passes on.
    const auto untilNextReader = m_confirmedAt ? roundedUp(*m_confirmedAt + m_deadlines.nextReaderAge - now) : minPullTimeout;
    const auto timeout = std::max(minPullTimeout, untilNextReader);
    m_mainId = ++m_lastId;
    m_pulls[m_mainId] = {reader, now};
    actions.emplace_back(
        send_pull{m_mainId, reader, {m_follower.revision(), timeout - m_deadlines.answerTime}, m_follower.position().era, timeout});
}

expected<change_page> change_sync::withoutKnownChanges(expected<change_page> &&page, const platform_read &read) const
{
    if (!page || read.read.listPage || read.read.after == m_follower.revision()) {
        return std::move(page);
    }
    if (page->revision <= m_follower.revision()) {
        page->changes.clear();
        page->encoded.clear();
        return std::move(page);
    }
    auto decoded = m_source.decode(page->encoded, m_follower.revision());
    if (decoded) {
        decoded->era = page->era;
        decoded->encoded = std::move(page->encoded);
    }
    return decoded;
}

change_sync_actions change_sync::readCompleted(std::uint64_t id, expected<change_page> &&result, time_point now)
{
    if (id != 0 && id == m_copyReadId) {
        return copyPageRead(std::move(result), now);
    }
    change_sync_actions actions;
    const auto found = m_reads.find(id);
    if (found == m_reads.end()) {
        return actions;
    }
    const auto read = found->second;
    m_reads.erase(found);
    const bool isMain = id == m_mainId;
    const bool listing = m_follower.nextRead().listPage;
    if (read.read.listPage ? !isMain : listing) {
        return actions; // Another read has found meanwhile that the list is needed, or no longer needed.
    }
    if (!read.read.listPage && read.era != m_follower.position().era) {
        return actions; // Its revision is one of an earlier era, so its changes may not be all that are missing.
    }
    if (result) {
        result = m_follower.checkEra(std::move(*result), read.read);
    }
    auto page = withoutKnownChanges(std::move(result), read);
    if (!page) {
        const bool needsList = page.error().code == error_code::historyLost || page.error().code == error_code::tooLarge;
        actions.emplace_back(platform_read_failed{page.error(), isMain && !needsList && m_follower.failures() == 0});
        if (isMain || needsList) {
            m_follower.readCompleted(std::move(page), now);
            m_reads.erase(m_mainId);
            scheduleNext(now, actions);
        } else {
            const auto doublings = std::min(m_checkFailures++, 10U);
            const auto delay = std::min(m_deadlines.ownReadInterval, initialCheckDelay * (1 << doublings));
            m_nextCheckAt = std::min(m_nextCheckAt.value_or(time_point::max()), now + delay);
        }
        answerPulls(now, actions);
        return actions;
    }
    // The platform answers a wait without changes at its end; with changes, the time of its answer is not known.
    const bool hasChanges = !page->changes.empty();
    const auto waitEnd = read.startedAt + read.read.wait;
    const auto knownTo = read.read.listPage ? m_listStartedAt : (!hasChanges && now >= waitEnd ? waitEnd : read.startedAt);
    std::string encoded = std::exchange(page->encoded, {});
    const auto before = m_follower.position();
    const bool hadState = m_follower.synchronized();
    auto update = m_follower.readCompleted(std::move(page), now);
    m_eraChanged = m_eraChanged || (hadState && before.era != m_follower.position().era);
    recordInJournal(read.read.listPage, update.isFullSnapshot, hasChanges, std::move(encoded), now);
    const bool complete = !read.read.listPage || update.isFullSnapshot;
    apply(std::move(update), read.read.listPage ? "list" : (read.isCheck ? "check" : "watch"), now, actions);
    if (complete) {
        confirm(knownTo, now);
    }
    m_lastContactAt = now;
    if (isMain || m_readingPlatform) {
        m_reads.erase(m_mainId); // An earlier read that is still outstanding when a check is answered has probably been lost.
        scheduleNext(now, actions);
    }
    answerPulls(now, actions);
    answerStateRequests(now, actions);
    return actions;
}

void change_sync::recordInJournal(bool listPage, bool isFullSnapshot, bool hasChanges, std::string encoded, time_point now)
{
    if (listPage) {
        m_listPages.push_back(std::move(encoded));
        if (isFullSnapshot) {
            m_journal.restart(m_follower.position(), std::exchange(m_listPages, {}));
        }
    } else if (m_readingPlatform) {
        m_journal.add(m_follower.revision(), hasChanges ? std::move(encoded) : std::string(), now);
    }
}

change_sync_actions
change_sync::readerAnswered(std::uint64_t id, expected<change_batch> &&batch, time_point now, std::optional<std::uint64_t> era)
{
    change_sync_actions actions;
    const auto found = m_pulls.find(id);
    if (found == m_pulls.end()) {
        return actions;
    }
    const auto pull = found->second;
    m_pulls.erase(found);
    m_journal.dropOld(now);
    if (id != m_mainId) {
        return actions; // A read has found meanwhile that the full list is needed.
    }
    const auto confirmedBefore = m_confirmedAt;
    const auto positionBefore = m_follower.position();
    const auto applied = batch ? applyBatch(pull, *batch, era, now, actions) : expected<void>(tl::unexpected(batch.error()));
    if (!applied) {
        m_selection.failed(pull.reader, now);
        actions.emplace_back(reader_failed{pull.reader, applied.error()});
    } else if (m_confirmedAt == confirmedBefore && m_follower.position() == positionBefore) {
        m_selection.failed(pull.reader, now);
        actions.emplace_back(reader_failed{pull.reader, {error_code::notReady, "its state is not newer", "read changes", pull.reader}});
    }
    scheduleNext(now, actions);
    return actions;
}

expected<void> change_sync::applyBatch(const outstanding_pull &pull,
                                       const change_batch &batch,
                                       const std::optional<std::uint64_t> &era,
                                       time_point now,
                                       change_sync_actions &actions)
{
    if (era < m_follower.position().era) {
        return makeError(error_code::notReady, "read changes", "the state of the reader is of an older or unknown era", pull.reader);
    }
    if (era != m_follower.position().era && batch.listPages.empty()) {
        return makeError(error_code::historyLost, "read changes", "the reader has not passed on the list of its era", pull.reader);
    }
    const auto eraBefore = m_follower.position().era;
    const bool hadState = m_follower.synchronized();
    follower_update update;
    if (!batch.listPages.empty()) {
        auto list = decodeList(batch.listPages, era);
        if (!list) {
            return tl::unexpected(list.error());
        }
        update = std::move(*list);
        m_eraChanged = m_eraChanged || (hadState && eraBefore != m_follower.position().era);
    }
    change_page page;
    page.revision = batch.revision;
    page.era = era;
    for (const auto &encoded : batch.pages) {
        auto decoded = m_source.decode(encoded, m_follower.revision());
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        std::move(decoded->changes.begin(), decoded->changes.end(), std::back_inserter(page.changes));
    }
    if (batch.deferRemovals.count() > 0) {
        const auto deferral = std::min<std::chrono::microseconds>(batch.deferRemovals, m_settings.removalDeferral);
        m_removalsDeferredUntil = removalsDeferredUntil(now + deferral, now);
    }
    if (update.isFullSnapshot) {
        apply(std::move(update), pull.reader, now, actions);
        m_journal.restart(m_follower.position(), batch.listPages);
        m_journal.add(m_follower.revision(), {}, now);
        for (const auto &encoded : batch.pages) {
            m_journal.add(batch.revision, encoded, now);
        }
    }
    apply(m_follower.readCompleted(std::move(page), now), pull.reader, now, actions);
    confirm(pull.sentAt + std::clamp<std::chrono::microseconds>(batch.confirmed, -maxStateAge, maxPullWait), now);
    m_lastContactAt = now;
    return {};
}

expected<follower_update> change_sync::decodeList(const std::vector<std::string> &pages, const std::optional<std::uint64_t> &era)
{
    std::vector<published_change> changes;
    std::uint64_t revision = 0;
    for (std::size_t i = 0; i < pages.size(); ++i) {
        auto decoded = m_source.decodeList(pages[i]);
        if (!decoded) {
            return tl::unexpected(decoded.error());
        }
        revision = i == 0 ? decoded->revision : revision; // Changes made while later pages were read come again.
        std::move(decoded->changes.begin(), decoded->changes.end(), std::back_inserter(changes));
    }
    const published_revision position{era, revision};
    if (position < m_follower.position()) {
        return makeError(error_code::historyLost, "read changes", "the list of the reader is older than the state of this host");
    }
    return m_follower.listReceived(std::move(changes), position);
}

void change_sync::apply(follower_update &&update, std::string from, time_point now, change_sync_actions &actions)
{
    if (update.reconnected) {
        m_removalsDeferredUntil = removalsDeferredUntil(now + m_settings.removalDeferral, now);
    }
    actions.emplace_back(
        apply_changes{std::move(update), m_follower.position().era, std::move(from), m_confirmedAt, m_removalsDeferredUntil});
}

void change_sync::confirm(time_point moment, time_point now)
{
    moment = std::min(moment, now);
    if (m_confirmedAt && moment <= *m_confirmedAt) {
        return;
    }
    m_confirmedAt = moment;
    if (now - moment < m_deadlines.ownReadAge) {
        m_ageReported = false;
        m_checkFailures = 0;
        m_nextCheckAt.reset();
    }
}

time_point change_sync::removalsDeferredUntil(time_point wanted, time_point now) const
{
    // The bound of a host that was out of contact for that long begins now.
    if (!m_confirmedAt || now - m_lastContactAt >= m_settings.contactTime) {
        return wanted;
    }
    return std::min(wanted, *m_confirmedAt + m_settings.removalBound - removalMargin);
}

bool change_sync::canAnswerPulls(time_point now) const
{
    return m_readingPlatform && m_follower.synchronized() && m_follower.failures() == 0 && !m_stopping && m_confirmedAt
        && now - *m_confirmedAt < m_deadlines.ownReadAge;
}

change_sync_actions
change_sync::pullReceived(std::uint64_t pull, const change_pull &message, time_point now, std::optional<std::uint64_t> era)
{
    const auto wait = std::clamp<std::chrono::microseconds>(message.wait, std::chrono::microseconds(0), maxPullWait);
    m_waitingPulls.push_back({pull, era, message.after, now, now + wait});
    change_sync_actions actions;
    answerPulls(now, actions);
    return actions;
}

void change_sync::answerPulls(time_point now, change_sync_actions &actions)
{
    std::erase_if(m_waitingPulls, [&](const waiting_pull &pull) { return tryAnswer(pull, now, actions); });
}

bool change_sync::tryAnswer(const waiting_pull &pull, time_point now, change_sync_actions &actions) const
{
    const auto refuse = [&](error_code code, const char *reason) {
        actions.emplace_back(answer_pull{pull.pull, makeError(code, "read changes", reason), std::nullopt});
        return true;
    };
    if (!canAnswerPulls(now)) {
        return refuse(error_code::notReady, "this host does not pass changes on now");
    }
    const auto era = m_journal.revision().era;
    if (!pull.era && m_eraChanged) {
        return refuse(error_code::notReady, "the era of the asking host's state is not known");
    }
    if (pull.era > era) {
        return refuse(error_code::notReady, "the state of this host is of an older era");
    }
    auto pages = m_journal.pagesAfter({pull.era ? pull.era : era, pull.after});
    change_batch batch;
    if (!pages && !m_journal.listPages().empty()) {
        batch.listPages = m_journal.listPages();
        pages = m_journal.pagesAfter(m_journal.startRevision());
    }
    if (!pages) {
        return refuse(error_code::historyLost, "these changes are no longer kept");
    }
    if (pages->empty() && batch.listPages.empty() && *m_confirmedAt <= pull.arrivedAt && now < pull.deadline) {
        return false;
    }
    batch.revision = m_journal.revision().number;
    batch.confirmed = std::chrono::floor<std::chrono::microseconds>(*m_confirmedAt - pull.arrivedAt);
    batch.deferRemovals =
        std::max(std::chrono::microseconds(0), std::chrono::duration_cast<std::chrono::microseconds>(m_removalsDeferredUntil - now));
    batch.pages = std::move(*pages);
    actions.emplace_back(answer_pull{pull.pull, std::move(batch), m_journal.revision().era});
    return true;
}

} // namespace orioledrum
