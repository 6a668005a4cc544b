"""Cuts between groups of daemons and workers whose members still reach each other.

A group has an owner, other daemons and a third of the workers. The store and the
advisor are outside of all groups, so the entries of a group's workers expire.
"""
import asyncio
import random
import signal

import platform_standin as standin
from links import OUTLIVE

LENGTHS_S = (2, 7, 13, 16)  # Below and above a lease, and lease and authority.
GAPS_S = (-5, 1, 4)  # From the end of a cut to the next one.
OUTAGES_S = (3, 9)
ENTRY_S = 4.5  # A silent worker's entry expires after that.
PAUSED_ON_S = 1.0  # From the end of the cut.
STOP_S = 15.0
CALM_S = 7.0  # The rule on lasting tasks holds after that.

# plain:       one group, in both directions.
# deaf, heard: one group; nothing reaches it, or nothing gets out of it.
# three sides: two groups, which do not reach each other either.
# swap:        when the group comes back another one leaves.
# paused:      the owner is paused inside the cut and woken after it.
# stopped:     a daemon of the group gets SIGTERM and is started again.
# handed on:   a successor outside of the group gets SIGTERM and is started again.
# killed:      the owner is killed and is started again, mostly inside the cut.
# reborn:      workers of the group crash, also with runs, and start again under their ids.
# restarted:   only workers, which start again under their ids right before the cut;
#              calls that were sent meanwhile reach the next process.
# outage:      the store is silent for all, inside the cut or over its end.
SHAPES = ("plain", "deaf", "heard", "three sides", "swap", "paused", "stopped",
          "handed on", "killed", "reborn", "restarted", "outage")
ONE_WAY_MODES = ("hold", "mute")  # A sender is not told of what is lost.
OUTSIDE = 0
ZONES = 3
DEAD_S = (0.1, 1, 4)  # From a kill or a crash to the next start.
CRASHES = 4
SETTLE_S = 0.02  # Calls on their way arrive.
DOWN_S = (0.05, 0.2, 0.4, 0.6)  # Of workers that start again before a cut,
UP_S = (0.1, 0.4, 0.6, 1.5)  # and from their start to the cut.


class Cut:
    def __init__(self, groups, mode, silent_sides):
        self.mode = mode
        self.silent_sides = silent_sides  # Of these nothing gets out.
        self.sides = {member: i + 1 for i, group in enumerate(groups)
                      for member in group}

    def side(self, member):
        return self.sides.get(member, OUTSIDE)

    def lost_from(self, client, server):
        """Returns the ends of a connection whose bytes are lost."""
        if self.side(client) == self.side(server):
            return frozenset()
        return frozenset(end for end, member in (("client", client), ("server", server))
                         if self.silent_sides is None or
                         self.side(member) in self.silent_sides)


