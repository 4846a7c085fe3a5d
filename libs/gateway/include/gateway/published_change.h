#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <config/route_table.h>
#include <search/replica.h>

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// A version of the routes was published.
struct routes_published {
    std::shared_ptr<const route_table> table;
};

/// A backend server published what it is.
struct replica_published {
    replica_entry entry;
};

/// The entry of a backend server is gone.
struct replica_withdrawn {
    backend_id id;
};

/// An availability zone is taken out, or was brought back.
struct zone_changed {
    zone_id zone;
    bool takenOut = false;
};

/// Something was published that cannot be read; what was known under its name no longer holds.
struct unreadable_change {
    backend_id id; ///< The backend server that it would be an entry of; empty for another item.
    error reason;
};

using published_change = std::variant<routes_published, replica_published, replica_withdrawn, zone_changed, unreadable_change>;

/// A piece of what is published.
struct change_page {
    std::vector<published_change> changes;
    std::uint64_t revision = 0; ///< Everything up to this revision is contained or older.
    std::string next; ///< Where the next page of a list begins; empty after the last one.
};

} // namespace orioledrum
