"""Tests searches with real processes."""
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, call  # noqa: E402


class SearchTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        cls.fleet = Fleet(cls.folder.name, zones=2, shards=24, replicas=2, entry_hosts=3, never_share=0, slow_share=0, seed=7)
        cls.fleet.__enter__()
        cls.fleet.start_all()

    @classmethod
    def tearDownClass(cls):
        try:
            cls.fleet.check_history(must_hold=("snapshot", "coverage", "answers"))
        finally:
            cls.fleet.__exit__()
            cls.folder.cleanup()

    def test_deadline_longer_than_the_lease(self):
        """Guards against calls that are refused because their deadline was shortened to just after the end of the lease."""
        for name in self.fleet.hosts:
            for deadline in (1900, 2000, 2500, 10000):
                status, answer = self.fleet.search(name, deadlineMs=deadline, minCoverage=1)
                self.assertEqual(status, 200, answer)
                self.assertEqual(answer["coverage"]["missing"], [], f"{name} {deadline}")
                self.assertTrue(answer["complete"])

    def test_results_are_those_of_the_shards(self):
        """Guards against results whose scores are not the best of all shards for the query."""
        for name, query in (("e0", "dial"), ("e1", "pulley")):
            status, answer = self.fleet.search(name, query=query, deadlineMs=5000, minCoverage=1, limit=7)
            self.assertEqual(status, 200, answer)
            hits = []
            for shard in range(self.fleet.deployment["shards"]):
                path = f"/control/expected?shard=s{shard}&snapshot={answer['snapshot']}&query={query}"
                hits += call("GET", self.fleet.backend_control, path)[1]["hits"]
            best = sorted((hit["score"] for hit in hits), reverse=True)[:7]
            self.assertEqual([hit["score"] for hit in answer["results"]], best)

    def test_invalid_input_gets_an_error_code(self):
        """Guards against invalid input that is accepted, or refused without an error code and the failed step."""
        caller = self.fleet.hosts["e0"]["caller"]
        cases = [
            (b"{", 400, "malformed"),
            ({"service": "nothing", "query": "x"}, 404, "unknownService"),
            ({"service": "orders", "query": "x"}, 404, "unknownService"),
            ({"service": "archive", "query": "x", "deadlineMs": 0}, 504, "deadlineExceeded"),
            ({"service": "archive", "query": 5}, 400, "invalidArgument"),
            ({"service": "archive", "query": "x", "colour": 1}, 400, "invalidArgument"),
            (b'{"query":"' + b"x" * 1100000 + b'"}', 413, "tooLarge"),
        ]
        for body, status, code in cases:
            found_status, answer = call("POST", caller, "/v1/search", body)
            self.assertEqual((found_status, answer["error"]["code"]), (status, code), answer)
            self.assertIn("step", answer["error"])
        self.assertEqual(call("GET", caller, "/v1/nothing")[0], 404)
        self.assertEqual(self.fleet.search("e0", deadlineMs=2000, minCoverage=1)[0], 200)

    def test_administration_needs_the_token(self):
        """Guards against an administration API that answers without the right token."""
        admin = self.fleet.hosts["e0"]["admin"]
        for resource in ("status", "config", "timeline", "backends"):
            self.assertEqual(call("GET", admin, f"/admin/v1/{resource}")[0], 401)
            self.assertEqual(call("GET", admin, f"/admin/v1/{resource}", headers={"Authorization": "Bearer wrong"})[0], 401)
        self.assertEqual(self.fleet.admin("e0", "status")["host"], "e0")
        self.assertIn("orioledrum_ready 1", call("GET", admin, "/metrics")[1])

    def test_port_in_use_is_reported(self):
        """Guards against a second process that keeps running although its port is in use, or that does not log the port."""
        self.fleet.start("twin", "entryhostd", "--settings", self.fleet.folder / "entry-hosts" / "e0.settings")
        self.assertEqual(self.fleet.processes["twin"].wait(10), 3)
        self.assertIn(self.fleet.hosts["e0"]["peer"], self.fleet.log("twin"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
