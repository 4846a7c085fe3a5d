"""Randomized soak test: gatewayd processes with callers, backend servers, a stand-in for the platform and injected faults.

Faults overlap. A proxy delays, resets or silences connections; backend servers fail or disappear; gateways are paused, killed,
stopped or told to reload; the store of the platform is unavailable or compacts its history. Every answer is checked against
the guarantees of the gateway. The seed fixes the random choices of faults and requests, but not their timing.

    python3 tests/soak/soak.py --seed 7 --seconds 20
"""
import argparse
import asyncio
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from platform_standin import Platform, StoreLink  # noqa: E402

ZONES = ("z1", "z2")
MODES = ("serve", "serve", "shed", "reset", "close", "fail", "drop_answer", "truncate", "truncate_head", "wrong_id", "extra_answer",
         "unframed", "hang")
# An answer that arrives more than this time after its deadline is a problem.
MAX_LATENESS_SECONDS = 1.5
# Time without faults after which requests must succeed again.
RECOVERY_SECONDS = 6
# When the event loop of this process is blocked for longer than this, latencies measured meanwhile are not checked.
LOOP_STALL_SECONDS = 0.3


class Proxy:
    """Forwards connections to a backend server. Mode "delay" delays all bytes by 0.15 s, "silent" drops them."""

    def __init__(self, backend):
        self.backend, self.mode, self.writers = backend, "pass", set()

    async def start(self):
        """Listens, and publishes the proxy's address as the address of the backend server."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.backend.address, self.backend_address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1], self.backend.address
        self.backend.publish()

    async def serve(self, reader, writer):
        host, port = self.backend_address.split(":")
        try:
            backend_reader, backend_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, backend_writer}
        try:
            await asyncio.gather(self.forward(reader, backend_writer), self.forward(backend_reader, writer), return_exceptions=True)
        except asyncio.CancelledError:
            pass  # The soak has ended.
        self.writers -= {writer, backend_writer}

    async def forward(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if self.mode != "silent":
                    writer.write(data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def reset(self):
        """Aborts all connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Soak:
    def __init__(self, platform, store_links, seed):
        self.platform, self.store_links, self.random = platform, store_links, random.Random(seed)
        self.problems, self.counts = [], {}  # Counts of answers by (kind of request, status).
        self.stop = False
        self.loop_stalls = []
        self.signalled_gateways = set()  # Paused, or restarting after a kill or a planned stop.
        # Time, fault, backend server, gateway and duration; most faults use only some of them. Includes faults that were skipped.
        self.fault_log = []

    async def detect_loop_stalls(self):
        while not self.stop:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - before > LOOP_STALL_SECONDS:
                self.loop_stalls.append((before, time.monotonic()))

    def overlaps_loop_stall(self, begin, end):
        return any(first < end and begin < last for first, last in self.loop_stalls)

    async def caller(self, number):
        rng = random.Random(number * 1000 + self.random.randrange(1 << 30))
        sequence = 0
        connection, name = [], None
        while not self.stop:
            sequence += 1
            if not connection or rng.random() < 0.1:
                connection, name = [], rng.choice(sorted(self.platform.gateways))
            kind = rng.choice(("search", "search", "fetch", "order"))
            request_id = f"c{number}-{sequence}"
            target, method, body = f"/{kind}/{request_id}", "GET", b""
            if kind == "order" or (kind == "search" and rng.random() < 0.5):
                method, body = "POST", b"pellets " + request_id.encode()
            deadline_ms = rng.choice((400, 1200))
            began = time.monotonic()
            answer = await self.platform.send(name, target, method=method, body=body, request_id=request_id, deadline_ms=deadline_ms,
                                              connection=connection, give_up_s=0.02 if rng.random() < 0.03 else None)
            if answer.status == 0 or answer.header.get("connection") == "close":
                connection = []
            self.check(kind, (method, target, body), request_id, deadline_ms, answer, began)
            await asyncio.sleep(rng.random() * 0.03)

    def check(self, kind, sent, request_id, deadline_ms, answer, began):
        """Checks an answer and the runs of its request so far. `sent` is the method, the target and the body."""
        self.counts[(kind, answer.status)] = self.counts.get((kind, answer.status), 0) + 1
        target = sent[1]
        ran = [run[2:] for backend in self.platform.backends.values() for run in backend.ran if run[1] == request_id]
        runs = len(ran)
        if any(run != sent for run in ran):
            self.problems.append(f"{request_id} ran with another method, target or body: {ran}")
        if kind == "order" and runs > 1:
            self.problems.append(f"{request_id} ran {runs} times")
        if kind == "order" and answer.status in (408, 421, 429, 503) and runs:
            self.problems.append(f"{request_id} was refused with {answer.status} and ran")
        if answer.status == 200 and kind != "search" and answer.body != b"bytes of " + request_id.encode():
            self.problems.append(f"{request_id} got a wrong body: {answer.body[:60]}")
        if answer.status == 200 and kind == "search":
            try:
                self.platform.check_search(target, request_id, answer)
            except AssertionError as failure:
                self.problems.append(f"{request_id}: {failure}")
        if answer.status == 404:
            self.problems.append(f"{request_id} was answered with 404")
        too_late = answer.seconds > deadline_ms / 1000 + MAX_LATENESS_SECONDS
        if too_late and answer.status and not self.overlaps_loop_stall(began, began + answer.seconds):
            self.problems.append(f"{request_id} took {answer.seconds:.2f} s with a deadline of {deadline_ms} ms")

    async def inject_fault(self, rng):
        """Injects one random fault, with draws from `rng`. Ends it after a random time if it lasts; a killed or stopped gateway is started again."""
        platform = self.platform
        backend = platform.backends[rng.choice(sorted(platform.backends))]
        name = rng.choice(sorted(platform.gateways))
        process = platform.gateways[name]["process"]
        signalled = name in self.signalled_gateways
        fault = rng.choice(("mode", "mode", "slow", "proxy", "proxy", "reset", "store_down", "compaction", "drain", "zone", "pause",
                            "kill", "term", "hup", "routes", "deregister", "resets", "leaving", "quiet", "store_cut"))
        duration_s = rng.uniform(0.3, 2.0)
        self.fault_log.append(f"{time.time():.3f} {fault} {backend.name} {name} {duration_s:.2f}")
        if fault in ("pause", "kill", "term") and signalled:
            return  # An earlier pause, kill or stop of this gateway has not ended.
        if fault == "mode":
            backend.mode = rng.choice(MODES)
            await asyncio.sleep(duration_s)
            backend.mode = "serve"
        elif fault == "resets":  # Many backend servers reset the connections of half of the requests.
            chosen = [other for other in platform.backends.values() if rng.random() < 0.4]
            for other in chosen:
                other.mode = lambda: "reset" if rng.random() < 0.5 else "serve"
            await asyncio.sleep(2 * duration_s)
            for other in chosen:
                other.mode = "serve"
        elif fault == "leaving":
            backend.leaving = True
            await asyncio.sleep(duration_s)
            backend.leaving = False
            backend.born += 1
            backend.publish()
        elif fault == "quiet":
            backend.retry_after = rng.choice(("0.3", "1", "0", "-1", "soon"))
            await asyncio.sleep(duration_s)
            backend.retry_after = None
        elif fault == "slow":
            backend.work_s = 0.2
            await asyncio.sleep(duration_s)
            backend.work_s = 0.004
        elif fault == "proxy":
            backend.proxy.mode = rng.choice(("delay", "silent"))
            await asyncio.sleep(duration_s)
            backend.proxy.mode = "pass"
            backend.proxy.reset()
        elif fault == "reset":
            for other in platform.backends.values():
                if rng.random() < 0.5:
                    other.proxy.reset()
        elif fault == "store_down":
            platform.store.down = True
            platform.store.wake_watchers()
            await asyncio.sleep(duration_s)
            platform.store.down = False
        elif fault == "store_cut":  # One gateway is partitioned from the store.
            link = self.store_links[name]
            link.cut = True
            await asyncio.sleep(2 * duration_s)
            link.cut = False
        elif fault == "compaction":
            platform.store.compact_history()
        elif fault == "drain":
            backend.draining = True
            backend.publish()
            await asyncio.sleep(duration_s)
            backend.draining = False
            backend.publish()
        elif fault == "zone":
            zone = rng.choice(ZONES)
            platform.store.put(f"op/evacuate/{zone}", {})
            await asyncio.sleep(duration_s)
            platform.store.delete(f"op/evacuate/{zone}")
        elif fault == "pause":
            self.signalled_gateways.add(name)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(min(duration_s, 1.0))
            process.send_signal(signal.SIGCONT)
            self.signalled_gateways.discard(name)
        elif fault == "hup":
            process.send_signal(signal.SIGHUP)
        elif fault == "routes":
            platform.publish_routes_on_loop(extra=["later"])
        elif fault == "deregister":
            platform.store.delete("servers/" + backend.name)
            await asyncio.sleep(duration_s)
            backend.publish()
        elif fault in ("kill", "term"):
            self.signalled_gateways.add(name)
            process.send_signal(signal.SIGKILL if fault == "kill" else signal.SIGTERM)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            # A process that gets the signal while it is loaded, before it can handle signals, ends by it; it has accepted nothing.
            ended_while_loading = process.returncode == -signal.SIGTERM and not platform.has_started(name)
            if fault == "term" and process.returncode != 0 and not ended_while_loading:
                self.problems.append(f"{name} exited with {process.returncode} after SIGTERM")
            platform.start_gateway(name, platform.gateways[name]["zone"], wait=False)
            self.signalled_gateways.discard(name)

    async def run(self, seconds):
        for backend in self.platform.backends.values():
            backend.proxy = Proxy(backend)
            await backend.proxy.start()
        stall_detector = asyncio.ensure_future(self.detect_loop_stalls())
        callers = [asyncio.ensure_future(self.caller(number)) for number in range(8)]
        active_faults, fault_tasks = set(), []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            # Each fault has its own source, so that draws at a time that differs between runs do not change the later faults of the seed.
            fault = asyncio.ensure_future(self.inject_limited_fault(active_faults, random.Random(self.random.randrange(1 << 30))))
            fault_tasks.append(fault)
        await asyncio.gather(*fault_tasks)
        await asyncio.sleep(RECOVERY_SECONDS)
        before = dict(self.counts)
        await asyncio.sleep(2)
        self.stop = True
        await asyncio.gather(*callers)
        stall_detector.cancel()
        served = sum(count - before.get(key, 0) for key, count in self.counts.items() if key[1] == 200)
        total = sum(count - before.get(key, 0) for key, count in self.counts.items())
        if served < 0.9 * total or total < 50:
            self.problems.append(f"after the faults only {served} of {total} requests were answered with 200")
        try:
            self.platform.check_call_budget()
        except AssertionError as failure:
            self.problems.append(str(failure))
        for name, gateway in self.platform.gateways.items():
            for event in self.platform.events(name):
                if event["event"] == "unaccountedWrites":
                    self.problems.append(f"{name} wrote requests without a decision: {event}")
            if gateway["process"].poll() is not None:
                self.problems.append(f"{name} exited unexpectedly with {gateway['process'].returncode}")

    async def inject_limited_fault(self, active_faults, rng):
        """Injects a fault unless three are active already."""
        if len(active_faults) >= 3:
            return
        token = object()
        active_faults.add(token)
        try:
            await self.inject_fault(rng)
        finally:
            active_faults.discard(token)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--keep", default="out", help="folder that receives the logs of a failed run")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="orioledrum-soak-", ignore_cleanup_errors=True) as folder:
        with Platform(folder, zones=ZONES) as platform:
            gateways = (("g1", "z1"), ("g2", "z2"), ("g3", "z3"))
            store_links = {name: StoreLink(platform.address) for name, _ in gateways}
            addresses = {name: platform.run(link.start()) for name, link in store_links.items()}
            platform.store_address = addresses.__getitem__
            for name, zone in gateways:
                platform.start_gateway(name, zone)
            soak = Soak(platform, store_links, options.seed)
            platform.run(soak.run(options.seconds), options.seconds + 60)
        if soak.problems:
            log_folder = pathlib.Path(options.keep) / f"soak-{options.seed}"
            shutil.copytree(folder, log_folder, dirs_exist_ok=True)
            (log_folder / "faults.txt").write_text("\n".join(soak.fault_log) + "\n")
            print(f"logs: {log_folder}")
    print(f"seed {options.seed}: {sum(soak.counts.values())} requests, {len(soak.problems)} problems, {len(soak.loop_stalls)} loop stalls")
    for key, count in sorted(soak.counts.items()):
        print(f"  {key[0]} {key[1]}: {count}")
    for problem in soak.problems[:20]:
        print("  PROBLEM", problem)
    return 1 if soak.problems else 0


if __name__ == "__main__":
    sys.exit(main())
