"""The configuration language: messages for broken files, and properties that hold for every text."""

import json
import os
import random
import sys
import tracemalloc
from collections.abc import Callable
from fractions import Fraction
from pathlib import Path
from types import FrameType
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.config import BadInput, read_site
from ledgehitch.config import day as days
from ledgehitch.config import site as sites
from ledgehitch.config.change import (
    Apply,
    Keep,
    Refuse,
    Reloads,
    Version,
    apply_changes,
    changes,
    leaves,
    placement_steps,
)
from ledgehitch.config.evaluate import Evaluation, plain_data
from ledgehitch.config.explain import find_vertex, origins, reference
from ledgehitch.config.layout import format_text
from ledgehitch.config.load import Loaded, digest_of, load, load_text, schema
from ledgehitch.config.quantities import Quantity, format_quantity, parse_quantity
from ledgehitch.config.syntax import MAX_FILE_BYTES, Malformed
from ledgehitch.config.values import Conflict, Value, bound, choice, exact_value, meet, of_kind

GOOD = """\
name: "demo"
ladder: [{ kb: 150kB/s, earns: 25% }, { kb: 300kB/s, earns: 50% }, { kb: 1200kB/s, earns: 100% }]
#Quick: { patience: 3s, join_target: 800ms }
packages: {
	recorded: #Quick
	live: #Quick & { value: 3 }
}
fleet: { link_unit: 6MB/s, slots: { std: 60 } }
terms: warm_up: 6s
pools: all: { first: 0, spread: 3 }
routes: easter: { titles: ["lamb", "tsoureki"], pool: "all" }
titles: other: { first: 1, spread: 2 }
racks: [rack=string]: { uplink: 14MB/s, hosts: [host=string]: zone: "hall-\\(rack)" }
racks: a: hosts: { h0: at: "127.0.0.1:0", h1: at: "127.0.0.1:0" }
racks: b: hosts: { h2: at: "127.0.0.1:0" }
gateways: g0: { at: "127.0.0.1:8080" }
list_at: "127.0.0.1:8081"
"""

