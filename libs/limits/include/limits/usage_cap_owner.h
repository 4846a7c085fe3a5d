#pragma once

#include <base/monotonic_clock.h>
#include <limits/usage_cap.h>
#include <limits/usage_fleet.h>
#include <limits/usage_grant.h>
#include <limits/window_counter.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace orioledrum
{

/// What the earlier owner of an organisation answers to the host that takes it over.
struct usage_handover {
    bool stopped = false; ///< It will hand out no more tokens of the organisation.
    double level = 0; ///< Tokens that it could still have handed out.
    double share = 0; ///< Its usage_fleet::establishedShare().
};

/// Ask the earlier owner whether it has stopped.
struct usage_claim {
    std::string organisation;
    std::string address;
};

/// Hands out the tokens of the organisations that this host owns, and its parts of the reserves. A state machine without I/O; used by one
/// thread.
///
/// An owner hands out the whole cap only when no other host can act as the owner: the earlier one has confirmed that it stopped, or every
/// host has had time to notice the change. Behind a partition it hands out the share of the known hosts on its side. So two owners with
/// different views together hand out at most the cap, and the bound of usage_cap holds for tokens and reserves together.
class usage_cap_owner
{
public:
    /// @param fleet Must outlive this object.
    /// @param now Start of the process.
    usage_cap_owner(const usage_fleet &fleet, time_point now);
    virtual ~usage_cap_owner() = default;
    usage_cap_owner(const usage_cap_owner &) = delete;
    usage_cap_owner &operator=(const usage_cap_owner &) = delete;

    /// Handles a request for tokens at the owner.
    usage_grant request(const usage_cap &cap, std::uint32_t wanted, time_point now);

    /// Handles a request for a token of the zone's reserve, at the first host in rank of the zone.
    usage_grant requestZoneReserve(const usage_cap &cap, time_point now);

    /// Takes a token of this host's own reserve.
    usage_grant takeHostReserve(const usage_cap &cap, time_point now);

    /// @return Claims to send since the last call.
    std::vector<usage_claim> takeClaims();
    /// Handles the claim of a host that takes an organisation over.
    usage_handover claimReceived(const usage_cap &cap, time_point now);
    /// Handles the answer to a claim of this host; nullopt when there was none.
    void claimAnswered(const usage_cap &cap, const std::optional<usage_handover> &answer, time_point now);

    /// Must be called after each usage_fleet::update(): empties the buckets of organisations that another host owns now.
    void fleetChanged();

    /// Empties all buckets, after a pause of the process; to be called together with usage_fleet::restart().
    void restart(time_point now);

protected:
    /// @return True when nothing may be handed out at the start that an earlier process of this host may have handed out in the same
    /// window. A test that does not want this overrides it.
    [[nodiscard]] virtual bool startsEmpty() const { return true; }

private:
    struct owned_cap {
        double level = 0; ///< Tokens in the bucket.
        time_point updatedAt;
        double share = 0; ///< Share of the cap that was handed out until updatedAt.
        std::optional<time_point> ownedSince; ///< Nothing while another host is the owner.
        bool confirmed = false; ///< The earlier owner has stopped.
        double confirmedShare = 1; ///< usage_handover::share of the earlier owner.
        bool claimSent = false;
        time_point stoppedUntil; ///< Another host has taken the organisation over.
        time_point expectedFreeAt; ///< Time of the token that the latest refused request was told to come back for.
        std::optional<window_counter> zoneReserve;
        std::optional<window_counter> hostReserve;
    };

    /// @return Whether this host is certain to be the only owner; brings the bucket up to date.
    bool advance(const usage_cap &cap, owned_cap &state, time_point now);
    static void stopOwning(owned_cap &state);
    usage_grant refuse(const usage_cap &cap, owned_cap &state, time_point now) const;
    [[nodiscard]] usage_grant
    takeReserve(std::optional<window_counter> &counter, const usage_cap &cap, std::uint32_t limit, time_point now) const;

    const usage_fleet &m_fleet;
    time_point m_startedAt;
    std::unordered_map<std::string, owned_cap> m_caps;
    std::vector<usage_claim> m_claims;
};

} // namespace orioledrum
