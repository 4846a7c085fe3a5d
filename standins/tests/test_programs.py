"""Tests that run the stand-in programs as processes with a generated deployment."""
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
import urllib.error
import urllib.request

BINARIES = pathlib.Path(sys.argv.pop(1))
GENERATE = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "generate-deployment"
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(port, path, body=None, headers=None):
    """Sends POST if there is a body, otherwise GET. Returns the status and the decoded JSON reply."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=data, headers=headers or {})
    try:
        with OPENER.open(request, timeout=10) as reply:
            return reply.status, json.loads(reply.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")


class ProgramTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.generate("--zones", "2", "--shards", "3", "--entry-hosts", "2", "--order-backends", "1")

    def generate(self, *options):
        return subprocess.run([sys.executable, str(GENERATE), str(self.folder), *options], check=True, stdout=subprocess.DEVNULL)

    def start(self, program, *arguments):
        """Starts a program. Returns the process and the JSON line that it prints once it listens."""
        process = subprocess.Popen([str(BINARIES / program), *map(str, arguments)], stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process, json.loads(process.stdout.readline())

    def stop(self, process):
        """Sends SIGTERM and checks that the program exits with status 0."""
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(20), 0)

    def read(self, name):
        return json.loads((self.folder / name).read_text())

    def test_backends_listen_on_the_generated_ports(self):
        """Guards against a generated backend list that the program rejects or that differs from the configuration."""
        process, startup = self.start("standin-backend", "--file", self.folder / "backends.json", "--record", self.folder / "record.jsonl")
        configured = self.read("config/20-backend-servers.json")["backendServers"]
        self.assertEqual({key: f"127.0.0.1:{port}" for key, port in startup["backendServers"].items()},
                         {key: value["address"] for key, value in configured.items()})
        shards = self.read("config/30-services.json")["services"]["archive"]["layouts"]["1"]["shards"]
        for shard, replicas in shards.items():
            self.assertEqual(len({configured[replica]["zone"] for replica in replicas}), 2)
            for replica in replicas:
                body = {"service": "archive", "shard": shard, "snapshot": 1, "layout": 1, "query": "oak"}
                status, answer = call(startup["backendServers"][replica], "/search", body, {"X-Request-Id": "r"})
                self.assertEqual((status, answer["shard"]), (200, shard))
        # Zone a has one backend server for each of the 3 shards, and one for orders.
        self.assertEqual(call(startup["controlPort"], "/control/zone/a", {"drain": True}), (200, {"changed": 4}))
        self.stop(process)
        self.assertEqual(len((self.folder / "record.jsonl").read_text().splitlines()), 6)

    def test_configuration_is_published_as_revisions(self):
        """Guards against a program that does not serve the generated folder, or publishes a folder that it cannot read."""
        process, startup = self.start("standin-config", "--folder", self.folder / "config")
        status, answer = call(startup["port"], "/v1/config")
        self.assertEqual((status, answer["revision"], len(answer["files"])), (200, 1, 4))
        (self.folder / "config" / "90-a-out.json").write_text('{"availabilityZones": {"a": {"state": "out"}}}')
        self.assertEqual(call(startup["controlPort"], "/control/publish", {"folder": str(self.folder / "config")}), (200, {"revision": 2}))
        self.assertIn("90-a-out.json", call(startup["port"], "/v1/config?after=1&waitMs=1000")[1]["files"])
        self.assertEqual(call(startup["controlPort"], "/control/publish", {"folder": str(self.folder / "absent")})[0], 400)
        self.assertEqual(call(startup["port"], "/v1/config")[1]["revision"], 2)
        self.stop(process)

    def test_host_list_changes(self):
        """Guards against host changes that are lost, and against invalid changes that are applied."""
        process, startup = self.start("standin-hosts", "--file", self.folder / "hosts.json")
        hosts = call(startup["port"], "/v1/hosts")[1]["hosts"]
        # 2 entry hosts and 7 backend servers: one for each of 3 shards in 2 zones, and one for orders.
        self.assertEqual(len(hosts), 2 + 7)
        self.assertEqual(call(startup["controlPort"], "/control/host/e1", {"state": "leaving"}), (200, {"revision": 2}))
        self.assertEqual(call(startup["controlPort"], "/control/host/e0", {"remove": True}), (200, {"revision": 3}))
        self.assertEqual(call(startup["controlPort"], "/control/host/e1", {"state": "gone"})[0], 400)
        self.assertEqual(call(startup["controlPort"], "/control/host/e9", {"remove": True})[0], 404)
        answer = call(startup["port"], "/v1/hosts")[1]
        states = {host["id"]: host["state"] for host in answer["hosts"] if host["kind"] == "entryHost"}
        self.assertEqual((answer["revision"], states), (3, {"e1": "leaving"}))
        self.stop(process)

    def test_settings_of_entry_hosts_name_all_peers(self):
        """Guards against settings without a peer or the configuration service, and against entry hosts that share a port."""
        deployment = self.read("deployment.json")
        ports = [host[kind] for host in deployment["entryHosts"] for kind in ("caller", "peer", "admin")]
        self.assertEqual(len(set(ports)), 6)
        lines = (self.folder / "entry-hosts" / "e0.settings").read_text().splitlines()
        self.assertIn(f"peer=e1,b,{deployment['entryHosts'][1]['peer']}", lines)
        self.assertIn(f"config-service=http://127.0.0.1:{deployment['configPort']}", lines)

    def test_invalid_input_is_reported(self):
        """Guards against programs that start with invalid input, or exit without naming the reason."""
        invalid_file = self.folder / "bad.json"
        invalid_file.write_text('{"backendServers": [{"id": "b0", "service": "s", "slots": 0}]}')
        cases = [("standin-backend", ["--file", invalid_file], "b0"), ("standin-backend", ["--file", self.folder / "absent"], "absent"),
                 ("standin-backend", ["--no-such-option"], "no-such-option"), ("standin-config", ["--folder", self.folder / "absent"], "absent"),
                 ("standin-hosts", ["--file", invalid_file], "array"), ("standin-hosts", [], "file")]
        for program, arguments, reason in cases:
            result = subprocess.run([str(BINARIES / program), *map(str, arguments)], capture_output=True, text=True, timeout=20, check=False)
            self.assertIn(result.returncode, (1, 2), program)
            self.assertIn(reason, result.stderr, program)

    def test_port_in_use_is_reported(self):
        """Guards against a second process on the same port that starts but serves nothing."""
        _, startup = self.start("standin-config", "--folder", self.folder / "config")
        result = subprocess.run([str(BINARIES / "standin-config"), "--folder", str(self.folder / "config"), "--port", str(startup["port"])],
                                capture_output=True, text=True, timeout=20, check=False)
        self.assertEqual(result.returncode, 1)
        self.assertIn(str(startup["port"]), result.stderr)


if __name__ == "__main__":
    unittest.main()
