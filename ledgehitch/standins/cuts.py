"""Network partitions and message faults between gateways. Free of I/O.

Shared by the proxies of a rehearsal on loopback and by members in virtual time. Paths are directed:
(sender, recipient). The last setting of a path applies.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Bad:
    """Message faults of a path: shares of messages lost and duplicated, and the largest delay in seconds.

    Each delay is drawn between 0 and `late`, so that messages are reordered.
    """

    loss: float = 0.0
    doubled: float = 0.0
    late: float = 0.0


class Cuts:
    """The partitions and message faults that are set for all directed paths."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.shut: set[tuple[str, str]] = set()
        self.bad: dict[tuple[str, str], Bad] = {}
        self.everywhere = Bad()

    def cut(self, some: Iterable[str], others: Iterable[str], back: bool = True, there: bool = True) -> None:
        """Blocks messages from `some` to `others` (`there`) and from `others` to `some` (`back`)."""
        senders, recipients = list(some), list(others)
        for a in senders:
            for b in recipients:
                if a != b:
                    self.shut |= {(a, b)} if there else set()
                    self.shut |= {(b, a)} if back else set()

    def heal(self) -> None:
        """Removes all partitions and message faults."""
        self.shut, self.bad, self.everywhere = set(), {}, Bad()

    def open(self, sender: str, to: str) -> bool:
        """Returns whether messages from `sender` can reach `to`."""
        return (sender, to) not in self.shut

    def arrives(self, sender: str, to: str) -> list[float]:
        """Returns the delay in seconds of each copy of a message; empty if the message is lost."""
        if not self.open(sender, to):
            return []
        bad = self.bad.get((sender, to), self.everywhere)
        if self.chance.random() < bad.loss:
            return []
        copies = 1 + (self.chance.random() < bad.doubled)
        return [self.chance.uniform(0.0, bad.late) for _ in range(copies)]