# Text to replace, its replacement, and the position (line:column) and part of the message that are expected.
BROKEN: list[tuple[str, str, str, str]] = [
    ("warm_up: 6s", "warm_up: 6", "9:17", "6 has no unit; a duration is meant, as 800ms, 3s, 2min"),
    ("warm_up: 6s", "warm_up: 6sec", "9:17", "'sec' is no unit; units are: duration us, ms, s"),
    ("warm_up: 6s", "warm_up: 1h30min", "9:17", "1h30min has two units"),
    ("warm_up: 6s", "warm_up: -6s", "9:18", "-6s is not >0s"),
    ("warm_up: 6s", "warm_up: 1e400s", "9:17", "larger or finer than any number"),
    ("warm_up: 6s", "warm_up: 6MB/s", "9:17", "6MB/s is a rate; a duration is meant"),
    ("warm_up: 6s", "warm_up: 60%", "9:17", "60% is a share; a duration is meant"),
    ("warm_up: 6s", 'warm_up: "6s"', "9:17", '"6s" is a string, a duration as'),
    ("warm_up: 6s", "warm_up: true", "9:17", "true is a bool"),
    ("warm_up: 6s", "warm_up: { s: 6 }", "9:19", "is a record or list in one place and not in another"),
    ("warm_up: 6s", "warm_upp: 6s", "9:8", "#Terms has no field 'warm_upp' (is 'warm_up' meant?)"),
    ("warm_up: 6s", "cold_share: 0.3", "9:20", "0.3 has no unit; a share is meant, as 95%"),
    ("warm_up: 6s", "cold_share: 130%", "9:20", "130% is not"),
    ("warm_up: 6s", "tune_ins: 2.5", "9:18", "2.5 is no whole number"),
    ("warm_up: 6s", "tune_ins: 0", "9:18", "0 is not int & >=1"),
    ("warm_up: 6s", "tune_ins: 3s", "9:18", "a bare number is meant"),
    ("warm_up: 6s", "warm_up: 6s + 1", "9:22", "6s + 1: a duration and a number cannot be added"),
    ("warm_up: 6s", "warm_up: 6s * 2s", "9:22", "make nothing known"),
    ("warm_up: 6s", "warm_up: 6s / 0", "9:22", "division by zero"),
    ("warm_up: 6s", "warm_up: 6s & 7s", "9:22", "terms.warm_up: 6s and 7s are different"),
    ("warm_up: 6s", "warm_up: 6s\nterms: warm_up: 7s", "10:17", "6s and 7s are different (text:9:17 says 6s"),
    (
        "join_target: 800ms",
        "join_target: >=2s",
        "3:38",
        "packages.recorded.join_target is not given; it is >=2s",
    ),
    ("warm_up: 6s", "warm_up: longer", "9:17", "nothing is called 'longer' here"),
    ("warm_up: 6s", "warm_up: list_att", "9:17", "nothing is called 'list_att' here (is 'list_at' meant?)"),
    ("warm_up: 6s", "warm_up: pools.all.frist", "9:17", "pools.all has no field 'frist' (is 'first' meant?)"),
    ("warm_up: 6s", "warm_up: terms.warm_up", "9:17", "itself"),
    ("warm_up: 6s", "warm_up: 6s | { a: 1 }", "9:24", "a choice is between plain values"),
    ("warm_up: 6s", "warm_up: )", "9:17", "')' is not expected here"),
    ("warm_up: 6s", "warm_up:", "10:1", "record or list in one place and not in another"),
    ("warm_up: 6s", "warm_up 6s", "9:16", "'6s' is not expected here (what can follow: "),
    ("warm_up: 6s", "warm_up: $", "9:17", "'$' has no meaning here"),
    ("warm_up: 6s", 'warm_up: "6s', "9:17", "this string does not end on its line"),
    ('name: "demo"', 'name: "de\\qmo"', "1:7", "in this string: Invalid \\escape"),
    ('name: "demo"', 'name: "de\\(nobody)mo"', "1:12", "nothing is called 'nobody' here"),
    ('name: "demo"', "name: 7", "1:7", "7 is a number, a string is meant"),
    ('name: "demo"', "", "1:1", "name is not given; it is string"),
    ('name: "demo"', 'naem: "demo"', "1:1", "#Site has no field 'naem' (is 'name' meant?)"),
    ('name: "demo"', 'name: "demo"\nname: "other"', "2:7", '"demo" and "other" are different'),
    ('name: "demo"', 'name: "d e"', "1:1", "Expected `str` matching regex"),
    ("{ kb: 300kB/s", "{ kb: 100kB/s", "2:45", "ladder.1.kb: rungs must rise, 100 kB/s follows 150 kB/s"),
    ("{ kb: 300kB/s", "{ kb: 300", "2:45", "300 has no unit; a rate is meant, as 450kB/s, 3MB/s"),
    ("earns: 25%", "earns: 0.25", "2:32", "ladder.0.earns: 0.25 has no unit"),
    ("earns: 25% }", "earns: 25%, colour: 1 }", "2:37", "#Rung has no field 'colour' (there are earns, kb)"),
    ("#Quick & { value: 3 }", "#Quick & { value: 0 }", "6:26", "packages.live.value: 0 is not"),
    (
        "#Quick & { value: 3 }",
        "#Quick & { patience: 4s }",
        "3:21",
        "4s and 3s are different (text:6:29 says 4s",
    ),
    ("#Quick & { value: 3 }", "#Quikc", "6:8", "nothing is called '#Quikc' here (is '#Quick' meant?)"),
    (
        "#Quick & { value: 3 }",
        '#Quick & { effect: "never" }',
        "6:27",
        'is none of "by_key", "once", "repeatable"',
    ),
    (
        "#Quick & { value: 3 }",
        "#Quick & { floor: 7 }",
        "6:26",
        "packages.live.floor: rung 7 is above the highest, 2",
    ),
    ("#Quick & { value: 3 }", "#Quick & { floor: 1, top: 0 }", "6:26", "rung 1 is above the highest, 0"),
    ("#Quick & { value: 3 }", '#Quick & { effect: "by_key" }', "1:1", "needs a window above 0"),
    (
        "join_target: 800ms",
        "join_target: 8s",
        "3:38",
        "packages.recorded.join_target: the join target is longer",
    ),
    (
        "#Quick: { patience: 3s",
        "#Quick: { again: #Quick, patience: 3s",
        "3:18",
        "#Quick holds itself and never ends",
    ),
    ("#Quick: { patience", "#A: #B\n#B: #A\n#Quick: { patience", "3:5", "itself"),
    ('pool: "all"', 'pool: "al"', "11:55", "routes.easter.pool: no pool 'al' (is 'all' meant?)"),
    ('"tsoureki"]', '"lamb"]', "11:36", "'lamb' is placed by route easter already"),
    ('"tsoureki"]', '"other"]', "11:36", "'other' is placed by titles already"),
    ('["lamb", "tsoureki"]', '"lamb"', "11:27", "record or list in one place and not in another"),
    (
        "{ first: 1, spread: 2 }",
        "{ first: 9, spread: 2 }",
        "12:25",
        "titles.other.first: 9 is no cell, there are 4",
    ),
    ("{ first: 1, spread: 2 }", "{ first: 1 }", "12:18", "titles.other.spread is not given"),
    ("b: hosts: { h2", "b: hosts: { h1", "15:24", "'h1' stands in rack a already"),
    ("h2: at:", 'h2: kind: "big", h2: at:', "15:30", "no places are given for 'big' (known are std)"),
    ("uplink: 14MB/s, ", "", "14:11", "racks.a.uplink is not given; it is"),
    ("h1: at:", "h1: weihgt: 2, h1: at:", "14:47", "has no field 'weihgt' (is 'weight' meant?)"),
    ("gateways: g0: {", "gateways: g0: { prot: 1,", "16:17", "#Gateway has no field 'prot'"),
    ("gateways: g0", "#gateways: g0", "1:1", "gateways: there must be one at least"),
    ("list_at:", 'include "other.lh"\nlist_at:', "17:9", "a text that is no file cannot include others"),
    ("}\nfleet", "\nfleet", "17:26", "the text ends inside a record, list or value"),
]


