"""Explores the interleavings of a small model: breadth first, or by deeper random walks. Free of I/O.

A world has a key that identifies its state, and knows whether it is safe. `steps` yields every world that one
step leads to, with a description of the step. An exploration of a package provides both to `Exploration`.
"""

import random
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar


class World(Protocol):
    @property
    def breach(self) -> str: ...  # the violated invariant, if it is not safe
    def key(self) -> tuple[object, ...]: ...
    def safe(self) -> bool: ...


WorldType = TypeVar("WorldType", bound=World)
Scenario = TypeVar("Scenario")
Steps = Callable[[WorldType], Iterator[tuple[str, WorldType]]]
Path = tuple[object, ...]  # the path before, and the last step


@dataclass
class ExplorationResult:
    states: int = 0
    steps: int = 0
    unsafe: tuple[str, ...] | None = None  # the steps that led to the violation
    breach: str = ""
    complete: bool = True  # whether all states within the bounds were explored


def explore_breadth_first(first: WorldType, steps: Steps[WorldType], max_states: int) -> ExplorationResult:
    """Explores breadth first, so that a violation is found with the fewest steps."""
    seen = {hash(first.key())}
    queue: deque[tuple[WorldType, Path]] = deque([(first, ())])
    result = ExplorationResult(1)
    while queue:
        world, path = queue.popleft()
        for step, new in steps(world):
            result.steps += 1
            key = hash(new.key())
            if key in seen:
                continue
            seen.add(key)
            result.states += 1
            if not new.safe():
                result.unsafe, result.breach = _steps_of((path, step)), new.breach
                return result
            if result.states >= max_states:
                result.complete = False
                return result
            queue.append((new, (path, step)))
    return result


def _steps_of(path: Path) -> tuple[str, ...]:
    steps: list[str] = []
    while path:
        path, step = path  # type: ignore[assignment]
        steps.append(str(step))
    return tuple(reversed(steps))


def explore_randomly(
    make_world: Callable[[], WorldType], steps: Steps[WorldType], seed: int, walks: int, depth: int
) -> ExplorationResult:
    """Takes random walks, deeper than an exhaustive exploration can go.

    The kind of a step is chosen first, so that rare kinds are not outweighed by the many message orders."""
    chance, result = random.Random(seed), ExplorationResult(complete=False)
    seen: set[int] = set()
    for _ in range(walks):
        world, path = make_world(), list[str]()
        for _ in range(depth):
            kinds: dict[str, list[tuple[str, WorldType]]] = {}
            for step, new in steps(world):
                kinds.setdefault(_kind(step), []).append((step, new))
            if not kinds:
                break
            step, world = chance.choice(kinds[chance.choice(sorted(kinds))])
            path.append(step)
            result.steps += 1
            seen.add(hash(world.key()))
            if not world.safe():
                result.states, result.unsafe, result.breach = len(seen), tuple(path), world.breach
                return result
    result.states = len(seen)
    return result


def _kind(step: str) -> str:
    return step if step == "time passes" else step.partition(":")[0].lstrip("0123456789 ").partition(" ")[0]


class Exploration(Generic[Scenario, WorldType]):
    """The exploration of one package. `make_world` returns the first world of a scenario, with or without an
    injected fault."""

    def __init__(self, make_world: Callable[[Scenario, str], WorldType], steps: Steps[WorldType]) -> None:
        self.make_world, self.steps = make_world, steps

    def replay(self, world: WorldType, path: tuple[str, ...]) -> WorldType:
        """Returns the world after these steps, each given by a prefix of its description.

        Raises StopIteration if a step is not possible."""
        for step in path:
            world = next(new for name, new in self.steps(world) if name.startswith(step))
        return world

    def explore(
        self, max_states: int, scenario: Scenario, fault: str = "", path: tuple[str, ...] = ()
    ) -> ExplorationResult:
        """Explores breadth first. `fault`: the injected fault, if any. `path`: steps to take before."""
        return explore_breadth_first(
            self.replay(self.make_world(scenario, fault), path), self.steps, max_states
        )

    def walk(
        self, seed: int, walks: int, depth: int, scenario: Scenario, fault: str = ""
    ) -> ExplorationResult:
        return explore_randomly(lambda: self.make_world(scenario, fault), self.steps, seed, walks, depth)
