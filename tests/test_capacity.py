"""The page on capacity: kept results, fits, tables made from them."""

from pathlib import Path

import pytest

from ledgehitch.config import BadInput
from ledgehitch.scale.facts import Kept, Machine, Point, read_all, read_kept, write_kept


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
