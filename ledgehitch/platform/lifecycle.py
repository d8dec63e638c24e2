"""Lifecycle of a gateway process: its health check, which set-ups it accepts while it shuts down, when it
exits. Free of I/O.
"""

LATE_SETUPS_S = 0.7  # after SIGTERM in which set-ups may still arrive, by the platform's specification
MAX_PATIENCE_S = 3.0  # that the longest patience counts as at most, by the same
EXIT_MARGIN_S = 0.3  # left before SIGKILL, and for the last responses to go out before the exit


class Lifecycle:
    """Tracks readiness and termination of the process."""

    def __init__(self, longest_patience: float) -> None:
        self.longest_patience = min(MAX_PATIENCE_S, longest_patience)
        self.ready = False
        self.terminated_at: float | None = None  # when SIGTERM came

    def on_serving(self) -> None:
        self.ready = True

    def on_sigterm(self, now: float) -> None:
        if self.terminated_at is None:
            self.terminated_at = now

    @property
    def accepts_setups(self) -> bool:
        """Whether set-ups are accepted. Refused ones make viewers go to another gateway."""
        return self.terminated_at is None

    @property
    def healthy(self) -> bool:
        """Whether the health check passes."""
        return self.ready and self.terminated_at is None

    @property
    def _exit_after(self) -> float:
        """Seconds from SIGTERM to the exit: shortly before SIGKILL, never while set-ups may still arrive."""
        return max(LATE_SETUPS_S, self.longest_patience + LATE_SETUPS_S - EXIT_MARGIN_S)

    def final_responses_due(self, now: float) -> bool:
        """Whether pending set-ups get their final response now, the last time at which it can be sent."""
        return self.terminated_at is not None and now - self.terminated_at >= max(
            self.longest_patience, self._exit_after - EXIT_MARGIN_S
        )

    def may_exit(self, now: float, pending: int, playing: int, unsent_bytes: int) -> bool:
        """Whether the process may exit.

        It may when every set-up has its response, none can arrive any more and no byte is unsent. Viewings
        that play keep it alive until shortly before SIGKILL.
        """
        if self.terminated_at is None:
            return False
        elapsed = now - self.terminated_at
        if elapsed > self._exit_after:
            return True
        return elapsed > LATE_SETUPS_S and not pending and not playing and not unsent_bytes
