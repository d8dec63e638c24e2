"""Where a gateway that takes nothing new sends those who ask. Free of I/O and clock."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol


class Place(Protocol):
    """A gateway as the site names it."""

    @property
    def name(self) -> str: ...
    @property
    def at(self) -> str: ...
    @property
    def zone(self) -> str: ...


def elsewhere(me: str, gateways: Sequence[Place], there: Callable[[str], bool], chance: random.Random) -> str:
    """The address of another gateway that is there, of the same hall where one is; empty without any."""
    hall = next(g.zone for g in gateways if g.name == me)
    others = [g for g in gateways if g.name != me and there(g.name)]
    near = [g for g in others if g.zone == hall] or others
    return chance.choice(near).at if near else ""
