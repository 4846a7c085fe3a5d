"""Tests of the first state of gatewayd processes that start in a zone."""
import signal
import unittest

from gateway_case import GatewayCase

HOSTS = 8
READERS = 2  # Hosts of a zone that read the store.


class FirstStateTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.names = [f"g{number}" for number in range(HOSTS)]
        self.store = self.platform.store

    def kill(self, name):
        self.platform.signal(name, signal.SIGKILL)
        self.platform.gateways[name]["process"].wait()
        self.platform.gateways[name]["log"].close()

    def test_hosts_that_come_back_one_by_one_read_no_list_of_their_own(self):
        """Guards against a list read by each host that starts: in a running zone, the readers pass on a list that they read once, and a
        host that starts follows all changes from then on.
        """
        for name in self.names:
            self.platform.start_gateway(name, "z1")
        before = self.store.lists_begun
        for name in self.names:
            self.kill(name)
            self.platform.start_gateway(name, "z1")
        self.assertLessEqual(self.store.lists_begun - before, READERS)
        self.platform.publish_routes(extra=["late"])
        for name in self.names:
            self.platform.wait_until(f"the route at {name}", lambda name=name: self.platform.get(name, "/late/x").status == 200, 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
