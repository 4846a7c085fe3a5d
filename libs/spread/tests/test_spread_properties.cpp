#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace orioledrum;
using namespace std::chrono_literals;

namespace
{

/// Carries out one random event.
void disturb(fake_fleet &fleet, std::uint8_t kind, std::uint8_t host)
{
    const auto index = host % fleet.size();
    switch (kind % 10) {
    case 0:
    case 1:
        fleet.publish();
        break;
    case 2:
        fleet.publish(false);
        break;
    case 3:
        fleet.restart(index);
        break;
    case 4:
        fleet.cutFromService.insert(index);
        break;
    case 5:
        fleet.cutFromPeers.insert(index);
        break;
    case 6:
        fleet.cutFromPeers.erase(index);
        break;
    case 7:
        fleet.cutFromService.erase(index);
        break;
    case 8:
        fleet.staleAt = std::max<revision_number>(fleet.latestValid(), 2) - 1;
        break;
    default:
        fleet.staleAt = 0;
        break;
    }
    fleet.run(std::chrono::milliseconds(host * 10));
}

} // namespace

// Guards against a revision that goes back, files of two revisions in one configuration, a faulty revision that is
// applied, and hosts that stay behind once all of them are connected.
RC_GTEST_PROP(SpreadFleet,
              NeverRevertsAndConverges,
              (std::uint64_t seed, std::uint8_t shape, const std::vector<std::pair<std::uint8_t, std::uint8_t>> &events))
{
    fake_fleet fleet(
        {.zones = 1U + shape % 3U, .hostsPerZone = 1U + shape / 3U % 5U, .seed = seed, .loss = 0.2, .duplication = 0.2, .maxDelay = 200ms});
    for (const auto &[kind, host] : events) {
        disturb(fleet, kind, host);
        RC_ASSERT(fleet.violation().empty());
    }
    fleet.cutFromService.clear();
    fleet.cutFromPeers.clear();
    fleet.staleAt = 0;
    const auto known = fleet.greatestInForce();
    fleet.run(6s);
    RC_ASSERT(fleet.violation().empty());
    if (fleet.latestIsValid()) {
        RC_ASSERT(fleet.converged());
    } else {
        // The service offers only a faulty revision, so nothing can be better than what the hosts had.
        RC_ASSERT(fleet.agreed());
        RC_ASSERT(fleet.greatestInForce() >= known);
    }
}

// Guards against a change that reaches hosts only while every reader can reach the service: here the readers of all
// zones are cut off from it and the other hosts must notice.
RC_GTEST_PROP(SpreadFleet, FallbackReadsReplaceCutReaders, (std::uint64_t seed, std::uint8_t shape))
{
    fake_fleet fleet({.zones = 1U + shape % 3U, .hostsPerZone = 3U + shape / 3U % 4U, .seed = seed, .loss = 0.05});
    fleet.run(3s);
    RC_ASSERT(fleet.converged());
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.machine(index).status(fleet.now()).reader) {
            fleet.cutFromService.insert(index);
        }
    }
    fleet.publish();
    fleet.run(6s);
    RC_ASSERT(fleet.converged());
}

// Guards against a restarted host that serves an older revision than its zone because the service is stale.
RC_GTEST_PROP(SpreadFleet, RestartWithStaleServiceKeepsTheRevision, (std::uint64_t seed, std::uint8_t restarted, bool down))
{
    fake_fleet fleet({.zones = 2, .hostsPerZone = 4, .seed = seed, .duplication = 0.2, .maxDelay = 20ms});
    fleet.run(3s);
    fleet.publish();
    fleet.run(6s);
    RC_ASSERT(fleet.converged());
    fleet.staleAt = 1;
    const auto index = restarted % fleet.size();
    if (down) {
        fleet.cutFromService.insert(index);
    }
    fleet.restart(index);
    for (int count = 0; count < 60; ++count) {
        fleet.run(50ms);
        RC_ASSERT(!fleet.machine(index).ready() || fleet.revision(index) == fleet.latestValid());
    }
    RC_ASSERT(fleet.machine(index).ready());
}
