"""Stand-ins for clients, endpoints and the platform, and the relay's process, for the cases 6 to 10.

Every address is a loopback address. The stand-ins keep to the protocol page; where it is silent they behave
like a sound server, client or platform. Times are seconds of the steady clock.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_PATIENCE = 0.4  # protocol page: the client waits 400 ms for the answer
NOTICE_GRACE = 0.35  # protocol page: 300 ms, and each time limit 50 ms longer
RESTART_GRACE = 1.5  # protocol page: no notice is overdue until 1.5 s after the relay is ready again


def now():
    return time.monotonic()


def free_port():
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(18000, 30000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


def settings(**changes):
    """The settings of the wire page's example, which is a small deployment with three kinds of partners."""
    value = {
        "Classes": [
            {"Deadline": 8000000, "Group": "all", "Idempotency": "read_like", "LateWorth": 0.1,
             "Name": "status-update", "Points": 1.0, "Stream": False, "Target": 1500000, "Window": 5000000},
            {"Deadline": 16000000, "Group": "all", "Idempotency": "non_idempotent", "LateWorth": 0.5,
             "Name": "charge", "Points": 3.0, "Stream": False, "Target": 2000000, "Window": 5000000}],
        "ClientHabits": {"MarksRetry": True},
        "Discovery": "automatic",
        "FailureDomains": ["building-a", "building-b"],
        "Family": "deliver",
        "FamilyInfo": {"BundleMax": [10, 1, 1], "Decay": "line", "RoutesApart": [False, False, False],
                       "Toll": [0.0, 0.0], "TurnedAwayPrice": 0.05, "Workers": 16},
        "GroupSize": 2,
        "HostTypes": ["newspaper", "reseller", "payment-provider"],
        "Limits": {"Cancelling": True, "ConnIdle": 5000000, "ConnectTimeout": 1000000, "CpuUsPerRequest": 0.0,
                   "CpuUsPerS": 75000, "MaxAttempts": 6, "MaxRetryAfter": 3000000, "MaxStreams": 8,
                   "OpenCap": 320, "Peers": False, "Probes": True, "RetryAfter": True, "SecondCopies": False},
        "Locality": "building-a",
        "Rank": 0,
        "Report": {"Fields": ["x0", "x1"], "How": "answers"},
        "Rules": {"AnswerSlack": 20000, "Cold": 10000000, "ColdFrom": 0.19, "DrainGrace": 2000000,
                  "FallMultiple": 2.0, "MustAskIn": 10000000, "OverloadFor": 1500000},
        "Tenants": [],
        "Tick": 5000,
        "Tier": 0,
        "Tiers": ["partner-systems"],
        "WeightKind": "rough"}
    value.update(changes)
    return value


class Record:
    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", buffering=1) if path else None
        self.lines = 0

    def __call__(self, *words):
        self.lines += 1
        if self.file:
            self.file.write("%9.4f %s\n" % (now() - self.start, " ".join(str(w) for w in words)))


class Headers(dict):
    pass


