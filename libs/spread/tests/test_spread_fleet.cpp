#include "tests/fakes/fake_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace orioledrum;
using namespace std::chrono_literals;

// Guards against a rejected revision that is known only to the hosts that read from the service. The other hosts could then not
// report why that revision is not active.
TEST(SpreadFleet, RejectionIsReportedOnEveryHost)
{
    fake_fleet fleet({.zones = 2, .hostsPerZone = 4, .seed = 5});
    fleet.run(3s);
    fleet.publish(/*valid=*/false);
    fleet.run(6s);
    EXPECT_TRUE(fleet.converged());
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto status = fleet.configSync(index).status(fleet.now());
        ASSERT_TRUE(status.rejected);
        EXPECT_EQ(status.rejected->revision, 2U);
        EXPECT_EQ(status.rejected->problems.at(0).keyPath, "customers");
    }
}

// Guards against hosts that are all cut off from the service but treat each other's digests as new confirmations by the service,
// and against more than one call per second and host while the service is down.
TEST(SpreadFleet, ServiceConfirmationAgeGrowsWhileServiceIsDown)
{
    fake_fleet fleet({.zones = 2, .hostsPerZone = 8, .seed = 11, .maxDelay = 20ms});
    fleet.run(5s);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.disconnectedFromService.insert(index);
    }
    fleet.run(10s);
    const auto before = fleet.serviceCalls();
    fleet.run(60s);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        const auto status = fleet.configSync(index).status(fleet.now());
        // The hosts confirm each other's configuration, but that does not count as a confirmation by the service.
        EXPECT_GE(*status.serviceConfirmationAge, 69s);
        EXPECT_LE(*status.confirmationAge, 3s);
    }
    EXPECT_LE(fleet.serviceCalls() - before, 60U * fleet.size());
}

// Guards against a number of service calls that grows with the number of hosts instead of the number of zones, and against
// changes that take more than 6 s. Counts the calls in one minute with three changes.
TEST(SpreadFleet, ServiceCallsScaleWithZones)
{
    for (const std::size_t hosts : {4U, 16U, 64U}) {
        for (const std::size_t zones : {1U, 4U}) {
            fake_fleet fleet({.zones = zones, .hostsPerZone = hosts / zones, .seed = 3});
            fleet.run(5s);
            const auto before = fleet.serviceCalls();
            std::chrono::milliseconds slowest{0};
            for (int change = 0; change < 3; ++change) {
                fleet.publish();
                std::chrono::milliseconds waited{0};
                while (!fleet.converged()) {
                    fleet.run(20ms);
                    waited += 20ms;
                    ASSERT_LE(waited, 6s);
                }
                slowest = std::max(slowest, waited);
                fleet.run(20s - waited);
            }
            const auto calls = fleet.serviceCalls() - before;
            std::cout << hosts << " hosts in " << zones << " zones: " << calls << " service calls in 60 s, slowest change "
                      << slowest.count() << " ms\n";
            const auto readers = zones * std::min<std::size_t>(2, hosts / zones);
            EXPECT_LE(calls, readers * (60 + 2 * 3));
        }
    }
}
