#pragma once

#include <history/history.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace orioledrum::history
{

/// The outcome of checking one promise against a history.
enum class verdict {
    held,
    violated,
    notDecidable, ///< No violation was found, but the history lacks the events to rule one out.
};

/// @return The name used in reports and in events "expect".
std::string_view toString(verdict value);

/// One violation of a promise, with the events that prove it.
struct violation {
    std::string text;
    std::vector<line_source> events;
};

/// The result of checking one promise, which is a guarantee of the query tier (see docs/promises.md).
struct promise_result {
    int number = 0;
    std::string name;
    std::string statement; ///< The promise as a sentence.
    std::uint64_t checked = 0; ///< Calls, samples, events or periods that were checked.
    std::vector<violation> violations;
    std::vector<std::string> missingEvidence; ///< Events that the check needs and the history lacks.
    std::map<std::string, std::uint64_t> counts; ///< Further figures by name, such as cases that the check skips.

    /// @return verdict::violated with any violation; verdict::held only if something was checked and no evidence is missing.
    [[nodiscard]] verdict decision() const;
};

} // namespace orioledrum::history
