#include <reader_selection.h>

#include <base/rendezvous.h>

#include <algorithm>
#include <utility>

namespace orioledrum
{

namespace
{

constexpr const char *rankingKey = "change-reader";

} // namespace

reader_selection::reader_selection(std::string self)
    : m_self(std::move(self))
    , m_readers{m_self}
{
}

void reader_selection::setZoneHosts(const std::vector<std::string> &addresses)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked{{rendezvousWeight(rankingKey, m_self), m_self}};
    for (const auto &address : addresses) {
        if (address != m_self) {
            ranked.emplace_back(rendezvousWeight(rankingKey, address), address);
        }
    }
    const auto count = std::min(readersPerZone, ranked.size());
    const auto ordered = std::min(2 * readersPerZone, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(ordered), ranked.end(), std::greater<>());
    m_readers.clear();
    m_nextInRank.clear();
    for (std::size_t i = count; i < ordered; ++i) {
        if (ranked[i].second != m_self) {
            m_nextInRank.push_back(ranked[i].second);
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        m_readers.push_back(std::move(ranked[i].second));
    }
    std::erase_if(m_backoffUntil,
                  [&](const auto &entry) { return std::find(m_readers.begin(), m_readers.end(), entry.first) == m_readers.end(); });
}

bool reader_selection::isReader() const
{
    return std::find(m_readers.begin(), m_readers.end(), m_self) != m_readers.end();
}

std::optional<std::string> reader_selection::readerToAsk(time_point now) const
{
    if (isReader()) {
        return std::nullopt;
    }
    for (const auto &reader : m_readers) {
        const auto found = m_backoffUntil.find(reader);
        if (found == m_backoffUntil.end() || now >= found->second) {
            return reader;
        }
    }
    return std::nullopt;
}

std::vector<std::string> reader_selection::stateCandidates() const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const auto &reader : m_readers) {
        if (reader != m_self) {
            ranked.emplace_back(rendezvousWeight(m_self, reader), reader);
        }
    }
    std::sort(ranked.begin(), ranked.end(), std::greater<>());
    std::vector<std::string> result;
    result.reserve(ranked.size() + m_nextInRank.size());
    for (auto &[weight, reader] : ranked) {
        result.push_back(std::move(reader));
    }
    result.insert(result.end(), m_nextInRank.begin(), m_nextInRank.end());
    return result;
}

void reader_selection::failed(const std::string &address, time_point now)
{
    m_backoffUntil[address] = now + failureBackoff;
}

} // namespace orioledrum
