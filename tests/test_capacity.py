"""The page on capacity: kept results, fits, tables made from them."""

import math
import re
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from ledgehitch.config import BadInput
from ledgehitch.scale.facts import Kept, Machine, Point, read_all, read_kept, write_kept
from ledgehitch.scale.needs import (
    FALLS,
    Before,
    Book,
    Need,
    Select,
    costs_of,
    first_missing,
    rows_of,
    verdict,
    worked_out,
)
from ledgehitch.scale.report import failures_table, filled, shown, written
from ledgehitch.scale.slopes import ONE_POINT, NoSlope, fitted, headroom, two_sizes_only
from ledgehitch.scale.tables import LOSSES
from ledgehitch.scale.target import read_target


def point(size: float, **figures: float) -> Point:
    return Point(
        role="control",
        mechanism="membership",
        phase="quiet",
        size=size,
        size_unit="gateways",
        figures=figures,
        load1=1.5,
        seconds=10.0,
    )


def kept(*points: Point, command: str = "measure") -> Kept:
    machine = Machine(cores=8, memory_bytes=1 << 34)
    return Kept(command=command, at="2026-01-02T03:04:05Z", machine=machine, points=list(points))


def test_a_kept_result_is_read_as_it_was_written(tmp_path: Path) -> None:
    whole = kept(point(100, cpu_s_per_s=0.1), point(200, cpu_s_per_s=0.25))
    write_kept(tmp_path / "kept" / "one.json", whole)
    assert read_kept(tmp_path / "kept" / "one.json") == whole
    assert read_all(tmp_path / "kept") == {"one": whole}


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('"load1":1.5,', '"load1":1.5,"more":1,', "points[1]: Object contains unknown field `more`"),
        ('"size":200', '"size":0', "points[1].size: Expected `float` > 0.0"),
        ('"role":"control"', '"role":"cook"', "points[1].role: Invalid enum value 'cook'"),
        ('"cpu_s_per_s":0.25', '"cpu s":0.25', "- at `key` in `$.points[1].figures`"),
        ('"cpu_s_per_s":0.25', "", "points[1].figures: Expected `object` of length >= 1"),
        ('"cpu_s_per_s":0.25', '"cpu_s_per_s":NaN', "not JSON"),
        (
            '"size_unit":"gateways"',
            '"size_unit":"rows"',
            "points[1].size_unit: 'rows', where an earlier point",
        ),
    ],
)
def test_what_is_wrong_in_a_kept_result_is_named_with_file_and_place(
    tmp_path: Path, old: str, new: str, told: str
) -> None:
    path = tmp_path / "one.json"
    write_kept(path, kept(point(100, cpu_s_per_s=0.1), point(200, cpu_s_per_s=0.25)))
    head, last = path.read_text().rsplit("\n  {", 1)
    assert old in last
    path.write_text(head + "\n  {" + last.replace(old, new, 1))
    with pytest.raises(BadInput) as problem:
        read_kept(path)
    assert str(path) in str(problem.value)
    assert told in str(problem.value)


def test_another_version_and_a_missing_directory_are_refused(tmp_path: Path) -> None:
    path = tmp_path / "one.json"
    write_kept(path, kept(point(100, cpu_s_per_s=0.1)))
    path.write_text(path.read_text().replace('"version": 1', '"version": 2'))
    with pytest.raises(BadInput, match="version"):
        read_kept(path)
    with pytest.raises(BadInput, match="no directory of kept results"):
        read_all(tmp_path / "none")


# ---- slopes ------------------------------------------------------------------------------------------------


def test_a_line_through_points_that_lie_on_one_is_that_line() -> None:
    line = fitted([(100, 250.0), (200, 450.0), (400, 850.0)])
    assert [line.slope, line.intercept] == pytest.approx([2.0, 50.0])
    assert line.largest == pytest.approx(0.0, abs=1e-9) and line.rms == pytest.approx(0.0, abs=1e-9)
    assert line.sizes == (100, 200, 400) and line.points == 3
    assert line.at(550) == pytest.approx(1150.0)
    assert line.beyond(550) == pytest.approx(1.375) and line.beyond(300) == 1.0


def test_points_beside_the_line_are_its_residual() -> None:
    # By hand: means 2 and 4, slope ((-1)(-3) + 0 + (1)(1)) / 2 = 2, so the line passes 2, 4, 6.
    line = fitted([(1, 1.0), (2, 6.0), (3, 5.0)])
    assert [line.slope, line.intercept] == pytest.approx([2.0, 0.0])
    assert line.largest == pytest.approx(2.0 / 4.0)  # 6 where the line has 4; the others are off by 1
    assert line.rms == pytest.approx((6.0 / 3.0) ** 0.5 / 4.0)


