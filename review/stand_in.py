"""Stand-ins for scripts of the second review: platform, backends, clients, operator.

They follow PROTOCOL.md. The nodes are started with the command of deploy/system.toml and with
settings rendered from the templates deploy/*.ini, each on a loopback address of its own.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_MAX_S = 110
CONTACT_S = 4  # contact_ms of the site: a machine is in touch so long after its start
HOST = "site.example"
LIST_LAG_S = 0.8  # cloud_api.max_lag_ms of the site files

# Fields of the settings, with the values of sites/armp-registro.toml.
FIELDS = {
    "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "56",
    "bounds.budget_window_s": "10", "bounds.warmup_factor": "1.5",
    "bounds.warmup_slack": "5", "bounds.drain_ms": "3000", "bounds.quota_window_s": "",
    "bounds.quota_excess": "", "bounds.quota_slack": "", "bounds.exposure_share": "",
    "bounds.exposure_slack": "", "bounds.rollback_ms": "", "cloud_api.rate_per_s": "55.0",
    "cloud_api.max_lag_ms": "800", "fault_tolerance.machines": "1",
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not run; exit status 2."""


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_ports(count):
    """The first of so many free ports in a row, below those of outgoing connections."""
    while True:
        first = random.randrange(20000, 32000 - count)
        if all(is_free(port) for port in range(first, first + count)):
            return first


def deploy_commands():
    """The command of each role, by the name of its template."""
    with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
        roles = file.read().split("[roles.")[1:]
    commands = {}
    for role in roles:
        run = re.search(r'^run = "(.*)"', role, re.M).group(1)
        commands[re.search(r'^template = "(.*)"', role, re.M).group(1)] = run.split()
    return commands


class Cluster:
    """Control and entry nodes in three zones."""

    def __init__(self, entry_nodes, control_nodes=3):
        self.folder = tempfile.mkdtemp(prefix="oleanderstile-review-")
        self.processes = {}
        self.commands = deploy_commands()
        first = free_ports(20)
        self.front_port, self.ready_port, self.control_port, self.list_port = range(first, first + 4)
        self.first_port, self.last_port = first + 4, first + 19  # the internal port range
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.nodes = {}
        for i in range(control_nodes):
            self.nodes[f"core-{i}"] = ("deploy/control.ini", f"{net}.{10 + i}", f"z{i % 3}")
        for i in range(entry_nodes):
            self.nodes[f"edge-{i}"] = ("deploy/entry.ini", f"{net}.{50 + i}", f"z{i % 3}")
        self.seeds = ",".join(f"{self.ip(name)}:{self.control_port}" for name in self.control())

    def control(self):
        return [name for name in self.nodes if name.startswith("core-")]

    def entry(self):
        return [name for name in self.nodes if name.startswith("edge-")]

    def ip(self, name):
        return self.nodes[name][1]

    def start(self, name):
        template, ip, zone = self.nodes[name]
        fields = dict(FIELDS)
        fields.update({
            "node_name": name, "zone": zone, "ip": ip, "seeds": self.seeds, "bootstrap": "true",
            "internal_port_range.0": str(self.first_port),
            "internal_port_range.1": str(self.last_port),
            "listen.control": f"{ip}:{self.control_port}",
            "listen.front": f"{ip}:{self.front_port}",
            "listen.readiness": f"{ip}:{self.ready_port}",
            "data_dir": os.path.join(self.folder, name + ".data"),
            "cloud_api.address": f"127.0.0.1:{self.list_port}",
        })
        with open(os.path.join(ROOT, template), encoding="utf-8") as file:
            text = re.sub(r"\{\{([^}]+)\}\}", lambda match: fields[match.group(1)], file.read())
        settings = os.path.join(self.folder, name + ".ini")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        command = [settings if word.startswith("/etc/") else word
                   for word in self.commands[template]]
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    def start_all(self):
        for name in self.nodes:
            self.start(name)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    length = int(headers.get("content-length", "0") or 0)
    return await reader.readexactly(length) if length else b""


async def call(ip, port, method, path, body=b"", timeout_s=5):
    """One call on a connection of its own; returns status and body."""
    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            line, headers = await read_head(reader)
            return int(line.split()[1]), await read_body(reader, headers)
        finally:
            writer.close()
    return await asyncio.wait_for(exchange(), timeout_s)


