"""POST searches with a body while the backend servers of one zone are down for some seconds."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from deployment import TROUBLE, run_case  # noqa: E402

DOWN_S = 4.5  # cold_return of the site file.
ENTRY_LIFETIME_S = 3.6  # Three check-in intervals of 1.2 s.
SHARDS = 6


def play(deployment, record):
    deployment.start_gateway("g1", "z1")
    deployment.start_gateway("g2", "z2")
    time.sleep(3)  # Until both hosts know each other.
    downed = [backend for backend in deployment.backends.values() if backend.zone == "z1"]
    sent = {}
    answers = {}

    def search(number):
        request_id = f"search{number}"
        body = f"query number {number}".encode()
        sent[request_id] = body
        record.write(f"sent {request_id} POST /search/{number} body {body!r}")
        answer = deployment.get("g1", f"/search/{number}", method="POST", body=body, request_id=request_id)
        answers[request_id] = answer
        record.write(f"answered {request_id} {answer.status} missing {answer.header.get('missing-parts')}")

    for number in range(20):
        search(number)
    if TROUBLE:
        began = time.monotonic()
        for backend in downed:
            deployment.call_on_loop(backend.crash)
        record.write(f"crashed {len(downed)} backend servers of zone z1")
        number = 20
        while time.monotonic() - began < ENTRY_LIFETIME_S:
            search(number)
            number += 1
            time.sleep(0.05)
        for backend in downed:
            deployment.call_on_loop(deployment.store.delete, "servers/" + backend.name)
        while time.monotonic() - began < DOWN_S:
            search(number)
            number += 1
            time.sleep(0.05)
        for backend in downed:
            backend.born += 10000
            deployment.run(backend.start())
        record.write("the backend servers of zone z1 are back")
        time.sleep(1)
    else:
        number = 20
        for number in range(20, 80):
            search(number)
            time.sleep(0.05)

    violations = []
    for backend in deployment.backends.values():
        for at, request_id, method, target, body in backend.ran:
            record.write(f"run {request_id} by {backend.name} of {backend.service}: {method} {target} body {body!r}", at)
            if request_id not in sent:
                violations.append(f"{backend.name} ran {request_id}, which nobody sent")
            elif (method, body) != ("POST", sent[request_id]):
                violations.append(f"{backend.name} ran {request_id} with {method} and the body {body!r}, sent was {sent[request_id]!r};"
                                  f" the caller got {answers[request_id].status}")
    served = sum(1 for answer in answers.values() if answer.status == 200)
    record.write(f"{len(sent)} searches, {served} answered with 200")
    return violations


run_case(FOLDER, play, shards=SHARDS)
