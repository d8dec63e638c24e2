"""Where a gateway that takes nothing new sends those who ask. Free of I/O and clock."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol


class GatewayAddress(Protocol):
    """A gateway as the site names it."""

    @property
    def name(self) -> str: ...
    @property
    def at(self) -> str: ...
    @property
    def zone(self) -> str: ...


def pick_gateway(
    me: str, gateways: Sequence[GatewayAddress], is_present: Callable[[str], bool], rng: random.Random
) -> str:
    """The address of another gateway that is there, of the same hall where one is; empty without any."""
    zone = next(g.zone for g in gateways if g.name == me)
    others = [g for g in gateways if g.name != me and is_present(g.name)]
    same_zone = [g for g in others if g.zone == zone] or others
    return rng.choice(same_zone).at if same_zone else ""
