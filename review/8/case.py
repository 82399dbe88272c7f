"""A request that crashes its runners comes again after all gateways were killed at the same moment."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from stand2 import Record, Site, call, is_ready  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KILLS = 2  # how often all gateways are killed
DOWN_S = 1.0  # after which they start again
ATTEMPTS = 3  # client attempts with the request before the first kill and after each one
PAUSE_S = 4.0  # between two of them
BACK_S = 3.0  # after which a crashed runner is back, "some seconds"
WINDOW_S = 3.0  # stability_window_ms
MOST = 3  # retries that the rule allows

ROUTE = {"hostname": "site.example", "priority": 0, "service": "llm", "public": False, "session_affinity": True,
         "type": "streaming", "timeout_ms": 5000, "target_latency_ms": 800, "gap_aim_ms": 300}
ROUTES = [ROUTE | {"name": "summary", "path_prefix": "/summary/", "max_attempts": 2, "resumable": True},
          ROUTE | {"name": "note", "path_prefix": "/note/", "max_attempts": 1, "resumable": False}]
BODY = b"a prompt that crashes runners"


async def play(record, site):
    starts = 0
    crashes = []

    def behave(request):
        if request["body"] != BODY:
            return None
        asyncio.get_running_loop().call_later(0.3, crash, request)
        return None

    def crash(request):
        runner = next((runner for runner in site.runners if runner.name == request["runner"]), None)
        # The request may have ended before: its connection was closed.
        if runner and request["id"] in [active["id"] for active in runner.active.values()]:
            crashes.append((record.now(), request["id"], request["runner"]))
            record(f"{request['runner']} crashes as it runs {request['id']}")
            asyncio.ensure_future(runner.crash())
            asyncio.get_running_loop().call_later(BACK_S, back, runner)

    def back(runner):
        nonlocal starts
        starts += 1
        asyncio.ensure_future(runner.come_back(f"i-llm-again-{starts}"))
        record(f"i-llm-again-{starts} is back")

    runners = [{"name": f"i-llm-{index}", "service": "llm", "slots": 5, "behave": behave} for index in range(6)]
    if not await site.start(2, runners, site.config(1, ROUTES, services=("llm",))):
        return 2
    await asyncio.sleep(4)
    others, lost = [], []

    async def other(number):
        gateway = site.gateways[number % 2].frontend
        name = f"other-{number}"
        headers = {"deadline-remaining-ms": "3000", "model": "m", "token-usage": "200,24", "events": "6",
                   "prompt-prefix": f"a1:60,{number + 4096:x}:140"}
        answer = await call(gateway, "POST", "/note/x", name, headers, b"x" * 600)
        ran = [runner.name for runner in site.runners if name in runner.runs]
        record(f"client gets {answer.status} for {name}, whole: {answer.whole}, run by {ran}")
        if ran and not (answer.status == 200 and answer.whole) and not killing:
            lost.append(name)

    async def traffic():
        for number in range(100_000):
            others.append(asyncio.ensure_future(other(number)))
            await asyncio.sleep(0.03)

    killing = False
    background = asyncio.ensure_future(traffic())
    statuses = []
    for phase in range(KILLS + 1):
        if phase > 0 and TROUBLE:
            record("all gateways are killed")
            killing = True
            for gateway in site.gateways:
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
            await asyncio.sleep(DOWN_S)
            for gateway in site.gateways:
                gateway.start()
            while not all([await is_ready(gateway.ready) for gateway in site.gateways]):
                await asyncio.sleep(0.05)
            record("all gateways are ready again")
            killing = False
            await asyncio.sleep(WINDOW_S + 1.0)
        for attempt in range(ATTEMPTS):
            gateway = site.gateways[attempt % 2].frontend
            name = f"poison-{phase}-{attempt}"
            record(f"client sends {name} to {gateway}")
            start = record.now()
            headers = {"deadline-remaining-ms": "5000", "model": "m", "token-usage": "400,200", "events": "50",
                       "prompt-prefix": "a1:60,b2:340"}
            answer = await call(gateway, "POST", "/summary/x", name, headers, BODY)
            record(f"client gets {answer.status} for {name}, whole: {answer.whole}, {len(answer.body)} bytes")
            statuses.append(answer.status)
            await asyncio.sleep(max(0.0, PAUSE_S - (record.now() - start)))
    background.cancel()
    await asyncio.gather(*others)

    arrivals = sorted((request["at"], request["id"]) for runner in site.runners for request in runner.arrived
                      if request["id"].startswith("poison"))
    if not arrivals or len(crashes) < 2:
        return 2
    record(f"answers to the request: {statuses}; runners that it crashed: {len(crashes)}; "
           f"requests of others that ran and were lost: {len(lost)}")
    if len(crashes) < 3:
        return 0
    seen, late, resent = set(), 0, 0
    for at, number in arrivals:
        if at > crashes[2][0] + WINDOW_S:
            late += 1
            resent += number in seen
        seen.add(number)
    record(f"third crash at {crashes[2][0]:.3f} s; more than {WINDOW_S} s later it reaches runners {late} times; "
           f"{resent} of these were sent to a second runner within one attempt of the client")
    return 1 if resent > MOST else 0


async def main():
    record = Record(os.path.join(FOLDER, "record.txt"))
    site = Site(record)
    try:
        code = await play(record, site)
    except OSError as error:
        record(f"the case couldn't run: {error}")
        code = 2
    finally:
        site.end()
    record({0: "the rule held", 1: "BUDGET is broken", 2: "the case couldn't run"}[code])
    return code


sys.exit(asyncio.run(main()))
