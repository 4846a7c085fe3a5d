"""Tests under load that an availability zone out of service and a leaving backend server get no new calls."""
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, now_us, wait_until  # noqa: E402

# A change is active on every host within 6 s, so no new call may arrive later. Calls sent before that may still run for 2 s.
NO_NEW_WORK_SECONDS = 6


class ZoneTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=24, replicas=2, entry_hosts=4, never_share=0, slow_share=0, median_ms=2,
                           seed=9)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def zones_of_backends(self):
        import json
        servers = json.loads((self.fleet.folder / "config" / "20-backend-servers.json").read_text())["backendServers"]
        return {name: server["zone"] for name, server in servers.items()}

    def test_a_zone_out_of_service_gets_no_new_calls_until_it_returns(self):
        """Guards against calls, hedges and retries to an availability zone that is out of service, and against searches that fail
        meanwhile. Also checks that the zone is called again after its return.
        """
        self.fleet.start_load(rate=40, duration_s=24, deadline_ms=500, min_coverage=1, seed=4)
        time.sleep(5)
        out_revision = self.fleet.publish({"90-zone-b-out.json": {"availabilityZones": {"b": {"state": "out"}}}})
        published_us = now_us()
        wait_until("the zone to be out of service on every host", lambda: all(
            self.fleet.admin(name, "status")["config"]["revision"] >= out_revision for name in self.fleet.hosts), 6)
        time.sleep(9)
        returned_us = now_us()
        self.fleet.publish({"90-zone-b-out.json": None})
        report, samples = self.fleet.finish_load()
        calls = self.fleet.stop_backends()
        zones = self.zones_of_backends()
        late = [call for call in calls if zones[call["backend"]] == "b"
                and published_us + NO_NEW_WORK_SECONDS * 1000000 < call["arrivalUs"] < returned_us]
        self.assertEqual(late, [])
        after_return = [call for call in calls if zones[call["backend"]] == "b" and call["arrivalUs"] > returned_us + 6 * 1000000]
        self.assertGreater(len(after_return), 0)
        self.assertEqual([sample for sample in samples if sample.get("outcome") != "answered"], [], report)
        self.fleet.check_history(must_hold=("zoneOut", "snapshot", "coverage", "answers", "configuration"))

    def test_a_leaving_backend_server_gets_no_new_calls(self):
        """Guards against new calls to a backend server that is marked as leaving in the host list or reports that it is draining."""
        self.fleet.start_load(rate=40, duration_s=16, deadline_ms=500, min_coverage=1, seed=4)
        time.sleep(4)
        self.fleet.change_host("b3-0", state="leaving")
        self.fleet.change_backends("backend/b5-0", drain=True)
        drained_us = now_us()
        report, samples = self.fleet.finish_load()
        calls = self.fleet.stop_backends()
        late = [call for call in calls if call["backend"] in ("b3-0", "b5-0")
                and call["arrivalUs"] > drained_us + NO_NEW_WORK_SECONDS * 1000000]
        self.assertEqual(late, [])
        self.assertEqual([sample for sample in samples if sample.get("outcome") != "answered"], [], report)
        self.fleet.check_history(must_hold=("leaving", "snapshot", "coverage", "answers"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
