"""The terminal interface: halls, gateways, media hosts and a running plan, live; it only looks.

What is shown comes from a feed that asks in a process of its own, so that a gateway that stalls never holds
up a key press; what is older than it should be is shown as such.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, ClassVar

import msgspec
from rich.text import Text
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.containers import Horizontal, Vertical
from textual.widgets import DataTable, Footer, Header, Static

from ledgehitch.fleet.found import QueryResult, count_by_kind
from ledgehitch.fleet.show import KIND_COLOURS, host_lines, plan_summary, zone_rows

STALE_AFTER_PERIODS = 3.0  # times the period after which what is shown is called old
Feed = Callable[[], Awaitable[tuple[list[QueryResult], list[dict[str, Any]]]]]


class FleetScreen(App[None]):
    """`feed` gives what each gateway was found to be, and the lines of the newest plan."""

    TITLE = "ledgehitch fleet"
    CSS = """
    #halls { height: auto; max-height: 8; }
    #gateways { height: 1fr; }
    #side { width: 44; border-left: solid $primary; padding: 0 1; }
    #plan { height: auto; max-height: 12; border-top: solid $primary; padding: 0 1; }
    #news { height: 1; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("q", "quit", "quit"),
        Binding("t", "trouble", "only trouble"),
        Binding("r", "now", "ask now"),
    ]

    def __init__(self, feed: Feed, zones: Mapping[str, str], every: float = 2.0) -> None:
        super().__init__()
        self.feed, self.zones, self.every = feed, zones, every
        self.found: list[QueryResult] = []
        self.lines: list[dict[str, Any]] = []
        self.asked_at = 0.0
        self.problem = ""
        self.only_trouble = False
        self._asking: asyncio.Task[None] | None = None

    def compose(self) -> ComposeResult:
        yield Header(show_clock=True)
        yield Static("asking ...", id="news")
        yield DataTable(id="halls", cursor_type="none")
        with Horizontal():
            with Vertical():
                yield DataTable(id="gateways", cursor_type="row")
                yield Static("", id="plan")
            yield Static("", id="side")
        yield Footer()

    def on_mount(self) -> None:
        halls = ("hall", "gateways", "viewings", "asked", "not let play", "p99")
        self.query_one("#halls", DataTable).add_columns(*halls)
        names = ("gateway", "hall", "is", "viewings", "asked", "blocked", "p50", "p99", "up", "why")
        self.query_one("#gateways", DataTable).add_columns(*names)
        self.set_interval(self.every, self.action_now)
        self.set_interval(0.5, self._say_age)
        self.action_now()

    # ---- what comes ----------------------------------------------------------------------------------------

    def action_now(self) -> None:
        """Asks, unless it is asking already."""
        if self._asking is None or self._asking.done():
            self._asking = asyncio.get_running_loop().create_task(self._ask())

    async def _ask(self) -> None:
        try:
            self.found, self.lines = await self.feed()
            self.asked_at, self.problem = time.monotonic(), ""
        except (OSError, ValueError, msgspec.MsgspecError) as wrong:
            self.problem = str(wrong)
        self._show()

    def action_trouble(self) -> None:
        self.only_trouble = not self.only_trouble
        self._show()

    # ---- what is shown -------------------------------------------------------------------------------------

    def _say_age(self) -> None:
        age = time.monotonic() - self.asked_at if self.asked_at else 0.0
        old = age > STALE_AFTER_PERIODS * self.every
        word = ", ".join(f"{n} {kind}" for kind, n in count_by_kind(self.found).items()) or "asking ..."
        if self.problem:
            word = f"{word}; not asked: {self.problem}"
        if old:
            word = f"{word}; this is {age:.0f} s old"
        self.query_one("#news", Static).update(Text(word, style="bold red" if old or self.problem else ""))

    def _show(self) -> None:
        halls = self.query_one("#halls", DataTable)
        halls.clear()
        for row in zone_rows(self.found, self.zones):
            halls.add_row(*row)
        table = self.query_one("#gateways", DataTable)
        at = self._chosen()
        table.clear()
        shown = [f for f in self.found if not self.only_trouble or f.kind != "answered"]
        for f in shown:
            table.add_row(*self._row(f), key=f.name)
        if at in [f.name for f in shown]:
            table.move_cursor(row=[f.name for f in shown].index(at))
        self.query_one("#plan", Static).update("\n".join(plan_summary(self.lines)))
        self._show_one()
        self._say_age()

    def _row(self, f: QueryResult) -> Sequence[Any]:
        kind = Text(f.kind, style=KIND_COLOURS.get(f.kind, "bold red"))
        if f.state is None:
            return f.name, self.zones.get(f.name, ""), kind, "-", "-", "-", "-", "-", "-", f.why
        s, c = f.state, f.state.counts
        joins = [f"{s.joins_ms[q]:.0f}" if q in s.joins_ms else "-" for q in ("50", "99")]
        figures = s.viewings, c.asked, c.blocked + c.turned_away, *joins, f"{s.up_s:.0f} s"
        return f.name, self.zones.get(f.name, ""), kind, *figures, f.why

    def _chosen(self) -> str:
        table = self.query_one("#gateways", DataTable)
        if not table.row_count or table.cursor_row >= table.row_count:
            return ""
        key = table.coordinate_to_cell_key((table.cursor_row, 0)).row_key.value  # type: ignore[arg-type]
        return str(key)

    def on_data_table_row_highlighted(self, _: DataTable.RowHighlighted) -> None:
        self._show_one()

    def _show_one(self) -> None:
        """The gateway that is chosen: what it holds, whom it sees."""
        name = self._chosen()
        one = next((f for f in self.found if f.name == name), None)
        side = self.query_one("#side", Static)
        if one is None:
            side.update("")
            return
        lines = [f"[b]{one.name}[/b]  {one.kind}", one.why]
        if one.state is not None:
            s = one.state
            lines += [f"process {s.pid}, life {s.boot}", f"{s.phase} for {s.for_s:.0f} s"]
            lines += [f"started by {s.started_by}"] if s.started_by else []
            gone = [f"{n} {status}" for n, status in s.members.items() if status != "alive"]
            lines += ["", f"sees {len(s.members)} others" + (f": {', '.join(gone[:6])}" if gone else "")]
            lines += ["", "[b]media hosts[/b]", *host_lines(s)]
        side.update("\n".join(lines))
