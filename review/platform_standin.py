"""Stand-in of the users' platform for the scripts under review/.

Serves the metadata store and any number of minions on loopback, and gives the
scripts a consumer. It follows PROTOCOL.md of the users' pages; where that page
is silent, it behaves like a sound platform.
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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HISTORY_S = 20
PAGE_ITEMS = 500
HEARTBEAT_MS = 1500  # `heartbeat_ms`
HOLD_MAX_MS = 6000  # `hold_max_ms`
STOP_MS = 100  # Below `stop_timeout_ms`.
HOST = "127.0.0.1"


def now():
    return time.monotonic()


class Record:
    """The journal of a script: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = now()

    def add(self, text):
        self.file.write(f"{now() - self.begin:8.3f} {text}\n")
        self.file.flush()


def free_ports(count):
    """Ports below those that the system gives to outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class HttpServer:
    """HTTP/1.1 with keep-alive. `handle(method, path, query, headers, body)`
    returns (status, object), or None if the channel shall close unanswered."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        port = port or free_ports(1)[0]
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def stop(self):
        self.server.close()
        self.reset()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                answer = await self.handle(method, url.path, query, headers,
                                           json.loads(body) if body else {})
                if answer is None:
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.events = []  # (revision, key, event, time)
        self.dropped = 0  # Revisions up to this one are no longer available.
        self.leases = {}  # id -> [ttl_s, ends_at, keys]
        self.next_lease = 1000
        self.changed = asyncio.Event()
        self.up = asyncio.Event()
        self.up.set()
        self.before_answer = None  # Coroutine of a script, may delay a call.
        self.http = HttpServer(self._handle)

    async def start(self):
        await self.http.start()
        asyncio.create_task(self._expire())

    # -- outages -----------------------------------------------------------
    def go_down(self):
        """Silent: calls get no answer and are not executed. Leases pause."""
        self.record.add("store: down, silent; leases pause")
        self.up.clear()
        self._down_at = now()

    def come_back(self):
        pause = now() - self._down_at
        for lease in self.leases.values():
            lease[1] += pause
        self.record.add("store: up again")
        self.up.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.up.is_set():
                continue
            for number, (_, ends_at, keys) in list(self.leases.items()):
                if ends_at <= now():
                    del self.leases[number]
                    self.write([], [k for k in keys if k in self.items
                                    and self.items[k]["lease"] == number])
            while self.events and self.events[0][3] < now() - HISTORY_S:
                self.dropped = self.events.pop(0)[0]

    # -- data --------------------------------------------------------------
    def write(self, puts, deletes):
        if not puts and not deletes:
            return self.revision
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            item = {"key": key, "value": value, "revision": self.revision,
                    "created": old["created"] if old else self.revision,
                    "lease": lease}
            self.items[key] = item
            if lease:
                self.leases[lease][2].add(key)
            self.events.append((self.revision, key, item, now()))
        for key in deletes:
            if self.items.pop(key, None) is None:
                continue
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append((self.revision, key, event, now()))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put_json(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self.write([(key, text, 0)], [])

    def get_json(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def text(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None

    # -- interface -----------------------------------------------------------
    async def _handle(self, method, path, query, headers, body):
        if not self.up.is_set():
            await self.up.wait()
            return None
        if self.before_answer:
            answer = await self.before_answer(method, path, query, headers, body)
            if answer == "cut":
                return None
            if answer is not None:
                return answer
        answer = await self.execute(method, path, query, body)
        return answer if self.up.is_set() else None

    async def execute(self, method, path, query, body):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"at_revision": self.revision}
            return 200, dict(item, at_revision=self.revision)
        if path == "/api/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > after)
            page = keys[:PAGE_ITEMS]
            return 200, {"items": [self.items[k] for k in page],
                         "has_more": len(keys) > len(page),
                         "at_revision": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(int(body["ttl_ms"]), 600000)) / 1000
            self.leases[self.next_lease] = [ttl, now() + ttl, set()]
            return 200, {"lease": self.next_lease, "ttl_ms": int(ttl * 1000)}
        number = int(path.rsplit("/", 1)[1]) if path[-1].isdigit() else 0
        if path.startswith("/api/kv-keep/"):
            lease = self.leases.get(number)
            if lease is None:
                return 404, {}
            lease[1] = now() + lease[0]
            return 200, {"ttl_ms": int(lease[0] * 1000)}
        if path.startswith("/api/kv-lease-end/"):
            lease = self.leases.pop(number, None)
            if lease is None:
                return 404, {}
            self.write([], [k for k in lease[2] if k in self.items
                            and self.items[k]["lease"] == number])
            return 200, {}
        return 400, {}

    async def _watch(self, query):
        after = int(query["after"])
        ends_at = now() + min(int(query["wait_ms"]), 30000) / 1000
        while True:
            if after < self.dropped:
                return 410, {}
            events = [e for r, k, e, _ in self.events
                      if r > after and k.startswith(query["prefix"])]
            remaining = ends_at - now()
            if events or remaining <= 0:
                return 200, {"events": events, "at_revision": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        puts = [(p["key"], p["value"], p.get("lease", 0))
                for p in body.get("puts", [])]
        for key, _, lease in puts:
            if lease and lease not in self.leases:
                return 404, {}
            if key.startswith(("op/", "servers/")):
                return 403, {}
        return 200, {"revision": self.write(puts, body.get("deletes", []))}


class Minion:
    """One machine of a service. `spec` of a task is JSON: `ms` is its run time
    (0: it lasts) and `end` how it ends."""

    def __init__(self, store, record, name, service, rack="r1", kind="a",
                 cpu=16000, mem_mb=65536, gpu=0, port=0):
        self.store = store
        self.record = record
        self.id = name
        self.service = service
        self.labels = [kind, rack]
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": gpu}
        self.port = port
        self.http = None
        self.is_paused_ping = False  # Its pings do not reach the store.
        self.on_start = None  # Called with (minion, task, run).
        self.before_answer = None  # Coroutine; True: the answer is lost.
        self.relay = None  # Set if the daemons reach it through a proxy.
        self.history = []  # All lives: dicts of runs.

    def log(self, text):
        self.record.add(f"minion {self.id}: {text}")

    def clock_ms(self):
        return int((now() - self.born_at) * 1000) + 1000

    async def start(self):
        """Begins a lifetime."""
        self.born_at = now()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.remaining_ms = None
        self.fence = 0
        self.deadline = 0
        self.runs = {}  # task -> run record
        self.last_run = {}  # task -> highest run that ended or was stopped here
        self.ends = []
        self.end_count = 0
        self.changed = asyncio.Event()
        self.alive = True
        self.http = HttpServer(self._handle)
        await self.http.start(self.port)
        self.port = self.http.port
        self.log(f"starts, port {self.port}")
        self.tasks = [asyncio.create_task(self._work()),
                      asyncio.create_task(self._ping())]

    async def crash(self):
        """Sends nothing; everything that ran is gone."""
        self.alive = False
        for run in self.runs.values():
            run["ended"] = now()
            run["how"] = "crashed"
        for task in self.tasks:
            task.cancel()
        await self.http.stop()
        self.log("crashes")

    # -- discovery ------------------------------------------------------------
    def entry(self):
        port = self.relay.port if self.relay else self.port
        entry = {"service": self.service, "address": f"{HOST}:{port}",
                 "zone": "zone-a", "version": "1", "slots": 8,
                 "state": self.state, "cold_remaining_ms": 0,
                 "sequence": self.sequence, "born": self.born,
                 "capacity": self.capacity, "labels": self.labels}
        if self.remaining_ms is not None:
            entry["remaining_ms"] = self.remaining_ms
        return entry

    def register(self):
        self.sequence += 1
        self.last_ping = now()
        self.store.put_json(f"servers/{self.id}", self.entry())

    async def _ping(self):
        pause_s = random.uniform(0, HEARTBEAT_MS / 1000)
        while True:
            if self.store.up.is_set() and not self.is_paused_ping:
                self.register()
            await asyncio.sleep(pause_s)
            pause_s = HEARTBEAT_MS / 1000

    def unregister(self):
        self.store.write([], [f"servers/{self.id}"])

    def drain(self, remaining_ms):
        self.state = "draining"
        self.remaining_ms = remaining_ms
        self.register()
        self.log("reports draining")

    # -- work -----------------------------------------------------------------
    def _end(self, task, how, saved=""):
        run = self.runs.pop(task)
        run["ended"] = now()
        run["how"] = how
        self.last_run[task] = max(self.last_run.get(task, 0), run["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, saved])
        self.log(f"run {run['run']} of {task} ends: {how} (end {self.end_count})")
        self.changed.set()
        self.changed = asyncio.Event()

    async def _work(self):
        while True:
            await asyncio.sleep(0.005)
            if self.runs and self.clock_ms() > self.deadline:
                for task in list(self.runs):
                    self._end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if run["stop_at"] and now() >= run["stop_at"]:
                    self._end(task, "stopped")
                elif run["ms"] and now() >= run["begun"] + run["ms"] / 1000:
                    self._end(task, run["end"])

    def _extend(self, body):
        if "deadline_ms" in body:
            limit = self.clock_ms() + HOLD_MAX_MS
            self.deadline = max(self.deadline, min(body["deadline_ms"], limit))

    async def _handle(self, method, path, query, headers, body):
        if self.before_answer and await self.before_answer(path, body):
            return None
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        if body.get("fencing_token", 0) < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = max(self.fence, body.get("fencing_token", 0))
        if path == "/api/run-start":
            return self._start_run(body)
        if path == "/api/run-stop":
            task, number = body["task"], body["run_id"]
            self.log(f"stop of run {number} of {task}")
            run = self.runs.get(task)
            if run and run["run"] <= number:
                run["stop_at"] = run["stop_at"] or now() + STOP_MS / 1000
            else:
                self.last_run[task] = max(self.last_run.get(task, 0), number)
            return 200, self._answer()
        if path == "/api/hold":
            return await self._hold(body)
        if path == "/api/pace":
            return 200, self._answer()
        return 404, {}

    def _answer(self, **more):
        return dict(more, clock_ms=self.clock_ms(), born=self.born)

    def _start_run(self, body):
        task, number = body["task"], body["run_id"]
        run = self.runs.get(task)
        if body["deadline_ms"] < self.clock_ms():
            return 409, self._answer(reason="late")
        self._extend(body)
        if run and run["run"] == number:
            return 200, self._answer()
        if run or number <= self.last_run.get(task, 0):
            return 409, self._answer(reason="old")
        spec = json.loads(body["spec"])
        run = {"minion": self.id, "task": task, "run": number, "begun": now(),
               "ms": spec.get("ms", 0), "end": spec.get("end", "done"),
               "stop_at": None, "ended": None, "how": None,
               "fence": body.get("fencing_token", 0)}
        self.runs[task] = run
        self.history.append(run)
        self.log(f"run {number} of {task} starts (fence {run['fence']})")
        if self.on_start:
            self.on_start(self, run)
        return 200, self._answer()

    async def _hold(self, body):
        self._extend(body)
        seen = body.get("observed", 0)
        if any(end[0] <= seen for end in self.ends):
            self.log(f"ends up to {seen} are observed")
        self.ends = [end for end in self.ends if end[0] > seen]
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", 100]
                   for task, run in self.runs.items()]
        return 200, self._answer(running=running, finished=self.ends[:500])


class Relay:
    """A TCP proxy in front of a minion, which its entry names."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self):
        self.port = self.port or free_ports(1)[0]
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        """Resets all channels and refuses new ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def heal(self):
        await self.start()

    async def _serve(self, reader, writer):
        try:
            other_reader, other = await asyncio.open_connection(
                HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, other))
        asyncio.create_task(self._pump(reader, other))
        asyncio.create_task(self._pump(other_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Daemons:
    """The project's daemons, started with the command of the deploy file."""

    def __init__(self, folder, store_port, count, store_ports=None):
        self.folder = folder
        self.processes = []
        self.names = []
        self.frontends = []
        self.readiness = []
        ports = free_ports(count * 4)
        template = open(f"{ROOT}/deploy/daemon.yaml.template", encoding="utf-8").read()
        for n in range(count):
            name = f"edge-zone-a-{n + 1}"
            front, ready, peer, http = ports[n * 4:n * 4 + 4]
            fields = {"node_name": name, "zone": "zone-a", "ip": HOST,
                      "listen_addresses.frontend": f"{HOST}:{front}",
                      "listen_addresses.ready": f"{HOST}:{ready}",
                      "internal_port_range.0": str(peer),
                      "internal_port_range.1": str(http),
                      "platform.address":
                          f"{HOST}:{store_ports[n] if store_ports else store_port}",
                      "limits.cpu_share": "0.25", "limits.cores": "1",
                      "limits.link_mbps": "1000.0",
                      "bounds.hold_max_ms": str(HOLD_MAX_MS)}
            lines = []
            is_absent = False
            for line in template.splitlines():
                if line.startswith("{{#"):
                    is_absent = line[3:-2] not in fields
                elif line.startswith("{{/"):
                    is_absent = False
                elif not is_absent:
                    for key, value in fields.items():
                        line = line.replace("{{" + key + "}}", value)
                    lines.append(line)
            path = f"{folder}/{name}.yaml"
            with open(path, "w", encoding="utf-8") as file:
                file.write("\n".join(lines) + "\n")
            self.names.append(name)
            self.frontends.append(front)
            self.readiness.append(ready)
            self.processes.append(None)

    def start(self, n):
        name = self.names[n]
        log = open(f"{self.folder}/{name}.log", "ab")
        self.processes[n] = subprocess.Popen(
            [f"{ROOT}/target/src/daemon/apricotwheeld", "--settings",
             f"{self.folder}/{name}.yaml"], cwd=ROOT, stdout=log, stderr=log)

    def start_all(self):
        for n in range(len(self.processes)):
            self.start(n)

    def signal(self, n, number):
        self.processes[n].send_signal(number)

    def end_all(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


async def call(port, method, path, body=None, host="jobs.example",
               timeout_s=3.0):
    """One request of a consumer: (status, object), or (0, {}) without answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}"
                "\r\nConnection: close\r\n\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":", 1)[1])
            content = await reader.readexactly(length)
            return status, json.loads(content) if content else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError):
        return 0, {}


class CannotRun(Exception):
    pass


class Cell:
    """Store, minions and daemons of one script."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.minions = {}
        self.daemons = None

    async def start(self, services, daemons=3, max_attempts=3,
                    is_relayed=False):
        """`services`: service -> list of `Minion` arguments (dicts)."""
        await self.store.start()
        for service, minions in services.items():
            for arguments in minions:
                minion = Minion(self.store, self.record, service=service,
                                **arguments)
                self.minions[minion.id] = minion
                await minion.start()
                if is_relayed:
                    minion.relay = Relay(minion.port)
                    await minion.relay.start()
                    minion.register()
        self.configure(1, list(services), max_attempts)
        self.daemons = Daemons(self.folder, self.store.http.port, daemons)
        self.daemons.start_all()
        await self.until(30, "all daemons are ready", self._are_ready)
        await self.until(30, "the pools have owners", self._have_owners(services))

    def configure(self, version, services, max_attempts=3):
        self.store.put_json("op/config", {
            "version": version,
            "routes": [{"name": f"queue-{s}", "host": "jobs.example",
                        "prefix": f"/{s}/", "service": s, "priority": 0,
                        "max_attempts": max_attempts, "slowdown_factor": 4.0,
                        "target_duration_ms": 60000} for s in services],
            "services": [{"name": s, "enforce_limits": False} for s in services],
            "limits": {"max_body_bytes": 1048576}})

    async def _are_ready(self):
        for port in self.daemons.readiness:
            status, _ = await call(port, "GET", "/api/readyz", timeout_s=0.5)
            if status != 200:
                return False
        return True

    def _have_owners(self, services):
        async def check():
            return all(self.owner(s) is not None for s in services)
        return check

    def owner(self, service):
        """Returns the number of the daemon that owns the pool."""
        member = self.store.text(f"apricotwheel/cluster/pools/{service}")
        if member is None:
            return None
        for n, name in enumerate(self.daemons.names):
            if member.startswith(name + "."):
                return n
        return None

    async def until(self, seconds, what, check):
        ends_at = now() + seconds
        while now() < ends_at:
            if await check():
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"not seen in {seconds} s: {what}")

    async def request(self, daemon, method, path, body=None, timeout_s=3.0):
        self.record.add(f"consumer -> daemon {daemon + 1}: {method} {path}"
                        + (f" {json.dumps(body)}" if body else ""))
        status, content = await call(self.daemons.frontends[daemon], method,
                                     path, body, timeout_s=timeout_s)
        self.record.add(f"consumer <- daemon {daemon + 1}: {method} {path}: "
                        + (f"{status} {json.dumps(content)}" if status
                           else "no answer"))
        return status, content

    def runs(self, prefix=""):
        return [run for minion in self.minions.values()
                for run in minion.history if run["task"].startswith(prefix)]


def overlaps(runs):
    """Returns pairs of runs of one task that were at work at the same time."""
    found = []
    for i, one in enumerate(runs):
        for other in runs[i + 1:]:
            if one["task"] != other["task"]:
                continue
            begin = max(one["begun"], other["begun"])
            end = min(one["ended"] or now(), other["ended"] or now())
            if begin < end:
                found.append((one, other, end - begin))
    return found


def main(scenario):
    """Runs `scenario(cell, is_disrupted)`, which returns a text that says how
    the rule was broken, or None. Exits with 0, 1 or 2. The arguments of the
    program are TROUBLE (0: without the disruption) and the path of the record."""
    trouble, record_path = sys.argv[1:3]
    record = Record(record_path)
    is_disrupted = trouble != "0"
    record.add(f"disruption: {'yes' if is_disrupted else 'no'}")

    async def run(temporary):
        cell = Cell(temporary, record)
        try:
            return await asyncio.wait_for(scenario(cell, is_disrupted), 110)
        finally:
            if cell.daemons:
                cell.daemons.end_all()

    keep = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(run(keep or temporary))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record.add(f"the case couldn't run: {error or type(error).__name__}")
            print(f"couldn't run: {error}")
            sys.exit(2)
    if broken:
        record.add(f"BROKEN: {broken}")
        print(f"broken: {broken}")
        sys.exit(1)
    record.add("held")
    print("held")
    sys.exit(0)
