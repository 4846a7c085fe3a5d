#pragma once

#include <string>
#include <vector>

namespace orioledrum
{

/// One fault in a configuration.
struct config_problem {
    std::string file; ///< File that holds the value; empty when the fault belongs to no single file.
    std::string keyPath; ///< Keys from the root separated by '/', for example "backendServers/b1/slots".
    std::string found; ///< What is there.
    std::string allowed; ///< What may be there.

    /// @return "file: keyPath: found FOUND, allowed: ALLOWED".
    [[nodiscard]] std::string describe() const;
};

/// @return The descriptions of all problems, one per line.
std::string describe(const std::vector<config_problem> &problems);

} // namespace orioledrum
