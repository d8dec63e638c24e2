"""What every run of the tests does with `KNOWN-RED.txt`: see `known_red.py`."""

from pathlib import Path

import pytest

from tests import known_red

ROOT = Path(__file__).parents[1]


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    try:
        reds = known_red.read(ROOT)
        whole = not any("::" in arg for arg in config.args) and not config.option.keyword
        if whole and (red := known_red.unmatched(reds, [item.nodeid for item in items])) is not None:
            raise known_red.BadList(f"{known_red.NAME}: no test {red.test}")
    except known_red.BadList as why:
        raise pytest.UsageError(str(why)) from None
    for item in items:
        red = known_red.listed(reds, item.nodeid)
        if red is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for kind, what in (("xfailed", "passed over, known red"), ("xpassed", "passes, strike it")):
        for report in terminalreporter.stats.get(kind, []):
            terminalreporter.write_line(f"{known_red.NAME}: {report.nodeid}: {what}: {report.wasxfail}")
