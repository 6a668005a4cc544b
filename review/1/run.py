"""A minion is cut off by resets for some seconds, and runs on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

import platform_standin as platform  # noqa: E402

JOB = "00000000000000e5"
CUT_S = 5.5


async def scenario(cell, is_disrupted):
    # One of six minions: a share of 0.17.
    await cell.start({"floor": [{"name": f"m{n}"} for n in range(1, 7)]},
                     is_relayed=True)
    body = {"spec": '{"ms":20000}', "phases": [
        {"count": 1, "cpu": 1500, "mem_mb": 512, "estimate_ms": 20000}]}

    async def accepted():
        status, _ = await cell.request(0, "POST", f"/floor/{JOB}", body)
        return status == 200
    await cell.until(20, "the job is accepted", accepted)

    async def started():
        return bool(cell.runs(JOB))
    await cell.until(10, "the task starts", started)
    await asyncio.sleep(2.0)
    minion = cell.minions[cell.runs(JOB)[0]["minion"]]
    if is_disrupted:
        cell.record.add(f"proxy: {minion.id} is cut off by resets; it runs on")
        minion.relay.cut()
    await asyncio.sleep(CUT_S)
    if is_disrupted:
        await minion.relay.heal()
        cell.record.add(f"proxy: {minion.id} is back")
    await asyncio.sleep(5.0)
    for one, other, seconds in platform.overlaps(cell.runs(JOB)):
        return (f"TWICE: run {one['run']} on {one['minion']} and run "
                f"{other['run']} on {other['minion']} of {one['task']} at the "
                f"same time, for {seconds:.2f} s so far; both minions are up")
    return None


platform.main(scenario)
