"""Which run is next, and which is cut off: several experiments share the cores. Free of I/O and clock.

Inputs update what is known, `decide` is pulled. A short question overtakes a long sweep: an experiment that
would be through within `SHORT` of its first run's wait goes first. The others get cores by weight: next is
who has used the least for its weight. One run or experiment that is out of time is cut off and said so.
"""

from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

SHORT = 30.0  # seconds of work left under which an experiment goes before the others
GUESS = 5.0  # seconds that a run is taken for until one has ended
NEW, OLD = 3.0, 8.0  # of the running estimate of a run's seconds


@dataclass(frozen=True)
class Start:
    """Begin this run on a free core."""

    experiment: str
    run: Hashable


@dataclass(frozen=True)
class Cut:
    """End this run now: it is out of time."""

    experiment: str
    run: Hashable
    why: str


Decision = Start | Cut


@dataclass
class _Experiment:
    name: str
    waiting: deque[Hashable]
    weight: float
    limit: float
    ends: float
    out: dict[Hashable, float] = field(default_factory=dict)  # begun when
    used: float = 0.0  # seconds of cores, what is out included up to the last look
    each: float = GUESS
    cut: int = 0
    not_begun: int = 0

    def left(self) -> float:
        return (len(self.waiting) + len(self.out)) * self.each


class Planner:
    def __init__(self, cores: int) -> None:
        self.cores = cores
        self.experiments: dict[str, _Experiment] = {}

    def added(
        self,
        now: float,
        name: str,
        runs: Iterable[Hashable],
        weight: float = 1.0,
        limit: float = 120.0,
        within: float = 0.0,
    ) -> None:
        """An experiment with its runs in order; `limit` seconds a run, `within` in all (0: no end)."""
        ends = now + within if within else float("inf")
        e = _Experiment(name, deque(runs), weight, limit, ends)
        # One that comes later starts level with who has used least: it neither waits for the others to have
        # had their fill nor takes what they have not used.
        level = min((o.used / o.weight for o in self.experiments.values() if o.waiting or o.out), default=0.0)
        e.used = level * weight
        self.experiments[name] = e

    def ended(self, now: float, name: str, run: Hashable) -> None:
        """A run is over, however it went."""
        e = self.experiments[name]
        began = e.out.pop(run, None)
        if began is not None:
            took = now - began
            e.used += took
            e.each = took if e.each == GUESS else (NEW * took + OLD * e.each) / (NEW + OLD)

    def skipped(self, name: str, run: Hashable) -> None:
        """A run that was begun needs no doing: it tells nothing of how long the others take."""
        self.experiments[name].out.pop(run, None)

    def through(self) -> bool:
        return not any(e.waiting or e.out for e in self.experiments.values())

    def decide(self, now: float) -> Decision | None:
        for e in self.experiments.values():
            if now >= e.ends and e.waiting:
                e.not_begun += len(e.waiting)
                e.waiting.clear()
            for run, began in e.out.items():
                over = now >= e.ends
                if over or now - began >= e.limit:
                    del e.out[run]
                    e.used += now - began
                    e.cut += 1
                    why = "its experiment is out of time" if over else f"it took over {e.limit:g} s"
                    return Cut(e.name, run, why)
        free = self.cores - sum(len(e.out) for e in self.experiments.values())
        ready = [e for e in self.experiments.values() if e.waiting]
        if free <= 0 or not ready:
            return None
        e = min(ready, key=lambda e: (e.left() > SHORT * self.cores, self._had(now, e) / e.weight, e.name))
        run = e.waiting.popleft()
        e.out[run] = now
        return Start(e.name, run)

    @staticmethod
    def _had(now: float, e: _Experiment) -> float:
        """Seconds of cores that it has had, with what each run that is out will have taken at least."""
        return e.used + sum(max(now - began, e.each) for began in e.out.values())

    def wake_at(self) -> float:
        """When a run or an experiment will be out of time."""
        due = [began + e.limit for e in self.experiments.values() for began in e.out.values()]
        due += [e.ends for e in self.experiments.values() if e.waiting or e.out]
        return min(due, default=float("inf"))
