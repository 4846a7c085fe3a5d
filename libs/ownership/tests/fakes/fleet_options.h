#pragma once

#include <ownership/lease_timing.h>

#include <cstddef>
#include <cstdint>

namespace orioledrum
{

/// A mechanism that a fake switches off, to show that the properties notice it.
enum class broken_mechanism : std::uint8_t {
    none,
    countFromReceipt, ///< The holder counts the lease from the answer's arrival.
    callEndUnchecked, ///< A call is sent whenever the lease is held, however long the call is.
    checkBeforePause, ///< The check made before a pause is used for the write after it.
    releaseWithoutWaiting, ///< A lease is given back while calls are in flight.
    releaseWithoutSequence, ///< A late copy of a release frees whatever grant its holder has.
    releaseLost, ///< Releases never arrive.
    grantsTwice, ///< Voters grant a group that another host holds.
    oldRosterAccepted, ///< Voters accept requests under any roster.
    grantsDuringShares, ///< A voter grants although its host uses fixed shares.
    grantsIsolatedUnasked, ///< A host whose zone is not cut off votes as if it were.
};

/// What happens in a run of the fake fleet. All random choices follow from the seed.
struct fleet_options {
    std::size_t hosts = 3;
    std::size_t zones = 1;
    std::uint64_t seed = 1;
    lease_timing timing;
    lease_timing::duration length = std::chrono::seconds(60);
    lease_timing::duration maxDelay = std::chrono::milliseconds(20);
    unsigned lossPercent = 0;
    unsigned duplicatePercent = 0;
    unsigned slowPercent = 0; ///< Messages that take up to 2 s.
    bool clockDrift = true; ///< Clock rates differ by up to 1%.
    bool pauses = false; ///< Pauses of up to 10 s.
    bool restarts = false; ///< Kills, and restarts with empty memory.
    bool handovers = false; ///< Planned handovers and graceful restarts.
    bool zoneCuts = false; ///< Cuts between zones, which also separate hosts from backend servers, and from the platform.
    bool arbitraryCuts = false; ///< Cuts between any hosts; backend servers and the platform stay reachable.
    bool rosterChanges = false; ///< Host lists with one or several hosts added or removed, adopted at different times.
    bool resynchronise = true; ///< A host that wakes up fetches the host list; otherwise it misses lists published during the pause.
    broken_mechanism broken = broken_mechanism::none;
};

} // namespace orioledrum
