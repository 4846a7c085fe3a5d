#pragma once

#include <base/monotonic_clock.h>

#include <chrono>

namespace orioledrum
{

/// Periods of the lease protocol. Every host must run with the same values; tests switch a mechanism off by changing one.
struct lease_timing {
    using duration = monotonic_clock::duration;

    duration lease = std::chrono::seconds(3); ///< Length of a grant at a voter, from receipt.
    int holderPercent = 98; ///< Part of a grant that the holder uses, from sending; covers clock rates that differ by 1%.
    duration renewal = std::chrono::seconds(1); ///< Time between two requests for a lease held.
    duration retry = std::chrono::milliseconds(50); ///< Time between two requests for a lease that was just given back or has just expired.
    duration grace = std::chrono::milliseconds(250); ///< Time after a call's deadline until the backend server is done with it.
    duration maxCallDuration = std::chrono::seconds(2); ///< Longest deadline of a call to a backend server.
    duration startSilence = std::chrono::seconds(3); ///< A started voter grants nothing for this time.
    /// Longest difference between the times at which two connected hosts adopt a host list revision. A change that
    /// leaves two quorums without a common voter is waited out for lease + rosterLag.
    duration rosterLag = std::chrono::seconds(3);
    duration isolatedLease = std::chrono::milliseconds(1750); ///< Length of a lease in a zone cut off from all others.
    duration isolatedRenewal = std::chrono::milliseconds(250); ///< Time between two requests in such a zone.
    duration isolatedAfter = std::chrono::milliseconds(3250); ///< Silence from outside after which a zone counts as cut off.
    duration isolatedHolderWait =
        std::chrono::milliseconds(3250); ///< Wait of a holder without the votes of the zone until no isolated holder is left in it.
    duration externalContactGap = std::chrono::milliseconds(1500); ///< Silence from outside after which that wait starts again.
    duration sharesAfter = std::chrono::milliseconds(3250); ///< Time without a quorum after which fixed shares are used.
    duration reachableTimeout = std::chrono::milliseconds(2500); ///< A host not heard from for this time counts as unreachable.
    duration takeoverDelayPerHost = std::chrono::seconds(1); ///< Extra wait of a candidate for each live host ranked before it.
    duration failbackAfter = std::chrono::seconds(10); ///< A preferred host live for this long gets its group back.
};

} // namespace orioledrum
