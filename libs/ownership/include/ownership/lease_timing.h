#pragma once

#include <base/monotonic_clock.h>

#include <chrono>

namespace orioledrum
{

/// Periods of the lease protocol. All hosts must use the same values. Tests disable a mechanism by changing one value.
struct lease_timing {
    using duration = monotonic_clock::duration;

    duration lease = std::chrono::seconds(3); ///< Duration of a grant, which the voter counts from receipt of the request.
    /// Percentage of a grant that the holder uses, which it counts from sending the request. Covers clock rates that differ by 2%; in the
    /// tests they differ by 1%.
    int holderPercent = 98;
    duration renewal = std::chrono::seconds(1); ///< Normal interval between requests for a lease, held or not.
    /// Interval between requests shortly after another host's grant was released or expired.
    duration retry = std::chrono::milliseconds(50);
    /// Time after a call's deadline until the backend server has stopped working on it.
    duration deadlineGrace = std::chrono::milliseconds(250);
    duration maxCallDuration = std::chrono::seconds(2); ///< Longest deadline of a call to a backend server.
    duration initialGrantDelay = std::chrono::seconds(3); ///< A voter grants nothing for this time after its process started.
    /// Maximum difference between the times at which two connected hosts adopt a host list revision. After a change that
    /// leaves two quorums without a common voter, leases are neither granted nor requested for lease + hostListLag.
    duration hostListLag = std::chrono::seconds(3);
    duration isolatedLease = std::chrono::milliseconds(1750); ///< Duration of a lease in a zone that is cut off from all others.
    duration isolatedRenewal = std::chrono::milliseconds(250); ///< Interval between requests in a zone that is cut off.
    /// A zone counts as cut off when neither a host of another zone nor the platform has sent a message for this time.
    duration isolatedAfter = std::chrono::milliseconds(3250);
    /// A holder without the votes of the group's zone sends no calls until this long after lease_state::isolationWaitStart. By then, that
    /// zone can no longer have an isolated holder.
    duration isolatedHolderWait = std::chrono::milliseconds(3250);
    /// After this time without a message from another zone or the platform, isolatedHolderWait restarts for groups of this host's
    /// zone at the next such message.
    duration externalContactGap = std::chrono::milliseconds(1500);
    duration sharesAfter = std::chrono::milliseconds(3250); ///< Fixed shares are used after this time without a reachable quorum.
    duration reachableTimeout =
        std::chrono::milliseconds(2500); ///< A host counts as unreachable after this time without a message from it.
    /// Wait of a host before it requests a free lease, for each available host ranked before it that has not stopped requesting the
    /// lease (lease_voter::stoppedRequesting).
    duration takeoverDelayPerHost = std::chrono::seconds(1);
    /// A host ranked before the holder gets the lease back after requesting it for this time.
    duration failbackAfter = std::chrono::seconds(10);
};

} // namespace orioledrum
