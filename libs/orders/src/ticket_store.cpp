#include <orders/ticket_store.h>

#include <functional>
#include <string_view>
#include <utility>

namespace orioledrum
{

namespace
{

order_answer makeRefusal(std::string text, order_outcome outcome, error_code code, std::string message)
{
    order_answer answer;
    answer.ticket = std::move(text);
    answer.outcome = outcome;
    answer.code = code;
    answer.message = std::move(message);
    return answer;
}

// FNV-1a hash of the parts of an order. Each part is preceded by its length, so that moving text between parts changes the
// hash.
class fnv1a_hash
{
public:
    explicit fnv1a_hash(std::uint64_t offsetBasis)
        : m_hash(offsetBasis)
    {
    }

    void add(std::string_view text)
    {
        auto length = text.size();
        for (std::size_t index = 0; index < sizeof(length); ++index) {
            addByte(static_cast<unsigned char>(length >> (8 * index)));
        }
        for (const char character : text) {
            addByte(static_cast<unsigned char>(character));
        }
    }

    [[nodiscard]] std::uint64_t value() const { return m_hash; }

private:
    void addByte(unsigned char byte) { m_hash = (m_hash ^ byte) * 1099511628211U; }

    std::uint64_t m_hash;
};

} // namespace

expected<std::unique_ptr<ticket_store>> ticket_store::create(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings)
{
    const ticket sample{host, incarnation, 1};
    if (!ticket::parse(sample.text())) {
        return makeError(error_code::invalidArgument,
                         "create ticket store",
                         "the host id '" + host.str() + "' or the incarnation '" + incarnation.str() + "' cannot be part of a ticket");
    }
    return std::unique_ptr<ticket_store>(new ticket_store(std::move(host), std::move(incarnation), settings));
}

ticket_store::ticket_store(entry_host_id host, incarnation_id incarnation, ticket_store_settings settings)
    : m_host(std::move(host))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
{
}

expected<ticket> ticket_store::issue(time_point now)
{
    const std::lock_guard lock(m_mutex);
    expireLocked(now);
    if (m_entries.size() >= m_settings.maxTickets || m_answerBytes >= m_settings.maxAnswerBytes) {
        return makeError(error_code::overloaded, "mint ticket", "the ticket memory of this host is full; nothing was run", m_host.str());
    }
    const auto sequence = m_nextSequence++;
    m_entries[sequence].issued = now;
    return ticket{m_host, m_incarnation, sequence};
}

ticket_store::content_digest ticket_store::computeDigest(const order_request &request)
{
    // Two hashes with different offsets give 128 bits, so that an accidental collision of different orders is practically
    // impossible.
    fnv1a_hash first(14695981039346656037U);
    fnv1a_hash second(7809847782465536322U);
    for (auto *hash : {&first, &second}) {
        hash->add(request.service.str());
        hash->add(request.customer.str());
        hash->add(request.body);
    }
    return {first.value(), second.value()};
}

submission ticket_store::submit(const ticket &ticket, const order_request &request, answer_callback callback, time_point now)
{
    auto text = ticket.text();
    const auto settled = [&text](order_outcome outcome, error_code code, std::string message) {
        return submission{submission_state::settled, makeRefusal(std::move(text), outcome, code, std::move(message))};
    };
    if (ticket.host != m_host || ticket.incarnation != m_incarnation) {
        return settled(order_outcome::unknown, error_code::unknownTicket, "the ticket was minted by another run of an entry host");
    }
    const auto contentDigest = computeDigest(request);
    const std::lock_guard lock(m_mutex);
    expireLocked(now);
    const auto found = m_entries.find(ticket.sequence);
    if (found == m_entries.end()) {
        return settled(order_outcome::unknown, error_code::unknownTicket, "the ticket is not remembered or was never minted");
    }
    auto &entry = found->second;
    if (entry.phase == ticket_phase::issued && now - entry.issued > m_settings.ticketLifetime) {
        entry.phase = ticket_phase::done;
        entry.answer = std::make_unique<order_answer>(
            makeRefusal({}, order_outcome::notRun, error_code::unknownTicket, "the ticket expired before the order was submitted"));
    }
    if (entry.phase == ticket_phase::issued) {
        entry.phase = ticket_phase::running;
        entry.used = true;
        entry.contentDigest = contentDigest;
        return {submission_state::accepted, {}};
    }
    if (entry.used && entry.contentDigest != contentDigest) {
        return settled(order_outcome::notRun, error_code::ticketConflict, "the ticket was used with another order; this one was not run");
    }
    if (entry.phase == ticket_phase::done) {
        submission result{submission_state::settled, *entry.answer};
        result.answer.ticket = std::move(text);
        return result;
    }
    if (entry.waiters.size() >= m_settings.maxWaiters) {
        return settled(order_outcome::unknown, error_code::overloaded, "the order is in progress and too many repeats wait for it");
    }
    entry.waiters.push_back(std::move(callback));
    return {submission_state::waiting, {}};
}

void ticket_store::finish(const ticket &ticket, const order_answer &answer, time_point now)
{
    std::vector<answer_callback> waiters;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_entries.find(ticket.sequence);
        if (ticket.host != m_host || ticket.incarnation != m_incarnation || found == m_entries.end()
            || found->second.phase != ticket_phase::running) {
            return;
        }
        auto &entry = found->second;
        entry.phase = ticket_phase::done;
        entry.answer = std::make_unique<order_answer>(answer);
        entry.answer->ticket.clear();
        m_answerBytes += answer.body.size();
        waiters = std::exchange(entry.waiters, {});
        expireLocked(now);
    }
    for (const auto &waiter : waiters) {
        waiter(answer);
    }
}

void ticket_store::expire(time_point now)
{
    const std::lock_guard lock(m_mutex);
    expireLocked(now);
}

void ticket_store::expireLocked(time_point now)
{
    for (; m_oldestSequence < m_nextSequence; ++m_oldestSequence) {
        const auto found = m_entries.find(m_oldestSequence);
        if (found == m_entries.end()) {
            continue;
        }
        const auto &entry = found->second;
        // An order that is still in progress after this time is assumed never to finish. Without this limit its entry would never
        // be erased.
        if (now - entry.issued < m_settings.ticketLifetime + m_settings.retention) {
            return;
        }
        if (entry.answer) {
            m_answerBytes -= entry.answer->body.size();
        }
        m_entries.erase(found);
    }
}

std::size_t ticket_store::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

} // namespace orioledrum
