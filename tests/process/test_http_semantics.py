"""Tests that gatewayd keeps to HTTP/1.1 towards callers, whatever its backend servers answer."""
import asyncio
import socket
import unittest

from gateway_case import GatewayCase

INVALID_STATUSES = ["status:000", "status:099", "status:600", "status:1000", "status:-20", "status:+20", "status:abc", "status:2x0",
                    "status:", "interim", "status:199"]


class HttpSemanticsTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.start_gateway("g1", "z1")
        self.address = ("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"])

    def set_modes(self, mode, *services):
        for backend in self.platform.backends.values():
            if backend.service in services:
                backend.mode = mode

    def test_an_invalid_status_ends_the_attempt(self):
        """Guards against a status outside 200 to 599, or none, that is passed on to a caller, that counts as a served part of a search,
        or after which the caller is told that the request has not run.
        """
        for number, mode in enumerate(INVALID_STATUSES):
            with self.subTest(mode):
                self.set_modes(mode, "single", "shard0")
                answer = self.platform.get("g1", "/fetch/x", request_id=f"fetch{number}")
                self.assertIn(answer.status, (502, 504))
                answer = self.platform.get("g1", "/order/x", method="POST", body=b"one", request_id=f"order{number}")
                self.assertIn(answer.status, (502, 504))
                self.assertEqual(self.platform.run_count(f"order{number}"), 1)
                request_id = f"search{number}"
                answer = self.platform.get("g1", "/search/x", request_id=request_id)
                self.assertEqual(answer.status, 200)
                self.assertEqual(self.platform.check_search("/search/x", request_id, answer), 1)
                self.set_modes("serve", "single", "shard0")
                self.platform.wait_until("an answer", lambda: self.platform.get("g1", "/fetch/x").status == 200, 5)

    def read_all(self, caller):
        answer = b""
        while data := caller.recv(65536):
            answer += data
        return answer

    def test_a_half_closed_caller_gets_its_answer(self):
        """Guards against a request that is abandoned because its caller has shut down its writing side, and against bytes other than
        those of the answer.
        """
        for backend in self.platform.backends.values():
            backend.work_s = 0.2
        for target in ("/fetch/x", "/search/x"):
            with self.subTest(target), socket.create_connection(self.address, timeout=5) as caller:
                caller.sendall(f"GET {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: half\r\n\r\n".encode())
                caller.shutdown(socket.SHUT_WR)
                head, _, body = self.read_all(caller).partition(b"\r\n\r\n")
                self.assertTrue(head.startswith(b"HTTP/1.1 200 "), head)
                self.assertEqual(head.count(b"HTTP/1.1"), 1)
                self.assertEqual(body, b"bytes of half" if target == "/fetch/x" else self.platform.best_records("/search/x"))

    def test_head_gets_the_length_of_the_answer(self):
        """Guards against the length 0 in the answer to HEAD, in place of the length that the backend server gave."""
        answers = []

        async def head():
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(b"HEAD /fetch/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: head1\r\nConnection: close\r\n\r\n")
            answers.append(await asyncio.wait_for(reader.read(), 5))
            writer.close()

        for backend in self.platform.backends.values():
            backend.extra_bytes = 1000
        self.platform.run(head())
        fields, _, body = answers[0].lower().partition(b"\r\n\r\n")
        self.assertEqual(body, b"")
        self.assertIn(b"\r\ncontent-length: 1014\r\n", fields + b"\r\n")

    def test_trailers_are_not_passed_on(self):
        """Guards against trailers of a request that reach the backend server as header fields, where they can replace checked ones."""
        headers = []
        for backend in self.platform.backends.values():
            original = backend.answer

            async def answer(message, reader, writer, original=original):
                headers.append(message[1])
                return await original(message, reader, writer)

            backend.answer = answer
        with socket.create_connection(self.address, timeout=5) as caller:
            caller.sendall(b"POST /order/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: trailer1\r\nTransfer-Encoding: chunked\r\n"
                           b"Connection: close\r\nTrailer: X-Late\r\n\r\n3\r\nabc\r\n0\r\nX-Late: 1\r\nRequest-Id: other\r\n\r\n")
            self.assertTrue(self.read_all(caller).startswith(b"HTTP/1.1 200 "))
        received = [header for header in headers if header.get("request-id") == "trailer1"]
        self.assertEqual(len(received), 1)
        self.assertNotIn("x-late", received[0])
        self.assertNotIn("trailer", received[0])


if __name__ == "__main__":
    unittest.main(verbosity=2)
