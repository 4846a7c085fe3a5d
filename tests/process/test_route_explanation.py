"""Tests orioledrumctl route: where a request would go now, by the decision code of a running gatewayd."""
import json
import subprocess
import unittest

from gateway_case import GatewayCase


class RouteExplanationTest(GatewayCase):
    def explain(self, *arguments, expected_code=0):
        command = [str(self.platform.binary.parent / "orioledrumctl"), "route", *arguments,
                   "--gateway", f"127.0.0.1:{self.platform.gateways['g1']['ports']['metrics']}"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=20)
        self.assertEqual(done.returncode, expected_code, done.stderr + done.stdout)
        return done.stdout

    def explain_json(self, *arguments, expected_code=0):
        return json.loads(self.explain(*arguments, "--json", expected_code=expected_code))

    def arrivals(self):
        return {name: list(backend.arrivals) for name, backend in self.platform.backends.items()}

    def first_servers(self, request_id, names):
        """Returns the backend server among `names` that got the request first."""
        calls = [(time, name) for name in names for time, request in self.platform.backends[name].arrivals if request == request_id]
        return min(calls)[1]

    def test_a_request_sent_right_after_goes_where_it_was_explained(self):
        """Guards against an explanation that does not follow the decisions on requests, and against one that calls backend servers."""
        self.platform.start_gateway("g1", "z1")
        self.platform.start_gateway("g2", "z2")
        for number in range(8):  # Until latencies are known.
            self.assertEqual(self.platform.get("g1", f"/search/{number}").status, 200)
        before = self.arrivals()
        explained = self.explain_json("h.example", "/search/x?y=1")
        self.assertEqual(self.arrivals(), before)
        self.assertEqual(explained["route"]["name"], "search")
        self.assertEqual(explained["configVersion"], self.platform.config_version)
        self.assertEqual(explained["admission"]["verdict"], "admitted")
        # Of the target of 120 ms, four delays of 3 ms to callers and a margin of 4 ms are left out, as for a request.
        self.assertEqual(explained["route"]["untilTargetMs"], 104)
        self.assertEqual([service["service"] for service in explained["services"]], self.platform.shards)
        self.assertEqual(self.platform.get("g1", "/search/x?y=1", request_id="sent").status, 200)
        for service in explained["services"]:
            chosen = service["servers"][0]
            self.assertEqual((chosen["zone"], chosen["obstacles"]), ("z1", []))
            self.assertIn("otherZone", service["servers"][1]["reasons"])
            self.assertIsNotNone(chosen["loadAgeMs"])
            self.assertEqual(self.first_servers("sent", [server["server"] for server in service["servers"]]), chosen["server"])

    def test_a_server_that_wants_no_calls_is_named_with_the_reason(self):
        """Guards against a backend server that is shown as the choice although it gets no call."""
        self.platform.start_gateway("g1", "z1")
        quiet = next(name for name, backend in self.platform.backends.items() if name.startswith("shard0-") and backend.zone == "z1")
        self.platform.backends[quiet].retry_after = "30"
        self.assertEqual(self.platform.get("g1", "/search/x").status, 200)
        servers = self.explain_json("h.example", "/search/x")["services"][0]["servers"]
        self.assertEqual((servers[-1]["server"], servers[-1]["obstacles"]), (quiet, ["quiet"]))
        self.assertIn("quiet", self.explain("h.example", "/search/x"))

    def test_refusals_are_explained(self):
        """Guards against an explanation of a request that would be refused before any backend server is chosen."""
        self.platform.tenants = [{"name": "north", "api_keys": ["k-north-0123456789"], "priority": 3, "rate_per_s": 5, "burst": 2}]
        self.platform.start_gateway("g1", "z1", usageCapWindowS=5, usageCapOvershoot=0.25, usageCapSlack=20)
        self.platform.publish_routes()
        self.platform.wait_until("the keys", lambda: self.platform.get("g1", "/search/x").status == 401, 4)
        self.assertEqual(self.explain_json("h.example", "/nothing/x", expected_code=1)["refusal"]["status"], 404)
        self.assertEqual(self.explain_json("h.example", "/search/x", expected_code=1)["refusal"]["status"], 401)
        self.assertEqual(self.explain_json("h.example", "/search/x", "--organisation", "south", expected_code=1)["refusal"]["status"], 401)
        explained = self.explain_json("h.example", "/search/x", "--organisation", "north")
        self.assertEqual(explained["priority"], 3)
        self.assertEqual(explained["cap"]["sentShare"], 1)
        self.assertEqual((explained["cap"]["ratePerS"], explained["cap"]["owner"]), (5, "g1"))
        self.assertNotIn("k-north", json.dumps(explained))
        self.assertEqual(self.platform.get("g1", "/route?target=x", port="metrics").status, 400)


if __name__ == "__main__":
    unittest.main(verbosity=2)
