"""Tests of gatewayd with requests that take longer than a minute."""
import concurrent.futures
import http.client
import time
import unittest

from gateway_case import GatewayCase

TIMEOUT_MS = 75_000  # Of the routes, and the time that the callers wait.
WORK_S = 63


class LongRequestTest(GatewayCase):
    def request(self, client, method, target, request_id, body=None):
        client.request(method, target, body=body,
                       headers={"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": str(TIMEOUT_MS)})
        answer = client.getresponse()
        return answer.status, answer.read()

    def test_a_request_may_take_as_long_as_its_route_allows(self):
        """Guards against a fixed time after which the connection of a request is closed without an answer, although its route allows more:
        the caller of an order could not tell whether it ran.
        """
        self.platform.start_gateway("g1", "z1")
        self.platform.publish_routes(timeout_ms=TIMEOUT_MS)
        time.sleep(3.5)  # Longer than a configuration takes to be in force.
        for name in ("single-0", "single-1"):
            self.platform.backends[name].work_s = WORK_S
            self.platform.backends[name].slots = 4

        def order(number):
            client = http.client.HTTPConnection("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"], timeout=90)
            self.assertEqual(self.request(client, "GET", f"/search/{number}", f"first{number}")[0], 200)  # The connection is kept.
            return self.request(client, "POST", f"/order/{number}", f"order{number}", b"two tonnes")

        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            answers = list(pool.map(order, range(4)))
        for number, answer in enumerate(answers):
            self.assertEqual(answer, (200, f"bytes of order{number}".encode()))
            self.assertEqual(self.platform.run_count(f"order{number}"), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
