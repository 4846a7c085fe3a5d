#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// A problem in the configuration files, with its location.
struct config_problem {
    std::string file; ///< File that contains the value; empty when the problem concerns no single file.
    std::string keyPath; ///< Keys from the root separated by '/', for example "backendServers/b1/slots".
    std::string found; ///< Description of the value that was found.
    std::string allowed; ///< Description of the allowed values.

    /// @return "file: keyPath: found FOUND, allowed: ALLOWED".
    [[nodiscard]] std::string describe() const;
};

/// @return The descriptions of all problems, one per line.
std::string describe(const std::vector<config_problem> &problems);

} // namespace orioledrum
