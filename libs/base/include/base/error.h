#pragma once

#include <base/error_code.h>

#include <string>
#include <tl/expected.hpp>

namespace orioledrum
{

/// A failure with the step in which it occurred and the peer, file or host concerned.
struct error {
    error_code code = error_code::internal;
    std::string message; ///< Human-readable sentence.
    std::string step; ///< The operation that failed, for example "read configuration".
    std::string peer; ///< Address or name of the peer, or path of the file or folder; empty when there is none.

    /// @return "step: message (code, peer)" for logs and command line output.
    [[nodiscard]] std::string describe() const;
};

/// Result of an operation that can fail.
template<typename T>
using expected = tl::expected<T, error>;

/// @return An error that converts to any expected<T>.
tl::unexpected<error> makeError(error_code code, std::string step, std::string message, std::string peer = {});

} // namespace orioledrum
