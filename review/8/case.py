"""A server fails a part of its requests with a status that the daemon does not know; items are given up for it. See claim.txt."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit2
from kit2 import call, client_headers, now, route

JOBS, ITEMS = 15, 200
ATTEMPTS = 2
SHARE = 0.4
GREY_S = 6.0
STATUS = 529


async def case(record, trouble):
    fleet = kit2.Deployment(record, fronts=2, storages=3)
    servers = [kit2.Server(record, fleet.store, f"i-{n}", "engine", f"zone-{'abc'[n % 3]}", slots=8, pause=0.03, events=3)
               for n in range(7)]
    try:
        for it in servers:
            await it.start()
        routes = [
            route("jobs", "/jobs/", "batch", priority=2, attempts=ATTEMPTS, due_ms=18000, max_wait_s=60.0, max_count=0,
                  timeout_ms=15000),
            route("lookups", "/lookups/", "idempotent", attempts=1, timeout_ms=2500),
        ]
        await fleet.start(kit2.config(1, routes))
        return await play(record, trouble, fleet, servers)
    finally:
        await fleet.stop()


async def play(record, trouble, fleet, servers):
    front = fleet.fronts[0].front
    answers = {}

    async def ask(request):
        answers[request] = await call(
            front, "POST", f"/lookups/{request}", client_headers(request, **{"X-Deadline-Ms": "2500"}), b"walnut", timeout=4)
        return answers[request]

    end, got, count = now() + 25, None, 0
    while now() < end and not (got and got.status == 200):
        count += 1
        got = await ask(f"warm-{count}")
        await asyncio.sleep(0.2)
    if not got or got.status != 200:
        record("the deployment does not answer")
        return None
    await asyncio.sleep(4.0)

    jobs = []
    for job in (f"job{n:02d}" for n in range(JOBS)):
        got = await call(front, "POST", f"/jobs/{job}", client_headers(job), kit2.job_body([f"{job}-{n}" for n in range(ITEMS)]))
        if got and got.status == 202:
            jobs.append(job)
    record(f"{len(jobs)} jobs of {ITEMS} items are accepted")
    if len(jobs) < JOBS // 2:
        return None
    await asyncio.sleep(1.0)
    if trouble:
        servers[0].fails = (STATUS, SHARE)
        record(f"{servers[0].id}, one of {len(servers)} servers, fails {SHARE:.0%} of its requests with {STATUS}; its health is good")
    end = now() + GREY_S
    count = 0
    while now() < end:
        count += 1
        await asyncio.gather(ask(f"look{count}"), asyncio.sleep(0.1))
    servers[0].fails = None
    record("the server fails no more requests")

    runs = {}
    errored = completed = 0
    for job in jobs:
        after, end = 0, now() + 40
        while after < ITEMS and now() < end:
            headers = client_headers(f"read-{job}-{after}", **{"X-Wait-Ms": "1000"})
            got = await call(front, "GET", f"/v1/lots/{job}?after={after}", headers)
            if not got or got.status != 200:
                await asyncio.sleep(0.3)
                continue
            answer = got.json()
            runs = {}
            for server in servers:
                for run in server.ran:
                    runs.setdefault(run["id"], []).append(run["ended"])
            for result in answer["results"]:
                if result["state"] == "completed":
                    completed += 1
                    continue
                ended = runs.get(result["id"], [])
                given_up = ended.count("answered 500") < ATTEMPTS and "answered 422" not in ended
                record(f"item {result['id']} is listed as errored; its servers: {', '.join(ended)}")
                errored += given_up
            after += len(answer["results"])
    record(f"items that are completed: {completed}; listed as errored before a 422, {ATTEMPTS} answers of 500 or max_wait_s: {errored}")

    changed = 0
    for server in servers:
        for run in server.ran:
            got = answers.get(run["id"])
            if got and run["ended"].startswith("answered") and got.headers.get("x-server-stamp", "").startswith(server.id + "."):
                given = int(run["ended"].split()[1])
                record(f"{run['id']}: {server.id} answers {given}; the client gets {got.status} with the stamp "
                       f"{got.headers['x-server-stamp']}")
                changed += given != got.status
    record(f"failures with a server's stamp and another status than that server gave: {changed}")
    return errored == 0 and changed == 0


kit2.main(case)
