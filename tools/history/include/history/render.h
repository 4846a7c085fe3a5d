#pragma once

#include <history/promise_result.h>

namespace orioledrum::history
{

/// @return For each promise its verdict, counts, missing evidence and violations, as text for a terminal.
/// @param maxShown Maximum number of violations to list for each promise; the printed count includes all of them.
std::string renderText(const std::vector<promise_result> &results, std::size_t maxShown);

/// @return The same, with the statement of each promise, as a JSON object.
/// @param maxShown As for renderText.
std::string renderJson(const std::vector<promise_result> &results, std::size_t maxShown);

} // namespace orioledrum::history
