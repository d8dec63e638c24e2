"""`KNOWN-RED.txt` as the operators word it, played on a small project of its own by the same hooks."""

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
SMALL = """import pytest

def test_green() -> None:
    assert True

def test_red() -> None:
    assert False

@pytest.mark.parametrize("n", [1, 2])
def test_cases(n: int) -> None:
    assert n == 1
"""
RED = "tests/test_small.py::test_red | the sky | issue 7"
CASE = "tests/test_small.py::test_cases[2] | half of it | 8"


def played(root: Path, listing: str | None) -> tuple[int, str]:
    tests = root / "tests"
    tests.mkdir()
    for name in ("known_red.py", "conftest.py"):
        shutil.copy(HERE / name, tests)
    (tests / "__init__.py").touch()
    (tests / "test_small.py").write_text(SMALL)
    if listing is not None:
        (root / "KNOWN-RED.txt").write_text(listing)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"]
    done = subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=60)
    return done.returncode, done.stdout + done.stderr


def test_without_the_file_every_failure_counts(tmp_path: Path) -> None:
    code, said = played(tmp_path, None)
    assert code == 1 and "2 failed, 2 passed" in said and "KNOWN-RED" not in said


def test_a_listed_failure_is_passed_over_and_printed(tmp_path: Path) -> None:
    code, said = played(tmp_path, f"{RED}\n\n{CASE}\n")
    assert code == 0 and "2 passed, 2 xfailed" in said
    assert "KNOWN-RED.txt: tests/test_small.py::test_red: passed over, known red: the sky (issue 7)" in said
    assert "KNOWN-RED.txt: tests/test_small.py::test_cases[2]: passed over" in said


def test_one_that_is_not_listed_fails_and_one_that_passes_is_to_be_struck(tmp_path: Path) -> None:
    code, said = played(tmp_path, "tests/test_small.py::test_cases | both of it | issue 8")
    assert code == 1 and "1 failed" in said and "FAILED tests/test_small.py::test_red" in said
    assert "test_cases[1]: passes, strike it: both of it (issue 8)" in said
    assert "test_cases[2]: passed over" in said


@pytest.mark.parametrize(
    "listing, why",
    [
        ("tests/test_small.py::test_red | issue 7", "a line is"),
        ("tests/test_small.py::test_red | the sky | some day", "a line is"),
        ("tests/test_small.py::test_red | the sky | 7 | more", "a line is"),
        (" | the sky | 7", "a line is"),
        ("tests/test_small.py::test_blue | the sky | 7", "no test"),
        ("tests/test_none.py::test_red | the sky | 7", "no test"),
        ("tests/test_small.py | the sky | 7", "no test"),
        (f"{RED}\n{RED}", "twice"),
        ("tests/test_small.py::test_cases[9] | the sky | 7", "no test"),
        ("\n".join([RED, CASE, RED.replace("red", "green"), RED.replace("red", "cases")]), "4 lines"),
    ],
)
def test_a_list_that_does_not_read_fails_the_run(tmp_path: Path, listing: str, why: str) -> None:
    code, said = played(tmp_path, listing)
    assert code not in (0, 1) and "KNOWN-RED.txt" in said and why in said
