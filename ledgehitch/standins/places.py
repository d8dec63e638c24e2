"""How media hosts are: habits, places, warm-up, when one falls over. Free of I/O."""

import math
import random
import zlib
from collections import deque
from dataclasses import dataclass, field

from ledgehitch.config import Site
from ledgehitch.config.day import Shape
from ledgehitch.standins.links import Delivery

ORPHANED = 3.0  # seconds that viewings go on without the stream of their gateway
CONSENT = 15.0  # seconds that a viewing goes on without a sign of its viewer
SWING = 11.0  # seconds of one swing of the true rates
SLACK = 1.0  # set-ups over the budget that chance is allowed


@dataclass
class Habits:
    """How media hosts of a fleet behave; times in seconds, rates in kB a second."""

    setup: float = 0.05
    setup_spread: float = 0.4
    true_rate_spread: float = 0.1
    report_noise: float = 0.05
    refresh: float = 0.3
    full_from: float = 0.0
    consent: float = CONSENT
    swing: float = 0.0  # share by which true rates swing
    _rates: dict[str, float] = field(default_factory=dict, repr=False)

    def true_rate(self, title: str) -> float:
        """What a title asks for each kB of the ladder; the same in every process."""
        rate = self._rates.get(title)
        if rate is None:
            drawn = random.Random(title).gauss(1.0, self.true_rate_spread)
            rate = self._rates[title] = max(0.3, drawn)
        return rate

    def takes(self, chance: random.Random) -> float:
        """Seconds of one set-up."""
        return self.setup * math.exp(self.setup_spread * chance.gauss(0, 1))

    def reported(self, chance: random.Random, true: Delivery) -> Delivery:
        """What a host says of its load: noisy."""
        link = true.link * max(0.0, chance.gauss(1, self.report_noise))
        return Delivery(true.share, link, true.uplink * max(0.0, chance.gauss(1, self.report_noise)))

    def swung(self, name: str, t: float) -> float:
        """What true rates at a host are multiplied by at `t`; each host swings in its own time."""
        if not self.swing:
            return 1.0
        phase = zlib.crc32(name.encode()) / 2**32
        return 1 + self.swing * math.sin(2 * math.pi * (t / SWING + phase))


@dataclass
class Places:
    """A host that started at `started` takes set-ups no faster than `slots` over `warm_up`, times the share
    it has warmed; sent more than `multiple` times that for `window` s, it falls over."""

    slots: int
    warm_up: float
    cold_share: float
    multiple: float
    window: float
    started: float
    taken: deque[float] = field(default_factory=deque)

    def pace(self, now: float) -> float | None:
        """Set-ups a second that it can take now; None once it is warm."""
        age = now - self.started
        if age >= self.warm_up:
            return None
        warmed = self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_up
        return self.slots / self.warm_up * warmed

    def take(self, now: float) -> bool:
        """A set-up comes; whether the host still stands."""
        pace = self.pace(now)
        if pace is None:
            self.taken.clear()
            return True
        self.taken.append(now)
        while self.taken[0] <= now - self.window:
            self.taken.popleft()
        return len(self.taken) <= self.multiple * pace * self.window + SLACK


def habits_of(shape: Shape) -> Habits:
    """How the media hosts of a day behave."""
    s = shape
    return Habits(s.setup, s.setup_spread, s.true_rate_spread, s.report_noise, swing=s.true_rate_swing)


def places_of(site: Site, kind: str) -> Places:
    """The places of a host of that kind, not started yet."""
    f, t = site.fleet, site.terms
    return Places(f.slots[kind], t.warm_up, t.cold_share, t.fall_multiple, t.fall_after, 0.0)
