#pragma once

#include <history/promise_result.h>

namespace orioledrum::history
{

/// @param most Violations shown of each promise; all are counted.
std::string renderText(const std::vector<promise_result> &results, std::size_t maxShown);

/// @copydoc renderText
std::string renderJson(const std::vector<promise_result> &results, std::size_t maxShown);

} // namespace orioledrum::history
