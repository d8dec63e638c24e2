"""Adaptive limit on concurrent set-ups, and rate estimators. Free of I/O and clock."""

from dataclasses import dataclass

INITIAL_LIMIT, MIN_LIMIT, MAX_LIMIT = 16.0, 8.0, 2000.0  # concurrent set-ups
DECREASE_FACTOR = 0.85  # applied to the limit when set-ups are slow or fail
SLOW_SHARE = 0.5  # share of the join target above which a set-up is slow
# Set-ups queue at the media hosts if their average time is above QUEUEING_FACTOR * best time + margin.
QUEUEING_FACTOR, QUEUEING_MARGIN_S = 2.5, 0.02
NEW_WEIGHT, OLD_WEIGHT = 3.0, 8.0  # of a new set-up time and of the average so far
BEST_TIME_DRIFT = 0.0005  # share of the gap to the current average by which the best time rises per set-up
DECREASE_INTERVAL_S = 0.2  # between two decreases: set-ups started before one do not show its effect


@dataclass
class AdaptiveLimit:
    """Additive increase and multiplicative decrease with a slow start.

    The limit doubles with each limit's worth of quick set-ups until the first overload signal, then grows by
    one for each. It stays where set-ups take several times their unloaded time, and decreases when they are
    slow or fail or a tune-in times out. It grows only while it is used.
    """

    limit: float = INITIAL_LIMIT
    decreased_at: float = -1e9
    slow_start: bool = True
    average_time: float = 0.0  # moving average of the set-up time in seconds
    best_time: float = 0.0  # the lowest average, forgotten over some thousand set-ups

    def on_setup_end(
        self, now: float, in_progress: int, took: float, join_target: float, failed: bool
    ) -> None:
        """A set-up finished; `in_progress` counts it and the others."""
        if failed or took > SLOW_SHARE * join_target:
            self.on_overload(now)
            return
        self.average_time = (
            (NEW_WEIGHT * took + OLD_WEIGHT * self.average_time) / (NEW_WEIGHT + OLD_WEIGHT)
            if self.average_time
            else took
        )
        self.best_time = (
            min(self.average_time, self.best_time + BEST_TIME_DRIFT * (self.average_time - self.best_time))
            if self.best_time
            else took
        )
        if self.average_time > QUEUEING_FACTOR * self.best_time + QUEUEING_MARGIN_S:
            # Queueing at the media hosts shows while it is still short. Without this check the limit would
            # have grown far beyond their capacity before the first set-up is slow.
            self.slow_start = False
        elif in_progress >= 0.7 * self.limit:
            self.limit = min(MAX_LIMIT, self.limit + (1.0 if self.slow_start else 1.0 / self.limit))

    def on_overload(self, now: float) -> None:
        """Decreases the limit because media hosts are overloaded.

        Called for tune-in time-outs too: they are known well before the answer to the viewing, and without
        them the fleet would work on tune-ins that were already abandoned.
        """
        self.slow_start = False
        if now - self.decreased_at >= DECREASE_INTERVAL_S or now < self.decreased_at:
            self.limit, self.decreased_at = max(MIN_LIMIT, self.limit * DECREASE_FACTOR), now

    def free_slots(self, in_progress: int) -> int:
        return int(self.limit) - in_progress


@dataclass
class FixedLimit:
    """A constant limit, as a baseline."""

    limit: float = 64.0

    def on_setup_end(
        self, now: float, in_progress: int, took: float, join_target: float, failed: bool
    ) -> None:
        """Changes nothing."""

    def on_overload(self, now: float) -> None:
        """Changes nothing."""

    def free_slots(self, in_progress: int) -> int:
        return int(self.limit) - in_progress


class AdmissionRate:
    """Estimates the admissions per second as (3·new + 8·old) / 11 for each half second.

    A significant fall takes effect at once, so that no return time is promised that the fleet cannot serve.
    """

    STEP_S, NEW_WEIGHT, OLD_WEIGHT = 0.5, 3.0, 8.0  # seconds of one measurement, and the weights
    SIGNIFICANCE = 3.0  # standard deviations below the expected count from which a fall is significant

    def __init__(self) -> None:
        self.per_second = 0.0
        self._step_start: float | None = None
        self._count = 0
        self._previous = 0.0  # measurement of the half second before the last

    def on_admission(self, now: float) -> None:
        self.rate_at(now)
        self._count += 1

    def rate_at(self, now: float) -> float:
        """Returns the current estimate."""
        if self._step_start is None or now < self._step_start:
            self._step_start, self._count = now, 0
        while now - self._step_start >= self.STEP_S:
            measure = self._count / self.STEP_S
            known = self.per_second
            self.per_second = (
                (self.NEW_WEIGHT * measure + self.OLD_WEIGHT * known) / (self.NEW_WEIGHT + self.OLD_WEIGHT)
                if known
                else measure
            )
            last_second = 0.5 * (measure + self._previous)
            if last_second < known - self.SIGNIFICANCE * known**0.5:
                self.per_second = last_second
            self._previous, self._count = measure, 0
            self._step_start += self.STEP_S
            if now - self._step_start > 60.0:  # idle for a minute: earlier measurements are obsolete
                self.per_second, self._previous, self._step_start = 0.0, 0.0, now
        return self.per_second


class RequestRate:
    """Estimates the offers per second as (3·new + 8·old) / 11 for each two seconds.

    The long step smooths out random variation; a significant rise or fall takes effect at once.
    """

    STEP_S, NEW_WEIGHT, OLD_WEIGHT = 2.0, 3.0, 8.0  # seconds of one measurement, and the weights
    SIGNIFICANCE, MARGIN = 3.0, 3.0  # standard deviations, and offers in addition, of random variation
    MIN_ELAPSED_S = 0.25  # seconds of an unfinished step after which it is evaluated

    def __init__(self) -> None:
        self.per_second = 0.0
        self._step_start: float | None = None
        self._count = 0

    def on_request(self, now: float) -> None:
        self.rate_at(now)
        self._count += 1

    def rate_at(self, now: float) -> float:
        if self._step_start is None or not 0 <= now - self._step_start < 60.0:
            self._step_start, self._count, self.per_second = now, 0, 0.0
        while now - self._step_start >= self.STEP_S:
            new, old = self._count / self.STEP_S, self.per_second
            average = (self.NEW_WEIGHT * new + self.OLD_WEIGHT * old) / (self.NEW_WEIGHT + self.OLD_WEIGHT)
            self.per_second = average if self._within_noise(self.STEP_S) else new
            self._count, self._step_start = 0, self._step_start + self.STEP_S
        elapsed = now - self._step_start
        if elapsed >= self.MIN_ELAPSED_S and not self._within_noise(elapsed):
            return self._count / elapsed
        return self.per_second

    def _within_noise(self, seconds: float) -> bool:
        """Returns whether the count over `seconds` is within random variation of the estimate."""
        expected = self.per_second * seconds
        return bool(abs(self._count - expected) <= self.SIGNIFICANCE * expected**0.5 + self.MARGIN)
