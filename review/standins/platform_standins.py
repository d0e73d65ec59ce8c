"""Stand-ins of the platform for the review: store, workers, clients, and the router as a process.

Only the standard library is used. Everything listens on addresses of 127.0.0.0/8 that are drawn
for each run. All times are seconds of the monotonic clock since the start of the run.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "h.example"
KEY = "key-one"
TENANT = "tenant-one"
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_delay_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_timeout_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revocation": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_retries": 56,
    "recovery_s": 12,
    "pass_ms": 120,
    "retry_after_s": 10,
    "cap_multiplier": 2,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Lines of what happened, with the time since the start of the run."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Reads one head; None if the connection ends before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Reads the body of a message with a length or in chunks."""
    if (message.get("Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
            data = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
            body += data
    return await reader.readexactly(int(message.get("Content-Length") or 0))


class Store:
    """The platform's store: tables of rows, a feed of their changes, transactions."""

    HISTORY_S = 20.0

    def __init__(self, record, ip, port=8223):
        self.record = record
        self.ip = ip
        self.port = port
        self.ver = 0
        self.rows = {}
        self.removed = {}
        self.changed = asyncio.Event()
        self.calls = 0
        self.writers = set()
        # Endpoint at which the table of workers was last asked for; see `listen`.
        self.last_reader = None
        self.endpoints = []
        # How calls are answered: "serve", "silent" (never, on this connection), "refuse" (503),
        # "reset".
        self.mode = "serve"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def listen(self, ip):
        """Answers at one more address, which tells the routers apart: all call from 127.0.0.1."""
        self.endpoints.append(await asyncio.start_server(self.serve, ip, self.port))

    async def move(self, ip):
        """Goes on at another address, with all its rows; the former one refuses connections."""
        former = self.server
        self.ip = ip
        await self.start()
        former.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.write(f"store is at {ip}:{self.port}")

    def put(self, table, key, value, part=""):
        """Writes a row; returns its version. The return is the acknowledgement."""
        return self.put_raw(table, key, base64.b64encode(json.dumps(value).encode()).decode(), part)

    def put_raw(self, table, key, text, part=""):
        self.ver += 1
        self.rows[(table, part, key)] = (text, self.ver)
        self.removed.pop((table, part, key), None)
        self.wake()
        return self.ver

    def remove(self, table, key, part=""):
        if (table, part, key) in self.rows:
            self.ver += 1
            del self.rows[(table, part, key)]
            self.removed[(table, part, key)] = self.ver
            self.wake()
        return self.ver

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                request.body = await read_body(reader, request)
                if self.mode == "serve":
                    if "table=servers" in request.target:
                        self.last_reader = writer.get_extra_info("sockname")[0]
                    status, answer = await self.answer(request)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "reset":
                    reset(writer)
                    break
                if self.mode == "refuse":
                    status, answer = 503, {}
                body = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
                await asyncio.sleep(0.004)
                writer.write(head.encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_rows(self, rows, more=False):
        return 200, {"rows": rows, "more": more, "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}

    async def answer(self, request):
        self.calls += 1
        path, _, query = request.target.partition("?")
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        if path == "/rows-get":
            first, last = values.get("from", ""), values.get("target_version")
            rows = []
            for (table, part, key), (text, ver) in sorted(self.rows.items()):
                if table != values["table"] or part != values.get("part", ""):
                    continue
                if key < first or (last is not None and key >= last):
                    continue
                rows.append({"table": table, "part": part, "key": key, "value": text, "ver": ver})
            return self.answer_rows(rows)
        if path == "/rows-feed":
            after = int(values["after_revision"])
            end = time.monotonic() + min(int(values.get("wait_ms", 0)), 30000) / 1000
            while True:
                rows = []
                for (table, part, key), (text, ver) in self.rows.items():
                    if table == values["table"] and ver > after:
                        rows.append({"table": table, "part": part, "key": key, "value": text, "ver": ver})
                for (table, part, key), ver in self.removed.items():
                    if table == values["table"] and ver > after:
                        rows.append({"table": table, "part": part, "key": key, "ver": ver, "gone": True})
                left = end - time.monotonic()
                if rows or left <= 0:
                    rows.sort(key=lambda row: row["ver"])
                    return self.answer_rows(rows)
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/rows-tx":
            entries = json.loads(request.body)
            found, holds = [], True
            for entry in entries.get("expected_revision", []):
                at = (entry["table"], entry.get("part", ""), entry["key"])
                text, ver = self.rows.get(at, (None, 0))
                holds &= ver == entry["ver"]
                row = {"table": at[0], "part": at[1], "key": at[2], "ver": ver}
                found.append(row if text is None else {**row, "value": text})
            if not holds:
                return 412, {"rows": found, "ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
            for entry in entries.get("put", []):
                self.put_raw(entry["table"], entry["key"], entry["value"], entry.get("part", ""))
            for entry in entries.get("remove", []):
                self.remove(entry["table"], entry["key"], entry.get("part", ""))
            return 200, {"ver": self.ver, "now_ms": int(time.monotonic() * 1000)}
        return 404, {}


class Worker:
    """A worker of a service. `run` may be replaced to answer in other ways."""

    def __init__(self, record, store, ident, service, ip, port=8228, slots=8, work_s=0.02, zone="z1"):
        self.record = record
        self.store = store
        self.id = ident
        self.service = service
        self.ip = ip
        self.port = port
        self.slots = slots
        self.work_s = work_s
        self.zone = zone
        self.born = None
        self.state = "ready"
        self.sequence = 0
        self.events = 5
        self.runs = []
        self.writers = set()
        self.beat = None
        self.server = None

    def row(self):
        self.sequence += 1
        row = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        if self.born is not None:
            row["born"] = self.born
        return row

    async def start(self, born=None):
        """Starts an incarnation and records it in the store."""
        self.born = born
        self.sequence = 0
        self.state = "ready"
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.write_entry()
        self.beat = asyncio.ensure_future(self.heartbeat())

    def write_entry(self):
        ver = self.store.put("servers", self.id, self.row())
        self.record.write(f"store acknowledged servers/{self.id} state={self.state} born={self.born} ver={ver}")

    async def heartbeat(self):
        while True:
            await asyncio.sleep(1.2)
            # The stored entry only changes when more than `sequence` does.
            self.sequence += 1

    def drain(self):
        """Announces the planned end in the store. Returns the time of the acknowledgement."""
        self.state = "draining"
        self.write_entry()
        return self.record.now()

    async def crash(self):
        """Ends the incarnation without a word; its connections are reset."""
        self.record.write(f"worker {self.id} born={self.born} crashes")
        await self.close()

    async def leave(self):
        """Ends after a drain: the entry goes, then the worker."""
        self.store.remove("servers", self.id)
        self.record.write(f"worker {self.id} ends, entry removed")
        await self.close()

    async def close(self):
        if self.beat:
            self.beat.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    break
                if not await self.handle(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        """Handles one request; false if the connection ends with it."""
        request.body = await read_body(reader, request)
        ident = request.get("Stacktack-Attempt-Id")
        expected = request.get("Stacktack-Expect-Instance")
        if expected is not None and expected != self.id:
            self.record.write(f"worker {self.id} rejects id={ident} 421 expected={expected}")
            writer.write(f"HTTP/1.1 421 X\r\nStacktack-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        self.note_run(request)
        return await self.run(request, reader, writer)

    def note_run(self, request):
        ident = request.get("Stacktack-Attempt-Id")
        self.runs.append((self.record.now(), ident, self.born))
        self.record.write(f"worker {self.id} born={self.born} state={self.state} runs id={ident} {request.method} {request.target}")

    def seal(self, request):
        return f"{self.id}.{request.get('Stacktack-Attempt-Id')}"

    async def run(self, request, reader, writer):
        await asyncio.sleep(self.work_s)
        body = f"answer of {self.id} to {request.get('Stacktack-Attempt-Id')}\n".encode()
        await self.respond(writer, request, body)
        return True

    async def respond(self, writer, request, body, status=200, extra=""):
        head = (
            f"HTTP/1.1 {status} X\r\nStacktack-Attempt-Id: {request.get('Stacktack-Attempt-Id')}\r\n"
            f"Stacktack-Server-Seal: {self.seal(request)}\r\n{extra}Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        await writer.drain()


def reset(writer):
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


class Answer:
    """What a client got: status (None for none), headers, body, and whether it is whole."""

    def __init__(self, status=None, message=None, body=b"", whole=False, error=""):
        self.status = status
        self.message = message
        self.body = body
        self.whole = whole
        self.error = error

    def text(self):
        return f"status={self.status} whole={self.whole} bytes={len(self.body)} error={self.error or '-'}"


class Connection:
    """A client's connection to a router."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        return cls(*await asyncio.wait_for(asyncio.open_connection(*address, limit=1 << 20), 1))

    async def send(self, request):
        self.writer.write(request)
        await self.writer.drain()

    async def answer(self, timeout):
        try:
            return await asyncio.wait_for(self.read_answer(), timeout)
        except asyncio.TimeoutError:
            return Answer(error="timeout")

    async def read_answer(self):
        head = await read_head(self.reader)
        if head is None:
            return Answer(error="closed without an answer")
        body = b""
        try:
            if (head.get("Transfer-Encoding") or "").lower() == "chunked":
                while True:
                    size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                    data = await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                    if size == 0:
                        return Answer(head.status, head, body, True)
                    body += data
            body = await self.reader.readexactly(int(head.get("Content-Length") or 0))
            return Answer(head.status, head, body, True)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            return Answer(head.status, head, body, False, type(error).__name__)

    def close(self):
        self.writer.close()


def request_bytes(method, path, ident, deadline_ms=3000, body=b"", extra=()):
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Stacktack-Attempt-Id: {ident}",
        f"Stacktack-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += list(extra)
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Router:
    """A router process, started as the deploy file says."""

    def __init__(self, record, directory, number, network, zone="z1", memory_mb=260, bounds=None, routers=1):
        self.record = record
        self.number = number
        self.network = network
        self.ip = f"{network}.{number}"
        self.directory = directory
        self.zone = zone
        self.memory_mb = memory_mb
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.routers = routers
        self.store_ip = f"{network}.200"
        self.process = None
        self.callers = (self.ip, 8227)
        self.ready_address = (self.ip, 8220)

    def settings(self):
        seeds = ", ".join(f'"{self.network}.{n}:8229"' for n in range(1, min(self.routers, 3) + 1))
        bounds = "\n".join(f"{k} = {json.dumps(v)}" for k, v in self.bounds.items())
        return f"""node_name = "front-{self.zone}-{self.number}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r1"
internal_port_range = [7340, 7355]
seeds = [{seeds}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = "{self.ip}:8227"
ready = "{self.ip}:8220"
control = "{self.ip}:8229"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = {self.memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{self.store_ip}:8223"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_s = 20
"""

    def write_settings(self):
        """Places the settings file, whole at once. Returns its path."""
        path = os.path.join(self.directory, f"router-{self.number}.toml")
        with open(path + ".new", "w") as file:
            file.write(self.settings())
        os.replace(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.directory, f"router-{self.number}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["STACKTACK_CONFIG"] = path
        program = os.path.join(ROOT, deploy_program())
        if not os.path.exists(program):
            raise CannotRun(f"{program} is not built")
        self.process = subprocess.Popen([program], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.record.write(f"router {self.number} starts pid={self.process.pid}")

    def signal(self, number):
        self.record.write(f"router {self.number} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        with open(os.path.join(self.directory, f"router-{self.number}.log"), errors="replace") as file:
            return file.read()

    async def is_ready(self):
        try:
            connection = await Connection.open(self.ready_address)
            await connection.send(b"GET /ready HTTP/1.1\r\nHost: r\r\n\r\n")
            answer = await connection.answer(1)
            connection.close()
            return answer.status == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.write(f"router {self.number} is ready")
                return
            if self.process.poll() is not None:
                raise CannotRun(f"router {self.number} ended with {self.process.returncode}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"router {self.number} is not ready after {limit_s} s")


def deploy_program():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            if line.startswith("run"):
                return line.split('"')[1]
    raise CannotRun("the deploy file names no program")


def route(name, prefix, service, kind, **more):
    """A route of the configuration, with the figures of the sheet albumoire-prod where not given."""
    values = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
    }
    values.update(more)
    return values


def configuration(version, routes, services, **limits):
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, **limits},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Case:
    """A run of a case: addresses, folder, record, processes."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record.write(f"trouble={self.trouble}")
        self.directory = tempfile.mkdtemp(prefix="stacktack-review-")
        self.network = free_network()
        self.routers = []
        self.workers = []
        self.store = None
        self.counter = 0

    async def start_store(self):
        self.store = Store(self.record, f"{self.network}.200")
        await self.store.start()

    def new_worker(self, ident, number, service, **more):
        worker = Worker(self.record, self.store, ident, service, f"{self.network}.{100 + number}", **more)
        self.workers.append(worker)
        return worker

    async def start_routers(self, count=1, own_endpoints=False, **more):
        """Starts routers; with `own_endpoints` each calls the store at an address of its own."""
        for number in range(1, count + 1):
            router = Router(self.record, self.directory, number, self.network, routers=count, **more)
            if own_endpoints:
                router.store_ip = f"{self.network}.{200 + number}"
                await self.store.listen(router.store_ip)
            self.routers.append(router)
            router.start()
        for router in self.routers:
            await router.wait_ready()

    def next_id(self):
        self.counter += 1
        return f"{self.counter:016x}"

    def stop(self):
        for router in self.routers:
            if router.process and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for name in os.listdir(self.directory):
            if os.environ.get("KEEP") != "1":
                os.unlink(os.path.join(self.directory, name))
        if os.environ.get("KEEP") != "1":
            os.rmdir(self.directory)
        else:
            print(f"logs are kept in {self.directory}")


def free_network():
    """First three octets of loopback addresses on which the fixed ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        try:
            for host, port in ((1, 8227), (1, 9464), (1, 7340), (200, 8223)):
                with socket.socket() as probe:
                    probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def play(folder, coroutine):
    """Plays a case; `coroutine(case)` returns the list of breaches. Exits with 0, 1 or 2."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    case, status = None, 2
    try:
        case = Case(folder)
        breaches = asyncio.run(asyncio.wait_for(coroutine(case), 110))
        for breach in breaches:
            case.record.write(f"BROKEN {breach}")
            print(f"BROKEN {breach}")
        status = 1 if breaches else 0
        case.record.write(f"held={status == 0}")
        print("the rule was broken" if status else "the rule held")
    except BaseException as error:
        # Whatever goes wrong in the case itself says nothing about the rule.
        status = 2
        print(f"could not run: {error!r}")
    finally:
        if case is not None:
            case.stop()
    sys.stdout.flush()
    # Ends without waiting for connections that are still open.
    os._exit(status)
