"""Tests of gatewayd processes while the store comes back with an older copy of its state."""
import signal
import time
import unittest

from gateway_case import GatewayCase

BOUND_S = 3.0  # configurationInForceMs of the settings, the shortest bound on changes.
RETURN_S = 1.0  # lapsedReturnMs of the settings.


class StoreRollbackTest(GatewayCase):
    def setUp(self):
        super().setUp()
        # The hosts are in the zone of the one that leaves, so they prefer it as long as they may call it.
        self.platform.add_backend("stayer", "pair", "z2")
        self.platform.add_backend("leaver", "pair", "z1")
        self.names = ["g0", "g1", "g2", "g3"]
        for name in self.names:
            self.platform.start_gateway(name, "z1")
        time.sleep(3)  # Until all hosts know each other, and two of them read the store.
        self.store = self.platform.store
        self.leaver = self.platform.backends["leaver"]

    def wait_for_route(self, route, seconds=BOUND_S):
        """Waits until all gateways serve a route, and fails when one of them does not in time."""
        began = time.monotonic()
        waiting = list(self.names)
        while waiting:
            waiting = [name for name in waiting if self.platform.get(name, f"/{route}/x").status != 200]
            self.assertLess(time.monotonic() - began, seconds, f"{route} is not in force on {waiting}")
            time.sleep(0.02)

    def come_back(self, copy, keeps_history=True):
        self.platform.call_on_loop(self.store.come_back, copy, keeps_history)

    def copy(self):
        return self.platform.call_on_loop(self.store.copy)

    def check_confirmed(self, route, seconds):
        """Checks for some time that all gateways serve a route."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for name in self.names:
                self.assertEqual(self.platform.get(name, f"/{route}/x").status, 200, f"{name} has lost {route}")
            time.sleep(0.02)

    def leave(self):
        """Lets a backend server drain and removes its entry, and waits until no gateway calls it any more."""
        self.leaver.draining = True
        self.platform.call_on_loop(self.leaver.publish)
        time.sleep(1)
        self.platform.call_on_loop(self.store.delete, "servers/leaver")
        time.sleep(BOUND_S)

    def test_what_was_confirmed_stays_in_force(self):
        """Guards against hosts that go back to the older configuration, that ignore all changes until the revisions have passed the old
        ones, and that call a backend server that had left; for a store with and without the history of its copy, and twice in a row.
        """
        for number, keeps_history in enumerate((True, False)):
            copy = self.copy()
            if number == 0:
                self.platform.publish_routes(single="pair", extra=["first"])
                self.wait_for_route("first")
                self.assertGreater(len(self.leaver.arrivals), 0)
                copy = self.copy()
                self.leave()
            self.platform.publish_routes(single="pair", extra=[f"confirmed{number}"])
            self.wait_for_route(f"confirmed{number}")
            arrivals = len(self.leaver.arrivals)
            self.come_back(copy, keeps_history)
            self.check_confirmed(f"confirmed{number}", 0.5)
            self.come_back(copy, keeps_history)
            self.check_confirmed(f"confirmed{number}", RETURN_S + 1)
            self.platform.publish_routes(single="pair", extra=[f"after{number}"])
            self.wait_for_route(f"after{number}")
            self.assertEqual(len(self.leaver.arrivals), arrivals, "a backend server that had left was called")

    def test_a_host_that_missed_the_return_and_one_that_starts_after_it(self):
        """Guards against revisions of two eras that are mixed: a host is stopped while the store comes back and passes the old revision,
        and must then follow the new era; a host that starts afterwards takes the copy as it is.
        """
        copy = self.copy()
        for _ in range(3):
            self.platform.publish_routes(extra=["before"])
        self.wait_for_route("before")
        self.platform.signal("g3", signal.SIGSTOP)
        self.come_back(copy)
        self.platform.add_backend("fresh-0", "fresh", "z1")  # At a revision that the stopped host believes to have.
        for _ in range(6):
            self.platform.publish_routes(single="fresh", extra=["after"])
        self.names.remove("g3")
        self.wait_for_route("after")
        self.platform.signal("g3", signal.SIGCONT)
        self.names.append("g3")
        self.platform.start_gateway("g4", "z1")
        self.names.append("g4")
        self.wait_for_route("after")
        self.platform.publish_routes(single="fresh", extra=["last"])
        self.wait_for_route("last")

    def test_a_backend_server_that_is_missing_in_the_copy(self):
        """Guards against backend servers that get no calls until their entries are written again, and against an entry that stays in use
        although it is gone.
        """
        copy = self.copy()
        self.platform.add_backend("late-0", "late", "z1")
        self.platform.publish_routes(single="late", extra=["late"])
        self.wait_for_route("late")
        self.come_back(copy)
        late = self.platform.backends["late-0"]
        self.check_confirmed("late", RETURN_S / 2)
        self.platform.call_on_loop(late.publish)
        self.check_confirmed("late", RETURN_S + 1)
        self.assertGreater(len(late.arrivals), 0)
        copy = self.copy()
        self.platform.add_backend("late-1", "late", "z1")
        time.sleep(1)
        gone = self.platform.backends["late-1"]
        self.come_back(copy)
        time.sleep(RETURN_S + BOUND_S)
        arrivals = len(gone.arrivals)
        self.check_confirmed("late", 1)
        self.assertEqual(len(gone.arrivals), arrivals, "an entry that nobody writes again is still in use")


if __name__ == "__main__":
    unittest.main(verbosity=2)
