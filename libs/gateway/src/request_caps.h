#pragma once

#include <cstddef>

namespace orioledrum
{

/// Size of a caller's request that a host reads at most, whatever the configuration allows: a limit on the memory that one connection
/// takes. The configured limits apply to what was read. A request above these caps gets 400 or 413; a configuration with greater limits is
/// logged.
constexpr std::size_t maxReadHeadBytes = std::size_t{1024} * 1024;
constexpr std::size_t maxReadBodyBytes = std::size_t{4} * 1024 * 1024;

} // namespace orioledrum
