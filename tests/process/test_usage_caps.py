"""Tests the caps of organisations over several gatewayd processes."""
import asyncio
import bisect
import signal
import time
import unittest

from gateway_case import GatewayCase

WINDOW_S, OVERSHOOT, SLACK = 5, 0.25, 20
RATE, BURST = 20, 20
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
BIG, OTHER, FREE = "big-key-0123456789ab", "other-key-0123456789", "free-key-0123456789a"
HOSTS = ("g1", "g2", "g3")


class UsageCapsTest(GatewayCase):
    def setUp(self):
        super().setUp()
        self.statuses = {}  # Tasks of the requests sent at a rate, by request id.
        self.platform.tenants = [{"name": "big", "api_keys": [BIG], "rate_per_s": RATE, "burst": BURST},
                                 {"name": "other", "api_keys": [OTHER], "rate_per_s": 100, "burst": 100},
                                 {"name": "free", "api_keys": [FREE]}]
        self.platform.publish_routes()
        for number, name in enumerate(HOSTS):
            self.start(name, f"z{number + 1}")
        # A host hands out a cap when it knows that no other one does, see docs/design/usage-caps.md.
        for key in (BIG, OTHER):
            for name in HOSTS:
                self.platform.wait_until(f"tokens on {name}", lambda: self.call(name, key).status == 200, 20)
        time.sleep(WINDOW_S)

    def start(self, name, zone):
        self.platform.start_gateway(name, zone, usageCapWindowS=WINDOW_S, usageCapOvershoot=OVERSHOOT, usageCapSlack=SLACK)

    def kill(self, name):
        self.platform.signal(name, signal.SIGKILL)
        self.platform.gateways[name]["process"].wait(5)

    def call(self, name, key):
        return self.platform.get(name, "/fetch/x", header={"Authorization": "Bearer " + key})

    async def send_at_rate(self, name, key, per_s, seconds):
        """Returns the answers of a host to requests at a constant rate."""
        tasks = []
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            request_id = f"{key[:3]}{time.monotonic_ns()}{name}"
            tasks.append(asyncio.ensure_future(self.platform.send(
                name, "/fetch/x", request_id=request_id, header={"Authorization": "Bearer " + key})))
            self.statuses[request_id] = tasks[-1]
            await asyncio.sleep(max(0, begin + len(tasks) / per_s - time.monotonic()))
        return await asyncio.gather(*tasks)

    def load(self, seconds, names=HOSTS):
        """Sends six times the cap of one organisation and little of the others. Returns the answers by key."""
        async def body():
            keys = [(BIG, 6 * RATE / len(names)), (OTHER, 5), (FREE, 5)]
            answers = await asyncio.gather(*(self.send_at_rate(name, key, rate, seconds) for key, rate in keys for name in names))
            return {key: sum(answers[index * len(names):(index + 1) * len(names)], []) for index, (key, _) in enumerate(keys)}
        return self.platform.run(body(), seconds + 30)

    def check_bound(self):
        times = sorted(entry[0] for backend in self.platform.backends.values() for entry in backend.ran if entry[1].startswith("big"))
        for begin, at in enumerate(times):
            count = bisect.bisect_left(times, at + WINDOW_S) - begin
            self.assertLessEqual(count, BOUND, f"{count} requests ran in {WINDOW_S} s")
        return len(times)

    def tokens(self, name, result):
        line = f'orioledrum_usage_tokens_total{{result="{result}"}} '
        text = self.platform.get(name, "/metrics", port="metrics").body.decode()
        return sum(float(found[len(line):]) for found in text.splitlines() if found.startswith(line))

    def test_an_organisation_over_its_cap_is_refused_and_others_are_served(self):
        """Guards against a cap that is exceeded or not used over several hosts, and against organisations that pay for another one."""
        seconds = 12
        answers = self.load(seconds)
        statuses = [answer.status for answer in answers[BIG]]
        self.assertEqual(set(statuses), {200, 429})
        self.assertGreaterEqual(statuses.count(200), 0.98 * RATE * seconds)
        for answer in answers[BIG]:
            if answer.status == 429:
                self.assertGreater(float(answer.header["retry-after"]), 0)
        for key in (OTHER, FREE):
            self.assertEqual({answer.status for answer in answers[key]}, {200})
        # A request may run twice by a hedge, so request ids are compared.
        arrived = {entry[1] for backend in self.platform.backends.values() for entry in backend.arrivals}
        ran = {entry[1] for backend in self.platform.backends.values() for entry in backend.ran}
        sent = {request: task.result().status for request, task in self.statuses.items()}
        self.assertEqual({request for request, status in sent.items() if status == 429} & arrived, set())
        self.assertEqual({request for request, status in sent.items() if status == 200} - ran, set())
        self.check_bound()
        self.assertGreater(sum(self.tokens(name, "asked") for name in HOSTS), 0)
        self.assertGreater(sum(self.tokens(name, "refused") for name in HOSTS), 0)
        # Retry-After is true: nobody else takes the token.
        for _ in range(5):
            answer = self.call("g1", BIG)
            while answer.status == 200:
                answer = self.call("g1", BIG)
            time.sleep(float(answer.header["retry-after"]) + 0.005)
            self.assertEqual(self.call("g1", BIG).status, 200)

    def test_the_bound_holds_when_hosts_are_killed_and_return(self):
        """Guards against two hosts that hand out the whole cap, and against a cap that nobody hands out after the owner was lost."""
        for name in HOSTS:
            others = [other for other in HOSTS if other != name]
            self.load(2)
            self.kill(name)
            self.load(4, others)
            self.start(name, "z" + name[1:])
            self.load(4)
            self.check_bound()
        self.kill("g3")
        self.load(11, ["g1", "g2"])
        statuses = [answer.status for answer in self.load(6, ["g1", "g2"])[BIG]]
        self.check_bound()
        # A host that was lost counts for two minutes, because it may go on behind a partition.
        self.assertGreaterEqual(statuses.count(200), 0.98 * RATE * 6 * 2 / 3 - 1)

    def test_the_bound_holds_while_a_host_is_paused(self):
        """Guards against an owner that continues after a pause in which another host took over."""
        for name in HOSTS:
            others = [other for other in HOSTS if other != name]
            self.platform.signal(name, signal.SIGSTOP)
            self.load(11, others)
            self.platform.signal(name, signal.SIGCONT)
            self.load(6)
            self.check_bound()


if __name__ == "__main__":
    unittest.main()
