"""The scale run: what a plan may ask for, what a phase is judged by, and a small run on real sockets."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ledgehitch.config.read import BadInput
from ledgehitch.owners.facts import BUDGETS, DUTIES, RESTARTS, rank_members
from ledgehitch.scale.judge import (
    Event,
    Term,
    differences,
    in_the_way,
    over,
    rates,
    right_again,
    terms_of,
    without_owner,
)
from ledgehitch.scale.plan import Machine, Plan, check, meant, read_plan, seats, size_of
from ledgehitch.scale.play import Figures, Play, seen_now
from ledgehitch.scale.rig import ScaleRig

ROOT = Path(__file__).parent.parent
MACHINE = Machine(16e9, 20_000, 30_000)
CUT = {"kind": "wires_cut", "who": "zone z1", "at": 1.0, "len": 2.0}


def raw(**more: Any) -> dict[str, Any]:
    return {
        "name": "some",
        "members": 24,
        "real": 3,
        "processes": 2,
        "zones": 3,
        "lease": 1.5,
        "phases": [{"name": "quiet", "length": 5.0}],
        **more,
    }


def plan(**more: Any) -> Plan:
    return msgspec.convert(raw(**more), Plan)


def phase(*faults: dict[str, Any], **more: Any) -> list[dict[str, Any]]:
    return [{"name": "bad", "length": 10.0, "faults": list(faults), **more}]


# ---- plans -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("file", sorted((ROOT / "lab").glob("scale*.json")), ids=lambda p: p.stem)
@pytest.mark.parametrize("members", [0, 100, 1100])
def test_the_plans_that_come_with_it_may_be_run(file: Path, members: int) -> None:
    one = read_plan(file, members)
    check(one, str(file), MACHINE)
    all_of = seats(one)
    stated = msgspec.json.decode(file.read_bytes())["members"]
    assert len(all_of) == (members or stated) and len({s.name for s in all_of}) == len(all_of)
    assert stated == (100 if file.stem == "scale-start" else 550)
    real = [s for s in all_of if s.process < 0]
    assert len(real) == one.real >= 5 and {s.region for s in real} == {"west", "east"}
    # The one that should lend to all is a process of its own, so that what that takes can be measured.
    assert rank_members(BUDGETS, [s.name for s in all_of])[0] in {int(s.name[1:]) for s in real}


@pytest.mark.parametrize(
    "more, place, reason",
    [
        ({"real": 0}, "plan.json: real", "without a real member"),
        ({"processes": 30}, "plan.json: processes", "30, for 21 hollow members"),
        ({"processes": 13, "members": 100}, "plan.json: processes", "in a dozen at most"),
        ({"zones": 30}, "plan.json: zones", "30, for 24 members"),
        ({"regions": {"west": []}}, "plan.json: regions.west", "a region without zones"),
        ({"regions": {"west": ["z7"]}}, "plan.json: regions.west", "no zone 'z7'"),
        ({"regions": {"west": ["z0", "z1"], "east": ["z1", "z2"]}}, "regions", "'z1' is in two regions"),
        ({"regions": {"west": ["z0", "z1"]}}, "plan.json: regions", "zone 'z2' is in none of them"),
        ({"phases": [*phase(), *phase()]}, "phases[1].name", "'bad' is named twice"),
        ({"phases": phase({**CUT, "who": "zone z9"})}, "phases[0].faults[0].who", "'zone z9' is no member"),
        ({"phases": phase({**CUT, "who": "region east"})}, "phases[0].faults[0].who", "'region east' is no"),
        ({"phases": phase({**CUT, "who": "region "})}, "phases[0].faults[0].who", "is no member"),
        ({"phases": phase({**CUT, "who": ""})}, "phases[0].faults[0].who", "'' is no member"),
        ({"phases": phase({**CUT, "who": "owner of doors"})}, "phases[0].faults[0].who", "no duty 'doors'"),
        ({"phases": phase(CUT, {**CUT, "at": 0.5})}, "faults[1].at", "times must rise"),
        ({"phases": phase({**CUT, "len": 30.0})}, "faults[0].len", "over at 31 s, the phase at 10 s"),
        ({"phases": phase({**CUT, "kind": "daemon_still"})}, "faults[0].who", "with its whole process alone"),
        ({"phases": phase({**CUT, "kind": "restarts"})}, "faults[0]", "restarts have a count"),
        ({"phases": phase({**CUT, "kind": "wires_bad"})}, "faults[0].who", "all wires are bad or none"),
        ({"phases": [{"name": f"p{i}", "length": 600.0} for i in range(9)]}, "phases", "more than 3600 s"),
    ],
)
def test_what_is_no_plan_is_refused_and_the_place_is_named(more: Any, place: str, reason: str) -> None:
    with pytest.raises(BadInput) as wrong:
        check(plan(**more), "plan.json", MACHINE)
    assert place in str(wrong.value) and reason in str(wrong.value)


@pytest.mark.parametrize(
    "machine, reason",
    [
        (Machine(1e9, 20_000, 30_000), "half of memory is 0.5 GB"),
        (Machine(16e9, 300, 30_000), "half of what there is are 150"),
        (Machine(16e9, 20_000, 20), "at most 10 may be"),
    ],
)
def test_a_plan_may_not_ask_for_more_than_half_of_the_machine(machine: Machine, reason: str) -> None:
    check(plan(), "plan.json", MACHINE)
    with pytest.raises(BadInput) as wrong:
        check(plan(), "plan.json", machine)
    assert "plan.json: members: they need some" in str(wrong.value) and reason in str(wrong.value)
    assert size_of(plan(members=1000)).memory > 10 * size_of(plan(members=100)).memory / 5


@pytest.mark.parametrize(
    "more, said",
    [
        ({"phases": phase({**CUT, "kind": "flood"})}, "phases[0].faults[0].kind: Invalid enum value 'flood'"),
        ({"phases": phase({**CUT, "whom": "all"})}, "phases[0].faults[0]: Object contains unknown field"),
        ({"members": 1}, "members: Expected `int` >= 4"),
        ({"phases": []}, "phases: Expected `array` of length >= 1"),
        ({"phases": phase({**CUT, "who": "zone z9"})}, "phases[0].faults[0].who: 'zone z9' is no member"),
    ],
)
def test_a_bad_plan_starts_nothing(tmp_path: Path, more: Any, said: str) -> None:
    file, out = tmp_path / "plan.json", tmp_path / "out.json"
    file.write_bytes(msgspec.json.encode(raw(**more)))
    words = ["scale", "run", str(file), "--directory", str(tmp_path / "run"), "--out", str(out)]
    command = [sys.executable, "-m", "ledgehitch", *words]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert ended.returncode == 2 and f"ledgehitch: {file}: {said}" in ended.stderr, ended.stderr
    assert sorted(p.name for p in tmp_path.iterdir()) == ["plan.json"]


def test_members_are_named_by_where_they_stand() -> None:
    all_of = seats(plan(regions={"west": ["z0"], "east": ["z1", "z2"]}, rack=4))
    assert meant("zone z1", all_of) == [f"g{i}" for i in range(8, 16)]
    assert meant("region east", all_of) == [f"g{i}" for i in range(8, 24)]
    assert meant("rack z1.r1", all_of) == ["g12", "g13", "g14", "g15"]
    assert meant("g3", all_of) == ["g3"]
    assert len(meant("process 0", all_of)) + len(meant("process 1", all_of)) == 21
    assert meant("owner of budgets", all_of, {"budgets": "g5"}) == ["g5"]
    assert meant("owner of budgets", all_of, {}) == []


# ---- what a phase is judged by -----------------------------------------------------------------------------


def test_terms_end_with_a_word_with_their_member_or_at_the_end() -> None:
    events = [
        Event(1.0, "won", "a", RESTARTS, 1),
        Event(2.0, "won", "a", BUDGETS, 1),
        Event(5.0, "gone", "a"),
        Event(4.0, "lost", "a", BUDGETS, 1),
        Event(7.0, "won", "b", RESTARTS, 2),
        Event(8.0, "won", "b", RESTARTS, 3),
        Event(9.0, "lost", "c", BUDGETS, 9),
    ]
    assert terms_of(events, 12.0) == [
        Term(RESTARTS, "a", 1, 1.0, 5.0),
        Term(BUDGETS, "a", 1, 2.0, 4.0),
        Term(RESTARTS, "b", 2, 7.0, 8.0),
        Term(RESTARTS, "b", 3, 8.0, 12.0),
    ]


def test_time_without_an_owner_is_what_no_term_covers() -> None:
    terms = [
        Term(BUDGETS, "a", 1, 0.0, 4.0),
        Term(BUDGETS, "b", 2, 3.0, 6.0),
        Term(BUDGETS, "c", 3, 8.0, 9.0),
        Term(RESTARTS, "a", 1, 0.0, 20.0),
    ]
    assert without_owner(terms, BUDGETS, 1.0, 8.5) == 2.0
    assert without_owner(terms, BUDGETS, 1.0, 10.0) == 3.0
    assert without_owner(terms, BUDGETS, 1.0, 10.0, {"b"}) == 6.0
    assert without_owner(terms, BUDGETS, 20.0, 25.0) == 5.0
    assert without_owner([], BUDGETS, 1.0, 3.0) == 2.0
    assert without_owner(terms, RESTARTS, 0.0, 20.0) == 0.0


def test_views_are_right_again_when_they_stay_so() -> None:
    looks = [(1.0, True), (2.0, False), (3.0, True), (4.0, False), (5.0, True), (6.0, True)]
    assert right_again(looks, 2.0) == 3.0
    assert right_again(looks, 5.5) == 0.5
    assert right_again(looks[:4], 2.0) is None and right_again([], 0.0) is None


def test_figures_are_held_against_what_is_allowed_and_against_each_other() -> None:
    assert rates({"a": 10.0}, {"a": 30.0, "b": 8.0}, 4.0, 2.0) == {"a": 2.5, "b": 1.0}
    assert differences({"a": 3.0, "b": 1.0, "c": 1.0}, {"a": 2.0, "b": 0.0}) == {"a": 0.5}
    fine = {"cpu_s_per_s": 0.014, "bytes_per_s": 24e3, "memory_bytes": 1e6}
    assert over(fine) == {}
    assert over(fine | {"cpu_s_per_s": 0.028}) == {"cpu_s_per_s": 2.0}


def test_figures_are_not_kept_where_the_rig_stands_in_the_way() -> None:
    assert in_the_way(0.1, 3, 400, 100, 60_000) == ""
    assert in_the_way(2.0, 3, 400, 100, 60_000) == "loops were 2 s late at p99"
    assert in_the_way(0.1, 40, 400, 0, 60_000) == "40 of 400 members found themselves slow"
    assert in_the_way(0.1, 3, 400, 4000, 60_000) == "4000 of 60000 datagrams were lost in sockets' buffers"


# ---- a run -------------------------------------------------------------------------------------------------


def test_real_daemons_hear_hollow_members_elect_with_them_and_borrow_from_one_another(tmp_path: Path) -> None:
    """Judged by what crossed the sockets: a zone is cut and comes back, its owner with it; then the owner of
    a duty and a whole process of hollow ones are killed."""
    small = plan(members=14, real=3, processes=2, relays=2, zones=2, settle=5.0)
    rig = ScaleRig(tmp_path, small)
    play = Play(rig)
    names = [s.name for s in rig.seats]
    seen: dict[str, Any] = {}

    def all_right() -> bool:
        return rig.wrong_views() == 0

    def script(rig: ScaleRig) -> None:
        rig.start_bare()
        rig.start_members(names)
        rig.until(all_right, 60.0, 0.2)
        rig.until(lambda: len(rig.owners()) == len(DUTIES), 60.0, 0.2)
        for name in rig.names:  # a real one lends, or borrows of one that is not told apart from others
            rig.until(lambda name=name: not rig.asked(name, "/v1/budgets")["alone"], 60.0)  # type: ignore[misc]
        play._phase(small.phases[0])
        owner = rig.owners()[BUDGETS]
        cut = meant(f"zone {rig.seat[owner].zone}", rig.seats)
        # One more of them stays on the other side: else neither has a majority.
        cut = [n for n in cut if n == owner or n != next(x for x in cut if x != owner)]
        rig.part(cut, True, True)
        rig.until(lambda: any(o not in cut for d, o in rig.owners().items() if d == BUDGETS), 60.0, 0.2)
        seen["cut"] = owner, cut
        rig.mend(cut)
        rig.until(all_right, 60.0, 0.5)
        rig.until(lambda: len(rig.owners()) == len(DUTIES), 60.0, 0.2)
        first = rig.owners()[RESTARTS]
        rig.kill_members([first])
        had = rig.kill_process("hollow-1")
        assert len(had) >= 4
        rig.until(lambda: rig.owners().get(RESTARTS, first) != first, 60.0, 0.2)
        rig.begin_process("hollow-1", had)
        rig.start_members([first])
        rig.until(all_right, 60.0, 0.5)
        seen["last"] = seen_now(rig)

    rig.play(script)
    events = rig.told_events()
    terms = terms_of(events, seen["last"].t)
    owner, cut = seen["cut"]
    assert {t.duty for t in terms} == set(DUTIES)
    assert any(t.duty == BUDGETS and t.member not in cut for t in terms)
    assert rig.over_budget() == []
    lent = [x for x in rig.lines() if x["ev"] == "lent"]
    real = set(rig.names)
    assert {x["to"] for x in lent} >= real - {owner}, "real ones borrowed"
    assert {x["to"] for x in lent} - real, "and hollow ones"
    assert any(x["ev"] == "want" and x["to"] in real for x in rig.lines()), "of a real one"
    # The same words by the same instrument: what a hollow one says a second is what a real one says.
    figures = Figures(rig, terms)
    for p in play.played:
        figures.of(p)
    told = {(p.mechanism, p.kind): p.figures for p in figures.points if p.role == "control"}
    alike = told["difference", "hollow"]
    assert -0.35 < alike["bytes_per_s"] < 0.35 and -0.35 < alike["messages_per_s"] < 0.35, alike
    assert told["rig", "hollow"]["dropped"] == 0 and told["rig", "hollow"]["failed_tasks"] == 0
    assert 0 < told["all", "hollow"]["cpu_s_per_s"] < 0.5
    assert all(h["failed"] == 0 for h in seen["last"].hollow.values())
