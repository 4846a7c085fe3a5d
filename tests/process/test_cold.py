"""Tests that a cold backend server never gets more concurrent calls than its current capacity."""
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, wait_until  # noqa: E402


class ColdTest(unittest.TestCase):
    ramp_work_ms = 1000000  # So much that the backend servers stay cold during the whole test.

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=12, replicas=2, entry_hosts=5, start_cold=True, ramp_work_ms=self.ramp_work_ms,
                           never_share=0, slow_share=0.05, median_ms=10, seed=11)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def assert_cold_limit_kept(self):
        """Checks that no call exceeded the capacity of a cold backend server, and that enough calls were answered to tell."""
        totals = self.fleet.backend_stats()["totals"]
        self.assertGreater(totals["answered"], 100)
        self.assertEqual(totals["aboveBorneCold"], 0, totals)

    def test_load_on_all_hosts(self):
        """Guards against entry hosts that together exceed the limit of a cold backend server because each of them uses the full limit."""
        self.fleet.start_load(rate=60, duration_s=8, deadline_ms=300, min_coverage=1, seed=2)
        self.fleet.finish_load()
        self.assert_cold_limit_kept()
        self.fleet.check_history(must_hold=("cold", "snapshot", "coverage", "answers"))

    def test_paused_and_killed_owners(self):
        """Guards against a paused or killed owner that still sends calls after another host has taken over its groups.

        The owner of a group of backend servers is the host that holds its lease; only the owner sends calls to these servers.
        The backend servers stay cold during the whole test, so that calls from two owners at the same time exceed the limit.
        """
        self.fleet.start_load(hosts=["e1", "e2", "e3"], rate=40, duration_s=24, deadline_ms=300, min_coverage=0.5, seed=2)
        time.sleep(2)
        self.fleet.pause("e0")
        time.sleep(1)
        self.fleet.kill("e4")
        time.sleep(3)
        self.fleet.start_host("e4")
        time.sleep(6)
        self.fleet.resume("e0")
        self.fleet.finish_load()
        self.assert_cold_limit_kept()
        wait_until("e0 ready again", lambda: self.fleet.admin("e0", "status")["ready"], 5)
        events = self.fleet.admin("e0", "timeline")["events"]
        self.assertIn("pauseDetected", {event["kind"] for event in events})
        self.fleet.check_history(must_hold=("cold", "snapshot", "coverage", "answers"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
