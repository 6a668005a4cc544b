"""A queue gets another service, and a copy of a request comes seconds after its answer."""
import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_2 as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 8.0
JOB = "00000000000000b1"
CONFIG_APPLY_S = 2.0


def overlaps(minions):
    """Returns the tasks of which two runs were under way at the same time."""
    spans = {}
    for minion in minions:
        for at, what, task, run in minion.journal:
            if what == "started":
                spans.setdefault(task, []).append([at, None, minion.id, run])
            elif what in ("done", "stopped", "lapsed", "killed"):
                for span in spans[task]:
                    if span[2:] == [minion.id, run]:
                        span[1] = at
    found = []
    for task, rows in spans.items():
        rows.sort(key=lambda row: row[0])
        for first, second in zip(rows, rows[1:]):
            if first[1] is None or second[0] < first[1]:
                found.append((task, first, second))
    return found


async def play(record, store, daemons):
    config = standin.configuration([("batch", "floor")], ["floor", "imaging"])
    store.put("op/config", config)
    minions = [standin.Minion(store, record, service, i, lambda task: WORK_S)
               for service in ("floor", "imaging") for i in range(6)]
    for minion in minions:
        await minion.start()
    await daemons.start_all()
    await daemons.wait_ready()
    await asyncio.sleep(3)
    fronts = [daemons.ports[name]["front"] for name in daemons.names]
    body = {"spec": "x", "phases": [
        {"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": int(WORK_S * 1000)}]}
    answer = await standin.call(fronts[0], "POST", f"/batch/{JOB}", body)
    record.write(f"caller: POST {JOB} -> {answer}")
    if answer is None or answer[0] != 200:
        return 2
    await asyncio.sleep(0.5)
    if TROUBLE:
        # The new version takes the route to `floor` away and adds one to `imaging`.
        config = standin.configuration([("batch", "imaging")], ["floor", "imaging"])
        store.put("op/config", {**config, "version": 2})
        record.write("operator: version 2, the queue has the service imaging")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    answer = await standin.call(fronts[1], "POST", f"/batch/{JOB}", body)
    record.write(f"caller: a copy of POST {JOB} -> {answer}")
    await asyncio.sleep(WORK_S + 4)
    answer = await standin.call(fronts[2], "GET", f"/batch/{JOB}")
    record.write(f"caller: GET {JOB} -> {answer}")
    twice = overlaps(minions)
    for task, first, second in twice:
        record.write(f"BROKEN: TWICE, task {task}: run {first[3]} on {first[2]} from {first[0]:.3f} "
                     f"to {first[1]}, run {second[3]} on {second[2]} from {second[0]:.3f}")
    started = [row for minion in minions for row in minion.journal if row[1] == "started"]
    record.write(f"starts: {len(started)}, tasks that ran twice at a time: {len(twice)}")
    if twice:
        return 1
    return 0 if started else 2


if __name__ == "__main__":
    standin.main(HERE, 3, play)
