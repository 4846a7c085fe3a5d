"""Randomized soak: gatewayd processes between callers, backend servers and a stand-in of the platform, under faults from outside.

Faults come in series and overlap: connections that are delayed, reset or silenced by a proxy, backend servers that fail or end,
processes that are paused, killed, stopped and told to reload, a platform that is away or forgets its history. Promises are
checked for each answer. A seed repeats the sequence of faults and requests.

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
from platform_standin import Platform  # noqa: E402

ZONES = ("z1", "z2")
MODES = ("serve", "serve", "shed", "reset", "fail", "drop_answer", "truncate", "wrong_id", "extra_answer", "unframed", "hang")
# An answer later than this after the caller's time has passed counts as held.
HELD_SECONDS = 1.5
# Time without faults after which requests must succeed again.
RECOVERY_SECONDS = 6
# This process counts as paused when its own loop stands still for so long; answers are not timed then.
OWN_PAUSE_SECONDS = 0.3


class Proxy:
    """Forwards connections to a backend server, and delays, resets or silences them."""

    def __init__(self, backend):
        self.backend, self.mode, self.writers = backend, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.backend.address, self.behind = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1], self.backend.address
        self.backend.publish()

    async def serve(self, reader, writer):
        host, port = self.behind.split(":")
        try:
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, back_writer}
        try:
            await asyncio.gather(self.pump(reader, back_writer), self.pump(back_reader, writer), return_exceptions=True)
        except asyncio.CancelledError:
            pass  # The soak ends.
        self.writers -= {writer, back_writer}

    async def pump(self, reader, writer):
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
        for writer in list(self.writers):
            writer.transport.abort()


class Soak:
    def __init__(self, platform, seed):
        self.platform, self.random = platform, random.Random(seed)
        self.problems, self.counts = [], {}
        self.stop = False
        self.own_pauses = []
        self.signalled = set()
        self.faults = []

    async def watch_own_loop(self):
        while not self.stop:
            before = time.monotonic()
            await asyncio.sleep(0.05)
            if time.monotonic() - before > OWN_PAUSE_SECONDS:
                self.own_pauses.append((before, time.monotonic()))

    def paused_itself(self, begin, end):
        return any(first < end and begin < last for first, last in self.own_pauses)

    async def caller(self, number):
        draw = random.Random(number * 1000 + self.random.randrange(1 << 30))
        sequence = 0
        connection, name = [], None
        while not self.stop:
            sequence += 1
            if not connection or draw.random() < 0.1:
                connection, name = [], draw.choice(sorted(self.platform.gateways))
            kind = draw.choice(("search", "search", "fetch", "order"))
            request_id = f"c{number}-{sequence}"
            target, method, body = f"/{kind}/{request_id}", "GET", b""
            if kind == "order":
                method, body = "POST", b"pellets " + request_id.encode()
            time_left = draw.choice((400, 1200))
            began = time.monotonic()
            answer = await self.platform.send(name, target, method=method, body=body, request_id=request_id, deadline_ms=time_left,
                                              connection=connection, give_up_s=0.02 if draw.random() < 0.03 else None)
            if answer.status == 0 or answer.header.get("connection") == "close":
                connection = []
            self.check(kind, target, request_id, time_left, answer, began)
            await asyncio.sleep(draw.random() * 0.03)

    def check(self, kind, target, request_id, time_left, answer, began):
        self.counts[(kind, answer.status)] = self.counts.get((kind, answer.status), 0) + 1
        runs = self.platform.run_count(request_id)
        if kind == "order" and runs > 1:
            self.problems.append(f"{request_id} ran {runs} times")
        if kind == "order" and answer.status in (408, 421, 429, 503) and runs:
            self.problems.append(f"{request_id} was refused with {answer.status} and ran")
        if answer.status == 200 and kind != "search" and answer.body != b"bytes of " + request_id.encode():
            self.problems.append(f"{request_id} got another body: {answer.body[:60]}")
        if answer.status == 200 and kind == "search":
            try:
                self.platform.check_search(target, request_id, answer)
            except AssertionError as failure:
                self.problems.append(f"{request_id}: {failure}")
        if answer.status == 404:
            self.problems.append(f"{request_id} was denied")
        held = answer.seconds > time_left / 1000 + HELD_SECONDS
        if held and answer.status and not self.paused_itself(began, began + answer.seconds):
            self.problems.append(f"{request_id} was held for {answer.seconds:.2f} s of {time_left} ms")

    async def disturb(self):
        """One fault with its end."""
        platform, draw = self.platform, self.random
        backend = platform.backends[draw.choice(sorted(platform.backends))]
        name = draw.choice(sorted(platform.gateways))
        process = platform.gateways[name]["process"]
        signalled = name in self.signalled
        fault = draw.choice(("mode", "mode", "slow", "proxy", "proxy", "reset", "store", "history", "drain", "zone", "pause", "kill", "term",
                             "hup", "routes", "end"))
        length = draw.uniform(0.3, 2.0)
        self.faults.append(f"{time.time():.3f} {fault} {backend.name} {name} {length:.2f}")
        if fault in ("pause", "kill", "term") and signalled:
            return  # The process is still in an earlier fault.
        if fault == "mode":
            backend.mode = draw.choice(MODES)
            await asyncio.sleep(length)
            backend.mode = "serve"
        elif fault == "slow":
            backend.work_s = 0.2
            await asyncio.sleep(length)
            backend.work_s = 0.004
        elif fault == "proxy":
            backend.proxy.mode = draw.choice(("delay", "silent"))
            await asyncio.sleep(length)
            backend.proxy.mode = "pass"
            backend.proxy.reset()
        elif fault == "reset":
            for each in platform.backends.values():
                if draw.random() < 0.5:
                    each.proxy.reset()
        elif fault == "store":
            platform.store.down = True
            platform.store.wake_watchers()
            await asyncio.sleep(length)
            platform.store.down = False
        elif fault == "history":
            platform.store.compact_history()
        elif fault == "drain":
            backend.draining = True
            backend.publish()
            await asyncio.sleep(length)
            backend.draining = False
            backend.publish()
        elif fault == "zone":
            zone = draw.choice(ZONES)
            platform.store.put(f"op/evacuate/{zone}", {})
            await asyncio.sleep(length)
            platform.store.delete(f"op/evacuate/{zone}")
        elif fault == "pause":
            self.signalled.add(name)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(min(length, 1.0))
            process.send_signal(signal.SIGCONT)
            self.signalled.discard(name)
        elif fault == "hup":
            process.send_signal(signal.SIGHUP)
        elif fault == "routes":
            platform.publish_routes_on_loop(extra=["later"])
        elif fault == "end":
            platform.store.delete("servers/" + backend.name)
            await asyncio.sleep(length)
            backend.publish()
        elif fault in ("kill", "term"):
            self.signalled.add(name)
            process.send_signal(signal.SIGKILL if fault == "kill" else signal.SIGTERM)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            if fault == "term" and process.returncode != 0:
                self.problems.append(f"{name} ended with {process.returncode} after SIGTERM")
            platform.start_gateway(name, platform.gateways[name]["zone"], wait=False)
            self.signalled.discard(name)

    async def run(self, seconds):
        for backend in self.platform.backends.values():
            backend.proxy = Proxy(backend)
            await backend.proxy.start()
        watcher = asyncio.ensure_future(self.watch_own_loop())
        callers = [asyncio.ensure_future(self.caller(number)) for number in range(8)]
        busy, faults = set(), []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(0.1, 0.6))
            fault = asyncio.ensure_future(self.guarded(busy))
            faults.append(fault)
        await asyncio.gather(*faults)
        await asyncio.sleep(RECOVERY_SECONDS)
        before = dict(self.counts)
        await asyncio.sleep(2)
        self.stop = True
        await asyncio.gather(*callers)
        watcher.cancel()
        served = sum(count - before.get(key, 0) for key, count in self.counts.items() if key[1] == 200)
        every = sum(count - before.get(key, 0) for key, count in self.counts.items())
        if served < 0.9 * every or every < 50:
            self.problems.append(f"after the faults only {served} of {every} requests were served")
        for name, gateway in self.platform.gateways.items():
            if gateway["process"].poll() is not None:
                self.problems.append(f"{name} ended by itself with {gateway['process'].returncode}")

    async def guarded(self, busy):
        """At most three faults at a time."""
        if len(busy) >= 3:
            return
        token = object()
        busy.add(token)
        try:
            await self.disturb()
        finally:
            busy.discard(token)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--keep", default="out", help="folder in which the logs of a seed that fails are kept")
    given = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="orioledrum-soak-", ignore_cleanup_errors=True) as folder:
        with Platform(folder, zones=ZONES) as platform:
            for name, zone in (("g1", "z1"), ("g2", "z2"), ("g3", "z3")):
                platform.start_gateway(name, zone)
            soak = Soak(platform, given.seed)
            platform.run(soak.run(given.seconds), given.seconds + 60)
        if soak.problems:
            kept = pathlib.Path(given.keep) / f"soak-{given.seed}"
            shutil.copytree(folder, kept, dirs_exist_ok=True)
            (kept / "faults.txt").write_text("\n".join(soak.faults) + "\n")
            print(f"logs: {kept}")
    print(f"seed {given.seed}: {sum(soak.counts.values())} requests, {len(soak.problems)} problems, {len(soak.own_pauses)} own pauses")
    for key, count in sorted(soak.counts.items()):
        print(f"  {key[0]} {key[1]}: {count}")
    for problem in soak.problems[:20]:
        print("  PROBLEM", problem)
    return 1 if soak.problems else 0


if __name__ == "__main__":
    sys.exit(main())
