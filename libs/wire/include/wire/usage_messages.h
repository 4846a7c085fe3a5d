#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace orioledrum
{

/// Asks an entry host for tokens of organisations with a usage cap.
struct usage_request {
    std::uint8_t source = 0; ///< Value of usage_source.
    std::uint32_t knownHosts = 0; ///< Hosts that the sender knows, lost ones included.
    std::vector<std::string> organisations;
    std::vector<std::uint32_t> tokens; ///< Wanted number for each organisation, in the same order.
};

/// The answer to a usage_request, in the order of its organisations.
struct usage_answer {
    std::vector<std::uint8_t> results; ///< Values of usage_grant::kind.
    std::vector<std::uint32_t> tokens; ///< usage_grant::tokens
    std::vector<std::chrono::microseconds> retryAfter; ///< usage_grant::retryAfter
};

/// Tells the earlier owner of an organisation that the sender takes it over.
struct usage_takeover {
    std::string organisation;
    std::uint32_t knownHosts = 0; ///< As in usage_request.
};

/// The answer to a usage_takeover; see usage_handover.
struct usage_takeover_answer {
    bool stopped = false;
    double level = 0;
    double share = 0;
    std::uint32_t knownHosts = 0; ///< As in usage_request.
};

} // namespace orioledrum
