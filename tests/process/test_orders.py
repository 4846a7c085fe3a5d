"""Tests orders with real processes: tickets, repeated orders and killed hosts."""
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, wait_until  # noqa: E402


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=4, replicas=2, entry_hosts=3, never_share=0, slow_share=0, seed=3)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def test_an_order_repeated_through_every_host_runs_once(self):
        """Guards against an order that runs again when a balancer or a caller resends it through another host."""
        for issuer in self.fleet.hosts:
            ticket = self.fleet.request_ticket(issuer)
            answers = [self.fleet.order(name, ticket)[1] for name in list(self.fleet.hosts) * 2]
            self.assertEqual({answer["outcome"] for answer in answers}, {"ran"}, answers)
            status, conflict = self.fleet.order("e0", ticket, item="coal")
            self.assertEqual((status, conflict["outcome"], conflict["code"]), (200, "notRun", "ticketConflict"))
            self.assertEqual(self.fleet.order_runs()[ticket]["runs"], 1)
        self.fleet.check_history(must_hold=("atMostOnce",))

    def test_invalid_tickets_are_refused(self):
        """Guards against an order that runs with a ticket that no host issued."""
        status, answer = self.fleet.order("e0", "nonsense")
        self.assertEqual(status, 400, answer)
        forged = self.fleet.request_ticket("e0").rsplit(".", 1)[0] + ".999999"
        self.assertNotEqual(self.fleet.order("e1", forged)[1]["outcome"], "ran")
        self.assertEqual(self.fleet.order_runs(), {})
        self.fleet.check_history()

    def test_outcome_is_unknown_after_the_issuing_host_was_killed(self):
        """Guards against an order that runs, or runs again, after the host that issued its ticket was killed and restarted."""
        used, unused = self.fleet.request_ticket("e0"), self.fleet.request_ticket("e0")
        self.assertEqual(self.fleet.order("e1", used)[1]["outcome"], "ran")
        self.fleet.kill("e0")
        for ticket in (used, unused):
            self.assertEqual(self.fleet.order("e1", ticket)[1]["outcome"], "unknown")
        self.fleet.start_host("e0")
        self.fleet.wait_ready(names=["e0"])
        for name in self.fleet.hosts:
            for ticket in (used, unused):
                self.assertEqual(self.fleet.order(name, ticket)[1]["outcome"], "unknown")
        runs = self.fleet.order_runs()
        self.assertEqual(runs[used]["runs"], 1)
        self.assertNotIn(unused, runs)
        self.fleet.check_history(must_hold=("atMostOnce",))

    def test_a_killed_owner_is_replaced(self):
        """Guards against orders that no host runs after a host that owned groups was killed."""
        self.fleet.kill("e1")

        def runs():
            return self.fleet.order("e0", self.fleet.request_ticket("e0"))[1]["outcome"] == "ran"

        wait_until("orders run again", lambda: all(runs() for _ in range(8)), 10)
        self.assertTrue(all(count["runs"] == 1 for count in self.fleet.order_runs().values()))
        self.fleet.check_history(must_hold=("atMostOnce",))


if __name__ == "__main__":
    unittest.main(verbosity=2)