def messages(loaded: Loaded) -> str:
    return "\n".join(m.describe() for m in loaded.mistakes)


def test_valid_file_compiles_to_site() -> None:
    loaded = load_text(GOOD)
    assert messages(loaded) == "" and loaded.site is not None
    site = loaded.site
    assert [(h.name, h.cell, h.zone) for h in site.hosts] == [
        ("h0", 0, "hall-a"),
        ("h2", 1, "hall-b"),
        ("h1", 2, "hall-a"),
    ]
    assert (site.fleet.cells, site.fleet.racks, site.fleet.uplink_kb) == (4, 2, 14000.0)
    assert site.titles["lamb"].spread == 3 and site.terms.warm_up == 6.0 and site.terms.drain_grace == 1.0
    assert [p.value for p in site.packages] == [1.0, 3.0]


@pytest.mark.parametrize(("old", "new", "at", "expected"), BROKEN)
def test_mistake_has_position_and_reason(old: str, new: str, at: str, expected: str) -> None:
    assert old in GOOD
    reported = messages(load_text(GOOD.replace(old, new, 1)))
    assert expected in reported, reported
    assert f"text:{at}:" in reported, reported


def test_many_mistakes_are_reported_at_once() -> None:
    text = (
        GOOD.replace("6s", "6").replace('["lamb"', "[7").replace("#Rung", "").replace("first: 1", "frist: 1")
    )
    reported = messages(load_text(text + "\noops oops\nname: 3\n"))
    for expected in ("6 has no unit", "7 is a number", "'frist'", "'oops' is not expected", "name: "):
        assert expected in reported, reported


