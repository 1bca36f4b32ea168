"""Stand-ins for everything around an edge node, on loopback addresses and real sockets: discovery
agent, counter, price servers, clients, and the platform that starts and ends the node. They follow
PROTOCOL-petrelrail.md and DEPLOY-petrelrail.md; a case adds its own disruption."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MOST_SECONDS = 115  # of a case


class CannotRun(Exception):
    pass


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Listener:
    """Accepts connections; each is served by `serve(socket)` on a thread of its own."""

    def __init__(self, serve):
        self.serve = serve
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self.serve(connection)
        except OSError:
            pass
        finally:
            connection.close()


class Reader:
    """Buffered reading of HTTP messages from a socket."""

    def __init__(self, connection):
        self.socket = connection
        self.buffer = b""

    def fill(self):
        data = self.socket.recv(65536)
        self.buffer += data
        return len(data) > 0

    def head(self):
        """First line and fields (lower-case names) of the next message; None at the end."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.fill():
                return None
        text, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = text.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, length):
        """That many bytes, or what came before the end."""
        while len(self.buffer) < length:
            if not self.fill():
                break
        data, self.buffer = self.buffer[:length], self.buffer[length:]
        return data

    def line(self):
        while b"\r\n" not in self.buffer:
            if not self.fill():
                return None
        text, self.buffer = self.buffer.split(b"\r\n", 1)
        return text

    def body(self, fields):
        """The body of a message with these fields, and whether it is whole."""
        if fields.get("transfer-encoding", "").lower() == "chunked":
            data = b""
            while True:
                size = self.line()
                if size is None:
                    return data, False
                length = int(size.split(b";")[0], 16)
                if length == 0:
                    while True:
                        trailer = self.line()
                        if trailer is None:
                            return data, False
                        if trailer == b"":
                            return data, True
                part = self.exactly(length)
                data += part
                if len(part) < length or self.line() is None:
                    return data, False
        if "content-length" in fields:
            length = int(fields["content-length"])
            data = self.exactly(length)
            return data, len(data) == length
        return b"", True


def answer(status, body=b"", fields=""):
    return ("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n" % (status, fields, len(body))).encode() + body


class Request:
    """A request as a price server got it."""

    def __init__(self, line, fields):
        self.method, self.target, _ = line.split(" ")
        self.fields = fields
        self.id = fields.get("x-request-id", "")
        self.body = b""
        self.whole = False


class PriceServer:
    """Reads requests one after another on each connection and calls `handle(request, socket)` when
    the last byte of one has arrived."""

    def __init__(self, name, handle):
        self.name = name
        self.handle = handle
        self.listener = Listener(self._serve)

    def _serve(self, connection):
        reader = Reader(connection)
        while True:
            head = reader.head()
            if head is None:
                return
            request = Request(*head)
            request.body, request.whole = reader.body(request.fields)
            if not request.whole:
                return
            self.handle(request, connection)

    def member(self, phase="SERVING"):
        return {"id": self.name, "host_port": self.listener.address, "locality": "north-building",
                "flavor": "standard-4core", "cell": 1, "phase": phase, "size": 1.0, "up_since_ms": 0}


class Agent:
    """The discovery agent: whole lists, and watches with an empty line every 2 s."""

    def __init__(self, members):
        self.revision = 41
        self.members = members
        self.listener = Listener(self._serve)
        self.address = self.listener.address

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def _serve(self, connection):
        reader = Reader(connection)
        head = reader.head()
        if head is None:
            return
        target = head[0].split(" ")[1]
        if "watch=1" not in target:
            connection.sendall(answer("200 OK", json.dumps(self.list()).encode(), "Connection: close\r\n"))
            return
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        line = json.dumps(self.list()) + "\n"
        while True:
            data = line.encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
            time.sleep(2)
            line = "\n"


class Counter:
    """The counter: adds to names that live for the time that their first call gave."""

    def __init__(self):
        self.counts = {}
        self.lock = threading.Lock()
        self.listener = Listener(self._serve)
        self.address = self.listener.address

    def _serve(self, connection):
        reader = Reader(connection)
        while True:
            line = reader.line()
            if line is None:
                return
            connection.sendall(self.reply(line.decode("latin-1").split(" ")))

    def reply(self, words):
        if words == ["ping"]:
            return b"pong\r\n"
        if len(words) != 4 or words[0] != "incr":
            return b"error\r\n"
        now = time.monotonic()
        with self.lock:
            total, end = self.counts.get(words[1], (0.0, 0.0))
            if end <= now:
                total, end = 0.0, now + min(60.0, int(words[3]) / 1000)
            total += float(words[2])
            self.counts[words[1]] = (total, end)
        return b"ok %s\r\n" % (b"%.7g" % total)


def request_class(name, idempotency, on_time_s, deadline_s):
    return {"gain": 1.0, "group": "all", "hard-limit-ns": int(deadline_s * 1e9), "idempotency": idempotency,
            "late-worth": 0.0, "memory-span-ns": 5000000000, "name": name, "on-time-ns": int(on_time_s * 1e9),
            "streamed": False}


