#pragma once

#include <base/error.h>
#include <base/ids.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace orioledrum
{

/// Single-use permission to run one order, issued by one incarnation of an entry host.
///
/// The text form is "HOST.INCARNATION.SEQUENCE": the host's id (letters, digits, '.', '-', '_'), 32 lower-case hexadecimal
/// digits, and a decimal number without leading zeros. It needs no escaping in a URL.
struct ticket {
    static constexpr std::size_t maxTextLength = 256;

    entry_host_id host;
    incarnation_id incarnation;
    std::uint64_t sequence = 0; ///< Starts at 1 in each incarnation.

    bool operator==(const ticket &other) const = default;

    /// @return The text form as described above.
    [[nodiscard]] std::string text() const;

    /// @param text The text form of a ticket.
    /// @return The ticket, or a malformed error that names the invalid part.
    static expected<ticket> parse(std::string_view text);
};

} // namespace orioledrum
