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
/// @param service Identifies the service in an error (error::peer), for example by the URL that was requested.
/// @return The revision, or protocolError when any part of the body is malformed.
expected<config_answer> parseConfigAnswer(const std::string &body, const std::string &service);

/// Parses the answer to GET /v1/hosts.
/// @param service Identifies the service in an error (error::peer), for example by the URL that was requested.
/// @return The host list, or protocolError when any part of the body is malformed.
expected<host_list> parseHostList(const std::string &body, const std::string &service);

} // namespace orioledrum