def test_mistakes_in_includes_encoding_and_limits(tmp_path: Path) -> None:
    root = tmp_path / "site"
    root.mkdir()

    def mistakes_in(name: str) -> str:
        return messages(load(root / name))

    def write(name: str, text: str) -> None:
        (root / name).write_text(text)

    write("one.lh", 'include "one.lh"\n')
    assert "one.lh:1:9: files include one another in a loop: one.lh -> one.lh" in mistakes_in("one.lh")
    write("a.lh", 'include "b.lh"\n')
    write("b.lh", 'include "a.lh"\n')
    assert "a.lh -> b.lh -> a.lh" in mistakes_in("a.lh")
    for i in range(5):
        write(f"l{i}.lh", f'include "l{(i + 1) % 5}.lh"\n')
    assert "l0.lh -> l1.lh -> l2.lh -> l3.lh -> l4.lh -> l0.lh" in mistakes_in("l0.lh")
    write("twice.lh", 'include "part.lh"\ninclude "part.lh"\ninclude "p*.lh"\n')
    write("part.lh", GOOD)
    assert mistakes_in("twice.lh") == "", "a file that is included twice counts once"
    write("none.lh", 'include "nothing*.lh"\ninclude "/etc/passwd"\ninclude "missing.lh"\n')
    out = mistakes_in("none.lh")
    assert "no file is called 'nothing*.lh'" in out and "relative to its own file" in out
    assert "missing.lh cannot be read: No such file" in out
    (tmp_path / "outside.lh").write_text(GOOD)
    write("up.lh", 'include "../outside.lh"\n')
    assert "lies outside site/, where the first file is" in mistakes_in("up.lh")
    os.symlink(tmp_path / "outside.lh", root / "link.lh")
    write("via.lh", 'include "link.lh"\n')
    assert "link.lh lies outside site/" in mistakes_in("via.lh")
    (root / "bytes.lh").write_bytes(b'name: "x"\n\xff\n')
    assert "bytes.lh:2:1: byte 10 is not UTF-8" in mistakes_in("bytes.lh")
    write("cut.lh", GOOD[: len(GOOD) // 2])
    assert mistakes_in("cut.lh")
    write("big.lh", "// " + "x" * (10 << 20))
    assert f"a file may have {MAX_FILE_BYTES}; split it" in mistakes_in("big.lh")
    write("deep.lh", "a: " + "{ a: " * 10000 + "1" + "}" * 10000)
    assert "deep.lh:1:1: more than 60 records and lists inside one another" in mistakes_in("deep.lh")
    for i, value in enumerate(("3s", "4s", "5s")):
        write(f"c{i}.lh", f"terms: warm_up: {value}\n")
    write("three.lh", GOOD.replace("terms: warm_up: 6s", "") + 'include "c*.lh"\n')
    out = mistakes_in("three.lh")
    assert "c1.lh:1:17: terms.warm_up: 3s and 4s are different (c0.lh:1:17 says 3s" in out


def test_file_replaced_during_read_is_read_again(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "s.lh"
    path.write_text(GOOD.replace("6s", "5s"))
    real, swapped = os.stat, list[int]()

    def stat(target: Any, **more: Any) -> Any:
        result = real(target, **more)
        if target == path and not swapped:
            swapped.append(1)
            new = tmp_path / "new"
            new.write_text(GOOD + "// longer\n")
            os.replace(new, path)
        return result

    monkeypatch.setattr("ledgehitch.config.load.os.stat", stat)
    loaded = load(path)
    assert messages(loaded) == "" and loaded.data["terms"]["warm_up"] == 6


def test_definition_with_unbounded_expansion_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ledgehitch.config.evaluate.MAX_VERTICES", 20_000)
    grows = (
        "".join(f"#D{i}: {{ a: #D{i + 1}, b: #D{i + 1}, c: #D{i + 1} }}\n" for i in range(14))
        + "#D14: { x: 1 }\n"
    )
    reported = messages(load_text(grows + "y: #D0\n", kind=""))
    assert "expands to more than 20000 places" in reported
    assert "holds itself and never ends" in messages(
        load_text("#A: { n: #B }\n#B: { n: #A }\ny: #A\n", kind="")
    )


# ---- values ------------------------------------------------------------------------------------------------

POINTS = [Quantity(Fraction(n, 2), k) for n in range(-4, 9) for k in ("number", "duration")] + [
    "a",
    "b",
    "c",
    True,
    None,
]
atoms = st.one_of(
    st.sampled_from(POINTS).map(lambda p: exact_value(p)),
    st.sampled_from(["number", "int", "duration", "string", "bool"]).map(of_kind),
    st.tuples(st.sampled_from([">=", "<=", ">", "<", "!="]), st.sampled_from(POINTS[:26])).map(
        lambda t: bound(*t)
    ),
    st.sampled_from(["a", "b"]).map(lambda s: bound("!=", s)),
)
values = st.one_of(atoms, st.lists(st.tuples(st.booleans(), atoms), min_size=1, max_size=3).map(choice))


def allows(value: Value, point: Any) -> bool:
    """Reference implementation: returns whether a value allows one exact point, by each alternative."""
    for alt in value.alternatives:
        kind = (
            point.kind
            if isinstance(point, Quantity)
            else ("bool" if isinstance(point, bool) else "string" if isinstance(point, str) else "null")
        )
        if alt.kind and alt.kind != kind or alt.is_exact and alt.exact != point:
            continue
        if alt.is_exact and isinstance(alt.exact, bool) != isinstance(point, bool):
            continue
        if not isinstance(point, Quantity):
            if alt.low is None and alt.high is None and not alt.is_integer and point not in alt.excluded:
                return True
            continue
        number = point.value
        if alt.low is not None and (number < alt.low or number == alt.low and alt.low_open):
            continue
        if alt.high is not None and (number > alt.high or number == alt.high and alt.high_open):
            continue
        if alt.is_integer and number.denominator != 1 or number in alt.excluded:
            continue
        return True
    return False


def meet_or_none(a: Value | None, b: Value | None) -> Value | None:
    if a is None or b is None:
        return None
    try:
        return meet(a, b)
    except Conflict:
        return None


@settings(max_examples=400, deadline=None, derandomize=True)
@given(values, values, values)
def test_meet_is_commutative_associative_idempotent_and_agrees_with_reference(
    a: Value, b: Value, c: Value
) -> None:
    assert meet_or_none(a, b) == meet_or_none(b, a)
    assert meet_or_none(a, a) == a or meet_or_none(meet_or_none(a, a), a) == meet_or_none(a, a)
    left, right = meet_or_none(meet_or_none(a, b), c), meet_or_none(a, meet_or_none(b, c))
    for point in POINTS:
        both = allows(a, point) and allows(b, point)
        one = meet_or_none(a, b)
        assert (one is not None and allows(one, point)) == both, (point, str(a), str(b), str(one))
        assert (left is not None and allows(left, point)) == (right is not None and allows(right, point))


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.randoms(use_true_random=False))
def test_order_of_statements_makes_no_difference(rng: random.Random) -> None:
    parts = GOOD.split("\n", 7)
    head = "\n".join(parts[3:7])
    statements = [*parts[:3], head, *parts[7].splitlines()]
    rng.shuffle(statements)
    again = load_text("\n".join([*statements, rng.choice(statements)]))
    assert messages(again) == "" and again.digest() == load_text(GOOD).digest()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.fractions(0, 10**6, max_denominator=1000), st.sampled_from(["duration", "rate", "size", "share"]))
def test_formatted_quantity_parses_to_same_value(value: Fraction, kind: str) -> None:
    text = format_quantity(Quantity(value, kind))
    if value:
        assert abs(parse_quantity(text).value - value) <= max(value, Fraction(1)) / 10**6, text


# ---- format, changes, fuzz ---------------------------------------------------------------------------------

PIECES = [
    " ",
    "\n",
    "\n\n\n",
    "// note\n",
    "\t",
    "{",
    "}",
    "[",
    "]",
    ",",
    ":",
    "a",
    "#A",
    '"s"',
    "3s",
    "5",
    "*",
    "|",
    "&",
    ">=",
    "include",
    "...",
    "?",
    "=",
    "string",
    "(",
    ")",
    "-",
    "+",
    ".",
    "95%",
    "true",
]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.sampled_from(PIECES), max_size=12), st.integers(0, len(GOOD)), st.integers(0, 6))
def test_formatter_is_idempotent_and_keeps_meaning(pieces: list[str], at: int, removed: int) -> None:
    text = GOOD[:at] + "".join(pieces) + GOOD[at + removed :]
    before = load_text(text)
    try:
        new = format_text(text)
    except Malformed:
        assert before.mistakes
        return
    assert format_text(new) == new
    after = load_text(new)
    assert bool(after.mistakes) == bool(before.mistakes)
    assert after.data == before.data
    assert text.count("//") == new.count("//") and text.count("note") == new.count("note")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.one_of(
        st.binary(max_size=300),
        st.lists(st.sampled_from(PIECES), max_size=60).map(lambda p: "".join(p).encode()),
    )
)
def test_any_bytes_are_parsed_or_rejected(data: bytes) -> None:
    loaded = load_text(data.decode("utf-8", "replace"))
    assert loaded.mistakes and all(m.at.line >= 1 and m.reason for m in loaded.mistakes)


