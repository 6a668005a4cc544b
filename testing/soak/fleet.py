"""Workers, the advisor and jobs of a play.

They follow the protocol of review/platform_standin.py, whose store and caller are
used, and add tickets, gangs, room and a check of each start.
"""
import asyncio
import collections
import math
import random

import platform_standin as standin

LEASE_CHECK_S = 0.05
STOP_S = 0.2
GANG_TIMEOUT_S = 3.0
MEAN_LIFE_OF_LASTING_TASK_S = 20.0
TICKET_MS = 1500
# Of the calls of a play with --late, as the users' protocol allows.
LOST_SHARE = 0.015  # Executed, and the answer is lost.
LATE_SHARE = 0.015  # Executed this long afterwards, unanswered.
LATE_S = (0.05, 0.5, 1.5, 4)
SLOW_CLOCK_RATE = 0.98

# `share` is the part of the workers that may run a step; decision and period are times of the
# advisor in milliseconds.
Queue = collections.namedtuple(
    "Queue", "name per_second pool priority attempts failures share decision period")
QUEUES = (
    Queue("short", 12.4, "general", 0, 2, 0.02, 0.7, 19, 0.28),
    Queue("batch", 0.8, "general", 2, 3, 0.02, 0.45, 170, 2.4),
    Queue("gang", 1.2, "accelerated", 1, 2, 0.02, 0.3, 560, 8),
    Queue("lasting", 0.09, "general", 1, 4, 0.0, 0.3, 560, 8),
    Queue("wide", 1.9, "accelerated", 2, 3, 0.005, 0.45, 140, 2),
)
# Its tasks outlast a cut.
LONG = Queue("long", 0.8, "general", 1, 3, 0.02, 0.7, 19, 0.28)
# Mean steps, tasks of a step, thousandths of a core, MB, accelerators and run time.
SHAPES = {
    "short": (1.5, 6, 1500, 3100, (0,), 880),
    "batch": (2, 9, 3300, 6700, (0,), 5600),
    "gang": (1, 1.5, 31000, 160000, (2, 4, 8, 8), 5600),
    "lasting": (1, 6, 4000, 15000, (0,), 0),
    "long": (1, 4, 1500, 3100, (0,), 15000),
    "wide": (1, 4, 5600, 23000, (1,), 3800),
}
POOLS = sorted({queue.pool for queue in QUEUES})


def may_run(step, worker_id, share):
    """The advisor's decision on a step, which does not change."""
    return random.Random(f"{step} {worker_id}").random() < share


def log_normal(rng, mean, spread):
    variance = math.log(1 + spread * spread)
    return min(mean * 3, rng.lognormvariate(math.log(mean) - variance / 2,
                                            math.sqrt(variance)))


class Job:
    def __init__(self, queue, job_id, phases, run_ms):
        self.queue = queue
        self.id = job_id
        self.phases = phases
        self.run_ms = run_ms  # Of each step.
        self.done = collections.defaultdict(set)  # Tasks that ended so, by step.
        self.sent_at = None
        self.accepted_at = None
        self.started_at = None
        self.is_cancelled = False
        self.state = None  # As shown, once it is final.

    def lasts(self):
        return self.queue.name == "lasting"

    def is_due(self):
        """Returns true if a caller waits for its end."""
        return self.accepted_at and not self.is_cancelled and not self.lasts()

    def is_done(self, step):
        phase = self.phases[step]
        return len(self.done[step]) >= (1 if phase.get("gang") else phase["count"])

    def due_step(self):
        for i in range(len(self.phases)):
            if not self.is_done(i):
                return i
        return len(self.phases) - 1


async def execute_unreliably(rng, execute, is_current):
    """Returns the answer of `execute`, or None if it is lost. A call that is carried
    out late is dropped unless `is_current` still holds."""
    async def execute_late():
        await asyncio.sleep(rng.choice(LATE_S))
        if is_current():
            await execute()
    draw = rng.random()
    if draw < LATE_SHARE:
        asyncio.create_task(execute_late())
        return None
    answer = await execute()
    return None if draw < LATE_SHARE + LOST_SHARE else answer


