"""Stand-ins for the peers of a relay, and the relay's process. Standard library only.

Everything listens on 127.0.0.1. All times in the record are seconds since the start of the case, on the
monotonic clock. One request at a time is sent on each client connection, as the protocol page says.
"""
import json
import os
import re
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_WAIT = 0.4  # a client waits 400 ms for the answer


class CannotRun(Exception):
    """The case could not be set up; says nothing about the relay."""


class Record:
    """The events of a case in order; written to record.txt beside run.sh."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.events = []
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def add(self, kind, **fields):
        with self.lock:
            at = self.now()
            self.events.append((at, kind, fields))
            text = " ".join(f"{key}={value}" for key, value in fields.items())
            self.file.write(f"{at:9.4f} {kind} {text}\n")
            self.file.flush()
            return at

    def of(self, *kinds):
        with self.lock:
            return [event for event in self.events if event[1] in kinds]


def free_port():
    """Returns a port that was free a moment ago and is outside the range of automatic ports."""
    for _ in range(200):
        port = 20000 + secrets.randbelow(10000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class HttpConnection:
    """Reads HTTP requests or responses from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def read_head(self):
        """Returns (first line, headers), or None at the end of the stream."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_body(self, length):
        while len(self.buffer) < length:
            data = self.sock.recv(65536)
            if not data:
                return None
            self.buffer += data
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return body


def answer(sock, status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Server:
    """Accepts connections and runs `serve` for each in a thread of its own."""

    def __init__(self, port=0):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.closing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closing:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(sock,), daemon=True).start()

    def guard(self, sock):
        try:
            with sock:
                self.serve(HttpConnection(sock))
        except OSError:
            pass

    def serve(self, connection):
        raise NotImplementedError


class Platform(Server):
    """Discovery's agent and the receiver of notices, as the protocol page describes them."""

    def __init__(self, record, endpoints):
        self.record = record
        self.index = 41
        self.endpoints = {entry["name"]: dict(entry) for entry in endpoints}
        self.changes = []  # (index, entry)
        self.changed = threading.Condition()
        self.silent = False
        super().__init__()

    def whole_list(self):
        listed = [entry for entry in self.endpoints.values() if entry["status"] != "gone"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def publish(self, name, status):
        with self.changed:
            self.index += 1
            self.endpoints[name]["status"] = status
            self.changes.append((self.index, dict(self.endpoints[name])))
            self.changed.notify_all()
        return self.record.add("list_changed", index=self.index, name=name, status=status)

    def set_silent(self, silent):
        """While discovery is down its agent accepts connections and says nothing."""
        with self.changed:
            self.silent = silent
            self.changed.notify_all()
        self.record.add("discovery", state="down" if silent else "up")

    def serve(self, connection):
        while True:
            head = connection.read_head()
            if head is None:
                return
            line, headers = head
            body = connection.read_body(int(headers.get("content-length", "0")))
            if body is None:
                return
            method, target, _ = line.split(" ", 2)
            if method == "POST" and target == "/v2/finals":
                for notice in body.decode().splitlines():
                    fields = json.loads(notice)
                    self.record.add("notice", id=fields["id"], status=fields["status"],
                                    again_ms=fields.get("again_ms"))
                answer(connection.sock, 204)
                continue
            with self.changed:
                self.changed.wait_for(lambda: not self.silent)
            if "follow=1" in target:
                self.watch(connection.sock, int(target.split("since=")[1].split("&")[0]))
                return
            text = json.dumps(self.whole_list()).encode()
            self.record.add("list_told", index=self.index, how="fetch")
            answer(connection.sock, 200, body=text)

    def watch(self, sock, since):
        sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = since
        with self.changed:
            if since < 41 or since > self.index:
                message = self.whole_list()
            else:
                entries = [entry for index, entry in self.changes if index > since]
                message = {"index": self.index, "snapshot": False, "endpoints": entries}
            told = self.index
        self.chunk(sock, json.dumps(message), message)
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.index > told and not self.silent, timeout=2)
                if self.silent:
                    continue
                entries = [entry for index, entry in self.changes if index > told]
                message = {"index": self.index, "snapshot": False, "endpoints": entries}
                told = self.index
            if entries:
                self.chunk(sock, json.dumps(message), message)
            else:
                self.chunk(sock, "", None)

    def chunk(self, sock, text, message):
        data = text.encode() + b"\n"
        sock.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        if message is not None:
            named = ",".join(f"{entry['name']}:{entry['status']}" for entry in message["endpoints"])
            self.record.add("list_told", index=message["index"], how="watch", entries=named)


