#pragma once

#include <base/error_code.h>

#include <string>
#include <tl/expected.hpp>

namespace orioledrum
{

/// A failure together with the step and the peer at which it arose.
struct error {
    error_code code = error_code::internal;
    std::string message; ///< One plain sentence for a person.
    std::string step; ///< What was being done, for example "read configuration".
    std::string peer; ///< Address or name of the other side; empty when there is none.

    /// @return "step: message (code, peer)" for logs and command line output.
    [[nodiscard]] std::string describe() const;
};

/// Result of an operation that can fail.
template<typename T>
using expected = tl::expected<T, error>;

/// @return An unexpected value that holds an error with the given parts.
tl::unexpected<error> makeError(error_code code, std::string step, std::string message, std::string peer = {});

} // namespace orioledrum