@pytest.mark.parametrize("text", ["racks: ... [r=string]: 1", "a: ...", "a: b: ... c: 1", "x: [...] & {...}"])
def test_texts_that_crashed_in_fuzzing(text: str) -> None:
    loaded = load_text(text)
    assert loaded.mistakes and all(m.at.line == 1 for m in loaded.mistakes)


def test_formatter_on_unformatted_file() -> None:
    messy = 'name:"demo"   // who\n\n\n\nterms :{warm_up:6s,\n   cold_share :  30%\n}\nx:*1|>=2&<-3\n'
    assert format_text(messy) == (
        'name: "demo" // who\n\nterms: { warm_up: 6s,\n\tcold_share: 30%\n}\nx: *1 | >=2 & <-3\n'
    )


def test_changes_are_empty_for_equal_data_and_turn_one_version_into_the_other() -> None:
    a = load_text(GOOD).data
    b = load_text(
        GOOD.replace("warm_up: 6s", "warm_up: 9s, may_probe: true")
        .replace('"tsoureki"', '"melomakarona"')
        .replace("titles: other: { first: 1, spread: 2 }", "")
        .replace("h1: at", "h9: at")
        .replace("value: 3", "value: 3, seats: 4")
        .replace("patience: 3s", "patience: 2s")
    ).data
    assert changes(a, a) == []
    found_ = changes(a, b, {"other": 12})
    assert apply_changes(a, found_) == {".".join(p): v for p, v in leaves(b)}
    # A rack that was only renamed keeps its position: no change needs a restart and no title moves.
    c = {**a, "racks": {"east" if name == "b" else name: rack for name, rack in a["racks"].items()}}
    renamed = changes(a, c)
    assert {change.path.split(".")[1] for change in renamed} == {"b", "east"}
    assert {(change.effect, change.risk) for change in renamed} == {("at once", "")}
    by_path = {c.path: c for c in found_}
    assert by_path["terms.warm_up"].effect == "restart" and "rule 4" in by_path["terms.warm_up"].risk
    assert by_path["routes.easter.titles.1"].effect == "new viewings"
    assert "'other' is not placed any more" in by_path["titles.other.first"].risk
    assert "12 viewings hold it now" in by_path["titles.other.first"].risk
    assert "the cells after it move" in by_path["racks.a.hosts.h1.at"].risk
    assert (
        "seats" in by_path["packages.live.seats"].path
        and "hold more keep them" in by_path["packages.live.seats"].risk
    )
    assert "more of them blocked" in by_path["packages.recorded.patience"].risk


