#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// Carries out one event: a publication, a restart, a connection lost or restored, or the configuration service starts or stops
/// serving an old revision.
/// @param event Selects the event by its last decimal digit.
/// @param hostAndDelay Selects the host, modulo the fleet size, and is the simulated time that passes afterwards, in units of 10 ms.
void applyRandomEvent(fake_fleet &fleet, std::uint8_t event, std::uint8_t hostAndDelay)
{
    const auto index = hostAndDelay % fleet.size();
    switch (event % 10) {
    case 0:
    case 1:
        fleet.publish();
        break;
    case 2:
        fleet.publish(/*valid=*/false);
        break;
    case 3:
        fleet.restart(index);
        break;
    case 4:
        fleet.disconnectedFromService.insert(index);
        break;
    case 5:
        fleet.disconnectedFromPeers.insert(index);
        break;
    case 6:
        fleet.disconnectedFromPeers.erase(index);
        break;
    case 7:
        fleet.disconnectedFromService.erase(index);
        break;
    case 8:
        fleet.staleRevision = std::max<revision_number>(fleet.latestValid(), 2) - 1;
        break;
    default:
        fleet.staleRevision = 0;
        break;
    }
    fleet.run(std::chrono::milliseconds(hostAndDelay * 10));
}

} // namespace

// Guards against a host that returns to an older revision, mixes files of two revisions or applies an invalid revision, and
// against hosts that do not apply the latest revision once all of them are connected again.
RC_GTEST_PROP(SpreadFleet,
              NeverRevertsAndConverges,
              (std::uint64_t seed, std::uint8_t shape, const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events))
{
    fake_fleet fleet({.zones = 1U + shape % 3U,
                      .hostsPerZone = 1U + shape / 3U % 5U,
                      .seed = seed,
                      .lossProbability = 0.2,
                      .duplicationProbability = 0.2,
                      .maxDelay = 200ms});
    for (const auto &[event, hostAndDelay] : events) {
        applyRandomEvent(fleet, event, hostAndDelay);
        RC_ASSERT(fleet.violation().empty());
    }
    fleet.disconnectedFromService.clear();
    fleet.disconnectedFromPeers.clear();
    fleet.staleRevision = 0;
    const auto greatestBefore = fleet.greatestActiveRevision();
    fleet.run(6s);
    RC_ASSERT(fleet.violation().empty());
    if (fleet.latestIsValid()) {
        RC_ASSERT(fleet.converged());
    } else {
        // The service offers only its latest revision, which is invalid. The hosts can only agree on the greatest revision that
        // one of them already had, or on a greater valid revision that was still in transit.
        RC_ASSERT(fleet.allHaveSameRevision());
        RC_ASSERT(fleet.greatestActiveRevision() >= greatestBefore);
    }
}

// Guards against changes that are not distributed when the readers of all zones are cut off from the service. The other
// hosts must notice that the service's last confirmation is too old, and read from the service themselves.
RC_GTEST_PROP(SpreadFleet, FallbackReadsReplaceDisconnectedReaders, (std::uint64_t seed, std::uint8_t shape))
{
    fake_fleet fleet({.zones = 1U + shape % 3U, .hostsPerZone = 3U + shape / 3U % 4U, .seed = seed, .lossProbability = 0.05});
    fleet.run(3s);
    RC_ASSERT(fleet.converged());
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.configSync(index).status(fleet.now()).reader) {
            fleet.disconnectedFromService.insert(index);
        }
    }
    fleet.publish();
    fleet.run(6s);
    RC_ASSERT(fleet.converged());
}

// Guards against a restarted host that becomes ready with an older revision than the one active in its zone, because the service
// is stale or unreachable.
RC_GTEST_PROP(SpreadFleet, RestartWithStaleServiceDoesNotRevert, (std::uint64_t seed, std::uint8_t restarted, bool serviceUnreachable))
{
    fake_fleet fleet({.zones = 2, .hostsPerZone = 4, .seed = seed, .duplicationProbability = 0.2, .maxDelay = 20ms});
    fleet.run(3s);
    fleet.publish();
    fleet.run(6s);
    RC_ASSERT(fleet.converged());
    fleet.staleRevision = 1;
    const auto index = restarted % fleet.size();
    if (serviceUnreachable) {
        fleet.disconnectedFromService.insert(index);
    }
    fleet.restart(index);
    for (int count = 0; count < 60; ++count) {
        fleet.run(50ms);
        RC_ASSERT(!fleet.configSync(index).ready() || fleet.revision(index) == fleet.latestValid());
    }
    RC_ASSERT(fleet.configSync(index).ready());
}
