"""Going through the interleavings of a small world: breadth first, or by chance and deeper. Free of I/O.

A world says by a key what it is, and whether it is safe; `steps` gives every world that one step leads to,
with the step in words. Whoever has promises to explore writes these two (`members/`, `owners/`).
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol, TypeVar


class World(Protocol):
    @property
    def breach(self) -> str: ...  # what is broken where it is not safe
    def key(self) -> tuple[object, ...]: ...
    def safe(self) -> bool: ...


W = TypeVar("W", bound=World)
Steps = Callable[[W], Iterator[tuple[str, W]]]
Way = tuple[object, ...]  # the way before, and the last step


@dataclass
class Explored:
    states: int = 0
    steps: int = 0
    unsafe: tuple[str, ...] | None = None  # the steps that led there
    breach: str = ""
    whole: bool = True  # nothing was left out but what the bounds leave out


def gone_through(first: W, steps: Steps[W], most: int) -> Explored:
    """Breadth first, so that what is found first is found by the fewest steps."""
    seen = {hash(first.key())}
    queue: deque[tuple[W, Way]] = deque([(first, ())])
    result = Explored(1)
    while queue:
        world, way = queue.popleft()
        for word, new in steps(world):
            result.steps += 1
            key = hash(new.key())
            if key in seen:
                continue
            seen.add(key)
            result.states += 1
            if not new.safe():
                result.unsafe, result.breach = _unrolled((way, word)), new.breach
                return result
            if result.states >= most:
                result.whole = False
                return result
            queue.append((new, (way, word)))
    return result


def _unrolled(way: Way) -> tuple[str, ...]:
    words: list[str] = []
    while way:
        way, word = way  # type: ignore[assignment]
        words.append(str(word))
    return tuple(reversed(words))


def walked_through(begun: Callable[[], W], steps: Steps[W], seed: int, walks: int, depth: int) -> Explored:
    """Walks by chance, deeper than all interleavings can be gone through; what goes on is chosen by kind
    first, so that rare steps are not drowned by the many ways in which messages cross."""
    chance, result = random.Random(seed), Explored(whole=False)
    seen: set[int] = set()
    for _ in range(walks):
        world, way = begun(), list[str]()
        for _ in range(depth):
            kinds: dict[str, list[tuple[str, W]]] = {}
            for word, new in steps(world):
                kinds.setdefault(_kind(word), []).append((word, new))
            if not kinds:
                break
            word, world = chance.choice(kinds[chance.choice(sorted(kinds))])
            way.append(word)
            result.steps += 1
            seen.add(hash(world.key()))
            if not world.safe():
                result.states, result.unsafe, result.breach = len(seen), tuple(way), world.breach
                return result
    result.states = len(seen)
    return result


def _kind(word: str) -> str:
    return word if word == "time passes" else word.partition(":")[0].lstrip("0123456789 ").partition(" ")[0]
