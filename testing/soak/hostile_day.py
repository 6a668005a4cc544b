#!/usr/bin/env python3
"""Plays crowds of hostile clients, restarts and changes on real daemons, by a seed.

    testing/soak/hostile_day.py SEED --daemon PATH [--daemons N] [--seconds S] [--help]

Crowds, signals, restarts, configurations and outages of the store come in series and
overlap. Ordinary callers keep their connections open until the daemon closes them. CI
plays a short one (tests/soak); see tests/hostile_clients for the crowds one by one.

Prints the seed and one line of JSON, and exits with 1 if something was broken:
ended    a daemon ended that nobody stopped, or did not end after a SIGTERM
memory   a daemon's peak memory was above that of its machine
open     a daemon had more descriptors than its bounds allow, or kept some at the end
lost     an accepted job was not known at the end
unserved a daemon served no ordinary request at the end
twice    a task of an ordinary job ran twice at once
A run that holds does not prove the absence of a fault.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import resource
import signal
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT / "review"), str(ROOT / "tests" / "hostile_clients")]
import hostile_clients_test as hostile  # noqa: E402
import platform_standin as standin  # noqa: E402

BYTES_PER_MB = 1_000_000
MAX_RESIDENT_KB = hostile.SMALL_MACHINE_MB * BYTES_PER_MB // 1024
MAX_CONNECTIONS = 96
# What the daemon bounds: slots of callers, probes and operators, of each port also 48
# connections that are refused or closing; connections of other daemons in a handshake.
# The rest are files, and links to workers, daemons and the store.
MAX_DESCRIPTORS = (MAX_CONNECTIONS + 48) + (16 + 48) + (8 + 48) + 128 + 96
# When all crowds have left.
MAX_DESCRIPTORS_AT_END = 96
SERVICES = ("floor", "hall")
CALLERS = 6  # Of each daemon.
CALLER_PAUSE_S = 0.3
ASKED_AT_ONCE = 32  # Jobs whose states are asked for at the end.
STOP_S = 30  # A planned stop takes a few seconds.
SETTLE_S = 60  # Bounds a run that hangs.
LONG_JOB_STEPS = 400


def long_job():
    """Many steps, of which one is at work at a time, for longer than any play."""
    steps = [dict({"count": 10, "cpu": 1, "mem_mb": 1, "estimate_ms": 1000},
                  **({"after": [n - 1]} if n else {})) for n in range(LONG_JOB_STEPS)]
    return json.dumps({"spec": '{"ms":600000}' + " " * 3900, "phases": steps}).encode()


def half_head():
    return b"POST /floor/0 HTTP/1.1\r\nHost: jobs.example\r\nX-A: "


def half_body():
    return hostile.head("POST", hostile.job_path(), "Content-Length: 200000") + b"{" * 9000


# Crowds that ask once, by what each client sends.
ASKED = {
    "wide bodies": lambda: hostile.post(hostile.wide_body()),
    "wide steps": lambda: hostile.post(hostile.wide_steps_body()),
    "packed bodies": lambda: hostile.post(hostile.packed(4 * BYTES_PER_MB),
                                          "Content-Encoding: gzip"),
    "packed answers": lambda: hostile.head("GET", "/floor/", "Accept-Encoding: br") * 20,
    "deep bodies": lambda: hostile.post(b"[" * 250_000),
    "wide queries": lambda: hostile.head(
        "GET", hostile.job_path() + "?" + "&".join(f"k{n}" for n in range(1300))),
    "long jobs": lambda: hostile.post(long_job()),
    "empty lines": lambda: b"\r\n" * 32_768,
    "long heads": lambda: b"GET / HTTP/1.1\r\n" + b"X-A: b\r\n" * 8192,
}
# Crowds that hold their connections and come again.
HELD = {
    "silent": lambda: b"",
    "half heads": half_head,
    "half bodies": half_body,
    "idle": lambda: hostile.head("GET", "/floor/"),
    "unread": lambda: hostile.head("GET", "/floor/") * 10_000,
}


class Day:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.rng = random.Random(options.seed)
        self.play = hostile.Play(options.daemon, folder)
        self.stopping = set()  # Daemons that are being stopped or started again.
        self.accepted = []
        self.answers = collections.Counter()
        self.events = collections.Counter()
        self.broken = collections.defaultdict(list)
        self.peak_kb = 0
        self.peak_descriptors = 0
        self.max_descriptors = MAX_DESCRIPTORS
        self.version = 1
        self.is_over = False

    async def start(self):
        hostile.Daemons.program = self.options.daemon
        hostile.Daemons.machine_mb = hostile.SMALL_MACHINE_MB
        hostile.Daemons.max_connections = MAX_CONNECTIONS
        standin.Daemons = hostile.Daemons
        cell = standin.Cell(self.folder, standin.Record(f"{self.folder}/record.txt"))
        self.play.cell = self.cell = cell
        await cell.start({service: [{"name": f"{service}-m{n}", "cpu": 16_000}
                                    for n in range(3)] for service in SERVICES},
                         daemons=self.options.daemons)
        self.daemons = cell.daemons

    # -- what is watched -----------------------------------------------------------
    def sample(self, n):
        process = self.daemons.processes[n]
        if process.poll() is not None:
            if n not in self.stopping:
                self.broken["ended"].append(f"{self.daemons.names[n]}: {process.returncode}")
                self.daemons.start(n)
            return
        try:
            peak = hostile.status_kb(process, "VmHWM")
            count = len(os.listdir(f"/proc/{process.pid}/fd"))
        except OSError:
            return  # It has just ended.
        self.peak_kb = max(self.peak_kb, peak)
        self.peak_descriptors = max(self.peak_descriptors, count)
        if peak > MAX_RESIDENT_KB:
            self.broken["memory"].append(f"{self.daemons.names[n]}: {peak} kB")
        if count > self.max_descriptors:
            self.broken["open"].append(f"{self.daemons.names[n]}: {count}")

    async def watch(self):
        while not self.is_over:
            for n in range(self.options.daemons):
                self.sample(n)
            await asyncio.sleep(hostile.SAMPLE_S)

    # -- ordinary callers ------------------------------------------------------------
    async def exchange(self, reader, writer, method, path, body=b""):
        writer.write(hostile.head(method, path, f"Content-Length: {len(body)}") + body)
        head = (await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 3)).decode("latin-1")
        length = next(int(line.split(":")[1]) for line in head.split("\r\n")
                      if line.lower().startswith("content-length:"))
        await reader.readexactly(length)
        return int(head.split(" ", 2)[1])

    async def call_ordinarily(self, n):
        """Uses one connection until the daemon closes it, and then the next."""
        rng = random.Random(f"{self.options.seed} {n} {self.rng.random()}")
        while not self.is_over:
            writer = None
            try:
                reader, writer = await hostile.connect(self.daemons.frontends[n])
                while not self.is_over:
                    path = f"/{rng.choice(SERVICES)}/{rng.randbytes(8).hex()}"
                    job = dict(hostile.ORDINARY_JOB, spec=json.dumps(
                        {"ms": rng.choice((10, 100, 1000))}))
                    status = await self.exchange(reader, writer, "POST", path,
                                                 json.dumps(job).encode())
                    self.answers[status] += 1
                    if status == 200:
                        self.accepted.append(path)
                    await asyncio.sleep(CALLER_PAUSE_S * rng.uniform(0.5, 2))
            except (OSError, ValueError, StopIteration, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                self.answers["no answer"] += 1
                await asyncio.sleep(CALLER_PAUSE_S)
            finally:
                if writer:
                    writer.transport.abort()

    # -- crowds ----------------------------------------------------------------------
    def port(self, n):
        """Mostly that of callers, sometimes those of probes, operators and daemons."""
        draw = self.rng.random()
        if draw < 0.8:
            return self.daemons.frontends[n]
        if draw < 0.87:
            return self.daemons.readiness[n]
        return self.daemons.port_of(n, "http_address" if draw < 0.94 else "peer_address")

    async def run_crowd(self):
        name = self.rng.choice(sorted({*ASKED, *HELD}))
        port = self.port(self.rng.randrange(self.options.daemons))
        size = self.rng.randrange(16, 160)
        self.events[name] += 1
        if name in ASKED:
            data = ASKED[name]()
            if name == "long jobs":
                await asyncio.gather(*(self.submit_long_job(port) for _ in range(size // 8)))
                return
            await asyncio.gather(*(hostile.ask(port, data) for _ in range(size)))
            return
        is_over = asyncio.Event()
        clients = asyncio.gather(*(hostile.hold(port, HELD[name](), is_over,
                                                name != "unread") for _ in range(size)))
        await asyncio.sleep(self.rng.uniform(1, 6))
        is_over.set()
        await clients

    async def submit_long_job(self, port):
        path = hostile.job_path()
        body = long_job()
        data = hostile.head("POST", path, f"Content-Length: {len(body)}") + body
        if await hostile.ask(port, data) == "200":
            self.accepted.append(path)

    # -- signals, restarts and changes -------------------------------------------------
    async def restart(self, number):
        free = sorted(set(range(self.options.daemons)) - self.stopping)
        if len(free) < 2:
            return  # One daemon is left for the callers.
        n = self.rng.choice(free)
        self.stopping.add(n)
        process = self.daemons.processes[n]
        process.send_signal(number)
        ends_at = standin.now() + STOP_S
        while process.poll() is None and standin.now() < ends_at:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            self.broken["ended"].append(f"{self.daemons.names[n]} did not stop")
            process.kill()
            process.wait()
        await asyncio.sleep(self.rng.choice((0, 0.3, 1.5)))
        self.daemons.start(n)
        self.stopping.discard(n)

    async def freeze(self):
        process = self.rng.choice(self.daemons.processes)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 2))
        process.send_signal(signal.SIGCONT)

    async def disturb(self):
        name = self.rng.choice(("stop", "kill", "hangup", "configuration", "freeze",
                                "outage"))
        self.events[name] += 1
        if name == "stop":
            await self.restart(signal.SIGTERM)
        elif name == "kill":
            await self.restart(signal.SIGKILL)
        elif name == "hangup":
            self.rng.choice(self.daemons.processes).send_signal(signal.SIGHUP)
        elif name == "configuration":
            self.version += self.rng.randrange(1, 4)
            self.cell.configure(self.version, list(SERVICES))
        elif name == "freeze":
            await self.freeze()
        elif self.cell.store.up.is_set():
            self.cell.store.go_down()
            await asyncio.sleep(self.rng.uniform(0.3, 2))
            self.cell.store.come_back()

    async def repeat(self, act, longest_pause_s):
        """Begins one act after the other; those that last longer overlap."""
        acts = []
        ends_at = standin.now() + self.options.seconds
        while standin.now() < ends_at:
            acts.append(asyncio.create_task(act()))
            await asyncio.sleep(self.rng.uniform(0, longest_pause_s))
        await asyncio.gather(*acts)

    # -- the play ----------------------------------------------------------------------
    async def settle(self):
        """Asks for all accepted jobs, and for one ordinary request of each daemon."""
        for n, port in enumerate(self.daemons.frontends):
            try:
                await self.play.serve_ordinary(port=port)
            except hostile.Broken:
                self.broken["unserved"].append(self.daemons.names[n])
        ends_at = standin.now() + SETTLE_S
        left = list(self.accepted)
        while left and standin.now() < ends_at:
            unknown = []
            for begin in range(0, len(left), ASKED_AT_ONCE):
                paths = left[begin:begin + ASKED_AT_ONCE]
                answers = await asyncio.gather(*(
                    standin.call(self.rng.choice(self.daemons.frontends), "GET", path)
                    for path in paths))
                unknown += [path for path, (status, _) in zip(paths, answers)
                            if status != 200]
            left = unknown
            if left:
                await asyncio.sleep(hostile.RETRY_S)
        self.broken["lost"].extend(left)

    async def check_descriptors(self):
        """Connections of the last crowds may still be closing."""
        ends_at = standin.now() + SETTLE_S
        while standin.now() < ends_at:
            counts = [len(os.listdir(f"/proc/{process.pid}/fd"))
                      for process in self.daemons.processes]
            if max(counts) <= MAX_DESCRIPTORS_AT_END:
                return
            await asyncio.sleep(hostile.RETRY_S)
        self.broken["open"].append(f"at the end: {counts}")

    def find_twice(self):
        by_task = collections.defaultdict(list)
        for run in self.cell.runs():
            by_task[run["task"]].append(run)
        for task, runs in by_task.items():
            if len(runs) > 1 and standin.overlaps(runs):
                self.broken["twice"].append(task)

    async def run(self):
        try:
            await self.start()
            watch = asyncio.create_task(self.watch())
            callers = [asyncio.create_task(self.call_ordinarily(n))
                       for n in range(self.options.daemons) for _ in range(CALLERS)]
            await asyncio.gather(self.repeat(self.run_crowd, 2),
                                 self.repeat(self.disturb, 4))
            await self.settle()
            self.is_over = True
            await asyncio.gather(*callers, watch)
            await self.check_descriptors()
            self.find_twice()
            return self.report()
        finally:
            self.play.end()

    def report(self):
        broken = {name: sorted(set(found))[:5] for name, found in self.broken.items() if found}
        return {"seed": self.options.seed, "daemons": self.options.daemons,
                "seconds": self.options.seconds, "events": dict(sorted(self.events.items())),
                "answers": {str(key): count for key, count in self.answers.items()},
                "accepted": len(self.accepted), "peak_kb": self.peak_kb,
                "descriptors": self.peak_descriptors, "broken": broken}


def read_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seed", type=int, nargs="?",
                        help="else APRICOTWHEEL_SEED, else drawn")
    parser.add_argument("--daemon", required=True, help="path of the daemon")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--folder", help="keeps the logs there")
    options = parser.parse_args()
    if options.seed is None:
        options.seed = int(os.environ.get("APRICOTWHEEL_SEED") or
                           random.SystemRandom().randrange(2**32))
    return options


def main():
    options = read_options()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(65_536, hard), hard))
    print(f"APRICOTWHEEL_SEED={options.seed}", flush=True)
    folder = options.folder or tempfile.mkdtemp(prefix="hostile-day-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    report = asyncio.run(Day(options, folder).run())
    print(json.dumps(report))
    return 1 if report["broken"] else 0


if __name__ == "__main__":
    sys.exit(main())
