"""Results in one SQLite file: each run once for each version of the code, whoever ran it.

A run is claimed before it begins. Two labs on one file share the work; what a killed one had claimed is free
again once its heartbeat is old.
"""

import json
import os
import sqlite3
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from ledgehitch.config import BadInput
from ledgehitch.lab.facts import Run

ABANDONED = 20.0  # seconds without a heartbeat after which a claim is nobody's
MEASURES = ("service", "worst_10s", "join_p50", "join_p95", "blocked", "short", "breaches")
TABLES = f"""
CREATE TABLE IF NOT EXISTS runs (
  key TEXT NOT NULL, code TEXT NOT NULL, plan TEXT NOT NULL, day TEXT NOT NULL, size TEXT NOT NULL,
  fault TEXT NOT NULL, setting TEXT NOT NULL, seed INTEGER NOT NULL, state TEXT NOT NULL,
  owner TEXT NOT NULL, heard REAL NOT NULL, seconds REAL, {" REAL, ".join(MEASURES)} REAL,
  why TEXT, result TEXT, PRIMARY KEY (key, code, plan, day, size, fault, setting));
CREATE TABLE IF NOT EXISTS plans (
  digest TEXT NOT NULL, code TEXT NOT NULL, name TEXT NOT NULL, facts TEXT NOT NULL, begun REAL NOT NULL,
  PRIMARY KEY (digest, code));
"""


class Store:
    def __init__(self, path: Path, code: str) -> None:
        self.path, self.code = path, code
        self.owner = f"{os.getpid()}-{time.time_ns()}"
        try:
            self.db = sqlite3.connect(path, timeout=20.0, isolation_level=None)
            try:
                self.db.execute("PRAGMA journal_mode=WAL")
                self.db.executescript(TABLES)
            except sqlite3.Error:
                self.db.close()
                raise
        except sqlite3.Error as problem:
            raise BadInput(f"{path}: no file of results: {problem}") from None

    @contextmanager
    def _at_once(self) -> Iterator[None]:
        """All of it or nothing; a full disk is told as what it is and loses nothing that was kept."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
            try:
                yield
            except BaseException:
                self.db.execute("ROLLBACK")
                raise
            self.db.execute("COMMIT")
        except sqlite3.Error as problem:
            raise BadInput(f"{self.path}: a result was not kept, earlier ones were: {problem}") from None

    def begun(self, digest: str, name: str, facts: Any) -> None:
        with self._at_once():
            self.db.execute(
                "INSERT OR REPLACE INTO plans VALUES (?, ?, ?, ?, ?)",
                (digest, self.code, name, json.dumps(facts), time.time()),
            )

    def _named(self, run: Run) -> tuple[Any, ...]:
        return run.key, self.code, run.plan, run.day, run.size, run.fault, run.setting

    def claim(self, run: Run) -> bool:
        """Whether this run is ours to do: neither done nor claimed by another that lives."""
        with self._at_once():
            row = self.db.execute(
                "SELECT state, owner, heard FROM runs WHERE key=? AND code=? AND plan=? AND day=? AND size=?"
                " AND fault=? AND setting=?",
                self._named(run),
            ).fetchone()
            now = time.time()
            if row is not None:
                state, owner, heard = row
                if state == "done" or state == "claimed" and owner != self.owner and now - heard < ABANDONED:
                    return False
            self.db.execute(
                "INSERT OR REPLACE INTO runs (key, code, plan, day, size, fault, setting, seed, state, owner,"
                " heard) VALUES (?, ?, ?, ?, ?, ?, ?, ?, 'claimed', ?, ?)",
                (*self._named(run), run.seed, self.owner, now),
            )
            return True

    def alive(self) -> None:
        with self._at_once():
            self.db.execute(
                "UPDATE runs SET heard=? WHERE owner=? AND state='claimed'", (time.time(), self.owner)
            )

    def done(self, run: Run, seconds: float, measures: dict[str, float], result: dict[str, Any]) -> None:
        self._close(run, "done", seconds, "", measures, json.dumps(result))

    def failed(self, run: Run, state: str, seconds: float, why: str) -> None:
        """`state`: failed or cut. Either is tried again by the next lab."""
        self._close(run, state, seconds, why, {}, None)

    def _close(
        self, run: Run, state: str, seconds: float, why: str, measures: dict[str, float], result: str | None
    ) -> None:
        sets = ", ".join(f"{m}=?" for m in MEASURES)
        with self._at_once():
            self.db.execute(
                f"UPDATE runs SET state=?, seconds=?, why=?, result=?, {sets} WHERE key=? AND code=?"
                " AND plan=? AND day=? AND size=? AND fault=? AND setting=? AND owner=?",
                (
                    state,
                    seconds,
                    why,
                    result,
                    *(measures.get(m) for m in MEASURES),
                    *self._named(run),
                    self.owner,
                ),
            )

    def rows(self, plan: str | None = None, code: str | None = None) -> list[dict[str, Any]]:
        """Done runs, without their whole results."""
        names = ("code", "plan", "day", "size", "fault", "setting", "seed", "seconds", *MEASURES)
        where, values = ["state='done'"], []
        for name, value in (("plan", plan), ("code", code)):
            if value is not None:
                where.append(f"{name}=?")
                values.append(value)
        found = self.db.execute(
            f"SELECT {', '.join(names)} FROM runs WHERE {' AND '.join(where)}"
            " ORDER BY plan, day, size, fault, setting, seed, code",
            values,
        )
        return [dict(zip(names, row, strict=True)) for row in found]

    def results(self, plan: str | None = None) -> Iterator[tuple[dict[str, Any], dict[str, Any]]]:
        """Done runs with their whole results."""
        names = ("day", "size", "fault", "setting", "seed", "code")
        where, values = ("AND plan=?", [plan]) if plan is not None else ("", [])
        for row in self.db.execute(
            f"SELECT {', '.join(names)}, result FROM runs WHERE state='done' {where}"
            " ORDER BY day, size, fault, setting, seed",
            values,
        ):
            yield dict(zip(names, row, strict=False)), json.loads(row[-1])

    def states(self) -> dict[str, int]:
        return dict(self.db.execute("SELECT state, COUNT(*) FROM runs GROUP BY state ORDER BY state"))

    def close(self) -> None:
        self.db.close()
