"""How many set-ups may be under way at once: adapted to what media hosts answer. Free of I/O and clock."""

from dataclasses import dataclass

FIRST, LEAST, MOST = 64.0, 8.0, 2000.0
DOWN = 0.85  # of the limit is left when set-ups take too long or are turned away
SLOW = 0.5  # part of the join target within which a set-up is taken for quick
APART = 0.2  # seconds between two steps down: what was out before a step says nothing of it


@dataclass
class Adapted:
    """Up by one for each limit's worth of quick set-ups while it is used, down by a part when they are slow
    or fail."""

    limit: float = FIRST
    down_at: float = -1e9

    def ended(self, now: float, out: int, took: float, join_target: float, failed: bool) -> None:
        """A set-up came back; `out`: how many were under way with it."""
        if failed or took > SLOW * join_target:
            if now - self.down_at >= APART or now < self.down_at:
                self.limit, self.down_at = max(LEAST, self.limit * DOWN), now
        elif out >= 0.7 * self.limit:
            self.limit = min(MOST, self.limit + 1.0 / self.limit)

    def room(self, out: int) -> int:
        return int(self.limit) - out


@dataclass
class Fixed:
    """The baseline: a number that somebody chose."""

    limit: float = FIRST

    def ended(self, now: float, out: int, took: float, join_target: float, failed: bool) -> None:
        """Changes nothing."""

    def room(self, out: int) -> int:
        return int(self.limit) - out


class Pace:
    """Set-ups let in a second, measured: (3·new + 8·old) / 11 for each half second."""

    STEP, NEW, OLD = 0.5, 3.0, 8.0

    def __init__(self) -> None:
        self.a_second = 0.0
        self._since: float | None = None
        self._count = 0

    def let_in(self, now: float) -> None:
        self.at(now)
        self._count += 1

    def at(self, now: float) -> float:
        """The pace as it is known now."""
        if self._since is None or now < self._since:
            self._since, self._count = now, 0
        while now - self._since >= self.STEP:
            measure = self._count / self.STEP
            known = self.a_second
            self.a_second = (
                (self.NEW * measure + self.OLD * known) / (self.NEW + self.OLD) if known else measure
            )
            self._count = 0
            self._since += self.STEP
            if now - self._since > 60.0:  # nothing came for long: what was measured says nothing now
                self.a_second, self._since = 0.0, now
        return self.a_second
