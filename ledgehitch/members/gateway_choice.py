"""Selects another gateway for viewers when this one accepts no new viewings. Free of I/O and clocks."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol


class GatewayAddress(Protocol):
    """The fields of a gateway record that are needed here."""

    @property
    def name(self) -> str: ...
    @property
    def at(self) -> str: ...
    @property
    def zone(self) -> str: ...


def pick_gateway(
    me: str, gateways: Sequence[GatewayAddress], is_present: Callable[[str], bool], rng: random.Random
) -> str:
    """Returns the address of another present gateway, of the same zone if possible; empty without one."""
    zone = next(g.zone for g in gateways if g.name == me)
    others = [g for g in gateways if g.name != me and is_present(g.name)]
    same_zone = [g for g in others if g.zone == zone] or others
    return rng.choice(same_zone).at if same_zone else ""
