"""Answers of the store are lost, and callers cancel what got no final answer."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin_2 as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
LOST_SHARE = 0.35  # Of the writes; they are done 1 to 6 s later.
WINDOWS = ((6.0, 4.5), (24.0, 4.5), (42.0, 4.5))  # Begin and length in seconds.
STEPS = 10
WORK_S = 1.5
CANCEL_S = 3.0
CONTACT_S = 3.0


async def play(record, store, daemons):
    rng = random.Random(SEED)
    store.put("op/config", standin.configuration([("batch", "floor")], ["floor"]))
    minions = [standin.Minion(store, record, "floor", i, lambda task: WORK_S) for i in range(10)]
    for minion in minions:
        await minion.start()
    await daemons.start_all()
    await daemons.wait_ready()
    await asyncio.sleep(3)
    began = standin.now()
    windows = [(began + at, began + at + length) for at, length in WINDOWS]

    def lose(_daemon, _write):
        is_lost = any(begin <= standin.now() < end for begin, end in windows)
        return rng.uniform(1, 6) if is_lost and rng.random() < LOST_SHARE else None
    if TROUBLE:
        store.lose_write = lose
    fronts = [daemons.ports[name]["front"] for name in daemons.names]
    body = {"spec": "x", "phases": [
        {"count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": int(WORK_S * 1000),
         **({"after": [i - 1]} if i else {})} for i in range(STEPS)]}
    cancelled = {}  # Job -> time of the ack of its cancelling

    async def submit(job, gives_up):
        front, other = rng.sample(fronts, 2)
        answer = await standin.call(front, "POST", f"/batch/{job}", body)
        if answer and answer[0] != 200:
            record.write(f"caller: POST {job} -> {answer}")
        # An unknown outcome, or a caller that leaves.
        is_unknown = answer is None or answer[0] in (502, 504)
        if not is_unknown and not (gives_up and answer[0] == 200):
            return
        answer = await standin.call(other, "DELETE", f"/batch/{job}")
        record.write(f"caller: DELETE {job} -> {answer}")
        if answer and answer[0] in (200, 410):
            cancelled[job] = (standin.now(), answer[0])

    tasks = []
    for i in range(1100):
        if standin.now() > windows[-1][1] + 1:
            break
        if any(begin - 1 <= standin.now() < end for begin, end in windows):
            tasks.append(asyncio.create_task(submit(f"{0xd000 + i:016x}", i % 20 == 0)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    await asyncio.sleep(STEPS * WORK_S + 3)
    late = {}
    for minion in minions:
        for at, what, task, run in minion.journal:
            job = task.split(".")[0]
            is_calm = not any(begin <= at < end + CONTACT_S for begin, end in windows)
            if what == "started" and job in cancelled and is_calm:
                if at > cancelled[job][0] + CANCEL_S:
                    late.setdefault(job, []).append((at, task))
    for job, rows in late.items():
        record.write(f"BROKEN: UNASKED, job {job}: cancelling answered with {cancelled[job][1]} at "
                     f"{cancelled[job][0]:.3f}, {len(rows)} starts over {CANCEL_S} s later, the "
                     f"last at {max(rows)[0]:.3f}")
    record.write(f"{len(tasks)} jobs sent, {len(cancelled)} cancellings acknowledged, "
                 f"{len(late)} jobs started later")
    return 1 if late else 0


if __name__ == "__main__":
    standin.main(HERE, 3, play)
