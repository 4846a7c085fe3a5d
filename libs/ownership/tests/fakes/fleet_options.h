#pragma once

#include <ownership/lease_timing.h>

#include <cstddef>
#include <cstdint>

namespace orioledrum
{

/// A protocol mechanism that the fake fleet disables, in order to verify that the tests detect its absence. Each value is named
/// after the resulting fault.
enum class disabled_mechanism : std::uint8_t {
    none,
    countFromReceipt, ///< The holder counts the lease from receipt of the answer instead of from sending the request.
    callEndUnchecked, ///< A call is sent whenever the lease is held, without checking that it ends within the lease.
    checkBeforePause, ///< A check made before a pause is used for a write after the pause.
    releaseWithoutWaiting, ///< A lease is released while calls are in flight.
    releaseWithoutSequence, ///< A late copy of a release also ends grants that the holder requested after the release.
    releaseLost, ///< Releases never arrive.
    grantsTwice, ///< Voters grant a lease that another host holds.
    oldHostListAccepted, ///< Voters accept requests under any host list revision.
    grantsDuringShares, ///< A voter grants leases while its host uses fixed shares.
    grantsIsolatedWhenConnected, ///< A voter grants isolated leases although its zone is not cut off.
};

/// Parameters and faults of a simulation. The seed determines all random choices.
struct fleet_options {
    std::size_t hosts = 3;
    std::size_t zones = 1;
    std::uint64_t seed = 1;
    lease_timing timing;
    lease_timing::duration length = std::chrono::seconds(60);
    lease_timing::duration maxDelay = std::chrono::milliseconds(20);
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned slowPercent = 0; ///< Percentage of messages that take up to 2 s.
    bool clockDrift = true; ///< Each clock runs 0.5% fast or slow, so that clock rates differ by up to 1%.
    bool pauses = false; ///< Pauses of up to 10 s.
    bool restarts = false; ///< Kills and restarts without any state of earlier runs.
    bool handovers = false; ///< Planned handovers and graceful restarts.
    /// Partitions of a zone from all others, hosts and backend servers included, and of zones from the platform.
    bool zonePartitions = false;
    bool arbitraryPartitions = false; ///< Partitions between any pairs of hosts; backend servers and the platform stay reachable.
    bool hostListChanges = false; ///< Host lists of randomly selected hosts, which the hosts adopt at different times.
    bool resyncAfterPause = true; ///< Hosts fetch the host list after a pause; otherwise they miss lists published during the pause.
    disabled_mechanism disabledMechanism = disabled_mechanism::none;
};

} // namespace orioledrum
