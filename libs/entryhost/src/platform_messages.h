#pragma once

#include <base/error.h>
#include <config/config_files.h>
#include <wire/control_messages.h>

#include <string>

namespace orioledrum
{

/// A revision as the configuration service answers it.
struct config_answer {
    revision_number revision = 0;
    config_files files;
};

/// @param body Body of GET /v1/config.
/// @param peer The service, for errors.
expected<config_answer> parseConfigAnswer(const std::string &body, const std::string &peer);

/// @param body Body of GET /v1/hosts.
/// @param peer The service, for errors.
expected<host_list> parseHostList(const std::string &body, const std::string &peer);

} // namespace orioledrum
