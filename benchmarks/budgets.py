"""Budgets of the fleet in virtual time: what is in use after deaths, over the own part; uneven load beside
static parts and beside a divider that sees all; bytes, lender's time and largest message; states explored;
and random scripts of real daemons.

`python -m benchmarks.budgets [PART ...]`: deaths, own, cut_off, uneven, bytes, states, joins, halves,
scripts; all if none.
Networks and gateways are simulated, but for the scripts' daemons; owners, borrowers, lender and the door's
rates are the classes that gateways run.
"""

import json
import random
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.owners import FRAME, Crowd, shaken
from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import (
    WHOLE,
    Budget,
    budgets_digest,
    budgets_of,
    loan_duration,
    parts_used,
    parts_wanted,
)
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.messages import FIRST_KIND, LoanMessage, decode, encode
from ledgehitch.budgets.units import lendable, own_parts
from ledgehitch.door.decide import DEMAND_HEADROOM
from ledgehitch.door.limits import RequestRate
from ledgehitch.door.part import BudgetShare
from ledgehitch.door.rates import SET_UPS, PackageRateLimits, offers_budget
from ledgehitch.owners.facts import BUDGETS
from ledgehitch.owners.messages import NO_MEMBER
from ledgehitch.rehearsal.fleet import FleetRig
from tests.explore_budgets import SCENARIOS, explore, walk

PACKAGE = "live"
UNIT = Budget(offers_budget(PACKAGE), "rate")
TAKES = 0.05  # seconds of a set-up