class GroupCuts:
    def __init__(self, play):
        self.play = play
        self.options = play.options
        # Of its own, so that a seed draws the same shapes whatever the load does.
        self.rng = random.Random(f"{play.options.seed} cuts")
        self.active = []
        self.cut_links = set()
        self.silent_workers = {}  # Name -> since when.
        self.restarting = set()  # Cuts overlap, and so do their disturbances.
        self.lock = asyncio.Lock()  # Restoring a link takes a while.
        self.disturbed_at = 0.0  # Last moment with a cut or what is beside it.
        self.disturbances = 0
        self.played = []
        self.is_over = False

    async def run(self):
        """Plays all cuts, each from the end of the one before it or earlier."""
        expiry = asyncio.create_task(self._expire_entries())
        cuts = []
        for i in range(self.options.cuts):
            shape = self.rng.choice(self.options.shapes)
            length = self.options.group_cut_s or self.rng.choice(LENGTHS_S)
            cuts.append(asyncio.create_task(self._play(i, shape, length)))
            gap = self.rng.choice(GAPS_S)
            if self.options.gap_s is not None:
                gap = self.options.gap_s
            await asyncio.sleep(max(1, length + gap))
        await asyncio.gather(*cuts)
        self.is_over = True
        await expiry

    def is_calm(self):
        return standin.now() - self.disturbed_at > CALM_S

    async def _play(self, number, shape, length):
        self.disturbances += 1
        try:
            await self._play_shape(number, shape, length)
        finally:
            self.disturbances -= 1

    async def _play_shape(self, number, shape, length):
        mode = self.options.mode
        if shape in ("deaf", "heard") and mode not in ONE_WAY_MODES:
            mode = self.rng.choice(ONE_WAY_MODES)
        groups = [self._choose_group(number, set())]
        if shape == "three sides":
            groups.append(self._choose_group(number + 1, groups[0]))
        if shape == "restarted":
            groups = [{member for member in groups[0] if isinstance(member, str)}]
            await self._restart_workers(groups[0])
        cut = Cut(groups, mode, {"deaf": {OUTSIDE}, "heard": {1}}.get(shape))
        await self._begin(cut, f"{shape}, {mode}, {length} s, {show(groups)}")
        others = asyncio.create_task(self._disturb(shape, groups[0], length))
        await asyncio.sleep(length)
        if shape == "swap":
            next_groups = [self._choose_group(number + 1, groups[0])]
            next_cut = Cut(next_groups, mode, None)
            self.active.remove(cut)
            await self._begin(next_cut, f"swap, {mode}, {length} s, {show(next_groups)}")
            await asyncio.sleep(length)
            cut = next_cut
        self.active.remove(cut)
        await self._apply()
        self.play.record.add(f"the cut has ended: {shape}")
        await others

    async def _disturb(self, shape, group, length):
        daemons = self.play.cell.daemons
        inside = sorted(member for member in group if isinstance(member, int))
        owners = [n for n in inside if n in self._owners()] or inside
        if shape == "paused":
            await asyncio.sleep(self.rng.uniform(0.2, 0.8) * length)
            self._note("paused", owners[0])
            daemons.signal(owners[0], signal.SIGSTOP)
            ends_at = standin.now() + length + PAUSED_ON_S
            await asyncio.sleep(ends_at - standin.now())
            daemons.signal(owners[0], signal.SIGCONT)
            self._note("woken", owners[0])
        elif shape == "stopped":
            n = self.rng.choice(inside)
            await asyncio.sleep(self.rng.uniform(0.2, 0.8) * length)
            await self._restart(n)
        elif shape == "handed on":
            before = self._owners()
            ends_at = standin.now() + length
            while not (successors := self._owners() - before - group):
                if standin.now() > ends_at:
                    return
                await asyncio.sleep(0.1)
            await asyncio.sleep(self.rng.uniform(0, 3))
            await self._restart(min(successors))
        elif shape == "killed":
            await asyncio.sleep(self.rng.uniform(0.2, 0.8) * length)
            await self._restart(owners[0], self._kill)
        elif shape == "reborn":
            names = sorted(member for member in group if isinstance(member, str))
            for name in self.rng.sample(names, min(CRASHES, len(names))):
                await asyncio.sleep(self.rng.uniform(0, 0.25) * length)
                await self._crash(name)
        elif shape == "outage":
            await asyncio.sleep(self.rng.choice((0.2, 0.9)) * length)
            store = self.play.cell.store
            if store.up.is_set():
                store.go_down()
                await asyncio.sleep(self.rng.choice(OUTAGES_S))
                store.come_back()

    async def _restart(self, n, end=None):
        if n in self.restarting:
            return
        self.restarting.add(n)
        await (end or self._stop)(n)
        self.play.cell.daemons.start(n)
        self.restarting.discard(n)
        self._note("started", n)

    async def _kill(self, n):
        process = self.play.cell.daemons.processes[n]
        self._note("killed", n)
        process.kill()
        process.wait()
        await asyncio.sleep(self.rng.choice(DEAD_S))

    async def _stop(self, n):
        process = self.play.cell.daemons.processes[n]
        self._note("SIGTERM", n)
        process.send_signal(signal.SIGTERM)
        ends_at = standin.now() + STOP_S
        while process.poll() is None and standin.now() < ends_at:
            await asyncio.sleep(0.05)
        if process.poll() is None:
            self._note("killed", n)
            process.kill()
            process.wait()

    async def _restart_workers(self, names):
        down_s, up_s = self.rng.choice(DOWN_S), self.rng.choice(UP_S)
        self.play.record.add(f"workers start again: {show([names])}, down for "
                             f"{down_s} s, cut {up_s} s later")
        async with self.lock:
            links = [link for view in self.play.views
                     for target, links in view.links.items() if target in names
                     for link in links if link not in self.cut_links]
            for link in links:
                link.cut(OUTLIVE)
            await asyncio.sleep(SETTLE_S)
            workers = [self.play.fleet.workers[name] for name in names]
            await asyncio.gather(*(worker.crash() for worker in workers))
            await asyncio.sleep(down_s)
            await asyncio.gather(*(worker.start() for worker in workers))
            await asyncio.gather(*(link.restore() for link in links))
        await asyncio.sleep(up_s)

    async def _crash(self, name):
        worker = self.play.fleet.workers[name]
        self.play.record.add(f"worker {name}: crashes")
        await worker.crash()
        await asyncio.sleep(self.rng.choice(DEAD_S))
        await worker.start()
        self.play.record.add(f"worker {name}: starts")

    def _note(self, what, n):
        self.play.record.add(f"daemon {n + 1}: {what}")

    def _owners(self):
        return {self.play.cell.owner(pool) for pool in self.play.pools} - {None}

    def _choose_group(self, number, taken):
        """An owner, if there is one outside of `taken`, other daemons and every
        third worker; with --zones all daemons of a zone and its workers."""
        workers = set(sorted(self.play.fleet.workers)[number % ZONES::ZONES])
        if self.options.zones:
            return workers | set(range(number % ZONES, self.options.daemons, ZONES))
        free = [n for n in range(self.options.daemons) if n not in taken]
        owners = [n for n in free if n in self._owners()]
        group = {self.rng.choice(owners or free)}
        while len(group) < self.options.victims:
            group.add(self.rng.choice(free))
        return group | workers

    # -- links -----------------------------------------------------------------
    async def _begin(self, cut, text):
        self.played.append(text.rpartition(", ")[0])
        self.play.record.add(f"cut: {text}; owners "
                             f"{sorted(n + 1 for n in self._owners())}")
        self.active.append(cut)
        await self._apply()

    async def _apply(self):
        """Brings all links and workers to the state that the active cuts demand."""
        async with self.lock:
            await self._apply_to_links()
        self._apply_to_workers()

    async def _apply_to_links(self):
        restored = []
        for n, view in enumerate(self.play.views):
            for target, links in view.links.items():
                server = target[1] if isinstance(target, tuple) else target
                cut, lost = self._find_cut(n, server)
                for link in links:
                    if lost and link not in self.cut_links:
                        self.cut_links.add(link)
                        link.cut(cut.mode, lost)
                    elif not lost and link in self.cut_links:
                        self.cut_links.discard(link)
                        restored.append(link.restore())
        await asyncio.gather(*restored)

    def _apply_to_workers(self):
        for name, worker in self.play.fleet.workers.items():
            _, lost = self._find_cut(name, "store")
            worker.is_paused_ping = "client" in lost
            if worker.is_paused_ping:
                self.silent_workers.setdefault(name, standin.now())
            else:
                self.silent_workers.pop(name, None)

    def _find_cut(self, client, server):
        for cut in self.active:
            if lost := cut.lost_from(client, server):
                return cut, lost
        return None, frozenset()

    async def _expire_entries(self):
        while not self.is_over:
            await asyncio.sleep(0.1)
            if self.disturbances:
                self.disturbed_at = standin.now()
            if self.options.entries == "keep" or not self.play.cell.store.up.is_set():
                continue
            for name, since in self.silent_workers.items():
                if standin.now() - since > ENTRY_S:
                    self.play.fleet.workers[name].unregister()


def show(groups):
    return "; ".join(" ".join([str(m + 1) for m in sorted(
        m for m in group if isinstance(m, int))] + sorted(
            m for m in group if isinstance(m, str))) for group in groups)
