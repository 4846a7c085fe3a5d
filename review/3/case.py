"""An index is cut into another set of shards while one host is partitioned from the store."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import COLD_OVERSHOOT, COLD_SLACK, TROUBLE, Deployment, run_case  # noqa: E402
from store_link import StoreLink  # noqa: E402

SHARDS = 6
SEARCHES_PER_S = 80
WARM_UP_S = 10.0
COLD_PER_S = 4.0
BOUND = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
CRASH_FACTOR = 2  # A cold backend server crashes at this multiple of the bound.
NAMED_AFTER_S = 3.5  # reshard of the site file.
CUT_AFTER_S = 1.0
CUT_S = 5.5  # core_cut of the site file.


def publish(deployment, shards):
    """Publishes the next version, whose only search names these shards."""
    deployment.config_version += 3
    base = {"host": "h.example", "timeout_ms": 1500, "target_latency_ms": 120, "priority": 1, "max_attempts": 2, "kind": "idempotent"}
    routes = [{**base, "name": "search", "prefix": "/search/", "gather": shards, "top_k": 10, "min_coverage": 0.75}]
    services = [{"name": name, "health_path": "/health", "max_conns": 25, "protocol": "h1", "tls": False, "warmup_s": WARM_UP_S,
                 "cold_per_s": COLD_PER_S} for name in shards]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 10000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    deployment.store.put("op/config", {"version": deployment.config_version, "routes": routes, "services": services, "limits": limits})


def most_in_a_second(times):
    times = sorted(times)
    best, first = 0, 0
    for last, at in enumerate(times):
        while at - times[first] >= 1:
            first += 1
        best = max(best, last - first + 1)
    return best


def play(deployment, record):
    links = {}

    def store_address(name):
        links.setdefault(name, StoreLink(deployment.address))
        return deployment.run(links[name].start())

    deployment.store_address = store_address
    old_shards = list(deployment.shards)
    deployment.call_on_loop(publish, deployment, old_shards)
    for name, zone in (("g1", "z1"), ("g2", "z2"), ("g3", "z3")):
        deployment.start_gateway(name, zone)
    time.sleep(5)  # Until the hosts know each other.

    stop = threading.Event()
    counts = {}

    def ask(number):
        record.write(f"sent search{number} GET /search/{number} to g3")
        answer = deployment.get("g3", f"/search/{number}", request_id=f"search{number}")
        counts[answer.status] = counts.get(answer.status, 0) + 1
        record.write(f"answered search{number} {answer.status}")

    def callers():
        number = 0
        while not stop.is_set():
            number += 1
            threading.Thread(target=ask, args=(number,)).start()
            time.sleep(1 / SEARCHES_PER_S)

    caller = threading.Thread(target=callers)
    caller.start()
    time.sleep(3)

    new_shards = [f"shard{number}" for number in range(100, 100 + SHARDS)]
    started = time.monotonic()
    for shard in new_shards:
        for number, zone in enumerate(("z1", "z2")):
            deployment.add_backend(f"{shard}-{number}", shard, zone)
            backend = deployment.backends[f"{shard}-{number}"]
            deployment.call_on_loop(backend.publish, warmup_left_ms=int(WARM_UP_S * 1000))
    record.write("the backend servers of the next set of shards have started, cold")
    new_backends = [deployment.backends[f"{shard}-{number}"] for shard in new_shards for number in range(2)]
    time.sleep(CUT_AFTER_S)
    if TROUBLE:
        links["g2"].cut = True
        record.write("g2 is partitioned from the store")
    time.sleep(max(0, started + NAMED_AFTER_S - time.monotonic()))
    deployment.call_on_loop(publish, deployment, new_shards)
    record.write("the configuration names the next set of shards")
    crashed = set()
    while time.monotonic() < started + CUT_AFTER_S + CUT_S:
        for backend in new_backends:
            now = time.monotonic()
            recent = sum(1 for at, _ in backend.arrivals[-200:] if at > now - 1)
            if backend.name not in crashed and recent > CRASH_FACTOR * BOUND:
                crashed.add(backend.name)
                deployment.call_on_loop(backend.crash)
                record.write(f"{backend.name} has got {recent} requests within a second and crashes")
        time.sleep(0.02)
    links["g2"].cut = False
    record.write("g2 reaches the store again")
    stop.set()
    caller.join()
    time.sleep(2)

    violations = []
    for backend in new_backends:
        cold = [at for at, _ in backend.arrivals if at < started + WARM_UP_S]
        for at, request_id in backend.arrivals:
            record.write(f"run {request_id} by {backend.name}", at)
        most = most_in_a_second(cold)
        record.write(f"{backend.name}: {most} requests in the worst second, allowed {BOUND:.0f}")
        if most > BOUND:
            violations.append(f"{backend.name}, cold, got {most} requests in one second, allowed are {BOUND:.0f}"
                              + ("; it crashed" if backend.name in crashed else ""))
    record.write(f"answers by status: {counts}")
    return violations


run_case(FOLDER, play, shards=SHARDS)
