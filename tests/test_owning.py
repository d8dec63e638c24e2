"""Ownership in fleets of real processes with faults between them, checked on the recorded traffic."""

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ledgehitch.config import BadInput, Fault, read_day
from ledgehitch.config.day import DAEMON_FAULTS
from ledgehitch.proof.owned import check_owners
from ledgehitch.proof.tape import Line
from ledgehitch.rehearsal.fleet import FleetRig
from ledgehitch.standins.cuts import Cuts, MessageFaults
from ledgehitch.standins.wires import Step

PLAN = ("--settle", "0.2", "--back-within", "30", "--worse", "1")


def start_plan(rig: FleetRig) -> str:
    """Starts all gateways and a plan of restarts; returns the owner."""
    rig.start_all()
    owner = rig.owner("restarts")
    rig.by_fleet(*PLAN)
    return owner


def is_drain(step: Step) -> bool:
    return step.path == "/v1/drain"


def refused_drains(rig: FleetRig, owner: str) -> list[Any]:
    """Returns the drain steps of an owner that a gateway refused."""
    lines = rig.lines()
    steps = {
        line["id"]
        for line in lines
        if line["ev"] == "step" and line["owner"] == owner and line["path"] == "/v1/drain"
    }
    return [
        line for line in lines if line["ev"] == "step_out" and line["id"] in steps and line["status"] == 409
    ]