def settings(classes):
    """The example of WIRE-petrelrail.md with these classes and plans that this load stays under."""
    return {
        "az": "north-building",
        "ceilings": {"cancel": True, "connect-timeout-ns": 250000000, "cpu-us-per-request": 0.0,
                     "cpu-us-per-s": 400000, "keepalive-ns": 30000000000, "max-attempts": 3, "max-open": 20000,
                     "max-retry-after-ns": 1000000000, "peer-messages": True, "probes": False,
                     "retry-after": True, "second-copies": True, "streams-per-conn": 32},
        "clients": {"marks-retry": True},
        "discovery": "push",
        "extra": {"count-limit-ns": 50000000, "counter": True, "counter-price": 0.02, "inbox-per-s": 60.0,
                  "max-units": 1, "metering-ns": 0, "trued-up": False},
        "family": "gate", "fleet-size": 3,
        "goal": {"whole": 0.5, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.25},
        "grades": classes,
        "host-types": ["standard-4core"], "index": 0, "layer": 0,
        "load-report": {"fields": [], "how": "off"},
        "packages": [{"cap-depth": 0.0, "ceiling-rate": 0.0, "max-out": 0, "name": "standard", "over-worth": 0.0,
                      "overrun-cost": 0.8, "store-size": 60.0, "tolerance": 0.0, "units-per-s": 20.0,
                      "value-factor": 1.2}],
        "prices": {"connection": 0.0, "cross-zone": 0.005, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.03,
                   "moves": 0.0, "origin": 0.0, "peer": 0.02, "probe": 0.0, "waste": 0.03},
        "safety": {"answer-slack-ns": 16000000, "drain-grace-ns": 1000000000, "fall-multiple": 2.5,
                   "fall-ns": 1000000000, "must-ask-in-ns": 10000000000, "start-capacity": 0.24,
                   "warm-within-ns": 18000000000},
        "tick-ns": 4000000, "tiers": ["price-servers"], "weights": "rough",
        "zones": ["north-building", "south-building", "annex"]}


def free_address():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % s.getsockname()[1]


class Platform:
    """Starts edge nodes with `run` of deploy/balancer.toml and ends them."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="petrelrail-review-")
        self.processes = []

    def command(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            for line in file:
                if line.startswith("run"):
                    return line.split('"')[1]
        raise CannotRun("deploy/balancer.toml has no run")

    def start(self, classes, agent, counter):
        """Starts a node and returns the address of its clients once it says that it is ready."""
        if not os.access(os.path.join(ROOT, "build", "petrelrail"), os.X_OK):
            raise CannotRun("build/petrelrail is missing")
        listen = free_address()
        config = {"name": "n0", "listen": listen, "discovery": agent.address, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                  "peer_listen": free_address(), "peers": [free_address() for _ in range(3)],
                  "peers_all": free_address(), "counter": counter.address, "known": agent.list(),
                  "settings": settings(classes)}
        path = os.path.join(self.folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        own = os.path.join(self.folder, "tmp")
        os.mkdir(own)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("GW_")}
        environment.update(GW_NAME="n0", GW_LISTEN=listen, GW_DISCOVERY=agent.address, GW_CONFIG=path, TMPDIR=own)
        log = open(os.path.join(self.folder, "log"), "wb")
        process = subprocess.Popen(["/bin/sh", "-c", self.command()], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.processes.append(process)
        self.record("platform: an edge node is started, its clients connect to %s" % listen)
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if process.poll() is not None:
                raise CannotRun("the edge node has ended: " + self.log())
            try:
                with connect(listen, 2) as probe:
                    probe.sendall(b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                    head = Reader(probe).head()
                    if head and " 200 " in head[0] + " ":
                        self.record("platform: the edge node is ready")
                        return listen
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun("the edge node is not ready after 30 s")

    def log(self):
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def crashed(self):
        return any(p.poll() is not None for p in self.processes)

    def end(self):
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGKILL)
            p.wait()
        for line in self.log().splitlines() if os.path.exists(os.path.join(self.folder, "log")) else []:
            self.record("edge node's log: " + line)
        shutil.rmtree(self.folder, ignore_errors=True)


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    s = socket.socket()
    s.settimeout(timeout)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        s.connect((host, int(port)))
    except OSError:
        s.close()
        raise
    return s


def head_of(method, name, request_id, customer, timeout_ms, extra=""):
    return ("%s /%s?fund=7 HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"
            "X-Plan: standard\r\nCookie: client=%016x\r\nX-Timeout-Ms: %d\r\n"
            "X-Quota: units=1,spread=3,first=0\r\n%s\r\n"
            % (method, name, request_id, name, customer, timeout_ms, extra)).encode()


def new_id():
    return os.urandom(8).hex()


def run_case(case):
    """Runs `case(record, platform, trouble)`, which returns the breaks that it saw, and exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("the disruption is " + ("on" if trouble else "off"))
    platform = Platform(record)
    status = CANNOT_RUN

    def give_up(reason):
        record("the case could not run: " + reason)
        platform.end()
        os._exit(CANNOT_RUN)

    watchdog = threading.Timer(MOST_SECONDS, give_up, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda received, _: give_up("signal %d came" % received))
    try:
        breaks = case(record, platform, trouble)
        if platform.crashed():
            breaks.append("the edge node has ended by itself")
        for b in breaks:
            record("BROKEN: " + b)
        for b in breaks[:3]:
            print("broken: " + b)
        if len(breaks) > 3:
            print("broken: %d times in all, see record.txt" % len(breaks))
        status = BROKEN if breaks else HELD
    except Exception as x:  # also a fault of the case itself: it says nothing about the edge node
        record("the case could not run: %r" % x)
        print("the case could not run: %r" % x)
    watchdog.cancel()
    platform.end()
    record("exit %d" % status)
    sys.stdout.flush()
    os._exit(status)
