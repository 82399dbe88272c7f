"""A runner restarts at its address; of its answers, some come twice, the second one late (PROTOCOL.md, Runners)."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from stand import *

FRONTS, RUNNERS, SLOTS, WORK_S = 3, 3, 6, 0.06   # permit-api of tunturi-reitti: share 1 of 3 is hit at a time
DOWN_S = 1.5                                     # srv_crash: at most 4.5 s
LATE_X, LATE_S = 0.03, 5.0                       # garble, how = extra late: x = 0.03 of the answers, 5 s
PERIOD_S, END_S = 6.5, 90.0
CLIENTS, THINK_S = 54, 0.2


class Faulty(Runner):
    late_until = 0.0
    extras = answered = chosen = 0
    writers = None

    async def serve(self, reader, writer):
        self.writers = self.writers or set()
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def handle(self, line, headers, body, reader, writer):
        id = headers.get("request-id", "")
        second = getattr(writer, "second", None)
        if second is not None and id:
            # The second answer arrives at the point where the next response is expected.
            writer.second = None
            self.extras += 1
            self.record(self.name, "sends its second answer to", second[0], "where that to", id, "is expected")
            writer.write(second[1])
        await super().handle(line, headers, body, reader, writer)

    async def send(self, writer, status, headers, body):
        await super().send(writer, status, headers, body)
        if now() < self.late_until:
            # A second answer follows to at most LATE_X of the answers: to those with 421 first.
            self.answered += 1
            if status == 421 and self.chosen < LATE_X * self.answered + 1:
                self.chosen += 1
                words = message("HTTP/1.1 421 Misdirected Request", headers + [("Content-Length", 0)])
                writer.second = (dict(headers)["Request-Id"], words)

    async def crash(self):
        """Loses its connections and requests, and is back after DOWN_S with a new id, at the same address."""
        self.beat.cancel()
        self.record(self.name, "crashes")
        self.server.close()
        for writer in list(self.writers or ()):
            writer.transport.abort()
        old, entered = self.name, time.monotonic()
        await asyncio.sleep(DOWN_S)
        self.name = "i-%08x" % random.getrandbits(32)
        self.late_until = now() + LATE_S
        await self.start()
        self.record(self.name, "starts at the address of", old)
        # The store removes the old entry after three heartbeats of silence.
        await asyncio.sleep(max(0, 3.6 - (time.monotonic() - entered)))
        self.store.append("keyed.servers", old, b"")


async def play(site, record):
    runners = []
    for number in range(RUNNERS):
        runner = Faulty(site.store, record, "permit-api", site.side_ip(number), site.port + 18, SLOTS)
        runner.work_s = WORK_S
        await runner.start()
        runners.append(runner)
    site.store.write("keyed.op", "config", config(7, [
        route("status-check", "/status/", "unsafe", "permit-api", 2000, 300, 1, priority=2),
        route("hut-lookup", "/hut/", "safe", "permit-api", 2000, 300, 2, priority=2)]))
    for number in range(FRONTS):
        await site.front(number, FRONTS, memory_mb=260)
    for number in range(FRONTS):
        if not await site.wait_ready(number):
            raise RuntimeError("a front machine isn't ready")
    await asyncio.sleep(1)
    answers, kinds = {}, {}

    async def client(number):
        client = Client(site.front_address(number % FRONTS))
        while now() < END_S:
            id = new_id()
            unsafe = random.random() < 0.6
            method, path = ("POST", "/status/" + id) if unsafe else ("GET", "/hut/" + id)
            kinds[id] = "unsafe" if unsafe else "safe"
            record("client sends", id, method, path)
            try:
                status, _, _ = await client.ask(id, method, path, 4000, b"permit " + id.encode() if unsafe else b"")
            except (Broken, OSError, asyncio.TimeoutError) as error:
                status = "closed (%s)" % error
            answers[id] = status
            record("client gets", id, status)
            await asyncio.sleep(random.uniform(0, 2 * THINK_S))

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    turn = 0
    while now() < END_S - PERIOD_S:
        await asyncio.sleep(PERIOD_S)
        if TROUBLE:
            asyncio.create_task(runners[turn % RUNNERS].crash())
            turn += 1
    await asyncio.wait(clients, timeout=PERIOD_S + 10)
    await asyncio.sleep(1)
    runs = {}
    for runner in runners:
        for id in runner.runs:
            runs[id] = runs.get(id, 0) + 1
    twice = [id for id, count in runs.items() if count > 1 and kinds[id] == "unsafe"]
    refused = [id for id, status in answers.items() if status in (408, 421, 429, 503) and id in runs and kinds[id] == "unsafe"]
    record("requests", len(answers), "answers in the windows", sum(runner.answered for runner in runners),
           "late second answers", sum(runner.extras for runner in runners))
    for id in twice:
        record("TWICE", id, "ran", runs[id], "times")
    for id in refused:
        record("REFUSED", id, "was answered", answers[id], "and ran")
    return "TWICE %d, REFUSED %d" % (len(twice), len(refused)) if twice or refused else ""


main(HERE, play)
