"""The tables of `docs/CAPACITY.md`, made from kept results and the target and put between their markers.

Text outside of markers stays as people wrote it; a marker that is missing, unknown, doubled or without an end
is named and nothing is written.
"""

import math
import re
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from ledgehitch.config.read import BadInput
from ledgehitch.scale.facts import read_all
from ledgehitch.scale.needs import (
    UNMEASURED,
    Book,
    Cost,
    Row,
    Select,
    costs_of,
    first_missing,
    rows_of,
    verdict,
    without,
)
from ledgehitch.scale.slopes import two_sizes_only
from ledgehitch.scale.tables import BEFORE, LOSSES, NEEDS, SPLIT, SPLIT_REGIONS
from ledgehitch.scale.target import Target, read_target

PAGE, TARGET, KEPT = Path("CAPACITY.md"), Path("capacity/target.json"), Path("capacity/kept")
OPEN, CLOSE = "<!-- made: {} -->", "<!-- made until here -->"
MARK = re.compile(r"<!-- made: ([a-z-]+) -->")
PARTS = ((1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""), (1e-3, "m"), (1e-6, "u"), (1e-9, "n"), (1e-12, "p"))


# ---- words -------------------------------------------------------------------------------------------------


def digits(value: float) -> str:
    """Three digits that count, without an exponent."""
    if value == 0.0 or not math.isfinite(value):
        return f"{value:g}"
    places = max(0, 2 - math.floor(math.log10(abs(value))))
    text = f"{value:,.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def scaled(value: float, unit: str) -> str:
    for size, prefix in PARTS:
        if abs(value) >= size or size == PARTS[-1][0] and value != 0.0:
            return f"{digits(value / size)} {prefix}{unit}"
    return f"0 {unit}"


def shown(value: float | None, unit: str) -> str:
    if value is None:
        return "-"
    if unit == "core":
        return f"{digits(100.0 * value)}% of a core" if value < 10.0 else f"{digits(value)} cores"
    if unit in ("bytes", "bytes/s"):
        words = unit.replace("bytes", "B")
        return scaled(value, words) if abs(value) >= 1.0 else f"{digits(value)} {words}"
    if unit == "s":
        return f"{digits(value)} s" if value >= 1.0 else scaled(value, "s")
    return f"{digits(value)} {unit}".strip()  # a plain count, or one of things


def percent(value: float) -> str:
    return f"{digits(100.0 * value)}%"


def sizes_of(sizes: Iterable[float]) -> str:
    return ", ".join(f"{x:,g}" for x in sizes)


