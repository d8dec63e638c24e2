"""A gateway's life as others see it: when its test passes, what is taken while it ends, when it exits. Free
of I/O.
"""

LATE = 0.7  # seconds after SIGTERM in which set-ups may still come, by the platform's page
MOST = 3.0  # seconds that the longest patience counts as at most, there
SPARE = 0.3  # seconds kept free before the kill, and for the last answers to go out before that


class Life:
    def __init__(self, longest_patience: float) -> None:
        self.longest = min(MOST, longest_patience)
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

    @property
    def _gone_after(self) -> float:
        """Seconds from SIGTERM after which the process is gone: shortly before the kill, never so early that
        a set-up may still come."""
        return max(LATE, self.longest + LATE - SPARE)

    def last_call(self, now: float) -> bool:
        """Whether what still waits gets its final answer now: there is no more time after this."""
        return self.ends_at is not None and now - self.ends_at >= max(self.longest, self._gone_after - SPARE)

    def exits(self, now: float, waiting: int, playing: int, unsent: int) -> bool:
        """Whether the process may end: when all are answered and none can come any more, and the answers have
        left (`unsent` bytes have not); what plays is kept until shortly before the kill."""
        if self.ends_at is None:
            return False
        passed = now - self.ends_at
        if passed > self._gone_after:
            return True
        return passed > LATE and not waiting and not playing and not unsent
