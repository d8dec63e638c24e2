"""What a figure is at a size that nobody has measured: a straight line through those that were.

Decides, does nothing else. A line says where it was measured and how far its points lie off it; from one size
alone there is none, and nothing is worked out from it.
"""

import math
from collections.abc import Sequence
from statistics import fmean

import msgspec

ONE_POINT = "one point, no slope"
Points = Sequence[tuple[float, float]]  # size, figure


class NoSlope(ValueError):
    """No line can be drawn through these points."""


class Line(msgspec.Struct, frozen=True):
    """figure = intercept + slope x size. Residuals are parts of the figure's mean: 0.02 is 2%."""

    slope: float
    intercept: float
    largest: float  # residual
    rms: float  # residual
    sizes: tuple[float, ...]  # measured at, rising, each once
    points: int

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size

    def beyond(self, size: float) -> float:
        """How many times as large a size is as the largest that was measured; 1 inside."""
        return max(1.0, size / self.sizes[-1])


def fitted(points: Points) -> Line:
    """Least squares over all points. Raises `NoSlope` for fewer than two sizes and for what is no number."""
    if any(not math.isfinite(x) or not math.isfinite(y) for x, y in points):
        raise NoSlope("a size or a figure is no number")
    sizes = tuple(sorted({x for x, _ in points}))
    if len(sizes) < 2:
        raise NoSlope(ONE_POINT if points else "not measured")
    mean_x, mean_y = fmean(x for x, _ in points), fmean(y for _, y in points)
    spread = math.fsum((x - mean_x) ** 2 for x, _ in points)
    slope = math.fsum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    off = [abs(y - intercept - slope * x) for x, y in points]
    scale = abs(mean_y) or 1.0
    rms = math.sqrt(fmean(d * d for d in off))
    return Line(slope, intercept, max(off) / scale, rms / scale, sizes, len(points))


def two_sizes_only(line: Line) -> bool:
    """A line through two sizes meets both: its residual says nothing of whether it is straight."""
    return len(line.sizes) == 2


def headroom(allowed: float, needed: float) -> float:
    """Allowed over needed: under 1 it is too little. What needs nothing has room without end."""
    if needed <= 0.0:
        return math.inf
    return allowed / needed
