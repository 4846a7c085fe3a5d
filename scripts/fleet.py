"""Runs a deployment of stand-ins and entry hosts on loopback, for process tests and experiments."""
import json
import os
import pathlib
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

# Default of orioledrum-history.
IN_FORCE_SECONDS = 6
# Default of scripts/generate-deployment.
BALANCER_DELAY_MS = 200
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
        self.balancer_delay_us = int(options.get("balancer_delay_ms", BALANCER_DELAY_MS)) * 1000
        self.backend_zones = {server["id"]: server["zone"] for server in
                              json.loads((self.folder / "backends.json").read_text())["backendServers"]}
        self.history_lock = threading.Lock()
        self.last_publication = 0
        self.describe()

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
            self.note("start", process=name)
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
        self.gather_time_line(name)
        self.note("kill", process=name)
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name):
        self.note("pause", process=name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.note("resume", process=name)

    def terminate(self, name, seconds=25):
        """Planned stop. Returns the exit code."""
        if name in self.hosts:
            self.gather_time_line(name)
            self.note("stop", host=name, balancerDelayUs=self.balancer_delay_us)
        elif name == "backends":
            # Calls that still run when the stand-ins stop are not recorded.
            wait_until("the end of all calls", lambda: all(one["inUse"] == 0 for one in self.backend_stats()["backendServers"]), 15)
            self.note("end")
        self.processes[name].send_signal(signal.SIGTERM)
        code = self.processes[name].wait(seconds)
        if name in self.hosts:
            self.note("stopped", host=name, exitCode=code)
        return code

    def search(self, name, timeout=15, **fields):
        body = {"service": self.plan["searchService"], "query": "bridge", **fields}
        return self.sampled_call("POST", name, "/v1/search", body, timeout, {"kind": "search", "query": body["query"]})

    def ticket(self, name):
        status, answer = call("POST", self.hosts[name]["caller"], "/v1/orders/tickets", {"service": self.plan["orderService"]})
        assert status == 200, answer
        return answer["ticket"]

    def order(self, name, ticket, item="pellets", timeout=15, **fields):
        body = {"service": self.plan["orderService"], "order": {"item": item}, **fields}
        return self.sampled_call("PUT", name, f"/v1/orders/{ticket}", body, timeout, {"kind": "order", "ticket": ticket})

    def admin(self, name, page):
        return call("GET", self.hosts[name]["admin"], f"/admin/v1/{page}", headers={"Authorization": "Bearer " + self.plan["adminToken"]})[1]

    def publish(self, changes):
        """Publishes the configuration folder after adding files, or removing those whose text is None."""
        for name, value in changes.items():
            path = self.folder / "config" / name
            path.unlink() if value is None else path.write_text(value if isinstance(value, str) else json.dumps(value))
        files = {path.name: path.read_text() for path in sorted((self.folder / "config").glob("*.json"))}
        began = now_us()
        status, answer = call("POST", self.config, "/control/publish", {"files": files})
        assert status == 200, answer
        self.note("publish", revision=answer["revision"], beganUs=began, **zones_out(files))
        self.last_publication = now_us()
        return answer["revision"]

    def backend_stats(self):
        return call("GET", self.backends, "/control/stats", timeout=30)[1]

    def order_runs(self):
        return call("GET", self.backends, "/control/orders", timeout=30)[1]["orders"]

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def start_load(self, hosts=None, **options):
        """Starts orioledrum-load against some hosts; finish_load() returns its report."""
        arguments = ["--service", self.plan["searchService"], "--samples", self.folder / "samples.jsonl", "--sample-results", "--json"]
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
        text = (self.folder / "samples.jsonl").read_text()
        with open(self.folder / "all-samples.jsonl", "a", encoding="utf-8") as file:
            file.write(text)
        samples = [json.loads(line) for line in text.splitlines()]
        return json.loads((self.folder / "load.out").read_text()), samples

    def change_backends(self, path, **change):
        """Changes the stand-ins of backend servers: path is all, zone/ZONE or backend/ID."""
        began = now_us()
        status, answer = call("POST", self.backends, f"/control/{path}", change)
        assert status == 200, answer
        kind, _, value = path.partition("/")
        for backend, zone in self.backend_zones.items():
            if kind == "all" or value == (zone if kind == "zone" else backend):
                self.note_backend_change(backend, change, began)

    def note_backend_change(self, backend, change, began):
        if change.get("restart") or change.get("drain") is False:
            self.note("backendUndrained", atUs=began, backend=backend)
        if change.get("restart"):
            self.note("backendRestart", beganUs=began, backend=backend)
        elif change.get("cold"):
            self.note("coldTurn", beganUs=began, backend=backend)
        if change.get("drain"):
            self.note("backendDraining", backend=backend)
        if set(change) - {"restart", "cold", "drain"}:
            self.note("backendChange", backend=backend, change=change)

    def change_host(self, name, **change):
        began = now_us()
        status, answer = call("POST", self.host_list, f"/control/host/{name}", change)
        assert status == 200, answer
        if name in self.backend_zones and change.get("state") == "leaving":
            self.note("backendLeaving", backend=name)
        elif name in self.backend_zones and change.get("state") == "live":
            self.note("backendLive", atUs=began, backend=name)

    def change_platform(self, service, **change):
        """Changes the configuration service ("config") or the host list ("hosts"): outage, serveRevision, delayMs, lagMs."""
        self.note("platform", service=service, change=change)
        status, answer = call("POST", self.config if service == "config" else self.host_list, "/control/service", change)
        assert status == 200, answer

    def stop_stand_in(self):
        """Ends the backend stand-ins in order and returns the calls that they recorded."""
        self.terminate("backends")
        return [json.loads(line) for line in (self.folder / "backends.jsonl").read_text().splitlines()]

    def note(self, event, **fields):
        """Writes a line to the file of operators' events, see docs/history.md."""
        line = {"event": event, "atUs": now_us(), **fields}
        with self.history_lock, open(self.folder / "operators.jsonl", "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def describe(self):
        """Writes the facts of the deployment that the history checker needs."""
        for server in json.loads((self.folder / "backends.json").read_text())["backendServers"]:
            self.note("backendServer", backend=server["id"], zone=server["zone"], service=server["service"])
        for service, value in json.loads((self.folder / "config" / "30-services.json").read_text())["services"].items():
            for number, layout in value["layouts"].items():
                self.note("layout", service=service, layout=int(number), shards=sorted(layout["shards"]))
        for host in self.hosts.values():
            self.note("entryHost", host=host["id"], caller=host["caller"])
        self.note("clock", wallUs=time.time_ns() // 1000)

    def sampled_call(self, method, name, path, body, timeout, sample):
        """Calls an entry host and records what the caller saw, in the form of orioledrum-load's samples."""
        address = self.hosts[name]["caller"]
        sample |= {"service": body["service"], "host": address, "sentAtUs": now_us(), "status": 0, "code": "noAnswer",
                   "outcome": "unknown" if sample["kind"] == "order" else "failed"}
        if "deadlineMs" in body:
            sample["deadlineUs"] = int(body["deadlineMs"]) * 1000
        if "limit" in body:
            sample["limit"] = body["limit"]
        try:
            status, answer = call(method, address, path, body, timeout)
            fields = answer if isinstance(answer, dict) else {}
            sample["status"] = status
            sample["code"] = fields.get("error", fields).get("code", "")
            if sample["kind"] == "order":
                sample["outcome"] = fields.get("outcome", "unknown")
            elif status != 200:
                sample["outcome"] = "refused"
            elif "requestId" in fields:
                coverage = fields["coverage"]
                sample |= {key: fields[key] for key in ("requestId", "snapshot", "layout", "complete")}
                sample |= {key: coverage[key] for key in ("shardsTotal", "shardsAnswered")}
                reasons = [entry["reason"] for entry in coverage["missing"]]
                sample |= {"outcome": "answered", "coverage": coverage["fraction"], "results": [hit["id"] for hit in fields["results"]],
                           "missing": {reason: reasons.count(reason) for reason in reasons}}
            return status, answer
        finally:
            sample["endedAtUs"] = now_us()
            with self.history_lock, open(self.folder / "all-samples.jsonl", "a", encoding="utf-8") as file:
                file.write(json.dumps(sample) + "\n")

    def gather_time_line(self, name):
        """Adds the time line of an entry host to the history; one that does not answer has none to give."""
        if name not in self.hosts:
            return
        try:
            headers = {"Authorization": "Bearer " + self.plan["adminToken"]}
            address, after, events = self.hosts[name]["admin"], 0, []
            incarnation = call("GET", address, "/admin/v1/status", timeout=2, headers=headers)[1]["incarnation"]
            while page := call("GET", address, f"/admin/v1/timeline?after={after}", timeout=5, headers=headers)[1]["events"]:
                events += page
                after = page[-1]["sequence"]
        except OSError:
            return
        with self.history_lock, open(self.folder / "time-lines.jsonl", "a", encoding="utf-8") as file:
            file.write(json.dumps({"host": name, "incarnation": incarnation, "events": events}) + "\n")

    def check_history(self, held=(), options=()):
        """Ends the stand-ins in order and lets orioledrum-history decide the promises.

        Fails when one is violated, or one of those named in held is not decided. Returns the decisions by name.
        """
        if "configuration" in held:
            # A publication can be judged only after the time that it has to come into force.
            time.sleep(max(0, self.last_publication / 1e6 + IN_FORCE_SECONDS + 0.2 - now_us() / 1e6))
        for name in self.hosts:
            self.gather_time_line(name)
        self.note("clock", wallUs=time.time_ns() // 1000)
        for name in ("backends", "hosts", "config"):
            if name in self.processes and self.processes[name].poll() is None:
                self.terminate(name)
        files = [self.folder / name for name in ("operators.jsonl", "backends.jsonl", "all-samples.jsonl", "time-lines.jsonl")]
        found = subprocess.run([str(self.binaries / "orioledrum-history"), "--json", "--show", "3", *map(str, options),
                                *[str(file) for file in files if file.exists()]], capture_output=True, text=True, check=False)
        assert found.returncode in (0, 1), found.stderr
        decisions = {entry["promise"]: entry for entry in json.loads(found.stdout)["promises"]}
        wrong = [entry for entry in decisions.values() if entry["verdict"] == "violated"]
        assert found.returncode == 0 and not wrong, json.dumps(wrong, indent=1)
        undecided = {name: decisions[name]["missing"] for name in held if decisions[name]["verdict"] != "held"}
        assert not undecided, undecided
        return decisions


def zones_out(files):
    """Returns the zones that a configuration takes out; nothing when one of its files cannot be read."""
    states = {}
    try:
        for name in sorted(files):
            for zone, value in json.loads(files[name]).get("availabilityZones", {}).items():
                states[zone] = value.get("state", states.get(zone))
    except (ValueError, AttributeError):
        return {}
    return {"zonesOut": sorted(zone for zone, state in states.items() if state == "out")}


def now_us():
    """The clock that the stand-ins record with."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
