#pragma once

#include <gateway/change_source.h>

#include <vector>

namespace orioledrum
{

/// Decodes the pages of a simulated_zone: change n excludes the zone "n" and removes the backend server "n". It cannot be read.
class fake_change_source final : public change_source
{
public:
    void list(const std::string &pageToken, std::chrono::milliseconds timeout, callback done) override;
    void watch(std::uint64_t after, std::chrono::milliseconds wait, std::chrono::milliseconds timeout, callback done) override;
    void closeIdleConnections() override {}
    [[nodiscard]] expected<change_page> decode(const std::string &encoded, std::uint64_t after) const override;
    [[nodiscard]] expected<change_page> decodeList(const std::string &encoded) const override;

    /// The number of the change that each revision brings; the first one belongs to revision 1.
    using change_numbers = std::vector<std::uint64_t>;

    /// @return The changes after one revision up to another.
    /// @param numbers If empty, each change has the number of its revision.
    static change_page makePage(std::uint64_t after, std::uint64_t revision, const change_numbers &numbers = {});
    /// @return One page of the full list; the first one has the excluded zones.
    /// @param numbers As for makePage().
    static change_page makeListPage(std::uint64_t revision, std::size_t index, std::size_t pageCount, const change_numbers &numbers = {});
};

} // namespace orioledrum
