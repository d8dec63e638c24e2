"""The door by itself: cost of a decision, memory under names that come once, shares, overload and its end.

`python -m benchmarks.door`. The fleet behind it is simulated: set-ups share a capacity, so that too many at
once are all slow. Beside no door, one line for all and a bucket for each client, in one run.
"""

import heapq
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ledgehitch.door.baselines import AdmitAll, FifoQueue, TokenBuckets
from ledgehitch.door.decide import AdmissionController, Admit, Reject
from ledgehitch.door.names import client_name
from ledgehitch.door.returns import RETURN_SHARE, ReturnSlots

SETUP = 0.05  # seconds of a set-up where nothing is scarce
PATIENCE = 3.0
TARGET = 0.8
WAYS: dict[str, Callable[[float], float]] = {
    "steady": lambda t: 100.0,
    "falls": lambda t: 100.0 if t < 20 else 35.0,
    "rises": lambda t: 50.0 if t < 20 else 100.0,
}


def door(seed: int = 1, **more: Any) -> AdmissionController:
    return AdmissionController(
        0.0,
        random.Random(seed),
        {"recorded": 1.0, "live": 3.0},
        {"recorded": TARGET, "live": TARGET},
        True,
        5.0,
        **more,
    )


class Fleet:
    """Behind the door: `capacity(t)` set-ups a second. Those under way share it, each takes `SETUP` at least,
    and work on set-ups that were given up is lost."""

    def __init__(self, some: Any, capacity: Callable[[float], float], seed: int = 1) -> None:
        self.door, self.capacity, self.chance = some, capacity, random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, str, Any]] = []
        self.number = 0
        self.work: dict[int, float] = {}  # what is left of each set-up under way
        self.asked_at: dict[int, float] = {}
        self.who: dict[int, tuple[str, int]] = {}
        self.joined: list[tuple[float, str, float]] = []  # when, who, after how long
        self.turned: list[tuple[float, str, float, str]] = []
        self.late: list[tuple[float, str]] = []
        self.returns, self.only_told = 0.0, False  # share that comes again; only those with a ticket

    def at(self, when: float, what: str, thing: Any) -> None:
        self.number += 1
        heapq.heappush(self.events, (when, self.number, what, thing))

    def ask(self, when: float, who: str, tries: int = 0, ticket: str = "", package: str = "recorded") -> None:
        self.at(when, "ask", (who, tries, ticket, package))

    def run(self, until: float, step: float = 0.01) -> None:
        """In steps of time: work is shared, then what is due happens, then the door is pulled dry."""
        while self.now < until:
            self.now += step
            if self.work:
                share = min(step / SETUP, self.capacity(self.now) * step / len(self.work))
                for conn in list(self.work):
                    self.work[conn] -= share
                    if self.work[conn] <= 0:
                        self._over(conn, False)
                    elif self.now - self.asked_at[conn] > PATIENCE:
                        self._over(conn, True)
            while self.events and self.events[0][0] <= self.now:
                _, _, what, thing = heapq.heappop(self.events)
                if what == "ask":
                    who, tries, ticket, package = thing
                    self.number += 1
                    conn = self.number
                    self.asked_at[conn], self.who[conn] = self.now, (who, tries)
                    name = client_name(bytes(32), who, "", "")
                    self.door.on_request(self.now, conn, name, package, self.now + PATIENCE, ticket)
            while (decision := self.door.decide(self.now)) is not None:
                if isinstance(decision, Admit):
                    self.work[decision.conn] = 1.0
                elif isinstance(decision, Reject):
                    self._turned(decision)

    def _over(self, conn: int, late: bool) -> None:
        del self.work[conn]
        self.door.on_result(self.now, conn, late)
        who, tries = self.who.pop(conn)
        took = self.now - self.asked_at.pop(conn)
        if not late:
            self.joined.append((self.now, who, took))
        else:
            self.late.append((self.now, who))
            self._again(who, tries, 0.0, "")

    def _turned(self, turn: Reject) -> None:
        who, tries = self.who.pop(turn.conn)
        self.asked_at.pop(turn.conn)
        self.turned.append((self.now, who, turn.advice, turn.ticket))
        self._again(who, tries, turn.advice, turn.ticket)

    def _again(self, who: str, tries: int, advice: float, ticket: str) -> None:
        if self.chance.random() < self.returns and tries < 40 and (ticket or not self.only_told):
            wait = advice if advice else self.chance.uniform(0.3, 1.0)
            self.ask(self.now + wait, who, tries + 1, ticket)


