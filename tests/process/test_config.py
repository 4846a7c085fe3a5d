"""Tests that every host applies a configuration within 6 s, completely or not at all, and never returns to an older one."""
import pathlib
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, wait_until  # noqa: E402

MAX_ACTIVATION_SECONDS = 6


class ConfigTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        self.fleet = Fleet(self.folder.name, zones=2, shards=4, replicas=2, entry_hosts=4, never_share=0, slow_share=0, seed=5)
        self.fleet.__enter__()
        self.fleet.start_all()

    def tearDown(self):
        self.fleet.__exit__()
        self.folder.cleanup()

    def revisions(self, names=None):
        return {name: self.fleet.admin(name, "status")["config"]["revision"] for name in names or self.fleet.hosts}

    def wait_for_revision(self, revision, names=None):
        wait_until(f"revision {revision} on every host", lambda: set(self.revisions(names).values()) == {revision}, MAX_ACTIVATION_SECONDS)

    def test_a_change_reaches_every_host(self):
        """Guards against a host that misses a change."""
        for state in ("out", "in", "out"):
            revision = self.fleet.publish({"90-zone-b.json": {"availabilityZones": {"b": {"state": state}}}})
            self.wait_for_revision(revision)
            for name in self.fleet.hosts:
                self.assertEqual(self.fleet.admin(name, "status")["availabilityZones"]["b"], state)
        self.fleet.check_history(must_hold=("configuration",))

    def test_an_older_revision_is_never_applied(self):
        """Guards against a running or restarted host that applies an older revision when the configuration service serves one."""
        revision = self.fleet.publish({"90-zone-b.json": {"availabilityZones": {"b": {"state": "out"}}}})
        self.wait_for_revision(revision)
        self.fleet.change_platform("config", serveRevision=revision - 1)
        self.fleet.kill("e1")
        self.fleet.start_host("e1")
        wrong_revisions = []  # 0 is allowed: a host that has no configuration yet.
        end = time.monotonic() + 8
        while time.monotonic() < end:
            try:
                wrong_revisions += [(name, value) for name, value in self.revisions().items() if value not in (0, revision)]
            except OSError:
                pass  # e1 is still starting.
            time.sleep(0.1)
        self.assertEqual(wrong_revisions, [])
        self.assertEqual(set(self.revisions().values()), {revision})
        self.fleet.check_history()

    def test_a_host_starts_from_its_peers_without_the_configuration_service(self):
        """Guards against a host that gets no configuration because the configuration service and the host list service are down when it
        starts.
        """
        revision = self.fleet.publish({"90-zone-b.json": {"availabilityZones": {"b": {"state": "out"}}}})
        self.wait_for_revision(revision)
        self.fleet.kill("config")
        self.fleet.kill("hosts")
        self.fleet.kill("e2")
        self.fleet.start_host("e2")
        self.fleet.wait_ready(names=["e2"], seconds=15)
        self.assertEqual(set(self.revisions().values()), {revision})
        status, answer = self.fleet.search("e2", deadlineMs=3000, minCoverage=0)
        self.assertEqual(status, 200, answer)
        self.fleet.check_history()

    def test_an_invalid_revision_is_rejected_completely(self):
        """Guards against a rejected revision whose valid files take effect."""
        before = set(self.revisions().values())
        invalid = self.fleet.publish({"80-zone-a.json": {"availabilityZones": {"a": {"state": "out"}}},
                                      "90-bad.json": {"backendServers": {"o0": {"slots": "many"}}}})

        def rejected(name):
            rejection = self.fleet.admin(name, "status")["config"]["rejected"]
            return rejection is not None and rejection["revision"] == invalid

        wait_until("the rejection on every host", lambda: all(rejected(name) for name in self.fleet.hosts), MAX_ACTIVATION_SECONDS)
        self.assertEqual(set(self.revisions().values()), before)
        for name in self.fleet.hosts:
            status = self.fleet.admin(name, "status")
            self.assertEqual(status["availabilityZones"]["a"], "in")
            self.assertIn("90-bad.json", " ".join(status["config"]["rejected"]["problems"]))
        valid = self.fleet.publish({"90-bad.json": None})
        self.wait_for_revision(valid)
        self.fleet.check_history(must_hold=("configuration",))

    def test_two_operators_publish_at_once(self):
        """Guards against hosts that end up with different configurations after concurrent publications."""
        def publish(zone):
            for state in ("out", "in") * 5:
                self.fleet.publish({f"90-zone-{zone}.json": {"availabilityZones": {zone: {"state": state}}}})

        threads = [threading.Thread(target=publish, args=(zone,)) for zone in ("a", "b")]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        last = self.fleet.publish({"95-zone-b.json": {"availabilityZones": {"b": {"state": "out"}}}})
        self.wait_for_revision(last)
        hashes = {self.fleet.admin(name, "status")["config"]["hash"] for name in self.fleet.hosts}
        self.assertEqual(len(hashes), 1)
        self.fleet.check_history(must_hold=("configuration",))


if __name__ == "__main__":
    unittest.main(verbosity=2)
