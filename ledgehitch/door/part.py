"""This gateway's part of what the fleet may do together. Free of I/O and clock.

An own part needs nobody; what is lent beside it, by budget, ends by itself. Limits hold in sum though nobody
is asked.
"""

from collections.abc import Mapping


class Part:
    def __init__(self, own: float) -> None:
        """`own`: of each whole, 0 to 1."""
        self.own = own
        self.lent: dict[str, float] = {}
        self.until = -1e18  # end of what is lent

    def told(self, own: float, lent: Mapping[str, float], until: float) -> None:
        self.own, self.lent, self.until = own, dict(lent), until

    def share(self, now: float, budget: str) -> float:
        """Of the whole of a budget, now."""
        return self.own + (self.lent.get(budget, 0.0) if now < self.until else 0.0)

    def gathered(self, first: float, last: float, budget: str) -> float:
        """The share times the seconds in which it was in force."""
        lent_for = max(0.0, min(last, self.until) - first)
        return self.own * max(0.0, last - first) + self.lent.get(budget, 0.0) * lent_for