def test_origins_lists_every_statement_on_a_value() -> None:
    loaded = load_text(GOOD)
    assert loaded.vertex is not None
    vertex = find_vertex(loaded.evaluation, loaded.vertex, ["packages", "live", "patience"])
    assert vertex is not None
    said = list(origins(vertex))
    assert said[0] == ("text:3:21", "3s", "#Quick") and any(through == "#Package" for _, _, through in said)
    assert find_vertex(loaded.evaluation, loaded.vertex, ["packages", "gold"]) is None


def test_reference_page_matches_schema() -> None:
    page = Path(__file__).parent.parent / "docs" / "config-reference.md"
    assert page.read_text() == reference() + "\n", "outdated; regenerate it with: ledgehitch config reference"


def test_site_is_read_from_language_and_json(tmp_path: Path) -> None:
    path = tmp_path / "site.lh"
    path.write_text(GOOD)
    assert read_site(path).name == "demo"
    path.write_text(GOOD.replace("6s", "6"))
    with pytest.raises(BadInput, match="site.lh:9:17: .*6 has no unit"):
        read_site(path)
    as_json = load_text(json.dumps({"name": "x", "terms": {"warm_up": 6}}), "x.json")
    assert "name" not in messages(as_json) and "6 has no unit" not in messages(as_json)


