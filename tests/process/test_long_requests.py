"""Tests of gatewayd with requests that take longer than a minute."""
import concurrent.futures
import http.client
import socket
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

    def test_connections_last_as_long_as_the_configuration_allows(self):
        """Guards against a fixed time after which the connection of a request is closed without an answer, although its route allows more:
        the caller of an order could not tell whether it ran. Also guards against a fixed time after which an idle connection is closed that
        the configuration allows to be used again.
        """
        self.platform.start_gateway("g1", "z1")
        self.platform.publish_routes(timeout_ms=TIMEOUT_MS, idle_timeout_ms=TIMEOUT_MS)
        time.sleep(3.5)  # Longer than a configuration takes to be in force.
        for name in ("single-0", "single-1"):
            self.platform.backends[name].work_s = WORK_S
            self.platform.backends[name].slots = 4

        def order(number):
            client = http.client.HTTPConnection("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"], timeout=90)
            self.assertEqual(self.request(client, "GET", f"/search/{number}", f"first{number}")[0], 200)  # The connection is kept.
            return self.request(client, "POST", f"/order/{number}", f"order{number}", b"two tonnes")

        idle = http.client.HTTPConnection("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"], timeout=10)
        self.assertEqual(self.request(idle, "GET", "/search/idle", "idle0")[0], 200)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            answers = list(pool.map(order, range(4)))
        self.assertEqual(self.request(idle, "GET", "/search/idle", "idle1")[0], 200)
        for number, answer in enumerate(answers):
            self.assertEqual(answer, (200, f"bytes of order{number}".encode()))
            self.assertEqual(self.platform.run_count(f"order{number}"), 1)

    def test_a_caller_may_take_its_time_to_read_an_answer(self):
        """Guards against a fixed time after which the connection of a caller that does not read is closed in the middle of its answer. One
        that takes no byte for longer than the configuration lets a connection be idle is closed.
        """
        self.platform.start_gateway("g1", "z1")
        self.platform.publish_routes(extra=["slow"], timeout_ms=20_000, idle_timeout_ms=9000)
        self.platform.wait_until("the routes", lambda: self.platform.get("g1", "/slow/x").status == 200, 3)
        size = 12_000_000  # More than the sockets of both sides buffer.
        for number in range(2):
            self.platform.backends[f"single-{number}"].extra_bytes = size

        def read_after(seconds, request_id):
            caller = socket.socket()
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            caller.settimeout(10)
            with caller:
                caller.connect(("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"]))
                caller.sendall(f"GET /slow/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 20000\r\n\r\n".encode())
                time.sleep(seconds)
                received = 0
                try:
                    while received < size and (data := caller.recv(1 << 20)):
                        received += len(data)
                except ConnectionError:
                    pass
                return received

        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            slow, silent = pool.submit(read_after, 7, "slow"), pool.submit(read_after, 13, "silent")
        self.assertGreaterEqual(slow.result(), size)
        self.assertLess(silent.result(), size)


if __name__ == "__main__":
    unittest.main(verbosity=2)
