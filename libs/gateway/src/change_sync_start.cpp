#include <change_sync.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

/// Limit on the time for which another host may have its question held.
constexpr std::chrono::seconds maxStateWait{2};
/// Time for a page of a list that is read for other hosts. A slow source takes about 300 ms; a large page passes more slowly.
constexpr std::chrono::milliseconds copyPageTimeout{1500};

} // namespace

void change_sync::setZoneHosts(const std::vector<std::string> &addresses, bool otherZonesKnown)
{
    m_selection.setZoneHosts(addresses);
    if (m_settings.asksReadersFirst) {
        m_first.setReaders(m_selection.stateCandidates(), m_selection.isReader(), otherZonesKnown);
    }
}

void change_sync::advanceStart(time_point now, change_sync_actions &actions)
{
    const auto decision = m_first.next(now);
    if (const auto *question = std::get_if<first_state::ask>(&decision)) {
        m_mainId = ++m_lastId;
        m_pulls[m_mainId] = {question->reader, now};
        actions.emplace_back(send_state_request{m_mainId, question->reader, {question->wait}, question->timeout});
    } else if (std::holds_alternative<first_state::read_source>(decision)) {
        m_first.finish();
        scheduleNext(now, actions);
    }
    answerStateRequests(now, actions);
}

change_sync_actions
change_sync::stateAnswered(std::uint64_t id, expected<change_batch> &&batch, time_point now, std::optional<std::uint64_t> era)
{
    change_sync_actions actions;
    const auto found = m_pulls.find(id);
    if (found == m_pulls.end()) {
        return actions;
    }
    const auto question = found->second;
    m_pulls.erase(found);
    if (id != m_mainId || !m_first.active()) {
        return actions; // The deadline has passed, and the list is being read.
    }
    if (batch && batch->listPages.empty()) {
        m_first.readerIsReading();
        advanceStart(now, actions);
        return actions;
    }
    const auto applied = batch ? applyBatch(question, *batch, era, now, actions) : expected<void>(tl::unexpected(batch.error()));
    if (!applied) {
        actions.emplace_back(reader_failed{question.reader, applied.error()});
        m_first.readerFailed();
        advanceStart(now, actions);
        return actions;
    }
    m_first.finish();
    scheduleNext(now, actions);
    answerStateRequests(now, actions);
    return actions;
}

change_sync_actions change_sync::stateRequested(std::uint64_t request, const state_request &message, time_point now)
{
    const auto wait = std::clamp<std::chrono::microseconds>(message.wait, std::chrono::microseconds(0), maxStateWait);
    m_stateRequests.push_back({request, std::nullopt, 0, now, now + wait});
    change_sync_actions actions;
    answerStateRequests(now, actions);
    return actions;
}

void change_sync::answerStateRequests(time_point now, change_sync_actions &actions)
{
    std::erase_if(m_stateRequests, [&](const waiting_pull &request) { return tryAnswerState(request, now, actions); });
}

bool change_sync::tryAnswerState(const waiting_pull &request, time_point now, change_sync_actions &actions)
{
    const bool starting = !m_follower.synchronized();
    if (starting ? m_stopping || (m_first.active() && !m_first.mayRead()) : !canAnswerPulls(now)) {
        actions.emplace_back(
            answer_pull{request.pull, makeError(error_code::notReady, "read state", "this host does not pass its state on now"), {}});
        return true;
    }
    const auto *list = m_journal.listPages().empty() ? nullptr : &m_journal.listPages();
    auto listRevision = m_journal.startRevision();
    auto confirmedAt = m_confirmedAt.value_or(now);
    if (!starting && list == nullptr) {
        if (m_copy.completes(m_journal, now)) {
            list = &m_copy.pages();
            listRevision = m_copy.revision();
            confirmedAt = std::max(confirmedAt, m_copy.startedAt());
        } else if (!m_copy.reading()) {
            if (!m_copy.begin(now)) {
                actions.emplace_back(
                    answer_pull{request.pull, makeError(error_code::notReady, "read state", "the list could not be read"), {}});
                return true;
            }
            readCopyPage(actions);
        }
    }
    if (starting || list == nullptr) {
        if (now < request.deadline) {
            return false;
        }
        actions.emplace_back(answer_pull{request.pull, change_batch{}, {}}); // The list is still being read.
        return true;
    }
    change_batch batch;
    batch.listPages = *list;
    batch.pages = m_journal.pagesAfter(listRevision).value_or(std::vector<std::string>());
    batch.revision = std::max(listRevision, m_journal.revision()).number;
    batch.confirmed = std::chrono::floor<std::chrono::microseconds>(confirmedAt - request.arrivedAt);
    batch.deferRemovals =
        std::max(std::chrono::microseconds(0), std::chrono::duration_cast<std::chrono::microseconds>(m_removalsDeferredUntil - now));
    actions.emplace_back(answer_pull{request.pull, std::move(batch), listRevision.era});
    return true;
}

void change_sync::readCopyPage(change_sync_actions &actions)
{
    m_copyReadId = ++m_lastId;
    actions.emplace_back(start_platform_read{m_copyReadId, m_copy.nextRead(copyPageTimeout)});
}

change_sync_actions change_sync::copyPageRead(expected<change_page> &&page, time_point now)
{
    change_sync_actions actions;
    m_copyReadId = 0;
    if (!page) {
        actions.emplace_back(platform_read_failed{page.error(), false});
    }
    m_copy.pageRead(std::move(page));
    if (m_copy.reading()) {
        readCopyPage(actions);
    }
    answerStateRequests(now, actions);
    return actions;
}

} // namespace orioledrum