class Sharing(Crowd):
    """Members that ask for loans beside electing their owner; offers come to each by chance."""

    def __init__(
        self,
        members: int,
        a_second: float,
        own_part: float = 0.1,
        seed: int = 1,
        loss: float = 0.0,
        static: bool = False,
        set_ups: int = 0,
    ) -> None:
        """`set_ups`: at once, of all; 0: no limit. One takes `TAKES` seconds, and nobody waits for one."""
        names = tuple(f"g{n}" for n in range(members))
        self.budgets = tuple(b for b in budgets_of({PACKAGE: a_second}, set_ups, TAKES))
        self.digest = budgets_digest(self.budgets, own_part, names)
        self.pool = [lendable(b, own_part) for b in self.budgets]
        each = [own_parts(b, own_part, names) for b in self.budgets]
        self.own = {n: tuple(own[name] for own in each) for n, name in enumerate(names)}
        self.set_ups, self.out = set_ups, dict[int, list[float]]()  # ends of set-ups, by gateway
        self.most = dict.fromkeys(range(members), 0)  # set-ups wanted at once since it asked last
        self.static, self.a_second = static, a_second
        self.borrowers: dict[int, Borrower] = {}
        self.parts: dict[int, BudgetShare] = {}
        self.rates_of: dict[int, PackageRateLimits] = {}
        self.asked: dict[int, RequestRate] = {}
        self.lenders: dict[int, Lender] = {}
        self.load = [1.0] * members  # relative, of each member
        self.offers = 3.0 * a_second  # a second, of all
        self.let: list[tuple[float, int]] = []
        self.best: list[float] = []  # when one that sees all would have let in
        self.single, self.all_of_it = PackageRateLimits(), BudgetShare(1.0)
        self.single.set_limits({PACKAGE: a_second})
        self.largest = 0
        self.seconds = 0.0  # of this machine's CPU, in lenders
        self.over = 0.0  # the most that parts came to
        self.spent = 0.0
        super().__init__(members, seed=seed, loss=loss, duties=(BUDGETS,))

    def clock(self, n: int) -> float:
        return self.now

    def start(self, n: int, disk: str) -> None:
        super().start(n, disk)
        if n not in self.borrowers:
            life = self.chance.getrandbits(32)
            self.borrowers[n] = Borrower(
                self.budgets, self.own[n], life, [self.digest], loan_duration(self.lease)
            )
            self.parts[n] = BudgetShare(1.0 / self.n)
            if not self.static:
                self._tell(n)
            self.rates_of[n], self.asked[n] = PackageRateLimits(), RequestRate()
            self.rates_of[n].set_limits({PACKAGE: self.a_second})

    def stop(self, n: int) -> None:
        super().stop(n)
        for some in (self.borrowers, self.parts, self.rates_of, self.asked, self.lenders):
            some.pop(n, None)

    def _turn(self, step: float) -> None:
        super()._turn(step)
        live = sorted(self.borrowers)
        weights = [self.load[n] for n in live]
        self.spent += self.offers * step
        while self.spent > 0.0 and live:
            self.spent -= self.chance.expovariate(1.0)
            n = self.chance.choices(live, weights)[0]
            self.asked[n].on_request(self.now)
            if not self.single.acquire(self.now, PACKAGE, self.all_of_it):
                self.best.append(self.now)
            if not self.rates_of[n].acquire(self.now, PACKAGE, self.parts[n]) and self._set_up(n):
                self.let.append((self.now, n))
        if self.static:
            return
        for n in live:
            self._asks(n)
        for budget in self.budgets:
            parts = sum(b.available(self.now, budget.name) for b in self.borrowers.values())
            self.over = max(self.over, parts / WHOLE)

    def _set_up(self, n: int) -> bool:
        """Whether one may be begun at this gateway now, and has been."""
        if not self.set_ups:
            return True
        out = self.out[n] = [end for end in self.out.get(n, []) if end > self.now]
        self.most[n] = max(self.most[n], len(out) + 1)
        if len(out) >= self.parts[n].whole_units(self.now, SET_UPS, self.set_ups):
            return False
        out.append(self.now + TAKES)
        return True

    def _tell(self, n: int) -> None:
        b = self.borrowers[n]
        lent = {x.name: b.loans[i] / WHOLE for i, x in enumerate(self.budgets)}
        own = {x.name: b.own[i] / WHOLE for i, x in enumerate(self.budgets)}
        self.parts[n].update(0.0, lent, b.loan_until, own)

    def _asks(self, n: int) -> None:
        one, b = self.all[n], self.borrowers[n]
        assert one is not None
        owner, term = one.owner_of(self.now, BUDGETS)
        if owner == n and (n not in self.lenders or self.lenders[n].term != term):
            loan = loan_duration(self.lease)
            self.lenders[n] = Lender(
                self.now, term, self.budgets, self.own, self.pool, range(self.n), [self.digest], loan
            )
        if owner == NO_MEMBER:
            return
        wanted = {UNIT.name: min(WHOLE, int(self.asked[n].rate_at(self.now) / self.a_second * WHOLE))}
        used = dict[str, int]()
        if self.set_ups:
            most = self.most[n] * DEMAND_HEADROOM + 1.0 if self.most[n] else 0.0
            wanted[SET_UPS] = parts_wanted(self.budgets[1], min(1.0, most / self.set_ups))
            out = sum(end > self.now for end in self.out.get(n, []))
            used[SET_UPS] = parts_used(self.budgets[1], out / self.set_ups)
        words = b.next_request(self.now, term, used, wanted)
        if words is None:
            return
        self.most[n] = 0
        if owner == n:
            self._taken(n, self._answer(n, n, words))
        else:
            self._says(n, owner, words)

    def _says(self, sender: int, to: int, words: LoanMessage) -> None:
        data = encode(words)
        self.largest = max(self.largest, len(data) + FRAME)
        self._carry(sender, to, data)

    def _answer(self, lender: int, member: int, words: LoanMessage) -> LoanMessage | None:
        one = self.all[lender]
        assert one is not None
        term = one.owned_term(self.now, BUDGETS)
        if not term or lender not in self.lenders or self.lenders[lender].term != term:
            return None
        began = time.perf_counter()
        answer = self.lenders[lender].on_request(self.now, member, words)
        self.seconds += time.perf_counter() - began
        return answer

    def _taken(self, n: int, words: LoanMessage | None) -> None:
        b = self.borrowers[n]
        if words is not None and b.on_loan(self.now, words):
            self.rates_of[n].refill(self.now, self.parts[n])
            self._tell(n)

    def _hears(self, to: int, sender: int, data: bytes) -> None:
        if data[0] < FIRST_KIND:
            super()._hears(to, sender, data)
            return
        words = decode(data)
        if words.kind == "lent":
            self._taken(to, words)
        elif (answer := self._answer(to, sender, words)) is not None:
            self._says(to, sender, answer)

    def in_use(self, since: float, until: float) -> float:
        return sum(since <= t < until for t, _ in self.let) / (until - since) / self.a_second

    def at_best(self, since: float, until: float) -> float:
        return sum(since <= t < until for t in self.best) / (until - since) / self.a_second

    def settled(self) -> None:
        self.run(20.0, 0.05)
        self.until(lambda: self.static or bool(self.owners(BUDGETS)), 60.0)
        self.run(15.0, 0.05)


