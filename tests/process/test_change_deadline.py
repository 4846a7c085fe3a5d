"""Tests of the time after which gatewayd processes use a change that the operator has published."""
import signal
import time
import unittest

from gateway_case import GatewayCase
from platform_standin import StoreLink

BOUND_S = 3.0  # configurationInForceMs of the settings, the shortest bound on changes.


class ChangeDeadlineTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.names = [f"g{number}" for number in range(5)]
        self.links = {}
        for name in self.names:
            self.links[name] = StoreLink(self.platform.address)
            address = self.platform.run(self.links[name].start())
            self.platform.store_address = lambda _name, address=address: address
            self.platform.start_gateway(name, "z1")
        time.sleep(3)  # Until all hosts know each other, and their last waits for the platform are over.

    def readers(self):
        """Returns the names of the hosts that read the store, after a time in which each of them has called it."""
        before = {name: link.calls for name, link in self.links.items()}
        time.sleep(BOUND_S)
        return [name for name in self.names if self.links[name].calls > before[name]]

    def seconds_until_served(self, route, names, began):
        """Returns the time from `began` until each of the hosts serves a route, or until no host can be in time any more."""
        waiting, seconds = list(names), {}
        while waiting and time.monotonic() - began < 3 * BOUND_S:
            for name in list(waiting):
                if self.platform.get(name, f"/{route}/x").status == 200:
                    seconds[name] = time.monotonic() - began
                    waiting.remove(name)
            time.sleep(0.01)
        return seconds

    def test_readers_that_fail_one_after_the_other(self):
        """Guards against time-outs that are each below the bound and together above it: hosts that could read the store used a change
        3.4 s after its publication, because they waited first for a reader that had silently lost the store and then for one that was
        stopped. Which reader is asked first depends on the ports, so both orders are played.
        """
        readers = self.readers()
        self.assertEqual(len(readers), 2)
        others = [name for name in self.names if name not in readers]
        for round_number, (cut, stopped) in enumerate((readers, reversed(readers))):
            calls = self.links[cut].calls
            self.platform.publish_routes(extra=[f"before{round_number}"])
            self.seconds_until_served(f"before{round_number}", self.names, time.monotonic())
            self.platform.wait_until("the next wait for changes", lambda: self.links[cut].calls > calls, BOUND_S)
            self.links[cut].cut = True
            began = time.monotonic()
            self.platform.publish_routes(extra=[f"change{round_number}"])
            self.platform.signal(stopped, signal.SIGSTOP)
            seconds = self.seconds_until_served(f"change{round_number}", others, began)
            for name in others:
                self.assertLess(seconds.get(name, float("inf")), BOUND_S, f"{name}, with {cut} cut off and {stopped} stopped: {seconds}")
            self.links[cut].cut = False
            self.platform.signal(stopped, signal.SIGCONT)
            time.sleep(BOUND_S + 2)  # Until hosts ask their readers again.

    def test_a_large_configuration_while_both_readers_are_stopped(self):
        """Guards against time-outs that cut the answer with a configuration of nearly 1 MB, the most that the store takes, when all other
        hosts of the zone read it at once.
        """
        readers = self.readers()
        others = [name for name in self.names if name not in readers]
        for name in readers:
            self.platform.signal(name, signal.SIGSTOP)
        began = time.monotonic()
        self.platform.publish_routes(extra=["large", *(f"route{number:05d}" for number in range(5000))])
        seconds = self.seconds_until_served("large", others, began)
        for name in others:
            self.assertLess(seconds.get(name, float("inf")), BOUND_S, f"{name}, with {readers} stopped: {seconds}")


if __name__ == "__main__":
    unittest.main(verbosity=2)
