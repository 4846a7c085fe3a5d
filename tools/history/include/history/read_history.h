#pragma once

#include <history/history.h>

#include <tl/expected.hpp>

#include <istream>

namespace orioledrum::history
{

/// Adds the lines of one input, whose kinds may be mixed.
/// @param name Name of the input in messages.
/// @return Nothing, or the place and cause of the first line that cannot be used.
tl::expected<void, std::string> readHistory(std::istream &input, const std::string &name, recorded_history &result);

/// Sorts what was read and checks what only all inputs together show. Call it once after the last input.
/// @return Nothing, or the cause.
tl::expected<void, std::string> completeHistory(recorded_history &result);

} // namespace orioledrum::history
