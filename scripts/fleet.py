"""Runs entry hosts with stand-ins for backend servers and platform services on loopback, for process tests and experiments."""
import json
import os
import pathlib
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

# Time within which every host must have activated a publication: the default of orioledrum-history --in-force-s.
MAX_ACTIVATION_SECONDS = 6
# In a planned stop: time between reporting not ready and closing the caller port. The default of generate-deployment
# --balancer-delay-ms.
BALANCER_DELAY_MS = 200
ROOT = pathlib.Path(__file__).resolve().parent.parent
# Ignores proxy settings of the environment: all addresses are on loopback.
OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def call(method, address, path, body=None, timeout=15, headers=None):
    """Sends an HTTP request; a body that is not bytes is sent as JSON. Returns the status and the parsed JSON body, or the raw text
    when the body is not JSON. Raises OSError when there is no connection or no answer.
    """
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


def wait_until(description, condition, seconds):
    """Polls until condition() is true. An OSError, such as a refused connection, counts as false. Raises AssertionError after `seconds`."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise AssertionError(f"timed out after {seconds} s waiting for: {description}")


class Fleet:
    """A generated deployment and its processes. A context manager: leaving it kills every process that still runs.

    Creating it generates the deployment and starts no process. Options become flags of scripts/generate-deployment: entry_hosts is
    --entry-hosts. True gives a flag without a value; omit a flag instead of passing False.
    """

    def __init__(self, folder, build=None, **options):
        self.folder = pathlib.Path(folder)
        self.binaries = pathlib.Path(build or os.environ.get("ORIOLEDRUM_BUILD", ROOT / "build")) / "bin"
        self.processes = {}
        arguments = [str(ROOT / "scripts" / "generate-deployment"), str(self.folder)]
        for name, value in options.items():
            option = "--" + name.replace("_", "-")
            arguments += [option] if value is True else [option, str(value)]
        subprocess.run(arguments, check=True, stdout=subprocess.DEVNULL)
        self.deployment = json.loads((self.folder / "deployment.json").read_text())
        self.hosts = {host["id"]: host for host in self.deployment["entryHosts"]}
        self.backend_control = f"127.0.0.1:{self.deployment['backendControlPort']}"
        self.config_control = f"127.0.0.1:{self.deployment['configControlPort']}"
        self.hosts_control = f"127.0.0.1:{self.deployment['hostsControlPort']}"
        self.balancer_delay_us = int(options.get("balancer_delay_ms", BALANCER_DELAY_MS)) * 1000
        self.backend_zones = {server["id"]: server["zone"] for server in
                              json.loads((self.folder / "backends.json").read_text())["backendServers"]}
        self.history_lock = threading.Lock()
        self.last_publication_us = 0
        self.record_deployment()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()

    def start(self, name, program, *arguments):
        """Starts a program as the process `name`, with its output in NAME.out and its log in NAME.log."""
        with open(self.folder / f"{name}.out", "ab") as out, open(self.folder / f"{name}.log", "ab") as log:
            self.record_event("start", process=name)
            self.processes[name] = subprocess.Popen([str(self.binaries / program), *map(str, arguments)], stdout=out, stderr=log)

    def start_stand_ins(self):
        deployment = self.deployment
        self.start("backends", "standin-backend", "--file", self.folder / "backends.json", "--control-port",
                   deployment["backendControlPort"], "--record", self.folder / "backends.jsonl")
        self.start_config_service()
        self.start("hosts", "standin-hosts", "--file", self.folder / "hosts.json", "--port", deployment["hostsPort"], "--control-port",
                   deployment["hostsControlPort"])
        for address in (self.backend_control, self.config_control, self.hosts_control):
            wait_until(f"an answer from {address}", lambda control=address: call("GET", control, "/control/stats")[0] == 200, 30)

    def start_config_service(self):
        self.start("config", "standin-config", "--folder", self.folder / "config", "--port", self.deployment["configPort"],
                   "--control-port", self.deployment["configControlPort"])

    def start_host(self, name):
        self.start(name, "entryhostd", "--settings", self.folder / "entry-hosts" / f"{name}.settings")

    def start_all(self, ready_seconds=30):
        self.start_stand_ins()
        for name in self.hosts:
            self.start_host(name)
        self.wait_ready(ready_seconds)

    def wait_ready(self, seconds=30, names=None):
        for name in names or self.hosts:
            wait_until(f"{name} to be ready", lambda host=self.hosts[name]: call("GET", host["admin"], "/readyz")[0] == 200, seconds)

    def kill(self, name):
        self.collect_timeline(name)
        self.record_event("kill", process=name)
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name):
        self.record_event("pause", process=name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)
        self.record_event("resume", process=name)

    def terminate(self, name, seconds=25):
        """Sends SIGTERM, which starts a planned stop of an entry host, and waits for the end of the process. Returns the exit code.

        Waits up to 15 s for the end of all calls before it stops the stand-in backend servers. Raises TimeoutExpired when the process
        runs for longer than `seconds` after SIGTERM.
        """
        if name in self.hosts:
            self.collect_timeline(name)
            self.record_event("stop", host=name, balancerDelayUs=self.balancer_delay_us)
        elif name == "backends":
            # standin-backend does not record calls that are in flight when it stops.
            wait_until("the end of all calls", lambda: all(server["inUse"] == 0 for server in self.backend_stats()["backendServers"]), 15)
            self.record_event("end")
        self.processes[name].send_signal(signal.SIGTERM)
        code = self.processes[name].wait(seconds)
        if name in self.hosts:
            self.record_event("stopped", host=name, exitCode=code)
        return code

    def search(self, name, timeout=15, **fields):
        """Sends a search with the given fields through an entry host. Returns the status and the parsed answer."""
        body = {"service": self.deployment["searchService"], "query": "bridge", **fields}
        return self.call_and_record("POST", name, "/v1/search", body, timeout, {"kind": "search", "query": body["query"]})

    def request_ticket(self, name):
        status, answer = call("POST", self.hosts[name]["caller"], "/v1/orders/tickets", {"service": self.deployment["orderService"]})
        assert status == 200, answer
        return answer["ticket"]

    def order(self, name, ticket, item="pellets", timeout=15, **fields):
        """Sends an order with the given ticket through an entry host. Returns the status and the parsed answer."""
        body = {"service": self.deployment["orderService"], "order": {"item": item}, **fields}
        return self.call_and_record("PUT", name, f"/v1/orders/{ticket}", body, timeout, {"kind": "order", "ticket": ticket})

    def admin(self, name, resource):
        """Returns a resource of the administration API of an entry host, for example "status"."""
        return call("GET", self.hosts[name]["admin"], f"/admin/v1/{resource}",
                    headers={"Authorization": "Bearer " + self.deployment["adminToken"]})[1]

    def publish(self, changes):
        """Writes the given files (texts or JSON values; None removes a file) to the configuration folder and publishes it.

        Returns the revision.
        """
        for name, value in changes.items():
            path = self.folder / "config" / name
            path.unlink() if value is None else path.write_text(value if isinstance(value, str) else json.dumps(value))
        files = {path.name: path.read_text() for path in sorted((self.folder / "config").glob("*.json"))}
        began_us = now_us()
        status, answer = call("POST", self.config_control, "/control/publish", {"files": files})
        assert status == 200, answer
        self.record_event("publish", revision=answer["revision"], beganUs=began_us, **zones_out(files))
        self.last_publication_us = now_us()
        return answer["revision"]

    def backend_stats(self):
        return call("GET", self.backend_control, "/control/stats", timeout=30)[1]

    def order_runs(self):
        """Returns an object for each order that ran, by ticket. Its field "runs" says how often the backend servers ran the order."""
        return call("GET", self.backend_control, "/control/orders", timeout=30)[1]["orders"]

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def start_load(self, hosts=None, **options):
        """Starts orioledrum-load against the given entry hosts, or all of them. Options become flags: duration_s is --duration-s."""
        arguments = ["--service", self.deployment["searchService"], "--samples", self.folder / "samples.jsonl",
                     "--sample-results", "--json"]
        for name in hosts or self.hosts:
            arguments += ["--host", self.hosts[name]["caller"]]
        for name, value in options.items():
            arguments += ["--" + name.replace("_", "-"), value]
        for output in ("load.out", "load.log"):
            (self.folder / output).unlink(missing_ok=True)
        self.start("load", "orioledrum-load", *arguments)

    def finish_load(self, seconds=60):
        """Waits for orioledrum-load to exit with 0 and appends its samples to all-samples.jsonl. Returns its report and its samples."""
        code = self.processes["load"].wait(seconds)
        assert code == 0, (code, self.log("load"))
        text = (self.folder / "samples.jsonl").read_text()
        with open(self.folder / "all-samples.jsonl", "a", encoding="utf-8") as file:
            file.write(text)
        samples = [json.loads(line) for line in text.splitlines()]
        return json.loads((self.folder / "load.out").read_text()), samples

    def change_backends(self, path, **change):
        """Changes settings of stand-in backend servers and records the change. The path is all, zone/ZONE or backend/ID."""
        began_us = now_us()
        status, answer = call("POST", self.backend_control, f"/control/{path}", change)
        assert status == 200, answer
        kind, _, value = path.partition("/")
        for backend, zone in self.backend_zones.items():
            if kind == "all" or value == (zone if kind == "zone" else backend):
                self.record_backend_change(backend, change, began_us)

    def record_backend_change(self, backend, change, began_us):
        if change.get("restart") or change.get("drain") is False:
            self.record_event("backendUndrained", atUs=began_us, backend=backend)
        if change.get("restart"):
            self.record_event("backendRestart", beganUs=began_us, backend=backend)
        elif change.get("cold"):
            self.record_event("coldTurn", beganUs=began_us, backend=backend)
        if change.get("drain"):
            self.record_event("backendDraining", backend=backend)
        if set(change) - {"restart", "cold", "drain"}:
            self.record_event("backendChange", backend=backend, change=change)

    def change_host(self, name, **change):
        """Changes the host list entry of an entry host or of a backend server."""
        began_us = now_us()
        status, answer = call("POST", self.hosts_control, f"/control/host/{name}", change)
        assert status == 200, answer
        if name in self.backend_zones and change.get("state") == "leaving":
            self.record_event("backendLeaving", backend=name)
        elif name in self.backend_zones and change.get("state") == "live":
            self.record_event("backendLive", atUs=began_us, backend=name)

    def change_platform(self, service, **change):
        """Injects faults into the configuration service ("config") or the host list service ("hosts").

        The fields are outage, serveRevision, delayMs and lagMs.
        """
        self.record_event("platform", service=service, change=change)
        status, answer = call("POST", self.config_control if service == "config" else self.hosts_control, "/control/service", change)
        assert status == 200, answer

    def stop_backends(self):
        """Stops the stand-in backend servers after their last call and returns the calls that they recorded."""
        self.terminate("backends")
        return [json.loads(line) for line in (self.folder / "backends.jsonl").read_text().splitlines()]

    def record_event(self, event, **fields):
        """Appends an event to operators.jsonl; a field atUs replaces the current time. docs/history.md lists the events."""
        line = {"event": event, "atUs": now_us(), **fields}
        with self.history_lock, open(self.folder / "operators.jsonl", "a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def record_deployment(self):
        """Records what the history checker needs: backend servers, layouts, entry hosts and the wall-clock time beside CLOCK_BOOTTIME."""
        for server in json.loads((self.folder / "backends.json").read_text())["backendServers"]:
            self.record_event("backendServer", backend=server["id"], zone=server["zone"], service=server["service"])
        for service, value in json.loads((self.folder / "config" / "30-services.json").read_text())["services"].items():
            for number, layout in value["layouts"].items():
                self.record_event("layout", service=service, layout=int(number), shards=sorted(layout["shards"]))
        for host in self.hosts.values():
            self.record_event("entryHost", host=host["id"], caller=host["caller"])
        self.record_event("clock", wallUs=time.time_ns() // 1000)

    def call_and_record(self, method, name, path, body, timeout, sample):
        """Calls an entry host and appends a sample in the format of orioledrum-load to all-samples.jsonl.

        `sample` has the kind and the fields that only searches or only orders have, and receives the other fields. Returns the status
        and the parsed answer.
        """
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

    def collect_timeline(self, name):
        """Appends the timeline of an entry host to time-lines.jsonl. Skips other processes and a host that does not answer."""
        if name not in self.hosts:
            return
        try:
            headers = {"Authorization": "Bearer " + self.deployment["adminToken"]}
            address, after, events = self.hosts[name]["admin"], 0, []
            incarnation = call("GET", address, "/admin/v1/status", timeout=2, headers=headers)[1]["incarnation"]
            while page := call("GET", address, f"/admin/v1/timeline?after={after}", timeout=5, headers=headers)[1]["events"]:
                events += page
                after = page[-1]["sequence"]
        except OSError:
            return
        with self.history_lock, open(self.folder / "time-lines.jsonl", "a", encoding="utf-8") as file:
            file.write(json.dumps({"host": name, "incarnation": incarnation, "events": events}) + "\n")

    def check_history(self, must_hold=(), options=()):
        """Stops the stand-ins and runs orioledrum-history, which checks the promises of docs/history.md, on the recorded events.

        Raises AssertionError when a promise is violated, or when the verdict of a promise in must_hold is not "held". Returns the
        verdicts by promise.
        """
        if "configuration" in must_hold:
            # The checker can judge a publication only after the time within which every host must have activated it.
            time.sleep(max(0, self.last_publication_us / 1e6 + MAX_ACTIVATION_SECONDS + 0.2 - now_us() / 1e6))
        for name in self.hosts:
            self.collect_timeline(name)
        self.record_event("clock", wallUs=time.time_ns() // 1000)
        for name in ("backends", "hosts", "config"):
            if name in self.processes and self.processes[name].poll() is None:
                self.terminate(name)
        files = [self.folder / name for name in ("operators.jsonl", "backends.jsonl", "all-samples.jsonl", "time-lines.jsonl")]
        completed = subprocess.run([str(self.binaries / "orioledrum-history"), "--json", "--show", "3", *map(str, options),
                                *[str(file) for file in files if file.exists()]], capture_output=True, text=True, check=False)
        assert completed.returncode in (0, 1), completed.stderr
        verdicts = {entry["promise"]: entry for entry in json.loads(completed.stdout)["promises"]}
        violated = [entry for entry in verdicts.values() if entry["verdict"] == "violated"]
        assert completed.returncode == 0 and not violated, json.dumps(violated, indent=1)
        undecided = {name: verdicts[name]["missing"] for name in must_hold if verdicts[name]["verdict"] != "held"}
        assert not undecided, undecided
        return verdicts


def zones_out(files):
    """Returns the field zonesOut with the availability zones whose state is "out" (of service).

    Returns an empty dictionary when a file cannot be parsed.
    """
    states = {}
    try:
        for name in sorted(files):
            for zone, value in json.loads(files[name]).get("availabilityZones", {}).items():
                states[zone] = value.get("state", states.get(zone))
    except (ValueError, AttributeError):
        return {}
    return {"zonesOut": sorted(zone for zone, state in states.items() if state == "out")}


def now_us():
    """Returns the time of CLOCK_BOOTTIME, which the stand-ins use in their records, in microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000
