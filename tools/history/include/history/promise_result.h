#pragma once

#include <history/history.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum::history
{

enum class verdict {
    held,
    violated,
    notDecidable,
};

/// @return The name used in reports and stated outcomes.
std::string_view toString(verdict value);

/// One breach of a promise.
struct violation {
    std::string text;
    std::vector<line_source> events;
};

/// The decision on one promise.
struct promise_result {
    int number = 0;
    std::string name;
    std::string statement;
    std::uint64_t checked = 0; ///< Facts that could have shown a violation and did not, or did.
    std::vector<violation> violations;
    std::vector<std::string> missingEvidence; ///< What the history lacks.
    std::map<std::string, std::uint64_t> counts;

    /// @return Violated with any violation; held only when something was checked and nothing is missing.
    [[nodiscard]] verdict decision() const;
};

} // namespace orioledrum::history
