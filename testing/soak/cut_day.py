#!/usr/bin/env python3
"""Cuts real daemons off under load and checks what callers and workers see.

Needs the build of deploy/system.toml.

    testing/soak/cut_day.py SEED [--mode MODE] [--links LINKS] [--help]
    testing/soak/cut_day.py SEED --group [--mode any] [--shapes SHAPES]

With --group the members of what is cut off (daemons with an owner, and a third of
the workers) still reach each other, in cuts of 2 to 16 s that may overlap; see
group_cuts.py for the shapes. CI plays one such cut (tests/soak).

Prints the seed and one line of JSON, and exits with 1 if something was broken:
idle    accepted jobs that have room and do not run at the end
away    lasting tasks that were away for 6 s with room
twice   pairs of runs of a task at once
again   starts after an end as done was acknowledged within the lease
faults  starts above a worker's room, of what nobody submitted, or before the step
        before was done; jobs that are shown as completed and are not
beyond attempts
        starts after as many noted failures as the queue allows
With --group, lasting tasks count only if they are "away in calm": without a cut for 7 s.
A run that holds does not prove the absence of a fault.
"""
import argparse
import asyncio
import base64
import collections
import itertools
import json
import math
import os
import pathlib
import random
import re
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path[:0] = [str(ROOT / "review"), str(pathlib.Path(__file__).parent)]
import platform_standin as standin  # noqa: E402
import group_cuts  # noqa: E402
from fleet import (LONG, POOLS, QUEUES, Advisor, Fleet, Worker,  # noqa: E402
                   execute_unreliably)
from links import MODES, Link  # noqa: E402

HOST = standin.HOST
LINKS = ("peers", "store", "advisor", "workers")
LEAD_S = 4.0  # From readiness to the load.
FIRST_CUT_S = 4.0  # From the start of the load.
AFTER_CUTS_S = 4.0  # Until the load ends.
FINISH_S = 14.0  # From the end of the load.
IDLE_S = 3.0
AWAY_S = 6.0
ANSWER_S = 3.0
SHUTDOWN_S = 0.5  # Until the connections of ended daemons are closed.
GENERAL_SIZES = (1, 1, 0.5, 2)


class Daemons(standin.Daemons):
    """Daemons of any build."""

    program = None

    def start(self, n):
        if not self.program:
            super().start(n)
            return
        with open(f"{self.folder}/{self.names[n]}.log", "ab") as log:
            self.processes[n] = subprocess.Popen(
                [self.program, "--settings", f"{self.folder}/{self.names[n]}.yaml"],
                stdout=log, stderr=log)


class View:
    """What one daemon sees of the store: each address is that of its own link."""

    def __init__(self, store, late_rng):
        self.store = store
        self.late_rng = late_rng  # Set if writes may be lost or late.
        self.links = collections.defaultdict(list)  # By what they lead to.
        self.own_ports, self.real_ports = {}, {}

    def add(self, target, link):
        self.links[target].append(link)
        self.own_ports[link.target] = link.port
        self.real_ports[link.port] = link.target

    async def handle(self, method, path, query, headers, body):
        if "puts" in body:
            body = dict(body, puts=[translate(put, self.real_ports)
                                    for put in body["puts"]])
        def execute():
            return self.store._handle(method, path, query, headers, body)
        if self.late_rng and path == "/api/kv-txn":
            answer = await execute_unreliably(self.late_rng, execute, lambda: True)
        else:
            answer = await execute()
        if answer is None:
            return None
        status, content = answer
        for field in ("items", "events"):
            if field in content:
                content = dict(content, **{field: [translate(item, self.own_ports)
                                                   for item in content[field]]})
        return status, translate(content, self.own_ports)


def translate(item, ports):
    """Replaces the ports of addresses in the value of a stored item."""
    if not isinstance(item.get("value"), str):
        return item
    value = base64.b64decode(item["value"])
    value = re.sub(rb"127\.0\.0\.1:(\d+)",
                   lambda match: b"127.0.0.1:%d" % ports.get(int(match[1]),
                                                             int(match[1])), value)
    return dict(item, value=base64.b64encode(value).decode())


def allocate_ports(first):
    """Yields free ports; plays side by side need ranges of their own."""
    for port in itertools.count(first):
        with standin.socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        yield port


