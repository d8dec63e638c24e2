"""Who comes when, and what they want: a day's viewers drawn ahead from one seed. Free of I/O."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ledgehitch.config import Day, Site

PEAK = 6.0  # swings by which the rate of a peak or an event lies over the usual one


@dataclass(frozen=True)
class Visit:
    """One viewer. Times in seconds from the day's start; `top` is the highest rung the viewer can use."""

    number: int
    at: float
    method: str
    package: str
    title: str
    watch: float
    top: int
    gateway: float  # a number under 1 that picks a gateway by the viewers' uneven habit
    impatient_after: float | None
    repeats: bool


def rate_at(day: Day, t: float) -> float:
    """Viewers a second at `t`, bursts and shape included."""
    a = day.arrivals
    rate = a.rate
    if a.shape == "ramp":
        rate *= 1 + a.swing * (2 * t / day.length - 1)
    elif a.shape == "wave":
        rate *= 1 + a.swing * math.sin(2 * math.pi * t / max(day.length / 2, 1e-9))
    elif a.shape == "peak":  # a clip goes round: a bell in the middle of the day
        rate *= 1 + PEAK * a.swing * math.exp(-((8 * (t / day.length - 0.5)) ** 2))
    elif a.shape == "event":  # all come as it begins, few after
        rate *= 1 + PEAK * a.swing if t < 0.15 * day.length else 1 - a.swing
    for fault in day.faults:
        if fault.kind == "burst" and fault.at <= t < fault.at + fault.len:
            rate *= fault.strength()
    return rate


def crowd_at(day: Day, t: float) -> float:
    """Share of the viewers at `t` who want the crowd's title."""
    share = 0.0
    for fault in day.faults:
        if fault.kind == "crowd" and fault.at <= t < fault.at + fault.len:
            share = max(share, fault.strength() if fault.size is not None else 0.3)
    return share


def fewest_held(site: Site) -> str:
    return min(site.titles, key=lambda title: (site.titles[title].spread, title))


def by_want(site: Site, chance: random.Random) -> list[str]:
    """Titles in the order in which they are wanted, most wanted first."""
    titles = sorted(site.titles)
    chance.shuffle(titles)
    return titles


def visits(day: Day, site: Site, seed: int) -> Iterator[Visit]:
    """The viewers in the order in which they come; the same for the same seed."""
    chance = random.Random(f"{seed}/arrivals")
    a = day.arrivals
    titles = by_want(site, chance)
    weights = [1 / (rank + 1) ** a.zipf for rank in range(len(titles))]
    few = fewest_held(site)
    tops = {p.name: min(p.top, len(site.ladder) - 1) for p in site.packages}
    patience = {p.name: p.patience for p in site.packages}
    most = (
        a.rate
        * (1 + a.swing * (PEAK if a.shape in ("peak", "event") else 1.0))
        * max([f.strength() for f in day.faults if f.kind == "burst"], default=1.0)
        * 1.01
    )
    t, number = 0.0, 0
    while True:
        t += chance.expovariate(most)
        if t >= day.length:
            return
        if chance.random() * most > rate_at(day, t):
            continue
        number += 1
        mix = chance.choices(a.mix, [m.share for m in a.mix])[0]
        title = few if chance.random() < crowd_at(day, t) else chance.choices(titles, weights)[0]
        top = tops[mix.package]
        if chance.random() < a.small_screens:
            top //= 2
        early = chance.random() < a.impatient
        yield Visit(
            number,
            t,
            mix.method,
            mix.package,
            title,
            chance.expovariate(1 / mix.watch),
            top,
            chance.random(),
            chance.uniform(0.0, 0.5) * patience[mix.package] if early else None,
            chance.random() < a.repeats,
        )


def picked(place: float, weights: Sequence[float]) -> int:
    """Which of several a number under 1 falls on."""
    total = sum(weights)
    for i, weight in enumerate(weights):
        place -= weight / total
        if place < 0:
            return i
    return len(weights) - 1
