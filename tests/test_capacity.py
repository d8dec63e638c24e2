"""The page on capacity: kept results, fits, tables made from them."""

import math
from pathlib import Path

import pytest

from ledgehitch.config import BadInput
from ledgehitch.scale.facts import Kept, Machine, Point, read_all, read_kept, write_kept
from ledgehitch.scale.slopes import ONE_POINT, NoSlope, fitted, headroom, two_sizes_only


def point(size: float, **figures: float) -> Point:
    return Point(role="control", mechanism="membership", phase="quiet", size=size, size_unit="gateways",
                 figures=figures, load1=1.5, seconds=10.0)  # fmt: skip


def kept(*points: Point, command: str = "measure") -> Kept:
    machine = Machine(cores=8, memory_bytes=1 << 34)
    return Kept(command=command, at="2026-01-02T03:04:05Z", machine=machine, points=list(points))


def test_a_kept_result_is_read_as_it_was_written(tmp_path: Path) -> None:
    whole = kept(point(100, cpu_s_per_s=0.1), point(200, cpu_s_per_s=0.25))
    write_kept(tmp_path / "kept" / "one.json", whole)
    assert read_kept(tmp_path / "kept" / "one.json") == whole
    assert read_all(tmp_path / "kept") == {"one": whole}


@pytest.mark.parametrize(("old", "new", "told"), [
    ('"load1":1.5,', '"load1":1.5,"more":1,', "points[1]: Object contains unknown field `more`"),
    ('"size":200', '"size":0', "points[1].size: Expected `float` > 0.0"),
    ('"role":"control"', '"role":"cook"', "points[1].role: Invalid enum value 'cook'"),
    ('"cpu_s_per_s":0.25', '"cpu s":0.25', "- at `key` in `$.points[1].figures`"),
    ('"cpu_s_per_s":0.25', "", "points[1].figures: Expected `object` of length >= 1"),
    ('"cpu_s_per_s":0.25', '"cpu_s_per_s":NaN', "not JSON"),
    ('"size_unit":"gateways"', '"size_unit":"rows"', "points[1].size_unit: 'rows', where an earlier point"),
])  # fmt: skip
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
    assert (line.slope, line.intercept) == (pytest.approx(2.0), pytest.approx(50.0))
    assert line.largest == pytest.approx(0.0, abs=1e-9) and line.rms == pytest.approx(0.0, abs=1e-9)
    assert line.sizes == (100, 200, 400) and line.points == 3
    assert line.at(550) == pytest.approx(1150.0)
    assert line.beyond(550) == pytest.approx(1.375) and line.beyond(300) == 1.0


def test_points_beside_the_line_are_its_residual() -> None:
    # By hand: means 2 and 4, slope ((-1)(-3) + 0 + (1)(1)) / 2 = 2, so the line passes 2, 4, 6.
    line = fitted([(1, 1.0), (2, 6.0), (3, 5.0)])
    assert (line.slope, line.intercept) == (pytest.approx(2.0), pytest.approx(0.0))
    assert line.largest == pytest.approx(2.0 / 4.0)  # 6 where the line has 4; the others are off by 1
    assert line.rms == pytest.approx((6.0 / 3.0) ** 0.5 / 4.0)


def test_several_points_at_one_size_count_each_and_weigh_the_line() -> None:
    line = fitted([(1, 0.0), (1, 2.0), (3, 5.0), (3, 5.0)])
    assert (line.slope, line.intercept) == (pytest.approx(2.0), pytest.approx(-1.0))
    assert line.points == 4 and two_sizes_only(line)


@pytest.mark.parametrize(("points", "told"), [
    ([(100, 1.0)], ONE_POINT), ([(100, 1.0), (100, 3.0)], ONE_POINT), ([], "not measured"),
    ([(1, 1.0), (2, math.nan)], "no number"), ([(1, 1.0), (math.inf, 2.0)], "no number"),
])  # fmt: skip
def test_nothing_is_worked_out_from_one_size_or_from_no_number(
    points: list[tuple[float, float]], told: str
) -> None:
    with pytest.raises(NoSlope, match=told):
        fitted(points)


def test_headroom_is_allowed_over_needed() -> None:
    assert headroom(0.014, 0.028) == pytest.approx(0.5)
    assert headroom(24_000, 8_000) == pytest.approx(3.0)
    assert headroom(1.0, 0.0) == math.inf
