"""Going through the interleavings of a small world: breadth first, or by chance and deeper. Free of I/O.

A world says by a key what it is, and whether it is safe; `steps` gives every world that one step leads to,
with the step in words. Whoever has promises to explore writes these two, and hands them to `Exploration`.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class World(Protocol):
    @property
    def breach(self) -> str: ...  # what is broken where it is not safe
    def key(self) -> tuple[object, ...]: ...
    def safe(self) -> bool: ...


W = TypeVar("W", bound=World)
C = TypeVar("C")
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


class Exploration(Generic[C, W]):
    """The promises of one package: `begun` makes the first world of a corner, with a fault planted or not."""

    def __init__(self, begun: Callable[[C, str], W], steps: Steps[W]) -> None:
        self.begun, self.steps = begun, steps

    def led(self, world: W, way: tuple[str, ...]) -> W:
        """The world after these steps, each named by how its word begins; raises where one cannot be."""
        for word in way:
            world = next(new for told, new in self.steps(world) if told.startswith(word))
        return world

    def explored(self, most: int, corner: C, spoilt: str = "", way: tuple[str, ...] = ()) -> Explored:
        """`spoilt`: a fault planted. `way`: steps taken before."""
        return gone_through(self.led(self.begun(corner, spoilt), way), self.steps, most)

    def walked(self, seed: int, walks: int, depth: int, corner: C, spoilt: str = "") -> Explored:
        return walked_through(lambda: self.begun(corner, spoilt), self.steps, seed, walks, depth)
