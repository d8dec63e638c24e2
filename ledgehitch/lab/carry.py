"""Carries experiments out: a process a run, as many at once as there are cores, results kept as they come."""

import multiprocessing
import os
import resource
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.config import Day
from ledgehitch.config.load import canonical
from ledgehitch.lab.decide import Cut, Planner, Start
from ledgehitch.lab.facts import PORTS, Plan, Run, code_version
from ledgehitch.lab.store import Store
from ledgehitch.model.day import played
from ledgehitch.proof.check import check_rules, rule_parameters
from ledgehitch.standins.plan import site_of, steps_of

LOOK = 2.0  # seconds between signs of life in the file of results
FORK = multiprocessing.get_context("fork")


def one_run(day: Day, seed: int, gates_out: Sequence[int] = ()) -> dict[str, Any]:
    """Plays a day in the model and has its tape judged; all that is kept of it."""
    began = time.process_time()
    site = site_of(day, seed, PORTS)
    result = played(day, site, steps_of(day, site, seed), seed, gates_out=gates_out)
    breaches = check_rules(result.tape, rule_parameters(site))
    rules: dict[str, int] = {}
    for breach in breaches:
        rules[str(breach.rule)] = rules.get(str(breach.rule), 0) + 1
    told = result.told()
    service = told["service"]
    tried = max(1, sum(n for kind, n in service["answers"].items() if kind != "nobody"))
    joins = service["joins_s"]
    measures = {
        "service": service["service"] or 0.0,
        "worst_10s": service["worst_10s"] or 0.0,
        "join_p50": joins.get("50", 0.0),
        "join_p95": joins.get("95", 0.0),
        "blocked": service["answers"].get("blocked", 0) / tried,
        "short": service["short_share"],
        "breaches": float(len(breaches)),
    }
    return {
        "measures": measures,
        "rules": rules,
        "first_breaches": [b.describe() for b in breaches[:5]],
        "seconds": time.process_time() - began,
        "most_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        **told,
    }


def _child(pipe: Connection, day: Day, seed: int) -> None:
    try:
        pipe.send(("done", one_run(day, seed)))
    except Exception as problem:  # what went wrong belongs to the run, not to the lab
        pipe.send(("failed", f"{type(problem).__name__}: {problem}"))
    finally:
        pipe.close()


@dataclass
class Done:
    """What a lab came to."""

    done: int = 0
    failed: int = 0
    cut: int = 0
    not_begun: int = 0
    others: int = 0  # done before, or claimed by another lab
    broken: int = 0  # runs in which a rule was broken
    whys: list[str] = field(default_factory=list)


class Lab:
    """Runs plans against one file of results."""

    def __init__(self, store: Store, cores: int | None = None) -> None:
        self.store = store
        self.planner = Planner(cores or os.cpu_count() or 1)
        self.runs: dict[tuple[str, int], Run] = {}
        self.came = Done()
        self._out: dict[tuple[str, int], tuple[Any, Connection, float]] = {}

    def add(self, plan: Plan, runs: Sequence[Run]) -> int:
        """Takes up a plan with its runs; how many these are."""
        facts = msgspec.to_builtins(plan)
        self.store.begun(blake3(canonical(facts)).hexdigest(16), plan.name, facts)
        keys = [(plan.name, n) for n in range(len(runs))]
        self.runs.update(zip(keys, runs, strict=True))
        self.planner.added(time.monotonic(), plan.name, keys, plan.weight, plan.limit, plan.within)
        return len(runs)

    def carry(self, on_progress: Callable[[Done], None] = lambda done: None) -> Done:
        """Until all is through. Ctrl-C leaves what was kept, and the runs that were out free for others."""
        looked = time.monotonic()
        try:
            while not self.planner.through():
                self._pull()
                if not self._out:
                    continue
                if time.monotonic() - looked >= LOOK:
                    looked = time.monotonic()
                    self.store.alive()
                pause = max(0.0, min(LOOK, self.planner.wake_at() - time.monotonic()))
                for pipe in wait([p for _, p, _ in self._out.values()], pause):
                    key = next(k for k, (_, p, _) in self._out.items() if p is pipe)
                    self._heard(key)
                on_progress(self.came)
        finally:
            for key in list(self._out):
                self._stop(key, "cut", "the lab was ended")
        self.came.not_begun = sum(e.not_begun for e in self.planner.experiments.values())
        return self.came

    def _pull(self) -> None:
        while (decision := self.planner.decide(time.monotonic())) is not None:
            match decision:
                case Start(name, key):
                    assert isinstance(key, tuple)
                    if not self.store.claim(self.runs[key]):
                        self.came.others += 1
                        self.planner.skipped(name, key)
                        continue
                    run = self.runs[key]
                    ours, theirs = FORK.Pipe(duplex=False)
                    child = FORK.Process(target=_child, args=(theirs, run.what, run.seed))
                    child.start()
                    theirs.close()
                    self._out[key] = child, ours, time.monotonic()
                case Cut(_, key, why):
                    assert isinstance(key, tuple)
                    self._stop(key, "cut", why)

    def _stop(self, key: tuple[str, int], state: str, why: str) -> None:
        child, pipe, began = self._out.pop(key)
        child.kill()
        child.join()
        pipe.close()
        self.came.cut += 1
        self.came.whys.append(f"{self._named(key)}: cut off, {why}")
        self.store.failed(self.runs[key], state, time.monotonic() - began, why)

    def _named(self, key: tuple[str, int]) -> str:
        r = self.runs[key]
        return f"{r.plan}: {r.day}, {r.size}, {r.fault}, {r.setting}, seed {r.seed}"

    def _heard(self, key: tuple[str, int]) -> None:
        child, pipe, began = self._out.pop(key)
        try:
            how, what = pipe.recv()
        except EOFError:
            how, what = "failed", "its process ended without a word"
        pipe.close()
        child.join()
        took = time.monotonic() - began
        self.planner.ended(time.monotonic(), key[0], key)
        if how == "done":
            self.came.done += 1
            self.came.broken += bool(what["rules"])
            self.store.done(self.runs[key], took, what["measures"], what)
        else:
            self.came.failed += 1
            self.came.whys.append(f"{self._named(key)}: {what}")
            self.store.failed(self.runs[key], "failed", took, str(what))


def open_store(path: Path) -> Store:
    return Store(path, code_version())
