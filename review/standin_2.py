"""Stand-ins of the users' platform for the scripts review/6 to review/10.

The store, the minions, the callers and the daemons of a small deployment on loopback
addresses and the real clock. The store and the minions behave as PROTOCOL.md of the users
says; a script disturbs them through the methods whose names say so. All stand-ins run in one
process, the daemons are processes of their own, started with the command of the deploy file.
"""
import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
DAEMON = ROOT / "target/src/daemon/apricotwheeld"
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
HISTORY_S = 20.0
STOP_S = 0.2

STARTED_AT = time.monotonic()


def now():
    return time.monotonic() - STARTED_AT


def free_ports(count):
    """Returns ports that nobody listens on, below those that the system gives to clients."""
    found = []
    while len(found) < count:
        port = random.randrange(10000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message."""
    first = (await reader.readline()).decode()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode()
        if line in ("\r\n", "\n", ""):
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first.split(), headers, body


class Server:
    """An HTTP/1.1 server. `handle` returns a status and a JSON value, or None to answer
    nothing any more on the connection."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                (method, target, *_), headers, body = message
                path, _, query = target.partition("?")
                answer = await self.handle(method, path, dict(urllib.parse.parse_qsl(query)),
                                           headers, body)
                if answer is None:
                    await reader.read()  # Until the caller gives up.
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The key-value store. It has a port for each daemon, so that it can lose the answers
    of one daemon's writes."""

    def __init__(self, record):
        self.record = record
        self.items = {}  # key -> (value, revision, created, lease)
        self.revision = 1
        self.leases = {}  # id -> [ttl in seconds, ends at]
        self.events = collections.deque()  # (time, revision, event)
        self.forgotten = 0  # Revision up to which the history is gone.
        self.changed = asyncio.Event()
        self.links = {}  # Daemon name -> Server
        # (daemon name, entries of a write) -> seconds after which the write is done
        # unanswered, or None.
        self.lose_write = lambda daemon, write: None

    async def add_link(self, name):
        async def handle(*call):
            return await self.answer(name, *call)
        self.links[name] = Server(handle)
        await self.links[name].start()
        return self.links[name].port

    def change(self, key, value, lease):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {"key": key, "revision": self.revision, "deleted": True}
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            event = self.item(key)
        self.events.append((now(), self.revision, event))
        while self.events and self.events[0][0] < now() - HISTORY_S:
            self.forgotten = self.events.popleft()[1]

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """A write of a minion or of the operator."""
        self.change(key, json.dumps(value).encode(), lease)
        self.notify()

    def delete(self, key):
        if key in self.items:
            self.change(key, None, 0)
            self.notify()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def expire_leases(self):
        for lease in [each for each, row in self.leases.items() if row[1] < now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [each for each, row in self.items.items() if row[3] == lease]:
            self.change(key, None, 0)
        self.notify()

    def grant(self, ttl_s):
        self.revision += 1
        self.leases[self.revision] = [ttl_s, now() + ttl_s]
        return self.revision

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire_leases()

    async def answer(self, daemon, method, path, query, _headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        self.expire_leases()
        value = json.loads(body) if body else {}
        if path == "/api/kv-key":
            if query["key"] not in self.items:
                return 404, {"at_revision": self.revision}
            return 200, {**self.item(query["key"]), "at_revision": self.revision}
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.item(key) for key in keys[:500]],
                         "has_more": len(keys) > 500, "at_revision": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            delay = self.lose_write(daemon, value)
            if delay is not None:
                async def write_late():
                    await asyncio.sleep(delay)
                    status, _ = self.transact(value)
                    self.record.write(f"store: write of {daemon} carried out {delay:.2f} s late "
                                      f"and unanswered: {status}")
                asyncio.create_task(write_late())
                return None
            return self.transact(value)
        if path == "/api/kv-lease":
            ttl = value["ttl_ms"]
            return 200, {"lease": self.grant(ttl / 1000), "ttl_ms": ttl}
        if path.startswith("/api/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, {"ttl_ms": int(self.leases[lease][0] * 1000)}
        if path.startswith("/api/kv-lease-end/") and method == "DELETE":
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.end_lease(lease)
            return 200, {}
        return 400, {}

    async def watch(self, query):
        after = int(query["after"])
        until = now() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [event for _, revision, event in self.events
                      if revision > after and event["key"].startswith(query["prefix"])]
            remaining = until - now()
            if events or remaining <= 0:
                return 200, {"events": events, "at_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                pass

    def transact(self, value):
        conditions = value.get("precondition", [])
        entries = value.get("puts", []) + value.get("deletes", [])
        if len(entries) + len(conditions) > 32:
            return 400, {}
        for row in conditions:
            actual = self.items[row["key"]][1] if row["key"] in self.items else 0
            if actual != row["revision"]:
                items = [self.item(each["key"]) for each in conditions
                         if each["key"] in self.items]
                return 412, {"items": items}
        for row in value.get("puts", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        # All changes of a transaction have one revision.
        self.revision += 1
        revision = self.revision
        for row in value.get("puts", []):
            self.revision = revision - 1
            self.change(row["key"], base64.b64decode(row["value"]), row.get("lease", 0))
        for key in value.get("deletes", []):
            if key in self.items:
                self.revision = revision - 1
                self.change(key, None, 0)
        self.revision = revision
        self.notify()
        return 200, {"revision": revision}


class Run:
    def __init__(self, task, number, began_at, work_s):
        self.task = task
        self.number = number
        self.began_at = began_at
        self.work_s = work_s
        self.stops_at = None


class Minion:
    """A worker. `work_s` maps a task's name to its run time in seconds."""

    def __init__(self, store, record, service, number, work_s, cpu=16000, rack=None, kind="a"):
        self.store = store
        self.record = record
        self.service = service
        self.id = f"{service}-{number}"
        self.rack = rack or f"r{number % 3}"
        self.kind = kind
        self.dies_at_start = False  # It ends as the next order to start arrives.
        self.has_ticket = lambda call: True
        self.work_s = work_s
        self.cpu = cpu
        self.server = Server(self.answer)
        self.port = 0
        self.is_up = False
        self.lives = 0
        self.journal = []  # (time, what, task, run)

    async def start(self):
        """A new life, under the same id and address."""
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began_at = now()
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.closed = {}  # Task -> highest run stopped or ended here.
        self.dies_at_start = False
        self.lease_ends = 0.0
        self.sequence = 0
        self.changed = asyncio.Event()
        await self.server.start(self.port)
        self.port = self.server.port
        self.is_up = True
        self.lease = self.store.grant(3 * HEARTBEAT_S)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    async def crash(self):
        """Ends at once and sends nothing. The entry goes after three heartbeats."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in self.runs.values():
            self.note("killed", run.task, run.number)
        self.runs = {}
        await self.server.stop()

    def note(self, what, task, run):
        self.journal.append((now(), what, task, run))
        self.record.write(f"minion {self.id}, life {self.lives}: {what} {task} run {run}")

    def clock_ms(self):
        return int((now() - self.began_at) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            if self.lease in self.store.leases:
                self.store.leases[self.lease][1] = now() + 3 * HEARTBEAT_S
            else:
                self.lease = self.store.grant(3 * HEARTBEAT_S)
            self.store.put(f"servers/{self.id}", {
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "zone-a",
                "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536, "gpu": 0},
                "labels": [self.kind, self.rack]}, self.lease)
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            for run in list(self.runs.values()):
                if run.stops_at is not None and now() >= run.stops_at:
                    self.end(run, "stopped")
                elif now() >= self.lease_ends:
                    self.end(run, "lapsed")
                elif now() >= run.began_at + run.work_s:
                    self.end(run, "done")

    def end(self, run, how):
        del self.runs[run.task]
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.note(how, run.task, run.number)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline_ms):
        # A lease is at most 6 s long (`hold_max_ms`).
        until = min(self.began_at + deadline_ms / 1000, now() + 6.0)
        self.lease_ends = max(self.lease_ends, until)

    async def answer(self, _method, path, _query, headers, body):
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if path == "/health":
            return 200, {}
        call = json.loads(body)
        if call.get("fencing_token", 0) < self.fence:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.fence = call.get("fencing_token", 0)
        if path == "/api/hold":
            return await self.hold(call)
        if path == "/api/run-start" and self.dies_at_start:
            self.record.write(f"worker {self.id} ends as the start of {call['task']} arrives")
            asyncio.create_task(self.crash())
            return None
        if path == "/api/run-start":
            return self.start_run(call)
        if path == "/api/run-stop":
            run = self.runs.get(call["task"])
            if run and run.number == call["run_id"]:
                if run.stops_at is None:
                    self.note("told to stop", run.task, run.number)
                    run.stops_at = now() + STOP_S
            else:
                self.closed[call["task"]] = max(call["run_id"],
                                                self.closed.get(call["task"], 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def hold(self, call):
        observed = call.get("observed", 0)
        self.ends = [end for end in self.ends if end[0] > observed]
        if "deadline_ms" in call:
            self.extend(call["deadline_ms"])
        until = now() + call.get("wait_ms", 0) / 1000
        while not self.ends and until > now():
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", min(100, int(
            100 * (now() - run.began_at) / run.work_s)), 0] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running,
                     "finished": self.ends[:500]}

    def start_run(self, call):
        task, number = call["task"], call["run_id"]
        if call["deadline_ms"] <= self.clock_ms():
            return 409, {"clock_ms": self.clock_ms(), "reason": "late"}
        self.extend(call["deadline_ms"])
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {"clock_ms": self.clock_ms()}
        if run or number <= self.closed.get(task, 0):
            return 409, {"clock_ms": self.clock_ms(), "reason": "old"}
        if not self.has_ticket(call):
            return 409, {"clock_ms": self.clock_ms(), "reason": "ticket"}
        self.runs[task] = Run(task, number, now(), self.work_s(task))
        self.note("started", task, number)
        return 200, {"clock_ms": self.clock_ms()}


class Daemons:
    """Daemons as the deploy file starts them."""

    def __init__(self, record, store, count):
        self.record = record
        self.store = store
        self.names = [f"edge-{i}" for i in range(count)]
        self.folder = tempfile.TemporaryDirectory(prefix="apricotwheel-review-")
        self.processes = {}
        self.ports = {}
        self.add_advisor = None  # Returns the port of the advisor for a daemon.

    async def start_all(self):
        for name in self.names:
            await self.add(name)

    async def add(self, name):
        store_port = await self.store.add_link(name)
        advisor_port = await self.add_advisor(name) if self.add_advisor else None
        front, ready, peer, http = free_ports(4)
        self.ports[name] = {"front": front, "ready": ready, "peer": peer, "http": http}
        settings = pathlib.Path(self.folder.name) / f"{name}.yaml"
        # deploy/daemon.yaml.template, filled in as for an edge machine of the small sites.
        settings.write_text(f"""name: {name}
failure_domain: zone-a
service_adapter: fleet
caller_address: 127.0.0.1:{front}
readiness_address: 127.0.0.1:{ready}
peer_address: 127.0.0.1:{peer}
http_address: 127.0.0.1:{http}
kv_address: 127.0.0.1:{store_port}
lease_ttl_ms: 2500
lease_renew_interval_ms: 800
processor_share: 0.25
processor_cores: 1
machine_memory_mb: 260
link_mbps: 1000.0
worker_heartbeat_ms: {int(HEARTBEAT_S * 1000)}
remote_slowdown: 1.5
task_lease_ms: 6000
max_task_lease_ms: 6000
drain_timeout_ms: 4000
readiness_grace_ms: 2500
""" + (f"advisor_address: 127.0.0.1:{advisor_port}\n" if advisor_port else ""),
                            encoding="utf-8")
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [str(DAEMON), "--settings", str(settings)], cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=log, stderr=subprocess.STDOUT)
        self.record.write(f"daemon {name} started")

    def log_of(self, name):
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    async def wait_ready(self):
        for name in self.names:
            while True:
                if self.processes[name].poll() is not None:
                    self.record.write(f"daemon {name} has ended: {self.log_of(name)}")
                    raise RuntimeError("a daemon has ended before the disruption")
                answer = await call(self.ports[name]["ready"], "GET", "/api/readyz", timeout_s=1)
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.1)

    def signal(self, name, number):
        self.record.write(f"daemon {name}: {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def owner_of(self, pool):
        """The daemon that the store names as the owner of a pool."""
        row = self.store.items.get(f"apricotwheel/cluster/pools/{pool}")
        if row is None:
            return None
        member = row[0].decode()
        return next((name for name in self.names if name in member), None)

    def stop_all(self):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for name in self.processes:
                pathlib.Path(keep, f"{name}.log").write_text(self.log_of(name))
        self.folder.cleanup()


async def call(port, method, target, body=None, headers=None, timeout_s=3.0):
    """One HTTP request on a channel of its own. Returns the status and the JSON value, or
    None without an answer in time."""
    text = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {target} HTTP/1.1", "Host: queue.example",
             "Content-Type: application/json", f"Content-Length: {len(text)}",
             f"X-Deadline-Ms: {int(timeout_s * 1000)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + text)
        await writer.drain()
        message = await read_message(reader)
        if message is None:
            return None
        first, _, answer = message
        return int(first[1]), json.loads(answer) if answer else None
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


def configuration(routes, services):
    """The value of op/config."""
    return {"version": 1, "routes": [
        {"name": name, "host": "queue.example", "prefix": f"/{name}/", "service": service,
         "priority": 0, "max_attempts": 3, "slowdown_factor": 4.0, "target_duration_ms": 60000}
        for name, service in routes], "services": [
            {"name": service, "enforce_limits": False} for service in services],
        "limits": {"max_body_bytes": 262144}}


def main(folder, daemon_count, play):
    """Runs a case and exits with its result."""
    record = Record(folder)

    async def run():
        if not DAEMON.exists():
            record.write("the build of the deploy file is missing")
            return 2
        store = Store(record)
        daemons = Daemons(record, store, daemon_count)
        keeper = asyncio.create_task(store.run())
        try:
            return await asyncio.wait_for(play(record, store, daemons), 110)
        except (asyncio.TimeoutError, RuntimeError) as fault:
            record.write(f"the case could not run: {fault or 'it took too long'}")
            return 2
        finally:
            keeper.cancel()
            daemons.stop_all()
    result = asyncio.run(run())
    record.write(f"result {result}")
    os._exit(result)
