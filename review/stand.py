"""Stand-ins for the platform, the runners and the clients, after PROTOCOL.md and DEPLOY.md. Standard library only."""
import asyncio, base64, json, os, random, signal, socket, struct, sys, tempfile, time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
GATEWAY = os.path.join(ROOT, "target/release/wagtailhill")
AGENT = os.path.join(ROOT, "target/release/wagtailhill-agent")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        self.file.write("%8.3f  %s\n" % (now(), " ".join(str(word) for word in words)))
        self.file.flush()


def free_ports(count):
    """Returns the first of `count` ports in a row that are free."""
    for _ in range(200):
        first = random.randrange(20000, 32000 - count)
        try:
            for port in range(first, first + count):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
    raise SystemExit(2)


# ---------------------------------------------------------------- HTTP/1.1

class Broken(Exception):
    """The connection ended or sent bytes that are no message."""


async def read_head(reader):
    """Returns the first line and the headers; None where the connection ends before a message."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Broken("cut within a head")
        return None
    except (ConnectionError, OSError) as error:
        raise Broken("reset: %s" % error)
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    """Returns the next chunk; empty at the end of the body."""
    try:
        size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        return data
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise Broken("cut within a body: %r" % error)


async def read_body(reader, headers, is_answer=False):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            data = await read_chunk(reader)
            if not data:
                return body
            body += data
    try:
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"]))
        return await reader.read(-1) if is_answer else b""
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise Broken("cut within a body: %r" % error)


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % pair for pair in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


# ---------------------------------------------------------------- the platform's store

class Store:
    """The store in the form of a log: log-append, log-read, log-newest."""

    def __init__(self):
        self.topics, self.changed = {}, asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def append(self, topic, key, value):
        """Appends a record of a keyed topic; an empty value drops the key."""
        key = key.encode()
        self.topics.setdefault(topic, []).append(bytes([len(key)]) + key + value)
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, topic, key, value):
        self.append(topic, key, json.dumps(value).encode())

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                status, kind, answer = await self.answer(head[0], body)
                writer.write(message("HTTP/1.1 %s" % status, [("Content-Type", kind), ("Content-Length", len(answer))], answer))
                await writer.drain()
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, line, body):
        method, url, _ = line.split(" ")
        path, _, query = url.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        topic = fields.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if path == "/api/log-append":
            await asyncio.sleep(0.004)
            if "at" in fields and int(fields["at"]) != len(records):
                return "412 Precondition Failed", "application/json", json.dumps({"end": len(records)}).encode()
            offset = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            self.changed.set()
            self.changed = asyncio.Event()
            return "200 OK", "application/json", json.dumps({"offset": offset, "end": len(records)}).encode()
        if path == "/api/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                newest[key] = (value, offset)
            entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                       for key, (value, offset) in sorted(newest.items()) if value and key > fields.get("after", "")]
            return "200 OK", "application/json", json.dumps({"entries": entries, "has_more": False, "end": len(records)}).encode()
        if path == "/api/log-read":
            start, end = int(fields["from"]), time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
            while len(records) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            data = b"".join(struct.pack(">I", len(record)) + record for record in records[start:])
            return "200 OK", "application/octet-stream", struct.pack(">QQ", len(records), 0) + data
        return "404 Not Found", "application/json", b"{}"


# ---------------------------------------------------------------- runners

class Runner:
    """A runner of a service. `run(request)` is called once a slot is taken; a subclass overrides it."""

    def __init__(self, store, record, service, ip, port, slots, zone="a", models=False):
        self.store, self.record, self.service = store, record, service
        self.ip, self.port, self.slots, self.zone, self.models = ip, port, slots, zone, models
        self.name = "i-%08x" % random.getrandbits(32)
        self.state, self.sequence, self.busy, self.queued = "ready", 0, 0, 0
        self.free = asyncio.Condition()
        self.runs = []
        self.work_s = 0.02

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beat = asyncio.create_task(self.beats())

    async def beats(self):
        while True:
            self.enter()
            await asyncio.sleep(1.2)

    def enter(self):
        self.sequence += 1
        entry = {"service": self.service, "address": "%s:%d" % (self.ip, self.port), "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "cold_remaining_ms": 0, "sequence": self.sequence}
        if self.models:
            entry.update(stage="both", models=[{"name": "m", "version": 1, "adapters": []}])
        self.store.write("keyed.servers", self.name, entry)

    def signed(self, id):
        return [("Request-Id", id), ("Response-Signature", "%s.%s" % (self.name, id))]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                await self.handle(line, headers, body, reader, writer)
        except (Broken, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def handle(self, line, headers, body, reader, writer):
        method, path, _ = line.split(" ")
        if path == "/health":
            return await self.send(writer, 200, [("Instance-Id", self.name)], b"")
        if path == "/api/report":
            report = {"stage": "both", "models": [], "busy": False, "sequence": self.sequence, "queue_depth": self.queued,
                      "in_flight": self.busy, "kv_used": 0, "kv_total": 235282, "handles": 0}
            return await self.send(writer, 200, [("Content-Type", "application/json")], json.dumps(report).encode())
        id = headers.get("request-id", "")
        if headers.get("expected-instance", self.name) != self.name:
            self.record(self.name, "421, doesn't run", id, "which expects", headers["expected-instance"])
            return await self.send(writer, 421, [("Request-Id", id), ("Instance-Id", self.name)], b"")
        if self.busy >= self.slots and self.queued >= 24:
            return await self.shed(writer, id)
        async with self.free:
            self.queued += 1
            await self.free.wait_for(lambda: self.busy < self.slots)
            self.queued -= 1
            self.busy += 1
        self.runs.append(id)
        self.record(self.name, "runs", id, method, path)
        try:
            await self.run(id, method, path, headers, body, reader, writer)
        finally:
            async with self.free:
                self.busy -= 1
                self.free.notify()

    async def shed(self, writer, id):
        self.record(self.name, "503 Not-Executed, doesn't run", id)
        await self.send(writer, 503, [("Request-Id", id), ("Not-Executed", "1")], b"")

    async def run(self, id, method, path, headers, body, reader, writer):
        await asyncio.sleep(self.work_s)
        await self.send(writer, 200, self.signed(id), b"done " + id.encode())

    async def send(self, writer, status, headers, body):
        words = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable", 500: "Internal Server Error"}
        writer.write(message("HTTP/1.1 %d %s" % (status, words[status]), headers + [("Content-Length", len(body))], body))
        await writer.drain()


# ---------------------------------------------------------------- clients

class Client:
    """A client with one kept connection to a front machine."""

    def __init__(self, address, key="key-1", host="app.example"):
        self.address, self.key, self.host = address, key, host
        self.writer = None
        self.requests = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(*self.address, limit=1 << 20), 1.0)
        self.requests = 0

    def head(self, id, method, path, deadline_ms, length, extra=()):
        headers = [("Host", self.host), ("Request-Id", id), ("Deadline-Remaining-Ms", deadline_ms),
                   ("Authorization", "Bearer " + self.key)] + list(extra)
        if method != "GET":
            headers.append(("Content-Length", length))
        return message("%s %s HTTP/1.1" % (method, path), headers)

    async def ask(self, id, method, path, deadline_ms, body=b"", extra=()):
        """Sends one request on the kept connection, or a new one, and returns status, headers and body."""
        if self.writer is None:
            await self.connect()
        try:
            self.requests += 1
            self.writer.write(self.head(id, method, path, deadline_ms, len(body), extra) + body)
            await self.writer.drain()
            head = await read_head(self.reader)
            if head is None:
                raise Broken("closed without an answer")
            status = int(head[0].split(" ")[1])
            answer = await read_body(self.reader, head[1], True)
            if head[1].get("connection", "").lower() == "close":
                self.close()
            return status, head[1], answer
        except (Broken, ConnectionError, OSError):
            self.close()
            raise

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def new_id():
    return "%016x" % random.getrandbits(64)


# ---------------------------------------------------------------- the project's programs

BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
          "drain_ms": 2000, "grace_period_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "rollback_slack_ms": 250, "max_skew_ms": 5000, "strict_revocation": True, "revoke_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 58, "quota_window_s": 8,
          "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 6.9}


class Site:
    """A small deployment of tvsv-joonis: a store, front machines and side machines on loopback addresses."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.net = "127.%d.%d" % (random.randrange(1, 250), random.randrange(1, 250))
        self.port = free_ports(20)
        self.store = Store()
        self.store_address = (self.net + ".200", self.port)
        self.processes = []

    async def start(self):
        await self.store.start(self.store_address)

    def front_ip(self, number):
        return "%s.%d" % (self.net, 10 + number)

    def side_ip(self, number):
        return "%s.%d" % (self.net, 50 + number)

    def front_address(self, number):
        return self.front_ip(number), self.port + 1

    def ready_address(self, number):
        return self.front_ip(number), self.port + 2

    def settings(self, name, machine, ip, zone, limits, listen, seeds):
        return {"node_name": name, "role": "entry" if machine == "frontend" else "agent", "machine_class": machine,
                "serves": ["frontend", "control_plane"] if machine == "frontend" else [], "ip": ip, "zone": zone,
                "region": "r", "zones": {"a": "r"}, "listen": listen,
                "internal_port_range": [self.port + 4, self.port + 19], "seed_nodes": seeds, "bootstrap": True,
                "counts_toward_tolerance": False, "limits": limits, "data_directory": None, "discovery": "platform",
                "entry": "vip", "heartbeat_interval_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"],
                "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "platform": {"address": "%s:%d" % self.store_address, "form": "log", "writes_per_s": 400,
                             "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "partition_mb_s": 20.0,
                             "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300,
                             "part_mb": 200, "ttl_min_ms": 1000}}

    async def launch(self, name, command, settings):
        path = os.path.join(self.folder.name, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder.name, name + ".log"), "ab")
        process = await asyncio.create_subprocess_exec(
            *command, path, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "WAGTAILHILL_CONFIG": path})
        process.name, process.command, process.settings, process.log = name, command, settings, log.name
        self.processes.append(process)
        self.record("started", name, "pid", process.pid)
        return process

    async def front(self, number, fronts, memory_mb=110):
        ip = self.front_ip(number)
        listen = {"frontend": "%s:%d" % (ip, self.port + 1), "ready": "%s:%d" % (ip, self.port + 2),
                  "control_plane": "%s:%d" % (ip, self.port + 3)}
        seeds = ["%s:%d" % (self.front_ip(other), self.port + 3) for other in range(fronts)]
        limits = {"cpu_share": 0.19, "cpu_cores": 1, "memory_mb": memory_mb, "file_descriptors": 4100,
                  "link_mbps": 1000.0, "disk_mb": 0}
        settings = self.settings("frontend-a-%d" % number, "frontend", ip, "a", limits, listen, seeds)
        return await self.launch("frontend-a-%d" % number, [GATEWAY, "gateway"], settings)

    async def agent(self, number):
        limits = {"cpu_share": 0.2, "cpu_cores": 1, "memory_mb": 192, "file_descriptors": 4096, "link_mbps": 2000, "disk_mb": 0}
        settings = self.settings("side-a-%d" % number, "side", self.side_ip(number), "a", limits, {}, [])
        return await self.launch("side-a-%d" % number, [AGENT, "--platform"], settings)

    async def ready(self, number):
        """Asks as the platform does whether a front machine is ready."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready_address(number)), 1.0)
            writer.write(message("GET /api/readiness HTTP/1.1", [("Host", "ready")]))
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError, Broken):
            return False

    async def wait_ready(self, number, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.ready(number):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for process in self.processes:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, priority=0, resumable=False):
    return {"name": name, "hostname": "app.example", "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": priority, "service": service, "max_attempts": attempts,
            "public": False, "session_affinity": kind == "streaming", "resumable": resumable, "gap_aim_ms": 300}


def config(version, routes, keys=("key-1",), idle_ms=15000):
    names = sorted({entry["service"] for entry in routes})
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": False}
                         for name in names],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms},
            "tenants": [{"name": "tenant-1", "api_keys": list(keys), "priority": 0, "unit": "tokens", "plain_tokens": 200,
                         "rate_per_s": 0, "burst": 0}]}


def main(folder, play):
    """Plays a case; exits with 1 where it returns broken rules, 0 where it returns none, 2 where it can't run."""
    record = Record(folder)

    async def whole():
        site = Site(record)

        def interrupted():
            site.stop()
            os._exit(2)

        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, interrupted)
        try:
            await site.start()
            return await asyncio.wait_for(play(site, record), 115)
        finally:
            site.stop()
            await asyncio.sleep(0.2)

    try:
        broken = asyncio.run(whole())
    except Exception as error:  # the case itself failed
        record("the case couldn't run:", repr(error))
        print("can't run:", repr(error))
        os._exit(2)
    record("RESULT", "broken" if broken else "held", broken or "")
    print("broken: %s" % broken if broken else "held")
    sys.stdout.flush()
    os._exit(1 if broken else 0)
