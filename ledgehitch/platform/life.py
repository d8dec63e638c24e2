"""A gateway's life as others see it: when its test passes, what is taken while it ends, when it exits. Free
of I/O.
"""

LATE = 0.7  # seconds after SIGTERM in which set-ups may still come, by the platform's page
LEAST = 3.0  # seconds that the longest patience counts as at least, there
SPARE = 0.3  # seconds kept free before the kill


class Life:
    def __init__(self, longest_patience: float) -> None:
        self.longest = max(LEAST, longest_patience)
        self.ready = False
        self.ends_at: float | None = None  # when SIGTERM came

    def serves(self) -> None:
        self.ready = True

    def term(self, now: float) -> None:
        if self.ends_at is None:
            self.ends_at = now

    @property
    def takes(self) -> bool:
        """Whether set-ups are taken; else they are refused, which sends viewers on to another gateway."""
        return self.ends_at is None

    @property
    def passes(self) -> bool:
        """Whether it passes the test."""
        return self.ready and self.ends_at is None

    def exits(self, now: float, waiting: int, playing: int) -> bool:
        """Whether the process may end: when all are answered and none can come any more; what plays is kept
        until shortly before the kill."""
        if self.ends_at is None:
            return False
        passed = now - self.ends_at
        if passed > self.longest + LATE - SPARE:
            return True
        return passed > LATE and not waiting and not playing
