#pragma once

#include <base/random_source.h>
#include <orders/order_guard.h>
#include <orders/order_run.h>
#include <orders/ticket_store.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace orioledrum
{

/// Deliberate faults of fake_fleet. Each disables one mechanism of at-most-once execution.
enum class order_defect {
    none,
    ignoresIncarnation, ///< A restarted issuing host runs orders under tickets of its previous incarnation.
    runsWhereReceived, ///< The host that receives an order from a caller runs it instead of sending it to the issuing host.
    forgetsOutcomes, ///< An order is run again when its ticket is submitted again.
    treatsBrokenAsNotSent, ///< After a broken stream the order is treated as not sent, so it is sent to another owner.
    noGuard, ///< The owner sends each message that it receives to the backend server, duplicates included.
    forgetsRefusals, ///< The owner does not remember which attempts it refused.
    reportsLostAsNotRun, ///< An order whose answer from the backend server was lost is reported as not run.
};

/// Simulates entry hosts with ticket stores, order runs and order guards, and backend servers that count how often each
/// order runs. Time is simulated. Hosts crash and restart, streams and backend connections break, messages are duplicated and
/// delayed, and callers repeat submissions through other hosts. As with TCP, a message reaches only the incarnation that its
/// connection was opened to.
class fake_fleet
{
public:
    fake_fleet(std::uint64_t seed, order_defect defect)
        : m_random(seed)
        , m_defect(defect)
        , m_now(std::chrono::hours(1))
    {
        for (std::size_t index = 0; index < hostCount; ++index) {
            restart(index);
        }
    }

    /// Simulates the given number of orders until no event is left.
    /// @return A description of the first violation, if any.
    std::optional<std::string> run(int orders)
    {
        for (int order = 0; order < orders; ++order) {
            schedule(m_random.below(300000), [this] { issueAndSubmit(); });
        }
        while (!m_events.empty()) {
            const auto event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.when);
            event.action();
            if (m_random.below(60) == 0) {
                crash(m_random.below(hostCount));
            }
        }
        return findViolation();
    }

    [[nodiscard]] int ranReports() const { return m_ranReports; }
    [[nodiscard]] int notRunReports() const { return m_notRunReports; }
    [[nodiscard]] int unknownReports() const { return m_unknownReports; }

private:
    static constexpr std::size_t hostCount = 3;
    static constexpr std::size_t backendCount = 2;

    using answer_callback = std::function<void(const order_answer &)>;

    struct run_entry {
        ticket orderTicket;
        std::unique_ptr<order_run> run;
        std::vector<answer_callback> answerSenders;
    };
    struct fake_host {
        bool up = false;
        int incarnation = 0;
        std::unique_ptr<ticket_store> store;
        std::unique_ptr<order_guard> guard;
        std::map<std::string, run_entry> runs;
    };
    struct stream {
        std::size_t receiver = 0;
        int receiverIncarnation = 0;
        bool open = true;
        std::function<void()> onBroken;
    };
    struct timed_event {
        time_point when;
        std::uint64_t sequence = 0; // Keeps events of the same time in the order of scheduling.
        std::function<void()> action;
        bool operator<(const timed_event &other) const { return when != other.when ? when > other.when : sequence > other.sequence; }
    };
    // Outcome of an order as reported to a caller.
    struct report {
        std::string ticket;
        std::string body;
        order_outcome outcome = order_outcome::unknown;
    };

    void schedule(std::uint64_t micros, std::function<void()> action)
    {
        m_events.push({m_now + std::chrono::microseconds(micros), m_nextEventSequence++, std::move(action)});
    }

    // Runs the action after a delay, unless the host has crashed by then.
    void scheduleOnHost(std::size_t index, std::uint64_t micros, std::function<void()> action)
    {
        schedule(micros, [this, index, incarnation = m_hosts[index].incarnation, action = std::move(action)] {
            if (m_hosts[index].up && m_hosts[index].incarnation == incarnation) {
                action();
            }
        });
    }

    static entry_host_id hostName(std::size_t index) { return entry_host_id("host-" + std::to_string(index)); }
    static std::size_t hostIndex(const entry_host_id &id) { return static_cast<std::size_t>(id.str().back() - '0'); }

    // Random delay in microseconds: mostly short, sometimes longer than any deadline.
    std::uint64_t randomDelay() { return m_random.below(20) == 0 ? m_random.below(1500000) : m_random.below(4000); }

    void restart(std::size_t index)
    {
        auto &host = m_hosts[index];
        host.up = true;
        ++host.incarnation;
        host.store = std::move(*ticket_store::create(hostName(index), incarnation_id(m_random.hexId()), {}));
        host.guard = std::make_unique<order_guard>(order_guard_settings{});
        host.runs.clear();
    }

    void crash(std::size_t index)
    {
        auto &host = m_hosts[index];
        if (!host.up) {
            return;
        }
        host.up = false;
        host.runs.clear();
        for (auto &entry : m_streams) {
            if (entry->open && entry->receiver == index) {
                entry->open = false;
                schedule(m_random.below(3000), entry->onBroken);
            }
        }
        schedule(m_random.below(100000), [this, index] { restart(index); });
    }

    // Sends a message on a new stream between two hosts. The message may be duplicated and delayed, and the stream may break at
    // any time.
    void sendOnStream(std::size_t from,
                      std::size_t to,
                      const std::function<void(const std::shared_ptr<stream> &)> &deliver,
                      std::function<void()> onBroken)
    {
        auto messageStream = std::make_shared<stream>();
        messageStream->receiver = to;
        messageStream->receiverIncarnation = m_hosts[to].incarnation;
        messageStream->onBroken = [this, from, incarnation = m_hosts[from].incarnation, onBroken = std::move(onBroken)] {
            if (m_hosts[from].up && m_hosts[from].incarnation == incarnation) {
                onBroken();
            }
        };
        m_streams.push_back(messageStream);
        const auto copies = m_random.below(4) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            scheduleOnHost(to, randomDelay(), [deliver, messageStream] { deliver(messageStream); });
        }
        if (m_random.below(12) == 0) {
            schedule(randomDelay(), [messageStream] {
                if (messageStream->open) {
                    messageStream->open = false;
                    messageStream->onBroken();
                }
            });
        }
    }

    // Sends an answer back on a stream. It arrives, once or twice, unless the stream breaks or the requesting host crashes before then.
    void sendAnswer(std::size_t to, int toIncarnation, const std::shared_ptr<stream> &messageStream, const std::function<void()> &action)
    {
        const auto copies = m_random.below(4) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            schedule(randomDelay(), [this, to, toIncarnation, messageStream, action] {
                if (messageStream->open && m_hosts[to].up && m_hosts[to].incarnation == toIncarnation) {
                    action();
                }
            });
        }
    }

    void issueAndSubmit()
    {
        const auto issuingHost = m_random.below(hostCount);
        if (!m_hosts[issuingHost].up) {
            return;
        }
        const auto issued = m_hosts[issuingHost].store->issue(m_now);
        if (!issued) {
            return;
        }
        const auto submissions = 1 + m_random.below(4);
        for (std::uint64_t submission = 0; submission < submissions; ++submission) {
            const auto wait = m_random.below(12) == 0 ? 59000000 + m_random.below(3000000) : m_random.below(400000);
            const std::string body = m_random.below(8) == 0 ? "another" : "order";
            schedule(wait, [this, text = issued->text(), body] { submitAtRandomHost(text, body); });
        }
    }

    void submitAtRandomHost(const std::string &text, const std::string &body)
    {
        const auto index = m_random.below(hostCount);
        if (!m_hosts[index].up) {
            return;
        }
        order_request request;
        request.ticket = text;
        request.service = service_id("desk");
        request.body = body;
        request.remaining = std::chrono::milliseconds(50 + m_random.below(500));
        const auto incarnation = m_hosts[index].incarnation;
        receiveFromCaller(index, request, [this, index, incarnation, text, body](const order_answer &answer) {
            if (m_hosts[index].up && m_hosts[index].incarnation == incarnation) {
                recordReport(text, body, answer.outcome);
            }
        });
    }

    void recordReport(const std::string &text, const std::string &body, order_outcome outcome)
    {
        m_reports.push_back({text, body, outcome});
        m_ranReports += outcome == order_outcome::ran ? 1 : 0;
        m_notRunReports += outcome == order_outcome::notRun ? 1 : 0;
        m_unknownReports += outcome == order_outcome::unknown ? 1 : 0;
    }

    // Submits the order on this host if it issued the ticket or the defect is runsWhereReceived; otherwise sends it to the issuing host.
    // If that host is down or the stream breaks, the outcome is unknown.
    void receiveFromCaller(std::size_t index, const order_request &request, const answer_callback &answerCaller)
    {
        const auto orderTicket = ticket::parse(request.ticket);
        const auto issuingHost = hostIndex(orderTicket->host);
        if (issuingHost == index || m_defect == order_defect::runsWhereReceived) {
            receiveAtIssuingHost(index, request, answerCaller);
            return;
        }
        order_answer unreachable;
        unreachable.outcome = order_outcome::unknown;
        if (!m_hosts[issuingHost].up) {
            answerCaller(unreachable);
            return;
        }
        const auto incarnation = m_hosts[index].incarnation;
        const auto answered = std::make_shared<bool>(false);
        const auto answerOnce = [answerCaller, answered](const order_answer &answer) {
            if (!std::exchange(*answered, true)) {
                answerCaller(answer);
            }
        };
        sendOnStream(
            index,
            issuingHost,
            [this, index, incarnation, issuingHost, request, answerOnce](const std::shared_ptr<stream> &messageStream) {
                receiveAtIssuingHost(
                    issuingHost, request, [this, index, incarnation, messageStream, answerOnce](const order_answer &answer) {
                        sendAnswer(index, incarnation, messageStream, [answerOnce, answer] { answerOnce(answer); });
                    });
            },
            [answerOnce, unreachable] { answerOnce(unreachable); });
    }

    // Submits the order to the ticket store of the host and starts a run if the store accepts it or a defect makes the order run again.
    void receiveAtIssuingHost(std::size_t index, const order_request &request, const answer_callback &answerSender)
    {
        auto &host = m_hosts[index];
        const auto orderTicket = *ticket::parse(request.ticket);
        auto found = host.store->submit(orderTicket, request, answerSender, m_now);
        bool shouldRun = found.state == submission_state::accepted;
        if (found.state == submission_state::settled) {
            const bool fromOtherIncarnation =
                found.answer.code == error_code::unknownTicket && found.answer.outcome == order_outcome::unknown;
            shouldRun =
                (fromOtherIncarnation && (m_defect == order_defect::ignoresIncarnation || m_defect == order_defect::runsWhereReceived))
                || (m_defect == order_defect::forgetsOutcomes && found.answer.code != error_code::ticketConflict);
            if (!shouldRun || host.runs.contains(request.ticket)) {
                answerSender(found.answer);
                return;
            }
        }
        if (!shouldRun) {
            return;
        }
        std::vector<order_target> targets;
        for (std::size_t backend = 0; backend < backendCount; ++backend) {
            const auto assumedOwner = m_random.below(3) == 0 ? m_random.below(hostCount) : m_owners[backend];
            targets.push_back({backend_id("backend-" + std::to_string(backend)), hostName(assumedOwner)});
        }
        if (m_random.below(2) == 0) {
            std::swap(targets[0], targets[1]);
        }
        auto &entry = host.runs[request.ticket];
        entry.orderTicket = orderTicket;
        entry.run = std::make_unique<order_run>(orderTicket, request, targets, m_now + request.remaining);
        entry.answerSenders.push_back(answerSender);
        entry.run->start(m_now);
        scheduleOnHost(index, static_cast<std::uint64_t>(request.remaining.count()), [this, index, text = request.ticket] {
            withRun(index, text, [this](order_run &run) { run.wakeup(m_now); });
        });
        executeActions(index, request.ticket);
    }

    void withRun(std::size_t index, const std::string &text, const std::function<void(order_run &)> &action)
    {
        const auto found = m_hosts[index].runs.find(text);
        if (found != m_hosts[index].runs.end()) {
            action(*found->second.run);
            executeActions(index, text);
        }
    }

    void executeActions(std::size_t index, const std::string &text)
    {
        std::vector<order_action> actions;
        m_hosts[index].runs.at(text).run->takeActions(actions);
        for (auto &action : actions) {
            if (const auto *send = std::get_if<send_order>(&action)) {
                sendToOwner(index, *send);
                continue;
            }
            const auto answer = std::get<finish_order>(action).answer;
            auto entry = std::move(m_hosts[index].runs.at(text));
            m_hosts[index].runs.erase(text);
            m_hosts[index].store->finish(entry.orderTicket, answer, m_now);
            for (const auto &answerSender : entry.answerSenders) {
                answerSender(answer);
            }
            return;
        }
    }

    void sendToOwner(std::size_t index, const send_order &send)
    {
        const auto owner = hostIndex(send.owner);
        const auto text = send.request.ticket;
        const auto attempt = send.request.attempt;
        if (!m_hosts[owner].up) {
            scheduleOnHost(index, m_random.below(1000), [this, index, text, attempt] {
                withRun(index, text, [this, attempt](order_run &run) { run.notSent(attempt, m_now); });
            });
            return;
        }
        const auto incarnation = m_hosts[index].incarnation;
        sendOnStream(
            index,
            owner,
            [this, index, incarnation, owner, request = send.request, text](const std::shared_ptr<stream> &messageStream) {
                receiveAtOwner(owner, request, [this, index, incarnation, messageStream, text](const order_answer &answer) {
                    sendAnswer(index, incarnation, messageStream, [this, index, text, answer] {
                        withRun(index, text, [this, &answer](order_run &run) { run.answered(answer, m_now); });
                    });
                });
            },
            [this, index, text, attempt] {
                withRun(index, text, [this, attempt](order_run &run) {
                    if (m_defect == order_defect::treatsBrokenAsNotSent) {
                        run.notSent(attempt, m_now);
                    } else {
                        run.streamBroken(attempt, m_now);
                    }
                });
            });
    }

    // Passes the order to the order guard of the host, which the sending host considers the owner of the backend server.
    // Answers, refuses the order or schedules the write to the backend server.
    void receiveAtOwner(std::size_t index, const order_request &request, const answer_callback &answerSender)
    {
        auto &guard = *m_hosts[index].guard;
        if (m_defect == order_defect::noGuard) {
            guard = order_guard({});
        }
        const auto decision = guard.receive(request, m_now);
        if (decision.verdict == guard_verdict::answer) {
            answerSender(decision.answer);
            return;
        }
        if (decision.verdict == guard_verdict::inProgress) {
            return;
        }
        // Ids of hosts and backend servers both end with their index.
        const auto backend = hostIndex(entry_host_id(request.backend.str()));
        // The lease may move to another host while orders are in flight.
        if (m_random.below(10) == 0) {
            m_owners[backend] = m_random.below(hostCount);
        }
        const bool isOwner = m_owners[backend] == index;
        if (!isOwner || m_random.below(5) == 0) {
            auto answer =
                guard.refuse(request.ticket, request.attempt, isOwner ? error_code::draining : error_code::notOwner, "refused", m_now);
            answer.holder = isOwner ? entry_host_id() : hostName(m_owners[backend]);
            if (m_defect == order_defect::forgetsRefusals) {
                guard = order_guard({});
            }
            answerSender(answer);
            return;
        }
        scheduleOnHost(
            index, randomDelay(), [this, index, backend, request, answerSender] { writeToBackend(index, backend, request, answerSender); });
    }

    void writeToBackend(std::size_t index, std::size_t backend, const order_request &request, const answer_callback &answerSender)
    {
        auto &guard = *m_hosts[index].guard;
        const auto leaseEnd = m_owners[backend] == index ? m_now + std::chrono::seconds(1) : m_now;
        if (m_defect == order_defect::noGuard) {
            guard.receive(request, m_now);
        }
        order_answer refusal;
        if (!guard.tryBeginWrite(request.ticket, request.attempt, leaseEnd, m_now, &refusal)) {
            answerSender(refusal);
            return;
        }
        const auto settle = [this, index, request, answerSender](order_send_result sendResult, error_code code) {
            answerSender(m_hosts[index].guard->finish(request.ticket, request.attempt, sendResult, code, "message", "body", m_now));
        };
        if (m_random.below(6) == 0) {
            settle(order_send_result::noByteSent, error_code::unreachable);
            return;
        }
        const bool backendRefuses = m_random.below(6) == 0;
        const bool connectionBreaks = m_random.below(4) == 0;
        // The written bytes reach the backend server even if the connection breaks or the owner crashes afterwards.
        schedule(randomDelay(), [this, index, incarnation = m_hosts[index].incarnation, request, backendRefuses, connectionBreaks, settle] {
            if (!backendRefuses) {
                ++m_executions[request.ticket][request.body];
            }
            if (connectionBreaks || !m_hosts[index].up || m_hosts[index].incarnation != incarnation) {
                return;
            }
            scheduleOnHost(index, randomDelay(), [backendRefuses, settle] {
                settle(backendRefuses ? order_send_result::backendRefused : order_send_result::ran,
                       backendRefuses ? error_code::draining : error_code::internal);
            });
        });
        if (connectionBreaks) {
            scheduleOnHost(index, randomDelay(), [this, settle] {
                settle(m_defect == order_defect::reportsLostAsNotRun ? order_send_result::noByteSent : order_send_result::noUsableAnswer,
                       error_code::unreachable);
            });
        }
    }

    [[nodiscard]] std::optional<std::string> findViolation()
    {
        for (const auto &[text, bodies] : m_executions) {
            int runs = 0;
            for (const auto &[body, count] : bodies) {
                runs += count;
            }
            if (runs > 1) {
                return "ticket " + text + " ran " + std::to_string(runs) + " times";
            }
        }
        for (const auto &entry : m_reports) {
            const int runs = m_executions[entry.ticket][entry.body];
            if (entry.outcome == order_outcome::notRun && runs != 0) {
                return "ticket " + entry.ticket + " was reported as not run but ran";
            }
            if (entry.outcome == order_outcome::ran && runs != 1) {
                return "ticket " + entry.ticket + " was reported as run but did not run";
            }
        }
        return std::nullopt;
    }

    random_source m_random;
    order_defect m_defect;
    time_point m_now;
    std::array<fake_host, hostCount> m_hosts;
    std::array<std::size_t, backendCount> m_owners{0, 1};
    std::vector<std::shared_ptr<stream>> m_streams;
    std::priority_queue<timed_event> m_events;
    std::uint64_t m_nextEventSequence = 0;
    std::map<std::string, std::map<std::string, int>> m_executions; // Number of runs by ticket and body.
    std::vector<report> m_reports;
    int m_ranReports = 0;
    int m_notRunReports = 0;
    int m_unknownReports = 0;
};

} // namespace orioledrum
