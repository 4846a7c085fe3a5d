#pragma once

namespace orioledrum::standin
{

/// Raises the limit of open files of this process to the highest value it may set itself.
void raiseOpenFileLimit();

} // namespace orioledrum::standin
