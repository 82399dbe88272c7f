"""Stand-ins for the platform's store, runners and clients, by the users' pages, and control of the deployed programs.

Python's standard library only. Every address is a loopback address; each machine has one of its own.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = [os.path.join(ROOT, "target/release/wagtailhill"), "gateway"]
AGENT = [os.path.join(ROOT, "target/release/wagtailhill-agent"), "--platform"]
NET = None


def ip(number):
    """Returns the loopback address of a machine; a run uses a block of 127.0.0.0/8 that nobody listens on."""
    global NET
    while NET is None:
        block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{block}.1", 8221))
                NET = block
            except OSError:
                pass
    return f"{NET}.{number}"


async def read_head(reader):
    """Reads the head of an HTTP message: its first line and its headers, with names in lowercase."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readline()
    return data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    if "transfer-encoding" not in headers:
        lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Closes a connection with a reset."""
    if not writer.is_closing():
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Store:
    """The platform's metadata store: an append-only log with keyed topics. `doors` are addresses at which it is reached;
    each may be closed for itself, so that the store turns some machines away."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.closed = {}
        self.servers = []
        self.calls = {}

    async def door(self, name):
        server = await asyncio.start_server(lambda r, w: self.serve(name, r, w), ip(250), 0)
        self.servers.append(server)
        self.closed[name] = None
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, topic, key, value):
        """Appends a record as the operator or a runner does; the return is the acknowledgement."""
        key = key.encode()
        return self.append(topic, [bytes([len(key)]) + key + value.encode()])

    def append(self, topic, records):
        log = self.topics.setdefault(topic, [])
        offset = len(log)
        log.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def newest(self, topic):
        newest = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            size = content[0]
            newest[content[1:1 + size].decode()] = (content[1 + size:], offset)
        return {key: known for key, known in newest.items() if known[0]}

    async def serve(self, name, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
                closed = self.closed[name]
                if callable(closed):
                    closed = closed(url.path, query)
                if closed == "silent":
                    await asyncio.sleep(3600)
                if closed == "reset":
                    return reset(writer)
                if closed == "busy":
                    writer.write(message("HTTP/1.1 503 Service Unavailable", {}))
                    continue
                await asyncio.sleep(0.004)
                self.calls[(name, url.path)] = self.calls.get((name, url.path), 0) + 1
                answer = await self.answer(url.path, query, body)
                if self.closed[name] == "silent":
                    await asyncio.sleep(3600)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def answer(self, path, query, body):
        topic = query.get("topic")
        log = self.topics.setdefault(topic, [])
        if path == "/api/log-append":
            if "at" in query and int(query["at"]) != len(log):
                return self.json("412 Precondition Failed", {"end": len(log)})
            records = []
            while body:
                size = int.from_bytes(body[:4], "big")
                records.append(body[4:4 + size])
                body = body[4 + size:]
            return self.json("200 OK", {"offset": self.append(topic, records), "end": len(log)})
        if path == "/api/log-read":
            start, end = int(query["from"]), time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while len(log) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            data = struct.pack(">QQ", len(log), 0)
            for content in log[start:]:
                data += struct.pack(">I", len(content)) + content
            return message("HTTP/1.1 200 OK", {"content-type": "application/octet-stream"}, data)
        if path == "/api/log-newest":
            keys = sorted(self.newest(topic).items())
            entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                       for key, (value, offset) in keys if key > query.get("after", "")]
            return self.json("200 OK", {"entries": entries[:500], "has_more": len(entries) > 500, "end": len(log)})
        return self.json("404 Not Found", {})

    @staticmethod
    def json(status, value):
        return message(f"HTTP/1.1 {status}", {"content-type": "application/json"}, json.dumps(value).encode())


