"""The lab: plans, who runs next, results that survive kills, differences with error bars, the search."""

import json
import os
import random
import signal
import sqlite3
import subprocess
import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.config import BadInput, Day, read_day
from ledgehitch.lab.carry import Lab, one_run, open_store
from ledgehitch.lab.compare import compared
from ledgehitch.lab.decide import SHORT, Cut, Planner, Start
from ledgehitch.lab.facts import changed, read_plan, runs_of
from ledgehitch.lab.search import BROKEN, Search, badness, smaller
from ledgehitch.lab.seek import keep, sought
from ledgehitch.lab.store import Store
from tests.test_model import SMALL, strict

ROOT = Path(__file__).parent.parent
DAY = """
name: "small"
length: 4s
arrivals: { rate: 10, mix: [{ package: "recorded", watch: 3s }] }
shape: { gateways: 2, hosts: 4, link_kb: 6MB/s }
"""
PLAN = """
name: "probes"
days: ["small.lh"]
seeds: 3
sizes: { small: {}, large: { "shape.hosts": 8, "arrivals.rate": 20 } }
settings: { without: { "site.terms.may_probe": false }, with: { "site.terms.may_probe": true } }
"""


def written(tmp_path: Path, plan: str = PLAN) -> Path:
    (tmp_path / "small.lh").write_text(DAY)
    (tmp_path / "plan.lh").write_text(plan)
    return tmp_path / "plan.lh"


def run(*words: str, timeout: float = 60.0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "ledgehitch", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=timeout, cwd=ROOT)


# ---- plans -------------------------------------------------------------------------------------------------


def test_a_plan_is_all_combinations_and_each_run_has_a_digest_of_its_own(tmp_path: Path) -> None:
    plan = read_plan(written(tmp_path))
    runs = list(runs_of(plan, tmp_path))
    assert len(runs) == 12 and len({r.key for r in runs}) == 12
    assert [r.seed for r in runs] == sorted(r.seed for r in runs), "a part of them can be compared"
    assert {r.what.shape.hosts for r in runs if r.size == "large"} == {8}
    assert runs == list(runs_of(plan, tmp_path))


@pytest.mark.parametrize(
    ("path", "value", "told"),
    [
        ("shape.hosst", 3, "shape.hosst: there is no such setting"),
        ("shap.hosts", 3, "there is no setting 'shap'"),
        ("shape.hosts", "many", "Expected `int`, got `str`"),
        ("site.terms.may_guess", True, "may_guess"),
        ("arrivals.rate", -1, "Expected `float` > 0"),
    ],
)
def test_a_setting_that_does_not_exist_is_told_by_its_path(path: str, value: Any, told: str) -> None:
    with pytest.raises(BadInput, match="here") as why:
        changed(msgspec.convert(SMALL, Day), {path: value}, "here")
    assert told in str(why.value)


def test_a_broken_plan_is_told_with_its_place(tmp_path: Path) -> None:
    results = str(tmp_path / "r.sqlite")
    done = run(
        "lab", "run", str(written(tmp_path, PLAN.replace("seeds: 3", "seeds: 0"))), "--results", results
    )
    assert done.returncode == 2 and "plan.lh:4:8" in done.stderr
    done = run(
        "lab", "run", str(written(tmp_path, PLAN.replace("may_probe", "may_prob"))), "--results", results
    )
    assert done.returncode == 2 and "may_prob" in done.stderr
    assert not Path(results).exists(), "no file of results is made for a plan that does not check"


# ---- who runs next -----------------------------------------------------------------------------------------


def drained(p: Planner, now: float) -> list[Any]:
    out = []
    while (decision := p.decide(now)) is not None:
        out.append(decision)
    return out


def test_a_short_question_overtakes_a_long_sweep_and_sweeps_share_by_weight() -> None:
    p = Planner(4)
    p.added(0.0, "sweep", range(1000), weight=1.0, limit=1e9)
    assert [d.experiment for d in drained(p, 0.0)] == ["sweep"] * 4
    p.added(1.0, "question", range(6))
    p.added(1.0, "heavy", range(1000), weight=3.0, limit=1e9)
    began: dict[str, int] = {}
    out: list[tuple[str, Any]] = [("sweep", n) for n in range(4)]
    now, order = 1.0, []
    for _ in range(400):
        now += 1.0
        name, number = out.pop(0)
        p.ended(now, name, number)
        for d in drained(p, now):
            assert isinstance(d, Start)
            out.append((d.experiment, d.run))
            began[d.experiment] = began.get(d.experiment, 0) + 1
            order.append(d.experiment)
    assert order[:6].count("question") == 6, "it goes before the others"
    assert 2.0 < began["heavy"] / began["sweep"] < 4.0