async def read_head(reader):
    """Returns (first line, headers), or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = Headers()
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Endpoint:
    """One endpoint. `behave` is a coroutine function (endpoint, call) that writes the answer."""

    def __init__(self, record, name, group, kind="payment-provider", zone="building-a"):
        self.record = record
        self.name, self.group, self.kind, self.zone = name, group, kind, zone
        self.port = free_port()
        self.status = "ready"
        self.behave = None
        self.latency = (0.16, 0.27)
        self.calls = []  # every call whose last byte has arrived
        self.server = None
        self.writers = set()
        self.on_call = None

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def entry(self):
        return {"name": self.name, "address": self.address, "zone": self.zone, "type": self.kind,
                "group": self.group, "status": self.status, "weight": 20.0, "since_ms": 0}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 20)

    def stop(self):
        """The endpoint's process dies: its connections are reset, new ones are refused."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = line.split(" ")[1]
                if target == "/events/bundle":
                    entries = json.loads(body)
                    messages = [(e["id"], base64.b64decode(e["body"])) for e in entries]
                else:
                    messages = [(headers.get("x-request-id"), body)]
                call = {"at": now(), "ids": [m[0] for m in messages], "bodies": [m[1] for m in messages],
                        "bundle": target == "/events/bundle", "writer": writer, "answered": None, "ran": set(),
                        "open": True, "endpoint": self.name, "target": target, "closed_at": None}
                self.calls.append(call)
                self.record("call", self.name, target, *call["ids"])
                if self.on_call:
                    self.on_call(call)
                watcher = asyncio.ensure_future(self.behave_or_default(call, writer))
                eof = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({watcher, eof}, return_when=asyncio.FIRST_COMPLETED)
                if eof.done():
                    call["closed_at"] = now()
                    self.record("gone", self.name, *call["ids"])
                    call["open"] = False
                    await watcher
                    return
                keep = watcher.result()
                eof.cancel()
                try:
                    await eof
                except asyncio.CancelledError:
                    pass
                call["open"] = False
                call["closed_at"] = now()
                if keep is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def behave_or_default(self, call, writer):
        if self.behave:
            return await self.behave(self, call)
        await asyncio.sleep(random.uniform(*self.latency))
        return await self.answer(call)

    def run(self, call):
        """The endpoint executes the call's messages."""
        call["ran"] = set(call["ids"])
        self.record("ran", self.name, *call["ids"])

    async def answer(self, call, status=200, headers=(), run=True, states=None):
        if status == 200 and run:
            self.run(call)
        body = b""
        if status == 200 and call["bundle"]:
            body = json.dumps([{"id": i, "state": (states or {}).get(i, "done")} for i in call["ids"]]).encode()
        reason = {200: "OK", 429: "Too Many Requests", 500: "Error", 503: "Unavailable"}.get(status, "X")
        head = "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n" % (
            status, reason, "".join("%s: %s\r\n" % h for h in headers), len(body))
        try:
            call["writer"].write(head.encode() + body)
            await call["writer"].drain()
        except ConnectionError:
            return False
        call["answered"] = (status, now())
        self.record("answer", self.name, status, *call["ids"])
        return True