class Endpoint(Server):
    """An endpoint. `decide(call)` returns what to do: see run_call()."""

    def __init__(self, record, name, group, kind, zone="building-a", weight=1.0, port=0):
        self.record = record
        self.name = name
        self.group = group
        self.kind = kind
        self.zone = zone
        self.weight = weight
        self.max_body = 64 * 1024  # a body holds 64 KiB at most
        self.bundle_max = 1
        self.work_seconds = 0.2
        self.calls = 0
        self.lock = threading.Lock()
        super().__init__(port)

    def entry(self, status="ready"):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
                "group": self.group, "status": status, "weight": self.weight, "since_ms": 0}

    def decide(self, ids):
        """Returns (status, headers) for a call with these messages, or None for no answer at all."""
        return 200, ()

    def serve(self, connection):
        while True:
            head = connection.read_head()
            if head is None:
                return
            line, headers = head
            length = int(headers.get("content-length", "0"))
            first_byte = self.record.now()
            body = connection.read_body(length)
            if body is None:
                return
            target = line.split(" ", 2)[1]
            self.run_call(connection.sock, target, headers, body, first_byte)

    def run_call(self, sock, target, headers, body, first_byte):
        is_bundle = target == "/events/bundle"
        entries = json.loads(body) if is_bundle and len(body) <= self.max_body else []
        ids = [entry["id"] for entry in entries] if is_bundle else [headers.get("x-request-id")]
        with self.lock:
            self.calls += 1
            number = self.calls
        self.record.add("call", endpoint=self.name, number=number, target=target, body_bytes=len(body),
                        ids=",".join(ids), first_byte=f"{first_byte:.4f}")
        if len(body) > self.max_body or len(ids) > (self.bundle_max if is_bundle else 1):
            return self.finish(sock, number, 413, (), b"")
        decision = self.decide(ids)
        if decision is None:
            self.record.add("no_answer", endpoint=self.name, number=number)
            while sock.recv(65536):  # until the relay gives the call up
                pass
            raise OSError("given up")
        status, extra = decision
        if status == 200:
            time.sleep(self.work_seconds)
            for message_id in ids:
                self.record.add("ran", endpoint=self.name, number=number, id=message_id)
        states = [{"id": message_id, "state": "done"} for message_id in ids]
        reply = json.dumps(states).encode() if is_bundle and status == 200 else b""
        self.finish(sock, number, status, extra, reply)

    def finish(self, sock, number, status, headers, body):
        self.record.add("call_answered", endpoint=self.name, number=number, status=status)
        answer(sock, status, headers, body)


