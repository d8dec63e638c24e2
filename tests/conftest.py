"""Applies `KNOWN-RED.txt` to every run of the tests; see `known_red.py`."""

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parents[1]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        known = known_red.read(ROOT)
        complete = not any("::" in arg for arg in config.args) and not config.option.keyword
        if complete and (entry := known_red.unmatched(known, [item.nodeid for item in items])) is not None:
            raise known_red.BadList(f"{known_red.NAME}: no test {entry.test}")
    except known_red.BadList as error:
        raise pytest.UsageError(str(error)) from None
    for item in items:
        entry = known_red.find(known, item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry.describe(), strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for kind, advice in (("xfailed", "passed over, known red"), ("xpassed", "passes, strike it")):
        for report in terminalreporter.stats.get(kind, []):
            terminalreporter.write_line(f"{known_red.NAME}: {report.nodeid}: {advice}: {report.wasxfail}")