def after(members: int, killed: int, own_part: float, seed: int = 1, static: bool = False) -> dict[str, Any]:
    """Some are killed, never the lender; when the rest lets in 0.95 of the whole, and what it does then."""
    some = Sharing(members, 20.0 * members, own_part, seed, static=static)
    some.settled()
    lender = some.owners(BUDGETS)[0] if not static else 0
    dead = [n for n in range(members) if n != lender][:killed]
    for n in dead:
        some.stop(n)
    at = some.now
    some.run(40.0, 0.05)
    reached = next((s for s in range(0, 38) if some.in_use(at + s, at + s + 2) >= 0.95), None)
    last = some.in_use(at + 20, at + 40)
    for n in dead:
        some.start(n, "same")
    some.run(20.0, 0.05)
    back = some.in_use(some.now - 10, some.now)
    return {
        "in_use": round(last, 3),
        "0.95_after_s": reached,
        "back": round(back, 3),
        "most_parts": round(some.over, 6),
    }


def deaths(own_part: float = 0.1) -> dict[str, Any]:
    out: dict[str, Any] = {}
    for members, killed in ((20, 9), (60, 20), (20, 10)):
        out[f"{killed} of {members} killed"] = {
            "static parts": after(members, killed, 1.0, static=True),
            "loans": after(members, killed, own_part),
        }
    lender = [_lender_dies(seed) for seed in range(10)]
    out["the lender of 20 dies: lowest 2 s, median and worst of 10"] = [
        round(median(lender), 3),
        round(min(lender), 3),
    ]
    return out


def _lender_dies(seed: int) -> float:
    """What is in use in the worst two seconds after the lender's death."""
    some = Sharing(20, 400.0, 0.1, seed)
    some.settled()
    some.stop(some.owners(BUDGETS)[0])
    at = some.now
    some.run(30.0, 0.05)
    return min(some.in_use(at + s / 2, at + s / 2 + 2) for s in range(56))


def own() -> dict[str, Any]:
    """Both losses over the own part: what is wasted with the dead, what a minority that is cut off has."""
    out: dict[str, Any] = {}
    for own_part in (0.0, 0.05, 0.1, 0.25, 0.5, 1.0):
        dead = after(20, 9, own_part)
        some = Sharing(20, 400.0, own_part)
        some.settled()
        lender = some.owners(BUDGETS)[0]
        cut = [n for n in range(20) if n != lender][:9]
        some.part(cut)
        some.run(40.0, 0.05)
        few = sum(n in cut and t >= some.now - 10 for t, n in some.let) / 10 / 400.0
        out[str(own_part)] = {
            "9 of 20 dead: in use": dead["in_use"],
            "9 of 20 cut off: in use by them": round(few, 3),
            "by the rest": round(some.in_use(some.now - 10, some.now) - few, 3),
            "most_parts": round(max(dead["most_parts"], some.over), 6),
        }
    return out


def cut_off(set_ups: int = 30, seconds: float = 20.0) -> dict[str, Any]:
    """Of the fleet's rate, what is let in by those who are cut off and by the rest, where set-ups at once are
    few: what is of its own is a fraction of a rate, and whole set-ups."""
    out: dict[str, Any] = {"set_ups": set_ups}
    for members, number in ((6, 3), (20, 9), (20, 10)):
        some = Sharing(members, min(400.0, 20.0 * members), set_ups=set_ups)
        some.settled()
        before = some.in_use(some.now - 5.0, some.now)
        lender = some.owners(BUDGETS)[0]
        cut = set([n for n in range(members) if n != lender][:number])
        some.part(cut)
        some.run(20.0 + seconds, 0.05)
        few = sum(n in cut and t >= some.now - seconds for t, n in some.let) / seconds / some.a_second
        out[f"{number} of {members} cut off"] = {
            "before": round(before, 3),
            "by them": round(few, 4),
            "by the rest": round(some.in_use(some.now - seconds, some.now) - few, 4),
            "own units: theirs, the rest's": [
                sum(some.parts[n].whole_units(1e9, SET_UPS, set_ups) for n in ns)
                for ns in (cut, set(range(members)) - cut)
            ],
            "most_parts": round(some.over, 6),
        }
    return out