class Fleet:
    """All workers and jobs, and what was seen of them."""

    def __init__(self, rng, late_rng=None):
        self.rng = rng
        self.late_rng = late_rng  # Set if calls may be lost or late.
        self.workers = {}
        self.jobs = {}
        self.tickets = {}  # (step, worker) -> (ticket, ends at)
        self.gangs = collections.defaultdict(dict)  # (step, run) -> {index: run}
        self.faults = []

    def free_slots(self, job, step, is_empty=False):
        """Returns how many tasks of a step fit on the workers that may run it."""
        phase = job.phases[step]
        need = room_of(phase)
        total = 0
        for worker in self.workers.values():
            if (worker.service != job.queue.pool or not worker.alive or
                    not may_run(f"{job.id}.0.{step}", worker.id, job.queue.share)):
                continue
            used = (0, 0, 0) if is_empty else worker.used
            total += min((room - taken) // wanted for room, taken, wanted
                         in zip(worker.room, used, need) if wanted)
        return total

    def use_of(self, pool):
        workers = [w for w in self.workers.values() if w.service == pool]
        return max(sum(w.used[i] for w in workers) /
                   max(1, sum(w.room[i] for w in workers)) for i in range(3))

    def running_tasks(self):
        return {task for w in self.workers.values() if w.alive for task in w.runs}

    def all_runs(self):
        return [run for worker in self.workers.values() for run in worker.history]

    def make_job(self, queue):
        """Returns a job that its approved workers can hold twice over."""
        rng = self.rng
        steps, tasks, cpu, memory, accelerators, run_ms = SHAPES[queue.name]
        while True:
            job = Job(queue, f"{rng.getrandbits(64):016x}", [], [])
            for i in range(max(1, round(log_normal(rng, steps, 0.4)))):
                count = max(1, round(log_normal(rng, tasks, 0.8)))
                phase = {"count": count, "cpu": cpu, "mem_mb": memory}
                if queue.pool == "general":
                    phase["cpu"] = round(log_normal(rng, cpu, 0.45))
                    phase["mem_mb"] = round(log_normal(rng, memory, 0.6))
                if queue.pool == "accelerated":
                    phase["gpu"] = rng.choice(accelerators)
                if queue.name == "gang":
                    phase["gang"] = True
                if queue.name == "lasting":
                    phase["long_running"] = True
                if i:
                    phase["after"] = [i - 1]
                mean_ms = log_normal(rng, run_ms, 0.5) if run_ms else 0
                if mean_ms:
                    phase["estimate_ms"] = round(mean_ms)
                job.phases.append(phase)
                job.run_ms.append(mean_ms)
            slots = [self.free_slots(job, i, True) for i in range(len(job.phases))]
            if min(slots) < 6:
                continue
            for phase, fits in zip(job.phases, slots):
                phase["count"] = min(phase["count"], fits * 2 // 5)
            self.jobs[job.id] = job
            return job


def room_of(phase):
    return phase["cpu"], phase["mem_mb"], phase.get("gpu", 0)


class Worker(standin.Minion):
    """Notes runs above its room, and ends that were acknowledged while the lease of
    the run had not lapsed."""

    def __init__(self, fleet, *arguments, **options):
        super().__init__(*arguments, **options)
        self.fleet = fleet
        self.room = (self.capacity["cpu"], self.capacity["mem_mb"], self.capacity["gpu"])
        self.used = [0, 0, 0]
        self.lapsed_at = 0.0
        self.clock_rate = 1
        if fleet.late_rng:
            self.clock_rate = fleet.late_rng.choice((1, SLOW_CLOCK_RATE))

    def clock_ms(self):
        return int((standin.now() - self.born_at) * 1000 * self.clock_rate) + 1000

    async def start(self):
        self.used = [0, 0, 0]
        self.lapsed_at = 0.0
        await super().start()

    async def crash(self):
        runs = list(self.runs.values())
        await super().crash()
        for run in runs:
            self._break_gang(run)

    def log(self, text):
        pass  # A record of all runs would be too long.

    async def _work(self):
        while True:
            await asyncio.sleep(LEASE_CHECK_S)
            now = standin.now()
            if self.runs and self.clock_ms() > self.deadline:
                self.lapsed_at = now
                for task in list(self.runs):
                    self._end(task, "lapsed")
            for task, run in list(self.runs.items()):
                if (run["gang"] and not run["is_complete"] and
                        now > run["begun"] + GANG_TIMEOUT_S):
                    self._end(task, "alone")

    def _end(self, task, how, saved=""):
        run = self.runs.pop(task)
        run["ended"], run["how"] = standin.now(), how
        for i, amount in enumerate(run["need"]):
            self.used[i] -= amount
        self.last_run[task] = max(self.last_run.get(task, 0), run["run"])
        self.end_count += 1
        self.ends.append([self.end_count, task, run["run"], how, saved])
        self.changed.set()
        self.changed = asyncio.Event()
        job_id, _, step, _ = task.split(".")
        if how == "done":
            self.fleet.jobs[job_id].done[int(step)].add(task)
        else:
            self._break_gang(run)

    def _break_gang(self, run):
        for other in list(self.fleet.gangs[run["gang"]].values()) if run["gang"] else ():
            worker = other["worker"]
            if worker.alive and worker.runs.get(other["task"]) is other:
                worker._end(other["task"], "broken")

    def end_later(self, run, seconds, how):
        born = self.born

        def end():
            if self.alive and self.born == born and self.runs.get(run["task"]) is run:
                self._end(run["task"], how)
        asyncio.get_running_loop().call_later(seconds, end)

    def _start_run(self, body):
        task, number = body["task"], body["run_id"]
        job_id, occurrence, step, index = task.split(".")
        if body["deadline_ms"] < self.clock_ms():
            return 409, self._answer(reason="late")
        run = self.runs.get(task)
        if run and run["run"] == number:
            self._extend(body)
            return 200, self._answer()
        if run or number <= self.last_run.get(task, 0):
            self._extend(body)
            return 409, self._answer(reason="old")
        job = self.fleet.jobs.get(job_id)
        if job is None:
            self.fleet.faults.append(f"{task} was started and never submitted")
            return 400, self._answer()
        step_name = f"{job_id}.{occurrence}.{step}"
        ticket, valid_until = self.fleet.tickets.get((step_name, self.id), ("", 0))
        if ticket != body.get("ticket", "") or standin.now() > valid_until:
            return 409, self._answer(reason="ticket")
        self._extend(body)
        self._begin(job, int(step), index, task, number)
        self.runs[task]["epoch"] = body.get("fencing_token", 0)
        return 200, self._answer()

    def _begin(self, job, step, index, task, number):
        phase = job.phases[step]
        need = room_of(phase)
        if any(used + more > room
               for used, more, room in zip(self.used, need, self.room)):
            self.fleet.faults.append(f"{task} was started above the room of {self.id}")
        for i, amount in enumerate(need):
            self.used[i] += amount
        if step and not job.is_done(step - 1):
            self.fleet.faults.append(f"{task} was started before the step before it was done")
        gang = (f"{job.id}.{step}", number) if phase.get("gang") else None
        run = {"worker": self, "task": task, "run": number, "begun": standin.now(),
               "ended": None, "how": None, "need": need, "gang": gang,
               "is_complete": False, "acknowledged": None}
        self.runs[task] = run
        self.history.append(run)
        job.started_at = job.started_at or standin.now()
        rng = self.fleet.rng
        how = "failed" if rng.random() < job.queue.failures else "done"
        seconds = job.run_ms[step] / 1000
        if job.lasts():
            self.end_later(run, 2 + rng.expovariate(1 / MEAN_LIFE_OF_LASTING_TASK_S),
                           "failed")
        elif not gang:
            self.end_later(run, seconds * rng.uniform(0.85, 1.15), how)
        else:
            members = self.fleet.gangs[gang]
            members[index] = run
            if (len(members) == phase["count"] and
                    all(member["ended"] is None for member in members.values())):
                for member in members.values():
                    member["is_complete"] = True
                    member["worker"].end_later(member, seconds, how)

    def _extend(self, body):
        if self.deadline and self.clock_ms() > self.deadline:
            self.lapsed_at = standin.now()
        super()._extend(body)

    async def _handle(self, method, path, query, headers, body):
        if not self.alive:
            return None
        born = self.born
        def execute():
            return self._execute(method, path, query, headers, body)
        if not self.fleet.late_rng:
            return await execute()
        return await execute_unreliably(self.fleet.late_rng, execute,
                                        lambda: self.alive and self.born == born)

    async def _execute(self, method, path, query, headers, body):
        if path != "/api/run-stop":
            return await super()._handle(method, path, query, headers, body)
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, {}
        if body.get("fencing_token", 0) < self.fence:
            return 409, self._answer(reason="fence")
        self.fence = max(self.fence, body.get("fencing_token", 0))
        task, number = body["task"], body["run_id"]
        run = self.runs.get(task)
        if run and run["run"] <= number:
            self.end_later(run, STOP_S, "stopped")
        else:
            self.last_run[task] = max(self.last_run.get(task, 0), number)
        return 200, self._answer()

    async def _hold(self, body):
        if self.deadline and self.clock_ms() > self.deadline:
            self.lapsed_at = standin.now()
        seen = body.get("observed", 0)
        ended = {(end[1], end[2]) for end in self.ends if end[0] <= seen}
        for run in self.history if ended else ():
            # An end counts as noted unless the lease has lapsed in between.
            if (run["task"], run["run"]) in ended and self.lapsed_at < run["ended"]:
                if run["how"] == "done":
                    run["acknowledged"] = standin.now()
                elif run["how"] == "failed":
                    run["is_failure_noted"] = True
        return await super()._hold(body)


class Advisor:
    def __init__(self, fleet):
        self.fleet = fleet

    def for_caller(self):
        """Returns the handler for one calling machine, whose calls wait in turn."""
        lock = asyncio.Lock()
        waiting = 0

        async def handle(method, path, query, headers, body):
            nonlocal waiting
            if waiting >= 32:
                return 429, {}
            waiting += 1
            try:
                async with lock:
                    return await self._decide(body)
            finally:
                waiting -= 1
        return handle

    async def _decide(self, body):
        step, workers = body["step"], body["workers"]
        job = self.fleet.jobs.get(step.split(".")[0])
        if job is None:
            return 200, {"approved": []}
        await asyncio.sleep((job.queue.decision + job.queue.period * len(workers)) / 1000)
        rows = []
        for worker in workers:
            if may_run(step, worker, job.queue.share):
                ticket = f"{self.fleet.rng.getrandbits(32):08x}"
                self.fleet.tickets[step, worker] = (
                    ticket, standin.now() + TICKET_MS / 1000)
                rows.append([worker, ticket])
        return 200, {"approved": rows}
