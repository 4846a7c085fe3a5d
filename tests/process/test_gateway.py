"""Tests a real gatewayd process with callers, backend servers and a stand-in of the users' platform."""
import asyncio
import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import time
import unittest

from gateway_case import GatewayCase


class GatewayTest(GatewayCase):
    def search(self, name="g1", request_id=None, **options):
        self.platform.request_count += 1
        request_id = request_id or "s%06d" % self.platform.request_count
        target = "/search/" + request_id
        answer = self.platform.get(name, target, request_id=request_id, **options)
        if answer.status == 200:
            self.platform.check_search(target, request_id, answer)
        return answer

    def test_serves_searches_and_single_requests(self):
        """Guards against wrong merges, lost headers and changed bodies between caller and backend server."""
        self.platform.start_gateway("g1", "z1")
        for _ in range(20):
            answer = self.search()
            self.assertEqual((answer.status, answer.header["missing-parts"]), (200, "0"))
        answer = self.platform.get("g1", "/fetch/x?q=%20a", request_id="f1")
        self.assertEqual((answer.status, answer.body), (200, b"bytes of f1"))
        self.assertIn("server-stamp", answer.header)
        answer = self.platform.get("g1", "/order/x", method="POST", body=b"two tonnes", request_id="o1")
        self.assertEqual(answer.status, 200)
        run = [run for backend in self.platform.backends.values() for run in backend.ran if run[1] == "o1"]
        self.assertEqual([entry[2:] for entry in run], [("POST", "/order/x", b"two tonnes")])
        self.assertEqual(self.platform.get("g1", "/none/x").status, 404)
        self.assertEqual(self.platform.get("g1", "/order/x", method="POST", body=b"x" * 10001).status, 413)
        metrics = self.platform.get("g1", "/metrics", port="metrics").body.decode()
        self.assertIn('orioledrum_requests_total{outcome="complete",route="search"} 20', metrics)

    def test_relays_shards_to_hosts_of_their_zones(self):
        """Guards against searches that are not relayed, that lack shards because they wait only for a relay host, or that fail after
        the relay hosts are killed (2 of 40 may fail).
        """
        self.platform.start_gateway("g1", "z3")  # No backend server is in this zone, so every shard is relayed.
        self.platform.start_gateway("g2", "z1")
        self.platform.start_gateway("g3", "z2")
        # search() is called here only to send a search; its result does not matter.
        self.platform.wait_until("a relayed search", lambda: any(
            event.get("relays") for event in self.platform.events("g1") if self.search().status == 200 or True), 10)
        for _ in range(30):
            answer = self.search()
            self.assertEqual((answer.status, answer.header["missing-parts"]), (200, "0"))
        relayed = [event for event in self.platform.events("g1") if event.get("relays")]
        self.assertGreater(len(relayed), 10)
        # Without the relay hosts, searches call the backend servers directly.
        for name in ("g2", "g3"):
            self.platform.signal(name, signal.SIGKILL)
        answers = [self.search().status for _ in range(40)]
        self.assertGreaterEqual(answers.count(200), 38, answers)

    def test_relayed_searches_keep_their_bodies(self):
        """Guards against a search that another host gathers with an empty body: the caller got the complete answer to another query."""
        self.platform.start_gateway("g1", "z3")  # No backend server is in this zone, so every shard is relayed.
        self.platform.start_gateway("g2", "z1")
        self.platform.start_gateway("g3", "z2")
        sent = {}

        def search():
            request_id = f"query{len(sent)}"
            sent[request_id] = f"the query number {len(sent)}".encode()
            return self.search(request_id=request_id, method="POST", body=sent[request_id]).status

        self.platform.wait_until("30 relayed searches", lambda: search() and sum(
            1 for event in self.platform.events("g1") if event.get("relays")) >= 30, 10)
        runs = [run for backend in self.platform.backends.values() for run in backend.ran]
        self.assertGreaterEqual(len(runs), 30 * len(self.platform.shards))
        for _, request_id, method, target, body in runs:
            self.assertEqual((method, target, body), ("POST", f"/search/{request_id}", sent[request_id]))

    def test_a_message_of_another_version_is_refused(self):
        """Guards against a part of a search that is gathered although fields of the message are missing, in a rolling update."""
        self.platform.start_gateway("g1", "z1")
        for message in (b"", b"\x90", b"\xdc\x00\x10" + b"\xa0" * 16):  # MessagePack: arrays of no field and of 16 empty texts.
            answer = self.platform.get("g1", "/hosts/search", method="POST", body=message, port="hosts")
            self.assertEqual(answer.status, 400)
        self.assertEqual([backend.ran for backend in self.platform.backends.values() if backend.ran], [])

    def test_requests_may_be_as_large_as_the_configuration_allows(self):
        """Guards against fixed limits of the HTTP server for bodies (1 MiB) and header fields (16 KiB, 200 fields) in place of those of the
        configuration, which may change while the gateway runs and callers keep their connections.
        """
        self.platform.start_gateway("g1", "z1")
        connection = []

        def order(number, body=b"", header=None):
            answer = self.platform.get("g1", "/order/x", method="POST", body=body, request_id=f"order{number}", header=header, connection=connection)
            if answer.header.get("connection") == "close":
                connection.clear()
            return answer.status

        self.assertEqual(order(1, b"x" * 10_000), 200)
        self.platform.publish_routes(extra=["large"], max_body_bytes=3_000_000, max_header_bytes=60_000)
        self.platform.wait_until("the new limits", lambda: self.platform.get("g1", "/large/x").status == 200, 3)
        self.assertEqual(order(2, b"x" * 2_900_000), 200)
        self.assertEqual(order(3, header={"X-Long": "x" * 50_000}), 200)
        self.assertEqual(order(4, header={f"X-{number}": "x" for number in range(1000)}), 200)
        self.assertEqual(order(5, header={"X-Long": "x" * 61_000}), 431)
        self.assertEqual(order(6, b"x" * 3_000_001), 413)
        bodies = {run[1]: run[4] for backend in self.platform.backends.values() for run in backend.ran}
        self.assertEqual(bodies["order2"], b"x" * 2_900_000)
        self.platform.publish_routes(max_body_bytes=500)
        self.platform.wait_until("the lower limits", lambda: self.platform.get("g1", "/large/x").status == 404, 3)
        self.assertEqual(order(7, b"x" * 501), 413)

    def test_unfinished_bodies_leave_memory_for_other_requests(self):
        """Guards against a process that exceeds the memory of the smallest host, because callers send bodies far above the configured limit,
        which are read before the limit is checked.
        """
        self.platform.start_gateway("g1", "z1")
        callers = []
        for number in range(20):
            caller = socket.create_connection(("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"]), timeout=10)
            self.addCleanup(caller.close)
            caller.sendall(f"POST /order/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: body{number}\r\nContent-Length: 16000000\r\n\r\n".encode())
            with contextlib.suppress(ConnectionError):  # The body is refused before it is read to its end.
                caller.sendall(bytes(15_500_000))
            callers.append(caller)
        self.assertEqual(self.search().status, 200)
        status = pathlib.Path(f"/proc/{self.platform.gateways['g1']['process'].pid}/status").read_text()
        resident_kb = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
        self.assertLess(resident_kb, 260 * 1024)  # The memory of the smallest host.

    def test_a_malformed_field_harms_no_other_request(self):
        """Guards against backend servers that count as unreachable for all callers, because the request of one of them has a header field
        that the HTTP parser takes and the HTTP client refuses to send.
        """
        self.platform.start_gateway("g1", "z1")
        for name in ("A Name", "Name ", "N(ame)"):
            self.assertEqual(self.platform.get("g1", "/fetch/x", header={name: "x"}).status, 400, name)
            self.assertEqual(self.platform.get("g1", "/fetch/x").status, 200, name)
            self.assertEqual(self.search(header={name: "x"}).status, 400, name)
            self.assertEqual(self.search().status, 200, name)

    def test_orders_run_at_most_once(self):
        """Guards against orders that run twice, and orders that are refused although they ran, while backend servers fail."""
        self.platform.start_gateway("g1", "z1")
        modes = ["serve", "drop_answer", "reset", "close", "shed", "fail", "truncate", "truncate_head", "wrong_id", "extra_answer", "unframed",
                 "unframed_reset"]
        for number in range(120):
            for index in range(2):
                self.platform.backends[f"single-{index}"].mode = modes[(number + index * 3) % len(modes)]
            request_id = f"order{number}"
            answer = self.platform.get("g1", "/order/x", method="POST", body=b"one", request_id=request_id, deadline_ms=800)
            runs = self.platform.run_count(request_id)
            self.assertLessEqual(runs, 1, modes[number % len(modes)])
            if answer.status in (408, 421, 429, 503):
                self.assertEqual(runs, 0)
            if answer.status == 200:
                self.assertEqual(answer.body, b"bytes of " + request_id.encode())

    def test_answers_belong_to_their_requests(self):
        """Guards against a late or extra answer, or one with a wrong Request-Id, that is taken as the answer to another request."""
        self.platform.start_gateway("g1", "z1")
        for backend in self.platform.backends.values():
            modes = iter(["extra_answer", "serve", "wrong_id", "serve", "truncate", "truncate_head", "serve", "unframed", "unframed_reset"] * 1000)
            backend.mode = lambda modes=modes: next(modes)
        for number in range(80):
            request_id = f"fetch{number}"
            answer = self.platform.get("g1", "/fetch/x", request_id=request_id)
            if answer.status == 200:
                self.assertEqual(answer.body, b"bytes of " + request_id.encode())
            self.search()

    def test_endless_bytes_of_a_backend_server_harm_no_other_request(self):
        """Guards against a gateway that runs out of memory, hangs or passes on bytes that are no answer, when backend servers send
        without end until the caller closes.
        """
        self.platform.start_gateway("g1", "z1")
        troubled = [self.platform.backends[name] for name in ("single-0", "shard0-0", "shard1-0", "shard2-1")]
        for number, backend in enumerate(troubled):
            backend.mode = "endless_body" if number % 2 == 0 else "endless_head"
        for number in range(20):
            answer = self.platform.get("g1", "/fetch/x", request_id=f"fetch{number}")
            self.assertLess(answer.seconds, 1.6)
            if answer.status == 200:
                self.assertEqual(answer.body, f"bytes of fetch{number}".encode())
            self.assertEqual(self.search().status, 200)  # Each shard has another backend server.
            answer = self.platform.get("g1", "/order/x", method="POST", body=b"one", request_id=f"order{number}")
            runs = self.platform.run_count(f"order{number}")
            self.assertLessEqual(runs, 1)
            if answer.status in (408, 421, 429, 503):
                self.assertEqual(runs, 0)
        status = pathlib.Path(f"/proc/{self.platform.gateways['g1']['process'].pid}/status").read_text()
        resident_kb = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
        self.assertLess(resident_kb, 260 * 1024)  # The memory of the smallest host.

    def test_hosts_read_changes_from_readers_of_their_zone(self):
        """Guards against calls to the platform that grow with the number of hosts, and against hosts that stop following, or follow too
        late, when the readers of their zone are killed or stop responding.
        """
        names = [f"g{number}" for number in range(5)]
        for name in names:
            self.platform.start_gateway(name, "z1")
        time.sleep(3)  # Until all hosts know each other, and their last waits for the platform are over.
        before = self.platform.store.calls
        time.sleep(4)
        # With the bound of 3 s a call waits 1.6 s: two readers make 5 or 6 calls in 4 s, five hosts 13 to 15.
        self.assertLessEqual(self.platform.store.calls - before, 7)

        def publish_and_wait(route, remaining):
            self.platform.publish_routes(extra=[route])
            for name in remaining:
                self.platform.wait_until(f"{route} on {name}", lambda: self.platform.get(name, f"/{route}/x").status == 200, 3)

        publish_and_wait("first", names)
        # When the platform drops its history, the hosts get the list of a reader. A list takes 4 calls here, which all five hosts would
        # need within the second.
        self.platform.call_on_loop(self.platform.store.compact_history)
        before = self.platform.store.calls
        time.sleep(1)
        self.assertLessEqual(self.platform.store.calls - before, 14)
        publish_and_wait("compacted", names)
        # With two hosts fewer, at least one of the remaining three has to read the platform itself.
        self.platform.signal("g0", signal.SIGKILL)
        self.platform.signal("g1", signal.SIGSTOP)
        publish_and_wait("second", names[2:])
        self.platform.signal("g2", signal.SIGSTOP)
        publish_and_wait("third", names[3:])
        # The operator's change happens while the hosts are stopped; they must not serve by an older state once they know a newer one.
        for name in ("g1", "g2"):
            self.platform.signal(name, signal.SIGCONT)
        publish_and_wait("fourth", names[1:])
        time.sleep(1)
        for name in names[1:]:
            self.assertEqual(self.platform.get(name, "/first/x").status, 404)

    def test_a_hanging_backend_server_does_not_delay_searches(self):
        """Guards against searches that wait for a hanging backend server although its shard has another replica.

        The two slowest of 20 searches may take longer than 0.2 s.
        """
        self.platform.start_gateway("g1", "z1")
        for _ in range(60):
            self.search()
        self.platform.backends["shard2-0"].mode = "hang"
        times = []
        for _ in range(20):
            answer = self.search()
            self.assertEqual(answer.status, 200)
            times.append(answer.seconds)
        times.sort()
        self.assertLess(times[-3], 0.2)

    def test_cancels_requests_of_disconnected_callers(self):
        """Guards against backend servers that keep working for a caller that has closed its connection."""
        self.platform.start_gateway("g1", "z1")
        for index in range(2):
            self.platform.backends[f"single-{index}"].mode = "detect_cancel"
            self.platform.backends[f"single-{index}"].work_s = 1.0
        for number in range(5):
            self.platform.get("g1", "/fetch/x", request_id=f"abandoned{number}", give_up_s=0.1)
        time.sleep(0.3)
        cancelled = {entry for index in range(2) for entry in self.platform.backends[f"single-{index}"].cancelled}
        self.assertEqual(cancelled, {f"abandoned{number}" for number in range(5)})

    def test_configuration_changes_take_effect_and_never_revert(self):
        """Guards against late, lost or reverted configurations, also while the store is unavailable or compacts its history."""
        self.platform.start_gateway("g1", "z1")
        self.assertEqual(self.platform.get("g1", "/later/x").status, 404)
        self.platform.publish_routes(extra=["later"])
        self.platform.wait_until("the new route", lambda: self.platform.get("g1", "/later/x").status == 200, 3)
        self.platform.store.down = True
        self.platform.call_on_loop(self.platform.store.wake_watchers)
        time.sleep(0.5)
        self.assertEqual(self.search().status, 200)
        self.platform.publish_routes(extra=["later", "last"])
        self.platform.call_on_loop(self.platform.store.compact_history)
        self.platform.store.down = False
        self.platform.wait_until("the route after the outage", lambda: self.platform.get("g1", "/last/x").status == 200, 4)
        self.platform.config_version -= 9  # publish_routes() adds 3, so the next version is older.
        self.platform.publish_routes()
        time.sleep(0.8)
        self.assertEqual(self.platform.get("g1", "/last/x").status, 200)

    def test_leaving_and_excluded_backend_servers_get_nothing(self):
        """Guards against new requests to backend servers that are draining or whose availability zone is evacuated."""
        self.platform.start_gateway("g1", "z1")
        draining_backend = self.platform.backends["single-0"]
        draining_backend.draining = True
        self.platform.call_on_loop(draining_backend.publish)
        time.sleep(1.2)
        before = len(draining_backend.arrivals)
        for _ in range(20):
            self.assertEqual(self.platform.get("g1", "/fetch/x").status, 200)
        self.assertEqual(len(draining_backend.arrivals), before)
        self.platform.call_on_loop(self.platform.store.put, "op/evacuate/z2", {})
        time.sleep(0.8)
        z2_backends = [backend for backend in self.platform.backends.values() if backend.zone == "z2"]
        before = [len(backend.arrivals) for backend in z2_backends]
        for _ in range(10):
            self.search()
        self.assertEqual([len(backend.arrivals) for backend in z2_backends], before)
        # z2 is in service again and z1 is evacuated, so that all requests must go to z2.
        self.platform.call_on_loop(self.platform.store.delete, "op/evacuate/z2")
        self.platform.call_on_loop(self.platform.store.put, "op/evacuate/z1", {})
        time.sleep(0.8)
        z1_backends = [backend for backend in self.platform.backends.values() if backend.zone == "z1"]
        before = [len(backend.arrivals) for backend in z1_backends]
        for _ in range(10):
            self.assertEqual(self.search().status, 200)
        self.assertEqual([len(backend.arrivals) for backend in z1_backends], before)

    def test_unreadable_entries_are_ignored(self):
        """Guards against malformed entries that end the process, hide the valid entries, stop the following of changes or are not
        logged; also after a restart, when they are read with the full list.
        """
        entry = ('{"service":"single","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":2,"state":"ready",'
                 '"warmup_left_ms":0,"seq":1,"born":1}')
        odd_values = [b"\xff\xfe", b"[]", b'{"service":5}', b'{"service":"single"}', b"[" * 200000 + b"]" * 200000, b'{"a":' * 100000]
        for old, new in (('"warmup_left_ms":0', '"warmup_left_ms":1e300'), ('"slots":2', '"slots":1e300'), ('"born":1', '"born":2e63'),
                         ('"born":1', '"born":18446744073709551615'), ('"seq":1', '"seq":1e999'), ("127.0.0.1:1", "127.0.0.1:70000"),
                         ("127.0.0.1:1", "127.0.0.1:-1"), ("127.0.0.1:1", "999.0.0.1:1"), ('"seq":1', '"seq":1,"seq":{}'),
                         ('"zone":"z1"', '"zone":["z1"]')):
            odd_values.append(entry.replace(old, new).encode())
        for index, value in enumerate(odd_values):
            self.platform.call_on_loop(self.platform.store.put, f"servers/odd-{index}", value)
        self.platform.call_on_loop(self.platform.store.put, "op/other", b"?")
        # Items without a readable key, in the middle and at the end of the list; a page of the stand-in has 7 items.
        for name in ("odd-5x", "odd-6x", "odd-7x", "zzz"):
            self.platform.call_on_loop(self.platform.store.items.__setitem__, f"servers/{name}", {"key": 7})
        self.platform.start_gateway("g1", "z1")
        self.assertEqual(self.search().status, 200)
        self.platform.call_on_loop(self.platform.store.put, "op/config", b"{broken")
        time.sleep(0.6)
        self.assertEqual(self.search().status, 200)
        unreadable = [event for event in self.platform.events("g1") if event["event"] == "unreadable"]
        self.assertGreaterEqual(len(unreadable), len(odd_values))
        self.platform.publish_routes(extra=["later"])
        self.platform.wait_until("the new route", lambda: self.platform.get("g1", "/later/x").status == 200, 3)
        self.platform.signal("g1", signal.SIGKILL)
        self.platform.gateways["g1"]["process"].wait(5)
        self.platform.start_gateway("g2", "z1")
        self.assertEqual(self.search("g2").status, 200)
        self.assertIsNone(self.platform.gateways["g2"]["process"].poll())

    def test_many_changed_entries_are_logged_in_few_lines(self):
        """Guards against log lines that grow with the number of hosts times the number of entries: 737,000 lines were seen in 26 s."""
        self.platform.start_gateway("g1", "z1")
        time.sleep(0.5)

        def publish_all():
            for number in range(400):
                self.platform.store.put(f"servers/bulk-{number}", {
                    "service": "bulk", "address": f"127.0.0.1:{20000 + number}", "zone": "z1", "version": "v1", "slots": 2,
                    "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1})

        before = len(self.platform.events("g1"))
        self.platform.call_on_loop(publish_all)
        self.platform.wait_until("the entries", lambda: any(
            event["event"] == "backendServers" for event in self.platform.events("g1")), 4)
        time.sleep(1)
        self.assertLess(len(self.platform.events("g1")) - before, 60)

    def test_a_planned_stop_cuts_no_request(self):
        """Guards against requests without a successful answer while a gateway stops, on keep-alive and on new connections.

        Also guards against a stop that takes longer than stopTimeMs.
        """
        self.platform.start_gateway("g1", "z1")
        for index in range(2):
            self.platform.backends[f"single-{index}"].work_s = 0.3
        answers = []

        async def caller(number):
            connection = []
            end = time.monotonic() + 2.0
            while time.monotonic() < end:
                answer = await self.platform.send("g1", "/fetch/x", connection=connection, request_id=f"stop{number}-{len(answers)}")
                answers.append(answer.status)
                if answer.header.get("connection") == "close" or answer.status == 0:
                    connection.clear()

        async def load():
            await asyncio.gather(*(caller(number) for number in range(3)))

        future = asyncio.run_coroutine_threadsafe(load(), self.platform.loop)
        time.sleep(0.5)
        began = time.monotonic()
        self.platform.signal("g1", signal.SIGTERM)
        future.result(20)
        self.assertEqual(self.platform.gateways["g1"]["process"].wait(8), 0)
        self.assertLess(time.monotonic() - began, 6)
        self.assertEqual(set(answers), {200})

    def test_a_planned_stop_answers_each_accepted_connection(self):
        """Guards against connections that were accepted shortly before the process ends, and whose request comes a little later or is
        on its way between hosts: each of them must be answered, or be refused before it is accepted.
        """
        self.platform.start_gateway("g1", "z1")
        self.platform.start_gateway("g2", "z1")
        outcomes = []

        async def late_caller(number):
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.platform.gateways["g1"]["ports"]["callers"])
                except OSError:
                    return
                await asyncio.sleep(0.04)
                try:
                    outcomes.append((await self.platform.send("g1", "/fetch/x", connection=[reader, writer])).status)
                finally:
                    writer.close()
                await asyncio.sleep(0.005 * number)

        async def load():
            await asyncio.gather(*(late_caller(number) for number in range(6)))

        future = asyncio.run_coroutine_threadsafe(load(), self.platform.loop)
        time.sleep(0.3)
        self.platform.signal("g1", signal.SIGTERM)
        future.result(20)
        self.assertEqual(self.platform.gateways["g1"]["process"].wait(8), 0)
        self.assertGreater(len(outcomes), 100)
        self.assertEqual(set(outcomes), {200})

    def test_a_planned_stop_answers_requests_that_outlast_it(self):
        """Guards against requests that are cut without an answer at the end of the stop time, when their backend servers are still at
        work: they were sent before the stop or on kept connections late in it, and some may not be repeated.
        """
        self.platform.publish_routes(timeout_ms=20000)
        self.platform.start_gateway("g1", "z1")
        for backend in self.platform.backends.values():
            backend.mode = "hang"
        began = time.monotonic()

        async def caller(number, delay_s):
            kind, method, body = (("order", "POST", b"one"), ("fetch", "GET", b""), ("search", "GET", b""))[number % 3]
            connection = []
            await self.platform.send("g1", "/none/x", connection=connection)
            end = time.monotonic() + delay_s
            while time.monotonic() < end:  # Keeps the connection in use until the request.
                await asyncio.sleep(0.04)
                await self.platform.send("g1", "/none/x", connection=connection)
            return await self.platform.send("g1", f"/{kind}/x", method=method, body=body, connection=connection, deadline_ms=20000)

        async def load():
            return await asyncio.gather(*(caller(number, 0.3 * number) for number in range(6)))

        future = asyncio.run_coroutine_threadsafe(load(), self.platform.loop)
        time.sleep(0.7)
        self.platform.signal("g1", signal.SIGTERM)
        answers = future.result(20)
        self.assertEqual(self.platform.gateways["g1"]["process"].wait(8), 0)
        self.assertLess(time.monotonic() - began, 0.7 + 6)
        # A connection that the gateway closed before it read the request is no request without an answer.
        taken = [answer.status for answer in answers if answer.status != 0 or answer.seconds > 0.1]
        self.assertGreaterEqual(len(taken), 2)
        self.assertEqual(set(taken), {504})

    def test_refuses_and_reports_itself_when_cut_off(self):
        """Guards against a gateway that, without reachable backend servers, stays ready, keeps caller connections open or does not
        refuse searches at once, and against one that does not become ready when the backend servers return.
        """
        self.platform.start_gateway("g1", "z1")
        self.assertEqual(self.search().status, 200)
        ports = {}
        for name, backend in self.platform.backends.items():
            ports[name] = int(backend.address.split(":")[1])
            self.platform.call_on_loop(backend.crash)
        for _ in range(4):
            self.search()
        self.platform.wait_until("not ready", lambda: self.platform.get("g1", "/ready", port="readiness").status == 503, 4)
        answer = self.search()
        self.assertEqual(answer.status, 503)
        self.assertLess(answer.seconds, 0.1)
        self.assertGreater(float(answer.header["retry-after"]), 0)
        self.assertEqual(answer.header["connection"], "close")

        async def restart_backends():
            for name, backend in self.platform.backends.items():
                backend.server = await asyncio.start_server(backend.serve, "127.0.0.1", ports[name])

        self.platform.run(restart_backends())
        self.platform.wait_ready("g1", 5)
        self.assertEqual(self.search().status, 200)

    def explain(self, request_id):
        command = self.platform.binary.parent / "orioledrumctl"
        logs = [str(path) for path in sorted(self.platform.folder.glob("*.log"))]
        completed = subprocess.run([str(command), "explain", "--json", request_id, *logs],
                              capture_output=True, text=True, timeout=20)
        self.assertEqual(completed.returncode, 0, completed.stderr)
        return json.loads(completed.stdout)

    def wait_for_event(self, request_id, event_name):
        self.platform.wait_until(f"a log line of {request_id}", lambda: any(
            event.get("id") == request_id and event["event"] == event_name for event in self.platform.events("g1")), 5)

    def test_logs_explain_failed_requests(self):
        """Guards against logs that do not show why a request was refused, partial or late."""
        self.platform.start_gateway("g1", "z1")
        for _ in range(30):
            self.search()
        for index in range(2):
            self.platform.backends[f"shard2-{index}"].mode = "hang"
        self.assertEqual(self.search(request_id="partial1").header["missing-parts"], "1")
        self.wait_for_event("partial1", "partial")
        partial = self.explain("partial1")
        self.assertEqual(partial["outcome"], "search partial")
        self.assertIn("1 of 6 shards were missing, for example shard2: its backend servers were asked", partial["cause"])
        beliefs = [belief["what"] for belief in partial["beliefs"]]
        self.assertTrue(any("had contact with the platform" in what for what in beliefs), beliefs)

        for shard in (0, 1, 3):
            for index in range(2):
                self.platform.backends[f"shard{shard}-{index}"].mode = "hang"
        self.assertEqual(self.search(request_id="late1", deadline_ms=400).status, 504)
        self.wait_for_event("late1", "late")
        self.assertIn("had not answered in time", self.explain("late1")["cause"])

        for backend in self.platform.backends.values():
            self.platform.call_on_loop(backend.crash)
        self.platform.wait_until("a refusal", lambda: self.search().status == 503, 10)
        self.assertEqual(self.search(request_id="refused1").status, 503)
        self.wait_for_event("refused1", "notStarted")
        refused = self.explain("refused1")
        self.assertIn("refused before anything was sent", refused["cause"])
        self.assertEqual([line["part"] for line in refused["path"]], ["search"])

    def test_starts_without_the_platform_and_says_so(self):
        """Guards against a gateway that answers 404 or reports ready before it has read its routes from the platform."""
        self.platform.store.down = True
        self.platform.start_gateway("g1", "z1", wait=False)
        self.platform.wait_until("an answer", lambda: self.platform.get("g1", "/fetch/x").status == 503, 5)
        self.assertEqual(self.platform.get("g1", "/ready", port="readiness").status, 503)
        self.platform.store.down = False
        self.platform.wait_ready("g1")
        self.assertEqual(self.search().status, 200)


if __name__ == "__main__":
    unittest.main(verbosity=2)
