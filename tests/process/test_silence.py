"""Tests connections that stop carrying data without closing, while new connections work."""
import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet  # noqa: E402


class SilenceTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=12, replicas=2, entry_hosts=3, never_share=0, slow_share=0, seed=31)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def check_search(self, name, deadline_ms):
        """Checks that a search succeeds before its deadline. Returns whether the answer is complete."""
        status, answer = self.fleet.search(name, deadlineMs=deadline_ms, minCoverage=1)
        self.assertEqual(status, 200, answer)
        self.assertLess(answer["elapsedMs"], deadline_ms)
        return answer["complete"]

    def test_silent_connections_to_all_backend_servers(self):
        """Guards against calls that keep using silent connections.

        Time until answers are complete again: at most (500 ms deadline + 250 ms grace) for each slot of a backend server: 1.5 s
        with 2 slots, 2.25 s with the 3 slots of this deployment. The test allows 2.5 s.
        """
        for name in self.fleet.hosts:
            self.assertTrue(self.check_search(name, 2000))
        self.fleet.change_backends("all", silent="existing")
        since = time.monotonic()
        while time.monotonic() < since + 2.5:
            self.check_search("e0", 500)
        for name in self.fleet.hosts:
            self.assertTrue(self.check_search(name, 1000), f"{name} after {time.monotonic() - since:.2f} s")

    def test_lost_answers_of_orders_are_unknown(self):
        """Guards against an order that is reported as not run, or runs again, after its answer was lost."""
        self.fleet.change_backends("all", silent="all", silentLoses="answers")
        tickets = [self.fleet.request_ticket("e0") for _ in range(4)]
        outcomes = {self.fleet.order("e1", ticket, deadlineMs=700)[1]["outcome"] for ticket in tickets}
        self.assertEqual(outcomes, {"unknown"})
        again = {self.fleet.order("e2", ticket, deadlineMs=700)[1]["outcome"] for ticket in tickets}
        self.assertEqual(again, {"unknown"})
        runs = self.fleet.order_runs()
        self.assertTrue(all(runs[ticket]["runs"] == 1 for ticket in tickets), runs)


if __name__ == "__main__":
    unittest.main(verbosity=2)
