"""Owners in virtual time and as real daemons: bytes, terms used, time without an owner, replacement of dead
ones, states explored, random scripts of several processes.

`python -m benchmarks.owners [PART ...]`, parts: states, crowd, kills, scripts, joins; all without one. The
networks of the first two are simulated.
"""

import contextlib
import heapq
import json
import random
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from ledgehitch.config import Fault
from ledgehitch.owners.decide import Lost, Owners, Renewed, Send, Store, Won
from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import DUTIES
from ledgehitch.owners.messages import decode, encode
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.standins.cuts import Cuts, MessageFaults
from tests.explore_owners import SCENARIOS, explore, walk

FRAME = 52  # bytes of head and MAC around the words


class Crowd:
    """Members with clocks, disks and a lossy network, in virtual time. `run` looks at every moment whether
    two own one duty."""

    def __init__(
        self,
        members: int,
        lease: float = 10.0,
        seed: int = 1,
        loss: float = 0.0,
        rates: Sequence[float] = (),
        duties: tuple[str, ...] = DUTIES,
    ) -> None:
        self.chance, self.now = random.Random(seed), 100.0
        self.cuts = Cuts(self.chance)
        self.cuts.everywhere = MessageFaults(loss=loss, late=0.02)
        self.n, self.lease = members, lease
        self.names, self.duties = tuple(f"g{n}" for n in range(members)), duties
        self.rates = list(rates) or [1.0] * members
        self.all: dict[int, Owners | None] = {}
        self.disks: dict[int, Any] = dict.fromkeys(range(members))
        self.events: list[tuple[float, int, int, int, bytes]] = []
        self.number = self.bytes = self.most_owners = 0
        self.still: dict[int, float] = {}
        self.wakes: dict[int, float] = {}
        self.won: list[tuple[float, str, int]] = []
        self.without = dict.fromkeys(duties, 0.0)
        self.backwards = False  # a term was won below one that was won before
        for n in range(members):
            self.start(n, "same")

    def clock(self, n: int) -> float:
        return self.now * self.rates[n]

    def start(self, n: int, disk: str) -> None:
        """`disk`: same or empty; a copy that was put back counts as none."""
        if self.all.get(n) is not None:
            return
        held = self.disks[n] if disk == "same" else None
        memory = DurableState(
            self.clock(n),
            self.names[n],
            self.names,
            self.duties,
            self.lease,
            held,
            self.chance.getrandbits(32),
        )
        chance = random.Random(self.chance.random())
        self.all[n] = Owners(self.clock(n), n, self.names, memory, chance)
        self.wakes[n] = 0.0

    def stop(self, n: int) -> None:
        self.all[n] = None

    def part(self, some: Iterable[int]) -> None:
        """These and the others do not hear each other; with nobody, all do."""
        bad, self.parted = self.cuts.everywhere, set(some)
        self.cuts.heal()
        self.cuts.everywhere = bad
        self.cuts.cut(
            [self.names[n] for n in self.parted],
            [name for n, name in enumerate(self.names) if n not in self.parted],
        )

    def resign(self, n: int) -> None:
        one = self.all[n]
        if one is not None:
            one.resign(self.clock(n))
            self._pull(n)

    def run(self, seconds: float, step: float = 0.02) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += step
            self._turn(step)

    def until(self, true: Callable[[], bool], within: float) -> None:
        end = self.now + within
        while not true():
            assert self.now < end, "it never became true"
            self.run(0.02)

    def _turn(self, step: float) -> None:
        held = []
        while self.events and self.events[0][0] <= self.now:
            event = heapq.heappop(self.events)
            _, _, sender, to, data = event
            one = self.all[to]
            if one is None:
                continue
            if self.still.get(to, 0.0) > self.now:
                held.append((self.still[to], *event[1:]))  # waits in its socket
                continue
            self._hears(to, sender, data)
        for event in held:
            heapq.heappush(self.events, event)
        for n, one in self.all.items():
            if one is not None and self.still.get(n, 0.0) <= self.now and self.wakes[n] <= self.clock(n):
                self._pull(n)
        for duty in self.duties:
            some = len(self.owners(duty))
            self.most_owners = max(self.most_owners, some)
            self.without[duty] += step * (some == 0)

    def _hears(self, to: int, sender: int, data: bytes) -> None:
        one = self.all[to]
        assert one is not None
        one.on_message(self.clock(to), sender, decode(data))
        self._pull(to)

    def owners(self, duty: str) -> list[int]:
        """Who would act now; one that stands still would not, but its lease still counts."""
        out = []
        for n, one in self.all.items():
            lease = one.duties[duty].lease if one is not None else None
            if lease is not None and one is not None and one.duties[duty].won and not lease.ended:
                out += [n] if self.clock(n) < lease.expires_at() else []
        return out

    def term(self, duty: str) -> int:
        return max(one.durable.voters[duty].term for one in self.all.values() if one is not None)

    def _pull(self, n: int) -> None:
        one = self.all[n]
        assert one is not None
        while (decision := one.decide(self.clock(n))) is not None:
            match decision:
                case Send():
                    self._send(n, decision)
                case Store(record, then):
                    self.disks[n] = record
                    one.on_stored(record)
                    for send in then:
                        self._send(n, send)
                case Won(duty, term):
                    before = [t for _, d, t in self.won if d == duty]
                    self.backwards |= bool(before) and term <= max(before)
                    self.won.append((self.now, duty, term))
                case Lost() | Renewed():
                    pass
        self.wakes[n] = one.wake_at(self.clock(n))

    def _send(self, sender: int, send: Send) -> None:
        self._carry(sender, send.recipient, encode(send.message))

    def _carry(self, sender: int, to: int, data: bytes) -> None:
        self.bytes += len(data) + FRAME
        for late in self.cuts.arrives(self.names[sender], self.names[to]):
            self.number += 1
            heapq.heappush(self.events, (self.now + 0.001 + late, self.number, sender, to, data))


