#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace orioledrum
{

/// Size of a record in bytes. Records are compared as bytes. A shorter remainder at the end of a body is ignored.
inline constexpr std::size_t recordBytes = 16;

/// Selects the greatest records of several bodies.
/// @param bodies Records without order; they must stay valid during the call.
/// @param maxRecords Maximum number of records in the result.
/// @return The records in descending order. Equal records are all kept.
std::string mergeGreatestRecords(const std::vector<std::string_view> &bodies, std::size_t maxRecords);

} // namespace orioledrum
