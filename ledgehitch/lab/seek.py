"""Carries the search out: proposals over all cores, the worst one cut down and kept as a day."""

import os
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec

from ledgehitch.config import Day
from ledgehitch.lab.carry import FORK, one_run
from ledgehitch.lab.facts import plain
from ledgehitch.lab.search import BROKEN, Search, badness, smaller

STILL = 0.9  # part of its badness that a cut-down script must keep, where no rule is broken
MOST_CUTS = 200  # runs that cutting down may take


@dataclass
class Found:
    """The worst script, cut down; `bad` as `search.badness` has it."""

    day: Day
    seed: int
    bad: float
    rules: dict[str, int]
    service: float
    tried: int
    cuts: int
    faults_before: int


def _played(job: tuple[Day, int, tuple[int, ...], int | None]) -> tuple[float, dict[str, int], float]:
    day, seed, gates_out, wanted = job
    told = one_run(day, seed, gates_out)
    service = told["measures"]["service"]
    return badness(service, told["rules"], wanted), told["rules"], service


def sought(
    day: Day,
    seed: int,
    tries: int,
    wanted: int | None = None,
    gates_out: Sequence[int] = (),
    cores: int | None = None,
    on_progress: Callable[[int, float], None] = lambda tried, bad: None,
    until_broken: bool = True,
    most_cuts: int = MOST_CUTS,
) -> Found:
    """The worst script near `day` in so many tries, cut down. The same seed finds the same, on any number of
    cores: rounds are of a fixed size and heard in order."""
    search, gates = Search(day, random.Random(seed)), tuple(gates_out)
    with FORK.Pool(cores or os.cpu_count()) as pool:
        while search.tried < tries:
            batch = search.proposals(min(16, tries - search.tried))
            results = pool.map(_played, [(d, s, gates, wanted) for d, s in batch], chunksize=1)
            for (script, s), (bad, _, _) in zip(batch, results, strict=True):
                search.heard(script, s, bad)
            on_progress(search.tried, search.worst[0][0])
            if until_broken and search.worst[0][0] >= BROKEN:
                break
        bad, _, worst, its_seed = search.worst[0]
        before, cuts = len(worst.faults), 0
        floor = BROKEN if bad >= BROKEN else STILL * bad
        again = True
        while again and cuts < most_cuts:
            again = False
            tries_now = list(smaller(worst, day))
            results = pool.map(_played, [(d, its_seed, gates, wanted) for d in tries_now], chunksize=1)
            cuts += len(tries_now)
            for less, (its_bad, _, _) in zip(tries_now, results, strict=True):
                if its_bad >= floor:
                    worst, again = less, True
                    break
    bad, rules, service = _played((worst, its_seed, gates, wanted))
    return Found(worst, its_seed, bad, rules, service, search.tried, cuts, before)


def keep(found: Found, path: Path) -> None:
    """Writes the script as a day that `rehearse` plays, under the file's name."""
    day = msgspec.structs.replace(found.day, name=path.stem, seed=found.seed, source="lab search")
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plain(day))) + b"\n")
