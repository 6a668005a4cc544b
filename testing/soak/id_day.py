#!/usr/bin/env python3
"""Plays copies and cancellations of submissions on real daemons, by a seed.

    testing/soak/id_day.py SEED --daemon PATH [--daemons N] [--seconds S] [--help]

Queues change their services, writes of the store are carried out late and unanswered,
daemons are killed, stopped and frozen with requests unread, in series that overlap.
Callers repeat submissions at other daemons, cancel what got no answer, and cancel before
and while they submit. CI plays a short one (tests/soak).

Prints the seed and one line of JSON, and exits with 1 if something was broken:
ended    a daemon ended that nobody stopped
twice    a task ran on two workers at once, or ran again after it was done
unasked  a task started later than 3 s after a cancellation was answered with 200 or 410
refused  a task started although all attempts to submit its job were rejected
lost     a job was accepted and not cancelled, and is not known or has not completed
A run that holds does not prove the absence of a fault.
"""
import argparse
import asyncio
import collections
import itertools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "review"))
import standin_2 as standin  # noqa: E402

SERVICES = ("floor", "imaging")
QUEUES = ("batch", "sweep")
WORKERS = 8  # Of each service.
WORK_S = 0.7
CANCEL_S = 3.0
LOST_SHARE = 0.35  # Of the writes in a window, which are carried out 1 to 6 s later.
STOP_S = 30
LISTEN_S = 0.3  # A daemon that cannot listen has ended by then.
SETTLE_S = 60
UNKNOWN = (None, 502, 504)
REJECTED = (400, 404, 410, 429, 503)


