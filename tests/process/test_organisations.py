"""Tests how gatewayd processes identify organisations by their keys, and that they pass no key on."""
import asyncio
import base64
import hashlib
import json
import pathlib
import re
import signal
import subprocess
import time
import unittest

from gateway_case import GatewayCase
from platform_standin import StoreLink

NORTH, NORTH_SECOND, SOUTH = "north-key-0123456789", "north-key-abcdefghij", "south-key-0123456789"
LATER = "later-key-0123456789"
UNKNOWN = "wrong-key-0123456789"
REVOCATION_S = 2.0
CHANGE_S = 3.0  # configurationInForceMs of the stand-in's settings.


def bearer(key):
    return {"Authorization": "Bearer " + key}


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class OrganisationsTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.platform.record_bytes = True
        self.publish({"north": [NORTH, NORTH_SECOND], "south": [SOUTH]})

    def publish(self, keys, caps=None, **options):
        """Publishes organisations with the given keys. `caps` maps names to (rate, burst)."""
        self.platform.tenants = []
        for name, values in keys.items():
            rate, burst = (caps or {}).get(name, (0, 0))
            self.platform.tenants.append({"name": name, "api_keys": values, "priority": 0, "rate_per_s": rate, "burst": burst})
        self.platform.publish_routes(**options)

    def call(self, key=None, name="g1", target="/fetch/x", **options):
        return self.platform.get(name, target, header=bearer(key) if key else None, **options)

    def wait_for_key(self, key, status, names=("g1",), seconds=CHANGE_S):
        for name in names:
            self.platform.wait_until(f"{status} for a key on {name}", lambda name=name: self.call(key, name).status == status, seconds)

    def arrivals(self):
        return sum(len(backend.arrivals) for backend in self.platform.backends.values())

    def metrics(self, name="g1"):
        return self.platform.get(name, "/metrics", port="metrics").body.decode()

    def refused(self, reason, organisation="", name="g1"):
        """Returns the refusals that a host has counted."""
        line = f'orioledrum_refused_requests_total{{organisation="{organisation}",reason="{reason}"}} '
        found = [text for text in self.metrics(name).splitlines() if text.startswith(line)]
        return float(found[0][len(line):]) if found else 0

    def heads(self):
        """Returns the heads of the requests of callers that backend servers received."""
        heads = []
        for backend in self.platform.backends.values():
            heads += [head for head in re.split(r"(?=GET /|POST /)", backend.received.decode("latin-1"))
                      if head.startswith(("GET /", "POST /")) and not head.startswith("GET /health")]
        return heads

    def pages_passed_on(self, name):
        """Returns what a host passes on to another one that asks for all changes, with the values of the items decoded."""
        answer = self.platform.get(name, "/hosts/changes", method="POST", body=b"\x92\x00\x00", port="hosts")  # Revision 0, no wait.
        self.assertEqual(answer.status, 200)
        text = answer.body.decode("latin-1")
        values = re.findall(r'"value":"([A-Za-z0-9+/=]+)"', text)
        return text + "".join(base64.b64decode(value).decode("latin-1") for value in values)

    def assert_in_no_text(self, *secrets):
        """Checks that neither keys nor their digests are in the bytes that backend servers received, or in the logs and pages of hosts."""
        texts = {backend.name: backend.received.decode("latin-1") for backend in self.platform.backends.values()}
        for name, gateway in self.platform.gateways.items():
            texts["log of " + name] = self.platform.log(name)
            if gateway["process"].poll() is None:
                texts["metrics of " + name] = self.metrics(name)
                texts["readiness of " + name] = self.platform.get(name, "/ready", port="readiness").body.decode()
        for place, text in texts.items():
            for secret in secrets:
                self.assertNotIn(secret, text, place)
                self.assertNotIn(digest(secret), text, place)

    def test_no_key_reaches_backend_servers_logs_or_other_hosts(self):
        """Guards against a key, or an organisation that a caller names itself, in first calls, retries, hedges, parts that another host
        gathers or resumes, logs, metrics, status pages and the changes that hosts pass on to each other.
        """
        for name, zone in (("g1", "z3"), ("g2", "z1"), ("g3", "z2")):  # All searches of the first one are gathered by the others.
            self.platform.start_gateway(name, zone)
        self.platform.backends["shard0-0"].mode = "reset"
        self.platform.backends["shard1-1"].mode = "hang"
        self.platform.backends["single-0"].mode = "shed"
        for index in range(2):
            self.platform.backends[f"shard2-{index}"].work_s = 0.14  # Later than the target, so that parts are resumed.
        forged = [("Authorization", "Bearer " + NORTH), ("Tenant", "forged"), ("tenant", "forged"), ("Connection", "keep-alive, Tenant")]
        trailer = {"Authorization": "Bearer " + NORTH_SECOND, "Tenant": "forged"}

        def search():
            # Some of them fail with these backend servers; only what is sent on matters here.
            for target, options in (("/search/x", {"method": "POST", "body": b"the query"}), ("/search/x", {"trailer": trailer}), ("/fetch/x", {}),
                                    ("/order/x", {"method": "POST", "body": b"order"})):
                self.assertIn(self.platform.get("g1", target, header=forged, **options).status, (200, 502, 503, 504))

        def seen():
            events = [event for name in self.platform.gateways for event in self.platform.events(name)]
            return {kind for kind in ("relays", "resumed", "hedges", "retries") if any(event.get(kind) for event in events)}

        self.platform.wait_until("all kinds of calls", lambda: search() or seen() == {"relays", "resumed", "hedges", "retries"}, 20)
        heads = self.heads()
        self.assertGreater(len(heads), 20)
        for head in heads:
            self.assertEqual(re.findall(r"(?i)\r\ntenant: (.*)\r\n", head), ["north"], head)
            self.assertNotIn("authorization", head.lower())
        self.assert_in_no_text(NORTH, NORTH_SECOND)
        for name in self.platform.gateways:
            pages = self.pages_passed_on(name)
            for key in (NORTH, NORTH_SECOND, SOUTH):
                self.assertNotIn(key, pages)
                self.assertNotIn(base64.b64encode(key.encode()).decode(), pages)
                self.assertIn(digest(key), pages)

    def test_without_organisations_header_fields_are_passed_on(self):
        """Guards against deployments without organisations that lose header fields of their callers."""
        self.platform.tenants = None
        self.platform.publish_routes()
        self.platform.start_gateway("g1", "z1")
        header = {"Authorization": "Basic own", "Tenant": "own"}
        self.assertEqual(self.platform.get("g1", "/fetch/x", header=header).status, 200)
        self.assertRegex(self.heads()[0], r"\r\nAuthorization: Basic own\r\n")
        self.assertRegex(self.heads()[0], r"\r\nTenant: own\r\n")
        self.assertNotIn("orioledrum_organisation", self.metrics())

    def test_requests_without_a_valid_key_are_refused(self):
        """Guards against requests that are served, or reach a backend server, without one key that the configuration contains."""
        self.platform.start_gateway("g1", "z1")
        refused = [
            ("none", []), ("empty", [("Authorization", "")]), ("scheme alone", [("Authorization", "Bearer")]),
            ("no key", [("Authorization", "Bearer  ")]), ("key alone", [("Authorization", NORTH)]),
            ("other scheme", [("Authorization", "Basic " + NORTH)]), ("no space", [("Authorization", "Bearer" + NORTH)]),
            ("twice", [("Authorization", "Bearer " + NORTH)] * 2), ("two", [("Authorization", "Bearer " + NORTH), ("authorization", "Bearer " + SOUTH)]),
            ("two in one", [("Authorization", f"Bearer {NORTH}, Bearer {SOUTH}")]), ("two keys", [("Authorization", f"Bearer {NORTH} {SOUTH}")]),
            ("unknown", [("Authorization", "Bearer " + UNKNOWN)]), ("upper case", [("Authorization", "Bearer " + NORTH.upper())]),
            ("beginning", [("Authorization", "Bearer " + NORTH[:-1])]), ("longer", [("Authorization", "Bearer " + NORTH + "x")]),
            ("8 KB", [("Authorization", "Bearer " + "k" * 8192)]), ("8 KB after a key", [("Authorization", "Bearer " + NORTH + "k" * 8192)]),
            ("digest", [("Authorization", "Bearer " + digest(NORTH))]), ("name", [("Authorization", "Bearer north")]),
            ("other field", [("Proxy-Authorization", "Bearer " + NORTH)]), ("name of the organisation", [("Tenant", "north")]),
        ]
        for what, header in refused:
            for target, method in (("/fetch/x", "GET"), ("/search/x", "GET"), ("/order/x", "POST")):
                answer = self.platform.get("g1", target, method=method, header=header)
                self.assertEqual(answer.status, 401, what)
                self.assertNotIn(NORTH, str(answer))
            self.assertEqual(self.platform.get("g1", "/none/x", header=header).status, 404, what)
        for what, options in (("in a trailer", {"trailer": bearer(NORTH)}), ("without an id", {"request_id": ""}),
                              ("with an odd field", {"header": [("A Name", "x"), *bearer(UNKNOWN).items()]})):
            self.assertEqual(self.platform.get("g1", "/fetch/x", **options).status, 401, what)
        self.assertEqual(self.arrivals(), 0)
        self.assertEqual(self.platform.get("g1", "/none/x", header=bearer(NORTH)).status, 404)
        for header in (bearer(NORTH), bearer(NORTH_SECOND), bearer(SOUTH), {"authorization": "bearer   " + NORTH + " "}):
            self.assertEqual(self.platform.get("g1", "/fetch/x", header=header).status, 200, header)
        self.assert_in_no_text(NORTH, SOUTH, UNKNOWN)

    def test_a_host_without_configuration_refuses_all(self):
        """Guards against requests that are served, or refused for good, before the keys are known."""
        self.platform.store.down = True
        self.platform.start_gateway("g1", "z1", wait=False)
        self.platform.wait_until("the start", lambda: self.platform.has_started("g1"), 5)
        for key in (None, NORTH, UNKNOWN):
            self.assertEqual(self.call(key).status, 503)

    def test_many_unknown_keys_harm_no_other_request(self):
        """Guards against requests of an organisation that fail, and memory that grows, while unknown keys come in a row."""
        self.platform.start_gateway("g1", "z1")
        unknown, callers = 5000, 8

        async def guess(number):
            connection, statuses = [], set()
            for attempt in range(unknown // callers):
                answer = await self.platform.send("g1", "/fetch/x", header=bearer(f"guess-{number}-{attempt}"), connection=connection)
                statuses.add(answer.status)
            connection[1].close()
            return statuses

        async def ordinary(done):
            statuses = []
            while not done.is_set():
                statuses.append((await self.platform.send("g1", "/fetch/x", header=bearer(SOUTH))).status)
                await asyncio.sleep(0.01)
            return statuses

        async def play():
            done = asyncio.Event()
            others = asyncio.ensure_future(ordinary(done))
            refused = await asyncio.gather(*(guess(number) for number in range(callers)))
            done.set()
            return refused, await others

        refused, statuses = self.platform.run(play(), 60)
        self.assertEqual(set().union(*refused), {401})
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.arrivals(), len(statuses))
        self.assertEqual(self.refused("unknownKey"), unknown)
        self.assertNotIn("guess-", self.platform.log("g1"))
        self.assertLess(len(self.metrics()), 100_000)
        status = pathlib.Path(f"/proc/{self.platform.gateways['g1']['process'].pid}/status").read_text()
        resident_kb = int(next(line for line in status.splitlines() if line.startswith("VmHWM")).split()[1])
        self.assertLess(resident_kb, 112 * 1024)  # The memory of the smallest host.

    def test_public_routes_need_no_key(self):
        """Guards against a public route that refuses a caller, names an organisation that was not proved, or passes a key on."""
        self.platform.public_routes = ("fetch",)
        self.platform.publish_routes()
        self.platform.start_gateway("g1", "z1")
        forged = ("Tenant", "south")
        for header in ([forged], [("Authorization", "Bearer " + UNKNOWN), forged], [("Authorization", ""), forged],
                       [("Authorization", "Bearer " + NORTH)] * 2):
            self.assertEqual(self.platform.get("g1", "/fetch/x", header=header).status, 200)
        self.assertEqual(len(self.heads()), 4)
        for head in self.heads():
            self.assertNotRegex(head, r"(?i)\r\n(tenant|authorization):")
        self.assertEqual(self.platform.get("g1", "/search/x", header=[forged]).status, 401)
        self.assertEqual(self.platform.get("g1", "/fetch/x", header=[("Authorization", "Bearer " + NORTH), forged]).status, 200)
        named = [found for head in self.heads() for found in re.findall(r"(?i)\r\ntenant: (.*)\r\n", head)]
        self.assertEqual((len(self.heads()), named), (5, ["north"]))
        self.assert_in_no_text(NORTH, UNKNOWN)

    def start_request(self, key, target="/fetch/x", name="g1", **options):
        """Sends a request without waiting for its answer. Returns the future of the answer."""
        return asyncio.run_coroutine_threadsafe(self.platform.send(name, target, header=bearer(key), **options), self.platform.loop)

    def test_accepted_requests_outlast_their_key(self):
        """Guards against requests in progress that a change of keys ends although revocation is not strict: a single request that is
        retried and a search that other hosts gather. Also against keys that take longer than a change may take.
        """
        for name, zone in (("g1", "z3"), ("g2", "z1"), ("g3", "z2")):
            self.platform.start_gateway(name, zone)
        self.platform.wait_until("a relayed search", lambda: self.call(NORTH, target="/search/x") and any(
            event.get("relays") for event in self.platform.events("g1")), 10)
        self.publish({"north": [NORTH], "south": [SOUTH]}, timeout_ms=8000, target_latency_ms=6000)
        self.wait_for_key(NORTH_SECOND, 401, self.platform.gateways)
        modes = iter(["drop_answer"] + ["serve"] * 100)
        for backend in self.platform.backends.values():
            backend.work_s = 1.5
            backend.mode = modes.__next__ if backend.service == "single" else "serve"
        fetch = self.start_request(NORTH, request_id="fetch", deadline_ms=8000)
        search = self.start_request(NORTH, "/search/x", request_id="search", deadline_ms=8000)
        time.sleep(0.3)
        self.publish({"north": [LATER], "south": [SOUTH]}, timeout_ms=8000, target_latency_ms=6000)
        self.wait_for_key(NORTH, 401, self.platform.gateways)
        self.assertFalse(search.done())
        for future in (fetch, search):
            self.assertEqual(future.result(10).status, 200)
        self.assertEqual(self.platform.run_count("fetch"), 2)  # The second call was sent after the key was withdrawn.
        for backend in self.platform.backends.values():
            backend.work_s = 0.004
        self.wait_for_key(LATER, 200, self.platform.gateways)
        for head in self.heads():
            self.assertEqual(re.findall(r"(?i)\r\ntenant: (.*)\r\n", head), ["north"])
        self.assert_in_no_text(NORTH, LATER)

    def test_strict_revocation_ends_requests_in_progress(self):
        """Guards against requests whose key was withdrawn that go on longer than revocationMs: single requests, searches that other hosts
        gather, and requests that wait to be called again. The calls end as well, and none is sent later.
        """
        for name, zone in (("g1", "z3"), ("g2", "z1"), ("g3", "z2")):
            self.platform.start_gateway(name, zone, strictRevocation=True, revocationMs=int(REVOCATION_S * 1000))
        self.publish({"north": [NORTH], "south": [SOUTH]}, timeout_ms=8000, target_latency_ms=6000)
        self.wait_for_key(NORTH_SECOND, 401, self.platform.gateways)
        self.platform.wait_until("a relayed search", lambda: self.call(NORTH, target="/search/x") and any(
            event.get("relays") for event in self.platform.events("g1")), 10)
        for backend in self.platform.backends.values():
            backend.mode, backend.work_s = "detect_cancel", 6.0
        ended = {}
        futures = {}
        for key, target in ((NORTH, "/fetch/x"), (NORTH, "/search/x"), (NORTH, "/order/x"), (SOUTH, "/fetch/x")):
            request_id = f"{key[:5]}-{target[1:6]}"
            futures[request_id] = self.start_request(key, target, request_id=request_id, deadline_ms=8000)
            futures[request_id].add_done_callback(lambda _, request_id=request_id: ended.setdefault(request_id, time.monotonic()))
        time.sleep(0.5)
        withdrawn_at = time.monotonic()
        self.publish({"north": [LATER], "south": [SOUTH]}, timeout_ms=8000, target_latency_ms=6000)
        for request_id, future in futures.items():
            if request_id.startswith("north"):
                self.assertEqual(future.result(10).status, 401, request_id)
                self.assertLess(ended[request_id] - withdrawn_at, REVOCATION_S, request_id)
        time.sleep(0.5)  # The hosts that gather learn of the end by a closed connection.
        cancelled = [entry for backend in self.platform.backends.values() for entry in backend.cancelled]
        arrived = [entry[1] for backend in self.platform.backends.values() for entry in backend.arrivals]
        for request_id in ("north-fetch", "north-searc", "north-order"):
            self.assertGreater(arrived.count(request_id), 0, request_id)
            self.assertEqual(cancelled.count(request_id), arrived.count(request_id), request_id)
        self.assertEqual(futures["south-fetch"].result(10).status, 200)
        self.assertEqual(self.refused("keyWithdrawn", "north"), 3)
        self.assertEqual(self.refused("keyWithdrawn", "south"), 0)
        self.assertEqual(arrived.count("north-order"), 1)

    def test_strict_revocation_ends_requests_that_wait_for_a_token(self):
        """Guards against a request that waits for its usage token while its key is withdrawn, and is sent, or waits on, afterwards."""
        settings = {"strictRevocation": True, "revocationMs": int(REVOCATION_S * 1000), "usageCapWindowS": 5, "usageCapOvershoot": 0.25,
                    "usageCapSlack": 20}
        names = [f"o{number}" for number in range(12)]
        keys = {name: [f"key-of-{name}-0123456789"] for name in names}
        caps = {name: (50, 10) for name in names}
        self.publish(keys, caps, timeout_ms=18000, target_latency_ms=16000)
        self.platform.start_gateway("g1", "z1", **settings)
        self.platform.start_gateway("g2", "z1", **settings)
        self.platform.wait_until("both hosts know each other", lambda: all(
            any(event["event"] == "sharingHosts" and event["hosts"] == 2 and event["settled"] for event in self.platform.events(name))
            for name in ("g1", "g2")), 30)
        self.publish(keys, caps, timeout_ms=18000, target_latency_ms=16000)
        time.sleep(CHANGE_S)
        self.platform.signal("g2", signal.SIGSTOP)
        self.addCleanup(self.platform.signal, "g2", signal.SIGCONT)
        futures = {name: self.start_request(keys[name][0], request_id="token-" + name, deadline_ms=18000) for name in names}
        time.sleep(0.5)
        waiting = [name for name, future in futures.items() if not future.done()]
        self.assertNotEqual(waiting, [])  # Those whose owner is the host that was stopped.
        withdrawn_at = time.monotonic()
        self.publish({name: [LATER + name] for name in names}, caps, timeout_ms=18000, target_latency_ms=16000)
        for name in waiting:
            self.assertEqual(futures[name].result(20).status, 401, name)
            self.assertLess(time.monotonic() - withdrawn_at, REVOCATION_S, name)
            self.assertEqual(self.refused("keyWithdrawn", name), 1)
        time.sleep(4.5)  # The time for which a request waits for one host.
        self.assertEqual([self.platform.run_count("token-" + name) for name in waiting], [0] * len(waiting))

    def test_a_host_without_the_store_keeps_the_keys_that_it_knows(self):
        """Guards against a host that refuses known keys, or serves unknown ones, while it cannot read the store, and against a
        withdrawn key that is served again after it.
        """
        link = StoreLink(self.platform.address)
        address = self.platform.run(link.start())
        self.platform.store_address = lambda _: address
        self.platform.start_gateway("g1", "z1")
        link.cut = True
        self.publish({"north": [LATER], "south": [SOUTH]})
        end = time.monotonic() + CHANGE_S + 2  # Beyond the time after which contact counts as lost.
        while time.monotonic() < end:
            self.assertEqual([self.call(key).status for key in (NORTH, SOUTH, LATER, UNKNOWN)], [200, 200, 401, 401])
            time.sleep(0.1)
        link.cut = False
        self.wait_for_key(LATER, 200, seconds=2 * CHANGE_S)
        self.assertEqual([self.call(key).status for key in (NORTH, SOUTH, UNKNOWN)], [401, 200, 401])
        self.platform.config_version -= 9  # publish() adds 3, so the next version is older.
        self.publish({"north": [NORTH], "south": [SOUTH]})
        time.sleep(1)
        self.assertEqual([self.call(key).status for key in (NORTH, LATER)], [401, 200])

    def test_a_malformed_organisation_changes_nothing(self):
        """Guards against a configuration with a malformed organisation that a host applies in part, or that a host which reads it from
        another one applies although that one rejects it. No host may log a key of it or pass it on.
        """
        names = ["g1", "g2", "g3"]  # Two of them read the store for their zone.
        for name in names:
            self.platform.start_gateway(name, "z1")
        time.sleep(3)  # Until all hosts know each other, and their last waits for the platform are over.
        secret = "secret-key-012345678"
        odd = [{"name": "north", "api_keys": secret}, {"name": "north"}, {"name": "north", "api_keys": [""]}, {"name": "north", "api_keys": [secret, 5]},
               {"name": "north", "api_keys": {"a": secret}}, {"name": "north", "api_key": [secret]}, secret]
        for organisation in odd:
            self.platform.tenants = [organisation]
            self.platform.publish_routes()
            time.sleep(0.3)
            for name in names:
                self.assertEqual([self.call(key, name).status for key in (NORTH, SOUTH, secret)], [200, 200, 401], f"{name}: {organisation}")
        for name in names:
            pages = self.platform.get(name, "/hosts/changes", method="POST", body=b"\x92\x00\x00", port="hosts")
            if pages.status == 200:
                self.assertNotIn(secret, self.pages_passed_on(name))
        self.assert_in_no_text(secret)

    def test_the_status_shows_organisations(self):
        """Guards against an operator who cannot see which organisations are known, their caps, and what was refused for which reason."""
        self.publish({"north": [NORTH, NORTH_SECOND], 'so"u\\th': [SOUTH]}, {"north": (12.5, 4)})
        self.platform.start_gateway("g1", "z1")
        for key, count in ((None, 2), (UNKNOWN, 3), (NORTH, 1)):
            for _ in range(count):
                self.call(key)
        self.platform.get("g1", "/fetch/x", header={"Authorization": "Basic x"})
        ctl = self.platform.binary.parent / "orioledrumctl"
        host = "127.0.0.1:%d" % self.platform.gateways["g1"]["ports"]["metrics"]

        def status(*options):
            return subprocess.run([str(ctl), "status", "--gateway", host, *options], capture_output=True, text=True, timeout=30, check=True).stdout

        shown = json.loads(status("--json"))
        self.assertEqual(shown["refused"], {"noKey": 2, "malformedKey": 1, "unknownKey": 3})
        self.assertEqual(shown["organisations"]["north"], {"keys": 2, "ratePerS": 12.5, "burst": 4, "refused": {}})
        self.assertEqual(shown["organisations"]['so"u\\th'], {"keys": 1, "ratePerS": 0, "burst": 0, "refused": {}})
        text = status()
        self.assertIn("organisation north: keys 2, 12.5 requests/s, burst 4\n", text)
        self.assertIn("refused/unknownKey: 3\n", text)
        for secret in (NORTH, NORTH_SECOND, SOUTH, UNKNOWN):
            self.assertNotIn(secret, text + json.dumps(shown))
            self.assertNotIn(digest(secret), text + json.dumps(shown))
        self.publish({"north": [NORTH]})
        self.platform.wait_until("one organisation less", lambda: set(json.loads(status("--json"))["organisations"]) == {"north"}, CHANGE_S)


if __name__ == "__main__":
    unittest.main(verbosity=2)
