#include "simulated_zone.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace orioledrum
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds slowAnswerDelay{600};
constexpr milliseconds slowEventCost{120};
/// Time between two complete exchanges of membership while hosts start.
constexpr milliseconds gossipPeriod{250};

std::string addressOf(std::size_t host)
{
    return "10.0.0." + std::to_string(host) + ":1";
}

std::uint64_t numberIn(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

} // namespace

simulated_zone::simulated_zone(std::size_t hosts, const change_sync_settings &settings, const timing &times, const start_options &starting)
    : m_settings(settings)
    , m_times(times)
    , m_starting(starting)
    , m_hosts(hosts)
{
    for (std::size_t host = 0; host < hosts; ++host) {
        startProcess(host, starting.stagger * host);
    }
    // Membership tells those that have started of the later ones.
    for (milliseconds time = gossipPeriod; starting.peersKnownAfter.count() > 0 && time < starting.stagger * hosts + gossipPeriod;
         time += gossipPeriod) {
        at(m_now + time, [this] {
            for (std::size_t host = 0; host < m_hosts.size(); ++host) {
                if (m_hosts[host].startedAt + m_starting.peersKnownAfter <= m_now) {
                    deliver(host, [this, host](change_sync &sync) {
                        setPeers(host, 1);
                        return sync.synchronized() ? change_sync_actions() : sync.tick(m_now);
                    });
                }
            }
        });
    }
}

void simulated_zone::startProcess(std::size_t host, milliseconds delay)
{
    auto &starting = m_hosts[host];
    starting.sync = std::make_unique<change_sync>(m_settings, m_source, addressOf(host));
    ++starting.process;
    ++starting.tickGeneration;
    starting.faultEnds.clear();
    starting.connectionOpenedAt = time_point();
    starting.busyUntil = m_now;
    starting.state.clear();
    starting.startedAt = m_now + delay;
    starting.readyAt = time_point::max();
    const auto peersAfter = m_starting.peersKnownAfter;
    if (peersAfter.count() == 0) {
        setPeers(host, 1);
    }
    at(m_now + delay,
       [this, host, process = starting.process] { deliverTo(host, process, [this](change_sync &sync) { return sync.start(m_now); }); });
    for (const std::size_t oneIn : {4U, 1U}) {
        if (peersAfter.count() > 0) {
            at(m_now + delay + peersAfter / static_cast<int>(oneIn), [this, host, oneIn, process = starting.process] {
                deliverTo(host, process, [this, host, oneIn](change_sync &sync) {
                    setPeers(host, oneIn);
                    return sync.tick(m_now);
                });
            });
        }
    }
}

void simulated_zone::setPeers(std::size_t host, std::size_t oneIn)
{
    std::vector<std::string> addresses;
    for (std::size_t peer = 0; peer < m_hosts.size(); ++peer) {
        if ((peer + host) % oneIn == 0 && (m_starting.peersKnownAfter.count() == 0 || m_hosts[peer].startedAt <= m_now)) {
            addresses.push_back(addressOf(peer));
        }
    }
    m_hosts[host].sync->setZoneHosts(addresses, m_starting.otherZonesKnown);
}

void simulated_zone::restart(std::size_t host)
{
    startProcess(host, milliseconds(0));
}

void simulated_zone::deliverTo(std::size_t host, std::uint64_t process, const host_event &handle)
{
    if (m_hosts[host].process == process) {
        deliver(host, handle);
    }
}

void simulated_zone::runUntil(time_point end)
{
    while (!m_events.empty() && m_events.top().time <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.time);
        next.action();
    }
    m_now = end;
}

std::uint64_t simulated_zone::publish()
{
    m_numbers.push_back(++m_lastNumber);
    answerWatches();
    return m_lastNumber;
}