def calls_and_bytes(work: Callable[[], object]) -> tuple[int, int]:
    """Returns the number of function calls (Python's and C's) during `work`, and its peak memory in bytes.

    Neither depends on the clock, on other processes, or on memory that this process allocated before.
    """
    calls = 0

    def count(frame: FrameType, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    tracemalloc.start()
    try:
        work()
        return calls, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


def test_work_of_check_grows_linearly_with_text(tmp_path: Path) -> None:
    def write(name: str, hosts: int, routes: int, files: int) -> Path:
        root = tmp_path / name
        (root / "parts").mkdir(parents=True)
        lines = [
            f'racks: r{i % 10}: hosts: host-{i}: {{ at: "127.0.0.1:{i}", weight: 2 }}' for i in range(hosts)
        ]
        lines += [f'routes: route-{i}: {{ titles: ["t{i}"], pool: "all" }}' for i in range(routes)]
        for i in range(files - 1):
            (root / "parts" / f"p{i:03}.lh").write_text("\n".join(lines[i :: files - 1]) + "\n")
        (root / "site.lh").write_text(GOOD + 'include "parts/*.lh"\n')
        return root / "site.lh"

    def check(path: Path) -> None:
        loaded = load(path)
        assert messages(loaded) == "" and loaded.site is not None

    small, large = write("small", 70, 150, 30), write("large", 700, 1500, 30)
    check(small)  # loads the schema, which is cached
    few, little = calls_and_bytes(lambda: check(small))
    many, much = calls_and_bytes(lambda: check(large))
    # Ten times the text needs ten times the work, and up to a fifth more for sorting.
    assert many < 12 * few, f"ten times the text took {many / few:.1f} times as many calls"
    assert much < 12 * little, f"ten times the text took {much / little:.1f} times as many bytes"


# ---- reloads -----------------------------------------------------------------------------------------------


def version(serial: int, **terms: Any) -> Version:
    spread = terms.pop("n", 1)
    data = {"terms": {"warm_up": 6, **terms}, "titles": {"a": {"first": 0, "spread": spread}}}
    return Version(serial, digest_of(data), data)


def take_decisions(reloads: Reloads) -> list[Any]:
    out = []
    while (decision := reloads.decide()) is not None:
        out.append(decision)
    return out


def test_reload_decisions_by_case() -> None:
    first, second, third = version(1), version(2, n=2), version(3, warm_up=9)
    reloads = Reloads(first)
    reloads.on_version(second, ["x.lh:1:1: wrong"])
    assert [type(d) for d in take_decisions(reloads)] == [Refuse] and reloads.running == first, (
        "a version with mistakes is refused as a whole"
    )
    reloads.on_version(second, [])
    assert take_decisions(reloads) == [Apply(second, ()), Keep(second)]
    reloads.on_version(third, [])
    assert take_decisions(reloads) == [Apply(third, ("terms.warm_up",)), Keep(third)], (
        "the decision module gets it after a restart"
    )
    reloads.on_version(second, [])
    assert [type(d) for d in take_decisions(reloads)] == [Refuse] and reloads.running == third, (
        "older than the newest version"
    )
    same = Version(4, third.digest, third.data)
    reloads.on_version(same, [])
    assert take_decisions(reloads) == [] and reloads.state()["lags"] is False, (
        "the running digest again: nothing to do"
    )
    reloads.on_drain(True)
    back = version(5)
    reloads.on_version(back, [])
    assert take_decisions(reloads) == [] and reloads.state()["lags"] is True, (
        "nothing is applied during a drain"
    )
    reloads.on_version(Version(6, third.digest, third.data), [])
    reloads.on_drain(False)
    assert take_decisions(reloads) == [] and reloads.running.serial == 6, (
        "a change reverted before it was applied has no effect"
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 12), st.integers(0, 3), st.booleans(), st.booleans()), max_size=25))
def test_reloads_never_go_back_and_end_at_newest_valid_version(
    steps: list[tuple[int, int, bool, bool]],
) -> None:
    reloads, newest = Reloads(version(0)), version(0)
    applied_serials: list[int] = [0]
    for serial, n, bad, drain in steps:
        one = version(serial, n=n)
        if not bad and serial > newest.serial:
            newest = one
        reloads.on_version(one, ["bad"] if bad else [])
        reloads.on_drain(drain)
        for decision in take_decisions(reloads):
            if isinstance(decision, Apply):
                applied_serials.append(decision.version.serial)
        assert applied_serials == sorted(applied_serials)
    reloads.on_drain(False)
    take_decisions(reloads)
    assert reloads.running.digest == newest.digest and not reloads.state()["lags"]