def uneven(members: int = 40) -> dict[str, Any]:
    """One gateway in ten gets half of the load; then the load jumps to others. Beside parts of 1/n, and one
    that lets in for all by the same rate. By load, as a part of the whole."""
    out: dict[str, Any] = {}
    for load in (0.8, 1.0, 1.5):
        for name, static in (("static parts", True), ("loans", False)):
            some = Sharing(members, 20.0 * members, 0.1, 1, static=static)
            some.offers = load * some.a_second
            heavy = members // 10
            some.load = [9.0] * heavy + [1.0] * (members - heavy)
            some.settled()
            before = some.in_use(some.now - 10, some.now) / some.at_best(some.now - 10, some.now)
            some.load.reverse()
            at = some.now
            some.run(15.0, 0.05)
            starts = [at + s / 2 for s in range(26)]
            times = [(t - at, some.in_use(t, t + 1), some.at_best(t, t + 1)) for t in starts]
            again = next((t for t, got, best in times if got >= 0.95 * best), None)
            out[f"load {load:g}, {name}"] = {
                "of_one_that_sees_all": round(before, 3),
                "most_parts": round(some.over, 6),
                "first_s_after_the_jump": round(times[0][1] / times[0][2], 3),
                "0.95_after_s": again,
            }
    return out


