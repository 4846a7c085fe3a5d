#pragma once

#include <base/error.h>
#include <base/ids.h>
#include <config/route_table.h>
#include <search/replica.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace orioledrum
{

/// A new version of the route table was published.
struct routes_published {
    std::shared_ptr<const route_table> table;
};

/// A backend server published or updated its entry.
struct replica_published {
    replica_entry entry;
};

/// The entry of a backend server was removed or expired.
struct replica_removed {
    backend_id id;
};

/// An availability zone was taken out of service or returned to it.
struct zone_changed {
    zone_id zone;
    bool excluded = false;
};

/// A published item cannot be decoded. An earlier entry of the same backend server is no longer valid; an earlier route table stays
/// active.
struct unreadable_change {
    backend_id id; ///< Backend server whose entry it is; empty for items of other kinds.
    error reason;
};

using published_change = std::variant<routes_published, replica_published, replica_removed, zone_changed, unreadable_change>;

/// One page of published items, or the changes after a revision.
struct change_page {
    std::vector<published_change> changes;
    std::uint64_t revision = 0; ///< The page covers all changes up to this revision.
    std::optional<std::uint64_t> era; ///< Era of `revision`, see published_revision. Not set by decode() and decodeList().
    std::string nextPageToken; ///< Passed to change_source::list() for the next page; empty on the last one.
    /// The page in the encoding of the source, for change_source::decode() or decodeList() on another host.
    std::string encoded;
};

} // namespace orioledrum
