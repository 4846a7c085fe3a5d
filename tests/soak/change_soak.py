"""Randomized soak test of the time after which gatewayd processes use a published change.

Six hosts of one zone read the store through links of their own, two of them for the others. Hosts are paused, killed and stopped, and
links to the store are silenced or reset, in series that begin with the readers, while the operator publishes routes. A host that has been calm for the
contact time, like the store, has to serve each new route within the bound. The seed fixes the random choices, not their timing.

    python3 tests/soak/change_soak.py --seed 7 --seconds 30
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

BOUND_S = 3.0  # configurationInForceMs of the settings, the shortest bound on changes.
CONTACT_S = 4.0  # contactLossMs of the settings.
HOSTS = 6
SERIES_S = 2.0  # Faults and publications of one series begin within this time.


class ChangeSoak:
    def __init__(self, platform, links, seed):
        self.platform, self.links, self.random = platform, links, random.Random(seed)
        self.disturbed = {name: 0.0 for name in links}  # End of the latest fault; infinite during one.
        self.problems, self.log, self.checked, self.slowest = [], [], 0, 0.0
        self.calls, self.routes = {}, []

    async def fault(self, name, rng):
        """Disturbs one host for a time."""
        process = self.platform.gateways[name]["process"]
        kind = rng.choice(("silent", "silent", "reset", "pause", "pause", "kill", "term"))
        duration_s = rng.uniform(0.2, 6.0)
        self.log.append(f"{time.time():.3f} {kind} {name} {duration_s:.2f}")
        self.disturbed[name] = float("inf")
        if kind in ("silent", "reset"):
            link = self.links[name]
            link.cut = kind == "silent"
            link.refuses = kind == "reset"
            if link.refuses:
                link.reset()
            await asyncio.sleep(duration_s)
            link.cut = link.refuses = False
        elif kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            process.send_signal(signal.SIGCONT)
        else:
            process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            while process.poll() is None:
                await asyncio.sleep(0.05)
            await asyncio.sleep(duration_s / 3)
            self.platform.start_gateway(name, self.platform.gateways[name]["zone"], wait=False)
        self.disturbed[name] = time.monotonic()

    async def fault_after(self, delay_s, name, rng):
        await asyncio.sleep(delay_s)
        await self.fault(name, rng)

    async def publish_after(self, delay_s, number):
        """Publishes a route and checks the hosts that are calm then."""
        await asyncio.sleep(delay_s)
        published = time.monotonic()
        self.log.append(f"{time.time():.3f} publish route{number}")
        self.routes.append(f"route{number}")
        extra = self.routes + [f"other{i}" for i in range(self.random.choice((0, 0, 2000)))]
        self.platform.publish_routes_on_loop(extra=extra)
        calm = [name for name in self.links if self.disturbed[name] <= published - CONTACT_S]
        await asyncio.gather(*(self.check(f"route{number}", name, published) for name in calm))

    def readers(self):
        """Returns the hosts that have called the store since the last call of this function, those with most calls first."""
        calls = {name: link.calls - self.calls.get(name, 0) for name, link in self.links.items()}
        self.calls = {name: link.calls for name, link in self.links.items()}
        return sorted((name for name in calls if calls[name] > 0), key=calls.get, reverse=True)[:2]

    async def check(self, route, name, published):
        """Waits until a host serves a route; a problem if it was calm and took longer than the bound."""
        while time.monotonic() < published + BOUND_S:
            answer = await self.platform.send(name, f"/{route}/x")
            if self.disturbed[name] > published - CONTACT_S:
                return
            if answer.status == 200:
                self.checked += 1
                self.slowest = max(self.slowest, time.monotonic() - published)
                return
            await asyncio.sleep(0.02)
        # Requests sent within the bound may be answered by the older version.
        answer = await self.platform.send(name, f"/{route}/x")
        if self.disturbed[name] <= published - CONTACT_S and answer.status == 404:
            self.problems.append(f"{time.time():.3f} {name} refuses {route} {time.monotonic() - published:.2f} s after its publication")

    async def run(self, seconds):
        end = time.monotonic() + seconds
        number = 0
        while time.monotonic() < end:
            self.readers()
            await asyncio.sleep(CONTACT_S + 0.5)  # All hosts are calm, and their readers are known.
            self.routes.clear()
            names = [name for name in self.readers() if self.random.random() < 0.9]
            names += [name for name in self.links if name not in names and self.random.random() < 0.15]
            tasks = [self.fault_after(self.random.uniform(0, SERIES_S), name, random.Random(self.random.randrange(1 << 30)))
                     for name in names]
            for _ in range(self.random.randrange(1, 4)):
                number += 1
                tasks.append(self.publish_after(self.random.uniform(0, SERIES_S), number))
            await asyncio.gather(*tasks)


class FaultyLink(StoreLink):
    """A link that can also reset its connections and refuse new ones."""

    def __init__(self, store_address):
        super().__init__(store_address)
        self.refuses, self.writers = False, set()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--keep", default="out", help="folder that receives the logs of a failed run")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="orioledrum-soak-", ignore_cleanup_errors=True) as folder:
        with Platform(folder) as platform:
            links = {f"g{number}": FaultyLink(platform.address) for number in range(HOSTS)}
            addresses = {name: platform.run(link.start()) for name, link in links.items()}
            platform.store_address = addresses.__getitem__
            for name in links:
                platform.start_gateway(name, "z1")
            soak = ChangeSoak(platform, links, options.seed)
            platform.run(soak.run(options.seconds), options.seconds + 60)
        if soak.problems:
            log_folder = pathlib.Path(options.keep) / f"change-soak-{options.seed}"
            shutil.copytree(folder, log_folder, dirs_exist_ok=True)
            (log_folder / "faults.txt").write_text("\n".join(soak.log) + "\n")
            print(f"logs: {log_folder}")
    print(f"seed {options.seed}: {soak.checked} checks in time, slowest {soak.slowest:.2f} s, {len(soak.problems)} problems")
    for problem in soak.problems[:20]:
        print("  PROBLEM", problem)
    return 1 if soak.problems or soak.checked == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
