"""Starts a small deployment on loopback for the cases 11 to 15: the project's own programs, with the
commands of deploy/system.toml and settings from deploy/*.ini, a list of backends, and an operator.

Each machine has an address of its own in 127.0.0.0/8; ports are the same on all machines. Every
process is ended by its id when the case ends.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "oleanderstiled")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds and zones of the two small deployments, as in their sheets.
SHEETS = {
    "hkhda-search": {
        "zones": ["kushiro", "obihiro", "kitami", "nemuro"],
        "bounds.drain_ms": 3000,
        "bounds.retry_budget_ratio": 0.2,
        "bounds.retry_budget_slack": 52,
        "bounds.budget_window_s": 10,
        "bounds.warmup_factor": 1.5,
        "bounds.warmup_slack": 5,
        "fault_tolerance.machines": 1,
        "cloud_api.rate_per_s": 50.0,
        "cloud_api.max_lag_ms": 800,
    },
    "armp-registro": {
        "zones": ["milano-a", "torino-b", "genova-c"],
        "bounds.drain_ms": 3000,
        "bounds.retry_budget_ratio": 0.2,
        "bounds.retry_budget_slack": 56,
        "bounds.budget_window_s": 10,
        "bounds.warmup_factor": 1.5,
        "bounds.warmup_slack": 5,
        "fault_tolerance.machines": 1,
        "cloud_api.rate_per_s": 55.0,
        "cloud_api.max_lag_ms": 800,
    },
}
CONTACT_S = 4.0
RECOVERY_S = 12.0


class CannotRun(Exception):
    """The case could not be played; no verdict."""


class Record:
    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, text))
            self.file.flush()


def free_ports(hosts, count):
    """Ports that are free at all hosts."""
    found = []
    while len(found) < count:
        port = random.randint(11000, 29000)
        if port in found:
            continue
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            found.append(port)
        except OSError:
            continue
    return found


def free_hosts(count):
    """Loopback addresses for so many machines, on which the ports of the metrics are free."""
    while True:
        net = random.randint(2, 250)
        hosts = ["127.0.%d.%d" % (net, i + 1) for i in range(count)]
        if is_free(hosts, 9464) and is_free(hosts, 9465):
            return hosts


def render(template, values):
    """Fills in a settings template as the platform does; a value that is not there is empty."""
    with open(os.path.join(ROOT, "deploy", template), encoding="utf-8") as file:
        text = file.read()
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: str(values.get(match.group(1), "")), text)


class Machine:
    def __init__(self, deployment, name, host, zone, role):
        self.deployment = deployment
        self.name = name
        self.host = host
        self.zone = zone
        self.role = role
        self.process = None
        self.first = True
        self.folder = os.path.join(deployment.folder, name)
        self.data = os.path.join(self.folder, "data")
        self.log = os.path.join(self.folder, "log")
        os.makedirs(self.data)

    def start(self):
        d = self.deployment
        values = dict(d.sheet)
        values.update({
            "node_name": self.name,
            "zone": self.zone,
            "ip": self.host,
            "internal_port_range.0": d.peer_port,
            "internal_port_range.1": d.peer_port + 3,
            "seeds": ",".join("%s:%d" % (host, d.control_port) for host in d.seeds),
            "bootstrap": "true" if self.first else "false",
            "listen.control": "%s:%d" % (self.host, d.control_port),
            "listen.front": "%s:%d" % (self.host, d.front_port),
            "listen.readiness": "%s:%d" % (self.host, d.ready_port),
            "data_dir": self.data,
            "cloud_api.address": "%s:%d" % (d.platform_host, d.platform_port),
        })
        settings = os.path.join(self.folder, "settings.conf")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(render(self.role + ".ini", values))
        self.first = False
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([DAEMON, "--config", settings], cwd=ROOT,
                                            stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        d.record("%s started, process %d, bootstrap=%s" % (
            self.name, self.process.pid, values["bootstrap"]))

    def signal(self, number):
        self.deployment.record("%s: %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self):
        shutil.rmtree(self.data)
        os.makedirs(self.data)
        self.deployment.record("%s: disk lost" % self.name)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def events(self):
        """The names and times of the events that the process has logged."""
        found = []
        with open(self.log, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    entry = json.loads(line)
                except ValueError:
                    continue
                found.append((entry.get("time", 0), entry.get("name", ""), entry.get("detail", "")))
        return found


class Deployment:
    """Control machines, of which the first three are the seeds, and edge machines."""

    def __init__(self, record, site, control, edge):
        if not os.path.exists(DAEMON):
            raise CannotRun("target/oleanderstiled is not built")
        self.record = record
        self.sheet = SHEETS[site]
        self.folder = tempfile.mkdtemp(prefix="oleanderstile-case-")
        hosts = free_hosts(control + edge + 1)
        self.platform_host = hosts[-1]
        ports = free_ports(hosts, 4)
        self.control_port, self.front_port, self.ready_port, self.platform_port = ports
        while True:
            first = free_ports(hosts, 1)[0]
            if all(is_free(hosts, first + i) for i in range(4)) and first not in ports:
                break
        self.peer_port = first
        self.seeds = hosts[:min(control, 3)]
        zones = self.sheet["zones"]
        self.control = [Machine(self, "core-%d" % (i + 1), hosts[i], zones[i % len(zones)], "control")
                        for i in range(control)]
        self.edge = [Machine(self, "edge-%d" % (i + 1), hosts[control + i], zones[i % len(zones)], "entry")
                     for i in range(edge)]
        self.instances = []
        self.platform = None

    def start(self):
        self.platform = serve_list(self)
        for machine in self.control + self.edge:
            machine.start()

    def stop(self):
        for machine in self.control + self.edge:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if self.platform:
            self.platform.shutdown()
            self.platform.server_close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def order(self, machine, method, path, body=None, timeout=1.0):
        """One call of the operator; the status, or 0 without a response, and the body."""
        text = body if isinstance(body, (str, bytes)) or body is None else json.dumps(body)
        try:
            connection = http.client.HTTPConnection(machine.host, self.control_port,
                                                    timeout=timeout)
            connection.request(method, path, text, {"Content-Type": "application/json"})
            response = connection.getresponse()
            answer = response.read()
            connection.close()
            return response.status, answer
        except (OSError, http.client.HTTPException):
            return 0, b""

    def order_until(self, method, path, body, seconds):
        """As the operator does it: again, to another node, until it is acknowledged."""
        end = time.monotonic() + seconds
        turn = 0
        while time.monotonic() < end:
            machine = self.control[turn % len(self.control)]
            status, answer = self.order(machine, method, path, body)
            self.record("operator: %s %s to %s: %s" % (method, path, machine.name,
                                                      status or "no response"))
            if status == 200:
                return answer
            turn += 1
            time.sleep(0.1 if turn < len(self.control) else 0.3)
        return None

    def leader(self):
        """The control machine that was elected last, as the logs say."""
        newest = None
        for machine in self.control:
            for at, name, _ in machine.events():
                if name == "LEADER_ELECTED" and (newest is None or at > newest[0]):
                    newest = (at, machine)
        return newest[1] if newest else None


def is_free(hosts, port):
    try:
        for host in hosts:
            with socket.socket() as probe:
                probe.bind((host, port))
    except OSError:
        return False
    return True


def serve_list(deployment):
    """The platform's list of backends."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            body = json.dumps({"instances": deployment.instances,
                               "next_page_token": None}).encode()
            self.send_response(200)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *args):
            pass

    server = ThreadingHTTPServer((deployment.platform_host, deployment.platform_port), Handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def play(folder, case):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    try:
        broken = case(record)
    except Exception as error:  # CannotRun, or a fault of the case itself: no verdict
        record("could not run: %s: %s" % (type(error).__name__, error))
        print("could not run: %s: %s" % (type(error).__name__, error))
        sys.exit(2)
    record("the rule was broken: %s" % broken if broken else "the rule held")
    print("broken: %s" % broken if broken else "held")
    sys.exit(1 if broken else 0)
