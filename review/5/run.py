"""The answer to a new owner's first write is lost, and the write is done later."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

import platform_standin as platform  # noqa: E402

JOB = "00000000000000d4"
JOURNAL = "apricotwheel/journals/floor"
LATE_S = (1.0, 6.0)  # A write without an answer is done that much later.
AWAY_S = 6 + 3  # A lasting task may be away for 6 s; then for 3 s.


class lost_answer:
    """`platform_lost`, how late, for one write: the first one of a new owner's
    journal. The store does it while the next attempt reads the journal."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.is_armed = False
        self.call = None
        self.done = False

    async def before(self, method, path, query, headers, body):
        if not self.is_armed or self.done:
            return None
        writes = [put["key"] for put in body.get("puts", [])]
        if self.call is None and path == "/api/kv-txn" and writes == [JOURNAL]:
            self.call = (method, path, query, body)
            self.sent_at = platform.now()
            self.record.add("store: gives no answer to a write of the journal")
            await asyncio.sleep(LATE_S[1])
            await self.execute_late()  # At the latest.
            return "cut"
        if self.call and path == "/api/kv-key" and query["key"] == JOURNAL:
            if platform.now() - self.sent_at < LATE_S[0]:
                return None
            answer = await self.store.execute(method, path, query, body)
            await self.execute_late()
            return answer
        return None

    async def execute_late(self):
        if self.done:
            return
        self.done = True
        answer = await self.store.execute(*self.call)
        self.record.add(f"store: does that write {platform.now() - self.sent_at:.2f}"
                        f" s after it was sent: {answer[0]}")


async def scenario(cell, is_disrupted):
    lost = lost_answer(cell.store, cell.record)
    cell.store.before_answer = lost.before
    await cell.start({"floor": [{"name": f"m{n}"} for n in range(1, 5)]})
    body = {"spec": '{"ms":0}', "phases": [
        {"count": 1, "cpu": 4000, "mem_mb": 512, "long_running": True}]}

    async def accepted():
        status, _ = await cell.request(0, "POST", f"/floor/{JOB}", body)
        return status == 200
    await cell.until(20, "the job is accepted", accepted)

    async def is_at_work():
        return any(run["ended"] is None for run in cell.runs(JOB))
    await cell.until(10, "the task is at work", is_at_work)
    await asyncio.sleep(2.0)
    owner = cell.owner("floor")
    lost.is_armed = is_disrupted
    cell.record.add(f"platform: SIGTERM of daemon {owner + 1}, which owns the pool")
    cell.daemons.signal(owner, signal.SIGTERM)
    ends_at = platform.now() + 6.0  # grace_s
    while cell.daemons.processes[owner].poll() is None:
        if platform.now() >= ends_at:
            cell.daemons.signal(owner, signal.SIGKILL)
        await asyncio.sleep(0.05)
    cell.daemons.start(owner)
    cell.record.add(f"platform: daemon {owner + 1} is started again")
    # The lease of the run, and the time for which the task may be away.
    ends_at = platform.now() + 40
    while platform.now() < ends_at:
        await asyncio.sleep(2.0)
        other = (owner + 1) % 3
        await cell.request(other, "GET", f"/floor/{JOB}")
        if await is_at_work():
            continue
        away_s = platform.now() - max(run["ended"] for run in cell.runs(JOB))
        if away_s > AWAY_S + 11:
            new_owner = cell.owner("floor")
            return (f"LOST: the lasting task has not run for {away_s:.1f} s, with "
                    "all minions empty, a calm store and all daemons up; the "
                    f"pool's key names daemon {new_owner + 1} as the owner")
    return None


platform.main(scenario)
