#pragma once

#include <history/promise_result.h>

namespace orioledrum::history
{

/// @param maxShown Maximum number of violations to list for each promise; the printed count includes all of them.
std::string renderText(const std::vector<promise_result> &results, std::size_t maxShown);

/// @copydoc renderText
std::string renderJson(const std::vector<promise_result> &results, std::size_t maxShown);

} // namespace orioledrum::history
