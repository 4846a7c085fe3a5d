#include <load/load_runner.h>

#include <load/http_engine.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace orioledrum::load
{

using json = nlohmann::json;

namespace
{

/// Sends the requests of one thread and records a sample for each.
class sender
{
public:
    sender(const load_settings &settings, time_point start, std::vector<const arrival *> arrivals)
        : m_settings(settings)
        , m_start(start)
        , m_arrivals(std::move(arrivals))
        , m_samples(m_arrivals.size())
    {
    }

    void run()
    {
        for (std::size_t index = 0; index < m_arrivals.size(); ++index) {
            const time_point due = m_start + m_arrivals[index]->scheduled;
            do {
                m_engine.runUntil(due);
            } while (monotonic_clock::now() < due);
            startRequest(*m_arrivals[index], m_samples[index]);
        }
        while (m_engine.active() > 0) {
            m_engine.runUntil(monotonic_clock::now() + std::chrono::seconds{1});
        }
    }

    [[nodiscard]] std::vector<sample> &samples() { return m_samples; }

private:
    [[nodiscard]] std::chrono::microseconds sinceStart() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(monotonic_clock::now() - m_start);
    }

    void startRequest(const arrival &request, sample &result)
    {
        result.isOrder = request.isOrder;
        result.service = request.service;
        result.customer = request.customer;
        result.query = request.query;
        result.host = m_settings.hosts[request.hostIndex];
        result.scheduled = request.scheduled;
        result.sent = sinceStart();
        result.runStart = std::chrono::duration_cast<std::chrono::microseconds>(m_start.time_since_epoch());
        result.deadline = m_settings.deadline;
        result.limit = request.isOrder ? 0 : m_settings.limit;
        if (request.isOrder) {
            requestTicket(result);
        } else {
            sendSearch(result);
        }
    }

    void sendSearch(sample &result)
    {
        json body = {{"service", result.service},
                     {"query", result.query},
                     {"customer", result.customer},
                     {"deadlineMs", m_settings.deadline.count()},
                     {"minCoverage", m_settings.minCoverage},
                     {"limit", m_settings.limit}};
        if (m_settings.priority >= 0) {
            body["priority"] = m_settings.priority;
        }
        m_engine.send(
            "POST", "http://" + result.host + "/v1/search", body.dump(), m_settings.timeout, [this, &result](const http_result &answer) {
                result.ended = sinceStart();
                if (answer.answered) {
                    readSearchAnswer(answer.status, answer.body, m_settings.keepResults, result);
                } else {
                    recordFailure(result, "failed", answer);
                }
            });
    }

    void requestTicket(sample &result)
    {
        const json body = {{"service", result.service}, {"customer", result.customer}};
        m_engine.send("POST",
                      "http://" + result.host + "/v1/orders/tickets",
                      body.dump(),
                      m_settings.timeout,
                      [this, &result](const http_result &answer) {
                          result.ended = sinceStart();
                          // Without a ticket the order is not sent, so its outcome is notRun whatever the failure.
                          if (!answer.answered) {
                              recordFailure(result, "notRun", answer);
                              return;
                          }
                          const json ticket = json::parse(answer.body, nullptr, false);
                          const bool valid =
                              answer.status == 200 && ticket.is_object() && ticket.contains("ticket") && ticket["ticket"].is_string();
                          if (!valid) {
                              readOrderAnswer(answer.status, answer.body, result);
                              result.outcome = "notRun";
                              return;
                          }
                          result.ticket = ticket["ticket"].get<std::string>();
                          sendOrder(result);
                      });
    }

    void sendOrder(sample &result)
    {
        const json body = {{"service", result.service},
                           {"customer", result.customer},
                           {"deadlineMs", m_settings.deadline.count()},
                           {"order", {{"item", result.query}, {"quantity", 1}}}};
        result.orderSent = sinceStart();
        m_engine.send("PUT",
                      "http://" + result.host + "/v1/orders/" + result.ticket,
                      body.dump(),
                      m_settings.timeout,
                      [this, &result](const http_result &answer) {
                          result.ended = sinceStart();
                          if (answer.answered) {
                              readOrderAnswer(answer.status, answer.body, result);
                          } else {
                              recordFailure(result, "unknown", answer);
                          }
                      });
    }

    static void recordFailure(sample &result, const char *outcome, const http_result &answer)
    {
        result.status = 0;
        result.outcome = outcome;
        result.code = "noAnswer";
        result.message = answer.errorMessage;
    }

    const load_settings &m_settings;
    time_point m_start;
    std::vector<const arrival *> m_arrivals;
    std::vector<sample> m_samples;
    http_engine m_engine;
};

} // namespace

std::vector<sample> runLoad(const load_settings &settings, const std::vector<arrival> &arrivals)
{
    const std::size_t threadCount = std::max<std::size_t>(settings.threads, 1);
    std::vector<std::vector<const arrival *>> arrivalsByThread(threadCount);
    for (std::size_t index = 0; index < arrivals.size(); ++index) {
        arrivalsByThread[index % threadCount].push_back(&arrivals[index]);
    }
    // The delay lets every thread start before the first request is due.
    const time_point start = monotonic_clock::now() + std::chrono::milliseconds{50};
    std::vector<std::unique_ptr<sender>> senders;
    senders.reserve(threadCount);
    std::vector<std::thread> threads;
    for (auto &threadArrivals : arrivalsByThread) {
        senders.push_back(std::make_unique<sender>(settings, start, std::move(threadArrivals)));
    }
    threads.reserve(threadCount);
    for (const auto &threadSender : senders) {
        threads.emplace_back([&threadSender = *threadSender] { threadSender.run(); });
    }
    std::vector<sample> result;
    for (std::size_t index = 0; index < threadCount; ++index) {
        threads[index].join();
        auto &samples = senders[index]->samples();
        result.insert(result.end(), std::make_move_iterator(samples.begin()), std::make_move_iterator(samples.end()));
    }
    std::stable_sort(
        result.begin(), result.end(), [](const sample &left, const sample &right) { return left.scheduled < right.scheduled; });
    return result;
}

} // namespace orioledrum::load
