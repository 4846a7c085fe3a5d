#pragma once

#include <history/promise_result.h>

namespace orioledrum::history
{

/// @param most Violations shown of each promise; all are counted.
std::string renderText(const std::vector<promise_result> &results, std::size_t most);

/// @copydoc renderText
std::string renderJson(const std::vector<promise_result> &results, std::size_t most);

} // namespace orioledrum::history
