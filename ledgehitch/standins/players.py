"""What a viewer's player reports by its own clock, with faults replayed. Free of I/O."""

import random
from dataclasses import dataclass, field
from typing import Any

from ledgehitch.config import Day, Site

STALLS_UNDER = 0.9  # delivered share under which the picture stands still for what is missing
FAULTY = 0.4  # part of the time that a replayed fault stalls
MOST_KEPT = 100  # reports that a player holds while it cannot tell them


@dataclass(frozen=True)
class Faulty:
    """Where a day replays bad viewings that no meter of the fleet sees, from `at` for `len` seconds."""

    kind: str  # "rack" or "title"
    name: str
    at: float
    len: float
    size: float  # share of the reports there that tell stalls


def faulty_of(day: Day, site: Site, titles: list[str], seed: int) -> list[Faulty]:
    """The day's faults of racks and titles; `titles` in the order in which they are wanted."""
    chance = random.Random(f"{seed}/faulty")
    out = []
    for fault in day.faults:
        if fault.kind == "rack_stalls":
            rack = chance.randrange(max(1, site.fleet.racks))
            out.append(Faulty("rack", str(rack), fault.at, fault.len, fault.strength()))
        elif fault.kind == "title_stalls":
            name = titles[chance.randrange(min(3, len(titles)))]
            out.append(Faulty("title", name, fault.at, fault.len, fault.strength()))
    return out


@dataclass
class Player:
    """One viewing's player. Its clock starts anywhere; a liar invents stalls in every report."""

    rack: str
    title: str
    start_delay: float  # seconds from asking to the answer
    chance: random.Random
    lies: bool = False
    clock_ahead: float = 0.0
    sn: int = 0
    rung: int = -1
    kept: list[dict[str, Any]] = field(default_factory=list)
    _stalls: list[int] = field(default_factory=list)
    _drops: int = 0

    def played(self, seconds: float, share: float, rung: int) -> None:
        """So long at a rung, with that share of it delivered."""
        if share < STALLS_UNDER:
            self._stalls.append(int(1000 * seconds * (1 - share)))
        self._drops += 0 <= rung < self.rung
        self.rung = rung

    def report(self, now: float, since: float, faulty: list[Faulty]) -> None:
        """Makes a report at the day's time `now` on the `since` seconds before it."""
        for one in faulty:
            mine = one.name == (self.rack if one.kind == "rack" else self.title)
            if mine and one.at <= now < one.at + one.len and self.chance.random() < one.size:
                self._stalls.append(int(1000 * since * FAULTY))
        if self.lies:
            self._stalls.append(int(1000 * since * 0.9))
        told: dict[str, Any] = {"sn": self.sn, "ts": int(1000 * (now + self.clock_ahead))}
        if self.sn == 0:
            told["msd"] = int(1000 * self.start_delay)
        if self._stalls:
            told["bsd"] = self._stalls
        if self._drops:
            told["com.ledgehitch-drops"] = self._drops
        told["com.ledgehitch-rung"] = max(0, self.rung)
        self.kept = [*self.kept, told][-MOST_KEPT:]
        self.sn += 1
        self._stalls, self._drops = [], 0


@dataclass
class Made:
    """What a day's players made and heard back, counted plainly for comparison."""

    reports: int = 0  # made, each once
    sent: int = 0  # with copies
    unsent: int = 0  # sendings that no gateway answered
    starts: dict[str, int] = field(default_factory=dict)  # first reports taken, by "rack\ttitle"
    became: dict[str, int] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)

    def heard(self, status: int, became: dict[str, int], batch: list[dict[str, Any]], player: Player) -> None:
        """What one sending of a batch came to; status 0: no answer."""
        if status == 0:
            self.unsent += len(batch)
            return
        self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1
        for word, n in became.items():
            self.became[word] = self.became.get(word, 0) + n
        if became.get("taken") and any(r["sn"] == 0 for r in batch):
            key = f"{player.rack}\t{player.title}"
            self.starts[key] = self.starts.get(key, 0) + 1
