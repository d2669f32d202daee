"""One control machine is out of contact for some seconds, and another one loses its disk meanwhile.
After both are back, the operator reads the manifest that was acknowledged before."""

import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import stage_3 as stage  # noqa: E402

VERSION = 7
LATER_S = float(os.environ.get("LATER_S", "1.85"))  # from the freeze to the loss of the disk
DOWN_S = 2.0
FROZEN_S = 6.0
READ_S = 20.0

MANIFEST = {
    "version": VERSION,
    "routes": [{"name": "r-members", "host": "members.example", "path_prefix": "/household/",
                "route_type": "idempotent", "timeout_ms": 4000, "target_latency_ms": 250,
                "priority": 2, "service": "members", "max_attempts": 2}],
    "services": [{"name": "members", "health_path": "/health", "max_connections": 48,
                  "protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 0.0}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


def disturb(deployment, record):
    leader = deployment.leader()
    if leader is None or leader not in deployment.control[:3]:
        raise stage.CannotRun("no leader among the seeds")
    silent, wiped = [m for m in deployment.control[:3] if m is not leader]
    record("%s leads, %s freezes, %s loses its disk" % (leader.name, silent.name, wiped.name))
    if not stage.TROUBLE:
        time.sleep(FROZEN_S)
        return
    began = time.monotonic()
    silent.signal(signal.SIGSTOP)
    time.sleep(began + LATER_S - time.monotonic())
    wiped.kill()
    wiped.lose_disk()
    time.sleep(began + LATER_S + DOWN_S - time.monotonic())
    wiped.start()
    time.sleep(began + FROZEN_S - time.monotonic())
    silent.signal(signal.SIGCONT)


def read_back(deployment, record):
    """What the operator's reads of the manifest say; None: it came, as it was sent."""
    end = time.monotonic() + READ_S
    turn = 0
    answers = {}
    while time.monotonic() < end:
        machine = deployment.control[turn % len(deployment.control)]
        status, answer = deployment.order(machine, "GET", "/config/get", timeout=2.0)
        answers[status] = answers.get(status, 0) + 1
        record("operator: GET /config/get to %s: %s" % (machine.name, status or "no response"))
        if status == 200:
            got = json.loads(answer)
            record("GET /config/get at %s: 200, version %s" % (machine.name, got.get("version")))
            return None if got == MANIFEST else "the manifest read back is another one"
        turn += 1
        time.sleep(0.2)
    record("GET /config/get at all %d control machines for %.0f s: %s" % (
        len(deployment.control), READ_S, answers))
    return "version %d was acknowledged and does not come back" % VERSION


def case(record):
    deployment = stage.Deployment(record, "hkhda-search", control=4, edge=1)
    try:
        deployment.start()
        if deployment.order_until("POST", "/config/replace", MANIFEST, 20) is None:
            raise stage.CannotRun("the first manifest was not acknowledged")
        time.sleep(6)  # the fourth control machine joins as a spare
        disturb(deployment, record)
        record("all machines are back")
        time.sleep(stage.RECOVERY_S)
        broken = read_back(deployment, record)
        if broken:
            again = dict(MANIFEST, version=VERSION + 1)
            answer = deployment.order_until("POST", "/config/replace", again, 8)
            record("a newer version is %sacknowledged" % ("" if answer is not None else "not "))
        for machine in deployment.control:
            for at, name, detail in machine.events():
                if name in ("LEADER_ELECTED", "LEADER_LOST", "VOTER_ADDED", "VOTER_REMOVED"):
                    record("log of %s: %.3f %s %s" % (machine.name, at, name, detail))
        return broken
    finally:
        deployment.stop()


stage.play(FOLDER, case)
