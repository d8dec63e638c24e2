"""How many set-ups may be under way at once: adapted to what media hosts answer. Free of I/O and clock."""

from dataclasses import dataclass

FIRST, LEAST, MOST = 16.0, 8.0, 2000.0
DOWN = 0.85  # of the limit is left when set-ups take too long or are turned away
SLOW = 0.5  # part of the join target within which a set-up is taken for quick
QUEUED, CLOSE = 2.5, 0.02  # times what a set-up takes at its best, and seconds: from there on some wait there
NEW, OLD = 3.0, 8.0  # weights of one more set-up and of those before
FORGETS = 0.0005
APART = 0.2  # seconds between two steps down: what was out before a step says nothing of it


@dataclass
class Adapted:
    """Doubles for each limit's worth of quick set-ups up to the first press, from then on up by one for each;
    stays where set-ups take several times what they take with nothing in their way; down by a part when they
    are slow, fail, or a tune-in was given up. It rises only while it is used."""

    limit: float = FIRST
    down_at: float = -1e9
    doubles: bool = True
    took: float = 0.0  # seconds of a set-up, lately
    least: float = 0.0  # the same at its best; forgets in some thousand set-ups

    def ended(self, now: float, out: int, took: float, join_target: float, failed: bool) -> None:
        """A set-up came back; `out`: how many were under way with it."""
        if failed or took > SLOW * join_target:
            self.pressed(now)
            return
        self.took = (NEW * took + OLD * self.took) / (NEW + OLD) if self.took else took
        self.least = min(self.took, self.least + FORGETS * (self.took - self.least)) if self.least else took
        if self.took > QUEUED * self.least + CLOSE:
            # Guards against a limit that has risen far over what media hosts keep up with before the first
            # set-up is slow: what waits there is seen while it still is short.
            self.doubles = False
        elif out >= 0.7 * self.limit:
            self.limit = min(MOST, self.limit + (1.0 if self.doubles else 1.0 / self.limit))

    def pressed(self, now: float) -> None:
        """Media hosts do not keep up. Guards against the fleet working on tune-ins that were given up: that
        one was is known well before its viewing has its answer."""
        self.doubles = False
        if now - self.down_at >= APART or now < self.down_at:
            self.limit, self.down_at = max(LEAST, self.limit * DOWN), now

    def room(self, out: int) -> int:
        return int(self.limit) - out


@dataclass
class Fixed:
    """The baseline: a number that somebody chose."""

    limit: float = 64.0

    def ended(self, now: float, out: int, took: float, join_target: float, failed: bool) -> None:
        """Changes nothing."""

    def pressed(self, now: float) -> None:
        """Changes nothing."""

    def room(self, out: int) -> int:
        return int(self.limit) - out


class Pace:
    """Set-ups let in a second, measured: (3·new + 8·old) / 11 for each half second. A fall that chance does
    not explain counts at once, so that nobody is promised what is not there any more."""

    STEP, NEW, OLD = 0.5, 3.0, 8.0
    SURE = 3.0  # standard deviations under what was expected

    def __init__(self) -> None:
        self.a_second = 0.0
        self._since: float | None = None
        self._count = 0
        self._before = 0.0  # measured in the half second before the last

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
            second = 0.5 * (measure + self._before)
            if second < known - self.SURE * known**0.5:
                self.a_second = second
            self._before, self._count = measure, 0
            self._since += self.STEP
            if now - self._since > 60.0:  # nothing came for long: what was measured says nothing now
                self.a_second, self._before, self._since = 0.0, 0.0, now
        return self.a_second


class Asked:
    """Offers asked for a second, measured: (3·new + 8·old) / 11 for each two seconds, so that chance moves it
    little; a rise or fall that chance does not explain counts at once."""

    STEP, NEW, OLD = 2.0, 3.0, 8.0
    SURE, FEW = 3.0, 3.0  # standard deviations, and offers beside them, by which chance may differ
    SOONEST = 0.25  # seconds of a step after which it is looked at

    def __init__(self) -> None:
        self.a_second = 0.0
        self._since: float | None = None
        self._count = 0

    def asked(self, now: float) -> None:
        self.at(now)
        self._count += 1

    def at(self, now: float) -> float:
        if self._since is None or not 0 <= now - self._since < 60.0:
            self._since, self._count, self.a_second = now, 0, 0.0
        while now - self._since >= self.STEP:
            new, old = self._count / self.STEP, self.a_second
            usual = (self.NEW * new + self.OLD * old) / (self.NEW + self.OLD)
            self.a_second = usual if self._by_chance(self.STEP) else new
            self._count, self._since = 0, self._since + self.STEP
        gone = now - self._since
        if gone >= self.SOONEST and not self._by_chance(gone):
            return self._count / gone
        return self.a_second

    def _by_chance(self, seconds: float) -> bool:
        """Whether what was counted in so many seconds may be what was known before."""
        usual = self.a_second * seconds
        return bool(abs(self._count - usual) <= self.SURE * usual**0.5 + self.FEW)