def test_what_is_out_of_time_is_cut_off_and_said_so() -> None:
    p = Planner(2)
    p.added(0.0, "a", ["x", "y", "z"], limit=10.0, within=25.0)
    assert drained(p, 0.0) == [Start("a", "x"), Start("a", "y")]
    p.ended(4.0, "a", "x")
    assert drained(p, 4.0) == [Start("a", "z")] and p.wake_at() == 10.0
    assert drained(p, 10.0) == [Cut("a", "y", "it took over 10 s")]
    p.added(11.0, "b", range(9), within=5.0)
    assert drained(p, 11.0) == [Start("b", 0)]
    cut = drained(p, 16.5)
    assert Cut("b", 0, "its experiment is out of time") in cut
    assert p.experiments["b"].not_begun == 8 and p.experiments["b"].cut == 1
    drained(p, 25.0)
    assert p.through() and p.decide(99.0) is None


def test_runs_that_need_no_doing_say_nothing_of_how_long_the_others_take() -> None:
    p = Planner(1)
    p.added(0.0, "resumed", range(100), limit=1e9)
    for n in range(60):
        assert drained(p, 0.0) == [Start("resumed", n)]
        p.skipped("resumed", n)
    drained(p, 0.0)
    p.added(0.0, "question", range(3))
    p.ended(20.0, "resumed", 60)
    assert drained(p, 20.0) == [Start("question", 0)], "a resumed sweep is no short question"


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.randoms(use_true_random=False))
def test_each_run_is_begun_once_and_never_more_than_there_are_cores(chance: random.Random) -> None:
    p = Planner(chance.randrange(1, 5))
    due = {}
    out: dict[tuple[str, int], float] = {}
    began: list[tuple[str, int]] = []
    now, added = 0.0, 0
    for _ in range(200):
        now += chance.random() * 3
        if added < 4 and chance.random() < 0.1:
            name, n = f"e{added}", chance.randrange(1, 20)
            added += 1
            due[name] = n
            p.added(now, name, range(n), chance.uniform(0.5, 4.0), limit=8.0)
        for key in sorted(out):
            if chance.random() < 0.4:
                del out[key]
                p.ended(now, *key)
        for d in drained(p, now):
            assert isinstance(d.run, int)
            if isinstance(d, Start):
                began.append((d.experiment, d.run))
                out[d.experiment, d.run] = now
            else:
                assert now - out.pop((d.experiment, d.run)) >= 8.0
        assert len(out) <= p.cores
        if out:
            assert p.wake_at() <= min(out.values()) + 8.0
    assert len(began) == len(set(began))
    waiting = sum(len(e.waiting) for e in p.experiments.values())
    assert len(began) + waiting == sum(due.values()) and SHORT > 0
    assert not waiting or len(out) == p.cores, "no core idles while a run waits"


# ---- results -----------------------------------------------------------------------------------------------


