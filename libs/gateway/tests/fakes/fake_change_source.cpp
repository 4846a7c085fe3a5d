#include "fake_change_source.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace orioledrum
{

namespace
{

std::uint64_t numberOf(std::uint64_t revision, const fake_change_source::change_numbers &numbers)
{
    return numbers.empty() ? revision : numbers.at(revision - 1);
}

/// Appends the numbers of all changes up to a revision to an encoded page, if they differ from the revisions.
std::string withNumbers(std::string encoded, std::uint64_t revision, const fake_change_source::change_numbers &numbers)
{
    for (std::uint64_t change = 1; !numbers.empty() && change <= revision; ++change) {
        encoded += " " + std::to_string(numberOf(change, numbers));
    }
    return encoded;
}

fake_change_source::change_numbers readNumbers(std::istringstream &text)
{
    fake_change_source::change_numbers numbers;
    for (std::uint64_t number = 0; text >> number;) {
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace

void fake_change_source::list(const std::string &, std::chrono::milliseconds, callback)
{
    std::abort(); // A simulated_zone reads its own store.
}

void fake_change_source::watch(std::uint64_t, std::chrono::milliseconds, std::chrono::milliseconds, callback)
{
    std::abort();
}

expected<change_page> fake_change_source::decode(const std::string &encoded, std::uint64_t after) const
{
    std::istringstream text(encoded);
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    text >> first >> last;
    return makePage(std::max(first, after), last, readNumbers(text));
}

expected<change_page> fake_change_source::decodeList(const std::string &encoded) const
{
    std::istringstream text(encoded);
    std::uint64_t revision = 0;
    std::size_t index = 0;
    std::size_t pageCount = 0;
    text >> revision >> index >> pageCount;
    return makeListPage(revision, index, pageCount, readNumbers(text));
}

change_page fake_change_source::makePage(std::uint64_t after, std::uint64_t revision, const change_numbers &numbers)
{
    change_page page;
    page.revision = revision;
    for (auto change = after + 1; change <= revision; ++change) {
        const auto number = std::to_string(numberOf(change, numbers));
        page.changes.emplace_back(zone_changed{zone_id(number), true});
        page.changes.emplace_back(replica_removed{backend_id(number)});
    }
    page.encoded = withNumbers(std::to_string(after) + " " + std::to_string(revision), revision, numbers);
    return page;
}

change_page
fake_change_source::makeListPage(std::uint64_t revision, std::size_t index, std::size_t pageCount, const change_numbers &numbers)
{
    change_page page;
    page.revision = revision;
    for (std::uint64_t change = 1; index == 0 && change <= revision; ++change) {
        page.changes.emplace_back(zone_changed{zone_id(std::to_string(numberOf(change, numbers))), true});
    }
    page.nextPageToken = index + 1 < pageCount ? std::to_string(index + 1) : std::string();
    page.encoded = withNumbers(std::to_string(revision) + " " + std::to_string(index) + " " + std::to_string(pageCount), revision, numbers);
    return page;
}

} // namespace orioledrum
