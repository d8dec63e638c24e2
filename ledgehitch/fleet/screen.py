"""Read-only terminal interface: zones, gateways, media hosts and a running plan, updated live.

The data comes from a feed that queries the gateways in a separate process, so that a stalled gateway does not
delay key presses. Data older than a few periods is marked as old.
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

STALE_AFTER_PERIODS = 3.0  # periods without an update after which the data is marked as old
Feed = Callable[[], Awaitable[tuple[list[QueryResult], list[dict[str, Any]]]]]


class FleetScreen(App[None]):
    """The application. `feed` returns the query results and the journal lines of the newest plan."""

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
        self.updated_at = 0.0
        self.problem = ""
        self.only_trouble = False
        self._fetch_task: asyncio.Task[None] | None = None

    def compose(self) -> ComposeResult:
        yield Header(show_clock=True)
        yield Static("querying ...", id="news")
        yield DataTable(id="halls", cursor_type="none")
        with Horizontal():
            with Vertical():
                yield DataTable(id="gateways", cursor_type="row")
                yield Static("", id="plan")
            yield Static("", id="side")
        yield Footer()

    def on_mount(self) -> None:
        zone_columns = ("hall", "gateways", "viewings", "asked", "not let play", "p99")
        self.query_one("#halls", DataTable).add_columns(*zone_columns)
        gateway_columns = ("gateway", "hall", "is", "viewings", "asked", "blocked", "p50", "p99", "up", "why")
        self.query_one("#gateways", DataTable).add_columns(*gateway_columns)
        self.set_interval(self.every, self.action_now)
        self.set_interval(0.5, self._show_status)
        self.action_now()

    # ---- queries -------------------------------------------------------------------------------------------

    def action_now(self) -> None:
        """Queries the gateways, unless a query is pending."""
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.get_running_loop().create_task(self._fetch())

    async def _fetch(self) -> None:
        try:
            self.found, self.lines = await self.feed()
            self.updated_at, self.problem = time.monotonic(), ""
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            self.problem = str(error)
        self._show()

    def action_trouble(self) -> None:
        self.only_trouble = not self.only_trouble
        self._show()

    # ---- display -------------------------------------------------------------------------------------------

    def _show_status(self) -> None:
        age = time.monotonic() - self.updated_at if self.updated_at else 0.0
        old = age > STALE_AFTER_PERIODS * self.every
        status = ", ".join(f"{n} {kind}" for kind, n in count_by_kind(self.found).items()) or "querying ..."
        if self.problem:
            status = f"{status}; query failed: {self.problem}"
        if old:
            status = f"{status}; data is {age:.0f} s old"
        self.query_one("#news", Static).update(Text(status, style="bold red" if old or self.problem else ""))

    def _show(self) -> None:
        zone_table = self.query_one("#halls", DataTable)
        zone_table.clear()
        for row in zone_rows(self.found, self.zones):
            zone_table.add_row(*row)
        table = self.query_one("#gateways", DataTable)
        selected = self._selected_name()
        table.clear()
        shown = [result for result in self.found if not self.only_trouble or result.kind != "answered"]
        for result in shown:
            table.add_row(*self._row_of(result), key=result.name)
        if selected in [result.name for result in shown]:
            table.move_cursor(row=[result.name for result in shown].index(selected))
        self.query_one("#plan", Static).update("\n".join(plan_summary(self.lines)))
        self._show_selected()
        self._show_status()

    def _row_of(self, result: QueryResult) -> Sequence[Any]:
        kind = Text(result.kind, style=KIND_COLOURS.get(result.kind, "bold red"))
        if result.state is None:
            return (
                result.name,
                self.zones.get(result.name, ""),
                kind,
                "-",
                "-",
                "-",
                "-",
                "-",
                "-",
                result.why,
            )
        s, c = result.state, result.state.counts
        joins = [f"{s.joins_ms[q]:.0f}" if q in s.joins_ms else "-" for q in ("50", "99")]
        figures = s.viewings, c.asked, c.blocked + c.turned_away, *joins, f"{s.up_s:.0f} s"
        return result.name, self.zones.get(result.name, ""), kind, *figures, result.why

    def _selected_name(self) -> str:
        table = self.query_one("#gateways", DataTable)
        if not table.row_count or table.cursor_row >= table.row_count:
            return ""
        key = table.coordinate_to_cell_key((table.cursor_row, 0)).row_key.value  # type: ignore[arg-type]
        return str(key)

    def on_data_table_row_highlighted(self, _: DataTable.RowHighlighted) -> None:
        self._show_selected()

    def _show_selected(self) -> None:
        """Shows the selected gateway: its process, the members it sees, its media hosts."""
        name = self._selected_name()
        selected = next((result for result in self.found if result.name == name), None)
        side = self.query_one("#side", Static)
        if selected is None:
            side.update("")
            return
        lines = [f"[b]{selected.name}[/b]  {selected.kind}", selected.why]
        if selected.state is not None:
            s = selected.state
            lines += [f"process {s.pid}, boot {s.boot}", f"{s.phase} for {s.for_s:.0f} s"]
            lines += [f"started by {s.started_by}"] if s.started_by else []
            gone = [f"{n} {status}" for n, status in s.members.items() if status != "alive"]
            lines += ["", f"sees {len(s.members)} others" + (f": {', '.join(gone[:6])}" if gone else "")]
            lines += ["", "[b]media hosts[/b]", *host_lines(s)]
        side.update("\n".join(lines))