def sizes(members: int = 300, seeds: int = 3) -> dict[str, Any]:
    """What it costs, and how long it takes to divide anew after a third of the fleet is killed, over loss."""
    out: dict[str, Any] = {"members": members, "seeds": seeds}
    for loss in (0.0, 0.1, 0.2, 0.3):
        bytes_, cpu, anew, largest, over = [], [], [], 0, 0.0
        for seed in range(seeds):
            some = Sharing(members, 2.0 * members, 0.1, seed, loss)
            some.settled()
            some.bytes, some.seconds = 0, 0.0
            some.run(20.0, 0.05)
            bytes_.append(some.bytes / members / 20.0)
            cpu.append(some.seconds / 20.0)
            lender = some.owners(BUDGETS)[0]
            for n in [n for n in range(members) if n != lender][: members // 3]:
                some.stop(n)
            at = some.now
            some.run(25.0, 0.05)
            reached = (s / 2 for s in range(46) if some.in_use(at + s / 2, at + s / 2 + 2) >= 0.93)
            anew.append(next(reached, 99.0))
            largest, over = max(largest, some.largest), max(over, some.over)
        out[f"loss {loss:g}"] = {
            "bytes_a_member_a_s_with_one_duty": round(median(bytes_), 1),
            "largest_message": largest,
            "lender_cpu_a_s": round(median(cpu), 4),
            "most_parts": round(over, 6),
            "0.93_in_use_after_s": [median(anew), max(anew)],
        }
    return out


def states(most: int = 1_000_000) -> dict[str, Any]:
    """All interleavings of each corner up to a share of `most`, and walks that go deeper."""
    out: dict[str, Any] = {}
    began, total = time.monotonic(), 0
    for name, corner in SCENARIOS.items():
        found, deeper = explore(most // len(SCENARIOS), corner), walk(1, 300, 60, corner)
        total += found.states + deeper.states
        out[name] = {
            "states": found.states,
            "walked": deeper.states,
            "whole": found.complete,
            "breach": found.breach or deeper.breach,
        }
    return {"corners": out, "states": total, "seconds": round(time.monotonic() - began, 1)}


def joins(seconds: int = 20) -> dict[str, Any]:
    """Set-ups of real gateways with loans, and with parts of 1/n that nobody lends: in turns in one run."""
    out: dict[str, Any] = {}
    door = {"on": True, "package_rates": {"recorded": 1000.0}, "set_ups": 500.0}
    for turn in range(2):
        for name, own_part in (("without loans", 1.0), ("with loans", 0.1)):
            cpu = [0.0, 0.0]

            def script(rig: FleetRig, cpu: list[float] = cpu) -> None:
                rig.start_all()
                rig.owner(BUDGETS)
                rig.loop.sleep(5.0)
                rig.viewers()
                rig.loop.sleep(2.0)
                cpu[0] = sum(_cpu(rig.children[n].pid) for n in rig.names)
                rig.loop.sleep(seconds)
                cpu[1] = sum(_cpu(rig.children[n].pid) for n in rig.names)

            with tempfile.TemporaryDirectory() as directory:
                rig = FleetRig(
                    Path(directory),
                    3,
                    lease=2.0,
                    hosts=9,
                    rate=60.0,
                    watch=0.3,
                    door=door,
                    budgets={"own_part": own_part},
                )
                rig.run(script)
                each = 1000.0 * (cpu[1] - cpu[0]) / (60.0 * seconds)
                out[f"{name}, {turn + 1}"] = {**rig.joined(), "cpu_ms_an_offer_with_all_else": round(each, 2)}
    return out


def _cpu(pid: int) -> float:
    """Seconds that a process has computed."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def halves(gateways: int = 6, set_ups: int = 30, seconds: int = 30) -> dict[str, Any]:
    """Real daemons in two halls that are cut from each other: of the fleet's rate, what is let in before, by
    each half while it lasts (after loans are over), and after it has healed. Counted once all have ended:
    what media hosts write of few set-ups lies in their buffers for long."""
    out: dict[str, Any] = {"gateways": gateways, "set_ups": set_ups, "seconds": seconds}
    door = {"on": True, "package_rates": {"recorded": 20.0}, "set_ups": float(set_ups)}
    windows: dict[str, tuple[float, float, Sequence[str]]] = {}

    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner(BUDGETS, within=60.0)
        rig.viewers()
        rig.until(lambda: rig.first_tune_ins(time.monotonic() - 4.0) >= 72, 60.0, 0.5)
        rig.loop.sleep(8.0)
        now = time.monotonic()
        windows["before"] = now - 5.0, now, ()
        rig.cut("hall z0")
        rig.loop.sleep(10.0 + seconds)
        now = time.monotonic()
        windows["cut"] = now - seconds, now, ()
        for hall in ("z0", "z1"):
            windows[f"cut: {hall}"] = now - seconds, now, rig.gateways_matching(f"hall {hall}")
        rig.heal()
        rig.loop.sleep(20.0)
        now = time.monotonic()
        windows["healed, 10 to 20 s after"] = now - 10.0, now, ()

    with tempfile.TemporaryDirectory() as directory:
        rig = FleetRig(Path(directory), gateways, zones=2, hosts=9, rate=60.0, watch=0.3, door=door)
        rig.run(script)
        for what, (since, until, who) in windows.items():
            out[what] = round(rig.first_tune_ins(since, until, who) / (until - since) / 20.0, 3)
        out["broken"] = [f"{b.invariant}: {b.message}" for b in rig.over_budget()]
    return out


def scripts(first: int = 1, number: int = 20, seconds: float = 30.0) -> dict[str, Any]:
    """Random scripts of five real daemons whose viewers ask for three times what the fleet may let in: kills,
    stops, cuts, bad wires. Their seeds are printed."""
    broken: dict[int, list[str]] = {}
    used: list[float] = []
    door = {"on": True, "package_rates": {"recorded": 20.0}, "set_ups": 30.0}
    for seed in range(first, first + number):

        def script(rig: FleetRig, chance: random.Random) -> None:
            rig.start_all()
            rig.owner(BUDGETS, within=60.0)
            rig.viewers()
            at = time.monotonic()
            shaken(rig, chance, BUDGETS, seconds)
            used.append(rig.first_tune_ins(at) / (time.monotonic() - at) / 20.0)

        with tempfile.TemporaryDirectory() as directory:
            rig = FleetRig(Path(directory), 5, seed=seed, hosts=9, rate=60.0, watch=0.3, door=door)
            rig.run(lambda rig, seed=seed: script(rig, random.Random(seed)))  # type: ignore[misc]
            found = [f"{b.invariant}: {b.message}" for b in [*rig.over_budget(), *rig.broken()]]
            found += [f"rule {b.rule}: {b.message}" for b in rig.rules_broken() if b.rule == 4]
            if found:
                broken[seed] = found
    return {
        "seeds": [first, first + number - 1],
        "seconds": seconds,
        "broken": broken,
        "whole_in_use_meanwhile": [round(min(used), 2), round(median(used), 2)],
    }


def main(parts: Sequence[str]) -> None:
    calls: dict[str, Callable[..., Any]] = {
        "deaths": deaths,
        "own": own,
        "cut_off": cut_off,
        "uneven": uneven,
        "bytes": sizes,
        "states": states,
        "joins": joins,
        "halves": halves,
        "scripts": scripts,
    }
    for part in parts or tuple(calls):
        name, *numbers = part.split(":")
        print(json.dumps({part: calls[name](*map(int, numbers))}), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
