"""Generates a day's arrivals: when each viewer comes and what it requests, from one seed. Free of I/O."""

import math
import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from ledgehitch.config import Day, Site

PEAK = 6.0  # height of a peak or an event above the usual rate, as a multiple of the swing


@dataclass(frozen=True)
class Visit:
    """One viewer's visit; times in seconds from the day's start. `top` is the highest rung it can use."""

    number: int
    at: float
    method: str
    package: str
    title: str
    watch: float
    top: int
    gateway: float  # number from 0 to 1 that selects a gateway, by the gateways' weights
    impatient_after: float | None
    repeats: bool


def rate_at(day: Day, t: float) -> float:
    """Returns the arrivals a second at `t`, with the day's shape and bursts."""
    arrivals = day.arrivals
    rate = arrivals.rate
    if arrivals.shape == "ramp":
        rate *= 1 + arrivals.swing * (2 * t / day.length - 1)
    elif arrivals.shape == "wave":
        rate *= 1 + arrivals.swing * math.sin(2 * math.pi * t / max(day.length / 2, 1e-9))
    elif arrivals.shape == "peak":  # a bell curve in the middle of the day, as of a viral clip
        rate *= 1 + PEAK * arrivals.swing * math.exp(-((8 * (t / day.length - 0.5)) ** 2))
    elif arrivals.shape == "event":  # most arrive at the start, few after it
        rate *= 1 + PEAK * arrivals.swing if t < 0.15 * day.length else 1 - arrivals.swing
    for fault in day.faults:
        if fault.kind == "burst" and fault.at <= t < fault.at + fault.len:
            rate *= fault.size_or_default()
    return rate


def crowd_at(day: Day, t: float) -> float:
    """Returns the share of the viewers at `t` who request the title of a crowd fault."""
    share = 0.0
    for fault in day.faults:
        if fault.kind == "crowd" and fault.at <= t < fault.at + fault.len:
            share = max(share, fault.size_or_default() if fault.size is not None else 0.3)
    return share


def fewest_held(site: Site) -> str:
    """Returns the title that the fewest hosts hold."""
    return min(site.titles, key=lambda title: (site.titles[title].spread, title))


def titles_by_popularity(site: Site, chance: random.Random) -> list[str]:
    """Returns the titles in a random order of popularity, the most popular first."""
    titles = sorted(site.titles)
    chance.shuffle(titles)
    return titles


def visits(day: Day, site: Site, seed: int) -> Iterator[Visit]:
    """Yields the viewers in order of arrival; the same for the same seed."""
    chance = random.Random(f"{seed}/arrivals")
    arrivals = day.arrivals
    titles = titles_by_popularity(site, chance)
    weights = [1 / (rank + 1) ** arrivals.zipf for rank in range(len(titles))]
    rarest = fewest_held(site)
    tops = {p.name: min(p.top, len(site.ladder) - 1) for p in site.packages}
    patience = {p.name: p.patience for p in site.packages}
    max_rate = (
        arrivals.rate
        * (1 + arrivals.swing * (PEAK if arrivals.shape in ("peak", "event") else 1.0))
        * max([f.size_or_default() for f in day.faults if f.kind == "burst"], default=1.0)
        * 1.01
    )
    t, number = 0.0, 0
    while True:
        t += chance.expovariate(max_rate)
        if t >= day.length:
            return
        if chance.random() * max_rate > rate_at(day, t):
            continue
        number += 1
        mix = chance.choices(arrivals.mix, [m.share for m in arrivals.mix])[0]
        title = rarest if chance.random() < crowd_at(day, t) else chance.choices(titles, weights)[0]
        top = tops[mix.package]
        if chance.random() < arrivals.small_screens:
            top //= 2
        impatient = chance.random() < arrivals.impatient
        yield Visit(
            number,
            t,
            mix.method,
            mix.package,
            title,
            chance.expovariate(1 / mix.watch),
            top,
            chance.random(),
            chance.uniform(0.0, 0.5) * patience[mix.package] if impatient else None,
            chance.random() < arrivals.repeats,
        )


def weighted_index(place: float, weights: Sequence[float]) -> int:
    """Returns the index that `place`, a number from 0 to 1, selects in proportion to `weights`."""
    total = sum(weights)
    for i, weight in enumerate(weights):
        place -= weight / total
        if place < 0:
            return i
    return len(weights) - 1