class Platform:
    """Discovery and the address of the notices."""

    def __init__(self, record, endpoints):
        self.record, self.endpoints = record, endpoints
        self.port = free_port()
        self.index = 41
        self.watchers = set()
        self.connections = set()
        self.notices = []  # (time, id, status)
        self.silent = False
        self.server = None

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    def snapshot(self):
        return {"index": self.index, "snapshot": True, "endpoints": [e.entry() for e in self.endpoints]}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 22)

    def retire(self):
        """After SIGHUP: no new connections, and the open ones are closed after 1.5 s."""
        self.server.close()
        asyncio.get_running_loop().call_later(1.5, lambda: [w.transport.abort() for w in list(self.connections)])

    def announce(self, endpoint, status):
        endpoint.status = status
        self.index += 1
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [endpoint.entry()]})
        self.record("discovery", endpoint.name, status)
        for writer in list(self.watchers):
            self.chunk(writer, line + "\n")

    def chunk(self, writer, text):
        if not self.silent:
            data = text.encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                method, target = line.split(" ")[:2]
                if method == "POST":
                    for text in body.decode().splitlines():
                        notice = json.loads(text)
                        self.notices.append((now(), notice["id"], notice["status"]))
                        self.record("notice", notice["id"], notice["status"])
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif self.silent:
                    await asyncio.sleep(3600)
                elif "follow=1" in target:
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.chunk(writer, json.dumps(self.snapshot()) + "\n")
                    self.watchers.add(writer)
                    while True:
                        await asyncio.sleep(2)
                        self.chunk(writer, "\n")
                        await writer.drain()
                else:
                    text = json.dumps(self.snapshot()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.watchers.discard(writer)
            self.connections.discard(writer)
            writer.close()


class Relay:
    def __init__(self, record, platform, folder, name="n0", limits=None, settings_value=None, operator=True):
        self.record, self.platform, self.folder = record, platform, folder
        self.port = free_port()
        self.operator_port = free_port()
        self.state = os.path.join(folder, "state")
        os.makedirs(self.state, exist_ok=True)
        self.config_path = os.path.join(folder, "config.json")
        self.limits = limits or {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}
        self.settings = settings_value or settings()
        self.name = name
        self.known = platform.snapshot()
        self.process = None
        self.processes = []
        self.excused = []  # [from, until]: no notice is overdue
        self.log = open(os.path.join(folder, "relay.log"), "ab")
        self.seed = 0

    def write_config(self, operator_port=None):
        self.seed += 1
        config = {"name": self.name, "listen": "127.0.0.1:%d" % self.port, "discovery": self.platform.address,
                  "seed": "%016x" % (0x8c1f30d27a5be964 + self.seed), "limits": self.limits,
                  "operator": "127.0.0.1:%d" % (operator_port or self.operator_port),
                  "known": self.known, "settings": self.settings}
        temporary = self.config_path + ".new"
        with open(temporary, "w") as f:
            json.dump(config, f)
        os.rename(temporary, self.config_path)

    def run_command(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml")) as f:
            for line in f:
                if line.startswith("run"):
                    return line.split('"')[1]
        raise RuntimeError("no run command")

    def spawn(self, operator_port=None):
        self.write_config(operator_port)
        environment = dict(os.environ, LB_NAME=self.name, LB_LISTEN="127.0.0.1:%d" % self.port,
                           LB_DISCOVERY=self.platform.address, LB_STATE=self.state, LB_CONFIG=self.config_path,
                           TMPDIR=self.folder)
        process = subprocess.Popen(["/bin/sh", "-c", self.run_command()], cwd=ROOT, env=environment,
                                   stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.processes.append(process)
        self.record("start", process.pid)
        return process

    async def start(self, timeout=30):
        self.process = self.spawn()
        await self.until_ready(timeout)

    async def health(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), 0.5)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def until_ready(self, timeout=30):
        end = now() + timeout
        while now() < end:
            if await self.health():
                self.record("ready")
                return
            await asyncio.sleep(0.02)
        raise RuntimeError("the relay isn't ready")

    async def operator(self, line, port=None):
        reader, writer = await asyncio.open_connection("127.0.0.1", port or self.operator_port)
        writer.write(line.encode() + b"\n")
        reply = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
        self.record("operator", line, "->", reply.decode().strip())
        return reply.decode().strip()

    async def kill(self):
        self.record("SIGKILL", self.process.pid)
        self.excused.append([now(), float("inf")])
        self.process.kill()
        self.process.wait()

    async def terminate(self):
        """SIGTERM, SIGKILL 3.7 s later."""
        self.record("SIGTERM", self.process.pid)
        self.excused.append([now(), float("inf")])
        self.process.terminate()
        end = now() + 3.7
        while now() < end and self.process.poll() is None:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        await asyncio.sleep(max(0, end - now()))

    async def restart(self, graceful=False, pause=0.6):
        if graceful:
            await self.terminate()
        else:
            await self.kill()
        await asyncio.sleep(pause)
        await self.start()
        self.excused[-1][1] = now() + RESTART_GRACE

    async def upgrade(self, limit=6.0):
        """A second process is started beside the running one; it has 6 s to say yes."""
        old = self.process
        port = free_port()
        self.record("upgrade")
        self.process = self.spawn(port)
        self.operator_port = port
        end = now() + limit
        said_yes = False
        while now() < end:
            try:
                if (await self.operator("STATUS", port)).startswith("OK"):
                    said_yes = True
                    break
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        if old.poll() is None:
            await asyncio.sleep(max(0, end - now()))
            if old.poll() is None:
                old.terminate()
        return said_yes

    def measure(self):
        """(resident memory with files in bytes, descriptors, bytes on disk) of the relay's processes together."""
        resident = descriptors = 0
        for process in self.processes:
            if process.poll() is not None:
                continue
            try:
                with open("/proc/%d/statm" % process.pid) as f:
                    words = f.read().split()
                resident += (int(words[1])) * os.sysconf("SC_PAGE_SIZE")
                descriptors += len(os.listdir("/proc/%d/fd" % process.pid))
            except (OSError, IndexError):
                pass
        disk = 0
        for name in os.listdir(self.state):
            try:
                disk += (os.stat(os.path.join(self.state, name)).st_size + 511) // 512 * 512
            except OSError:
                pass
        return resident + disk, descriptors, disk

    async def monitor(self, interval=0.02):
        self.peak = [0, 0, 0]
        while True:
            self.peak = [max(a, b) for a, b in zip(self.peak, self.measure())]
            await asyncio.sleep(interval)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.log.close()


class Message:
    def __init__(self, klass, dest, deadline, body):
        self.id = "%016x" % random.getrandbits(64)
        self.klass, self.dest, self.deadline, self.body = klass, dest, deadline, body
        self.sent_at = None  # its last byte was written
        self.due = None
        self.status = None  # of the answer; None: none
        self.answered_at = None
        self.ended = None  # how the connection ended without an answer


class Clients:
    def __init__(self, record, relay):
        self.record, self.relay = record, relay
        self.idle = []
        self.messages = []
        self.reuse = True

    def deadline_of(self, klass):
        return next(c["Deadline"] for c in self.relay.settings["Classes"] if c["Name"] == klass) / 1e6

    async def send(self, klass, dest, body=None, deadline=None, patience=CLIENT_PATIENCE, path=None, headers=()):
        body = os.urandom(random.randint(1, 300)) if body is None else body
        message = Message(klass, dest, deadline or self.deadline_of(klass), body)
        self.messages.append(message)
        head = ("POST /%s HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %dm\r\n"
                "Content-Length: %d\r\nX-Consignee: dest=%d\r\n%s\r\n" % (
                    path or klass, message.id, klass, int(message.deadline * 1000), len(body), dest,
                    "".join("%s: %s\r\n" % h for h in headers)))
        data = head.encode() + body
        for attempt in range(2):
            kept = bool(attempt == 0 and self.reuse and self.idle)
            try:
                if kept:
                    reader, writer = self.idle.pop()
                else:
                    reader, writer = await asyncio.wait_for(
                        asyncio.open_connection("127.0.0.1", self.relay.port), patience)
            except (OSError, asyncio.TimeoutError) as e:
                message.ended = "no connection"
                self.record("client", message.id, klass, "no connection", type(e).__name__)
                return message
            message.sent_at = now()
            message.due = message.sent_at + message.deadline
            self.record("hand in", message.id, klass, dest, "kept" if kept else "new")
            try:
                writer.write(data)
                status, keep = await asyncio.wait_for(self.read_answer(reader), patience)
                message.status, message.answered_at = status, now()
                self.record("client", message.id, status)
                if keep:
                    self.idle.append((reader, writer))
                else:
                    writer.close()
                return message
            except asyncio.TimeoutError:
                message.ended = "patience"
                self.record("client", message.id, "no answer in time")
                writer.close()
                return message
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()
                self.record("client", message.id, "connection ended", "kept" if kept else "new")
                message.ended = "closed"
                if not kept:
                    return message
        return message

    async def read_answer(self, reader):
        line, headers = await read_head(reader)
        await reader.readexactly(int(headers.get("content-length", 0)))
        return int(line.split(" ")[1]), headers.get("connection", "").lower() != "close"

    def close(self):
        for reader, writer in self.idle:
            writer.close()
        self.idle = []


def overdue_at(message, excused):
    """When the end of a taken-on message is overdue."""
    due = message.due + NOTICE_GRACE
    for start, end in excused:
        if start <= due < end:
            due = end
    return due


def check(record, clients, endpoints, platform, relays, end_at, unsafe=("charge",), keyed=()):
    """The rules on lost messages, duplicates, second copies and foreign work. Returns the list of breaches."""
    breaches = []
    by_id = {}
    for endpoint in endpoints:
        for call in endpoint.calls:
            for i, message_id in enumerate(call["ids"]):
                by_id.setdefault(message_id, []).append((endpoint, call, call["bodies"][i]))
    sent = {m.id: m for m in clients.messages}
    notices = {}
    for at, message_id, status in platform.notices:
        notices.setdefault(message_id, []).append((at, status))
    excused = [w for r in relays for w in r.excused]
    for message_id, calls in by_id.items():
        message = sent.get(message_id)
        if message is None:
            breaches.append("work that nobody sent: %s" % message_id)
            continue
        for endpoint, call, body in calls:
            if body != message.body:
                breaches.append("foreign body: %s" % message_id)
            if endpoint.group != message.dest:
                breaches.append("foreign destination: %s" % message_id)
        runs = sum(1 for _, call, _ in calls if message_id in call["ran"])
        if message.klass in unsafe and runs > 1:
            breaches.append("run %d times: %s %s" % (runs, message_id, message.klass))
        calls = sorted(calls, key=lambda c: c[1]["at"])
        for (_, first, _), (_, second, _) in zip(calls, calls[1:]):
            if first["closed_at"] is None or first["closed_at"] > second["at"] + 0.002:
                breaches.append("second copy: %s %s" % (message_id, message.klass))
    for message in clients.messages:
        if message.status not in (200, 202):
            if message.status in (429, 503) or message.status is not None:
                continue
            if message.ended == "closed" and not any(s - 0.5 <= (message.sent_at or 0) <= e for s, e in excused):
                breaches.append("connection ended with no answer: %s" % message.id)
            continue
        delivered = [c["answered"][1] for _, c, _ in by_id.get(message.id, [])
                     if c["answered"] and c["answered"][0] == 200]
        ends = delivered + [at for at, _ in notices.get(message.id, [])]
        due = overdue_at(message, excused)
        if due > end_at:
            continue
        if not ends:
            breaches.append("lost: %s %s" % (message.id, message.klass))
        elif min(ends) > due:
            breaches.append("late end: %s %s by %.3f s" % (message.id, message.klass, min(ends) - due))
    for message in clients.messages:
        if message.klass not in unsafe:
            continue
        ran = any(message.id in c["ran"] for _, c, _ in by_id.get(message.id, []))
        if ran and (message.status in (429, 503) or any(s == "deferred" for _, s in notices.get(message.id, []))):
            breaches.append("handed back though it ran: %s" % message.id)
    for relay in relays:
        for process in relay.processes:
            code = process.poll()
            if code not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
                breaches.append("crash: process %d ended with %s" % (process.pid, code))
    for breach in breaches:
        record("BREACH", breach)
    return breaches


def main(scenario, folder):
    """Runs `scenario`, a coroutine function (record, temporary folder) that returns the list of breaches."""
    record = Record(os.path.join(folder, "record.txt") if folder else None)
    temporary = tempfile.mkdtemp()
    try:
        breaches = asyncio.run(asyncio.wait_for(scenario(record, temporary), 115))
    except Exception as e:  # the case couldn't run
        record("ERROR", type(e).__name__, e)
        print("couldn't run: %s %s" % (type(e).__name__, e))
        sys.exit(2)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    print("breaches: %d" % len(breaches))
    for breach in breaches[:10]:
        print("  " + breach)
    sys.exit(1 if breaches else 0)
