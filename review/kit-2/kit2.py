"""Stand-ins and tools that the cases share: the platform's store, model servers, clients, and a small deployment.

Everything listens on 127.0.0.1 and on free ports. The daemons are started with the command of the deploy file and with the settings
that the templates of the deploy file give; each daemon has a port of the store of its own, so that the store can turn it away alone.
"""

import asyncio
import base64
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
T0 = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - T0


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, text):
        line = f"{now():8.3f} s  {text}"
        self.file.write(line + "\n")
        print(line, flush=True)


def free_ports(count):
    socks = [socket.socket() for _ in range(count)]
    for it in socks:
        it.bind(("127.0.0.1", 0))
    ports = [it.getsockname()[1] for it in socks]
    for it in socks:
        it.close()
    return ports


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    except OSError:
        pass
    writer.close()


class Answer:
    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete

    def json(self):
        return json.loads(self.body)


async def call(address, method, path, headers=(), body=b"", timeout=10.0):
    """One request on a connection of its own; `None` if no whole answer comes in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, got = await read_head(reader)
            return Answer(int(first.split()[1]), got, await read_body(reader, got), True)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, asyncio.LimitOverrunError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


# ---------------------------------------------------------------- the platform's store

class Store:
    """The store of the platform: revisions, leases, history. `turned_away[node]` is a status, "reset" or "silent"."""

    def __init__(self, record):
        self.record, self.rev, self.keys, self.history, self.leases = record, 1, {}, [], {}
        self.next_lease, self.turned_away, self.delay = 1, {}, {}
        self.changed = asyncio.Event()
        self.on_txn = None
        self.floor = 0

    async def listen(self, node, port):
        async def serve(reader, writer):
            try:
                await self.serve(node, reader, writer)
            except asyncio.CancelledError:
                pass  # the script ends
        await asyncio.start_server(serve, "127.0.0.1", port, limit=1 << 26)

    async def serve(self, node, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                how = self.turned_away.get(node)
                if how == "reset":
                    return reset(writer)
                if how == "silent":
                    await asyncio.sleep(3600)
                if how:
                    status, answer = how, {}
                else:
                    if self.delay.get(node):
                        await asyncio.sleep(self.delay[node])
                    status, answer = await self.perform(node, method, target, body)
                if status == "reset":
                    return reset(writer)
                data = json.dumps(answer).encode() if answer is not None else b""
                writer.write(answer_bytes(status, data, [("Content-Type", "application/json")]))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def perform(self, node, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        self.expire()
        parts = url.path.split("/")
        name = parts[2] if len(parts) > 2 else ""
        if name == "kv-key":
            item = self.keys.get(query["key"])
            return (200, {**item, "current_rev": self.rev}) if item else (404, {})
        if name == "kv-range":
            return 200, self.range(query.get("path_prefix", ""), query.get("after"))
        if name == "kv-watch":
            return await self.watch(node, query["path_prefix"], int(query["after"]), int(query["wait_ms"]))
        if name == "kv-txn":
            return self.txn(json.loads(body), node)
        if name == "kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [now() + ttl / 1000, ttl]
            return 200, {"lease": lease, "ttl_ms": ttl}
        if name == "kv-keep":
            lease = self.leases.get(int(parts[3]))
            if not lease:
                return 404, {}
            lease[0] = now() + lease[1] / 1000
            return 200, {"lease": int(parts[3]), "ttl_ms": lease[1]}
        if name == "kv-lease-end":
            if self.leases.pop(int(parts[3]), None) is None:
                return 404, {}
            self.drop_lease(int(parts[3]))
            return 200, {}
        return 404, {}

    def expire(self):
        for lease in [it for it, (end, _) in self.leases.items() if end <= now()]:
            del self.leases[lease]
            self.drop_lease(lease)

    def drop_lease(self, lease):
        gone = [key for key, it in self.keys.items() if it["lease"] == lease]
        if gone:
            self.rev += 1
            for key in gone:
                self.remove(key)
            self.wake()

    def remove(self, key):
        del self.keys[key]
        self.history.append({"key": key, "rev": self.rev, "removed": True})

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def range(self, prefix, after):
        found = sorted(it for it in self.keys if it.startswith(prefix) and (after is None or it > after))
        items, size = [], 0
        for key in found:
            size += len(self.keys[key]["value"]) * 3 // 4
            if items and (len(items) >= 500 or size > 1 << 20):
                break
            items.append(self.keys[key])
        return {"items": items, "has_more": len(items) < len(found), "current_rev": self.rev}

    async def watch(self, node, prefix, after, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            self.expire()
            if after < self.floor:
                return 410, {}
            events = [it for it in self.history if it["rev"] > after and it["key"].startswith(prefix)]
            if events or now() >= end:
                return 200, {"events": events, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), min(0.05, max(0.001, end - now())))
            except TimeoutError:
                pass
            how = self.turned_away.get(node)
            if how:
                # A watch that waits may be cut.
                return "reset", None

    def txn(self, req, node="operator"):
        expected = req.get("expect_rev", [])
        if any(self.keys.get(it["key"], {}).get("rev", 0) != it["rev"] for it in expected):
            return 412, {"items": [self.keys[it["key"]] for it in expected if it["key"] in self.keys]}
        writes, removals = req.get("writes", []), [it for it in req.get("remove", []) if it in self.keys]
        if any(it.get("lease", 0) and it["lease"] not in self.leases for it in writes):
            return 404, {}
        if writes or removals:
            self.rev += 1
            for it in writes:
                key = it["key"]
                created = self.keys.get(key, {}).get("created", self.rev)
                item = {"key": key, "value": it["value"], "rev": self.rev, "created": created, "lease": it.get("lease", 0)}
                self.keys[key] = item
                self.history.append(item)
            for key in removals:
                self.remove(key)
            self.wake()
        if self.on_txn:
            self.on_txn(node, req)
        return 200, {"rev": self.rev}

    def put(self, key, value, lease=0):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.txn({"writes": [{"key": key, "value": text, "lease": lease}]})


# ---------------------------------------------------------------- model servers

class Server:
    """A model server: runs `slots` requests at once and refuses the others, streams events, and resumes at `Last-Event-Id`."""

    def __init__(self, record, store, name, service, zone, slots=1, pause=0.1, events=10):
        self.record, self.store, self.id, self.service, self.zone = record, store, name, service, zone
        self.slots, self.pause, self.events, self.running, self.seq = slots, pause, events, 0, 0
        self.state, self.reached, self.ran = "ready", [], []
        self.events_of = lambda path: self.events
        self.health_path = "/health"
        # Connections that were opened before this time send nothing any more, and nothing that arrives on them is read.
        self.silent_before = 0.0
        # The status with which a share of the requests that were run fail, and that share.
        self.fails = None
        self.failing = 0.0
        self.writers = set()
        # Headers of the server's own in its answers.
        self.own_headers = []

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat = asyncio.create_task(self.register())

    async def crash(self):
        """Ends at once. The entry is removed after three heartbeat intervals of silence."""
        self.beat.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(3.6)
        self.store.txn({"remove": [f"servers/{self.id}"]})

    async def register(self):
        while True:
            self.seq += 1
            self.store.put(f"servers/{self.id}", {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self.seq,
            })
            await asyncio.sleep(1.2)

    def load(self):
        return [("X-Server-Load", f"{self.running},0,{self.slots}")]

    async def serve(self, reader, writer):
        opened = now()
        self.writers.add(writer)
        writer.is_silent = lambda: opened < self.silent_before
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if writer.is_silent():
                    await asyncio.sleep(3600)
                method, path, _ = first.split(" ")
                if not await self.respond(reader, writer, method, path, headers, body):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, reader, writer, method, path, headers, body):
        request = headers.get("x-request-id", "")
        echo = [("X-Request-Id", request)]
        if path == self.health_path:
            writer.write(answer_bytes(200, b"", [("X-Instance-Id", self.id)] + echo + self.load()))
            return True
        if path == "/v1/report":
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                      "queued": 0, "running": self.running, "kv_used": 0, "kv_total": 90000, "handles": 0, "state": self.state,
                      "runs": [], "next": 0, "pinned": 0, "held": 0}
            writer.write(answer_bytes(200, json.dumps(report).encode(), [("Content-Type", "application/json")] + echo))
            return True
        self.reached.append((now(), request))
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(421, b"", echo))
            return True
        if self.running >= self.slots:
            writer.write(answer_bytes(503, b"", echo + [("X-Not-Run", "1")] + self.load()))
            return True
        self.running += 1
        run = {"id": request, "at": now(), "method": method, "path": path, "end": None, "ended": "cut", "headers": headers, "body": body,
               "writer": writer}
        self.ran.append(run)
        gone = asyncio.create_task(reader.read(1))
        try:
            head = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"), ("Connection", "close"),
                    ("X-Server-Stamp", f"{self.id}.{len(self.ran)}")] + echo + self.load() + self.own_headers
            text = "\r\n".join(["HTTP/1.1 200 OK"] + [f"{n}: {v}" for n, v in head]) + "\r\n\r\n"
            begin = int(headers.get("last-event-id", "0")) + 1
            if self.fails and method == "POST":
                status, share = self.fails
                self.failing += share
                if self.failing >= 1:
                    self.failing -= 1
                    await asyncio.sleep(self.pause)
                    stamp = ("X-Server-Stamp", f"{self.id}.{len(self.ran)}")
                    writer.write(answer_bytes(status, b"the step after the first one failed", echo + [stamp] + self.load()))
                    await writer.drain()
                    run["ended"] = f"answered {status}"
                    gone.cancel()
                    try:
                        await gone
                    except asyncio.CancelledError:
                        pass
                    return True
            for n in range(begin, self.events_of(path) + 1):
                done, _ = await asyncio.wait([gone], timeout=self.pause)
                if done:
                    return False
                while writer.is_silent():
                    await asyncio.sleep(0.05)
                    if gone.done():
                        return False
                event = f"id: {n}\ndata: {request}.{n}\n\n".encode()
                writer.write((text.encode() if n == begin else b"") + f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            if begin > self.events_of(path):
                writer.write(text.encode())
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run["ended"] = "whole"
            return False
        except OSError:
            return False
        finally:
            gone.cancel()
            self.running -= 1
            run["end"] = now()


# ---------------------------------------------------------------- the deployment

def render(text, fields):
    """Fills in a template as DEPLOY.md says, as far as the templates of this project need it."""
    def value(path):
        found = fields
        for part in path.split("."):
            found = found[int(part)] if isinstance(found, list) else (found or {}).get(part)
            if found is None:
                return None
        return found
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda it: it[2].replace("{{.}}", str(value(it[1]))) if value(it[1]) is not None else "", text, flags=re.S)

    def fill(it):
        path, _, form = it[1].partition("|")
        found = value(path)
        if form == "json" or isinstance(found, bool):
            return json.dumps(found)
        return "" if found is None else str(found)
    return re.sub(r"\{\{([\w.|]+)\}\}", fill, text)


class Daemon:
    def __init__(self, node, role, fields, template, run, folder, env):
        self.node, self.role, self.fields, self.run, self.env = node, role, fields, run, env
        self.settings = os.path.join(folder, node + ".jsonc")
        pathlib.Path(self.settings).write_text(render((ROOT / template).read_text(), fields))
        self.log = open(os.path.join(folder, node + ".log"), "ab")
        self.process = None

    async def start(self):
        words = [self.settings if it == "/etc/borageshed/boot.toml" else it for it in self.run.split()]
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, stdout=self.log, stderr=self.log, env=self.env)

    def signal(self, number):
        self.process.send_signal(number)

    @property
    def front(self):
        host, port = self.fields["listen"]["front"].split(":")
        return host, int(port)


class Deployment:
    """A small deployment; `fronts` and `storages` are the numbers of daemons, each in a zone of its own."""

    def __init__(self, record, fronts=2, storages=3):
        self.record, self.folder = record, tempfile.TemporaryDirectory()
        self.store, self.daemons = Store(record), {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        for role, count, cls in [("entry", fronts, "front"), ("storage", storages, "store")]:
            for n in range(count):
                zone = f"zone-{'abc'[n % 3]}"
                node = f"{cls}-{zone}-{n // 3 + 1}"
                store, front, ready, peer, admin = free_ports(5)
                listen = {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"} if cls == "front" else {}
                fields = {
                    "node": node, "role": role, "machine_class": cls, "serves": [cls], "ip": "127.0.0.1", "zone": zone,
                    "region": "r", "port_range": [peer, admin], "seeds": [], "bootstrap": True, "in_tolerance": cls == "store",
                    "listen": listen,
                    "limits": {"cpu_share": 0.25 if cls == "front" else 0.5, "cores": 1, "memory_mb": 260, "max_fds": 4100},
                    "bounds": {"drain_ms": 2000, "grace_s": 8, "strict_revoke": False},
                    "platform": {"address": f"127.0.0.1:{store}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000,
                                 "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
                }
                env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
                it = Daemon(node, role, fields, deploy[role]["template"], deploy[role]["run"], self.folder.name, env)
                it.store_port = store
                self.daemons[node] = it

    @property
    def fronts(self):
        return [it for it in self.daemons.values() if it.role == "entry"]

    @property
    def storages(self):
        return [it for it in self.daemons.values() if it.role == "storage"]

    async def start(self, config):
        self.store.put("op/config", config)
        for it in self.daemons.values():
            await self.store.listen(it.node, it.store_port)
        for it in self.daemons.values():
            await it.start()

    async def stop(self):
        for it in self.daemons.values():
            if it.process and it.process.returncode is None:
                try:
                    it.signal(signal.SIGCONT)
                    it.process.kill()
                except ProcessLookupError:
                    pass
                await it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            os.system(f"mkdir -p {os.environ['KEEP_LOGS']} && cp {self.folder.name}/* {os.environ['KEEP_LOGS']}/")
        self.folder.cleanup()


KEY = "k3yof0acme00000000aa"
HOST = "shop.example"


def config(version, routes, tenants=None, health_path="/health", services=None):
    return {
        "version": version, "routes": routes, "services": services or [{"name": "engine", "health_path": health_path}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants or [{"name": "acme", "api_keys": [KEY]}],
    }


def route(name, prefix, kind, **more):
    base = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000, "slo_ms": 300, "priority": 0,
            "service": "engine", "attempts": 2}
    return {**base, **more}


def client_headers(request, key=KEY, **more):
    return [("Host", HOST), ("X-Request-Id", request), ("Authorization", f"Bearer {key}")] + list(more.items())


def job_body(items, tokens=500):
    return json.dumps({"items": [
        {"id": it, "path": f"/jobs/{it}", "headers": {"X-Model": "m", "X-Token-Count": "100,400"},
         "body": base64.b64encode(it.encode()).decode(), "tokens": tokens} for it in items]}).encode()


async def until(condition, timeout, step=0.05):
    end = now() + timeout
    while now() < end:
        if condition():
            return True
        await asyncio.sleep(step)
    return bool(condition())


def main(case):
    """Runs `case(record, trouble)`, which returns whether the rule held, or `None` if the case couldn't run."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def run():
        async with asyncio.timeout(110):
            return await case(record, trouble)
    try:
        held = asyncio.run(run())
    except Exception as e:  # the case could not run
        record(f"the case could not run: {type(e).__name__}: {e}")
        held = None
    code = {True: 0, False: 1, None: 2}[held]
    record({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.stdout.flush()
    # run.sh tells these from the codes with which the interpreter ends by itself.
    os._exit(code + 10)
