#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace orioledrum
{

/// Identifies a state of the source. The source may come back with an older copy of its state and then assigns revisions again; each time,
/// its era increases. So only era and revision together order states.
struct published_revision {
    std::optional<std::uint64_t> era; ///< Nothing when the source does not tell it; lower than any era.
    std::uint64_t number = 0;

    // clang-tidy 14 takes the comparison of its result with 0 for a null pointer.
    auto operator<=>(const published_revision &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace orioledrum