def test_several_points_at_one_size_count_each_and_weigh_the_line() -> None:
    line = fitted([(1, 0.0), (1, 2.0), (3, 5.0), (3, 5.0)])
    assert [line.slope, line.intercept] == pytest.approx([2.0, -1.0])
    assert line.points == 4 and two_sizes_only(line)


@pytest.mark.parametrize(
    ("points", "told"),
    [
        ([(100, 1.0)], ONE_POINT),
        ([(100, 1.0), (100, 3.0)], ONE_POINT),
        ([], "not measured"),
        ([(1, 1.0), (2, math.nan)], "no number"),
        ([(1, 1.0), (math.inf, 2.0)], "no number"),
    ],
)
def test_nothing_is_worked_out_from_one_size_or_from_no_number(
    points: list[tuple[float, float]], told: str
) -> None:
    with pytest.raises(NoSlope, match=told):
        fitted(points)


def test_headroom_is_allowed_over_needed() -> None:
    assert headroom(0.014, 0.028) == pytest.approx(0.5)
    assert headroom(24_000, 8_000) == pytest.approx(3.0)
    assert headroom(1.0, 0.0) == math.inf


# ---- the target --------------------------------------------------------------------------------------------

TARGET = Path(__file__).parents[1] / "docs" / "capacity" / "target.json"


def test_the_target_says_what_the_letter_says() -> None:
    target = read_target(TARGET)
    assert round(target.connections_each) == 72_727 and target.deliveries_each == 10_000
    assert target.shards / target.gateways == 200
    spread, at_one = target.topic_words
    assert round(spread) == 1455 and at_one == pytest.approx(2.76e6, rel=0.01)
    assert {f.name: f.per_year for f in target.failures}["machine"] == 730


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('"changes_per_day": 2200', '"changes_per_day": 0', "changes_per_day: Expected `float` > 0.0"),
        ('"shards": 110000', '"shards": 500', "shards: 500 are fewer than gateways"),
        (
            '"largest_topic": 800000',
            '"largest_topic": 50000000',
            "largest_topic: 50000000 listeners are more",
        ),
        ('"regions": 2', '"regions": 7', "zones: 6 zones cannot make 7 regions"),
        ('"zones": 6,', '"zones": 6, "halls": 2,', "unknown field `halls`"),
        ('"name": "zone"', '"name": "rack"', "failures[3].name: 'rack' is named twice"),
        ('"gateways": 92', '"gateways": 551', "failures[3].gateways: 551 are more than there are"),
        ('"length_s": 3600', '"length_s": 9000000', "failures[4].length_s: they last longer than a year"),
        ('"per_year": 730', '"per_year": -1', "failures[0].per_year: Expected `float` > 0.0"),
    ],
)
def test_what_is_wrong_in_the_target_is_named(tmp_path: Path, old: str, new: str, told: str) -> None:
    text, path = TARGET.read_text(), tmp_path / "target.json"
    assert text.count(old) == 1
    path.write_text(text.replace(old, new))
    with pytest.raises(BadInput) as problem:
        read_target(path)
    assert str(path) in str(problem.value) and told in str(problem.value)


# ---- what is needed, what failures cost --------------------------------------------------------------------

ALL_OF_IT = Select("real", "control", "membership", "quiet")


def need(allowed: float | None = 0.014, figure: str = "cpu_s_per_s") -> Need:
    limit = None if allowed is None else (lambda t: allowed)
    return Need("control", "what", ALL_OF_IT, figure, "core", lambda t: float(t.gateways), "it", limit)


def test_a_need_is_read_off_the_line_and_held_against_what_is_allowed() -> None:
    book = Book({"one": kept(point(100, cpu_s_per_s=0.002), point(300, cpu_s_per_s=0.006))})
    row = worked_out(need(), book, read_target(TARGET))
    assert row.needed == pytest.approx(0.011) and row.room == pytest.approx(0.014 / 0.011)
    assert row.sizes == (100, 300) and row.commands == ["measure"]
    twice = msgspec.structs.replace(need(), times=lambda t: 2.0)
    assert worked_out(twice, book, read_target(TARGET)).needed == pytest.approx(0.022)


def test_one_point_gives_no_figure_but_at_its_own_size() -> None:
    target = read_target(TARGET)
    row = worked_out(need(), Book({"one": kept(point(100, cpu_s_per_s=0.002))}), target)
    assert row.needed is None and row.room is None and row.why == ONE_POINT
    row = worked_out(need(), Book({"one": kept(point(550, cpu_s_per_s=0.002))}), target)
    assert row.needed == 0.002 and row.why == "measured at the size itself"
    row = worked_out(need(figure="memory_bytes"), Book({"one": kept(point(550, cpu_s_per_s=1.0))}), target)
    assert row.needed is None and row.why == "not measured"


