"""Tests backend servers that restart cold between two calls without announcing it."""
import pathlib
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import test_cold  # noqa: E402


class SilentColdTest(test_cold.ColdTest):
    ramp_work_ms = 1500
    test_load_on_all_hosts = None  # Not repeated here.

    def test_paused_and_killed_owners(self):
        """Guards against calls above the capacity of a backend server after an unannounced cold restart while one owner is
        paused and another owner was killed.
        """
        self.fleet.start_load(hosts=["e1", "e2", "e3"], rate=40, duration_s=24, deadline_ms=300, min_coverage=0.5, seed=2)
        time.sleep(2)
        self.fleet.pause("e0")
        time.sleep(1)
        self.fleet.kill("e4")
        time.sleep(3)
        self.fleet.change_backends("all", restart=True, cold=True)
        self.fleet.start_host("e4")
        time.sleep(6)
        self.fleet.change_backends("all", restart=True, cold=True)
        self.fleet.resume("e0")
        self.fleet.finish_load()
        self.assert_cold_limit_kept()


if __name__ == "__main__":
    unittest.main(verbosity=2)
