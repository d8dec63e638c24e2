"""Tests that may fail for a fault that is known: what `KNOWN-RED.txt` at the root lists, a line each as

    tests/test_file.py::test_name | cause | issue 12

A listed test that fails is passed over and printed; one that passes is printed as to be struck. Anything else
in the file fails the run: see `read`.
"""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

NAME = "KNOWN-RED.txt"
MOST = 3  # lines
ISSUE = re.compile(r"(?:issue )?#?[0-9]+\Z")


@dataclass(frozen=True)
class Red:
    """`test` is its file and name, without the part in brackets that tells one of its cases."""

    test: str
    cause: str
    issue: str


class BadList(ValueError):
    """The file does not read; the text names the line."""


def _tests_of(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef):
            yield node.name


def read(root: Path) -> list[Red]:
    """The listed tests; none without the file. Raises `BadList` for a line that lacks test, cause or issue,
    for a test that does not exist or stands twice, and for more lines than may be."""
    path = root / NAME
    if not path.exists():
        return []
    reds: list[Red] = []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST:
        raise BadList(f"{NAME}: {len(lines)} lines, {MOST} at most")
    for number, line in enumerate(lines, 1):
        test, cause, issue, *more = [part.strip() for part in line.split("|")] + ["", ""]
        if not (test and cause and ISSUE.match(issue)) or any(more):
            raise BadList(f"{NAME}:{number}: a line is: test | cause | issue N")
        file, _, name = test.partition("::")
        held = root / file
        if not file.endswith(".py") or not held.is_file() or name.split("[")[0] not in _tests_of(held):
            raise BadList(f"{NAME}:{number}: no test {test}")
        if test in [red.test for red in reds]:
            raise BadList(f"{NAME}:{number}: {test} twice")
        reds.append(Red(test, cause, issue))
    return reds


def listed(reds: list[Red], test: str) -> Red | None:
    """The line that names this test, or all of its cases."""
    return next((red for red in reds if red.test in (test, test.partition("[")[0])), None)


def unmatched(reds: list[Red], collected: list[str]) -> Red | None:
    """A line whose file was collected, but that names no case in it."""
    files = {test.partition("::")[0] for test in collected}
    for red in reds:
        if red.test.partition("::")[0] in files and not any(listed([red], test) for test in collected):
            return red
    return None
