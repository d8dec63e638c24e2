"""Measures the service that viewers got in a day: value requested and earned, answers, joins. Free of I/O."""

from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from ledgehitch.config import Day, Site
from ledgehitch.standins.arrivals import Visit

STALL = 7.0  # value lost for each unit of delivered share missing below WHOLE
WHOLE = 0.98  # delivered share from which delivery counts as complete


@dataclass
class Service:
    """The service of a day. Value is seconds watched times the package's value times the rung's."""

    visits: int = 0
    asked: float = 0.0
    earned: float = 0.0
    joined: int = 0
    in_time: int = 0
    answers: dict[str, int] = field(default_factory=dict)
    joins: Any = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 3))  # microseconds
    short_seconds: float = 0.0
    watched_seconds: float = 0.0
    rungs: dict[int, float] = field(default_factory=dict)  # seconds watched at each rung
    by_second: dict[int, list[float]] = field(default_factory=dict)  # value requested, value earned
    lost: dict[str, float] = field(default_factory=dict)  # value requested and not earned, by cause

    def book(self, second: int, asked: float, earned: float) -> None:
        """Adds value requested and earned in a second of the day."""
        self.asked += asked
        self.earned += earned
        cell = self.by_second.setdefault(second, [0.0, 0.0])
        cell[0] += asked
        cell[1] += earned

    def summary(self) -> dict[str, Any]:
        """Returns the figures of the day, to be written as JSON."""
        cells = self.by_second
        windows = []
        for start in range(0, max(cells, default=0) - 8):
            asked = sum(cells.get(s, [0, 0])[0] for s in range(start, start + 10))
            earned = sum(cells.get(s, [0, 0])[1] for s in range(start, start + 10))
            if asked > 0:
                windows.append(earned / asked)
        percentile = self.joins.get_value_at_percentile
        watched = max(1e-9, self.watched_seconds)
        return {
            "visits": self.visits,
            "service": round(self.earned / self.asked, 4) if self.asked else None,
            "worst_10s": round(min(windows), 4) if windows else None,
            "joined": self.joined,
            "joined_in_time": self.in_time,
            "joins_s": {str(p): round(percentile(p) / 1e6, 4) for p in (50, 90, 95, 99, 99.9)}
            if self.joined
            else {},
            "answers": dict(sorted(self.answers.items())),
            "short_share": round(self.short_seconds / watched, 4) if self.watched_seconds else 0.0,
            "rung_shares": {str(r): round(s / watched, 3) for r, s in sorted(self.rungs.items())},
            "lost_by_cause": {c: round(w / max(1e-9, self.asked), 4) for c, w in sorted(self.lost.items())},
            "by_second": {str(s): [round(a, 3), round(e, 3)] for s, (a, e) in sorted(cells.items())},
        }


class Booking:
    """Records one day's viewers in a `Service`; times are seconds from the day's start."""

    def __init__(self, day: Day, site: Site) -> None:
        self.length, self.service = day.length, Service()
        self._values = {p.name: p.value for p in site.packages}
        self._earns = [r.earns for r in site.ladder]

    def value_of(self, visit: Visit, rung: int) -> float:
        """Returns the value of one second of a visit at `rung`."""
        return self._values[visit.package] * self._earns[rung]

    def lost(self, visit: Visit, seconds: float, at: float, cause: str) -> None:
        """Records time in which the viewer wanted to watch and could not."""
        seconds = min(seconds, max(0.0, self.length - at))
        if seconds > 0:
            worth = seconds * self.value_of(visit, visit.top)
            self.service.book(int(at), worth, 0.0)
            self.service.lost[cause] = self.service.lost.get(cause, 0.0) + worth

    def joined(self, seconds: float, in_time: bool) -> None:
        """Records a viewer's first playback, `seconds` after its first request."""
        self.service.joined += 1
        self.service.in_time += in_time
        self.service.joins.record_value(max(1, int(seconds * 1e6)))

    def watched(
        self, visit: Visit, at: float, seconds: float, share: float, rung: int, in_time: bool
    ) -> None:
        """Records `seconds` of playback at `rung`, of which `share` was delivered."""
        service = self.service
        service.watched_seconds += seconds
        service.rungs[rung] = service.rungs.get(rung, 0.0) + seconds
        quality = max(0.0, 1 - STALL * (WHOLE - share)) if share < WHOLE else 1.0
        service.short_seconds += seconds * (share < WHOLE)
        asked, full = (
            self.value_of(visit, visit.top) * seconds,
            self.value_of(visit, min(rung, visit.top)) * seconds,
        )
        earned = full * quality if in_time else 0.0
        service.book(int(at), asked, earned)
        if earned < asked:
            for cause, worth in (
                ("rung", asked - full),
                ("short", full * (1 - quality) * in_time),
                ("late", full * (not in_time)),
            ):
                if worth > 0:
                    service.lost[cause] = service.lost.get(cause, 0.0) + worth
