"""Zones and backend servers that leave and return under load."""
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, now_us, wait_until  # noqa: E402

# "After a few seconds": a change is in force within 6 s, and a call already sent may run for 2 s more.
NO_NEW_WORK_SECONDS = 6


class ZoneTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=24, replicas=2, entry_hosts=4, never_share=0, slow_share=0, median_ms=2, seed=9)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def zone_of(self):
        import json
        servers = json.loads((self.fleet.folder / "config" / "20-backend-servers.json").read_text())["backendServers"]
        return {name: server["zone"] for name, server in servers.items()}

    def test_a_zone_taken_out_gets_no_new_work_and_returns(self):
        """Guards against calls, hedges and retries that still reach a zone that is out, and against failed requests."""
        self.fleet.start_load(rate=40, duration_s=24, deadline_ms=500, min_coverage=1, seed=4)
        time.sleep(5)
        out = self.fleet.publish({"90-zone-b-out.json": {"availabilityZones": {"b": {"state": "out"}}}})
        published = now_us()
        wait_until("the zone out everywhere", lambda: all(
            self.fleet.admin(name, "status")["config"]["revision"] >= out for name in self.fleet.hosts), 6)
        time.sleep(9)
        returned = now_us()
        self.fleet.publish({"90-zone-b-out.json": None})
        report, samples = self.fleet.finish_load()
        calls = self.fleet.stop_backends()
        zones = self.zone_of()
        late = [call for call in calls if zones[call["backend"]] == "b"
                and published + NO_NEW_WORK_SECONDS * 1000000 < call["arrivalUs"] < returned]
        self.assertEqual(late, [])
        again = [call for call in calls if zones[call["backend"]] == "b" and call["arrivalUs"] > returned + 6 * 1000000]
        self.assertGreater(len(again), 0)
        self.assertEqual([sample for sample in samples if sample.get("outcome") != "answered"], [], report)
        self.fleet.check_history(must_hold=("zoneOut", "snapshot", "coverage", "answers", "configuration"))

    def test_a_leaving_backend_server_gets_no_new_work(self):
        """Guards against a host that goes on sending to a backend server after the list or itself says that it leaves."""
        self.fleet.start_load(rate=40, duration_s=16, deadline_ms=500, min_coverage=1, seed=4)
        time.sleep(4)
        self.fleet.change_host("b3-0", state="leaving")
        self.fleet.change_backends("backend/b5-0", drain=True)
        since = now_us()
        report, samples = self.fleet.finish_load()
        calls = self.fleet.stop_backends()
        late = [call for call in calls if call["backend"] in ("b3-0", "b5-0") and call["arrivalUs"] > since + NO_NEW_WORK_SECONDS * 1000000]
        self.assertEqual(late, [])
        self.assertEqual([sample for sample in samples if sample.get("outcome") != "answered"], [], report)
        self.fleet.check_history(must_hold=("leaving", "snapshot", "coverage", "answers"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
