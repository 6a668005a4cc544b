"""A draining minion whose entry expires during an outage of the store."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))

import platform_standin as platform  # noqa: E402

JOB = "00000000000000a1"
OUTAGE_S = 4.5


async def scenario(cell, is_disrupted):
    await cell.start({"floor": [{"name": f"m{n}"} for n in range(1, 4)]})
    body = {"spec": '{"ms":25000}', "phases": [
        {"count": 1, "cpu": 1500, "mem_mb": 512, "estimate_ms": 25000}]}

    async def accepted():
        status, _ = await cell.request(0, "POST", f"/floor/{JOB}", body)
        return status == 200
    await cell.until(20, "the job is accepted", accepted)

    async def started():
        return bool(cell.runs(JOB))
    await cell.until(10, "the task starts", started)
    await asyncio.sleep(1.0)
    minion = cell.minions[cell.runs(JOB)[0]["minion"]]
    # Planned: it drains, and goes on serving for longer than this script runs.
    minion.drain(12000)
    await asyncio.sleep(1.0)
    if is_disrupted:
        cell.store.go_down()
        # The entries of the minions have expired in the outage; they are back
        # within two seconds of its end.
        await asyncio.sleep(OUTAGE_S)
        keys = [k for k in cell.store.items if k.startswith("servers/")]
        for each in cell.minions.values():
            each.is_paused_ping = True
        cell.store.write([], keys)
        cell.record.add("store: the entries of the minions have expired")
        cell.store.come_back()
        await asyncio.sleep(1.0)
        for each in cell.minions.values():
            each.is_paused_ping = False
            each.register()
        cell.record.add("store: the minions have registered again")
        await asyncio.sleep(2.0)
    else:
        await asyncio.sleep(OUTAGE_S + 3.0)
    for one, other, seconds in platform.overlaps(cell.runs(JOB)):
        return (f"TWICE: run {one['run']} on {one['minion']} and run "
                f"{other['run']} on {other['minion']} of {one['task']} at the "
                f"same time, for {seconds:.2f} s so far; both minions are up")
    return None


platform.main(scenario)