def states(most: int = 1_000_000) -> dict[str, Any]:
    """All interleavings of each corner up to a share of `most`, and walks that go deeper."""
    out: dict[str, Any] = {}
    began, total = time.monotonic(), 0
    for name, corner in SCENARIOS.items():
        found = explore(most // len(SCENARIOS), corner)
        deeper = walk(1, 300, 60, corner)
        total += found.states + deeper.states
        out[name] = {"states": found.states, "walked": deeper.states, "breach": found.breach or deeper.breach}
    return {"corners": out, "states": total, "seconds": round(time.monotonic() - began, 1)}


def crowd(members: int = 300, seeds: int = 20) -> dict[str, Any]:
    """Three duties: terms used up by a start of all at once, bytes when quiet, time without an owner."""
    duties = (*DUTIES, "third")[:3]
    out: dict[str, Any] = {"members": members, "lease_s": 10.0, "seeds": seeds}
    for loss in (0.0, 0.1, 0.2, 0.3):
        terms, sizes, without, owned_at = [], [], [], []
        for seed in range(seeds if loss or members < 100 else min(seeds, 20)):
            some = Crowd(members, seed=seed, loss=loss, duties=duties)
            some.until(lambda some=some: all(some.owners(d) for d in duties), 120.0)  # type: ignore[misc]
            owned_at.append(some.now - 100.0)
            some.run(10.0)
            terms.append(max(some.term(d) for d in duties))
            some.bytes, some.without = 0, dict.fromkeys(duties, 0.0)
            some.run(60.0)
            sizes.append(some.bytes / members / 60.0)
            without.append(max(some.without.values()))
            assert some.most_owners <= 1
        out[f"loss {loss:g}"] = {
            "terms_most": max(terms),
            "bytes_a_member_a_s": round(median(sizes), 1),
            "first_owner_s": [round(median(owned_at), 1), round(max(owned_at), 1)],
            "without_owner_of_60_s": [round(median(without), 2), round(max(without), 2)],
        }
    return out


def kills(times: int = 50, lease: float = 10.0) -> dict[str, Any]:
    """Five real daemons on loopback: the owner of `restarts` is killed, again and again; then drained."""
    waits: list[float] = []
    drains: list[float] = []

    def script(rig: FleetRig) -> None:
        rig.start_all()
        for number in range(times):
            owner = rig.owner("restarts", within=90.0)
            rig.loop.sleep(rig.random_generator.uniform(0.0, lease))
            if not rig._owns(owner, "restarts"):
                continue
            rig.kill(owner)
            at = time.monotonic()
            rig.owner("restarts", but=[owner], within=90.0)
            waits.append(time.monotonic() - at)
            rig.start_all([owner])
            if number % 5 == 0:
                rig.loop.sleep(lease * 1.1)  # until who came back may vote
                owner = rig.owner("restarts", within=90.0)
                assert rig.fleet("drain", owner)[0] == 0
                rig.owner("restarts", but=[owner], within=90.0)
                drains.append(rig.takeover_seconds(owner))
                assert rig.fleet("undrain", owner)[0] == 0

    with tempfile.TemporaryDirectory() as directory:
        rig = FleetRig(Path(directory), 5, lease=lease)
        rig.run(script)
        broken = rig.broken()
    replaced = [round(median(waits), 2), round(max(waits), 2)]
    return {
        "lease_s": lease,
        "kills": len(waits),
        "replaced_s": replaced,
        "asked_at_most_s": 2 * lease + 1,
        "drains": len(drains),
        "handed_over_s": [round(median(drains), 3), round(max(drains), 3)] if drains else [],
        "broken": [b.message for b in broken],
    }


def shaken(rig: FleetRig, chance: random.Random, duty: str, seconds: float) -> None:
    """Kills, stops, cuts and bad wires by chance, of any gateway and of the owner of a duty; each ends by
    itself."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        who = chance.choice([*rig.names, f"owner of {duty}"])
        kind = chance.choice(["wires_cut", "wires_bad", "daemon_still", "daemon_killed"])
        extra = float(chance.randrange(3)) if kind == "wires_cut" else 0.3
        size = chance.uniform(0.05, 0.4) if kind == "wires_bad" else None
        length = chance.uniform(0.3, 3.0 * rig.lease)
        try:
            rig.do_fault(Fault(kind=kind, at=0.0, len=length, who=who, size=size, extra=extra))
        except (AssertionError, KeyError):
            rig.loop.sleep(0.5)  # nobody owns it now
        rig.loop.sleep(chance.uniform(0.2, 3.0))


def scripts(first: int = 1, number: int = 20, seconds: float = 30.0) -> dict[str, Any]:
    """Random scripts of five real daemons with a restart by the fleet under way: kills, stops, cuts, bad
    wires. Their seeds are printed."""
    broken: dict[int, list[str]] = {}
    ended = dict[str, int]()
    for seed in range(first, first + number):
        chance = random.Random(seed)

        def script(rig: FleetRig, chance: random.Random = chance) -> None:
            rig.start_all()
            rig.owner("restarts", within=60.0)
            rig.by_fleet("--settle", "0.2", "--worse", "1", "--failures", "5", "--back-within", "20")
            shaken(rig, chance, "restarts", seconds)
            rig.loop.sleep(3.0 * rig.lease)  # what ends by itself has ended
            rig.heal()
            with contextlib.suppress(AssertionError):
                rig.until(lambda: rig.plan() in ("ended", "stopped"), 60.0)
            ended[rig.plan() or "none"] = ended.get(rig.plan() or "none", 0) + 1

        with tempfile.TemporaryDirectory() as directory:
            rig = FleetRig(Path(directory), 5, seed=seed)
            rig.run(script)
            found = [f"{b.invariant}: {b.message}" for b in rig.broken()]
            if found:
                broken[seed] = found
    return {"seeds": [first, first + number - 1], "seconds": seconds, "plans": ended, "broken": broken}


def joins(seconds: int = 20) -> dict[str, Any]:
    """Set-ups of real gateways with viewers, a lease so short that owners renew all the time beside one that
    is never won in the time of the run: one run, in turns."""
    out: dict[str, Any] = {}
    for turn in range(2):
        for name, lease in (("without duties", 600.0), ("with duties", 1.0)):

            def script(rig: FleetRig) -> None:
                rig.start_all()
                rig.loop.sleep(3.0)
                rig.viewers()
                rig.loop.sleep(seconds)

            with tempfile.TemporaryDirectory() as directory:
                rig = FleetRig(Path(directory), 3, lease=lease, rate=60.0, length=float(seconds))
                rig.run(script)
                out[f"{name}, {turn + 1}"] = rig.joined()
    return out


def main(parts: Sequence[str]) -> None:
    calls: dict[str, Callable[..., Any]] = {
        "states": states,
        "crowd": crowd,
        "kills": kills,
        "scripts": scripts,
        "joins": joins,
    }
    for part in parts or tuple(calls):
        name, *numbers = part.split(":")  # such as scripts:41:20, from seed 41 on twenty of them
        print(json.dumps({part: calls[name](*map(int, numbers))}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