def storm(some: Any, seed: int = 1, capacity: float = 60.0, length: float = 100.0) -> dict[str, Any]:
    """Three times the capacity for 30 s, then 0.8 of it; nine of ten come again. When service is whole."""
    fleet = Fleet(some, lambda t: capacity, seed)
    fleet.returns = 0.9
    chance, t, n = random.Random(f"{seed}/storm"), 0.0, 0
    while t < length:
        t += chance.expovariate(3 * capacity if 10 <= t < 40 else 0.8 * capacity)
        n += 1
        fleet.ask(t, f"v{n}")
    fleet.run(length)

    def good(first: float, last: float) -> float:
        return (
            sum(first <= at < last and took <= TARGET for at, _, took in fleet.joined)
            / (last - first)
            / capacity
        )

    whole = next(
        (
            s
            for s in range(40, int(length) - 5)
            if good(s, s + 5) >= 0.72 and not any(s <= at < s + 5 for at, _ in fleet.late)
        ),
        None,
    )
    return {
        "in_overload": round(good(15, 40), 3),
        "after": round(good(45, 60), 3),
        "last": round(good(80, 95), 3),
        "whole_after_s": None if whole is None else whole - 40,
        "turned": len(fleet.turned),
        "late": len(fleet.late),
    }


def flood(some: Any, seed: int = 1, spread: int = 1) -> dict[str, Any]:
    """One client asks 100 times as often as each of 50 others, from `spread` names; how the others join."""
    fleet = Fleet(some, lambda t: 100.0, seed)
    chance = random.Random(f"{seed}/flood")
    for who in range(50):
        t = 0.0
        while (t := t + chance.expovariate(1.0)) < 30.0:
            fleet.ask(t, f"c{who}")
    t = 0.0
    while (t := t + chance.expovariate(500.0)) < 30.0:
        fleet.ask(t, f"flood{chance.randrange(spread)}")
    fleet.run(33.0)
    took = sorted(x for _, who, x in fleet.joined if who[0] == "c")
    asked = (
        len(took)
        + sum(who[0] == "c" for _, who, *_ in fleet.turned)
        + sum(w[0] == "c" for _, w in fleet.late)
    )
    return {
        "others_joined": round(len(took) / asked, 4),
        "p50_ms": round(1000 * took[len(took) // 2]),
        "p99_ms": round(1000 * took[int(0.99 * len(took))]),
        "flood_joined": sum(who[0] == "f" for _, who, _ in fleet.joined),
    }


def shares(some: Any, clients: int = 20, seconds: float = 10.0) -> float:
    """Jain's index of what clients of equal weight get, all of them asking for twice what there is."""
    fleet = Fleet(some, lambda t: 100.0)
    chance = random.Random(5)
    for number in range(clients):
        t, rate = 0.0, 200.0 / clients * (0.6 + 0.8 * number / clients)
        while (t := t + chance.expovariate(rate)) < seconds + 2:
            fleet.ask(t, f"c{number}")
    fleet.run(seconds + 2)
    got = dict.fromkeys((f"c{n}" for n in range(clients)), 0)
    for at, who, _ in fleet.joined:
        got[who] += at >= 2
    values = list(got.values())
    return sum(values) ** 2 / (len(values) * sum(v * v for v in values))


class Beside(ReturnSlots):
    """The door's places, and beside them those of one that knows the capacity of every second to come."""

    def __init__(self, capacity: Callable[[float], float]) -> None:
        super().__init__()
        self.capacity, self.taken = capacity, dict[int, float]()
        self.pairs: list[tuple[float, float, float]] = []  # when told, advised, earliest that could have been

    def book(self, now: float, pace: float, least: float, most: float) -> float | None:
        told = super().book(now, pace, least, most)
        if told is not None:
            second = int(now + least)
            while self.taken.get(second, 0.0) >= max(0.2, RETURN_SHARE * self.capacity(second + 0.5)):
                second += 1
            self.taken[second] = self.taken.get(second, 0.0) + 1.0
            self.pairs.append((now, told, max(least, second - now)))
        return told


def returns(capacity: Callable[[float], float], seed: int = 1) -> dict[str, Any]:
    """Whether who comes when told is let in, and how much later that is than could have been promised."""
    some = door(seed)
    beside = some.return_slots = Beside(capacity)
    fleet = Fleet(some, capacity, seed)
    fleet.returns, fleet.only_told = 1.0, True
    chance, t, n = random.Random(seed), 0.0, 0
    while t < 40.0:
        t += chance.expovariate(1.6 * 100.0)
        n += 1
        fleet.ask(t, f"v{n}")
    fleet.run(40.0)
    told: dict[str, list[float]] = {}
    came = let = 0
    places = 0
    for at, who, advice, ticket in fleet.turned:
        if 8.0 < at + advice < 38.0:
            places += bool(ticket)
            if ticket:
                told.setdefault(who, []).append(at + advice)
    joined = {who: at for at, who, _ in fleet.joined}
    for who, times in told.items():
        came += 1
        let += who in joined and joined[who] <= times[0] + PATIENCE
    turned = sum(8.0 < at + advice < 38.0 for at, _, advice, _ in fleet.turned)
    soon = [advised <= 1.2 * could + 0.5 for _, advised, could in beside.pairs]
    return {
        "turned": turned,
        "with_a_place": places,
        "let_in_when_told": round(let / max(1, came), 3),
        "not_20_percent_later": round(sum(soon) / max(1, len(soon)), 3),
    }


def plot(path: Path) -> None:
    """Advised against the earliest return that could have been promised, for three ways of the capacity."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 3, figsize=(11, 3.8), sharey=True, layout="constrained")
    for ax, (name, capacity) in zip(axes, WAYS.items(), strict=True):
        some = door(1)
        beside = some.return_slots = Beside(capacity)
        fleet = Fleet(some, capacity, 1)
        fleet.returns, fleet.only_told = 1.0, True
        chance, t, n = random.Random(1), 0.0, 0
        while t < 40.0:
            t += chance.expovariate(160.0)
            n += 1
            fleet.ask(t, f"v{n}")
        fleet.run(40.0)
        ax.plot([0, 6], [0, 6], color="#888", lw=1, label="as soon as could be")
        ax.plot([0, 5], [0.5, 6.5], color="#888", lw=1, ls="--", label="20% and half a second later")
        pairs = [p for p in beside.pairs if p[0] > 8]
        ax.plot([p[2] for p in pairs], [p[1] for p in pairs], ".", ms=3, alpha=0.3, color="#1f6f8b")
        ax.set(title=f"capacity {name}", xlabel="could have been, s", xlim=(0, 6), ylim=(0, 6))
    axes[0].set_ylabel("advised, s")
    axes[0].legend(loc="upper left", fontsize=8)
    figure.savefig(path, dpi=90)


def cost() -> dict[str, float]:
    """Microseconds of a whole passage (asked, decided, settled), in the median, by number of clients."""
    found = {}
    for clients in (10, 1000, 100_000, 1_000_000):
        some, chance, took = door(), random.Random(1), []
        for n in range(20_000):
            name = chance.randrange(clients).to_bytes(8, "big")
            t0 = time.perf_counter()
            now = n * 0.001
            some.on_request(now, n, name, "recorded", now + PATIENCE)
            while (decision := some.decide(now)) is not None:
                if isinstance(decision, Admit):
                    some.on_result(now, decision.conn, False)
            took.append(time.perf_counter() - t0)
        found[str(clients)] = round(1e6 * sorted(took)[len(took) // 2], 1)
    return found


def memory(names: int) -> dict[str, float]:
    """Megabytes held after so many names that each come once in a minute, none of them let in quickly."""

    def rss() -> float:
        return int(Path("/proc/self/statm").read_text().split()[1]) * 4 / 1024

    some, held = door(), {}
    base = 0.0
    out: list[int] = []
    for n in range(names):
        now = n * 60.0 / names
        some.on_request(now, n, n.to_bytes(8, "big"), "recorded", now + PATIENCE)
        while (decision := some.decide(now)) is not None:
            if isinstance(decision, Admit):
                out.append(decision.conn)
        if len(out) > 30 and n % 1000 == 0:
            some.on_result(now, out.pop(0), False)
        if n == names // 10:
            base = rss()
        if (n + 1) % (names // 5) == 0:
            held[str(n + 1)] = round(rss() - base, 2)
    return held


def main(names: int) -> dict[str, Any]:
    doors: dict[str, Callable[[], Any]] = {
        "door": door,
        "none": AdmitAll,
        "one line": FifoQueue,
        "buckets": TokenBuckets,
    }
    return {
        "cost_us": cost(),
        "flood": {name: flood(make()) for name, make in doors.items()},
        "flood_of_1000_names": {name: flood(make(), spread=1000) for name, make in doors.items()},
        "storm": {name: storm(make()) for name, make in doors.items()},
        "jain": {name: round(shares(make()), 4) for name, make in doors.items()},
        "returns": {name: returns(capacity) for name, capacity in WAYS.items()},
        "memory_mb_above": memory(names),
    }


if __name__ == "__main__":
    if sys.argv[1:2] == ["plot"]:
        plot(Path(sys.argv[2]))
        sys.exit()
    print(json.dumps(main(int(sys.argv[1]) if len(sys.argv) > 1 else 10_000_000), indent=1))
