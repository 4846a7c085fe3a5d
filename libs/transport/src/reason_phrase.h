#pragma once

#include <string_view>

namespace orioledrum
{

/// @return The reason phrase of an HTTP status; "Status" for one without a phrase here.
std::string_view reasonPhrase(int status);

} // namespace orioledrum
