#pragma once

#include <base/error.h>
#include <config/config_files.h>
#include <wire/control_messages.h>

#include <string>

namespace orioledrum
{

/// A configuration revision as received from the configuration service.
struct config_answer {
    revision_number revision = 0;
    config_files files;
};

/// Parses the answer to GET /v1/config.
/// @param peer Service that an error names.
/// @return The revision, or protocolError when any part of the body is malformed.
expected<config_answer> parseConfigAnswer(const std::string &body, const std::string &peer);

/// Parses the answer to GET /v1/hosts.
/// @param peer Service that an error names.
/// @return The host list, or protocolError when any part of the body is malformed.
expected<host_list> parseHostList(const std::string &body, const std::string &peer);

} // namespace orioledrum