class Play:
    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.rng = random.Random(options.seed)
        self.ports = allocate_ports(options.first_port)
        standin.free_ports = lambda count: [next(self.ports) for _ in range(count)]
        self.record = standin.Record(f"{folder}/record.txt")
        self.cell = standin.Cell(folder, self.record)
        self.late_rng = random.Random(f"{options.seed} late") if options.late else None
        self.fleet = Fleet(self.rng, self.late_rng)
        self.pools = POOLS
        self.queues = QUEUES + ((LONG,) if options.group else ())
        self.group_cuts = group_cuts.GroupCuts(self)
        self.load_ends_at = options.load_s
        self.views = []
        self.answers = collections.Counter()
        self.away = {}
        self.away_in_calm = {}  # Of `away`, without a cut for a while; not a check.
        self.is_over = False
        self.begin = 0.0
        self.tasks = []

    def now(self):
        return standin.now() - self.begin

    # -- the cell ------------------------------------------------------------
    async def start(self):
        await self.cell.store.start()
        await self.start_workers()
        self.configure()
        await self.start_daemons()
        await self.cell.until(30, "all daemons are ready", self.cell._are_ready)
        await self.cell.until(30, "the pools have owners", self.cell._have_owners(POOLS))

    async def start_workers(self):
        for i in range(self.options.general):
            size = GENERAL_SIZES[i % len(GENERAL_SIZES)]
            await self.add_worker(f"general-{i:02d}", "general", f"r0-{i // 5}",
                                  int(16000 * size), int(65536 * size), 0)
        for i in range(self.options.accelerated):
            await self.add_worker(f"accelerated-{i:02d}", "accelerated",
                                  f"r1-{i // 3}", 64000, 262144, 8)

    async def add_worker(self, name, pool, rack, cpu, memory, accelerators):
        worker = Worker(self.fleet, self.cell.store, self.record, name, pool, rack=rack,
                        cpu=cpu, mem_mb=memory, gpu=accelerators)
        self.fleet.workers[name] = worker
        await worker.start()

    def configure(self):
        routes = [{"name": queue.name, "host": "jobs.example",
                   "prefix": f"/{queue.name}/", "service": queue.pool,
                   "priority": queue.priority, "max_attempts": queue.attempts,
                   "slowdown_factor": 4.0, "target_duration_ms": 3000,
                   "advisor": {"decision_ms": queue.decision,
                               "period_ms": queue.period, "validity_ms": 1500}}
                  for queue in self.queues]
        self.cell.store.put_json("op/config", {
            "version": 1, "routes": routes,
            "services": [{"name": pool, "enforce_limits": False} for pool in POOLS],
            "limits": {"max_body_bytes": 262144}})

    async def link(self, target):
        link = Link(target, self.ports, self.rng)
        await link.start()
        return link

    async def serve(self, handle):
        server = standin.HttpServer(handle)
        await server.start()
        return await self.link(server.port)

    async def start_daemons(self):
        advisor = Advisor(self.fleet)
        for _ in range(self.options.daemons):
            view = View(self.cell.store, self.late_rng)
            view.add("store", await self.serve(view.handle))
            view.add("advisor", await self.serve(advisor.for_caller()))
            self.views.append(view)
        daemons = Daemons(
            self.folder, 0, self.options.daemons,
            store_ports=[view.links["store"][0].port for view in self.views])
        daemons.program = self.options.daemon
        self.cell.daemons = daemons
        peer_ports = []
        for n, view in enumerate(self.views):
            path = pathlib.Path(self.folder, f"{daemons.names[n]}.yaml")
            text = path.read_text()
            peer_ports.append({int(port) for port in
                               re.findall(r"_address: [0-9.]+:(\d+)", text)} -
                              {daemons.frontends[n], daemons.readiness[n],
                               view.links["store"][0].port})
            path.write_text(text + "advisor_address: "
                            f"{HOST}:{view.links['advisor'][0].port}\n")
        for n, view in enumerate(self.views):
            for m, ports in enumerate(peer_ports):
                for port in ports if m != n else ():
                    view.add(("peer", m), await self.link(port))
            for worker in self.fleet.workers.values():
                view.add(("worker", worker.id), await self.link(worker.port))
        daemons.start_all()

    # -- load ------------------------------------------------------------------
    async def call(self, method, job):
        port = self.rng.choice(self.cell.daemons.frontends)
        body = {"spec": "{}", "phases": job.phases} if method == "POST" else None
        status, content = await standin.call(
            port, method, f"/{job.queue.name}/{job.id}", body, timeout_s=ANSWER_S)
        self.answers[f"{method} {status}"] += 1
        if method != "GET" or status != 200:
            self.record.add(f"{method} {job.id}: {status}")
        return status, content

    async def follow(self, queue):
        """Submits a job and asks for its state until it is final."""
        job = self.fleet.make_job(queue)
        job.sent_at = standin.now()
        for _ in range(5):
            status, _ = await self.call("POST", job)
            if status == 200:
                job.accepted_at = standin.now()
                break
            await asyncio.sleep(1.0 if status in (429, 503) else 0.3)
        if job.accepted_at and queue.name == "batch" and self.rng.random() < 0.05:
            await asyncio.sleep(self.rng.uniform(1, 4))
            job.is_cancelled = True
            await self.call("DELETE", job)
        while job.is_due() and not job.state and not self.is_over:
            await asyncio.sleep(1 + self.rng.random())
            status, content = await self.call("GET", job)
            if status == 410:
                self.fleet.faults.append(f"{job.id} was accepted and is unknown")
            if content.get("state") in ("completed", "failed"):
                job.state = content["state"]
            if job.state == "completed" and not job.is_done(job.due_step()):
                self.fleet.faults.append(f"{job.id} was shown as completed and is not")

    async def load(self):
        rates = [queue.per_second * self.options.rate for queue in self.queues]
        lasting = next(queue for queue in self.queues if queue.name == "lasting")
        for queue in (lasting, lasting):
            self.spawn(self.follow(queue))
        while self.now() < self.load_ends_at:
            self.spawn(self.follow(self.rng.choices(self.queues, rates)[0]))
            await asyncio.sleep(self.rng.expovariate(sum(rates)))

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    async def watch_lasting(self):
        seen_at = {}
        while not self.is_over:
            await asyncio.sleep(0.1)
            now = standin.now()
            running = self.fleet.running_tasks()
            for job in list(self.fleet.jobs.values()):
                if not job.lasts() or not job.accepted_at:
                    continue
                has_room = (self.fleet.free_slots(job, 0) >= 2 and
                            self.fleet.use_of(job.queue.pool) < 0.5)
                for i in range(job.phases[0]["count"]):
                    task = f"{job.id}.0.0.{i}"
                    if task in running or not has_room:
                        seen_at[task] = now
                    elif now - seen_at.setdefault(task, now) > AWAY_S:
                        self.away[task] = round(now - seen_at[task], 1)
                        if self.group_cuts.is_calm():
                            self.away_in_calm[task] = self.away[task]

    # -- faults ------------------------------------------------------------------
    def links_of(self, victims):
        """Returns the links of the daemons that are cut off."""
        kinds = self.options.links
        for n, view in enumerate(self.views):
            for target, links in view.links.items():
                kind = target[0] + "s" if isinstance(target, tuple) else target
                is_cut = n in victims or (kind == "peers" and target[1] in victims)
                if is_cut and kind in kinds:
                    yield from links

    def choose_victims(self, cut_before):
        """An owner, if one was not cut off before, and others."""
        owners = {self.cell.owner(pool) for pool in POOLS} - {None} - cut_before
        victims = {self.rng.choice(sorted(owners))} if owners else set()
        others = [n for n in range(self.options.daemons)
                  if n not in cut_before and n not in victims]
        while len(victims) < self.options.victims and others:
            victims.add(others.pop(self.rng.randrange(len(others))))
        return victims

    async def cut_repeatedly(self):
        cut_before = set()
        for i in range(self.options.cuts):
            await asyncio.sleep(FIRST_CUT_S + i * self.options.every_s - self.now())
            victims = self.choose_victims(cut_before)
            cut_before |= victims
            if len(cut_before) > self.options.daemons - self.options.victims:
                cut_before = set()
            links = list(self.links_of(victims))
            self.record.add(f"cut: {sorted(n + 1 for n in victims)}")
            for link in links:
                link.cut(self.options.mode)
            await asyncio.sleep(self.options.cut_s)
            await asyncio.gather(*(link.restore() for link in links))
            self.record.add("the cut has ended")

    # -- checks ------------------------------------------------------------------
    async def find_idle_jobs(self):
        """Returns the jobs of which nothing ran for a while although it could."""
        idle = {job.id for job in self.fleet.jobs.values()
                if job.is_due() and not job.state}
        ends_at = standin.now() + IDLE_S
        while idle and standin.now() < ends_at:
            running = {task.split(".")[0] for task in self.fleet.running_tasks()}
            for job_id in list(idle):
                job = self.fleet.jobs[job_id]
                step = job.due_step()
                phase = job.phases[step]
                tasks = phase["count"] if phase.get("gang") else 1
                if (job_id in running or job.state or
                        self.fleet.free_slots(job, step) < 2 * tasks or
                        self.fleet.use_of(job.queue.pool) >= 0.5):
                    idle.discard(job_id)
            await asyncio.sleep(0.1)
        return sorted(idle)

    def pair_runs(self):
        """Returns the pairs of runs of one task, the earlier one first."""
        by_task = collections.defaultdict(list)
        for run in sorted(self.fleet.all_runs(), key=lambda run: run["begun"]):
            by_task[run["task"]].append(run)
        return [pair for runs in by_task.values()
                for pair in itertools.combinations(runs, 2)]

    def runs_beyond_attempts(self):
        """Returns the starts of single tasks after as many runs as the queue allows had
        failed and were noted."""
        beyond = []
        failures = collections.defaultdict(list)
        runs = self.fleet.all_runs()
        for run in runs:
            if run.get("is_failure_noted"):
                failures[run["task"]].append(run["ended"])
        for run in runs:
            job = self.fleet.jobs[run["task"].split(".")[0]]
            before = sum(1 for ended in failures[run["task"]] if ended < run["begun"])
            if not job.lasts() and not run["gang"] and before >= job.queue.attempts:
                beyond.append(self.describe(run))
        return beyond

    def describe(self, run):
        """Names the owner of a run by its epoch; times are those of the record."""
        begun, ended = (f"{at - self.record.begin:.2f}" if at else "?"
                        for at in (run["begun"], run["ended"]))
        return (f"{run['task']} run {run['run']} on {run['worker'].id} epoch "
                f"{run['epoch']} from {begun} to {ended} {run['how']}")

    def report(self, idle):
        pairs = self.pair_runs()
        end = standin.now()
        twice = [f"{self.describe(a)} and {self.describe(b)}"
                 for a, b in pairs if b["begun"] < (a["ended"] or end)]
        again = [f"{self.describe(a)} and {self.describe(b)}"
                 for a, b in pairs if a["acknowledged"] and b["begun"] > a["ended"]]
        jobs = self.fleet.jobs.values()
        waits = sorted(job.started_at - job.sent_at for job in jobs if job.started_at)
        logs = "".join(path.read_text() for path in pathlib.Path(self.folder).glob("*.log"))
        return {
            "seed": self.options.seed, "mode": self.options.mode,
            "links": self.options.links, "cuts": self.group_cuts.played, "jobs": len(jobs),
            "accepted": sum(1 for job in jobs if job.accepted_at),
            "idle": idle, "away": self.away, "away in calm": self.away_in_calm,
            "twice": twice, "again": again,
            "faults": self.fleet.faults, "beyond attempts": self.runs_beyond_attempts(),
            "answers": dict(sorted(self.answers.items())),
            "start_s": {"half": round(waits[len(waits) // 2], 2),
                        "95 of 100": round(waits[len(waits) * 19 // 20], 2),
                        "longest": round(waits[-1], 2)},
            "pools acquired": logs.count("name=pool_acquired"),
            "silent connections": logs.count("name=peer_link_silent")}

    async def run(self):
        try:
            await self.start()
            return await self.play()
        finally:
            if self.cell.daemons:
                self.cell.daemons.end_all()
            await asyncio.sleep(SHUTDOWN_S)

    async def play(self):
        await asyncio.sleep(LEAD_S)
        self.begin = self.record.begin = standin.now()
        self.spawn(self.load())
        self.spawn(self.watch_lasting())
        if self.options.group:
            self.load_ends_at = math.inf
            await asyncio.sleep(FIRST_CUT_S)
            await self.group_cuts.run()
            self.load_ends_at = self.now() + AFTER_CUTS_S
        else:
            await self.cut_repeatedly()
        await asyncio.sleep(self.load_ends_at + FINISH_S - self.now())
        idle = await self.find_idle_jobs()
        self.is_over = True
        await asyncio.sleep(ANSWER_S)
        return self.report(idle)


def read_options():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("seed", type=int, nargs="?",
                        help="else APRICOTWHEEL_SEED, else drawn")
    parser.add_argument("--mode", choices=(*MODES, "any"), default="refuse",
                        help="any: drawn by the seed")
    parser.add_argument("--links", default="peers,store",
                        help=f"what is cut, of {','.join(LINKS)}")
    parser.add_argument("--daemons", type=int, default=9)
    parser.add_argument("--victims", type=int, default=2, help="daemons of each cut")
    parser.add_argument("--cuts", type=int, default=4)
    parser.add_argument("--cut-s", type=float, default=2.0, help="length of a cut")
    parser.add_argument("--every-s", type=float, default=6.0)
    parser.add_argument("--load-s", type=float, default=30.0)
    parser.add_argument("--group", action="store_true",
                        help="what is cut off is a group of daemons and workers; --links, "
                        "--cut-s, --every-s and --load-s have no effect")
    parser.add_argument("--shapes", default=",".join(group_cuts.SHAPES),
                        help="of the cuts of --group, default all: %(default)s")
    parser.add_argument("--group-cut-s", type=float,
                        help="length of the cuts of --group, else drawn")
    parser.add_argument("--gap-s", type=float, help="from the end of a cut of --group to "
                        "the next one, else drawn; below 0 they overlap")
    parser.add_argument("--zones", action="store_true",
                        help="a group is a third of the daemons, whoever owns a pool, and "
                        "the next cut is of the next third")
    parser.add_argument("--late", action="store_true",
                        help="some calls to workers and writes to the store are carried out "
                        "without an answer, or late, and clocks of workers are slow")
    parser.add_argument("--entries", choices=("expire", "keep"), default="expire",
                        help="of workers that do not reach the store")
    parser.add_argument("--general", type=int, default=35, help="workers of this pool")
    parser.add_argument("--accelerated", type=int, default=13)
    parser.add_argument("--rate", type=float, default=1.0, help="factor of the load")
    parser.add_argument("--first-port", type=int, default=2000,
                        help="the play uses about 1000 ports from here on; the tests of "
                        "the project use 7200 to 32000")
    parser.add_argument("--program-root", default=str(ROOT),
                        help="another checkout with a build of the daemon")
    parser.add_argument("--daemon", help="path of the daemon, else that of the build of "
                        "deploy/system.toml")
    parser.add_argument("--folder", help="keeps the logs there")
    options = parser.parse_args()
    options.links = options.links.split(",")
    if unknown := set(options.links) - set(LINKS):
        parser.error(f"unknown links: {', '.join(sorted(unknown))}")
    options.shapes = options.shapes.split(",")
    if unknown := set(options.shapes) - set(group_cuts.SHAPES):
        parser.error(f"unknown shapes: {', '.join(sorted(unknown))}")
    if options.seed is None:
        options.seed = int(os.environ.get("APRICOTWHEEL_SEED") or
                           random.SystemRandom().randrange(2**32))
    if options.mode == "any":
        options.mode = random.Random(options.seed).choice(MODES)
    return options


def main():
    options = read_options()
    standin.ROOT = options.program_root
    print(f"APRICOTWHEEL_SEED={options.seed}", flush=True)
    folder = options.folder or tempfile.mkdtemp(prefix="cut-day-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    report = asyncio.run(Play(options, folder).run())
    print(json.dumps(report))
    # Tasks behind a cut of a group run on there, or wait until it has certainly ended.
    away = "away in calm" if options.group else "away"
    broken = [report[name] for name in
              ("idle", away, "twice", "again", "faults", "beyond attempts")]
    return 1 if any(broken) else 0


if __name__ == "__main__":
    sys.exit(main())