class Runner:
    """A runner. `behave(request)` may return how a request is treated: a name of a fault, or None."""

    def __init__(self, record, store, number, name, service, slots=5, models=True, behave=None, work=0.02):
        self.record, self.store, self.name, self.service = record, store, name, service
        self.slots, self.models, self.behave, self.work = slots, models, behave, work
        self.host = ip(number)
        self.port = 8228
        self.state = "ready"
        self.runs = {}
        self.arrived = []
        self.active = {}
        self.sequence = 0
        self.writers = set()
        self.server, self.socket, self.is_dark, self.fillers = None, None, False, []

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, self.port))
        self.socket.setblocking(False)
        self.socket.listen(512)
        self.server = await asyncio.start_server(self.serve, sock=self.socket.dup())
        self.is_dark = False
        self.beat()

    def beat(self):
        self.sequence += 1
        models = [{"name": "m", "version": 1, "adapters": []}] if self.models else []
        entry = {"service": self.service, "address": self.address, "zone": "a", "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence}
        if models:
            entry |= {"stage": "both", "models": models}
        self.store.put("keyed.servers", self.name, json.dumps(entry))

    def leave(self):
        """The runner has left; its entry is removed."""
        self.store.put("keyed.servers", self.name, "")

    async def crash(self):
        """Every connection is reset, and the port is closed."""
        self.server.close()
        self.socket.close()
        for writer in list(self.writers):
            reset(writer)
        self.record(f"{self.name} crashes")

    def go_dark(self):
        """The runner falls silent, as a machine without power: nothing is answered any more, connections stay open, and
        new ones aren't established."""
        self.is_dark = True
        # The socket listens on, but nobody accepts; once its queue is full, connections aren't established.
        self.server.close()
        self.socket.listen(0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    async def come_back(self, name):
        """The runner starts again: as a new incarnation, with a new name, at the same address."""
        for writer in list(self.writers):
            reset(writer)
        self.server.close()
        self.socket.close()
        for filler in self.fillers:
            filler.close()
        self.store.put("keyed.servers", self.name, "")
        self.name, self.active = name, {}
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                if self.is_dark:
                    await asyncio.sleep(3600)
                if first.startswith("GET /api/report"):
                    report = {"stage": "both", "models": [], "busy": False, "sequence": 1, "queue_depth": 0,
                              "in_flight": len(self.active), "kv_used": 0, "kv_total": 200000, "handles": 0}
                    writer.write(message("HTTP/1.1 200 OK", {"content-type": "application/json"},
                                         json.dumps(report).encode()))
                    continue
                body = await read_body(reader, headers)
                if not await self.handle(first, headers, body, writer, reader):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            if not writer.is_closing():
                writer.close()

    async def handle(self, first, headers, body, writer, reader):
        number = headers.get("request-id", "")
        request = {"id": number, "first": first, "headers": headers, "body": body, "runner": self.name,
                   "at": self.record.now()}
        self.arrived.append(request)
        if headers.get("expected-instance") not in (None, self.name):
            self.record(f"{self.name} gets {number}, which isn't for it: 421")
            writer.write(message("HTTP/1.1 421 Misdirected Request", {"instance-id": self.name}))
            return True
        fault = self.behave(request) if self.behave else None
        if fault == "shed" or len(self.active) >= self.slots + 24:
            self.record(f"{self.name} sheds {number}")
            writer.write(message("HTTP/1.1 503 Service Unavailable", {"not-executed": "1"}))
            return True
        self.runs.setdefault(number, []).append(self.record.now())
        self.record(f"{self.name} runs {number}")
        self.active[id(request)] = request
        try:
            signed = {"request-id": number, "response-signature": f"{self.name}.{number}"}
            if "events" in headers:
                return await self.stream(headers, signed, writer, reader, fault, number)
            if fault == "dark":
                self.go_dark()
            elif fault == "crash":
                await self.crash()
            else:
                await asyncio.sleep(self.work)
            if self.is_dark:
                await asyncio.sleep(3600)
            if fault == "lost":
                self.record(f"{self.name} loses the answer of {number}")
                reset(writer)
                return False
            if fault == "error":
                writer.write(message("HTTP/1.1 500 Internal Server Error", signed, b"error"))
                return True
            answer = message("HTTP/1.1 200 OK", signed, f"answer to {number}".encode())
            if fault == "truncate":
                writer.write(answer[:-3])
                await writer.drain()
                return False
            writer.write(answer)
            await writer.drain()
            self.record(f"{self.name} answers {number}")
            return True
        finally:
            self.active.pop(id(request), None)

    async def stream(self, headers, signed, writer, reader, fault, number):
        total, gap = int(headers["events"]), float(headers.get("gap", "0.02"))
        start = int(headers.get("last-event-id", "0")) + 1
        # The prompt is read before the first event.
        ready = self.record.now() + float(headers.get("prefill", "0"))
        while self.record.now() < ready:
            await asyncio.sleep(0.01)
            if reader.at_eof() or writer.is_closing():
                self.record(f"{self.name} drops {number}: its connection is closed")
                return False
        writer.write(message("HTTP/1.1 200 OK", signed | {"content-type": "text/event-stream",
                                                           "transfer-encoding": "chunked"}))
        for event in range(start, total + 1):
            await asyncio.sleep(gap)
            if reader.at_eof() or writer.is_closing():
                self.record(f"{self.name} drops {number}: its connection is closed")
                return False
            data = f"id: {event}\ndata: {number} {event}\n\n".encode()
            if fault == "break" and event == (start + total) // 2:
                data = data[:7]
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                reset(writer)
                self.record(f"{self.name} breaks off {number} at {event}")
                return False
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record(f"{self.name} answers {number}")
        return True


class Answer:
    """What a client got: the status (None where the connection ended without one), headers, body, and whether the body
    is complete."""

    def __init__(self, status=None, headers=None, body=b"", whole=False, sent_all=True):
        self.status, self.headers, self.body, self.whole = status, headers or {}, body, whole
        self.sent_all = sent_all


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    def send(self, method, path, number, headers=None, body=b"", host="site.example", key="key-1"):
        all_headers = {"host": host, "request-id": number, "authorization": f"Bearer {key}"}
        all_headers |= headers or {}
        self.writer.write(message(f"{method} {path} HTTP/1.1", all_headers, body))

    async def receive(self, timeout):
        answer = Answer()
        try:
            await asyncio.wait_for(self.read(answer), timeout)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError, ValueError):
            pass
        return answer

    async def read(self, answer):
        first, answer.headers = await read_head(self.reader)
        answer.status = int(first.split()[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(self.reader):
                answer.body += chunk
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True

    def close(self):
        self.writer.close()


async def connect(address, timeout=1.0):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout)
    return Connection(reader, writer)


async def call(address, method, path, number, headers=None, body=b"", timeout=5.0, **more):
    """Sends one request on a connection of its own and returns the answer."""
    try:
        connection = await connect(address)
    except (OSError, asyncio.TimeoutError):
        return Answer(sent_all=False)
    try:
        connection.send(method, path, number, headers, body, **more)
        return await connection.receive(timeout)
    finally:
        connection.close()


async def is_ready(address):
    try:
        connection = await connect(address, 0.5)
        connection.writer.write(b"GET /api/readiness HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await connection.receive(0.5)
        connection.close()
        return answer.status == 200
    except (OSError, asyncio.TimeoutError):
        return False


BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revocation": True, "revoke_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58, "quota_window_s": 8,
          "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 6.9}


class Program:
    """One of the deployed programs, as a process with its settings file."""

    def __init__(self, folder, command, settings):
        self.command, self.settings = command, settings
        self.path = os.path.join(folder, settings["node_name"] + ".json")
        self.log = os.path.join(folder, settings["node_name"] + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w") as file:
            json.dump(self.settings, file)
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(self.command + [self.path], stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    @property
    def frontend(self):
        return self.settings["listen"]["frontend"]

    @property
    def ready(self):
        return self.settings["listen"]["ready"]


class Site:
    """A small deployment: a store, runners with agents, and gateways."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp()
        self.store = Store(record)
        self.runners, self.programs, self.gateways = [], [], []
        self.door = None

    def config(self, version, routes, services=("llm", "app"), tenants=None, **limits):
        tenants = tenants or [{"name": "t1", "api_keys": ["key-1"], "priority": 1, "unit": "tokens",
                               "plain_tokens": 200, "rate_per_s": 150000, "burst": 150000}]
        value = {"version": version, "routes": routes,
                 "services": [{"name": name, "health_check_path": "/health", "max_connections": 370, "protocol": "h1",
                               "tls": False} for name in services],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                            "idle_timeout_ms": 15000} | limits, "tenants": tenants}
        return json.dumps(value)

    async def settings(self, number, name, kind):
        host = ip(number)
        return {"node_name": name, "role": kind, "machine_class": kind, "serves": [kind], "ip": host, "zone": "a",
                "region": "r", "zones": {"a": "r"}, "internal_port_range": [7600, 7615], "seed_nodes": self.seeds,
                "bootstrap": True, "limits": {"cpu_share": 0.19, "cpu_cores": 1, "memory_mb": 110,
                                              "file_descriptors": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                "data_directory": None, "discovery": "platform", "entry": "vip", "heartbeat_interval_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                              "quota", "platform"], "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
                "bounds": BOUNDS, "platform": {"address": await self.store.door(name), "form": "log",
                                               "writes_per_s": 400, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0,
                                               "partition_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144,
                                               "call_bytes": 2097152, "keep_s": 300, "part_mb": 200,
                                               "ttl_min_ms": 1000},
                "listen": {"frontend": f"{host}:8221", "ready": f"{host}:8224", "control_plane": f"{host}:8229"}
                if kind == "frontend" else {}}

    async def start(self, gateways, runners, config):
        """Starts `gateways` gateways and the runners, each given as the arguments of Runner; a runner with models has
        an agent."""
        self.seeds = [f"{ip(10 + index)}:8229" for index in range(gateways)][:3]
        self.store.put("keyed.op", "config", config)
        for index, options in enumerate(runners):
            runner = Runner(self.record, self.store, 100 + index, **options)
            await runner.start()
            self.runners.append(runner)
            if runner.models:
                agent = Program(self.folder, AGENT, await self.settings(100 + index, f"side-{index + 1}", "side"))
                agent.start()
                self.programs.append(agent)
        for index in range(gateways):
            settings = await self.settings(10 + index, f"frontend-{index + 1}", "frontend")
            gateway = Program(self.folder, GATEWAY, settings)
            gateway.start()
            self.programs.append(gateway)
            self.gateways.append(gateway)
        for _ in range(200):
            if all([await is_ready(gateway.ready) for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self):
        for program in self.programs:
            program.end()
        shutil.rmtree(self.folder, ignore_errors=True)