def table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(heads) + " |", "|" + " --- |" * len(heads)]
    lines += ["| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows]
    return "\n".join(lines)


# ---- tables ------------------------------------------------------------------------------------------------


def headroom_table(book: Book, target: Target) -> str:
    heads = (
        "role",
        "what",
        "slope: figure = intercept + slope x size",
        "residual, largest and rms",
        "measured at",
        "needed at the size",
        "allowed",
        "headroom",
        "carried by",
        "by",
    )
    return table(heads, [_headroom(row, book, commands_of(book)) for row in rows_of(NEEDS, book, target)])


def _headroom(row: Row, book: Book, numbers: dict[str, int]) -> tuple[str, ...]:
    need, unit = row.need, book.unit(row.need.select)
    formula, residual = "-", "-"
    one = "s" if need.unit == "core" and need.often else need.unit  # seconds each time, or of each second
    if row.line is None and row.sizes:
        there = book.at(need.select, need.figure, row.sizes[0])
        formula = f"{shown(there, one)} at {row.sizes[0]:,g}; {row.why}"
    if row.line is not None:
        sign = "-" if row.line.slope < 0.0 else "+"
        formula = f"{shown(row.line.intercept, one)} {sign} {shown(abs(row.line.slope), one)} x {unit}"
        residual = f"{percent(row.line.largest)}, {percent(row.line.rms)}"
        if two_sizes_only(row.line):
            residual = "two sizes: none"
    if need.often and row.needed is not None:
        formula += f"; {digits(row.times)} {need.often}"
    room = "-" if row.room is None else "without end" if math.isinf(row.room) else digits(row.room)
    needed = f"{shown(row.needed, need.unit)}" if row.needed is not None else row.why
    at = f" ({row.size:,.0f} {unit})" if row.needed is not None else ""
    allowed = shown(row.allowed, need.unit) if row.allowed is not None else "no limit stated"
    by = ", ".join(str(numbers[c]) for c in row.commands)
    return (
        need.role,
        need.what,
        formula,
        residual,
        sizes_of(row.sizes) or "-",
        needed + at,
        allowed,
        room,
        need.carried,
        by or "-",
    )


def failures_table(book: Book, target: Target) -> str:
    costs, bare = costs_of(LOSSES, book, target), costs_of(without(LOSSES), book, target)
    heads = (
        "failure",
        "what stops",
        "times a year",
        "for how long",
        "share of service lost meanwhile",
        "lost in a year, of all service",
        "carried by",
        "by",
    )
    numbers, first = commands_of(book), first_missing(costs)
    rows = [(cost.a_year or -1.0, _cost(cost, numbers)) for cost in costs]
    if first is None:  # what the mechanisms that are there carry, where a site does not use them
        rows += [(c.a_year or -1.0, _cost(c, numbers, "where it is not used")) for c in bare]
    rows.sort(key=lambda row: -row[0])
    text = table(heads, [cells for _, cells in rows]) + "\n\n"
    others = [c.a_year for c in costs if c.a_year is not None and not c.loss.without]
    if first is not None:
        text += f"**First missing mechanism: {first.loss.missing}**, at "
    elif (first := first_missing(bare)) is not None:
        text += f"The first missing mechanism was **{first.loss.missing}**; it is there now. Without it: "
    else:
        return text + "No failure that was measured is without a mechanism."
    text += f"{digits(first.a_year or 0.0)} s of all service a year."
    if others:
        often = digits(max(others) / (first.a_year or 1.0) * first.failure.per_year)
        text += f" The next failure costs {digits(max(others))} s: "
        text += f"{first.failure.name.replace('-', ' ')} comes first from {often} times a year on."
    return text


def _cost(cost: Cost, numbers: dict[str, int], unused: str = "") -> tuple[str, ...]:
    failure = cost.failure
    name = f"{failure.name.replace('-', ' ')}: {failure.reading}"
    carried = f"{cost.loss.missing}, {unused}" if unused else cost.carried
    by = ", ".join(str(numbers[c]) for c in cost.commands) or "-"
    times = digits(failure.per_year)
    if cost.a_year is None or cost.length is None or cost.share is None:
        return name, cost.loss.stops, times, UNMEASURED, UNMEASURED, UNMEASURED, carried, by
    of_year = cost.a_year / (365.0 * 86_400.0)
    return (
        name,
        cost.loss.stops,
        times,
        shown(cost.length, "s"),
        f"{digits(100 * cost.share)}%",
        f"{digits(cost.a_year)} s ({digits(1e6 * of_year)} millionths)",
        carried,
        by,
    )


def before_table(book: Book, target: Target) -> str:
    rows = []
    for before in BEFORE:
        now = before.now(book, target)
        told = UNMEASURED if now is None else shown(now, before.unit)
        rows.append((before.what, before.told, told, verdict(before, now)))
    return table(("what", "figure before", "measured now", "verdict"), rows)


def target_table(book: Book, target: Target) -> str:
    each, lowest = target.connections_each, target.topic_words
    control = target.control
    rows = [
        ("gateways", digits(target.gateways), ""),
        ("connections held", f"{target.connections:,}", f"{each:,.0f} at a gateway"),
        ("shards of topics", f"{target.shards:,}", f"{target.shards / target.gateways:,.0f} at a gateway"),
        (
            "largest topic",
            f"{target.largest_topic:,} listeners",
            f"one word to all of them is {lowest[0]:,.0f} deliveries at each gateway "
            f"where it is spread evenly, {scaled(lowest[1], 'deliveries/s')} where all are at one",
        ),
        (
            "deliveries",
            f"{digits(target.deliveries_per_s / 1e6)} million a second",
            f"{target.deliveries_each:,.0f} a second at a gateway; {percent(target.delivery_share)} within "
            f"{shown(target.delivery_within_s, 's')}",
        ),
        ("regions, zones", f"{target.regions}, {target.zones}", "equal ones, as a reading"),
        (
            "changes of configuration",
            f"{target.changes_per_day:,.0f} a day",
            f"in force everywhere within {shown(target.change_within_s, 's')}",
        ),
        (
            "control, of a gateway",
            f"{shown(control.cpu_s_per_s, 'core')}, "
            f"{shown(control.memory_bytes, 'bytes')}, {shown(control.bytes_per_s, 'bytes/s')}",
            f"{control.machines} machines set aside for it",
        ),
    ]
    return table(("what", "the letter", "at one gateway, and so on"), rows)


def split_table(book: Book, target: Target) -> str:
    shares = (
        "before_share",
        "first_15_s_share",
        "after_15_s_share",
        "worst_5_s_after_15_s_share",
        "healed_first_10_s_share",
        "healed_next_10_s_share",
    )
    rows = []
    for name, result in book.kept.items():
        for p in result.points:
            select, f = Select(p.kind, p.role, p.mechanism, p.phase), p.figures
            if select in (SPLIT, SPLIT_REGIONS):
                rows.append(
                    (
                        name,
                        "stated" if select == SPLIT_REGIONS else "none",
                        *(digits(f[key]) for key in shares),
                        f"{f['sides_that_own_all']:g} of 2",
                        f"{f['windows_over_the_whole']:g}",
                        digits(p.load1),
                    )
                )
    heads = (
        "kept as",
        "regions",
        "before",
        "first 15 s",
        "from 15 s to the end",
        "worst 5 s of that",
        "10 s after",
        "next 10 s",
        "sides that own their duties",
        "breaches of a budget",
        "load",
    )
    return table(heads, rows)


def deaths_table(book: Book, target: Target) -> str:
    rows = []
    for name, result in book.kept.items():
        for p in result.points:
            f = p.figures
            if p.mechanism == SPLIT.mechanism and "lost_gateway_s" in f:
                rows.append(
                    (
                        name,
                        p.phase.replace("-", " "),
                        shown(f["lost_gateway_s"], "s"),
                        percent(f["share"]),
                        shown(p.seconds, "s"),
                        shown(f["lease_s"], "s"),
                        f"{f.get('windows_over_the_whole', 0):g}",
                        digits(p.load1),
                    )
                )
    if not rows:
        return "Not measured yet."
    heads = (
        "kept as",
        "what",
        "lost, of one gateway's part",
        "let in meanwhile, of what was before",
        "over",
        "lease",
        "breaches of a budget, whole run",
        "load",
    )
    return table(heads, rows)


def beside_table(book: Book, target: Target) -> str:
    """Hollow members beside real ones in the same run, by phase and size."""
    rows = []
    for select, sizes in book.found.items():
        if (select.mechanism, select.kind, select.role) != ("all", "real", "control"):
            continue
        other = Select("hollow", "control", "all", select.phase)
        for size in sorted(sizes):
            cells = []
            for figure, unit in (
                ("bytes_per_s", "bytes/s"),
                ("messages_per_s", ""),
                ("cpu_s_per_s", "core"),
                ("memory_bytes", "bytes"),
            ):
                both = [book.at(s, figure, size) for s in (select, other)]
                cells += [" / ".join(shown(v, unit) for v in both)]
            rows.append((select.phase, f"{size:,g}", *cells))
    if not rows:
        return "Not measured yet: no run with hollow gateways beside real ones is kept."
    heads = ("phase", "members", "bytes, real / hollow", "messages a second", "CPU", "memory")
    return table(heads, sorted(rows, key=lambda r: (float(r[1].replace(",", "")), r[0])))


def commands_of(book: Book) -> dict[str, int]:
    """Numbers of the commands, in the order in which they were run."""
    return {c: n + 1 for n, c in enumerate(dict.fromkeys(r.command for r in book.kept.values()))}


def kept_table(book: Book, target: Target) -> str:
    numbers, rows = commands_of(book), []
    for name, result in book.kept.items():
        loads = [p.load1 for p in result.points]
        machine = result.machine
        rows.append(
            (
                str(numbers[result.command]),
                f"`{result.command}`",
                name,
                result.at,
                f"{machine.cores} cores, {scaled(machine.memory_bytes, 'B')}",
                f"{digits(min(loads))} to {digits(max(loads))}",
                str(len(result.points)),
            )
        )
    return table(("by", "command", "kept as", "when (UTC)", "machine", "load beside it", "points"), rows)


TABLES: dict[str, Callable[[Book, Target], str]] = {
    "target": target_table,
    "failures": failures_table,
    "headroom": headroom_table,
    "before": before_table,
    "split": split_table,
    "deaths": deaths_table,
    "beside": beside_table,
    "kept": kept_table,
}


# ---- the page ----------------------------------------------------------------------------------------------


def filled(page: str, tables: dict[str, str], name: str) -> str:
    """The page with each table between its markers. Raises `BadInput` for markers that are not right."""
    out, met, inside = [], list[str](), ""
    for number, line in enumerate(page.splitlines(), 1):
        mark = MARK.fullmatch(line.strip())
        if mark is not None:
            if inside:
                raise BadInput(f"{name}:{number}: {inside!r} has no {CLOSE!r} before the next mark")
            inside = mark[1]
            if inside not in tables:
                raise BadInput(f"{name}:{number}: no table is called {inside!r}: {', '.join(tables)}")
            if inside in met:
                raise BadInput(f"{name}:{number}: {inside!r} is there twice")
            met.append(inside)
            out += [line, "", tables[inside], "", CLOSE]
        elif line.strip() == CLOSE:
            if not inside:
                raise BadInput(f"{name}:{number}: an end without a mark before it")
            inside = ""
        elif not inside:
            out.append(line)
    if inside:
        raise BadInput(f"{name}: {inside!r} has no {CLOSE!r}")
    if missing := [t for t in tables if t not in met]:
        raise BadInput(f"{name}: no mark for {', '.join(missing)}")
    return "\n".join(out) + "\n"


def made(docs: Path) -> str:
    """The page as the kept results and the target under `docs` make it."""
    book, target = Book(read_all(docs / KEPT)), read_target(docs / TARGET)
    try:
        page = (docs / PAGE).read_text("utf-8")
    except OSError as problem:
        raise BadInput(f"{docs / PAGE}: cannot be read: {problem.strerror}") from None
    return filled(page, {name: make(book, target) for name, make in TABLES.items()}, str(docs / PAGE))


def written(docs: Path, check: bool = False) -> bool:
    """Makes the page anew; whether it was as it is to be. `check`: nothing is written."""
    page, text = docs / PAGE, made(docs)
    same = page.read_text("utf-8") == text
    if not same and not check:
        page.write_text(text, "utf-8")
    return same
