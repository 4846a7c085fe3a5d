"""Tests of the limits that gatewayd keeps when it gathers searches for another host."""
import math
import struct
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


def pack(value):
    """Encodes a value as MessagePack."""
    if value is None:
        return b"\xc0"
    if isinstance(value, list):
        return b"\xdc" + struct.pack(">H", len(value)) + b"".join(pack(each) for each in value)
    if isinstance(value, (str, bytes)):
        text = value.encode() if isinstance(value, str) else value
        return b"\xda" + struct.pack(">H", len(text)) + text
    if isinstance(value, float):
        return b"\xcb" + struct.pack(">d", value)
    return b"\xd3" + struct.pack(">q", value)


def relay_search(request_id, **changes):
    """Returns an encoded relay_search for one shard; `changes` replace fields."""
    fields = {"request": request_id, "route_name": "search", "route_host": "h.example", "route_prefix": "/search/", "method": "POST",
              "target": "/search/x", "header_names": ["Request-Id"], "header_values": [request_id], "body": b"the query",
              "shards": ["shard0"], "shard_limits": [[60, None]], "config_version": 3, "max_records": 10, "max_servers": 2,
              "known_servers": [[]], "known_cold_times": [[]], "target_latency_us": 400_000, "remaining_us": 300_000, "resume_time_us": 100_000, "token": 7}
    fields.update(changes)
    return pack(list(fields.values()))


class RelayLimitsTest(GatewayCase):
    def test_a_search_that_lacks_something_is_refused(self):
        """Guards against a default, or a value brought into range, in place of what another host leaves out or gets wrong: the calls would
        not be those that the asking host and its route allow.
        """
        self.platform.start_gateway("g1", "z1")

        def send(request_id, **changes):
            return self.platform.get("g1", "/hosts/search", method="POST", port="hosts", body=relay_search(request_id, **changes)).status

        self.assertEqual(send("valid"), 200)
        runs = [run for backend in self.platform.backends.values() for run in backend.ran]
        self.assertEqual([run[1:] for run in runs], [("valid", "POST", "/search/x", b"the query")])
        for changes in ({"shards": []}, {"header_values": []}, {"header_names": ["A", "B"]}, {"header_names": ["A B"]},
                        {"header_values": ["A\nB"]}, {"method": ""}, {"known_servers": []}, {"known_cold_times": []}, {"known_cold_times": [[5]]}, {"shard_limits": []},
                        {"shard_limits": [[0, None]]}, {"shard_limits": [[60, -1.0]]}, {"shard_limits": [[60, math.nan]]}, {"max_servers": 0},
                        {"remaining_us": 0}, {"remaining_us": -1}, {"remaining_us": 400_001}, {"resume_time_us": -1},
                        {"resume_time_us": 400_001}, {"target_latency_us": 0}, {"target_latency_us": 2 ** 62, "remaining_us": 2 ** 61}):
            self.assertEqual(send("refused", **changes), 400, changes)
        self.assertEqual(self.platform.run_count("refused"), 0)

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