async def wait_for(condition, timeout_s=25):
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        try:
            if await condition():
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False


class Backend:
    """A backend process at one address. It may crash and start again under its id."""

    def __init__(self, world, service, zone, work_s=0.005, slots=4, warmup_s=3.0):
        self.world, self.service, self.zone = world, service, zone
        self.work_s, self.slots, self.warmup_s = work_s, slots, warmup_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.port = free_ports(1)
        self.is_up, self.starts, self.born_ms, self.cold_until_s = False, 0, 0, 0
        self.writers = set()
        self.cold_arrivals = []  # (time, attempt id)
        self.crash_above = None  # requests a second that it survives while cold
        self.restart_s = 1.0
        self.crashes = []
        world.backends.append(self)

    async def start(self, during_traffic=False):
        now_s = time.monotonic()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.is_up, self.starts, self.born_ms = True, self.starts + 1, int(time.time() * 1000)
        self.cold_until_s = now_s + self.warmup_s if during_traffic else 0

    def crash(self):
        """Ends at once: the connections are reset, and the port refuses new ones."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            self.reset(writer)
        self.crashes.append(time.monotonic())

    async def restart_later(self):
        await asyncio.sleep(self.restart_s)
        await self.start(during_traffic=True)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def note_arrival(self, attempt):
        now_s = time.monotonic()
        if now_s >= self.cold_until_s:
            return
        self.cold_arrivals.append((now_s, attempt))
        recent = sum(1 for at_s, _ in self.cold_arrivals[-500:] if at_s > now_s - 1)
        if self.crash_above is not None and recent > self.crash_above:
            self.crash()
            asyncio.create_task(self.restart_later())

    async def serve(self, reader, writer):
        incarnation = self.starts
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer, incarnation):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer, incarnation):
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        if not self.is_up or incarnation != self.starts:
            return False
        method, path, _ = line.split(" ", 2)
        attempt = headers.get("oleanderstile-attempt-id", "")
        echo = f"Oleanderstile-Attempt-Id: {attempt}\r\n"
        if headers.get("oleanderstile-target-instance", self.id) != self.id:
            writer.write(("HTTP/1.1 421 Misdirected Request\r\nOleanderstile-Not-Executed: 1\r\n"
                          f"{echo}Content-Length: 0\r\n\r\n").encode())
            return True
        self.note_arrival(attempt)
        if not self.is_up:
            return False
        self.world.note_run(self, attempt, method, path, body)
        await asyncio.sleep(self.work_s)
        if not self.is_up or incarnation != self.starts:
            return False
        answer = os.urandom(32)
        writer.write((f"HTTP/1.1 200 OK\r\nOleanderstile-Server-Stamp: {self.id}.{attempt}\r\n"
                      f"{echo}Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
        return True


class World:
    """The backends, the platform's list of them, and what was sent, run and answered."""

    def __init__(self):
        self.backends, self.runs, self.history = [], [], []
        self.sent = {}  # attempt id: when the client sent it
        self.lines = []
        self.began_s = time.monotonic()

    def record(self, text):
        self.lines.append(f"{time.monotonic() - self.began_s:8.3f} {text}")

    def note_run(self, backend, attempt, method, path, body):
        self.runs.append((time.monotonic(), attempt, backend, method, path, body))
        self.record(f"run {attempt} at {backend.id} start {backend.starts}: {method} {path}, "
                    f"{len(body)} bytes")

    def entries(self):
        now_s = time.monotonic()
        return [{"id": each.id, "service": each.service, "address": f"127.0.0.1:{each.port}",
                 "zone": each.zone, "version": "v1", "slots": each.slots, "state": "ready",
                 "warmup_left_ms": max(0, int((each.cold_until_s - now_s) * 1000)),
                 "born": each.born_ms} for each in self.backends]

    async def keep_history(self):
        while True:
            now_s = time.monotonic()
            self.history = [item for item in self.history if item[0] > now_s - LIST_LAG_S - 1]
            self.history.append((now_s, self.entries()))
            await asyncio.sleep(0.02)

    def listed(self):
        """The list as it was LIST_LAG_S ago."""
        shown = self.history[0][1]
        for at_s, entries in self.history:
            if at_s <= time.monotonic() - LIST_LAG_S:
                shown = entries
        return shown

    async def serve_list(self, reader, writer):
        try:
            while True:
                await read_head(reader)
                body = json.dumps({"instances": self.listed(), "next_page_token": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def start(self, cluster, manifest):
        """Starts platform and nodes; returns once the manifest is confirmed and all are ready."""
        self.keeper = asyncio.create_task(self.keep_history())
        for backend in self.backends:
            await backend.start()
        await asyncio.sleep(0.05)
        await asyncio.start_server(self.serve_list, "127.0.0.1", cluster.list_port)
        cluster.start_all()
        if not await self.configure(cluster, manifest):
            raise CannotRun("the manifest is not confirmed")
        for name in cluster.entry():
            async def is_ready(ip=cluster.ip(name)):
                return (await call(ip, cluster.ready_port, "GET", "/readiness"))[0] == 200
            if not await wait_for(is_ready):
                raise CannotRun(f"{name} is not ready")
        # All machines are in touch from then on.
        await asyncio.sleep(CONTACT_S + 1)

    async def configure(self, cluster, manifest):
        """Sends a manifest until it is acknowledged."""
        async def is_confirmed():
            ip = cluster.ip(random.choice(cluster.control()))
            status, _ = await call(ip, cluster.control_port, "POST", "/config/replace",
                                   json.dumps(manifest).encode())
            return status == 200
        confirmed = await wait_for(is_confirmed)
        self.record(f"manifest version {manifest['version']} acknowledged: {confirmed}")
        return confirmed


def service(name, warmup_per_s=0.0):
    return {"name": name, "health_path": "/health", "max_connections": 48, "protocol": "h1",
            "tls": False, "warmup_s": 3.0, "warmup_per_s": warmup_per_s}


def route(name, to, route_type="idempotent"):
    return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "route_type": route_type,
            "timeout_ms": 4000, "target_latency_ms": 250, "priority": 1, "service": to,
            "max_attempts": 2}


class Client:
    """A client with a kept connection to one entry node."""

    def __init__(self, world, cluster, node):
        self.world, self.cluster, self.node = world, cluster, node
        self.reader = self.writer = None
        self.results = []  # (time sent, attempt id, status or None)

    async def exchange(self, data):
        if self.reader is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.cluster.ip(self.node), self.cluster.front_port)
        self.writer.write(data)
        line, headers = await read_head(self.reader)
        await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split()[1])

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def get(self, path, deadline_ms=2000, more_lines=""):
        attempt = f"{random.getrandbits(64):016x}"
        sent_s = time.monotonic()
        self.world.sent[attempt] = sent_s
        self.world.record(f"sent {attempt} to {self.node}: GET {path}")
        try:
            status = await asyncio.wait_for(self.exchange(
                f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nOleanderstile-Attempt-Id: {attempt}\r\n"
                f"Oleanderstile-Deadline-Ms: {deadline_ms}\r\n{more_lines}\r\n".encode()),
                deadline_ms / 1000 + 0.5)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = None
            self.close()
        self.world.record(f"answered {attempt}: {status}")
        self.results.append((sent_s, attempt, status))
        return status

    async def send_for(self, seconds, per_s, path):
        end_s = time.monotonic() + seconds
        next_s = time.monotonic()
        while True:
            next_s = max(next_s + random.expovariate(per_s), time.monotonic() - 0.2)
            if next_s >= end_s:
                return
            await asyncio.sleep(max(0, next_s - time.monotonic()))
            await self.get(path)


def count_statuses(clients):
    counts = {}
    for client in clients:
        for _, _, status in client.results:
            counts[status] = counts.get(status, 0) + 1
    return counts


async def run_in_time(case, world):
    """Runs a case; it is cancelled by SIGTERM and when it takes too long."""
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(case(world))
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    loop.call_later(RUN_MAX_S, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise CannotRun("ended from outside, or took too long") from None


def run(case):
    """Runs case(world), which returns whether the rule was broken, and exits with 1, 0 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    world = World()
    status = 2
    try:
        status = 1 if asyncio.run(run_in_time(case, world)) else 0
    except Exception as error:  # status 1 is for a broken rule alone
        world.record(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}", file=sys.stderr)
    finally:
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(world.lines) + "\n")
    sys.exit(status)
