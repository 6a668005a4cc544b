"""Two crashes of minions, one after the other, under one task."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))

import platform_standin as platform  # noqa: E402

JOB = "00000000000000b2"
MINIONS = 15
CRASHES = 2
DOWN_S = 4.5


async def scenario(cell, is_disrupted):
    await cell.start({"floor": [{"name": f"m{n}", "rack": f"r{n % 5}"}
                                for n in range(1, MINIONS + 1)]})
    body = {"spec": '{"ms":12000}', "phases": [
        {"count": 1, "cpu": 1500, "mem_mb": 512, "estimate_ms": 12000}]}

    async def accepted():
        status, _ = await cell.request(0, "POST", f"/floor/{JOB}", body)
        return status == 200
    await cell.until(20, "the job is accepted", accepted)

    async def is_at_work():
        return any(run["ended"] is None for run in cell.runs(JOB))
    for _ in range(CRASHES):
        await cell.until(12, "the task is at work", is_at_work)
        await asyncio.sleep(2.0)
        if not is_disrupted:
            continue
        run = [r for r in cell.runs(JOB) if r["ended"] is None][0]
        minion = cell.minions[run["minion"]]
        await minion.crash()

        async def restart(crashed=minion):
            await asyncio.sleep(DOWN_S)
            await crashed.start()
        asyncio.create_task(restart())
        await asyncio.sleep(0.5)
    # Long enough for another run of 12 s.
    ends_at = platform.now() + 30
    while platform.now() < ends_at:
        status, content = await cell.request(1, "GET", f"/floor/{JOB}")
        if status == 200 and content.get("state") == "failed":
            failed = [r for r in cell.runs(JOB) if r["how"] == "failed"]
            return (f"LOST: the job is shown as failed; {len(failed)} of its "
                    f"{len(cell.runs(JOB))} runs have ended `failed`")
        if status == 200 and content.get("state") == "completed":
            return None
        await asyncio.sleep(1.0)
    return "LOST: the job has not completed"


platform.main(FOLDER, scenario)