def test_schema_and_records_agree() -> None:
    """Fields, and defaults that both define, agree, so JSON and the language have the same meaning."""
    e = Evaluation()
    top = e.evaluate(e.root([schema()]))
    pairs: dict[str, Any] = {
        "#Package": sites.PackageRecord,
        "#Terms": sites.TermsRecord,
        "#Host": sites.HostRecord,
        "#Gateway": sites.GatewayRecord,
        "#Region": sites.RegionRecord,
        "#Fault": days.Fault,
        "#Mix": days.Mix,
        "#Arrivals": days.Arrivals,
        "#Shape": days.Shape,
        "#Day": days.Day,
    }
    for name, record in pairs.items():
        definition = e.evaluate(top.fields[name])
        fields = {f.name: f for f in msgspec.structs.fields(record)}
        own = {n for n in fields if n not in ("name", "cell")}
        assert own - set(definition.fields) <= set(), name
        assert set(definition.fields) - set(fields) == set(), name
        for field in sorted(own):
            default = fields[field].default
            exact = e.evaluate(definition.fields[field]).value.exact()
            if default is not msgspec.NODEFAULT and default is not None and exact is not None:
                found_ = plain_data(exact.exact)
                assert found_ == (pytest.approx(default) if isinstance(default, float) else default), field


def test_titles_are_placed_before_withdrawals_and_gateway_with_viewings_is_kept() -> None:
    a = load_text(GOOD).data
    b = load_text(GOOD.replace('"tsoureki"', '"melomakarona"').replace("first: 1", "first: 0")).data
    assert placement_steps(a, b) == (("place", "melomakarona"), ("move", "other"), ("withdraw", "tsoureki"))
    reloads = Reloads(Version(0, digest_of(a), a), "g0")
    removed = load_text(GOOD.replace("gateways: g0", "gateways: g7")).data
    reloads.on_version(Version(1, digest_of(removed), removed), [], viewing_count=3)
    assert [type(d) for d in take_decisions(reloads)] == [Refuse] and "drain it first" in reloads.last_refusal
    reloads.on_version(Version(2, digest_of(removed), removed), [], viewing_count=0)
    assert [type(d) for d in take_decisions(reloads)] == [Apply, Keep]
