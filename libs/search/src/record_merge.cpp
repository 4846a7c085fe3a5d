#include <search/record_merge.h>

#include <algorithm>
#include <cstring>

namespace orioledrum
{

std::string mergeGreatestRecords(const std::vector<std::string_view> &bodies, std::size_t maxRecords)
{
    std::vector<const char *> records;
    for (const auto body : bodies) {
        for (std::size_t offset = 0; offset + recordBytes <= body.size(); offset += recordBytes) {
            records.push_back(body.data() + offset);
        }
    }
    const auto greater = [](const char *a, const char *b) { return std::memcmp(a, b, recordBytes) > 0; };
    const auto count = std::min(maxRecords, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count), records.end(), greater);
    std::string result;
    result.reserve(count * recordBytes);
    for (std::size_t i = 0; i < count; ++i) {
        result.append(records[i], recordBytes);
    }
    return result;
}

} // namespace orioledrum
