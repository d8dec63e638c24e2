"""Behaviour model of media hosts: set-up times, slots, warm-up and overload crashes. Free of I/O."""

import math
import random
import zlib
from collections import deque
from dataclasses import dataclass, field

from ledgehitch.config import Site
from ledgehitch.config.day import Shape
from ledgehitch.standins.links import Delivery

ORPHANED = 3.0  # seconds that viewings continue without the event stream of their gateway
CONSENT = 15.0  # seconds that a viewing continues without a keep-alive of its viewer
SWING_PERIOD_S = 11.0  # period in which the true rates oscillate
SLACK = 1.0  # set-ups over the limit that are tolerated, as arrivals are random


@dataclass
class Habits:
    """Parameters of a fleet's media hosts; times in seconds, rates in kB a second."""

    setup: float = 0.05
    setup_spread: float = 0.4
    true_rate_spread: float = 0.1
    report_noise: float = 0.05
    refresh: float = 0.3
    full_from: float = 0.0
    consent: float = CONSENT
    swing: float = 0.0  # relative amplitude of the oscillation of true rates
    _rates: dict[str, float] = field(default_factory=dict, repr=False)

    def true_rate(self, title: str) -> float:
        """Returns the ratio of a title's true rate to its nominal rate; the same in every process."""
        rate = self._rates.get(title)
        if rate is None:
            drawn = random.Random(title).gauss(1.0, self.true_rate_spread)
            rate = self._rates[title] = max(0.3, drawn)
        return rate

    def draw_setup_time(self, chance: random.Random) -> float:
        """Draws the duration of one set-up in seconds."""
        return self.setup * math.exp(self.setup_spread * chance.gauss(0, 1))

    def reported(self, chance: random.Random, true: Delivery) -> Delivery:
        """Returns the load that a host reports: the true load with noise."""
        link = true.link * max(0.0, chance.gauss(1, self.report_noise))
        return Delivery(true.share, link, true.uplink * max(0.0, chance.gauss(1, self.report_noise)))

    def rate_factor(self, name: str, t: float) -> float:
        """Returns the factor of true rates at a host at time `t`; each host oscillates with its own phase."""
        if not self.swing:
            return 1.0
        phase = zlib.crc32(name.encode()) / 2**32
        return 1 + self.swing * math.sin(2 * math.pi * (t / SWING_PERIOD_S + phase))


@dataclass
class Places:
    """Admission limit of a host that started at `started`.

    While it warms up, it sustains `slots` / `warm_up` set-ups a second times the share it has warmed.
    It crashes when it receives more than `multiple` times that rate over `window` seconds.
    """

    slots: int
    warm_up: float
    cold_share: float
    multiple: float
    window: float
    started: float
    taken: deque[float] = field(default_factory=deque)

    def pace(self, now: float) -> float | None:
        """Returns the set-ups a second that the host sustains now; None once it is warm."""
        age = now - self.started
        if age >= self.warm_up:
            return None
        warmed = self.cold_share + (1 - self.cold_share) * max(0.0, age) / self.warm_up
        return self.slots / self.warm_up * warmed

    def take(self, now: float) -> bool:
        """Records a set-up and returns whether the host survives it."""
        pace = self.pace(now)
        if pace is None:
            self.taken.clear()
            return True
        self.taken.append(now)
        while self.taken[0] <= now - self.window:
            self.taken.popleft()
        return len(self.taken) <= self.multiple * pace * self.window + SLACK


def habits_of(shape: Shape) -> Habits:
    """Returns the media hosts' parameters of a day."""
    s = shape
    return Habits(s.setup, s.setup_spread, s.true_rate_spread, s.report_noise, swing=s.true_rate_swing)


def places_of(site: Site, kind: str) -> Places:
    """Returns the admission limit of a host of that kind, not started yet."""
    fleet, terms = site.fleet, site.terms
    return Places(
        fleet.slots[kind], terms.warm_up, terms.cold_share, terms.fall_multiple, terms.fall_after, 0.0
    )
