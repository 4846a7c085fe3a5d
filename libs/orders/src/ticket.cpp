#include <orders/ticket.h>

#include <algorithm>
#include <charconv>

namespace orioledrum
{

namespace
{

constexpr std::size_t incarnationDigits = 32;

bool isHostCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
        || character == '.' || character == '-' || character == '_';
}

bool isHexCharacter(char character)
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

tl::unexpected<error> malformed(std::string message)
{
    return makeError(error_code::malformed, "read ticket", std::move(message));
}

} // namespace

std::string ticket::text() const
{
    return host.str() + "." + incarnation.str() + "." + std::to_string(sequence);
}

expected<ticket> ticket::parse(std::string_view text)
{
    if (text.size() > maxTextLength) {
        return malformed("the ticket is longer than " + std::to_string(maxTextLength) + " characters");
    }
    // Searches from the end, because only the host's id may contain dots.
    const auto sequenceDot = text.rfind('.');
    const auto incarnationDot =
        sequenceDot == std::string_view::npos || sequenceDot == 0 ? std::string_view::npos : text.rfind('.', sequenceDot - 1);
    if (incarnationDot == std::string_view::npos) {
        return malformed("the ticket does not have the three parts HOST.INCARNATION.SEQUENCE");
    }
    const auto host = text.substr(0, incarnationDot);
    const auto incarnation = text.substr(incarnationDot + 1, sequenceDot - incarnationDot - 1);
    const auto number = text.substr(sequenceDot + 1);
    if (host.empty() || !std::all_of(host.begin(), host.end(), isHostCharacter)) {
        return malformed("the host of the ticket is empty or has an invalid character");
    }
    if (incarnation.size() != incarnationDigits || !std::all_of(incarnation.begin(), incarnation.end(), isHexCharacter)) {
        return malformed("the incarnation of the ticket is not 32 lower-case hexadecimal digits");
    }
    std::uint64_t sequence = 0;
    const auto *end = number.data() + number.size();
    const auto [stop, failure] = std::from_chars(number.data(), end, sequence);
    if (failure != std::errc() || stop != end || sequence == 0 || number.front() == '0') {
        return malformed("the sequence of the ticket is not a positive decimal number without leading zeros");
    }
    return ticket{entry_host_id(std::string(host)), incarnation_id(std::string(incarnation)), sequence};
}

} // namespace orioledrum
