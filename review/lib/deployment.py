"""A small deployment for the cases of this folder: the project's stand-in of the platform, and gatewayd processes that are started with the
command of deploy/system.toml and with settings as platform/settings.json.in renders them.
"""
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "scripts"))
import platform_standin  # noqa: E402

TROUBLE = sys.argv[1:] != ["0"]  # run.sh passes the value of the variable of this name.
COMMAND = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]["run"].split(" ")
BOOT_VARIABLE = "ORIOLEDRUM_BOOT"  # Names the settings file.

# Bounds of ../given/kit/more/system/sites/lrdra-search.toml.
RETRY_BUDGET_RATIO = 0.2
RETRY_SLACK = 52
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5
CONFIG_APPLY_MS = 3000
CONTACT_MS = 4000
GRACE_S = 6
MAX_FDS = 4100


class Deployment(platform_standin.Platform):
    """Starts gateways as the users' machines do."""

    def start_gateway(self, name, zone, wait=True):
        previous = self.gateways.get(name)
        ports = previous["ports"] if previous else {
            key: platform_standin.free_port() for key in ("callers", "readiness", "hosts", "metrics")}
        seeds = [f"127.0.0.1:{gateway['ports']['hosts']}" for gateway in self.gateways.values()][:3] or [f"127.0.0.1:{ports['hosts']}"]
        settings = {"host": name, "zone": zone, "seeds": seeds, "platform": self.store_address(name), "maxDescriptors": MAX_FDS,
                    "extraCallShare": RETRY_BUDGET_RATIO, "extraCallSlack": RETRY_SLACK, "coldFactor": COLD_OVERSHOOT,
                    "coldSlack": COLD_SLACK, "configurationInForceMs": CONFIG_APPLY_MS, "contactLossMs": CONTACT_MS,
                    "stopTimeMs": GRACE_S * 1000, "lapsedReturnMs": 2200, "callerDelayMs": 3}
        settings.update({key: f"127.0.0.1:{port}" for key, port in ports.items()})
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(self.folder / f"{name}.log", "ab")
        log_start = log.tell()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment[BOOT_VARIABLE] = str(path)
        process = subprocess.Popen(COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.gateways[name] = {"process": process, "ports": ports, "log": log, "log_start": log_start, "zone": zone}
        if wait:
            self.wait_ready(name)

    def store_address(self, name):
        """Returns the address at which a gateway reads the platform's store."""
        return self.address


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text, at=None):
        self.file.write(f"{(at or time.monotonic()) - self.began:8.3f} {text}\n")
        self.file.flush()


def run_case(folder, play, **options):
    """Runs `play(deployment, record)`, which returns a list of violations. Exits with 1 if there is one, 0 if there is none and 2 if the
    case could not run.
    """
    record = Record(folder)
    code = 2
    try:
        with tempfile.TemporaryDirectory(prefix="orioledrum-review-", ignore_cleanup_errors=True) as temporary:
            with Deployment(temporary, **options) as deployment:
                violations = play(deployment, record)
        for violation in violations:
            record.write("VIOLATION " + violation)
        record.write(f"result: {len(violations)} violations, trouble {'on' if TROUBLE else 'off'}")
        print(f"{len(violations)} violations, trouble {'on' if TROUBLE else 'off'}" + "".join("\n  " + each for each in violations[:5]))
        code = 1 if violations else 0
    except Exception as failure:  # The case has no result.
        record.write(f"the case could not run: {failure!r}")
        print(f"the case could not run: {failure!r}")
    sys.exit(code)