void simulated_zone::goBack(std::uint64_t revisions, bool keepsHistory)
{
    m_era = m_era.value_or(0) + 1;
    m_numbers.resize(revision() - std::min(revisions, revision() - 1));
    m_oldestRevision = keepsHistory ? 0 : revision();
    for (auto &[id, watch] : std::exchange(m_watches, {})) {
        watch.answer(makeError(error_code::unreachable, "read", "the connection broke"));
    }
}

change_page simulated_zone::inEra(change_page page) const
{
    page.era = m_era;
    return page;
}

void simulated_zone::dropHistory()
{
    m_oldestRevision = revision();
    answerWatches();
}

void simulated_zone::fail(std::size_t host, host_fault fault, milliseconds duration)
{
    auto &failing = m_hosts[host];
    failing.faultEnds[fault] = m_now + duration;
    if (fault == host_fault::connectionsSilent) {
        failing.silentBefore = m_now;
    }
}

std::vector<std::size_t> simulated_zone::readers() const
{
    std::vector<std::string> addresses;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        addresses.push_back(addressOf(host));
    }
    std::vector<std::size_t> result;
    std::size_t first = 0;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        reader_selection selection(addressOf(host));
        selection.setZoneHosts(addresses);
        if (selection.isReader()) {
            result.push_back(host);
        } else {
            const auto asked = *selection.readerToAsk(m_now);
            first = numberIn(asked.substr(asked.rfind('.') + 1));
        }
    }
    if (result.front() != first) {
        std::swap(result.front(), result.back());
    }
    return result;
}

time_point simulated_zone::excludedAt(std::size_t host, std::uint64_t revision) const
{
    const auto found = m_hosts[host].excluded.find(revision);
    return found == m_hosts[host].excluded.end() ? time_point::max() : found->second;
}

time_point simulated_zone::removedAt(std::size_t host, std::uint64_t revision) const
{
    const auto found = m_hosts[host].removed.find(revision);
    return found == m_hosts[host].removed.end() ? time_point::max() : found->second;
}

bool simulated_zone::hasFault(std::size_t host, host_fault fault) const
{
    const auto found = m_hosts[host].faultEnds.find(fault);
    return found != m_hosts[host].faultEnds.end() && m_now < found->second;
}

void simulated_zone::deliver(std::size_t host, const host_event &handle)
{
    auto &receiver = m_hosts[host];
    if (hasFault(host, host_fault::dead)) {
        return;
    }
    const auto canHandleAt =
        std::max(receiver.busyUntil, hasFault(host, host_fault::frozen) ? receiver.faultEnds.at(host_fault::frozen) : m_now);
    if (canHandleAt > m_now) {
        at(canHandleAt, [this, host, handle, process = receiver.process] { deliverTo(host, process, handle); });
        return;
    }
    auto actions = handle(*receiver.sync);
    auto cost = m_times.eventCost + (hasFault(host, host_fault::slow) ? slowEventCost : milliseconds(0));
    for (const auto &action : actions) {
        const auto *changes = std::get_if<apply_changes>(&action);
        cost += changes != nullptr && !changes->update.changes.empty() ? m_times.changesCost : milliseconds(0);
    }
    receiver.busyUntil = m_now + cost;
    // What a host does because of an event happens at the end of the time that the event takes.
    if (cost.count() == 0) {
        run(host, std::move(actions));
        return;
    }
    at(receiver.busyUntil, [this, host, process = receiver.process, held = std::make_shared<change_sync_actions>(std::move(actions))] {
        if (!hasFault(host, host_fault::dead) && m_hosts[host].process == process) {
            run(host, std::move(*held));
        }
    });
}

