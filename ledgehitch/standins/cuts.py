"""Which way between two gateways is open, and what happens to what goes over it. Free of I/O.

One definition for the wires of a rehearsal on loopback and for members in virtual time. Ways are one way:
(who sends, who hears). What is said last about a way counts.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Bad:
    """What a way does to messages: shares of them that are lost and doubled, seconds by which each is late
    (drawn up to it, so that they overtake each other)."""

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


class Cuts:
    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.shut: set[tuple[str, str]] = set()
        self.bad: dict[tuple[str, str], Bad] = {}
        self.everywhere = Bad()

    def cut(self, some: Iterable[str], others: Iterable[str], back: bool = True, there: bool = True) -> None:
        """Nothing of what `some` send reaches `others` (`there`), and the reverse (`back`)."""
        these, those = list(some), list(others)
        for a in these:
            for b in those:
                if a != b:
                    self.shut |= {(a, b)} if there else set()
                    self.shut |= {(b, a)} if back else set()

    def heal(self) -> None:
        self.shut, self.bad, self.everywhere = set(), {}, Bad()

    def open(self, sender: str, to: str) -> bool:
        return (sender, to) not in self.shut

    def arrives(self, sender: str, to: str) -> list[float]:
        """After how many seconds each copy of a message arrives; empty where it is lost."""
        if not self.open(sender, to):
            return []
        bad = self.bad.get((sender, to), self.everywhere)
        if self.chance.random() < bad.loss:
            return []
        times = 1 + (self.chance.random() < bad.doubled)
        return [self.chance.uniform(0.0, bad.late) for _ in range(times)]
