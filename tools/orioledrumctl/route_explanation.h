#pragma once

#include <base/error.h>

#include <string>

namespace orioledrum
{

/// @param explanation The JSON object that gatewayd serves on /route of its metrics address.
/// @param host Named in the error.
/// @return Lines for the route, the admission and the parts, and a table of the backend servers of each service in the order of choice;
/// or a malformed error when the text is no such object.
expected<std::string> routeExplanationText(const std::string &explanation, const std::string &host);

} // namespace orioledrum
