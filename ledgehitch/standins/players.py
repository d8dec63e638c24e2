"""Simulated players: quality reports by the player's own clock, with injected faults. Free of I/O."""

import random
from dataclasses import dataclass, field
from typing import Any

from ledgehitch.config import Day, Site

STALLS_UNDER = 0.9  # delivered share below which playback stalls for the missing part of the time
FAULT_STALL_SHARE = 0.4  # share of the time that an injected fault stalls
MAX_PENDING = 100  # reports that a player stores until it can send them


@dataclass(frozen=True)
class InjectedStalls:
    """Injected stalls of a rack or title that no metric of the fleet shows, from `at` for `len` seconds."""

    kind: str  # "rack" or "title"
    name: str
    at: float
    len: float
    size: float  # share of the affected reports that contain stalls


def faulty_of(day: Day, site: Site, titles: list[str], seed: int) -> list[InjectedStalls]:
    """Returns the day's faults of racks and titles; `titles` in order of popularity."""
    chance = random.Random(f"{seed}/faulty")
    faulty = []
    for fault in day.faults:
        if fault.kind == "rack_stalls":
            rack = chance.randrange(max(1, site.fleet.racks))
            faulty.append(InjectedStalls("rack", str(rack), fault.at, fault.len, fault.size_or_default()))
        elif fault.kind == "title_stalls":
            name = titles[chance.randrange(min(3, len(titles)))]
            faulty.append(InjectedStalls("title", name, fault.at, fault.len, fault.size_or_default()))
    return faulty


@dataclass
class Player:
    """One viewing's player. Its clock has an arbitrary offset; with `lies`, each report has false stalls."""

    rack: str
    title: str
    start_delay: float  # seconds from request to answer
    chance: random.Random
    lies: bool = False
    clock_offset: float = 0.0
    sn: int = 0
    rung: int = -1
    pending: list[dict[str, Any]] = field(default_factory=list)
    _stalls: list[int] = field(default_factory=list)
    _drops: int = 0

    def played(self, seconds: float, share: float, rung: int) -> None:
        """Records `seconds` of playback at a rung, of which `share` was delivered."""
        if share < STALLS_UNDER:
            self._stalls.append(int(1000 * seconds * (1 - share)))
        self._drops += 0 <= rung < self.rung
        self.rung = rung

    def report(self, now: float, since: float, faulty: list[InjectedStalls]) -> None:
        """Queues a report at the day's time `now` on the `since` seconds before it."""
        for fault in faulty:
            affected = fault.name == (self.rack if fault.kind == "rack" else self.title)
            if affected and fault.at <= now < fault.at + fault.len and self.chance.random() < fault.size:
                self._stalls.append(int(1000 * since * FAULT_STALL_SHARE))
        if self.lies:
            self._stalls.append(int(1000 * since * 0.9))
        fields: dict[str, Any] = {"sn": self.sn, "ts": int(1000 * (now + self.clock_offset))}
        if self.sn == 0:
            fields["msd"] = int(1000 * self.start_delay)
        if self._stalls:
            fields["bsd"] = self._stalls
        if self._drops:
            fields["com.ledgehitch-drops"] = self._drops
        fields["com.ledgehitch-rung"] = max(0, self.rung)
        self.pending = [*self.pending, fields][-MAX_PENDING:]
        self.sn += 1
        self._stalls, self._drops = [], 0


@dataclass
class ReportCounts:
    """Counts of the reports that a day's players sent and of the answers, to compare with the fleet's own."""

    reports: int = 0  # each counted once
    sent: int = 0  # copies included
    unsent: int = 0  # reports of batches that no gateway answered
    starts: dict[str, int] = field(default_factory=dict)  # first reports accepted, by "rack\ttitle"
    became: dict[str, int] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)

    def count_answer(
        self, status: int, became: dict[str, int], batch: list[dict[str, Any]], player: Player
    ) -> None:
        """Counts the answer to one batch; status 0: no answer."""
        if status == 0:
            self.unsent += len(batch)
            return
        self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1
        for result, count in became.items():
            self.became[result] = self.became.get(result, 0) + count
        if became.get("taken") and any(r["sn"] == 0 for r in batch):
            key = f"{player.rack}\t{player.title}"
            self.starts[key] = self.starts.get(key, 0) + 1
