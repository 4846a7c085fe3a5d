"""Tests orioledrumctl with running entry hosts."""
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet  # noqa: E402


class CtlTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory(prefix="orioledrum-test-", ignore_cleanup_errors=True)
        cls.fleet = Fleet(cls.folder.name, zones=2, shards=4, replicas=2, entry_hosts=2, never_share=0, slow_share=0, seed=41)
        cls.fleet.__enter__()
        cls.fleet.start_all()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()
        cls.folder.cleanup()

    def ctl(self, *arguments, token=None):
        command = [str(self.fleet.binaries / "orioledrumctl"), *arguments, "--token", token or self.fleet.deployment["adminToken"]]
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        return completed.returncode, completed.stdout, completed.stderr

    def host_options(self):
        return [part for host in self.fleet.hosts.values() for part in ("--host", host["admin"])]

    def test_status(self):
        """Guards against a status answer that orioledrumctl cannot parse."""
        code, text, _ = self.ctl("status", "--host", self.fleet.hosts["e0"]["admin"])
        self.assertEqual(code, 0)
        self.assertIn("e0", text)
        code, text, _ = self.ctl("status", "--json", "--host", self.fleet.hosts["e0"]["admin"])
        self.assertEqual(code, 0)
        self.assertIn("e0", json.dumps(json.loads(text)))

    def test_wrong_token_and_unreachable_host(self):
        """Guards against exit codes by which a script cannot tell a wrong token from an unreachable host."""
        self.assertEqual(self.ctl("status", "--host", self.fleet.hosts["e0"]["admin"], token="wrong")[0], 1)
        self.assertEqual(self.ctl("status", "--host", "127.0.0.1:1")[0], 3)

    def test_timeline_of_one_request(self):
        """Guards against a timeline without the events of a request, and against an SVG file that is not written."""
        status, answer = self.fleet.search("e0", deadlineMs=2000, minCoverage=1)
        self.assertEqual(status, 200, answer)
        drawing = self.fleet.folder / "request.svg"
        code, text, error = self.ctl("timeline", *self.host_options(), "--request", answer["requestId"], "--svg", str(drawing))
        self.assertEqual(code, 0, error)
        self.assertIn("searchStarted", text)
        self.assertIn("searchFinished", text)
        self.assertIn("<svg", drawing.read_text())


if __name__ == "__main__":
    unittest.main(verbosity=2)
