"""Owners as several processes of the program, faults between them; judged from what crossed the wires."""

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ledgehitch.config import BadInput, Fault, read_day
from ledgehitch.config.day import BETWEEN
from ledgehitch.proof.owned import check_owners
from ledgehitch.proof.tape import Line
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.standins.cuts import Bad, Cuts
from ledgehitch.standins.wires import Step

PLAN = ("--settle", "0.2", "--back-within", "30", "--worse", "1")


def begun(rig: FleetRig) -> str:
    """All up, a plan left with the fleet, its first restart on its way to a gateway: gives the owner."""
    rig.start_all()
    owner = rig.owner("restarts")
    rig.by_fleet(*PLAN)
    return owner


def drains(step: Step) -> bool:
    return step.path == "/v1/drain"


def refusals(rig: FleetRig, owner: str) -> list[Any]:
    """Steps of an owner that a gateway refused."""
    lines = rig.lines()
    mine = {x["id"] for x in lines if x["ev"] == "step" and x["owner"] == owner and x["path"] == "/v1/drain"}
    return [x for x in lines if x["ev"] == "step_out" and x["id"] in mine and x["status"] == 409]


def test_two_owners_die_in_a_row_and_the_tool_is_gone_yet_all_are_restarted_once(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        first = begun(rig)
        rig.until(lambda: any(x["ev"] == "step" and x["path"] == "/v1/drain" for x in rig.lines()))
        rig.kill(first)
        second = rig.owner("restarts", but=[first])
        rig.kill(second)
        rig.owner("restarts", but=[first, second])
        rig.start_all([first, second])
        rig.until(lambda: rig.plan() == "ended", 90.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_a_gateway_that_is_killed_in_its_new_life_is_not_restarted_again(tmp_path: Path) -> None:
    """Found by random scripts (seed 101): who was started anew by somebody else had forgotten the plan."""

    def script(rig: FleetRig) -> None:
        rig.start_all()
        owner = rig.owner("restarts")
        rig.by_fleet(*PLAN)
        rig.until(lambda: any(x["ev"] == "step_out" and x.get("started_by") for x in rig.lines()), 60.0)
        steps = {x["id"]: x["to"] for x in rig.lines() if x["ev"] == "step"}
        new = next(steps[x["id"]] for x in rig.lines() if x["ev"] == "step_out" and x.get("started_by"))
        rig.kill(new)
        if owner != new:
            rig.kill(owner)  # the next one knows nothing but what gateways say
        rig.start_all({new, owner})
        rig.until(lambda: rig.plan() == "ended", 90.0)

    rig = FleetRig(tmp_path, 3)
    rig.run(script)
    assert rig.broken(whole=True) == []


def fenced(rig: FleetRig, to: str, but: str) -> bool:
    """Whether another owner's fence was taken there: it is on that gateway's disk then."""
    lines = rig.lines()
    asked = {
        x["id"]
        for x in lines
        if x["ev"] == "step" and x["path"] == "/v1/fence" and x["owner"] != but and x["to"] == to
    }
    return any(x["ev"] == "step_out" and x["id"] in asked and x["status"] == 200 for x in lines)


def test_an_owner_stopped_after_its_check_is_refused_where_its_call_arrives(tmp_path: Path) -> None:
    """Its call has set out and waits on the way, it stands still; the receiver starts anew in between."""

    def script(rig: FleetRig) -> str:
        rig.start_all()
        owner = rig.owner("restarts")
        rig.wires.held = lambda step: drains(step) and step.owner == owner
        rig.by_fleet(*PLAN)
        rig.until(lambda: rig.wires.waiting)
        late = rig.wires.waiting[0]
        rig.still(owner)
        rig.owner("restarts", but=[owner])
        rig.until(lambda: fenced(rig, late.to, owner))
        if late.to != owner:
            rig.kill(late.to)  # the receiver forgets all but its disk
            rig.start_all([late.to])
        rig.wires.held = lambda step: False
        rig.wires.let_go()
        rig.until(lambda: late.to == owner or refusals(rig, owner))
        rig.goes_on(owner)
        rig.until(lambda: rig.plan() == "ended", 90.0)
        return owner

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_an_owner_cut_off_one_way_or_both_ends_and_half_of_the_fleet_stands_still(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        owner = begun(rig)
        for there, back in ((True, False), (False, True)):
            rig.cut(owner, there=there, back=back)
            second = rig.owner("restarts", but=[owner], within=60.0)
            rig.heal()
            owner = second
        # Two of five are left: nobody owns, the plan stands still; with a third it goes on.
        dead = [n for n in rig.names if n != owner][:3]
        for name in dead:
            rig.kill(name)
        rig.until(lambda: not any(rig._owns(n, "restarts") for n in rig._alive()))
        rig.until(lambda: "2 of 5 answered" in rig.fleet("owners")[1])
        code, said = rig.fleet("owners")
        assert code == 1 and said.count(": silent") == 3, said
        rig.loop.sleep(2 * rig.lease)
        assert not any(rig._owns(n, "restarts") for n in rig._alive())
        rig.start_all(dead[:1])
        rig.owner("restarts")
        rig.start_all(dead[1:])
        rig.until(lambda: rig.plan() in ("ended", "stopped"), 120.0)
        if rig.plan() == "stopped":
            code, said = rig.fleet("plan", "resume")
            assert code == 0, said
            rig.until(lambda: rig.plan() == "ended", 120.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_old_state_no_state_a_full_disk_and_clocks_apart_give_no_second_owner(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.walls["g4"] = 600.0
        rig.walls["g3"] = -600.0
        rig.start_all()
        owner = rig.owner("restarts")
        assert owner not in ("g3", "g4"), "whose frames are refused for their time cannot be elected"
        code, said = rig.fleet("owners")
        assert "g4: frames of others are refused as stale" in said, said
        copy = {n: rig.saved(n) for n in ("g0", "g1")}
        rig.kill(owner)
        for name in ("g3", "g4"):  # three that hear each other are needed now
            rig.kill(name)
            rig.walls.pop(name)
        rig.start_all(["g3", "g4"])
        second = rig.owner("restarts", but=[owner], within=60.0)
        rig.start_all([owner])
        others = [n for n in ("g0", "g1", "g2") if n != second]
        old, empty = others[0], others[1]
        for name in (old, empty):
            rig.kill(name)
            rig.lose(name, copy.get(name) if name == old else None)
        rig.start_all([old, empty])
        rig.until(lambda: all(rig.asked(n, "/v1/owners")["votes"] for n in (old, empty)), 60.0)
        # A disk that takes nothing: no vote, no harm, and it is said.
        rig.disk_full(old)
        rig.kill(rig.owner("restarts"))
        rig.until(lambda: rig.asked(old, "/v1/owners")["disk"], 30.0)
        _, said = rig.fleet("owners")
        assert f"{old}: its disk takes no vote: Is a directory" in said, said
        assert "cannot write votes to disk: voting suspended" in rig.log_of(old)
        rig.disk_good(old)
        rig.owner("restarts", within=60.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken() == []


def test_a_gateway_is_added_and_a_majority_of_both_lists_is_needed_meanwhile(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        whole = rig.site
        rig.site = msgspec.structs.replace(whole, gateways=whole.gateways[:3])
        rig.write_site()
        old = rig.names[:3]
        rig.start_all(old)
        rig.owner("restarts")
        rig.site = whole
        rig.write_site()
        rig.start_all(["g3"])
        for number, name in enumerate(old):
            rig.kill(name)
            rig.start_all([name])
            rig.owner("restarts", within=60.0)
            settled = [rig.asked(n, "/v1/owners")["settled"] for n in old[: number + 1]]
            assert number == 2 or not any(settled), "too few go by the new list"
        rig.until(lambda: all(rig.asked(n, "/v1/owners")["settled"] for n in rig.names), 60.0)
        rig.until(lambda: rig.asked("g3", "/v1/owners")["votes"], 60.0)
        # Now it is one of four: three are needed, and it is one of them.
        first = rig.owner("restarts")
        rig.kill(next(n for n in old if n != first))
        rig.kill(first)
        rig.loop.sleep(3 * rig.lease)
        assert not any(rig._owns(n, "restarts") for n in rig._alive()), "two of four own nothing"
        rig.start_all([first])
        rig.owner("restarts", within=60.0)

    rig = FleetRig(tmp_path, 4)
    rig.run(script)
    assert rig.broken() == []


def test_the_plan_is_stopped_resumed_and_given_up_from_any_machine(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner("restarts")
        rig.wires.held = drains
        rig.by_fleet(*PLAN)
        rig.until(lambda: rig.wires.waiting)
        code, said = rig.fleet("restart", "--by-fleet")
        assert code == 2 and "is not at its end" in said, said
        assert rig.fleet("plan", "stop")[0] == 0 and rig.plan() == "stopped"
        rig.wires.held = lambda step: False
        rig.wires.let_go()
        assert rig.fleet("plan", "resume")[0] == 0
        rig.until(lambda: any(x["ev"] == "step_out" and x.get("started_by") for x in rig.lines()))
        assert rig.fleet("plan", "give-up")[0] == 0 and rig.plan() == "given up"
        code, said = rig.fleet("plan", "status")
        assert code == 0 and "given up" in said, said
        code, said = rig.fleet("plan", "stop")
        assert code == 2 and "no plan is under way" in said, said

    rig = FleetRig(tmp_path, 3)
    rig.run(script)
    assert rig.broken() == []


def test_the_fleets_verdict_is_told_once_a_window_whoever_owns_it(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        receiver = rig.receiver
        assert receiver is not None
        rig.start_all()
        owner = rig.owner("verdicts")
        rig.until(lambda: len(receiver.verdicts) >= 2)
        receiver.nonsense = b'{"last": "tomorrow"}'
        rig.until(lambda: "does not count" in str(rig.asked(owner, "/v1/owners")["duties"]["verdicts"]))
        receiver.nonsense = None
        # As a day script would name it; it ends by itself.
        rig.do_fault(Fault(kind="daemon_still", at=0.0, len=6 * rig.lease, who="owner of verdicts"))
        rig.owner("verdicts", but=[owner], within=60.0)
        told, term = len(receiver.verdicts), receiver.term
        rig.until(lambda: len(receiver.verdicts) >= told + 2)
        rig.until(lambda: owner in rig._alive() and not rig._owns(owner, "verdicts"))
        assert receiver.term >= term

    rig = FleetRig(tmp_path, 3, verdicts_every=0.7)
    rig.run(script)
    assert rig.broken() == []
    assert len({x["owner"] for x in rig.lines() if x["ev"] == "verdict" and x["status"] == 200}) == 2


# ---- the checker is seen to fail ---------------------------------------------------------------------------


def tape(lines: list[tuple[float, str, dict[str, Any]]]) -> list[Line]:
    out = []
    for number, (t, ev, more) in enumerate(lines):
        line = Line({"t": t, "ev": ev, **more})
        line.at = f"x:{number}"
        out.append(line)
    return out


def call(
    number: int,
    t: float,
    owner: str,
    term: int,
    to: str,
    status: int = 200,
    then: str = "restart",
    **told: Any,
) -> list[tuple[float, str, dict[str, Any]]]:
    path = "/v1/drain" if then else "/v1/fence"
    step = {
        "id": number,
        "owner": owner,
        "to": to,
        "path": path,
        "duty": "restarts",
        "term": term,
        "then": then,
        "ticket": f"p/{to}",
    }
    out = {"id": number, "status": status, "boot": "", "started_by": "", "phase": "draining", **told}
    return [(t, "step", step), (t + 0.1, "step_in", {"id": number}), (t + 0.2, "step_out", out)]


PLANTED: dict[str, list[tuple[float, str, dict[str, Any]]]] = {
    "terms fence": [*call(1, 1, "g1", 2, "g0", then=""), *call(2, 2, "g0", 1, "g0")],
    "one owner a term": [*call(1, 1, "g1", 2, "g0", then=""), *call(2, 2, "g2", 2, "g3", then="")],
    "restarted once": [
        *call(1, 1, "g1", 2, "g0", then="", boot="a", started_by="p/g0"),
        *call(2, 2, "g1", 2, "g0", then="", boot="b", started_by="p/g0"),
    ],
    "nobody left out": call(1, 1, "g1", 2, "g0", then="", boot="a", started_by="p/g0"),
    "never more at once": [*call(1, 1, "g1", 2, "g0"), *call(2, 2, "g1", 2, "g2")],
    "one verdict a window": [
        (t, "verdict", {"owner": "g1", "term": 2, "window": 7, "status": 200, "verdict": v})
        for t, v in ((1, "good"), (2, "bad"))
    ],
}


@pytest.mark.parametrize("promise", PLANTED)
def test_each_check_is_seen_to_fail_on_a_planted_tape(promise: str) -> None:
    broken = check_owners(tape(PLANTED[promise]), ["g0", "g4"], 1, promise == "nobody left out")
    assert [b.invariant for b in broken] == [promise] or promise == "nobody left out"
    assert broken[0].invariant == promise
    good = [
        *call(1, 1, "g0", 1, "g0", boot="a"),
        *call(2, 2, "g1", 2, "g0", then="", boot="b", started_by="p/g0", phase="ready"),
        *call(3, 3, "g0", 1, "g0", status=409),
    ]
    assert check_owners(tape(good), ["g0"], 1, True) == []


def test_a_day_of_one_process_has_no_faults_between_daemons(tmp_path: Path) -> None:
    for kind in BETWEEN:
        raw = {
            "name": "d",
            "length": 9.0,
            "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
            "faults": [{"kind": kind, "at": 1.0, "who": "owner of restarts"}],
        }
        (tmp_path / "day.json").write_bytes(msgspec.json.encode(raw))
        with pytest.raises(BadInput, match=rf"faults\[0\].kind: {kind} is played between daemons alone"):
            read_day(tmp_path / "day.json")


def test_two_kills_that_overlap_start_a_gateway_once(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        first = rig.children["g0"].pid
        for _ in range(2):
            rig.do_fault(Fault(kind="daemon_killed", at=0.0, len=0.3, who="g0"))
        rig.until(lambda: rig.asked("g0", "/v1/state") is not None)
        second = rig.children["g0"].pid
        rig.until(lambda: rig.lives["g0"] >= 2 and not rig.loop.failed)
        assert second != first and rig.lives["g0"] == 2 and rig.children["g0"].pid == second

    FleetRig(tmp_path, 1).run(script)


def test_ways_are_cut_one_way_and_both_and_healed() -> None:
    cuts = Cuts(random.Random(1))
    cuts.cut(["a"], ["a", "b"], back=False)
    assert not cuts.open("a", "b") and cuts.open("b", "a") and cuts.open("a", "a")
    cuts.everywhere = Bad(0.5, 0.5, 1.0)
    some = [cuts.arrives("b", "a") for _ in range(400)]
    assert 120 < sum(not s for s in some) < 280 and {len(s) for s in some} == {0, 1, 2}
    assert max(max(s) for s in some if s) > 0.8
    cuts.heal()
    assert cuts.arrives("a", "b") == [0.0]
