"""Runs a deployment of stand-ins and entry hosts on loopback, for process tests and experiments."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Loopback only, whatever proxy the environment names.
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(method, address, path, body=None, timeout=15, headers=None):
    """Returns status and parsed body; the body is the raw text when it is not JSON."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method,
                                     headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with OPENER.open(request, timeout=timeout) as reply:
            status, text = reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text


def wait_until(what, condition, seconds):
    """Waits for an event; a refused connection counts as not yet."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise AssertionError(f"{what} did not happen within {seconds} s")


class Fleet:
    """One deployment. Use as a context manager; every process is ended by its id."""

    def __init__(self, folder, build=None, **options):
        self.folder = pathlib.Path(folder)
        self.binaries = pathlib.Path(build or os.environ.get("ORIOLEDRUM_BUILD", ROOT / "build")) / "bin"
        self.processes = {}
        arguments = [str(ROOT / "scripts" / "generate-deployment"), str(self.folder)]
        for name, value in options.items():
            option = "--" + name.replace("_", "-")
            arguments += [option] if value is True else [option, str(value)]
        subprocess.run(arguments, check=True, stdout=subprocess.DEVNULL)
        self.plan = json.loads((self.folder / "deployment.json").read_text())
        self.hosts = {host["id"]: host for host in self.plan["entryHosts"]}
        self.backends = f"127.0.0.1:{self.plan['backendControlPort']}"
        self.config = f"127.0.0.1:{self.plan['configControlPort']}"
        self.host_list = f"127.0.0.1:{self.plan['hostsControlPort']}"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def start(self, name, program, *arguments):
        with open(self.folder / f"{name}.out", "ab") as out, open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([str(self.binaries / program), *map(str, arguments)], stdout=out, stderr=log)

    def start_stand_ins(self):
        plan = self.plan
        self.start("backends", "standin-backend", "--file", self.folder / "backends.json", "--control-port", plan["backendControlPort"],
                   "--record", self.folder / "backends.jsonl")
        self.start_config_service()
        self.start("hosts", "standin-hosts", "--file", self.folder / "hosts.json", "--port", plan["hostsPort"], "--control-port",
                   plan["hostsControlPort"])
        for address in (self.backends, self.config, self.host_list):
            wait_until(f"an answer of {address}", lambda at=address: call("GET", at, "/control/stats")[0] == 200, 30)

    def start_config_service(self):
        self.start("config", "standin-config", "--folder", self.folder / "config", "--port", self.plan["configPort"], "--control-port",
                   self.plan["configControlPort"])

    def start_host(self, name):
        self.start(name, "entryhostd", "--settings", self.folder / "entry-hosts" / f"{name}.settings")

    def start_all(self, ready_seconds=30):
        self.start_stand_ins()
        for name in self.hosts:
            self.start_host(name)
        self.wait_ready(ready_seconds)

    def wait_ready(self, seconds=30, names=None):
        for name in names or self.hosts:
            wait_until(f"{name} ready", lambda at=self.hosts[name]: call("GET", at["admin"], "/readyz")[0] == 200, seconds)

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name, seconds=25):
        """Planned stop. Returns the exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(seconds)

    def search(self, name, timeout=15, **fields):
        body = {"service": self.plan["searchService"], "query": "bridge", **fields}
        return call("POST", self.hosts[name]["caller"], "/v1/search", body, timeout)

    def ticket(self, name):
        status, answer = call("POST", self.hosts[name]["caller"], "/v1/orders/tickets", {"service": self.plan["orderService"]})
        assert status == 200, answer
        return answer["ticket"]

    def order(self, name, ticket, item="pellets", timeout=15, **fields):
        body = {"service": self.plan["orderService"], "order": {"item": item}, **fields}
        return call("PUT", self.hosts[name]["caller"], f"/v1/orders/{ticket}", body, timeout)

    def admin(self, name, page):
        return call("GET", self.hosts[name]["admin"], f"/admin/v1/{page}", headers={"Authorization": "Bearer " + self.plan["adminToken"]})[1]

    def publish(self, changes):
        """Publishes the configuration folder after adding files, or removing those whose text is None."""
        for name, value in changes.items():
            path = self.folder / "config" / name
            path.unlink() if value is None else path.write_text(value if isinstance(value, str) else json.dumps(value))
        files = {path.name: path.read_text() for path in sorted((self.folder / "config").glob("*.json"))}
        status, answer = call("POST", self.config, "/control/publish", {"files": files})
        assert status == 200, answer
        return answer["revision"]

    def backend_stats(self):
        return call("GET", self.backends, "/control/stats", timeout=30)[1]

    def order_runs(self):
        return call("GET", self.backends, "/control/orders", timeout=30)[1]["orders"]

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def start_load(self, hosts=None, **options):
        """Starts orioledrum-load against some hosts; finish_load() returns its report."""
        arguments = ["--service", self.plan["searchService"], "--samples", self.folder / "samples.jsonl", "--json"]
        for name in hosts or self.hosts:
            arguments += ["--host", self.hosts[name]["caller"]]
        for name, value in options.items():
            arguments += ["--" + name.replace("_", "-"), value]
        for old in ("load.out", "load.log"):
            (self.folder / old).unlink(missing_ok=True)
        self.start("load", "orioledrum-load", *arguments)

    def finish_load(self, seconds=60):
        """Returns the report and the samples of the load."""
        code = self.processes["load"].wait(seconds)
        assert code == 0, (code, self.log("load"))
        samples = [json.loads(line) for line in (self.folder / "samples.jsonl").read_text().splitlines()]
        return json.loads((self.folder / "load.out").read_text()), samples

    def change_backends(self, path, **change):
        """Changes the stand-ins of backend servers: path is all, zone/ZONE or backend/ID."""
        status, answer = call("POST", self.backends, f"/control/{path}", change)
        assert status == 200, answer

    def change_host(self, name, **change):
        status, answer = call("POST", self.host_list, f"/control/host/{name}", change)
        assert status == 200, answer

    def change_platform(self, service, **change):
        """Changes the configuration service ("config") or the host list ("hosts"): outage, serveRevision, delayMs, lagMs."""
        status, answer = call("POST", self.config if service == "config" else self.host_list, "/control/service", change)
        assert status == 200, answer

    def stop_stand_in(self):
        """Ends the backend stand-ins in order and returns the calls that they recorded."""
        self.terminate("backends")
        return [json.loads(line) for line in (self.folder / "backends.jsonl").read_text().splitlines()]


def now_us():
    """The clock that the stand-ins record with."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
