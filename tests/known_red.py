"""Reads `KNOWN-RED.txt` at the root, which lists tests that may fail because of a known fault.

Each line has this form:

    tests/test_file.py::test_name | cause | issue 12

The failure of a listed test does not fail the run, and is printed. A listed test that passes is printed as to
be struck from the list. An invalid list fails the run; see `read`.
"""

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

NAME = "KNOWN-RED.txt"
MAX_LINES = 3
ISSUE = re.compile(r"(?:issue )?#?[0-9]+\Z")


@dataclass(frozen=True)
class KnownFailure:
    """A line of the list. `test` is file and name; brackets after it name a single case."""

    test: str
    cause: str
    issue: str


class BadList(ValueError):
    """The list is invalid; the text names the line."""


def _test_names(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef):
            yield node.name


def read(root: Path) -> list[KnownFailure]:
    """Returns the listed tests; none without the file.

    Raises `BadList` for a line that lacks test, cause or issue, for a test that does not exist or occurs
    twice, and for more than `MAX_LINES` lines.
    """
    path = root / NAME
    if not path.exists():
        return []
    known: list[KnownFailure] = []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise BadList(f"{NAME}: {len(lines)} lines, {MAX_LINES} at most")
    for number, line in enumerate(lines, 1):
        test, cause, issue, *more = [part.strip() for part in line.split("|")] + ["", ""]
        if not (test and cause and ISSUE.match(issue)) or any(more):
            raise BadList(f"{NAME}:{number}: a line is: test | cause | issue N")
        file, _, name = test.partition("::")
        module = root / file
        if not file.endswith(".py") or not module.is_file() or name.split("[")[0] not in _test_names(module):
            raise BadList(f"{NAME}:{number}: no test {test}")
        if test in [entry.test for entry in known]:
            raise BadList(f"{NAME}:{number}: {test} twice")
        known.append(KnownFailure(test, cause, issue))
    return known


def find(known: list[KnownFailure], test: str) -> KnownFailure | None:
    """Returns the line that names this test or all of its cases, if any."""
    return next((entry for entry in known if entry.test in (test, test.partition("[")[0])), None)


def unmatched(known: list[KnownFailure], collected: list[str]) -> KnownFailure | None:
    """Returns a line that names no collected test though its file was collected, if any."""
    files = {test.partition("::")[0] for test in collected}
    for entry in known:
        if entry.test.partition("::")[0] in files and not any(find([entry], test) for test in collected):
            return entry
    return None
