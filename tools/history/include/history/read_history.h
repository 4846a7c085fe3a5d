#pragma once

#include <history/history.h>

#include <tl/expected.hpp>

#include <istream>

namespace orioledrum::history
{

/// Parses one input and adds its events to the result. An input may mix calls, samples, timelines and operator events.
/// @param name Name of the input in messages.
/// @return Nothing, or the location of the first invalid line and what is wrong with it, or that the input cannot be read.
tl::expected<void, std::string> readHistory(std::istream &input, const std::string &name, recorded_history &result);

/// Derives zone changes from publications, sorts the events and merges overlapping timelines. Must be called once, after the last input.
/// @return Nothing, or an error if two events of one process have the same sequence number but different times or kinds.
tl::expected<void, std::string> completeHistory(recorded_history &result);

} // namespace orioledrum::history
