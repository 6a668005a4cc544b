#!/usr/bin/env python3
"""Crowds of hostile clients against real daemons, started as the deploy file does.

    hostile_clients_test.py CASE --daemon PATH

Guards against clients that end a daemon, fill the memory of its machine or keep other
callers out. Each case runs a crowd of a fixed size and checks what does not depend on
the speed of the machine: each daemon lives, its peak memory and its descriptors stay
under a bound, ordinary requests are served while the crowd is there (where the case says
so), and one ordinary request is served afterwards. Run one case at a time, apart from
other load.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import resource
import subprocess
import sys
import tempfile
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.dont_write_bytecode = True
sys.path.insert(0, str(ROOT / "review"))
import platform_standin as standin  # noqa: E402

MB = 1_000_000
KB_PER_MB = 1024
# The smallest machine has 120 MB. Half of it remains for everything else.
SMALL_MACHINE_MB = 120
LARGE_MACHINE_MB = 512
MAX_RESIDENT_KB = 60 * KB_PER_MB
MAX_CONNECTIONS = 64  # `max_http_connections`, where a case fills the slots.
DEFAULT_MAX_CONNECTIONS = 512
# Files, links, watches, and connections that are being refused.
MORE_DESCRIPTORS = 96
# Far above what any request takes. They only end a run that hangs.
ANSWER_S = 60
SERVE_S = 30  # Below the time after which idle connections are closed.
CASE_S = 200
RETRY_S = 0.2
RECONNECT_S = 0.02
SAMPLE_S = 0.05
ORDINARY_JOB = {"spec": '{"ms":10}', "phases": [{"count": 1, "cpu": 100, "mem_mb": 16}]}


class Broken(Exception):
    pass


class Daemons(standin.Daemons):
    """Daemons of any build, with settings of the case added to their files."""

    program = None
    machine_mb = SMALL_MACHINE_MB
    max_connections = DEFAULT_MAX_CONNECTIONS

    def start(self, n):
        path = pathlib.Path(self.folder, f"{self.names[n]}.yaml")
        own = (f"machine_memory_mb: {self.machine_mb}\n"
               f"max_http_connections: {self.max_connections}\n")
        lines = [line for line in path.read_text().splitlines()
                 if line.split(":")[0] not in own]
        path.write_text("\n".join(lines) + "\n" + own)
        with open(f"{self.folder}/{self.names[n]}.log", "ab") as log:
            self.processes[n] = subprocess.Popen([self.program, "--settings", str(path)],
                                                 stdout=log, stderr=log)

    def port_of(self, n, setting):
        text = pathlib.Path(self.folder, f"{self.names[n]}.yaml").read_text()
        line = next(line for line in text.splitlines() if line.startswith(setting + ":"))
        return int(line.rsplit(":", 1)[1])


def status_kb(process, name):
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1])
    return 0


# -- what clients send -------------------------------------------------------------
def job_path():
    return f"/floor/{os.urandom(8).hex()}"


def head(method, path, *fields):
    return "\r\n".join([f"{method} {path} HTTP/1.1", "Host: jobs.example", *fields,
                        "", ""]).encode()


def post(body, *fields):
    return head("POST", job_path(), "Content-Type: application/json",
                f"Content-Length: {len(body)}", *fields) + body


def repeat(prefix, unit, suffix, size):
    return prefix + unit * ((size - len(prefix) - len(suffix)) // len(unit)) + suffix


def wide_body():
    """Within the limit of a body; its JSON tree is many times larger."""
    return repeat(b'{"spec":"a","phases":[', b"[],", b"[]]}", 250_000)


def wide_steps_body():
    """The largest number of steps with many fields. The last has too many tasks."""
    step = {"count": 1, "cpu": 100, "mem_mb": 16, "gpu": 0, "estimate_ms": 1000,
            "checkpointing": True, "requirements": "label", "affinity": "r1-3",
            "max_per_server": 3, "image": "image", "target_ms": 100}
    steps = [step] * 999 + [dict(step, count=10_001)]
    return json.dumps({"spec": "a", "phases": steps}).encode()


def many_steps_body():
    """A job within all limits: 1,000 steps of 10 tasks. They last, so they stay."""
    step = {"count": 10, "cpu": 1, "mem_mb": 1, "estimate_ms": 600_000}
    return json.dumps({"spec": '{"ms":600000}' + " " * 3900,
                       "phases": [step] * 1000}).encode()


def packed(size):
    packer = zlib.compressobj(9, zlib.DEFLATED, zlib.MAX_WBITS | 16)
    return packer.compress(b'{"spec":"' + b"a" * size + b'"}') + packer.flush()


# -- clients -----------------------------------------------------------------------
async def connect(port):
    return await asyncio.wait_for(asyncio.open_connection(standin.HOST, port), ANSWER_S)


async def ask(port, data):
    """Sends one request and returns the status of its answer."""
    writer = None
    try:
        reader, writer = await connect(port)
        writer.write(data)
        status = await asyncio.wait_for(reader.read(12), ANSWER_S)
        return status[-3:].decode("latin-1") or "closed"
    except asyncio.TimeoutError:
        return "no answer"
    except OSError:
        return "reset"
    finally:
        if writer:
            writer.transport.abort()


async def send_until_closed(port, prefix, block, size):
    """Sends `size` bytes, unless the daemon closes before."""
    async def send():
        writer.write(prefix)
        for _ in range(size // len(block)):
            writer.write(block)
            await writer.drain()
        return "sent"

    async def wait_until_closed():
        await reader.read()
        return "closed"

    writer = None
    tasks = []
    try:
        reader, writer = await connect(port)
        tasks = [asyncio.create_task(send()), asyncio.create_task(wait_until_closed())]
        done, _ = await asyncio.wait(tasks, timeout=ANSWER_S,
                                     return_when=asyncio.FIRST_COMPLETED)
        return done.pop().result() if done else "no answer"
    except (OSError, asyncio.TimeoutError):
        return "closed"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if writer:
            writer.transport.abort()


async def hold(port, data, is_over, reads=True):
    """Sends `data` and keeps the connection. Connects again if it is closed."""
    while not is_over.is_set():
        writer = None
        try:
            reader, writer = await connect(port)
            if not reads:
                reader._transport.pause_reading()
            writer.write(data)
            if not reads:
                await is_over.wait()
            while not is_over.is_set():
                read = asyncio.create_task(reader.read(4096))
                over = asyncio.create_task(is_over.wait())
                await asyncio.wait((read, over), return_when=asyncio.FIRST_COMPLETED)
                over.cancel()
                if not read.done():
                    read.cancel()
                elif not read.result():
                    break
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            if writer:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_S)
    return "held"


# -- cases -------------------------------------------------------------------------
class Play:
    def __init__(self, program, folder):
        self.folder = folder
        self.program = program
        self.cell = None
        self.daemons = None
        self.peak_descriptors = 0
        self.peaks_kb = []

    async def start(self, daemons=1, machine_mb=SMALL_MACHINE_MB,
                    max_connections=DEFAULT_MAX_CONNECTIONS):
        record = standin.Record(f"{self.folder}/record.txt")
        self.cell = standin.Cell(self.folder, record)
        Daemons.program = self.program
        Daemons.machine_mb = machine_mb
        Daemons.max_connections = max_connections
        standin.Daemons = Daemons
        await self.cell.start({"floor": [{"name": "floor-m0", "cpu": 8000}]},
                              daemons=daemons)
        self.daemons = self.cell.daemons
        self.port = self.daemons.frontends[0]

    def end(self):
        if self.cell and self.cell.daemons:
            self.cell.daemons.end_all()

    def check_daemons(self):
        for process, name in zip(self.daemons.processes, self.daemons.names):
            if process.poll() is not None:
                raise Broken(f"{name} has ended with {process.returncode}")
            peak = status_kb(process, "VmHWM")
            self.peaks_kb.append(peak)
            if peak > MAX_RESIDENT_KB:
                raise Broken(f"{name}: peak memory {peak} kB > {MAX_RESIDENT_KB} kB")
            count = len(os.listdir(f"/proc/{process.pid}/fd"))
            self.peak_descriptors = max(self.peak_descriptors, count)
            limit = self.daemons.max_connections + MORE_DESCRIPTORS
            if count > limit:
                raise Broken(f"{name}: {count} descriptors > {limit}")

    async def watch(self):
        while True:
            self.check_daemons()
            await asyncio.sleep(SAMPLE_S)

    async def run_crowd(self, clients, beside=None):
        """Runs the clients and then checks. `beside` runs at the same time, and the
        clients that hold connections leave after it."""
        watch = asyncio.create_task(self.watch())
        crowd = asyncio.gather(*clients)
        work = asyncio.gather(crowd, beside) if beside else asyncio.gather(crowd)
        try:
            done, _ = await asyncio.wait((watch, work), timeout=CASE_S,
                                         return_when=asyncio.FIRST_COMPLETED)
            if watch in done:
                watch.result()
            if work not in done:
                raise Broken("the crowd did not end")
            print(f"crowd: {dict(collections.Counter(work.result()[0]))}", flush=True)
        finally:
            watch.cancel()
            work.cancel()
            await asyncio.gather(watch, crowd, work, return_exceptions=True)

    async def serve_ordinary(self, port=None, method="POST", path=None, body=ORDINARY_JOB):
        """One ordinary request, repeated as callers do until it is served."""
        ends_at = standin.now() + SERVE_S
        while standin.now() < ends_at:
            status, _ = await standin.call(port or self.port, method, path or job_path(),
                                           body if method == "POST" else None)
            if status == 200:
                return
            await asyncio.sleep(RETRY_S)
        raise Broken("an ordinary request was not served")

    async def serve_beside(self, is_over, **request):
        """Ordinary requests while the crowd holds its connections."""
        try:
            await asyncio.sleep(1)
            for _ in range(3):
                await self.serve_ordinary(**request)
        finally:
            is_over.set()

    async def hold_beside_ordinary(self, count, held_port, data, reads=True,
                                   **request):
        is_over = asyncio.Event()
        await self.run_crowd([hold(held_port, data, is_over, reads) for _ in range(count)],
                             self.serve_beside(is_over, **request))


async def lines_without_end(play):
    await play.start()
    block = b"a" * 65_536
    await play.run_crowd([send_until_closed(play.port, prefix, block, 12 * MB)
                          for prefix in (b"GET /", b"GET / HTTP/1.1\r\nX-A: ")] * 12)


async def fields_without_end(play):
    await play.start()
    block = b"X-A: b\r\n" * 8192
    await play.run_crowd([send_until_closed(play.port, b"GET / HTTP/1.1\r\n", block,
                                            12 * MB) for _ in range(24)])


async def empty_lines_without_end(play):
    await play.start()
    block = b"\r\n" * 32_768
    mixed = (b"\r\n" * 100 + head("GET", "/floor/")) * 64
    await play.run_crowd([send_until_closed(play.port, b"", part, 12 * MB)
                          for part in (block, mixed)] * 12)


async def chunks_without_end(play):
    await play.start()
    prefix = head("POST", job_path(), "Transfer-Encoding: chunked")
    await play.run_crowd([send_until_closed(play.port, prefix,
                                            b"10000\r\n" + b"a" * 65_536 + b"\r\n",
                                            12 * MB) for _ in range(24)])


async def wide_queries(play):
    """Many parameters in each target. The handlers wait, because the store is silent."""
    await play.start()
    pairs = "&".join(f"{chr(97 + n % 26)}{n}" for n in range(1300))
    data = head("GET", f"{job_path()}?{pairs}")
    play.cell.store.go_down()
    try:
        await play.run_crowd([ask(play.port, data) for _ in range(300)])
    finally:
        play.cell.store.come_back()


async def deep_bodies(play):
    await play.start()
    body = b"[" * MB
    await play.run_crowd([ask(play.port, post(body)) for _ in range(16)])


async def wide_bodies(play):
    await play.start()
    body = wide_body()
    await play.run_crowd([ask(play.port, post(body)) for _ in range(200)])


async def wide_steps(play):
    await play.start()
    body = wide_steps_body()
    await play.run_crowd([ask(play.port, post(body)) for _ in range(200)])


async def packed_bodies(play):
    await play.start()
    body = packed(8 * MB)
    await play.run_crowd([ask(play.port, post(body, "Content-Encoding: gzip"))
                          for _ in range(64)])


async def packed_answers(play):
    await play.start()
    data = head("GET", "/floor/", "Accept-Encoding: br, gzip") * 20
    await play.run_crowd([ask(play.port, data) for _ in range(200)])


async def accepted_jobs(play):
    await play.start()
    body = many_steps_body()

    async def submit():
        return " ".join([await ask(play.port, post(body)) for _ in range(10)])
    await play.run_crowd([submit() for _ in range(6)])


async def reloaded_jobs(play):
    """What a large machine has accepted is loaded by a small one."""
    await play.start(machine_mb=LARGE_MACHINE_MB)
    body = json.loads(many_steps_body())
    accepted = []
    for _ in range(60):
        path = job_path()
        status, _ = await standin.call(play.port, "POST", path, body, timeout_s=ANSWER_S)
        if status == 200:
            accepted.append(path)
    print(f"accepted: {len(accepted)}", flush=True)
    if not accepted:
        raise Broken("no job was accepted in calm")
    play.daemons.processes[0].kill()
    play.daemons.processes[0].wait()
    Daemons.machine_mb = SMALL_MACHINE_MB
    play.daemons.start(0)
    # Each accepted job is known, whether it is loaded or not.
    for path in accepted:
        await play.serve_ordinary(method="GET", path=path)
        play.check_daemons()


async def silent_connections(play):
    await play.start(max_connections=MAX_CONNECTIONS)
    await play.hold_beside_ordinary(2 * MAX_CONNECTIONS, play.port, b"")


async def heads_held_half_way(play):
    await play.start(max_connections=MAX_CONNECTIONS)
    await play.hold_beside_ordinary(2 * MAX_CONNECTIONS, play.port,
                                    b"POST /floor/0 HTTP/1.1\r\nHost: jobs.example\r\nX-A: ")


async def bodies_held_half_way(play):
    await play.start(max_connections=MAX_CONNECTIONS)
    await play.hold_beside_ordinary(2 * MAX_CONNECTIONS, play.port,
                                    head("POST", job_path(), "Content-Length: 1000") + b"{")


async def idle_after_a_request(play):
    await play.start(max_connections=MAX_CONNECTIONS)
    await play.hold_beside_ordinary(2 * MAX_CONNECTIONS, play.port, head("GET", "/floor/"))


async def unread_answers(play):
    await play.start(max_connections=MAX_CONNECTIONS)
    data = head("GET", "/floor/") * 40_000
    await play.hold_beside_ordinary(2 * MAX_CONNECTIONS, play.port, data, reads=False)


async def silent_probes(play):
    await play.start()
    await play.hold_beside_ordinary(48, play.daemons.readiness[0], b"", method="GET",
                                    port=play.daemons.readiness[0], path="/api/readyz")


async def silent_operators(play):
    await play.start()
    port = play.daemons.port_of(0, "http_address")
    # The answer is no JSON, so what shows that it came is its status line.
    is_over = asyncio.Event()

    async def read_metrics():
        try:
            await asyncio.sleep(1)
            ends_at = standin.now() + SERVE_S
            while standin.now() < ends_at:
                if await ask(port, head("GET", "/metrics")) == "200":
                    return
                await asyncio.sleep(RETRY_S)
            raise Broken("the metrics were not served")
        finally:
            is_over.set()
    await play.run_crowd([hold(port, b"", is_over) for _ in range(24)], read_metrics())


async def strangers_on_the_peer_port(play):
    await play.start(daemons=2)
    port = play.daemons.port_of(0, "peer_address")
    await play.hold_beside_ordinary(200, port, b"\xff\xff\xff\x7f" + b"a" * 60_000)
    for front in play.daemons.frontends:
        await play.serve_ordinary(port=front)


CASES = {case.__name__: case for case in (
    lines_without_end, fields_without_end, empty_lines_without_end, chunks_without_end,
    wide_queries, deep_bodies, wide_bodies, wide_steps, packed_bodies, packed_answers,
    accepted_jobs, reloaded_jobs, silent_connections, heads_held_half_way,
    bodies_held_half_way, idle_after_a_request, unread_answers, silent_probes,
    silent_operators, strangers_on_the_peer_port)}


async def run(case, program, folder):
    play = Play(program, folder)
    try:
        await case(play)
        play.check_daemons()
        await play.serve_ordinary()
        play.check_daemons()
        return None
    except Broken as broken:
        return str(broken)
    finally:
        print(f"peak {max(play.peaks_kb, default=0)} kB, {play.peak_descriptors} "
              "descriptors", flush=True)
        play.end()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("case", choices=CASES)
    parser.add_argument("--daemon", required=True)
    parser.add_argument("--folder", help="keeps the logs there")
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(65_536, hard), hard))
    folder = options.folder or tempfile.mkdtemp(prefix="hostile-clients-")
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    broken = asyncio.run(run(CASES[options.case], options.daemon, folder))
    print(f"{options.case}: {'BROKEN: ' + broken if broken else 'held'}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
