"""How media hosts are: habits, places, warm-up, when one falls over. Free of I/O."""

import math
import zlib
from collections import deque
from dataclasses import dataclass, field

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
