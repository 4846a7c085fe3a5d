"""Tests that a planned stop interrupts no request."""
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet  # noqa: E402


class ShutdownTest(unittest.TestCase):
    def test_rolling_restart_under_load(self):
        """Guards against requests that are interrupted, refused or answered incompletely while entry hosts are restarted in turn.

        The load goes only to e0, as if the load balancer used no other host. The other hosts own groups of backend
        servers and are restarted.
        """
        with tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True) as folder, \
                Fleet(folder, zones=2, shards=24, replicas=2, entry_hosts=4, never_share=0, slow_share=0, median_ms=2, seed=1) as fleet:
            fleet.start_all()
            fleet.start_load(hosts=["e0"], rate=30, order_rate=3, order_service="orders", duration_s=40, deadline_ms=1000, min_coverage=1,
                             seed=6)
            for name in ("e1", "e2", "e3"):
                time.sleep(1)
                began = time.monotonic()
                self.assertEqual(fleet.terminate(name), 0, fleet.log(name)[-800:])
                self.assertLess(time.monotonic() - began, 15)
                fleet.start_host(name)
                fleet.wait_ready(names=[name])
            report, samples = fleet.finish_load()
            failed = [sample for sample in samples if sample.get("outcome") not in ("answered", "ran")]
            self.assertEqual(failed, [], report)
            incomplete = [sample for sample in samples if sample.get("coverage", 1) < 1]
            self.assertEqual(incomplete[:3], [], f"{len(incomplete)} of {len(samples)} incomplete")
            fleet.check_history(must_hold=("plannedStop", "snapshot", "coverage", "answers", "atMostOnce"))

    def test_keep_alive_connections_are_closed_between_requests(self):
        """Guards against a stop that resets a keep-alive connection while a request is in flight."""
        with tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True) as folder, \
                Fleet(folder, zones=2, shards=24, replicas=2, entry_hosts=3, never_share=0, slow_share=0, median_ms=50, seed=1,
                      balancer_delay_ms=2000) as fleet:
            fleet.start_all()
            fleet.start_load(hosts=["e0"], rate=20, duration_s=4, deadline_ms=1000, min_coverage=1, seed=6)
            time.sleep(3)
            self.assertEqual(fleet.terminate("e0"), 0, fleet.log("e0")[-800:])
            report, samples = fleet.finish_load()
            self.assertEqual([sample for sample in samples if sample.get("outcome") != "answered"], [], report)
            fleet.check_history(must_hold=("plannedStop", "snapshot", "coverage", "answers"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
