"""Which script is tried next in the search for the worst one, and how it is cut down. Free of I/O.

Proposals are drawn from one seeded chance, in rounds: a third anew, the others from the worst so far with one
thing changed. `smaller` gives what a found script may be cut down to, largest cuts first.
"""

import random
from collections.abc import Iterator

import msgspec

from ledgehitch.config import KINDS, Day, Fault

MOST_FAULTS = 5
KEPT = 6  # worst scripts from which others are made
ANEW = 0.35  # part of the proposals that are drawn anew
RATES = (0.4, 2.5)  # of the day's own arrivals
BROKEN = 10.0  # badness of a broken rule, above all that viewers can lose
UNTRIED = ("rack_stalls", "title_stalls")  # what players tell changes nothing for the module


def badness(service: float, rules: dict[str, int], wanted: int | None = None) -> float:
    """What viewers lost, or `BROKEN` and more where a rule was broken (`wanted`, or any)."""
    broken = rules.get(str(wanted), 0) if wanted is not None else sum(rules.values())
    return BROKEN + min(1.0, broken / 100) if broken else 1.0 - service


class Search:
    def __init__(self, day: Day, chance: random.Random) -> None:
        self.day, self.chance = day, chance
        self.worst: list[tuple[float, int, Day, int]] = []  # badness, number, script, seed; worst first
        self.tried = 0

    def proposals(self, count: int) -> list[tuple[Day, int]]:
        """The next scripts with the seeds that they are played with."""
        return [(self._proposal(), self.chance.randrange(1, 1 << 30)) for _ in range(count)]

    def heard(self, day: Day, seed: int, bad: float) -> None:
        """How bad a proposal was. To be told in the order of the proposals."""
        self.tried += 1
        self.worst.append((bad, self.tried, day, seed))
        self.worst.sort(key=lambda one: (-one[0], one[1]))
        del self.worst[KEPT:]

    def _proposal(self) -> Day:
        c = self.chance
        if not self.worst or c.random() < ANEW:
            faults = [self._fault() for _ in range(c.randrange(1, MOST_FAULTS + 1))]
            return self._with(self.day, faults, c.uniform(*RATES))
        _, _, base, _ = c.choice(self.worst)
        faults = list(base.faults)
        what = c.randrange(4)
        if what == 0 and len(faults) < MOST_FAULTS:
            faults.append(self._fault())
        elif what == 1 and faults:
            faults[c.randrange(len(faults))] = self._fault()
        elif what == 2 and faults:
            i = c.randrange(len(faults))
            one = faults[i]
            faults[i] = msgspec.structs.replace(
                one,
                at=self._at(),
                part=min(1.0, one.part * c.uniform(0.7, 1.6)),
                len=one.len * c.uniform(0.7, 1.5),
            )
        rate = base.arrivals.rate / self.day.arrivals.rate * (c.uniform(0.8, 1.3) if what == 3 else 1.0)
        return self._with(self.day, faults, min(max(rate, RATES[0]), RATES[1]))

    def _with(self, day: Day, faults: list[Fault], rate: float) -> Day:
        arrivals = msgspec.structs.replace(day.arrivals, rate=day.arrivals.rate * rate)
        return msgspec.structs.replace(day, faults=sorted(faults, key=lambda f: f.at), arrivals=arrivals)

    def _at(self) -> float:
        return round(self.chance.uniform(0.05, 0.7) * self.day.length, 2)

    def _fault(self) -> Fault:
        c = self.chance
        name = c.choice(sorted(k for k in KINDS if k not in UNTRIED))
        kind = KINDS[name]

        def drawn(bounds: tuple[float, float] | None) -> float | None:
            return None if bounds is None else round(c.uniform(bounds[0], min(bounds[1], bounds[0] + 6)), 3)

        return Fault(
            kind=name,
            at=self._at(),
            len=round(c.uniform(0.05, 0.4) * self.day.length, 2),
            part=round(c.uniform(0.05, 0.8), 3),
            size=drawn(kind.size),
            extra=drawn(kind.extra),
        )


def smaller(day: Day, base: Day) -> Iterator[Day]:
    """Scripts that are less than this one: half its faults, each fault alone taken out, each made shorter or
    for fewer, the day's own arrivals."""
    n = len(day.faults)
    replace = msgspec.structs.replace
    if n > 1:
        yield replace(day, faults=day.faults[: n // 2])
        yield replace(day, faults=day.faults[n // 2 :])
    for i in range(n):
        yield replace(day, faults=day.faults[:i] + day.faults[i + 1 :])
    if day.arrivals.rate != base.arrivals.rate:
        yield replace(day, arrivals=base.arrivals)
    for i, fault in enumerate(day.faults):
        for less in (
            replace(fault, len=round(fault.len / 2, 2)) if fault.len > 1.0 else None,
            replace(fault, part=round(fault.part / 2, 3)) if fault.part > 0.05 else None,
        ):
            if less is not None:
                yield replace(day, faults=[*day.faults[:i], less, *day.faults[i + 1 :]])
    last = max((f.at + f.len for f in day.faults), default=day.length)
    if last + 6.0 < day.length - 1.0:
        yield replace(day, length=round(last + 6.0, 1))
