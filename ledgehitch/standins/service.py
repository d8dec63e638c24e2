"""What viewers got of a day: worth asked and earned, answers, joins. Free of I/O."""

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from ledgehitch.config import Day, Site
from ledgehitch.standins.arrivals import Visit

STALL = 7.0  # points of worth lost for each point of the rate that is missing, under WHOLE
WHOLE = 0.98  # delivered share from which nothing is missing


@dataclass
class Service:
    """What viewers got. Worth is counted in seconds watched, times value, times what the rung earns."""

    visits: int = 0
    asked: float = 0.0
    earned: float = 0.0
    joined: int = 0
    in_time: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    joins: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))  # microseconds
    short_seconds: float = 0.0
    watched_seconds: float = 0.0
    rungs: dict[int, float] = field(default_factory=dict)  # seconds at each
    by_second: dict[int, list[float]] = field(default_factory=dict)  # asked, earned
    lost: dict[str, float] = field(default_factory=dict)  # worth asked and not earned, by cause

    def book(self, second: int, asked: float, earned: float) -> None:
        self.asked += asked
        self.earned += earned
        cell = self.by_second.setdefault(second, [0.0, 0.0])
        cell[0] += asked
        cell[1] += earned

    def told(self) -> dict[str, Any]:
        cells = self.by_second
        windows = []
        for start in range(0, max(cells, default=0) - 8):
            asked = sum(cells.get(s, [0, 0])[0] for s in range(start, start + 10))
            earned = sum(cells.get(s, [0, 0])[1] for s in range(start, start + 10))
            if asked > 0:
                windows.append(earned / asked)
        q = self.joins.get_value_at_percentile
        watched = max(1e-9, self.watched_seconds)
        return {
            "visits": self.visits,
            "service": round(self.earned / self.asked, 4) if self.asked else None,
            "worst_10s": round(min(windows), 4) if windows else None,
            "joined": self.joined,
            "joined_in_time": self.in_time,
            "joins_s": {str(p): round(q(p) / 1e6, 4) for p in (50, 90, 95, 99, 99.9)} if self.joined else {},
            "answers": dict(sorted(self.answers.items())),
            "short_share": round(self.short_seconds / watched, 4) if self.watched_seconds else 0.0,
            "rung_shares": {str(r): round(s / watched, 3) for r, s in sorted(self.rungs.items())},
            "lost_by_cause": {c: round(w / max(1e-9, self.asked), 4) for c, w in sorted(self.lost.items())},
            "by_second": {str(s): [round(a, 3), round(e, 3)] for s, (a, e) in sorted(cells.items())},
        }


class Booking:
    """Books one day's viewers into a `Service`; times are seconds from the day's start."""

    def __init__(self, day: Day, site: Site) -> None:
        self.length, self.service = day.length, Service()
        self._values = {p.name: p.value for p in site.packages}
        self._earns = [r.earns for r in site.ladder]

    def worth(self, v: Visit, rung: int) -> float:
        return self._values[v.package] * self._earns[rung]

    def lost(self, v: Visit, seconds: float, at: float, cause: str) -> None:
        """The viewer wanted to watch and did not."""
        seconds = min(seconds, max(0.0, self.length - at))
        if seconds > 0:
            worth = seconds * self.worth(v, v.top)
            self.service.book(int(at), worth, 0.0)
            self.service.lost[cause] = self.service.lost.get(cause, 0.0) + worth

    def joined(self, seconds: float, in_time: bool) -> None:
        self.service.joined += 1
        self.service.in_time += in_time
        self.service.joins.record_value(max(1, int(seconds * 1e6)))

    def watched(self, v: Visit, at: float, seconds: float, share: float, rung: int, in_time: bool) -> None:
        s = self.service
        s.watched_seconds += seconds
        s.rungs[rung] = s.rungs.get(rung, 0.0) + seconds
        cut = max(0.0, 1 - STALL * (WHOLE - share)) if share < WHOLE else 1.0
        s.short_seconds += seconds * (share < WHOLE)
        asked, full = self.worth(v, v.top) * seconds, self.worth(v, min(rung, v.top)) * seconds
        earned = full * cut if in_time else 0.0
        s.book(int(at), asked, earned)
        if earned < asked:
            for cause, worth in (
                ("rung", asked - full),
                ("short", full * (1 - cut) * in_time),
                ("late", full * (not in_time)),
            ):
                if worth > 0:
                    s.lost[cause] = s.lost.get(cause, 0.0) + worth
