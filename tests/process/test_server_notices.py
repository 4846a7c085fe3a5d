"""Tests what a gatewayd process does when backend servers say in their answers that they leave, or that they want no requests for a time."""
import os
import pathlib
import subprocess
import time
import unittest

from gateway_case import GatewayCase
from platform_standin import ROOT


class ServerNoticesTest(GatewayCase):
    def play(self, requests, names=("g1",)):
        """Sends searches and single requests and returns their answers."""
        answers = []
        for _ in range(requests):
            for name in names:
                answers.append(self.platform.get(name, "/search/x", deadline_ms=600))
                answers.append(self.platform.get(name, "/fetch/x", deadline_ms=600))
        return answers

    def notices(self, event):
        return [line["server"] for name in self.platform.gateways for line in self.platform.events(name) if line["event"] == event]

    def test_a_leaving_backend_server_gets_nothing_new(self):
        """Guards against requests and status checks to a backend server after an answer that says that it leaves, while its entry still
        says that it is ready and is written again; and against a later incarnation that stays without requests.
        """
        for name, zone in (("g1", "z1"), ("g2", "z2"), ("g3", "z3")):  # The third one has its searches gathered.
            self.platform.start_gateway(name, zone)
        names = tuple(self.platform.gateways)
        leaving = [self.platform.backends[name] for name in ("single-0", "shard0-0", "shard3-1")]
        for backend in leaving:
            backend.leaving = True
        self.platform.wait_until("the notices", lambda: self.play(2, names) and set(self.notices("serverLeaving"))
                                 == {backend.name for backend in leaving}, 10)
        self.play(10, names)  # Until each host has heard it from its own calls.
        heard = {backend.name: len(backend.arrivals) for backend in leaving}
        for backend in leaving:
            self.platform.call_on_loop(backend.publish)
            self.platform.call_on_loop(self.platform.store.delete, "servers/" + backend.name)
            self.platform.call_on_loop(backend.publish)
        time.sleep(0.5)
        answers = self.play(15, names)
        self.assertEqual({answer.status for answer in answers}, {200})
        for backend in leaving:
            # Each host may hear it from one call at a time; all have by now.
            self.assertEqual(len(backend.arrivals), heard[backend.name], backend.name)
            self.assertEqual(backend.probes, [])
            backend.leaving = False
            backend.born += 1
            self.platform.call_on_loop(backend.publish)
        self.platform.wait_until("requests to the later incarnation", lambda: self.play(1, names) and all(
            len(backend.arrivals) > heard[backend.name] for backend in leaving), 5)

    def test_a_backend_server_that_wants_no_requests_gets_none(self):
        """Guards against first calls, retries, hedges and status checks to a backend server in the time for which it asked for none, and
        against many calls at its end.
        """
        self.platform.start_gateway("g1", "z1")
        self.play(10)
        quiet = [self.platform.backends[name] for name in ("single-0", "shard0-0")]
        for backend in quiet:
            backend.retry_after = "1.5"
        self.platform.wait_until("the notices", lambda: self.play(1) and len(set(self.notices("serverQuiet"))) == 2, 5)
        began = time.monotonic()
        counts = [len(backend.arrivals) for backend in quiet]
        while time.monotonic() < began + 1.3:
            self.assertEqual({answer.status for answer in self.play(1)}, {200})
        self.assertEqual([len(backend.arrivals) for backend in quiet], counts)
        self.assertEqual([backend.probes for backend in quiet], [[], []])
        for backend in quiet:
            backend.retry_after = None
        self.platform.wait_until("requests after the quiet time", lambda: self.play(1) and all(
            len(backend.arrivals) > count for backend, count in zip(quiet, counts)), 5)

    def test_requests_that_cannot_be_served_are_refused_with_a_true_time(self):
        """Guards against callers that wait, or come back too early, while all backend servers of a service or of enough shards want no
        requests; and against an overload that feeds itself: each backend server gets one refused request per quiet time and host.
        """
        self.platform.start_gateway("g1", "z1")
        self.play(10)
        backends = [backend for backend in self.platform.backends.values() if backend.service != "other"]
        for backend in backends:
            backend.retry_after = "2"
        self.platform.wait_until("refusals", lambda: all(answer.status == 503 for answer in self.play(1)), 5)
        before = sum(len(backend.arrivals) for backend in backends)
        answers = self.play(10)
        self.assertEqual(sum(len(backend.arrivals) for backend in backends), before)
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertLess(answer.seconds, 0.1)
            self.assertGreater(float(answer.header["retry-after"]), 0.5)
            self.assertLess(float(answer.header["retry-after"]), 2.6)
        self.platform.get("g1", "/search/x", request_id="quiet1")
        self.platform.wait_until("its line", lambda: any(line.get("id") == "quiet1" for line in self.platform.events("g1")), 5)
        binary = pathlib.Path(os.environ.get("ORIOLEDRUM_BUILD", ROOT / "build")) / "bin" / "orioledrumctl"
        run = subprocess.run([binary, "explain", "quiet1", pathlib.Path(self.platform.folder) / "g1.log"], capture_output=True, text=True,
                             timeout=20)
        self.assertRegex(run.stdout, r"backend server shard\d-\d: not called for 2000 ms, as it asked, in its answer to ")
        for backend in backends:
            backend.retry_after = None
        self.platform.wait_until("service", lambda: all(answer.status == 200 for answer in self.play(1)), 6)

    def test_odd_times_are_logged_and_lose_nothing(self):
        """Guards against a value of Retry-After that ends the process or takes a backend server out of use for good."""
        self.platform.start_gateway("g1", "z1")
        backend = self.platform.backends["single-0"]
        for value in ("-1", "nan", "soon", "", "Fri, 31 Dec 1999 23:59:59 GMT"):
            backend.retry_after = value
            self.assertEqual({answer.status for answer in self.play(6)}, {200})
        backend.retry_after = None
        before = len(backend.arrivals)
        self.platform.wait_until("requests", lambda: self.play(1) and len(backend.arrivals) > before, 5)
        self.assertEqual(set(self.notices("unreadableQuietTime")), {"single-0"})


if __name__ == "__main__":
    unittest.main(verbosity=2)
