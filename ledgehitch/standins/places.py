"""Places of a media host: how many viewings it holds, its warm-up, and when it falls over. Free of I/O."""

from collections import deque
from dataclasses import dataclass, field

SLACK = 1.0  # set-ups over the budget that chance is allowed


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