void simulated_zone::run(std::size_t host, change_sync_actions &&actions)
{
    for (auto &action : actions) {
        if (const auto *read = std::get_if<start_platform_read>(&action)) {
            startRead(host, *read);
        } else if (const auto *pull = std::get_if<send_pull>(&action)) {
            sendPull(host, *pull);
        } else if (const auto *request = std::get_if<send_state_request>(&action)) {
            sendStateRequest(host, *request);
        } else if (auto *answer = std::get_if<answer_pull>(&action)) {
            if (auto pending = m_pulls.extract(answer->pull); !pending.empty() && !hasFault(host, host_fault::hostsSilent)) {
                pending.mapped()(*answer);
            }
        } else if (const auto *changes = std::get_if<apply_changes>(&action)) {
            applyAt(host, *changes, m_now);
        }
    }
    scheduleTick(host);
}

void simulated_zone::scheduleTick(std::size_t host)
{
    const auto next = m_hosts[host].sync->nextTick();
    const auto generation = ++m_hosts[host].tickGeneration;
    if (next == time_point::max()) {
        return;
    }
    at(std::max(next, m_now), [this, host, generation] {
        if (m_hosts[host].tickGeneration == generation) {
            deliver(host, [this](change_sync &sync) { return sync.tick(m_now); });
        }
    });
}

void simulated_zone::startRead(std::size_t host, const start_platform_read &action)
{
    auto &reader = m_hosts[host];
    ++reader.reads;
    m_listsBegun += action.read.listPage && action.read.pageToken.empty() ? 1 : 0;
    if (action.freshConnection || reader.connectionOpenedAt == time_point()) {
        reader.connectionOpenedAt = m_now;
    }
    const auto openedAt = reader.connectionOpenedAt;
    const auto ended = std::make_shared<bool>(false);
    const auto complete = [this, host, ended, id = action.id, process = reader.process](const expected<change_page> &page) {
        if (!std::exchange(*ended, true)) {
            deliverTo(
                host, process, [this, id, page](change_sync &sync) { return sync.readCompleted(id, expected<change_page>(page), m_now); });
        }
    };
    at(m_now + action.read.timeout, [complete] { complete(makeError(error_code::deadlineExceeded, "read", "timed out")); });
    const auto lost = [this, host, openedAt] { return hasFault(host, host_fault::storeSilent) || openedAt < m_hosts[host].silentBefore; };
    if (lost()) {
        return;
    }
    at(m_now + m_times.networkDelay, [this, host, lost, complete, read = action.read] {
        if (lost()) {
            return;
        }
        receiveRead(host, read, [this, host, lost, complete](const expected<change_page> &page) {
            const auto delay = hasFault(host, host_fault::storeSlow) ? slowAnswerDelay : milliseconds(0);
            if (lost()) {
                return;
            }
            at(m_now + m_times.networkDelay + delay, [lost, complete, page] {
                if (!lost()) {
                    complete(page);
                }
            });
        });
    });
}

void simulated_zone::receiveRead(std::size_t host, const source_read &read, std::function<void(expected<change_page>)> answer)
{
    if (hasFault(host, host_fault::storeRefuses) || m_now < m_stoppedUntil) {
        answer(makeError(error_code::unreachable, "read", "refused"));
        return;
    }
    if (read.listPage) {
        const auto index = numberIn(read.pageToken);
        answer(inEra(fake_change_source::makeListPage(revision(), index, m_times.listPages, m_numbers)));
        return;
    }
    const auto id = ++m_lastId;
    m_watches[id] = {host, read.after, std::move(answer)};
    answerWatches();
    at(m_now + read.wait, [this, id] {
        if (auto watch = m_watches.extract(id); !watch.empty()) {
            watch.mapped().answer(inEra(fake_change_source::makePage(revision(), revision(), m_numbers)));
        }
    });
}

void simulated_zone::answerWatches()
{
    std::vector<std::pair<watch_state, expected<change_page>>> due;
    std::erase_if(m_watches, [&](auto &entry) {
        auto &watch = entry.second;
        if (watch.after < m_oldestRevision || watch.after > revision()) {
            due.emplace_back(std::move(watch), makeError(error_code::historyLost, "read", "the history is gone"));
            return true;
        }
        if (watch.after < revision()) {
            const auto after = watch.after;
            due.emplace_back(std::move(watch), inEra(fake_change_source::makePage(after, revision(), m_numbers)));
            return true;
        }
        return false;
    });
    for (auto &[watch, page] : due) {
        watch.answer(std::move(page));
    }
}

