"""Test of the first state of gatewayd processes that start together in a zone."""
import signal
import unittest

from gateway_case import GatewayCase

HOSTS = 8
READERS = 2  # Hosts of a zone that read the store.


class FirstStateTogetherTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.names = [f"g{number}" for number in range(HOSTS)]
        self.store = self.platform.store

    def kill(self, name):
        self.platform.signal(name, signal.SIGKILL)
        self.platform.gateways[name]["process"].wait()
        self.platform.gateways[name]["log"].close()

    def start_all(self):
        """Starts all gateways at once. Returns how many lists they have read from the store until all are ready."""
        before = self.store.lists_begun
        for name in self.names:
            self.platform.start_gateway(name, "z1", wait=False)
        for name in self.names:
            self.platform.wait_ready(name)
        return self.store.lists_begun - before

    def test_hosts_that_start_together_get_their_state_from_the_readers(self):
        """Guards against a list read by each host that starts (3.8 calls for each host and start): when a zone starts for the first
        time, and when all its processes come back at once. The first gateway knows no other one when the zone starts for the first time.
        """
        self.assertLessEqual(self.start_all(), READERS + 1)
        for name in self.names:
            self.kill(name)
        self.assertLessEqual(self.start_all(), READERS)


if __name__ == "__main__":
    unittest.main(verbosity=2)
