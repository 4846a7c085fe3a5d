"""Tests that callers cannot make a gatewayd process run out of memory or descriptors.

Each case starts a fixed set of clients that exceed the limits or hold back, while the peak of the resident memory and the number of open
descriptors are read. The bounds come from the settings of the process, not from measurements. No times and no shares of served requests are
checked.
"""
import asyncio
import os
import pathlib
import socket
import unittest

from gateway_case import GatewayCase

MEMORY_MB = 64  # Setting of the process, and bound on its resident memory; the smallest host has 112 MB.
MAX_DESCRIPTORS = 1024  # Setting of the process. A third of them is for callers, another third for backend servers.
MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS * 2 // 3
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 1 << 20, "header_timeout_ms": 2000, "idle_timeout_ms": 4000}
BODY = LIMITS["max_body_bytes"]
HEAD = "{method} {target} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n"


def head(number, method="POST", target="/order/x", **fields):
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return (HEAD.format(method=method, target=target, id=f"c{number}") + lines).encode()


class CallerMemoryTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.publish_routes(**LIMITS)
        self.platform.start_gateway("g1", "z1", memoryMb=MEMORY_MB, maxDescriptors=MAX_DESCRIPTORS)
        self.process = self.platform.gateways["g1"]["process"]
        self.greatest_descriptors = 0
        self.sent = 0

    def peak_kb(self):
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])

    async def connect(self, receive_buffer=None, port="callers"):
        client = socket.socket()
        client.setblocking(False)
        if receive_buffer:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await self.platform.loop.sock_connect(client, ("127.0.0.1", self.platform.gateways["g1"]["ports"][port]))
        return client

    async def send(self, client, *parts):
        """Sends the parts until the process closes the connection. Returns whether it has taken all of them."""
        try:
            for part in parts:
                await self.platform.loop.sock_sendall(client, part)
                self.sent += len(part)
            return True
        except OSError:
            return False

    async def watch_descriptors(self):
        while self.process.poll() is None:
            self.greatest_descriptors = max(self.greatest_descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            await asyncio.sleep(0.1)

    def play(self, clients, seconds):
        """Runs all clients at once for at most the given time, then checks the bounds and sends an ordinary request."""
        async def run():
            watch = asyncio.ensure_future(self.watch_descriptors())
            tasks = [asyncio.ensure_future(client) for client in clients]
            await asyncio.wait(tasks, timeout=seconds)
            for task in [watch, *tasks]:
                task.cancel()
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            return [failure for failure in ended if isinstance(failure, Exception) and not isinstance(failure, OSError)]

        failures = self.platform.run(run(), timeout=seconds + 30)
        self.assertEqual(failures, [])
        self.assertIsNone(self.process.poll(), "the process has ended")
        peak_kb = self.peak_kb()
        status = self.platform.get("g1", "/fetch/x").status
        print(f"{self.id().rpartition('.')[2]}: peak {peak_kb / 1024:.0f} MB, descriptors {self.greatest_descriptors}, "
              f"{self.sent / 1e6:.1f} MB sent, ordinary request {status}", flush=True)
        self.assertEqual(status, 200)
        self.assertLess(peak_kb, MEMORY_MB * 1024)
        self.assertLess(self.greatest_descriptors, MAX_OPEN_DESCRIPTORS)

    async def send_and_stay(self, *parts, port="callers"):
        client = await self.connect(port=port)
        try:
            await self.send(client, *parts)
            await asyncio.sleep(60)
        finally:
            client.close()

    def test_heads_over_the_limit(self):
        """Guards against memory that is taken by heads above the configured limit, whole or stopping short of their end: the limit was
        checked only after the head was read, up to 1 MiB.
        """
        long_value = b"X-Long: " + b"x" * 900_000
        short_fields = b"".join(b"X%05d: y\r\n" % number for number in range(60_000))
        clients = []
        for number in range(100):
            fields = long_value if number % 2 else short_fields
            clients.append(self.send_and_stay(head(number), fields, b"\r\n\r\n" if number % 5 == 0 else b""))
        self.play(clients, 4)

    def test_heads_without_end(self):
        """Guards against memory that grows with the number of clients that send header fields without end."""
        async def client(number):
            connection = await self.connect()
            fields = b"A: b\r\n" * 1000 if number % 2 else b"X-Long: " + b"x" * 8000 + b"\r\n"
            try:
                await self.send(connection, head(number), *[fields] * 2000)
                await asyncio.sleep(60)
            finally:
                connection.close()

        self.play([client(number) for number in range(100)], 6)

    def test_empty_lines_without_end(self):
        """Guards against a process that reads empty lines before a request without a bound."""
        self.play([self.send_and_stay(*[b"\r\n" * 4000] * 400) for _ in range(60)], 6)

    def test_many_large_bodies(self):
        """Guards against memory that grows with the number of clients that send bodies of legal size and stop just short of their end."""
        async def client(number):
            connection = await self.connect()
            body = b"x" * (BODY if number % 10 == 0 else BODY - 10)
            pieces = [body[at:at + 65_536] for at in range(0, len(body), 65_536)]
            try:
                if number % 2:
                    await self.send(connection, head(number, Content_Length=BODY) + b"\r\n", *pieces)
                else:
                    chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
                    end = b"0\r\n\r\n" if number % 10 == 0 else b""
                    await self.send(connection, head(number, Transfer_Encoding="chunked") + b"\r\n", *chunks, end)
                await asyncio.sleep(60)
            finally:
                connection.close()

        self.play([client(number) for number in range(300)], 12)

    def test_bodies_in_tiny_chunks(self):
        """Guards against memory that is taken by each chunk of a body, not only by its bytes."""
        chunks = b"1\r\nx\r\n" * 10_000
        self.play([self.send_and_stay(head(number, Transfer_Encoding="chunked") + b"\r\n", *[chunks] * 100) for number in range(40)], 12)

    def test_bodies_far_over_the_limit(self):
        """Guards against a process that reads and keeps bodies far above the limit: announced, in chunks, or sent without announcement."""
        chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        plain = b"x" * 65_536
        clients = []
        for number in range(60):
            if number % 3 == 0:
                clients.append(self.send_and_stay(head(number, Content_Length=900_000_000) + b"\r\n", *[plain] * 200))
            elif number % 3 == 1:
                clients.append(self.send_and_stay(head(number, Transfer_Encoding="chunked") + b"\r\n", *[chunk] * 200))
            else:
                clients.append(self.send_and_stay(head(number) + b"\r\n", *[plain] * 200))
        self.play(clients, 10)

    def test_one_byte_per_second(self):
        """Guards against clients that keep memory or descriptors by sending one byte per second in a phase of the request."""
        phases = [b"", head(0), head(0, Content_Length=1000) + b"\r\n", head(0, Transfer_Encoding="chunked") + b"\r\n",
                  head(0, Transfer_Encoding="chunked") + b"\r\n100;x=", head(0, Transfer_Encoding="chunked") + b"\r\n0\r\nX-Trailer: "]

        async def client(number):
            connection = await self.connect()
            byte = b"\r\n"[:1] if number % 12 == 0 else b"a"
            try:
                await self.send(connection, phases[number % len(phases)])
                while await self.send(connection, byte):
                    await asyncio.sleep(1)
            finally:
                connection.close()

        self.play([client(number) for number in range(240)], 8)

    def answer_with(self, extra_bytes):
        for number in range(2):
            self.platform.backends[f"single-{number}"].extra_bytes = extra_bytes

    def test_pipelined_requests_whose_responses_are_not_read(self):
        """Guards against memory that is taken by responses that callers do not read while they send further requests."""
        self.answer_with(3_000_000)
        request = head(0, "GET", "/fetch/x") + b"\r\n"

        async def client():
            connection = await self.connect(receive_buffer=4096)
            try:
                await self.send(connection, *[request * 50] * 400)
                await asyncio.sleep(60)
            finally:
                connection.close()

        self.play([client() for _ in range(300)], 10)

    def test_responses_read_at_one_byte_per_second(self):
        """Guards against memory that is taken by responses that callers read slowly."""
        self.answer_with(3_000_000)

        async def client(number):
            connection = await self.connect(receive_buffer=4096)
            try:
                await self.send(connection, head(number, "GET", "/fetch/x") + b"\r\n")
                while await self.platform.loop.sock_recv(connection, 1):
                    await asyncio.sleep(1)
            finally:
                connection.close()

        self.play([client(number) for number in range(300)], 10)

    def test_more_silent_clients_than_connections(self):
        """Guards against ordinary callers that are not accepted, because silent clients use all connections that the host allows."""
        starts = [b"", head(0), head(0, Content_Length=1000) + b"\r\n"]
        statuses = []

        async def caller():
            await asyncio.sleep(1.6)  # Before the timeouts close the silent clients.
            statuses.append((await self.platform.send("g1", "/fetch/x")).status)

        self.play([*(self.send_and_stay(starts[number % 3]) for number in range(420)), caller()], 3)
        self.assertEqual(statuses, [200])

    def test_messages_between_hosts(self):
        """Guards against memory that is taken by parts of searches and other messages on the port for hosts that stop short of their end."""
        size = 5 << 20
        paths = ("/hosts/search", "/hosts/changes", "/hosts/digest")
        clients = [self.send_and_stay(head(number, target=paths[number % 3], Content_Length=size) + b"\r\n", *[b"x" * 65_536] * 79, port="hosts")
                   for number in range(60)]
        self.play(clients, 10)

    def test_replies_without_end(self):
        """Guards against memory that is taken by replies of backend servers that do not end, to many requests at once."""
        for number in range(2):
            self.platform.backends[f"single-{number}"].mode = "endless_body"
        requests = [self.send_and_stay(head(number, "GET", "/fetch/x") + b"\r\n") for number in range(60)]

        async def heal():
            await asyncio.sleep(4)
            for number in range(2):
                self.platform.backends[f"single-{number}"].mode = "serve"

        self.play([*requests, heal()], 6)

    def test_requests_at_the_limits_are_served(self):
        """Guards against limits that refuse a request whose head or body has exactly the configured size."""
        async def request(name, head_bytes, body_bytes, chunked):
            """The head with its request line and the empty line at its end has exactly head_bytes."""
            start = head(name, **({"Transfer_Encoding": "chunked"} if chunked else {"Content_Length": body_bytes}), Connection="close")
            if head_bytes:
                start += b"X-Fill: " + b"x" * (head_bytes - len(start) - len(b"X-Fill: \r\n\r\n")) + b"\r\n"
            body = b"x" * body_bytes
            if chunked:
                body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            reader, writer = await asyncio.open_connection("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"])
            try:
                writer.write(start + b"\r\n" + body)
                return int((await asyncio.wait_for(reader.read(), 10)).split(b" ")[1])
            finally:
                writer.close()

        limit = LIMITS["max_header_bytes"]
        for number, (head_bytes, body_bytes, chunked) in enumerate([(limit, 1, False), (0, BODY, False), (0, BODY, True), (limit, BODY, False)]):
            self.assertEqual(self.platform.run(request(f"at{number}", head_bytes, body_bytes, chunked)), 200, number)
            runs = [run for backend in self.platform.backends.values() for run in backend.ran if run[1] == f"cat{number}"]
            self.assertEqual([run[4] for run in runs], [b"x" * body_bytes])
        for number, (head_bytes, body_bytes, chunked, status) in enumerate([(limit * 2, 1, False, 431), (0, BODY + 1, False, 413), (0, BODY + 1, True, 413)]):
            self.assertEqual(self.platform.run(request(f"over{number}", head_bytes, body_bytes, chunked)), status, number)


if __name__ == "__main__":
    unittest.main(verbosity=2)