class Day:
    def __init__(self, options, folder):
        self.options = options
        self.rng = random.Random(options.seed)
        self.record = standin.Record(folder)
        self.ids = itertools.count(0xD000)
        self.stopping = set()
        self.frozen = set()
        self.version = 1
        self.answers = collections.defaultdict(list)  # Statuses of submissions, by job.
        self.cancelled = {}  # When a cancellation was first answered, by job.
        self.tried_to_cancel = set()
        self.counts = collections.Counter()
        self.broken = collections.defaultdict(list)
        self.loses_writes_until = 0.0
        self.watcher = None

    async def start(self):
        standin.DAEMON = pathlib.Path(self.options.daemon).resolve()
        self.store = standin.Store(self.record)
        self.store.put("op/config", self.configuration())
        self.store.lose_write = self.lose_write
        self.clock = asyncio.create_task(self.store.run())
        self.workers = [standin.Minion(self.store, self.record, service, n, lambda _: WORK_S)
                        for service in SERVICES for n in range(WORKERS)]
        for worker in self.workers:
            await worker.start()
        self.daemons = standin.Daemons(self.record, self.store, self.options.daemons)
        for name in self.daemons.names:
            await self.start_daemon(name)
        await self.daemons.wait_ready()
        self.watcher = asyncio.create_task(self.watch())

    async def start_daemon(self, name):
        """Other processes may take the ports between the choice and the start."""
        while True:
            await self.daemons.add(name)
            await asyncio.sleep(LISTEN_S)
            if self.daemons.processes[name].poll() is None or (
                    "cannot listen" not in self.daemons.log_of(name)):
                return

    def configuration(self):
        routes = [(queue, self.rng.choice(SERVICES)) for queue in QUEUES]
        return {**standin.configuration(routes, list(SERVICES)), "version": self.version}

    def lose_write(self, _daemon, _write):
        is_lost = standin.now() < self.loses_writes_until
        return self.rng.uniform(1, 6) if is_lost and self.rng.random() < LOST_SHARE else None

    async def watch(self):
        while True:
            for name, process in self.daemons.processes.items():
                if process.poll() is not None and name not in self.stopping:
                    self.broken["ended"].append(f"{name}: {process.returncode}")
                    self.stopping.add(name)
            await asyncio.sleep(0.1)

    # -- callers ---------------------------------------------------------------------
    def front(self, other_than=None):
        names = [name for name in self.daemons.names if name != other_than]
        return self.rng.choice(names)

    async def send(self, name, method, queue, job, body=None, timeout_s=3.0):
        answer = await standin.call(self.daemons.ports[name]["front"], method,
                                    f"/{queue}/{job}", body, timeout_s=timeout_s)
        status = answer[0] if answer else None
        self.record.write(f"caller: {method} {queue}/{job} at {name} -> {answer}")
        return status

    async def submit(self, name, queue, job, body, timeout_s=3.0):
        status = await self.send(name, "POST", queue, job, body, timeout_s)
        self.answers[job].append(status)
        self.counts[f"POST {status}"] += 1
        return status

    async def cancel(self, queue, job, other_than=None):
        self.tried_to_cancel.add(job)
        for _ in range(4):
            status = await self.send(self.front(other_than), "DELETE", queue, job)
            self.counts[f"DELETE {status}"] += 1
            if status in (200, 410):
                self.cancelled.setdefault(job, standin.now())
                return
            await asyncio.sleep(self.rng.uniform(0.3, 1.2))

    async def run_job(self):
        job = f"{next(self.ids):016x}"
        queue = self.rng.choice(QUEUES)
        steps = self.rng.randrange(1, 8)
        body = {"spec": "x", "phases": [
            {"count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": int(WORK_S * 1000),
             **({"after": [n - 1]} if n else {})} for n in range(steps)]}
        # A frozen daemon reads the submission after its caller has given up.
        names = sorted(self.frozen) if self.frozen and self.rng.random() < 0.7 else None
        name = self.rng.choice(names) if names else self.front()
        timeout_s = 0.3 if names or self.rng.random() < 0.2 else 3.0
        if self.rng.random() < 0.1:
            await self.cancel(queue, job)
        status = await self.submit(name, queue, job, body, timeout_s)
        draw = self.rng.random()
        if status in UNKNOWN and draw < 0.6:
            await self.cancel(queue, job, other_than=name)
        elif draw < 0.2:
            await asyncio.sleep(self.rng.uniform(0, 2))
            await asyncio.gather(self.cancel(queue, job),
                                 self.submit(self.front(), queue, job, body))
        elif draw < 0.8 or status not in (200,):
            for _ in range(self.rng.randrange(1, 3)):
                await asyncio.sleep(self.rng.uniform(0, 4))
                await self.submit(self.front(), queue, job, body)

    async def call(self):
        jobs = []
        ends_at = standin.now() + self.options.seconds
        while standin.now() < ends_at:
            jobs.append(asyncio.create_task(self.run_job()))
            await asyncio.sleep(self.rng.expovariate(self.options.rate))
        await asyncio.gather(*jobs)

    # -- disturbances ------------------------------------------------------------------
    def free(self):
        return sorted(set(self.daemons.names) - self.stopping - self.frozen)

    def pick(self):
        """Mostly the owner of a pool."""
        owner = self.daemons.owner_of(self.rng.choice(SERVICES))
        return owner if owner in self.free() and self.rng.random() < 0.7 else self.rng.choice(
            self.free())

    async def restart(self, number):
        if len(self.free()) < 2:
            return
        name = self.pick()
        self.stopping.add(name)
        self.daemons.signal(name, number)
        process = self.daemons.processes[name]
        ends_at = standin.now() + STOP_S
        while process.poll() is None and standin.now() < ends_at:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self.broken["ended"].append(f"{name} did not stop")
            process.kill()
            process.wait()
        await asyncio.sleep(self.rng.choice((0, 0.5, 2)))
        # A machine that starts again has other ports here.
        await self.start_daemon(name)
        self.stopping.discard(name)

    async def freeze(self):
        if len(self.free()) < 2:
            return
        name = self.pick()
        self.frozen.add(name)
        self.daemons.signal(name, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        self.daemons.signal(name, signal.SIGCONT)
        self.frozen.discard(name)

    async def configure(self):
        for _ in range(self.rng.randrange(1, 4)):
            self.version += self.rng.randrange(1, 4)
            self.store.put("op/config", self.configuration())
            await asyncio.sleep(self.rng.uniform(0, 1))

    async def disturb(self):
        name = self.rng.choice(("kill", "stop", "freeze", "freeze", "configuration",
                                "configuration", "lost writes"))
        self.counts[name] += 1
        if name == "kill":
            await self.restart(signal.SIGKILL)
        elif name == "stop":
            await self.restart(signal.SIGTERM)
        elif name == "freeze":
            await self.freeze()
        elif name == "configuration":
            await self.configure()
        else:
            self.loses_writes_until = standin.now() + self.rng.uniform(2, 5)

    async def disturb_all(self):
        acts = []
        ends_at = standin.now() + self.options.seconds
        while standin.now() < ends_at:
            acts.append(asyncio.create_task(self.disturb()))
            await asyncio.sleep(self.rng.uniform(0, self.options.pause_s))
        await asyncio.gather(*acts)

    # -- what is checked ----------------------------------------------------------------
    async def settle(self):
        """Waits until all accepted jobs that nobody cancels have completed."""
        left = {job for job, statuses in self.answers.items()
                if 200 in statuses and job not in self.tried_to_cancel}
        states = {}
        ends_at = standin.now() + SETTLE_S
        while left and standin.now() < ends_at:
            for job in sorted(left):
                answer = await standin.call(
                    self.daemons.ports[self.front()]["front"], "GET", f"/{QUEUES[0]}/{job}")
                states[job] = answer
                if answer and answer[0] == 200 and answer[1].get("state") == "completed":
                    left.discard(job)
            await asyncio.sleep(0.5)
        self.broken["lost"].extend(f"{job}: {states[job]}" for job in sorted(left))

    def runs(self):
        """Returns rows of task, begin, end, how it ended, and worker."""
        runs = []
        for worker in self.workers:
            open_runs = {}
            for at, what, task, run in worker.journal:
                if what == "started":
                    open_runs[task, run] = [task, at, float("inf"), "", worker.id]
                    runs.append(open_runs[task, run])
                elif what in ("done", "stopped", "lapsed", "killed"):
                    open_runs[task, run][2:4] = at, what
        return runs

    def check(self):
        by_task = collections.defaultdict(list)
        for row in self.runs():
            by_task[row[0]].append(row)
        for task, rows in by_task.items():
            rows.sort(key=lambda row: row[1])
            for first, second in zip(rows, rows[1:]):
                if second[1] < first[2] or first[3] == "done":
                    self.broken["twice"].append(f"{first} {second}")
            job = task.split(".")[0]
            last_start = rows[-1][1]
            if last_start > self.cancelled.get(job, float("inf")) + CANCEL_S:
                self.broken["unasked"].append(
                    f"{task}: cancelled {self.cancelled[job]:.3f}, started {last_start:.3f}")
            if all(status in REJECTED for status in self.answers[job]):
                self.broken["refused"].append(f"{task}: {self.answers[job]}")

    async def run(self):
        try:
            await self.start()
            await asyncio.gather(self.call(), self.disturb_all())
            await self.settle()
            # What was cancelled last would start by now.
            await asyncio.sleep(CANCEL_S + 2)
            self.check()
            return self.report()
        finally:
            if self.watcher:
                self.watcher.cancel()
            self.daemons.stop_all()

    def report(self):
        broken = {name: sorted(set(found))[:5] for name, found in self.broken.items() if found}
        return {"seed": self.options.seed, "daemons": self.options.daemons,
                "seconds": self.options.seconds, "counts": dict(sorted(self.counts.items())),
                "jobs": len(self.answers), "cancelled": len(self.cancelled),
                "runs": len(self.runs()), "broken": broken}


def read_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seed", type=int, nargs="?",
                        help="else APRICOTWHEEL_SEED, else drawn")
    parser.add_argument("--daemon", required=True, help="path of the daemon")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--rate", type=float, default=8, help="jobs a second")
    parser.add_argument("--pause-s", type=float, default=4,
                        help="longest pause between two disturbances")
    parser.add_argument("--folder", help="keeps the record and logs there")
    options = parser.parse_args()
    if options.seed is None:
        options.seed = int(os.environ.get("APRICOTWHEEL_SEED") or
                           random.SystemRandom().randrange(2**32))
    return options


def main():
    options = read_options()
    print(f"APRICOTWHEEL_SEED={options.seed}", flush=True)
    folder = options.folder or tempfile.mkdtemp(prefix="id-day-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    if options.folder:
        os.environ["KEEP_LOGS"] = folder

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await Day(options, folder).run()
    report = asyncio.run(play())
    print(json.dumps(report), flush=True)
    # Connections of the stand-ins may still be open.
    os._exit(1 if report["broken"] else 0)


if __name__ == "__main__":
    main()
