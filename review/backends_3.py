"""Sound backends for the cases 12 to 15, and a client. A backend records what it ran and answered."""

import hashlib
import socket
import threading
import time

STAMP = "Oleanderstile-Server-Stamp"
ATTEMPT = "Oleanderstile-Attempt-Id"


def read_head(stream):
    """The first line and the headers of a message; None at the end of the stream."""
    first = stream.readline()
    if not first:
        return None, {}
    headers = {}
    while True:
        line = stream.readline().decode("latin-1").rstrip("\r\n")
        if not line:
            return first.decode("latin-1").rstrip("\r\n"), headers
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()


def body_of(attempt, size):
    """The body of the answer to an attempt, which is different for each."""
    unit = hashlib.sha256(attempt.encode()).hexdigest().encode()
    return (unit * (size // len(unit) + 1))[:size]


class Backend:
    """One backend; answer (backend, connection, first line, headers, body) sends its answers and
    returns whether the connection stays open."""

    def __init__(self, host, port, service, zone, number, answer, slots=6):
        self.id = "i-%s-%d" % (service, number)
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.answer = answer
        self.slots = threading.Semaphore(slots)
        self.slot_count = slots
        self.lock = threading.Lock()
        self.running = 0
        self.runs = {}
        self.open = True
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(200)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {"id": self.id, "service": self.service, "address": "%s:%d" % (self.host, self.port),
                "zone": self.zone, "version": "v1", "slots": self.slot_count, "state": "ready",
                "warmup_left_ms": 0, "born": 1700000000000}

    def accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def load(self):
        return "%d,0,%d" % (self.running, self.slot_count)

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while self.open:
                first, headers = read_head(stream)
                if first is None:
                    return
                body = stream.read(int(headers.get("content-length", "0")))
                if first.startswith("GET /health "):
                    connection.sendall(("HTTP/1.1 200 OK\r\nOleanderstile-Instance-Id: %s\r\n"
                                        "Oleanderstile-Server-Load: %s\r\nContent-Length: 0\r\n\r\n"
                                        % (self.id, self.load())).encode())
                    continue
                target = headers.get("oleanderstile-target-instance", self.id)
                if target != self.id:
                    connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                                       b"Oleanderstile-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                with self.slots:
                    with self.lock:
                        self.running += 1
                        attempt = headers.get(ATTEMPT.lower(), "")
                        self.runs[attempt] = self.runs.get(attempt, 0) + 1
                    try:
                        goes_on = self.answer(self, connection, first, headers, body)
                    finally:
                        with self.lock:
                            self.running -= 1
                if not goes_on:
                    return
        except OSError:
            pass
        finally:
            connection.close()

    def close(self):
        self.open = False
        self.listener.close()


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.problem = "no answer"


def send_request(host, port, method, path, name, attempt, deadline_ms, body=b"", timeout=20):
    """A client's request on a connection of its own."""
    answer = Answer()
    try:
        with socket.create_connection((host, port), timeout=timeout) as connection:
            connection.settimeout(timeout)
            head = ("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nOleanderstile-Deadline-Ms: %d\r\n"
                    % (method, path, name, ATTEMPT, attempt, deadline_ms))
            if body:
                head += "Content-Length: %d\r\n" % len(body)
            connection.sendall(head.encode() + b"\r\n" + body)
            stream = connection.makefile("rb")
            first, answer.headers = read_head(stream)
            if first is None:
                answer.problem = "connection closed"
                return answer
            answer.status = int(first.split(" ")[1])
            length = int(answer.headers.get("content-length", "0"))
            answer.body = stream.read(length)
            answer.complete = len(answer.body) == length
            answer.problem = "" if answer.complete else "broken off"
    except OSError as error:
        answer.problem = str(error)
    return answer


def wait_ready(deployment, machine, seconds):
    """Whether an edge machine becomes ready."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        answer = send_request(machine.host, deployment.ready_port, "GET", "/readiness", "x", "r", 1000,
                              timeout=1)
        if answer.status == 200:
            return True
        time.sleep(0.1)
    return False