def test_plan_completes_with_one_restart_each_after_two_owners_are_killed(tmp_path: Path) -> None:
    """The tool that handed over the plan has exited, so the plan depends on the owners alone."""

    def script(rig: FleetRig) -> None:
        first = start_plan(rig)
        rig.until(lambda: any(line["ev"] == "step" and line["path"] == "/v1/drain" for line in rig.lines()))
        rig.kill(first)
        second = rig.owner("restarts", but=[first])
        rig.kill(second)
        rig.owner("restarts", but=[first, second])
        rig.start_all([first, second])
        rig.until(lambda: rig.plan() == "ended", 90.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_gateway_killed_after_its_restart_is_not_restarted_again(tmp_path: Path) -> None:
    """Regression (random script, seed 101): a gateway that was killed after its restart and then started by
    another party did not report the ticket of the plan, so the plan restarted it a second time."""

    def script(rig: FleetRig) -> None:
        rig.start_all()
        owner = rig.owner("restarts")
        rig.by_fleet(*PLAN)
        rig.until(
            lambda: any(line["ev"] == "step_out" and line.get("started_by") for line in rig.lines()), 60.0
        )
        steps = {line["id"]: line["to"] for line in rig.lines() if line["ev"] == "step"}
        new = next(
            steps[line["id"]] for line in rig.lines() if line["ev"] == "step_out" and line.get("started_by")
        )
        rig.kill(new)
        if owner != new:
            rig.kill(owner)  # its successor only knows what gateways report
        rig.start_all({new, owner})
        rig.until(lambda: rig.plan() == "ended", 90.0)

    rig = FleetRig(tmp_path, 3)
    rig.run(script)
    assert rig.broken(whole=True) == []


def accepted_fence(rig: FleetRig, to: str, but: str) -> bool:
    """Returns whether a gateway accepted another owner's fence, which is then on its disk."""
    lines = rig.lines()
    asked = {
        line["id"]
        for line in lines
        if line["ev"] == "step" and line["path"] == "/v1/fence" and line["owner"] != but and line["to"] == to
    }
    return any(line["ev"] == "step_out" and line["id"] in asked and line["status"] == 200 for line in lines)


def test_call_of_an_owner_suspended_after_its_lease_check_is_refused(tmp_path: Path) -> None:
    """The owner is suspended while its call is in transit; the receiver restarts before the call arrives."""

    def script(rig: FleetRig) -> str:
        rig.start_all()
        owner = rig.owner("restarts")
        rig.wires.held = lambda step: is_drain(step) and step.owner == owner
        rig.by_fleet(*PLAN)
        rig.until(lambda: rig.wires.waiting)
        late = rig.wires.waiting[0]
        rig.suspend(owner)
        rig.owner("restarts", but=[owner])
        # Where the owner's first call goes to itself, the receiver is suspended and accepts nothing.
        rig.until(lambda: late.to == owner or accepted_fence(rig, late.to, owner))
        if late.to != owner:
            rig.kill(late.to)  # the receiver keeps only its disk
            rig.start_all([late.to])
        rig.wires.held = lambda step: False
        rig.wires.release_held()
        rig.until(lambda: late.to == owner or refused_drains(rig, owner))
        rig.resume(owner)
        rig.until(lambda: rig.plan() == "ended", 90.0)
        return owner

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_partitioned_owner_is_replaced_and_a_minority_owns_nothing(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        owner = start_plan(rig)
        for there, back in ((True, False), (False, True)):
            rig.cut(owner, there=there, back=back)
            second = rig.owner("restarts", but=[owner], within=60.0)
            rig.heal()
            owner = second
        # Two of five remain: no owner, the plan pauses. It continues with a third.
        dead = [n for n in rig.names if n != owner][:3]
        for name in dead:
            rig.kill(name)
        rig.until(lambda: not any(rig._owns(n, "restarts") for n in rig._alive()))
        rig.until(lambda: "2 of 5 answered" in rig.fleet("owners")[1])
        code, output = rig.fleet("owners")
        assert code == 1 and output.count(": silent") == 3, output
        rig.loop.sleep(2 * rig.lease)
        assert not any(rig._owns(n, "restarts") for n in rig._alive())
        rig.start_all(dead[:1])
        rig.owner("restarts")
        rig.start_all(dead[1:])
        rig.until(lambda: rig.plan() in ("ended", "stopped"), 120.0)
        if rig.plan() == "stopped":
            code, output = rig.fleet("plan", "resume")
            assert code == 0, output
            rig.until(lambda: rig.plan() == "ended", 120.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken(whole=True) == []


def test_stale_or_lost_state_failed_writes_and_clock_offsets_give_no_second_owner(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.wall_clock_offsets_s["g4"] = 600.0
        rig.wall_clock_offsets_s["g3"] = -600.0
        rig.start_all()
        owner = rig.owner("restarts")
        assert owner not in ("g3", "g4"), (
            "a gateway whose frames are rejected for their time cannot be elected"
        )
        code, output = rig.fleet("owners")
        assert "g4: frames of others are refused as stale" in output, output
        saved = {n: rig.copy_state(n) for n in ("g0", "g1")}
        rig.kill(owner)
        for name in ("g3", "g4"):  # a majority needs three that accept each other's frames
            rig.kill(name)
            rig.wall_clock_offsets_s.pop(name)
        rig.start_all(["g3", "g4"])
        second = rig.owner("restarts", but=[owner], within=60.0)
        rig.start_all([owner])
        others = [n for n in ("g0", "g1", "g2") if n != second]
        old, empty = others[0], others[1]
        for name in (old, empty):
            rig.kill(name)
            rig.replace_state(name, saved.get(name) if name == old else None)
        rig.start_all([old, empty])
        rig.until(lambda: all(rig.asked(n, "/v1/owners")["votes"] for n in (old, empty)), 60.0)
        # A gateway whose disk fails does not vote, and reports why.
        rig.fill_disk(old)
        rig.kill(rig.owner("restarts"))
        rig.until(lambda: rig.asked(old, "/v1/owners")["disk"], 30.0)
        _, output = rig.fleet("owners")
        assert f"{old}: its disk takes no vote: Is a directory" in output, output
        assert "cannot write votes to disk: voting suspended" in rig.log_of(old)
        rig.repair_disk(old)
        rig.owner("restarts", within=60.0)

    rig = FleetRig(tmp_path, 5)
    rig.run(script)
    assert rig.broken() == []


def test_adding_a_gateway_needs_majorities_of_both_lists(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        full_site = rig.site
        rig.site = msgspec.structs.replace(full_site, gateways=full_site.gateways[:3])
        rig.write_site()
        old = rig.names[:3]
        rig.start_all(old)
        rig.owner("restarts")
        rig.site = full_site
        rig.write_site()
        rig.start_all(["g3"])
        for number, name in enumerate(old):
            rig.kill(name)
            rig.start_all([name])
            rig.owner("restarts", within=60.0)
            settled = [rig.asked(n, "/v1/owners")["settled"] for n in old[: number + 1]]
            assert number == 2 or not any(settled), "too few gateways use the new list"
        rig.until(lambda: all(rig.asked(n, "/v1/owners")["settled"] for n in rig.names), 60.0)
        rig.until(lambda: rig.asked("g3", "/v1/owners")["votes"], 60.0)
        # A majority of the four is three, the new gateway included.
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


def test_plan_can_be_stopped_resumed_and_given_up(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner("restarts")
        rig.wires.held = is_drain
        rig.by_fleet(*PLAN)
        rig.until(lambda: rig.wires.waiting)
        code, output = rig.fleet("restart", "--by-fleet")
        assert code == 2 and "is not at its end" in output, output
        assert rig.fleet("plan", "stop")[0] == 0 and rig.plan() == "stopped"
        rig.wires.held = lambda step: False
        rig.wires.release_held()
        assert rig.fleet("plan", "resume")[0] == 0
        rig.until(lambda: any(line["ev"] == "step_out" and line.get("started_by") for line in rig.lines()))
        assert rig.fleet("plan", "give-up")[0] == 0 and rig.plan() == "given up"
        code, output = rig.fleet("plan", "status")
        assert code == 0 and "given up" in output, output
        code, output = rig.fleet("plan", "stop")
        assert code == 2 and "no plan is under way" in output, output

    rig = FleetRig(tmp_path, 3)
    rig.run(script)
    assert rig.broken() == []


def test_one_verdict_is_sent_per_window_across_owners(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        receiver = rig.receiver
        assert receiver is not None
        rig.start_all()
        owner = rig.owner("verdicts")
        rig.until(lambda: len(receiver.verdicts) >= 2)
        receiver.invalid_answer = b'{"last": "tomorrow"}'
        rig.until(lambda: "does not count" in str(rig.asked(owner, "/v1/owners")["duties"]["verdicts"]))
        receiver.invalid_answer = None
        # Named as in a day script; the suspension ends by itself.
        rig.do_fault(Fault(kind="daemon_still", at=0.0, len=6 * rig.lease, who="owner of verdicts"))
        rig.owner("verdicts", but=[owner], within=60.0)
        verdict_count, term = len(receiver.verdicts), receiver.term
        rig.until(lambda: len(receiver.verdicts) >= verdict_count + 2)
        rig.until(lambda: owner in rig._alive() and not rig._owns(owner, "verdicts"))
        assert receiver.term >= term

    rig = FleetRig(tmp_path, 3, verdicts_every=0.7)
    rig.run(script)
    assert rig.broken() == []
    assert (
        len({line["owner"] for line in rig.lines() if line["ev"] == "verdict" and line["status"] == 200}) == 2
    )


# ---- the checker reports violations ------------------------------------------------------------------------


def tape(lines: list[tuple[float, str, dict[str, Any]]]) -> list[Line]:
    out = []
    for number, (t, ev, fields) in enumerate(lines):
        line = Line({"t": t, "ev": ev, **fields})
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
    **result: Any,
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
    out = {"id": number, "status": status, "boot": "", "started_by": "", "phase": "draining", **result}
    return [(t, "step", step), (t + 0.1, "step_in", {"id": number}), (t + 0.2, "step_out", out)]


VIOLATIONS: dict[str, list[tuple[float, str, dict[str, Any]]]] = {
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


@pytest.mark.parametrize("invariant", VIOLATIONS)
def test_checker_reports_each_violated_invariant(invariant: str) -> None:
    violations = check_owners(tape(VIOLATIONS[invariant]), ["g0", "g4"], 1, invariant == "nobody left out")
    assert [violation.invariant for violation in violations] == [invariant] or invariant == "nobody left out"
    assert violations[0].invariant == invariant
    good = [
        *call(1, 1, "g0", 1, "g0", boot="a"),
        *call(2, 2, "g1", 2, "g0", then="", boot="b", started_by="p/g0", phase="ready"),
        *call(3, 3, "g0", 1, "g0", status=409),
    ]
    assert check_owners(tape(good), ["g0"], 1, True) == []


def test_day_of_one_process_rejects_faults_between_daemons(tmp_path: Path) -> None:
    for kind in DAEMON_FAULTS:
        raw = {
            "name": "d",
            "length": 9.0,
            "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
            "faults": [{"kind": kind, "at": 1.0, "who": "owner of restarts"}],
        }
        (tmp_path / "day.json").write_bytes(msgspec.json.encode(raw))
        with pytest.raises(BadInput, match=rf"faults\[0\].kind: {kind} is played between daemons alone"):
            read_day(tmp_path / "day.json")


def test_overlapping_kills_restart_a_gateway_once(tmp_path: Path) -> None:
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


def test_links_are_cut_in_one_direction_or_both_and_healed() -> None:
    cuts = Cuts(random.Random(1))
    cuts.cut(["a"], ["a", "b"], back=False)
    assert not cuts.open("a", "b") and cuts.open("b", "a") and cuts.open("a", "a")
    cuts.everywhere = MessageFaults(0.5, 0.5, 1.0)
    deliveries = [cuts.arrives("b", "a") for _ in range(400)]
    assert 120 < sum(not times for times in deliveries) < 280 and {len(times) for times in deliveries} == {
        0,
        1,
        2,
    }
    assert max(max(times) for times in deliveries if times) > 0.8
    cuts.heal()
    assert cuts.arrives("a", "b") == [0.0]
