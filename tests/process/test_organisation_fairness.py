"""Tests that gatewayd divides an overloaded service fairly among organisations."""
import collections
import unittest

from gateway_case import GatewayCase

ORGANISATIONS = {"large": "k-large-0123456789", "north": "k-north-0123456789", "south": "k-south-0123456789"}
CAPACITY = 0.25  # Calls that the backend servers serve, for each request that callers send; they refuse the others.
BURST = 5  # Calls that they serve at once after a pause.


class OrganisationFairnessTest(GatewayCase):
    def test_a_large_organisation_does_not_crowd_out_small_ones(self):
        """Guards against an overload that one organisation causes and all pay for, and against a large one that gets nothing then."""
        self.platform.tenants = [{"name": name, "api_keys": [key]} for name, key in ORGANISATIONS.items()]
        self.platform.start_gateway("g1", "z1")
        self.platform.publish_routes()
        self.platform.wait_until("the keys", lambda: self.platform.get("g1", "/fetch/x").status == 401, 4)
        room = [0.0]

        def mode():
            if room[0] < 1:
                return "shed"
            room[0] -= 1
            return "serve"

        for number in range(2):
            self.platform.backends[f"single-{number}"].mode = mode
        served, sent = collections.Counter(), collections.Counter()
        for number in range(3000):
            room[0] = min(BURST, room[0] + CAPACITY)
            organisation = "large" if number % 20 else ("north" if number % 40 else "south")
            answer = self.platform.get("g1", f"/fetch/{number}", header={"Authorization": f"Bearer {ORGANISATIONS[organisation]}"})
            self.assertIn(answer.status, (200, 503))
            sent[organisation] += 1
            served[organisation] += answer.status == 200
        metrics = self.platform.get("g1", "/metrics", port="metrics").body.decode()
        refused = {line.split('organisation="')[1].split('"')[0] for line in metrics.splitlines()
                   if line.startswith("orioledrum_refused_requests_total") and 'reason="unfairShare"' in line}
        self.assertEqual(refused, {"large"}, f"{served} of {sent}")
        share = {name: served[name] / sent[name] for name in sent}
        everyone = sum(served.values()) / sum(sent.values())
        for name, part in share.items():
            self.assertGreaterEqual(part, everyone / 4, f"{name}: {served} of {sent}")


if __name__ == "__main__":
    unittest.main(verbosity=2)
