#pragma once

namespace orioledrum::standin
{

/// Raises the soft limit on open files (RLIMIT_NOFILE) to the hard limit. Failures are ignored.
void raiseOpenFileLimit();

} // namespace orioledrum::standin
