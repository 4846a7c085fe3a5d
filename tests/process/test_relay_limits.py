"""Tests of the limits that gatewayd keeps when it gathers searches for another host."""
import threading
import time
import unittest

from gateway_case import GatewayCase
from platform_standin import StoreLink

SEARCHES_PER_S = 80
WARM_UP_S = 10.0
COLD_PER_S = 4.0
BOUND = COLD_PER_S * 1.5 + 5  # Requests to a cold backend server in one second, with the factor and the slack of the settings.


def most_in_a_second(times):
    times = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= 1:
            first += 1
        most = max(most, last - first + 1)
    return most


class RelayLimitsTest(GatewayCase):
    def test_a_host_keeps_the_limits_of_shards_that_its_configuration_does_not_name(self):
        """Guards against unlimited requests to cold backend servers by a host that is cut off from the store and gathers searches over
        shards that only the configuration of the asking host names. Such backend servers crash.
        """
        links = {}

        def store_address(name):
            links.setdefault(name, StoreLink(self.platform.address))
            return self.platform.run(links[name].start())

        self.platform.store_address = store_address
        self.platform.publish_routes(warm_up_s=WARM_UP_S, cold_per_s=COLD_PER_S)
        for name, zone in (("g1", "z1"), ("g2", "z2"), ("g3", "z3")):  # No backend server is in z3: g3 has its searches gathered.
            self.platform.start_gateway(name, zone)
        time.sleep(4)  # Until the hosts know each other.

        new_shards = [f"shard{number}" for number in range(100, 106)]
        started = time.monotonic()
        for shard in new_shards:
            for number, zone in enumerate(("z1", "z2")):
                self.platform.add_backend(f"{shard}-{number}", shard, zone)
                self.platform.call_on_loop(
                    self.platform.backends[f"{shard}-{number}"].publish, warmup_left_ms=int(WARM_UP_S * 1000))
        time.sleep(1)  # Until g2 has read the entries.
        links["g2"].cut = True
        self.platform.shards = new_shards
        self.platform.publish_routes(warm_up_s=WARM_UP_S, cold_per_s=COLD_PER_S)
        searches = [threading.Thread(target=self.platform.get, args=("g3", f"/search/{number}")) for number in range(5 * SEARCHES_PER_S)]
        for search in searches:
            search.start()
            time.sleep(1 / SEARCHES_PER_S)
        for search in searches:
            search.join()
        self.assertLess(time.monotonic(), started + WARM_UP_S)
        for shard in new_shards:
            for number in range(2):
                backend = self.platform.backends[f"{shard}-{number}"]
                self.assertGreater(len(backend.arrivals), 0, backend.name)
                self.assertLessEqual(most_in_a_second([at for at, _ in backend.arrivals]), BOUND, backend.name)


if __name__ == "__main__":
    unittest.main(verbosity=2)
