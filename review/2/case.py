"""Many users come at once with large requests: the bodies that a front machine holds exceed its memory."""
import os, sys
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, ".."))
from stand import *

RUNNERS, SLOTS = 6, 5                   # joonis-lm of tvsv-joonis: 5 slots each
EVENTS, GAP_S = 6, 0.2                  # permit-note: 6 events, pauses up to 300 ms
MEMORY_MB = 110                         # frontend of tvsv-joonis
BODY = 4194304                          # limits.max_body_bytes of the configuration
LINK_BYTES_S = 125e6                    # link_mbps = 1000 of a frontend machine
UPLOAD_S = 0.05                         # a client sends one body in this time where the link is free
USUAL, BURST_X, BURST_S = 12, 2.1, 5.0  # burst: x = 2.1 for up to 5.0 s
BURSTS, END_S = (10.0, 25.0, 40.0), 52.0


class Streaming(Runner):
    async def run(self, id, method, path, headers, body, reader, writer):
        writer.write(message("HTTP/1.1 200 OK", self.signed(id) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(GAP_S)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) + (b"0\r\n\r\n" if number == EVENTS else b""))
            await writer.drain()


class Link:
    """The front machine's link: pieces of all uploads go one after another, at its bandwidth."""
    free_at = 0.0
    longest_wait = 0.0

    async def carry(self, size):
        start = max(self.free_at, time.monotonic())
        self.longest_wait = max(self.longest_wait, start - time.monotonic())
        self.free_at = start + size / LINK_BYTES_S
        await asyncio.sleep(max(0, self.free_at - time.monotonic()))


async def upload(client, id, link):
    """Sends a request of the largest size on the kept connection and returns the status of a complete answer."""
    if client.writer is None:
        await client.connect()
    client.requests += 1
    extra = [("Model", "m"), ("Token-Usage", "1800,24"), ("Prompt-Prefix", "5c1e07a2:60,%s:1740" % id[:8])]
    client.writer.write(client.head(id, "POST", "/note/" + id, 3000, BODY, extra))
    body, start, piece = id.encode() * (BODY // 16), time.monotonic(), 65536
    for at in range(0, BODY, piece):
        await link.carry(piece)
        client.writer.write(body[at:at + piece])
        await client.writer.drain()
        await asyncio.sleep(max(0, start + UPLOAD_S * (at + piece) / BODY - time.monotonic()))
    head = await read_head(client.reader)
    if head is None:
        raise Broken("closed without an answer")
    await read_body(client.reader, head[1], True)
    if head[1].get("connection", "").lower() == "close":
        client.close()
    return int(head[0].split(" ")[1])


async def play(site, record):
    runners = []
    for number in range(RUNNERS):
        runner = Streaming(site.store, record, "joonis-lm", site.side_ip(number), site.port + 18, SLOTS, models=True)
        await runner.start()
        runners.append(runner)
        await site.agent(number)
    site.store.write("keyed.op", "config", config(7, [
        route("permit-note", "/note/", "streaming", "joonis-lm", 3000, 1200, 1, priority=1)]))
    front = await site.front(0, 1, MEMORY_MB)
    if not await site.wait_ready(0):
        raise RuntimeError("the front machine isn't ready")
    await asyncio.sleep(1)
    lost, counts, peak, kills, link = [], {}, 0.0, 0, Link()

    async def client(end):
        client = Client(site.front_address(0))
        while now() < end:
            id = new_id()
            was_kept = client.writer is not None and client.requests > 0
            record("client sends", id, "on a kept connection" if was_kept else "on a new connection")
            try:
                status = await upload(client, id, link)
            except (Broken, OSError, asyncio.TimeoutError) as error:
                status = "closed (%s)" % error
                client.close()
                if was_kept and any(id in runner.runs for runner in runners):
                    lost.append(id)
                await asyncio.sleep(random.uniform(0.3, 1.3))
            counts[status if isinstance(status, int) else "closed"] = counts.get(status if isinstance(status, int) else "closed", 0) + 1
            record("client gets", id, status)
            await asyncio.sleep(random.uniform(0, 0.1))
        client.close()

    async def platform():
        """Ends a process that exceeds memory_mb, and starts it again, as DEPLOY.md says. Counts its own pages only."""
        nonlocal front, peak, kills
        while True:
            with open("/proc/%d/status" % front.pid) as file:
                used = int(file.read().split("RssAnon:")[1].split()[0]) * 1024 / 1e6
            if used > peak:
                peak = used
                record("memory of the front process: %.1f MB" % used)
            if used > MEMORY_MB:
                kills += 1
                record("the front process exceeds its memory and is killed")
                front.kill()
                await front.wait()
                await asyncio.sleep(0.5)
                front = await site.front(0, 1, MEMORY_MB)
            await asyncio.sleep(0.01)

    watch = asyncio.create_task(platform())
    clients = []
    for number in range(USUAL):
        clients.append(asyncio.create_task(client(END_S)))
        await asyncio.sleep(0.1)
    for at in BURSTS:
        await asyncio.sleep(max(0, at - now()))
        if TROUBLE:
            more = int(USUAL * BURST_X) - USUAL
            record("burst:", more, "more clients")
            for _ in range(more):
                clients.append(asyncio.create_task(client(at + BURST_S)))
                await asyncio.sleep(0.1)
    await asyncio.wait(clients, timeout=END_S - now() + 8)
    watch.cancel()
    record("answers", counts, "peak memory %.1f MB" % peak, "kills", kills,
           "longest wait for the link %.2f s" % link.longest_wait)
    for id in lost:
        record("LOST", id, "was passed on to a runner; its connection was closed without an answer")
    return "LOST %d" % len(lost) if len(lost) > 3 else ""


main(HERE, play)
