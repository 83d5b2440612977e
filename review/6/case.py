"""The store turns one storage daemon away while jobs are accepted and ended; later, items of ended jobs run. See claim.txt."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "kit-2"))
import kit2
from kit2 import call, client_headers, now, route

CANCEL_S = 3.0    # cancel_ms
CONTACT_S = 3.0   # contact_ms
TURNED_AWAY_S = 5.0
JOBS, ITEMS = 9, 3
ONLINE = 12


async def case(record, trouble):
    fleet = kit2.Deployment(record, fronts=2, storages=3)
    servers = [kit2.Server(record, fleet.store, f"i-{n}", "engine", f"zone-{'abc'[n]}", slots=2) for n in range(2)]
    try:
        for it in servers:
            await it.start()
            it.events_of = lambda path: 20 if path.startswith("/ask/") else 10
        routes = [
            route("ask", "/ask/", "streaming", resumable=True, sticky=True, gap_target_ms=300, timeout_ms=15000),
            route("jobs", "/jobs/", "batch", priority=2, attempts=3, due_ms=18000, max_wait_s=60.0, max_count=0, timeout_ms=15000),
        ]
        await fleet.start(kit2.config(1, routes))
        return await play(record, trouble, fleet, servers)
    finally:
        await fleet.stop()


async def play(record, trouble, fleet, servers):
    front = fleet.fronts[0].front

    async def submit(job):
        body = kit2.job_body([f"{job}-{n}" for n in range(ITEMS)])
        return await call(front, "POST", f"/jobs/{job}", client_headers(job), body)

    async def completed(job):
        got = await call(front, "GET", f"/v1/lots/{job}?after=0", client_headers("r-" + job, **{"X-Wait-Ms": "1000"}))
        return got is not None and got.status == 200 and len(got.json()["results"]) == ITEMS

    # Each storage daemon is known to run jobs before the disruption begins.
    end = now() + 25
    warm = None
    while now() < end and not (warm and warm.status == 202):
        await asyncio.sleep(0.5)
        warm = await submit("warm")
    while now() < end and not await completed("warm"):
        await asyncio.sleep(0.2)
    if not await completed("warm"):
        record("the deployment does not run a job")
        return None
    await asyncio.sleep(4.0)

    stop_load = asyncio.Event()

    async def client(number):
        count = 0
        while not stop_load.is_set():
            count += 1
            request = f"ask-{number}-{count}"
            headers = client_headers(request, **{"X-Model": "m", "X-Token-Count": "100,20", "X-Deadline-Ms": "15000"})
            got = await call(front, "POST", f"/ask/{request}", headers, b"question", timeout=15)
            if got is None or got.status != 200:
                await asyncio.sleep(0.05)
    clients = [asyncio.create_task(client(n)) for n in range(ONLINE)]
    await asyncio.sleep(2.5)

    node = fleet.storages[0].node
    if trouble:
        fleet.store.turned_away[node] = 429
        record(f"the store turns {node} away (429) and serves all others")
    await asyncio.sleep(0.8)
    ended = {}
    jobs = []
    for job in (f"job{n:02d}" for n in range(JOBS)):
        got = await submit(job)
        record(f"job {job} is submitted: {got and got.status}")
        if got and got.status == 202:
            jobs.append(job)
    await asyncio.sleep(1.0)
    for job in jobs:
        for attempt in range(5):
            got = await call(front, "DELETE", f"/v1/lots/{job}", client_headers(f"end-{job}-{attempt}"))
            if got and got.status == 200:
                ended[job] = now()
                record(f"the end of job {job} is acknowledged")
                break
            await asyncio.sleep(0.2)
    rest = TURNED_AWAY_S - 0.8 - 1.0
    await asyncio.sleep(rest)
    fleet.store.turned_away.clear()
    back = now()
    if trouble:
        record(f"the store serves {node} again")
    await asyncio.sleep(CONTACT_S + 1.5)
    record("the online clients have no further questions")
    stop_load.set()
    await asyncio.gather(*clients)
    await asyncio.sleep(6.0)

    broken = 0
    for server in servers:
        for run in server.ran:
            job = run["id"].split("-")[0]
            if job in ended:
                late = run["at"] - ended[job]
                record(f"item {run['id']} ran at {server.id} from {run['at']:.3f} s, {late:+.3f} s after the end of its job, to "
                       f"{run['end'] or now():.3f} s ({run['ended']})")
                # All daemons are in touch: the disruption has been over for contact_ms.
                if late > CANCEL_S and run["at"] > back + CONTACT_S:
                    broken += 1
    record(f"items that ran more than {CANCEL_S} s after the acknowledged end of their job, by daemons in touch: {broken}")
    if len(ended) < 3:
        record("too few jobs were ended")
        return None
    return broken == 0


kit2.main(case)
