"""A server runs requests that may run once and fails a part of them with 503; clients are told that they have not run. See claim.txt."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit2
from kit2 import call, client_headers, now, route

ORDERS = 60
GREY_S = 6.0
SHARE = 0.4
PROMISES = (408, 421, 429, 503)


async def case(record, trouble):
    fleet = kit2.Deployment(record, fronts=2, storages=1)
    servers = [kit2.Server(record, fleet.store, f"i-{n}", "engine", f"zone-{'abc'[n % 3]}", slots=8, pause=0.03, events=1)
               for n in range(7)]
    try:
        for it in servers:
            await it.start()
        routes = [route("orders", "/orders/", "non_idempotent", attempts=1, timeout_ms=2500)]
        await fleet.start(kit2.config(1, routes))
        return await play(record, trouble, fleet, servers)
    finally:
        await fleet.stop()


async def play(record, trouble, fleet, servers):
    answers = {}

    async def order(front, request):
        headers = client_headers(request, **{"X-Deadline-Ms": "2500"})
        answers[request] = await call(front, "POST", f"/orders/{request.split('.')[0]}", headers, b"one meal", timeout=4)
        return answers[request]

    end, got, count = now() + 25, None, 0
    while now() < end and not (got and got.status == 200):
        count += 1
        got = await order(fleet.fronts[0].front, f"warm-{count}")
        await asyncio.sleep(0.2)
    if not got or got.status != 200:
        record("the deployment does not answer")
        return None
    await asyncio.sleep(2.0)
    if trouble:
        servers[0].fails = (503, SHARE)
        record(f"{servers[0].id}, one of {len(servers)} servers, fails {SHARE:.0%} of the requests that it runs with 503; its health is good")

    async def client(number):
        # As PROTOCOL.md says, a client sends a request that may run once again, with a new id, only after a promise.
        front = fleet.fronts[number % 2].front
        got = await order(front, f"order{number}.1")
        if got and got.status in PROMISES:
            await asyncio.sleep(0.3)
            await order(fleet.fronts[(number + 1) % 2].front, f"order{number}.2")
    grey_until = now() + GREY_S
    for number in range(ORDERS):
        await asyncio.gather(client(number), asyncio.sleep(0.1))
        if now() > grey_until - 0.5:
            break
    servers[0].fails = None
    record("the server fails no more requests")
    await asyncio.sleep(1.0)

    runs = {}
    for server in servers:
        for run in server.ran:
            runs.setdefault(run["id"], []).append((server.id, run))
    broken = twice = 0
    for request, got in answers.items():
        status = got.status if got else "none"
        ran = runs.get(request, [])
        if got and status in PROMISES and ran:
            broken += 1
            where = ", ".join(f"{server} from {run['at']:.3f} to {run['end']:.3f} s ({run['ended']})" for server, run in ran)
            stamp = got.headers.get("x-server-stamp", "none")
            record(f"{request} is answered {status} (stamp {stamp}) and ran at {where}")
    for number in range(ORDERS):
        twice += sum(len(runs.get(f"order{number}.{n}", [])) for n in (1, 2)) > 1
    record(f"requests that may run once, answered with a promise of not having run, and run: {broken}")
    record(f"orders that were run twice, because the client was told that the first attempt had not run: {twice}")
    return broken == 0


kit2.main(case)
