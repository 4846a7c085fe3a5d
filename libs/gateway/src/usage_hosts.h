#pragma once

#include <limits/usage_fleet.h>

#include <vector>

namespace orioledrum
{

struct membership_view;

/// @return The hosts of the view, this one included, as usage_fleet takes them.
std::vector<usage_host> usageHostsOf(const membership_view &view);

/// @return The times of membership in a fleet of this size; see membership_settings::scalingThreshold.
usage_fleet_times usageTimesOf(const membership_view &view);

} // namespace orioledrum
