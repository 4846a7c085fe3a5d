"""Stand-in for the users' platform on loopback: a store that can be read and watched, backend servers, an operator and callers.

All of them run on one asyncio loop in a separate thread; tests use them through blocking calls. They speak the protocol of the
users' platform, which the code in platform/ implements for gatewayd. Faults are set for each backend server and for the store.
"""
import asyncio
import bisect
import collections
import hashlib
import json
import os
import pathlib
import signal
import subprocess
import threading
import time

from http_streams import RecordingReader, free_port, make_response, read_message, reset_connection
from platform_store import Store, StoreLink

ROOT = pathlib.Path(__file__).resolve().parent.parent
RECORD_BYTES = 16
EXTRA_CALL_SHARE = 0.2  # Bound on retries and hedges to a service, per request in 10 s, over all gateways.
EXTRA_CALL_SLACK = 60  # Added to that bound.




class Backend:
    """One backend server. `mode` is how it treats requests, or a function that returns the mode for the next request.

    serve: answers
    shed: refuses with 503 and the header Not-Run
    reset: resets the connection without running the request
    close: closes the connection without running the request
    hang: runs the request and answers it 30 s late
    detect_cancel: runs and answers the request, but stops it when its connection closes
    drop_answer: runs the request and resets the connection
    fail: runs the request and answers 500
    truncate: closes the connection 5 bytes before the end of the answer
    truncate_head: closes the connection in the middle of the head of the answer
    wrong_id: answers with another Request-Id
    extra_answer: sends a second answer that belongs to no request
    unframed: answers without Content-Length; the body ends when the connection closes
    unframed_reset: like unframed, but resets the connection 5 bytes before the end of the body
    endless_head: sends header lines until the caller closes the connection
    endless_body: sends a body without length until the caller closes the connection
    status:TEXT: runs the request and answers with TEXT in place of the status code
    interim: runs the request, sends 100 (Continue) and closes the connection
    """

    def __init__(self, platform, name, service, zone, slots=2):
        self.platform, self.name, self.service, self.zone, self.slots = platform, name, service, zone, slots
        self.mode = "serve"
        self.work_s = 0.004
        self.extra_bytes = 0  # Appended to the bodies of answers of services that are no shards.
        self.running = 0
        self.ran = []  # (time, request id, method, target, body)
        self.arrivals = []  # (time, request id)
        self.cancelled = []  # Identifiers of the requests whose connection closed while they ran.
        self.server = None
        self.connections = set()
        self.draining = False
        self.sequence = 0  # Of the latest entry.
        self.born = 1  # Start of the process, as Unix time in milliseconds.
        self.leaving = False  # Says in all answers that it leaves.
        self.retry_after = None  # Refuses requests and status checks with this value of Retry-After.
        self.probes = []  # Times of status checks.
        self.received = bytearray()  # All bytes received, if Platform.record_bytes is set.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.publish()

    def publish(self, **changes):
        """Writes the entry of this backend server to the store; `changes` replace fields of the entry."""
        self.sequence += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
                 "state": "draining" if self.draining else "ready", "warmup_left_ms": 0, "seq": self.sequence, "born": self.born}
        entry.update(changes)
        self.platform.store.put("servers/" + self.name, entry)

    def crash(self):
        """Closes the port and resets all connections, but leaves the entry in the store."""
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def signature(self, request_id):
        """Returns the value of Server-Stamp, which identifies this backend server and the request."""
        return hashlib.sha1(f"{self.name}/{request_id}".encode()).hexdigest()[:16]

    def records(self, target):
        """Returns the records of this shard for a search, the same for all of its replicas."""
        seed = hashlib.sha1(f"{self.service}{target}".encode()).digest()
        return [hashlib.md5(seed + bytes([i])).digest() for i in range(6)]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        if self.platform.record_bytes:
            reader = RecordingReader(reader, self.received)
        try:
            while message := await read_message(reader):
                if not await self.answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, message, reader, writer):
        line, header, body = message
        method, target, _ = line.split(" ", 2)
        leaving = {"Server-Leaving": "1"} if self.leaving else {}
        if target == "/health":
            self.probes.append(time.monotonic())
            writer.write(make_response(200, {"Instance-Id": self.name, **leaving}))
            return True
        request_id = header.get("request-id", "")
        self.arrivals.append((time.monotonic(), request_id))
        if self.retry_after is not None:
            writer.write(make_response(503, {"Not-Run": "1", "Request-Id": request_id, "Retry-After": self.retry_after, **leaving}))
            return True
        if header.get("expect-instance", self.name) != self.name:
            writer.write(make_response(421, {"Instance-Id": self.name}))
            return True
        mode = self.mode() if callable(self.mode) else self.mode
        if mode == "shed":
            writer.write(make_response(503, {"Not-Run": "1", "Request-Id": request_id}))
            return True
        if mode == "reset":
            reset_connection(writer)
            return False
        if mode == "close":
            return False
        self.ran.append((time.monotonic(), request_id, method, target, body))
        if mode == "hang":
            await asyncio.sleep(30)
        self.running += 1
        closed = asyncio.ensure_future(reader.read(1)) if mode == "detect_cancel" else None
        try:
            work = asyncio.sleep(self.work_s)
            if closed:
                done, _ = await asyncio.wait([asyncio.ensure_future(work), closed], return_when=asyncio.FIRST_COMPLETED)
                if closed in done:
                    self.cancelled.append(request_id)
                    return False
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)  # Until it ends, nothing else can read from the connection.
            else:
                await work
        finally:
            self.running -= 1
        if mode == "drop_answer":
            writer.transport.abort()
            return False
        answer = {"Request-Id": request_id, "Server-Stamp": self.signature(request_id), "Server-Load": f"{self.running},0,{self.slots}",
                  **leaving}
        payload = b"".join(self.records(target)) if self.service.startswith("shard") else b"bytes of " + request_id.encode() + bytes(self.extra_bytes)
        if mode == "fail":
            writer.write(make_response(500, answer, b"failed"))
        elif mode == "truncate":
            whole = make_response(200, answer, payload)
            writer.write(whole[:-5])
            writer.close()
            return False
        elif mode == "truncate_head":
            writer.write(f"HTTP/1.1 200 OK\r\nServer-Stamp: {answer['Server-Stamp']}\r\nContent-".encode())
            writer.close()
            return False
        elif mode.startswith("status:"):
            writer.write(make_response(mode.removeprefix("status:"), answer, payload))
        elif mode == "interim":
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.close()
            return False
        elif mode == "wrong_id":
            answer["Request-Id"] = "another"
            writer.write(make_response(200, answer, payload))
        elif mode == "extra_answer":
            writer.write(make_response(200, answer, payload))
            writer.write(make_response(200, {**answer, "Request-Id": "extra"}, b"late"))
        elif mode in ("unframed", "unframed_reset"):
            head = f"HTTP/1.1 200 OK\r\nServer-Stamp: {answer['Server-Stamp']}\r\n\r\n".encode()
            if mode == "unframed_reset":
                writer.write(head + payload[:-5])
                await asyncio.sleep(0.01)
                reset_connection(writer)
            else:
                writer.write(head + payload)
                writer.close()
            return False
        elif mode in ("endless_head", "endless_body"):
            writer.write(f"HTTP/1.1 200 OK\r\nServer-Stamp: {answer['Server-Stamp']}\r\n".encode())
            chunk = b"X-Field: value\r\n" * 1000 if mode == "endless_head" else b"\r\n" + b"x" * 65536
            while True:
                writer.write(chunk)
                await writer.drain()
        else:
            writer.write(make_response(200, answer, payload))
        return True