class Relay:
    """The relay's process, started with the command `run` of the deploy file."""

    def __init__(self, record, folder, name, platform, settings, known, limits=None):
        self.record = record
        self.name = name
        self.folder = folder
        self.state = os.path.join(folder, name + "-state")
        os.makedirs(self.state, exist_ok=True)
        self.port = free_port()
        self.platform = platform
        self.settings = settings
        self.known = known
        self.limits = limits or {"cores": 1.0, "memory_mb": 128, "sockets": 512, "disk_mb": 3}
        self.process = None
        self.processes = []  # all that were started, also by upgrades
        self.starts = 0
        self.operator = False
        self.op = None
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            self.command = re.search(r'^run *= *"([^"]*)"', file.read(), re.MULTILINE).group(1)

    def start(self, wait_ready=True):
        self.starts += 1
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.platform.address,
                  "seed": secrets.token_hex(8), "limits": self.limits, "known": self.known,
                  "settings": self.settings}
        if self.operator:
            self.op = free_port()  # each process has an operators' address of its own
            config["operator"] = f"127.0.0.1:{self.op}"
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        scratch = os.path.join(self.folder, f"{self.name}-tmp{self.starts}")
        os.makedirs(scratch)
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN=config["listen"],
                           LB_DISCOVERY=config["discovery"], LB_STATE=self.state, LB_CONFIG=path,
                           TMPDIR=scratch)
        log = open(os.path.join(self.folder, self.name + ".log"), "a", encoding="utf-8")
        self.process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment,
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append(self.process)
        self.record.add("relay_started", name=self.name, pid=self.process.pid)
        if wait_ready:
            self.wait_until_ready()

    def wait_until_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if self.health() == 200:
                self.record.add("relay_ready", name=self.name)
                return
            time.sleep(0.02)
        raise CannotRun(f"{self.name} is not ready")

    def health(self):
        try:
            with socket.create_connection(("127.0.0.1", self.port), timeout=1) as sock:
                sock.sendall(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
                head = HttpConnection(sock).read_head()
                return int(head[0].split(" ")[1]) if head else None
        except OSError:
            return None

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.record.add("relay_killed", name=self.name)

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8") as file:
            return file.read()


class Client:
    """Hands in messages on one connection, one at a time."""

    def __init__(self, record, relay):
        self.record = record
        self.relay = relay
        self.sock = None
        self.connection = None

    def close(self):
        if self.sock:
            self.sock.close()
        self.sock = None

    def submit(self, message_class, dest, deadline_ms, body=b"hello", message_id=None, retry=False):
        """Returns (id, status); the status is None if there was no answer within 400 ms."""
        message_id = message_id or secrets.token_hex(8)
        self.record.add("handed_in", id=message_id, message_class=message_class, dest=dest,
                        deadline_ms=deadline_ms, body_bytes=len(body), relay=self.relay.name)
        head = (f"POST /{message_class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {message_id}\r\n"
                f"X-Class: {message_class}\r\nX-Deadline: {deadline_ms}m\r\n"
                f"Content-Length: {len(body)}\r\nX-Consignee: dest={dest}\r\n"
                + ("X-Retry: 1\r\n" if retry else "") + "\r\n")
        status = None
        try:
            if self.sock is None:
                self.sock = socket.create_connection(("127.0.0.1", self.relay.port), timeout=CLIENT_WAIT)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connection = HttpConnection(self.sock)
            self.sock.settimeout(CLIENT_WAIT)
            self.sock.sendall(head.encode() + body)
            answered = self.connection.read_head()
            if answered:
                line, headers = answered
                status = int(line.split(" ")[1])
                self.connection.read_body(int(headers.get("content-length", "0")))
                if headers.get("connection", "").lower() == "close":
                    self.close()
            else:
                self.close()
        except OSError:
            self.close()
        self.record.add("answered", id=message_id, status=status)
        return message_id, status


def site_settings(**changes):
    """Settings like those of the sample on the wire page, for a small deployment."""
    settings = {
        "Classes": [
            {"Deadline": 8000000, "Group": "all", "Idempotency": "read_like", "LateWorth": 0.1,
             "Name": "status-update", "Points": 1.0, "Stream": False, "Target": 1500000, "Window": 5000000},
            {"Deadline": 16000000, "Group": "all", "Idempotency": "non_idempotent", "LateWorth": 0.5,
             "Name": "charge", "Points": 3.0, "Stream": False, "Target": 2000000, "Window": 5000000}],
        "ClientHabits": {"MarksRetry": True},
        "Costs": {"Connection": 0.0, "CrossZone": 0.033, "Discovery": 0.0, "Handshake": 0.04,
                  "LateFail": 0.04, "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.01, "Waste": 0.043},
        "Discovery": "automatic",
        "FailureDomains": ["building-a", "building-b"],
        "Family": "deliver",
        "FamilyInfo": {"BundleMax": [10, 1, 1], "Decay": "line",
                       "ReportX0": "share of the allowance that is left",
                       "ReportX1": "calls a second that the limit allows; 0 where there is none",
                       "RoutesApart": [False, False, False], "Toll": [0.0, 0.0], "TurnedAwayPrice": 0.05,
                       "Workers": 16},
        "GroupSize": 1,
        "HostTypes": ["newspaper", "reseller", "payment-provider"],
        "Limits": {"Cancelling": True, "ConnIdle": 5000000, "ConnectTimeout": 1000000,
                   "CpuUsPerRequest": 0.0, "CpuUsPerS": 75000, "MaxAttempts": 6, "MaxRetryAfter": 3000000,
                   "MaxStreams": 8, "OpenCap": 320, "Peers": False, "Probes": True, "RetryAfter": True,
                   "SecondCopies": False},
        "Locality": "building-a",
        "OverShareWorth": 0.1,
        "Rank": 0,
        "Report": {"Fields": ["x0", "x1"], "How": "answers"},
        "ResultMix": {"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.4},
        "Rules": {"AnswerSlack": 20000, "Cold": 10000000, "ColdFrom": 0.19, "DrainGrace": 2000000,
                  "FallMultiple": 2.0, "MustAskIn": 10000000, "OverloadFor": 1500000},
        "Tenants": [], "Tick": 5000, "Tier": 0, "Tiers": ["partner-systems"], "ValueBy": "request",
        "WeightKind": "rough"}
    for path, value in changes.items():
        target = settings
        *parents, last = path.split("__")
        for parent in parents:
            target = target[parent]
        target[last] = value
    return settings


# Statuses of a case's process. run.sh turns them into 1, 0 and 2, and any other status into 2.
BROKEN, HELD, NOT_RUN = 10, 0, 2


def interrupt(number, _):
    raise CannotRun(f"ended by signal {number}")


def run_case(folder, case):
    """Runs `case(record, scratch, relays)`, which returns the list of breaches of the rule, and exits with the
    status of the result."""
    signal.signal(signal.SIGTERM, interrupt)
    record = Record(os.path.join(folder, "record.txt"))
    record.add("case", trouble=int(TROUBLE))
    scratch = tempfile.mkdtemp(prefix="relay-case-")
    relays = []
    status = NOT_RUN
    try:
        breaches = case(record, scratch, relays)
        for breach in breaches:
            record.add("BROKEN", what=breach)
        status = BROKEN if breaches else HELD
    except BaseException as error:  # pylint: disable=broad-except
        record.add("could_not_run", error=repr(error))
    finally:
        for process in [process for relay in relays for process in relay.processes]:
            if process.poll() is None:
                process.kill()
                process.wait()
        for relay in relays:
            try:
                for line in relay.log_text().splitlines():
                    record.add("log", relay=relay.name, line=line)
            except OSError:
                pass
        record.add("result", status={BROKEN: "broken", HELD: "held", NOT_RUN: "not run"}[status])
        shutil.rmtree(scratch, ignore_errors=True)
        os._exit(status)


class Destination:
    """A destination with several endpoints that share one capacity, and its outages.

    After an outage it has `cold_from` of its capacity, which grows evenly to all of it within `cold` seconds.
    It falls when it gets more calls in `window` seconds than the settings allow it then, with the slack for
    chance of the fleet page: N + 2 x root of N + 2 (N under 30: N + 3 x root of N + 3).
    """

    def __init__(self, record, group, kind, capacity, endpoint_count, settings):
        self.record = record
        self.capacity = capacity
        rules = settings["Rules"]
        self.cold_from = rules["ColdFrom"]
        self.cold = rules["Cold"] / 1e6
        self.multiple = rules["FallMultiple"]
        self.window = rules["OverloadFor"] / 1e6
        self.outage = None  # how calls end during an outage: "hung" or "failing"
        self.returned_at = None
        self.outage_seen = False  # a call of the relay has failed during the outage
        self.fallen = False
        self.arrivals = []
        self.lock = threading.Lock()
        self.endpoints = []
        for number in range(endpoint_count):
            endpoint = Endpoint(record, f"s-{group}-{number}", group, kind, weight=float(capacity))
            endpoint.decide = self.decide
            self.endpoints.append(endpoint)

    def begin_outage(self, how):
        self.outage = how
        self.record.add("outage_begins", how=how)

    def end_outage(self):
        self.returned_at = self.record.now()
        self.outage = None
        self.record.add("outage_ends", capacity=f"{self.capacity_at(self.returned_at):.2f}")

    def capacity_at(self, at):
        if self.returned_at is None:
            return self.capacity
        warmth = min(1.0, (at - self.returned_at) / self.cold)
        return self.capacity * (self.cold_from + (1 - self.cold_from) * warmth)

    def limit_at(self, at):
        allowed = self.multiple * self.capacity_at(at) * self.window
        factor = 3 if allowed < 30 else 2
        return allowed + factor * allowed ** 0.5 + factor

    def decide(self, ids):
        with self.lock:
            at = self.record.now()
            if self.outage:
                self.outage_seen = True
                return None if self.outage == "hung" else (500, ())
            self.arrivals.append(at)
            since_return = self.returned_at if self.returned_at is not None else 0.0
            recent = [a for a in self.arrivals if a > max(at - self.window, since_return)]
            limit = self.limit_at(at)
            if len(recent) > limit and not self.fallen:
                self.fallen = True
                self.record.add("FELL", calls=len(recent), within_s=self.window, limit=f"{limit:.1f}",
                                capacity=f"{self.capacity_at(at):.2f}")
        return None if self.fallen else (200, ())