def test_two_labs_on_one_file_share_the_work_and_a_dead_ones_claims_are_free(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    runs = list(runs_of(read_plan(written(tmp_path)), tmp_path))
    one, two, other = (Store(tmp_path / "r.sqlite", code) for code in ("c1", "c1", "c2"))
    assert one.claim(runs[0]) and not two.claim(runs[0]) and two.claim(runs[1])
    one.done(runs[0], 1.0, {"service": 0.5, "breaches": 0.0}, {"x": 1})
    assert not two.claim(runs[0]) and other.claim(runs[0]), "other code, other result"
    two.failed(runs[1], "cut", 2.0, "out of time")
    assert one.claim(runs[1]), "what was cut off is tried again"
    monkeypatch.setattr("ledgehitch.lab.store.ABANDONED", -1.0)
    assert two.claim(runs[1]), "its owner gives no sign"
    one.done(runs[1], 1.0, {"service": 0.1}, {})
    assert [r["service"] for r in two.rows()] == [0.5], "who lost its claim writes nothing"
    assert [r for _, r in two.results("probes")] == [{"x": 1}]
    for store in (one, two, other):
        store.close()


def test_a_full_disk_is_told_and_loses_nothing_that_was_kept(tmp_path: Path) -> None:
    runs = list(runs_of(read_plan(written(tmp_path)), tmp_path))
    store = Store(tmp_path / "r.sqlite", "c")
    assert store.claim(runs[0]) and store.claim(runs[1])
    store.done(runs[0], 1.0, {"service": 0.5}, {"kept": True})
    pages = store.db.execute("PRAGMA page_count").fetchone()[0]
    store.db.execute(f"PRAGMA max_page_count={pages}")
    with pytest.raises(BadInput, match="a result was not kept, earlier ones were"):
        store.done(runs[1], 1.0, {"service": 0.4}, {"large": "x" * 100_000})
    assert [r["seed"] for r in store.rows()] == [runs[0].seed]
    store.db.execute("PRAGMA max_page_count=100000")
    store.done(runs[1], 1.0, {"service": 0.4}, {"large": "x" * 100_000})
    assert len(store.rows()) == 2
    store.close()
    (tmp_path / "text").write_text("this is no database, it is a text of more than a few bytes" * 20)
    with pytest.raises(BadInput, match="no file of results"):
        Store(tmp_path / "text", "c")


def test_a_lab_that_is_killed_goes_on_without_running_anything_twice(tmp_path: Path) -> None:
    plan, results = written(tmp_path, PLAN.replace("seeds: 3", "seeds: 8")), tmp_path / "r.sqlite"
    words = [sys.executable, "-m", "ledgehitch", "lab", "run", str(plan), "--results", str(results)]
    lab = subprocess.Popen(
        [*words, "--cores", "2"],
        cwd=ROOT,
        start_new_session=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    for _ in range(400):
        time.sleep(0.05)
        if results.exists() and len(_states(results).get("done", [])) >= 5:
            break
    os.killpg(lab.pid, signal.SIGKILL)
    lab.wait()
    before = _states(results)
    assert 5 <= len(before["done"]) < 32
    again = open_store(results)
    again.db.execute("UPDATE runs SET heard=0 WHERE state='claimed'")  # its heartbeat has grown old
    work = Lab(again, 4)
    assert work.add(read_plan(plan), list(runs_of(read_plan(plan), tmp_path))) == 32
    came = work.carry()
    again.close()
    assert came.done == 32 - len(before["done"]) and came.others == len(before["done"]) and not came.failed
    after = _states(results)
    assert len(after["done"]) == 32 and set(before["done"]) <= set(after["done"]), "kept as they were"


def _states(path: Path) -> dict[str, list[Any]]:
    out: dict[str, list[Any]] = {}
    try:
        with closing(sqlite3.connect(path, timeout=5)) as db:
            for state, *rest in db.execute("SELECT state, key, heard, seconds FROM runs"):
                out.setdefault(state, []).append(tuple(rest))
    except sqlite3.OperationalError:
        pass  # it is being made
    return out


def test_commands_run_compare_and_report(tmp_path: Path) -> None:
    plan, results = written(tmp_path), str(tmp_path / "r.sqlite")
    first = run("lab", "run", str(plan), "--results", results)
    assert first.returncode == 0 and first.stdout.startswith("12 done, 0 were done"), (
        first.stdout + first.stderr
    )
    second = run("lab", "run", str(plan), "--results", results)
    assert second.stdout.startswith("0 done, 12 were done already")
    told = run("lab", "compare", "without", "with", "--results", results, "--json")
    answers = json.loads(told.stdout)
    assert len(answers) == 6 and {a["pairs"] for a in answers} == {3}
    assert {a["verdict"] for a in answers} <= {"better", "worse", "the same", "cannot tell"}
    assert "verdict" in run("lab", "compare", "without", "with", "--results", results).stdout
    wrong = run("lab", "compare", "without", "nothing", "--results", results)
    assert wrong.returncode == 2 and "there are: with, without" in wrong.stderr
    page = tmp_path / "page.html"
    made = run("lab", "report", "--results", results, "--out", str(page), timeout=90)
    assert made.returncode == 0, made.stderr
    assert (
        page.read_text().count("data:image/png;base64,") == 4 and len(list(tmp_path.glob("page-*.png"))) == 4
    )


# ---- differences -------------------------------------------------------------------------------------------


def rows(chance: random.Random, seeds: int, effect: float, days: int = 1) -> list[dict[str, Any]]:
    out = []
    for d in range(days):
        for seed in range(seeds):
            base = chance.gauss(0.5, 0.1)
            for setting, more in (("a", 0.0), ("b", effect if d == 0 else 0.0)):
                out.append(
                    {
                        "day": f"d{d}",
                        "size": "s",
                        "fault": "f",
                        "setting": setting,
                        "seed": seed,
                        "code": "c",
                        "service": base + more + chance.gauss(0, 0.01),
                        "join_p95": 0.1,
                    }
                )
    return out


def test_differences_are_paired_by_seed_corrected_and_told_in_plain_words() -> None:
    chance = random.Random(3)
    (answer,) = compared(rows(chance, 12, 0.03), "a", "b", ["service"])
    assert answer.verdict == "better" and answer.low < 0.03 < answer.high and answer.pairs == 12
    (answer,) = compared(rows(chance, 12, -0.03), "a", "b", ["service"])
    assert answer.verdict == "worse"
    (answer,) = compared(rows(chance, 40, 0.0), "a", "b", ["service"])
    assert answer.verdict == "the same"
    (answer,) = compared(rows(chance, 4, 0.004), "a", "b", ["service"])
    assert answer.verdict == "cannot tell" and answer.more > 0
    (answer,) = compared(rows(chance, 1, 0.5), "a", "b", ["service"])
    assert answer.verdict == "cannot tell" and answer.low == float("-inf")
    (answer,) = compared(rows(chance, 5, 0.0), "a", "b", ["join_p95"])
    assert answer.verdict == "the same" and answer.difference == 0.0


def test_looking_at_many_does_not_find_what_is_not_there() -> None:
    wrong = 0
    for world in range(60):
        answers = compared(rows(random.Random(world), 8, 0.0, days=10), "a", "b", ["service"])
        wrong += any(a.verdict in ("better", "worse") for a in answers)
    assert wrong <= 8, "five in a hundred of such comparisons say what is not so"
    found = sum(
        compared(rows(random.Random(w), 8, 0.04, days=10), "a", "b", ["service"])[0].verdict == "better"
        for w in range(20)
    )
    assert found >= 18


# ---- the search --------------------------------------------------------------------------------------------


def test_proposals_are_days_that_can_be_played_and_cuts_are_smaller() -> None:
    base = msgspec.convert(SMALL, Day)
    search = Search(base, random.Random(4))
    for _ in range(6):
        for script, seed in search.proposals(8):
            assert 0.39 * base.arrivals.rate <= script.arrivals.rate <= 2.51 * base.arrivals.rate
            for less in smaller(script, base):
                assert len(less.faults) <= len(script.faults) and less != script
            search.heard(script, seed, random.Random(seed).random())
    assert [w[0] for w in search.worst] == sorted((w[0] for w in search.worst), reverse=True)
    assert badness(0.7, {}) == pytest.approx(0.3) and badness(0.7, {"4": 2}) > BROKEN
    assert badness(0.7, {"4": 2}, wanted=3) == pytest.approx(0.3)


@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5, 6])
def test_the_search_finds_a_gate_that_was_taken_out_and_cuts_the_script_down(
    rule: int, tmp_path: Path
) -> None:
    arrivals = msgspec.structs.replace(strict().arrivals, rate=16.0)
    day = msgspec.structs.replace(strict(), faults=[], length=9.0, arrivals=arrivals)
    found = sought(day, 5, 64, wanted=rule, gates_out=(rule,), cores=4, most_cuts=24)
    assert found.bad >= BROKEN and found.rules.get(str(rule)), (rule, found.service)
    assert len(found.day.faults) <= found.faults_before
    keep(found, tmp_path / "found.json")
    kept = read_day(tmp_path / "found.json")
    assert kept.name == "found" and kept.seed == found.seed
    again = one_run(kept, found.seed, (rule,))
    assert again["rules"].get(str(rule)), "the kept day shows it again"
    whole = one_run(kept, found.seed)
    assert whole["rules"] == {}, "and the module with all its gates keeps it"