class Answer(collections.namedtuple("Answer", "status header body seconds")):
    """The answer that a caller received. Status 0: no answer, because the connection failed or closed or the caller gave up."""


class Platform:
    """The store and the backend servers of the platform, and the gateways under test. A context manager: leaving it kills the gateways."""

    def __init__(self, folder, shards=6, replicas=2, zones=("z1", "z2")):
        self.folder = pathlib.Path(folder)
        self.binary = pathlib.Path(os.environ.get("ORIOLEDRUM_BUILD", ROOT / "build")) / "bin" / "gatewayd"
        self.zones = zones
        self.shards = ["shard%d" % i for i in range(shards)]
        self.replicas = replicas
        self.backends = {}
        self.gateways = {}
        self.config_version = 0
        self.request_count = 0
        self.sent = []  # (time, target) of each request of a caller.
        self.record_bytes = False  # Whether backend servers keep the bytes that they receive; applies to new connections.
        self.tenants = None  # Organisations of the published configuration; None: callers need no keys.
        self.public_routes = ()  # Names of routes that need no key.
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)

    def __enter__(self):
        self.thread.start()
        self.run(self._start())
        return self

    def __exit__(self, *_):
        for gateway in self.gateways.values():
            if gateway["process"].poll() is None:
                gateway["process"].kill()
            gateway["process"].wait()
            gateway["log"].close()
        self.run(self._stop_serving())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()

    async def _stop_serving(self):
        """Closes all servers and connections and cancels all tasks, so that none is left when the loop closes."""
        for backend in self.backends.values():
            backend.server.close()
            for writer in list(backend.connections):
                writer.transport.abort()
        self.server.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def run(self, coroutine, timeout=30):
        """Runs a coroutine on the loop from another thread and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def call_on_loop(self, function, *arguments, **options):
        """Calls a function in the thread of the loop and returns its result."""
        async def body():
            return function(*arguments, **options)
        return self.run(body())

    async def _start(self):
        self.store = Store()
        self.server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        for index, shard in enumerate(self.shards):
            for number in range(self.replicas):
                await self._add_backend(f"{shard}-{number}", shard, self.zones[(index + number) % len(self.zones)])
        for number in range(2):
            await self._add_backend(f"single-{number}", "single", self.zones[number % len(self.zones)], slots=3)
        await self._add_backend("other-0", "other", self.zones[0])
        self.publish_routes_on_loop()

    async def _add_backend(self, name, service, zone, slots=2):
        backend = self.backends[name] = Backend(self, name, service, zone, slots)
        await backend.start()

    def add_backend(self, name, service, zone):
        self.run(self._add_backend(name, service, zone))

    def publish_routes_on_loop(self, single="single", extra=(), timeout_ms=1500, warm_up_s=1.0, cold_per_s=0.0, target_latency_ms=120,
                               **limits):
        """Publishes the next version of the routes, with one more route for each name in `extra`. Runs in the thread of the loop.
        `cold_per_s` limits the requests to a cold backend server; 0: not limited. `limits` replace fields of the limits for callers.
        The organisations are those of `tenants`.
        """
        self.config_version += 3
        base = {"host": "h.example", "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms, "priority": 1, "max_attempts": 2}
        search = {"kind": "idempotent", "gather": self.shards, "top_k": 10, "min_coverage": 0.75}
        routes = [{**base, **search, "name": "search", "prefix": "/search/"},
                  {**base, "name": "fetch", "prefix": "/fetch/", "kind": "idempotent", "service": single},
                  {**base, "name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": single}]
        routes += [{**base, "name": name, "prefix": f"/{name}/", "kind": "idempotent", "service": single} for name in extra]
        services = [{"name": name, "health_path": "/health", "max_conns": 60, "protocol": "h1", "tls": False, "warmup_s": warm_up_s,
                     "cold_per_s": cold_per_s} for name in [*self.shards, "single", "other"]]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 10000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits}
        configuration = {"version": self.config_version, "routes": routes, "services": services, "limits": limits}
        if self.tenants is not None:
            configuration["tenants"] = self.tenants
        for route in routes:
            if route["name"] in self.public_routes:
                route["public"] = True
        self.store.put("op/config", configuration)

    def publish_routes(self, **options):
        """Like publish_routes_on_loop(), but for callers in other threads."""
        self.call_on_loop(self.publish_routes_on_loop, **options)

    def start_gateway(self, name, zone, wait=True, **more_settings):
        """Starts a gateway, on its previous ports when it ran before. With `wait`, returns when it is ready.
        `more_settings` are added to its settings.
        """
        ports = {key: free_port() for key in ("callers", "readiness", "hosts", "metrics")}
        previous = self.gateways.get(name)
        if previous:
            ports = previous["ports"]
        seeds = [f"127.0.0.1:{gateway['ports']['hosts']}" for gateway in self.gateways.values()][:3] or [f"127.0.0.1:{ports['hosts']}"]
        settings = {"host": name, "zone": zone, "seeds": seeds, "platform": self.store_address(name), "maxDescriptors": 1024,
                    "extraCallShare": EXTRA_CALL_SHARE, "extraCallSlack": EXTRA_CALL_SLACK, "coldFactor": 1.5, "coldSlack": 5, "configurationInForceMs": 3000,
                    "contactLossMs": 4000, "drainMs": 3000, "stopTimeMs": 6000, "lapsedReturnMs": 1000, "callerDelayMs": 3}
        settings.update({key: f"127.0.0.1:{port}" for key, port in ports.items()})
        settings.update(more_settings)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(self.folder / f"{name}.log", "ab")
        log_start = log.tell()
        process = subprocess.Popen([str(self.binary), "--settings", str(path)], stdout=log, stderr=log)
        self.gateways[name] = {"process": process, "ports": ports, "log": log, "log_start": log_start, "zone": zone}
        if wait:
            self.wait_ready(name)

    def store_address(self, _name):
        """Returns the address at which a gateway reads the store. Tests replace it to put a StoreLink between."""
        return self.address

    def wait_ready(self, name, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.get(name, "/ready", port="readiness").status == 200:
                return
            time.sleep(0.02)
        raise AssertionError(f"{name} is not ready within {seconds} s: {self.log(name)[-2000:]}")

    def wait_until(self, description, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise AssertionError(f"timed out after {seconds} s waiting for: {description}")

    def signal(self, name, number):
        self.gateways[name]["process"].send_signal(number)

    def stop_gateway(self, name, seconds=8):
        self.signal(name, signal.SIGTERM)
        return self.gateways[name]["process"].wait(seconds)

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def has_started(self, name):
        """Returns whether the latest process of a gateway has logged that it listens."""
        with open(self.folder / f"{name}.log", "rb") as log:
            log.seek(self.gateways[name]["log_start"])
            return b'"event":"started"' in log.read()

    def events(self, name):
        """Returns the structured log lines of a gateway."""
        lines = []
        for line in self.log(name).splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                pass
        return lines

    async def send(self, name, target, method="GET", body=b"", port="callers", request_id=None, deadline_ms=1500, give_up_s=None,
                   connection=None, header=None, trailer=None):
        """Sends one request. `connection` is an empty list, which receives the open connection, or a list that an earlier request has
        filled; without it, the connection closes after the request. With `give_up_s`, the caller resets the connection after that
        time without reading the answer. `port` names the port of the gateway: callers, readiness, hosts or metrics. `header` holds
        more header fields, as a dictionary or as a list of pairs; `trailer` holds fields that follow a chunked body. With an empty
        `request_id` the request has none.
        """
        self.request_count += 1
        request_id = "r%06d" % self.request_count if request_id is None else request_id
        if port == "callers":
            self.sent.append((time.monotonic(), target))
        began = time.monotonic()
        try:
            if connection:
                reader, writer = connection
            else:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.gateways[name]["ports"][port])
                if connection is not None:
                    connection += [reader, writer]
            lines = [f"{method} {target} HTTP/1.1", "Host: h.example", f"Deadline-Ms: {deadline_ms}"]
            if request_id:
                lines.append(f"Request-Id: {request_id}")
            lines += [f"{key}: {value}" for key, value in (header.items() if isinstance(header, dict) else header or ())]
            if trailer:
                lines += ["Transfer-Encoding: chunked", "Trailer: " + ", ".join(trailer)]
                end = "".join(f"{key}: {value}\r\n" for key, value in trailer.items()).encode()
                body = (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n" + end + b"\r\n"
            elif body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            if give_up_s:
                await asyncio.sleep(give_up_s)
                writer.transport.abort()
                return Answer(0, {}, b"", time.monotonic() - began)
            message = await asyncio.wait_for(read_message(reader), 20)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            message = None
        seconds = time.monotonic() - began
        if connection is None and "writer" in locals():
            writer.close()
        if message is None:
            return Answer(0, {}, b"", seconds)
        return Answer(int(message[0].split(" ")[1]), message[1], message[2], seconds)

    def get(self, name, target, **options):
        return self.run(self.send(name, target, **options))

    def best_records(self, target, count=10, missing_shards=()):
        """Returns the records that a search must return when all shards except the missing ones answered."""
        all_records = []
        for shard in self.shards:
            if shard not in missing_shards:
                all_records += self.backends[f"{shard}-0"].records(target)
        return b"".join(sorted(all_records, reverse=True)[:count])

    def check_search(self, target, request_id, answer):
        """Checks the signatures, the coverage and the records of a successful search. Returns the number of missing shards.

        Raises AssertionError when a check fails.
        """
        signatures = [part.strip() for part in answer.header["part-stamps"].split(",")]
        shards = {}
        for backend in self.backends.values():
            if backend.signature(request_id) in signatures:
                assert backend.service not in shards, "two answers of one shard"
                shards[backend.service] = backend
        assert len(shards) == len(signatures), "a signature belongs to no backend server"
        missing = int(answer.header.get("missing-parts", 0))
        assert len(signatures) + missing == len(self.shards), "included and missing shards are not all shards"
        assert len(signatures) >= 0.75 * len(self.shards), "below the minimum coverage"
        missing_shards = [shard for shard in self.shards if shard not in shards]
        assert answer.body == self.best_records(target, missing_shards=missing_shards), "the records are not the greatest ones"
        return missing

    def extra_arrivals(self):
        """Returns the times of all arrivals at the backend servers of each service, and of those beyond the first of their request."""
        arrivals, extra = {}, {}
        for service in sorted({backend.service for backend in self.backends.values()}):
            entries = sorted(entry for backend in self.backends.values() if backend.service == service for entry in backend.arrivals)
            seen = set()
            arrivals[service], extra[service] = [], []
            for at, request_id in entries:
                arrivals[service].append(at)
                if request_id in seen:
                    extra[service].append(at)
                seen.add(request_id)
        return arrivals, extra

    def check_call_budget(self, share=EXTRA_CALL_SHARE, slack=EXTRA_CALL_SLACK, window_s=10.0):
        """Checks the arrivals beyond the first of each request, summed over all gateways, in sliding windows against the bound.

        The requests for a service are those that callers sent on its routes in the window, the one before it or the one half a
        window before it, whichever has most. Raises AssertionError with the service and the window.
        """
        _, extra = self.extra_arrivals()
        searches = [at for at, target in self.sent if target.startswith("/search/")]
        others = [at for at, target in self.sent if not target.startswith("/search/")]

        def count(times, begin):
            return bisect.bisect_left(times, begin + window_s) - bisect.bisect_left(times, begin)

        for service, times in extra.items():
            requests = searches if service in self.shards else others
            for begin in times:
                allowed = share * max(count(requests, begin - shift) for shift in (0, window_s / 2, window_s)) + slack
                found = count(times, begin)
                assert found <= allowed, f"{service}: {found} extra arrivals in {window_s} s, allowed {allowed:.0f}"

    def run_count(self, request_id):
        """Returns how often backend servers ran the request."""
        return sum(1 for backend in self.backends.values() for run in backend.ran if run[1] == request_id)