def test_a_line_that_falls_to_nothing_before_the_size_gives_no_figure() -> None:
    book = Book({"one": kept(point(100, cpu_s_per_s=0.02), point(200, cpu_s_per_s=0.01))})
    row = worked_out(need(), book, read_target(TARGET))
    assert row.line is not None and row.needed is None and row.room is None and row.why == FALLS


def test_worst_headroom_comes_first_and_what_was_not_measured_last() -> None:
    book = Book({"one": kept(point(100, cpu_s_per_s=0.01), point(550, cpu_s_per_s=0.02))})
    needs = [need(figure="memory_bytes"), need(None), need(0.2), need(0.01), need(0.03)]
    rows = rows_of(needs, book, read_target(TARGET))
    assert [row.room for row in rows[:3]] == pytest.approx([0.5, 1.5, 10.0])
    assert [row.room for row in rows[3:]] == [None, None]
    assert rows[3].needed == pytest.approx(0.02) and rows[4].needed is None


def test_of_two_results_at_one_size_the_newer_counts_and_seeds_of_one_all_do() -> None:
    old = kept(point(100, cpu_s_per_s=1.0), point(200, cpu_s_per_s=2.0), command="old")
    twice = kept(point(100, cpu_s_per_s=3.0), point(100, cpu_s_per_s=5.0), command="new")
    new = msgspec.structs.replace(twice, at="2026-02-01T00:00:00Z")
    book = Book({"a-new": new, "b-old": old})
    assert book.points(ALL_OF_IT, "cpu_s_per_s") == [(100, 3.0), (100, 5.0), (200, 2.0)]
    assert set(book.commands(ALL_OF_IT, "cpu_s_per_s")) == {"old", "new"}
    assert book.at(ALL_OF_IT, "cpu_s_per_s", 100) == 4.0


def failure_point(phase: str, **figures: float) -> Point:
    return Point(
        role="owner",
        mechanism="budgets",
        phase=phase,
        size=6,
        size_unit="gateways",
        figures=figures,
        load1=1.0,
        seconds=60.0,
    )


def test_failures_are_ordered_by_what_a_year_loses_and_the_first_without_a_mechanism_is_named() -> None:
    target = read_target(TARGET)
    points = [
        failure_point("equal-split", after_15_s_share=0.25),
        failure_point("one-killed", lost_gateway_s=11.0),
        failure_point("restarted", lost_gateway_s=5.5),
    ]
    costs = costs_of(LOSSES, Book({"one": kept(*points)}), target)
    told = {c.failure.name: c.a_year for c in costs}
    assert told["regions-apart"] == pytest.approx(4 * 3600 * 0.75)
    assert told["machine"] == pytest.approx(730 * 11.0 / 550)
    assert told["restart"] == pytest.approx(83_950 * 5.5 / 550)
    assert told["zone"] == pytest.approx(6 * 11.0 * 92 / 550)
    assert [c.a_year for c in costs] == sorted([c.a_year or 0.0 for c in costs], reverse=True)
    first = first_missing(costs)
    assert first is not None and first.loss.missing == "regions"
    # With regions stated: those points count, whatever was measured without them, and only they are carried.
    points.append(failure_point("equal-split-regions", after_15_s_share=0.95))
    assert first_missing(costs_of(LOSSES, Book({"one": kept(*points)}), target)) is None
    unmeasured = costs_of(LOSSES, Book({"one": kept(points[1])}), target)
    assert [c.a_year for c in unmeasured][-2:] == [None, None] and first_missing(unmeasured) is None


def test_the_table_of_failures_says_what_is_missing_first_and_when_it_is_there() -> None:
    target = read_target(TARGET)
    points = [
        failure_point("equal-split", after_15_s_share=0.0),
        failure_point("restarted", lost_gateway_s=5.5),
    ]
    told = failures_table(Book({"one": kept(*points)}), target)
    assert "| none yet: regions |" in told and "**First missing mechanism: regions**, at 14,400 s" in told
    assert "comes first from 0.233 times a year on" in told  # 83,950 x 5.5 / 550 = 839.5 of 14,400, of 4
    points.append(failure_point("equal-split-regions", after_15_s_share=1.0))
    told = failures_table(Book({"one": kept(*points)}), target)
    assert "The first missing mechanism was **regions**; it is there now. Without it: 14,400 s" in told
    rows = [line for line in told.splitlines() if line.startswith("| re")]
    assert [row.split("|")[7].strip() for row in rows] == [
        "regions, where it is not used",
        "restarts in order, loans",
        "regions: each side owns its duties",
    ]


