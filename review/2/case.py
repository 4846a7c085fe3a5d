"""Requests that need longer than a minute, after a configuration has raised the time-out of their route."""
import concurrent.futures
import http.client
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import TROUBLE, run_case  # noqa: E402

FIRST_TIMEOUT_MS = 50_000
RAISED_TIMEOUT_MS = 80_000
TIMEOUT_MS = RAISED_TIMEOUT_MS if TROUBLE else FIRST_TIMEOUT_MS
DEADLINE_MS = RAISED_TIMEOUT_MS
WORK_S = 66
REQUESTS = 6


def play(deployment, record):
    deployment.start_gateway("g1", "z1")
    for backend in deployment.backends.values():
        backend.work_s = 0.05
    deployment.publish_routes(timeout_ms=FIRST_TIMEOUT_MS)
    record.write(f"configuration with timeout_ms {FIRST_TIMEOUT_MS}")
    if TROUBLE:
        time.sleep(1)
        deployment.publish_routes(timeout_ms=RAISED_TIMEOUT_MS)
        record.write(f"configuration with timeout_ms {RAISED_TIMEOUT_MS}")
    time.sleep(3.5)  # Longer than config_apply_ms.
    for name in ("single-0", "single-1"):
        deployment.backends[name].work_s = WORK_S
        deployment.backends[name].slots = REQUESTS

    violations = []

    def request(number):
        request_id = f"order{number}"
        client = http.client.HTTPConnection("127.0.0.1", deployment.gateways["g1"]["ports"]["callers"], timeout=100)
        header = {"Host": "h.example", "Deadline-Ms": str(DEADLINE_MS)}
        # The first request shows that the connection is kept.
        client.request("GET", f"/search/{number}", headers={**header, "Request-Id": f"first{number}"})
        first = client.getresponse()
        first.read()
        record.write(f"answered first{number} {first.status}")
        record.write(f"sent {request_id} POST /order/{number} Deadline-Ms {DEADLINE_MS}")
        began = time.monotonic()
        status = 0
        try:
            client.request("POST", f"/order/{number}", body=b"one", headers={**header, "Request-Id": request_id})
            answer = client.getresponse()
            answer.read()
            status = answer.status
        except (http.client.HTTPException, OSError) as failure:
            record.write(f"{request_id}: {failure!r}")
        seconds = time.monotonic() - began
        record.write(f"answered {request_id} {status or 'connection closed without an answer'} after {seconds:.1f} s")
        return request_id, status, seconds

    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        results = list(pool.map(request, range(REQUESTS)))
    time.sleep(2)
    closed = 0
    for request_id, status, seconds in results:
        runs = deployment.run_count(request_id)
        record.write(f"run {request_id}: {runs} times")
        if status == 0 and runs > 0 and seconds * 1000 < TIMEOUT_MS:
            closed += 1
    if closed > 3:
        violations.append(f"{closed} of {len(results)} requests were passed on to a sound backend server, and their kept connections were"
                          f" closed without an answer after {min(r[2] for r in results):.1f} to {max(r[2] for r in results):.1f} s")
    return violations


run_case(FOLDER, play)
