"""Seeded worlds for the judgement: faults, uneven placement, lying players; beside plain baselines.

`python -m benchmarks.worlds [WORLDS]`. Everything is simulated: a viewing is bad with the usual share, plus
the effect of its rack, plus that of its title.
"""

import json
import random
import sys
from collections.abc import Callable
from typing import Any

from scipy.stats import norm

from ledgehitch.quality.judge import evaluate
from ledgehitch.quality.tally import Cell

Named = set[tuple[str, str]]


def world(
    seed: int, faults: int | None = None, effect: float | None = None
) -> tuple[dict[str, Cell], dict[Any, float]]:
    """Counts by rack and title, and the true culprits with their effects."""
    chance = random.Random(seed)
    racks, titles = chance.randrange(6, 25), chance.randrange(20, 200)
    usual = chance.uniform(0.01, 0.06)
    number = chance.randrange(4) if faults is None else faults
    true: dict[tuple[str, str], float] = {}
    weights = [1 / (i + 1) ** chance.uniform(0.6, 1.0) for i in range(titles)]
    # Only what is watched can be found: culprits among titles are those with viewings enough.
    for _ in range(number):
        size = effect if effect is not None else chance.uniform(0.02, 0.3)
        if chance.random() < 0.5:
            true["rack", f"r{chance.randrange(racks)}"] = size
        else:
            true["title", f"t{chance.randrange(min(titles, 15))}"] = size
    liars = chance.uniform(0, 0.1)
    viewings = chance.randrange(15_000, 40_000)
    cells: dict[str, Cell] = {}
    holders = [chance.sample(range(racks), chance.randrange(2, max(3, racks // 2))) for _ in range(titles)]
    lean = [[chance.uniform(0.05, 1.0) ** 2 for _ in h] for h in holders]
    for title in chance.choices(range(titles), weights, k=viewings):
        rack = chance.choices(holders[title], lean[title])[0]
        p = usual + true.get(("rack", f"r{rack}"), 0.0) + true.get(("title", f"t{title}"), 0.0)
        cell = cells.setdefault(f"r{rack}\tt{title}", Cell())
        cell.viewings += 1
        # A liar says what it likes: half of them always report stalls. One viewing moves a count by one.
        lies = chance.random() < liars
        cell.bad += (chance.random() < 0.5) if lies else (chance.random() < p)
    return cells, true


def ours(cells: dict[str, Cell]) -> Named:
    return {(c.kind, c.name) for c in evaluate(cells).culprits}


def groups(cells: dict[str, Cell]) -> dict[tuple[str, str], list[int]]:
    out: dict[tuple[str, str], list[int]] = {}
    for key, cell in cells.items():
        rack, _, title = key.partition("\t")
        for group in (("rack", rack), ("title", title)):
            held = out.setdefault(group, [0, 0])
            held[0] += cell.viewings
            held[1] += cell.bad
    return out


def worst_mean(cells: dict[str, Cell]) -> Named:
    """The worst rack and the worst title, where they are twice as bad as the whole."""
    held = groups(cells)
    usual = sum(c.bad for c in cells.values()) / sum(c.viewings for c in cells.values())
    out = set()
    for kind in ("rack", "title"):
        some = {g: b / n for g, (n, b) in held.items() if g[0] == kind and n >= 30}
        worst = max(some, key=lambda g: some[g])
        if some[worst] > 2 * usual:
            out.add(worst)
    return out


def each_alone(cells: dict[str, Cell]) -> Named:
    """A z-test of every group against the whole, with the same control of errors."""
    held = groups(cells)
    n_all, b_all = sum(c.viewings for c in cells.values()), sum(c.bad for c in cells.values())
    p = b_all / n_all
    least = float(norm.isf(0.002 / 2 / len(held)))
    return {g for g, (n, b) in held.items() if n >= 30 and (b - n * p) / (n * p * (1 - p)) ** 0.5 > least}


def scored(name: str, judge: Callable[[dict[str, Cell]], Named], worlds: list[Any]) -> dict[str, Any]:
    right = wrong = due = got = healthy = clean = 0
    for cells, true in worlds:
        named = judge(cells)
        right += len(named & set(true))
        wrong += len(named - set(true))
        large = {g for g, size in true.items() if size >= 0.1}
        due += len(large)
        got += len(named & large)
        if not true:
            healthy += 1
            clean += not named
    return {
        "judge": name,
        "precision": round(right / max(1, right + wrong), 4),
        "recall_from_10%": round(got / max(1, due), 4),
        "healthy_clean": round(clean / max(1, healthy), 4),
        "culprits_named": right + wrong,
        "healthy_worlds": healthy,
    }


def main(count: int) -> dict[str, Any]:
    worlds = [world(seed) for seed in range(count)]
    found: dict[str, Any] = {"worlds": count}
    for name, judge in (("ours", ours), ("worst mean", worst_mean), ("each alone", each_alone)):
        found[name] = scored(name, judge, worlds)
    for effect in (0.02, 0.03, 0.04, 0.06):
        some = [world(10_000 + i, 1, effect) for i in range(40)]
        found[f"recall_at_{effect:.0%}"] = sum(bool(ours(c) & set(t)) for c, t in some) / len(some)
    return found


if __name__ == "__main__":
    print(json.dumps(main(int(sys.argv[1]) if len(sys.argv) > 1 else 300), indent=1))