@pytest.mark.parametrize(
    ("low", "high", "now", "told"),
    [
        (44.0, 78.0, 60.0, "confirmed"),
        (44.0, 78.0, 30.0, "confirmed"),
        (44.0, 78.0, 116.0, "confirmed"),
        (44.0, 78.0, 156.0, "corrected: 2 times it"),
        (44.0, 78.0, 22.0, "corrected: 0.5 times it"),
        (0.0, 0.0, 0.0, "confirmed"),
        (0.0, 0.0, 0.4, "corrected"),
        (1.0, 1.0, None, "not measured"),
    ],
)
def test_a_figure_from_before_is_confirmed_corrected_or_not_measured(
    low: float, high: float, now: float | None, told: str
) -> None:
    assert verdict(Before("what", "told", low, high, lambda book, t: now, ""), now) == told


# ---- the page ----------------------------------------------------------------------------------------------

DOCS = Path(__file__).parents[1] / "docs"


def test_the_page_is_what_the_command_makes_of_the_kept_results() -> None:
    assert written(DOCS, check=True), "ledgehitch scale report makes another page: run it and commit that"


def test_a_changed_result_and_a_typed_figure_make_another_page(tmp_path: Path) -> None:
    docs = tmp_path / "docs"
    shutil.copytree(DOCS / "capacity", docs / "capacity")
    shutil.copy2(DOCS / "CAPACITY.md", docs)
    before = (docs / "CAPACITY.md").read_text()
    write_kept(
        docs / "capacity" / "kept" / "zz.json",
        kept(point(100, bytes_per_s=1e3), point(200, bytes_per_s=2e3), command="another"),
    )
    assert not written(docs, check=True) and (docs / "CAPACITY.md").read_text() == before
    assert not written(docs) and written(docs, check=True)
    assert "`another`" in (docs / "CAPACITY.md").read_text()
    (docs / "capacity" / "kept" / "zz.json").unlink()
    assert not written(docs) and (docs / "CAPACITY.md").read_text() == before
    (docs / "CAPACITY.md").write_text(before.replace("| 2,200 a day |", "| 2,100 a day |"))
    assert not written(docs, check=True)


@pytest.mark.parametrize(
    ("page", "told"),
    [
        ("<!-- made: a -->\n<!-- made: b -->\n", "p:2: 'a' has no"),
        ("<!-- made: a -->\n", "'a' has no"),
        ("<!-- made: c -->\n<!-- made until here -->\n", "p:1: no table is called 'c': a, b"),
        ("<!-- made: a -->\n<!-- made until here -->\n" * 2, "p:3: 'a' is there twice"),
        ("<!-- made until here -->\n", "p:1: an end without a mark"),
        ("<!-- made: a -->\n<!-- made until here -->\n", "no mark for b"),
    ],
)
def test_markers_that_are_not_right_are_named(page: str, told: str) -> None:
    with pytest.raises(BadInput, match=re.escape(told)):
        filled(page, {"a": "1", "b": "2"}, "p")


def test_the_command_names_what_is_missing_and_writes_nothing(tmp_path: Path) -> None:
    (tmp_path / "capacity" / "kept").mkdir(parents=True)
    shutil.copy2(TARGET, tmp_path / "capacity")
    (tmp_path / "CAPACITY.md").write_text("<!-- made: target -->\n")
    command = [sys.executable, "-m", "ledgehitch", "scale", "report", "--docs", str(tmp_path)]
    found = subprocess.run(command, capture_output=True, text=True)
    assert found.returncode == 2 and "CAPACITY.md: 'target' has no" in found.stderr
    assert (tmp_path / "CAPACITY.md").read_text() == "<!-- made: target -->\n"


@pytest.mark.parametrize(
    ("value", "unit", "told"),
    [
        (0.0139, "core", "1.39% of a core"),
        (165.2, "core", "165 cores"),
        (24_000.0, "bytes/s", "24 kB/s"),
        (1.0123e9, "bytes", "1.01 GB"),
        (44e-9, "s", "44 ns"),
        (3600.0, "s", "3,600 s"),
        (0.29, "s", "290 ms"),
        (0.0, "bytes", "0 B"),
        (None, "s", "-"),
        (8.28e-13, "s", "0.828 ps"),
    ],
)
def test_figures_have_three_digits_and_their_unit(value: float | None, unit: str, told: str) -> None:
    assert shown(value, unit) == told