void simulated_zone::sendPull(std::size_t host, const send_pull &action)
{
    const auto complete = [this, host, id = action.id, process = m_hosts[host].process](const answer_pull &answer) {
        deliverTo(host, process, [this, id, answer](change_sync &sync) {
            return sync.readerAnswered(id, expected<change_batch>(answer.result), m_now, answer.era);
        });
    };
    ask(
        host,
        action.reader,
        action.timeout,
        [this, message = action.pull, era = action.era](change_sync &sync, std::uint64_t id) {
            return sync.pullReceived(id, message, m_now, era);
        },
        complete);
}

void simulated_zone::sendStateRequest(std::size_t host, const send_state_request &action)
{
    const auto complete = [this, host, id = action.id, process = m_hosts[host].process](const answer_pull &answer) {
        deliverTo(host, process, [this, id, answer](change_sync &sync) {
            return sync.stateAnswered(id, expected<change_batch>(answer.result), m_now, answer.era);
        });
    };
    ask(
        host,
        action.reader,
        action.timeout,
        [this, message = action.request](change_sync &sync, std::uint64_t id) { return sync.stateRequested(id, message, m_now); },
        complete);
}

void simulated_zone::ask(std::size_t host,
                         const std::string &address,
                         milliseconds timeout,
                         std::function<change_sync_actions(change_sync &, std::uint64_t)> question,
                         const answer_handler &complete)
{
    const auto reader = numberIn(address.substr(address.rfind('.') + 1));
    const auto ended = std::make_shared<bool>(false);
    const auto end = [ended, complete](const answer_pull &answer) {
        if (!std::exchange(*ended, true)) {
            complete(answer);
        }
    };
    at(m_now + timeout, [end] { end({0, makeError(error_code::deadlineExceeded, "ask", "timed out"), {}}); });
    if (hasFault(host, host_fault::hostsSilent) || hasFault(reader, host_fault::hostsSilent)) {
        return;
    }
    if (hasFault(reader, host_fault::dead) || m_now < m_hosts[reader].startedAt) {
        at(m_now + 2 * m_times.networkDelay, [end] { end({0, makeError(error_code::unreachable, "ask", "refused"), {}}); });
        return;
    }
    const auto id = ++m_lastId;
    m_pulls[id] = [this, end](const answer_pull &answer) { at(m_now + m_times.networkDelay, [end, answer] { end(answer); }); };
    at(m_now + m_times.networkDelay, [this, reader, id, question = std::move(question), process = m_hosts[reader].process] {
        deliverTo(reader, process, [id, question](change_sync &sync) { return question(sync, id); });
    });
}

void simulated_zone::applyAt(std::size_t host, const apply_changes &changes, time_point time)
{
    auto &receiver = m_hosts[host];
    const auto removedAt = std::max(time, changes.deferRemovalsUntil.value_or(time));
    if (changes.update.isFullSnapshot) {
        receiver.readyAt = std::min(receiver.readyAt, time);
        receiver.state.clear();
    }
    for (const auto &change : changes.update.changes) {
        if (const auto *zone = std::get_if<zone_changed>(&change)) {
            const auto number = numberIn(zone->zone.str());
            receiver.state.insert(number);
            receiver.excluded.try_emplace(number, time);
            if (changes.update.isFullSnapshot) {
                receiver.removed.try_emplace(number, removedAt); // It is not in the list.
            }
        } else if (const auto *removal = std::get_if<replica_removed>(&change)) {
            receiver.removed.try_emplace(numberIn(removal->id.str()), removedAt);
        }
    }
}

} // namespace orioledrum
