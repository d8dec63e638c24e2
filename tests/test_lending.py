"""Budgets of several processes, with faults between them; checked by the traffic on the sockets."""

import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ledgehitch.budgets.facts import WHOLE, loan_duration
from ledgehitch.proof.budgeted import FleetLimits, check_budgets
from ledgehitch.proof.tape import Line
from ledgehitch.rehearsal.fleet import FleetRig

RATE = 20.0
DOOR = {"on": True, "package_rates": {"recorded": RATE}, "set_ups": 30.0}


def make_rig(directory: Path, gateways: int, **more: Any) -> FleetRig:
    """Returns a rig whose viewers request three times the admitted rate and watch so briefly that hosts have
    room."""
    return FleetRig(directory, gateways, hosts=9, rate=3 * RATE, watch=0.3, door=DOOR, **more)


def part(rig: FleetRig, name: str, budget: str = "offers.recorded") -> float:
    status = rig.asked(name, "/v1/budgets")
    return (status["budgets"][budget]["own"] + status["budgets"][budget]["loan"]) / WHOLE if status else 0.0


def admitted_share(rig: FleetRig, seconds: float = 4.0) -> float:
    """Returns the fraction of the whole rate that was admitted recently, as seen by the media hosts."""
    now = time.monotonic()
    return rig.first_tune_ins(now - seconds, now) / seconds / RATE


def has_own_part_only(rig: FleetRig, name: str) -> bool:
    status = rig.asked(name, "/v1/budgets")
    return bool(status and status["alone"]) and part(rig, name) <= 0.1 / len(rig.names) + 1e-6


def test_parts_of_dead_gateways_are_lent_to_others_and_return_with_them(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.93, 60.0, 0.5)
        dead = rig.names[:3]
        for name in dead:
            rig.kill(name)
        rig.until(lambda: sum(part(rig, n) for n in rig.names[3:]) >= 0.95, 60.0)
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        rig.start_all(dead)
        rig.until(lambda: min(part(rig, n) for n in rig.names) > 0.05, 60.0)
        # Without a fourth gateway there are only own parts, which is reported, until it returns.
        for name in rig.names[3:]:
            rig.kill(name)
        rig.until(lambda: all(has_own_part_only(rig, n) for n in dead), 60.0)
        code, output = rig.fleet("budgets")
        assert code == 1 and "own parts alone: nobody is known to lend" in output, output
        rig.start_all(rig.names[3:])
        rig.until(lambda: min(part(rig, n) for n in rig.names) > 0.05, 60.0)
        code, output = rig.fleet("budgets")
        assert code == 0 and "offers.recorded" in output and "lends" in output, output

    rig = make_rig(tmp_path, 7)
    rig.run(script)
    assert rig.over_budget() == [] and any(x["ev"] == "lent" for x in rig.lines())


def test_failing_and_suspended_lenders_and_a_borrower_suspended_past_its_loan(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        first = rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        suspended = next(n for n in rig.names if n != first and part(rig, n) > 0.05)
        rig.suspend(suspended)
        rig.loop.sleep(1.5 * loan_duration(rig.lease))
        rig.resume(suspended)  # its loan has expired, and requests wait in its sockets
        rig.wires.lent_late = 0.2  # answers are in flight when their lender is suspended
        rig.suspend(first)
        second = rig.owner("budgets", but=[first], within=60.0)
        rig.kill(second)  # while it waits for loans of the first one
        rig.owner("budgets", but=[first, second], within=60.0)
        rig.resume(first)
        rig.start_all([second])
        rig.until(lambda: min(part(rig, n) for n in rig.names) > 0.05, 60.0)
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)

    rig = make_rig(tmp_path, 5)
    rig.run(script)
    assert rig.over_budget() == []


def test_repeated_partitions_never_exceed_the_budgets(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        for turn in range(10):
            there, back = ((True, True), (True, False), (False, True))[turn % 3]
            rig.cut("hall z0", there=there, back=back)
            rig.loop.sleep(0.2 + 0.2 * turn)
            rig.heal()
            rig.loop.sleep(0.3)
        # A lasting partition of 3 of 6 gateways: there is no lender on either side.
        rig.cut("hall z0")
        rig.until(lambda: all(has_own_part_only(rig, n) for n in rig.names), 60.0)
        rig.heal()
        rig.until(lambda: min(part(rig, n) for n in rig.names) > 0.05, 60.0)

    rig = make_rig(tmp_path, 6, zones=2)
    rig.run(script)
    assert rig.over_budget() == []


def test_partitioned_halves_admit_by_own_units_on_both_sides(tmp_path: Path) -> None:
    """The own part is a tenth of thirty set-ups, three units for six gateways: some on each side have one."""

    def script(rig: FleetRig) -> None:
        rig.start_all()
        rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        rig.cut("hall z0")
        rig.until(lambda: all(has_own_part_only(rig, n) for n in rig.names), 60.0)
        own = {n: part(rig, n, "set_ups") * 30.0 for n in rig.names}
        assert sorted(round(units, 3) for units in own.values()) == [0, 0, 0, 1, 1, 1], own
        since = time.monotonic()
        halves = [rig.gateways_matching("hall z0"), rig.gateways_matching("hall z1")]
        rig.until(lambda: all(rig.first_tune_ins(since, by=half) >= 2 for half in halves), 60.0, 0.5)

    rig = make_rig(tmp_path, 6, zones=2)
    rig.run(script)
    assert rig.over_budget() == []


def test_limit_halved_by_a_reload_takes_effect_at_once(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> Any:
        rig.start_all()
        rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        whole = rig.site
        half = msgspec.structs.replace(whole.door, package_rates={"recorded": RATE / 2}, set_ups=15.0)
        rig.reload(msgspec.structs.replace(whole, door=half))
        since = time.monotonic()
        rig.until(lambda: rig.first_tune_ins(since) >= 60, 60.0, 0.5)
        assert check_budgets(rig.lines(), FleetLimits({"recorded": RATE / 2}, 15.0, 3), since) == []
        return whole

    rig = make_rig(tmp_path, 3)
    assert rig.over_budget(rig.run(script)) == []


def test_adding_a_gateway_and_declaring_dead_ones_gone_while_loans_continue(tmp_path: Path) -> None:
    def script(rig: FleetRig) -> None:
        five = rig.site
        rig.site = msgspec.structs.replace(five, gateways=five.gateways[:4])
        rig.write_site()
        rig.start_all(rig.names[:4])
        rig.owner("budgets")
        rig.viewers()
        rig.until(lambda: admitted_share(rig) >= 0.9, 60.0, 0.5)
        rig.site = five
        rig.write_site()
        rig.start_all(["g4"])
        for number, name in enumerate(rig.names[:4]):
            rig.kill(name)
            rig.start_all([name])
            if number < 3:
                assert part(rig, "g4") <= 0.0, "the others do not count it yet"
                rig.until(lambda name=name: part(rig, name) > 0.1, 60.0)  # type: ignore[misc]
        # No viewer uses the newcomer: it has only its own part, the others share the rest.
        rig.until(lambda: part(rig, "g4") > 0.0 and min(part(rig, n) for n in rig.names[:4]) > 0.1, 60.0)
        # Three of five fail; an operator declares two of them gone.
        for name in ("g1", "g2", "g3"):
            rig.kill(name)
        rig.until(lambda: has_own_part_only(rig, "g0") and has_own_part_only(rig, "g4"), 60.0)
        rest = [msgspec.structs.replace(g, gone=g.name in ("g1", "g2")) for g in five.gateways]
        rig.site = msgspec.structs.replace(five, gateways=rest)
        rig.write_site()
        for name in ("g0", "g4"):
            rig.kill(name)
            rig.start_all([name])
        rig.until(lambda: part(rig, "g0") + part(rig, "g4") > 0.9, 60.0)
        rig.start_all(["g1"])  # a gateway declared gone that starts anyway gets nothing
        rig.until(lambda: bool((rig.asked("g1", "/v1/budgets") or {}).get("alone")), 60.0)
        rig.loop.sleep(2 * loan_duration(rig.lease))
        assert part(rig, "g1") == 0.0 and part(rig, "g0") + part(rig, "g4") > 0.9

    rig = make_rig(tmp_path, 5)
    rig.run(script)
    assert rig.over_budget() == []


# ---- checks of tapes ---------------------------------------------------------------------------------------


Events = list[tuple[float, str, dict[str, Any]]]


def make_tape(lines: Events) -> list[Line]:
    out = []
    for number, (t, ev, more) in enumerate(sorted(lines, key=lambda x: x[0])):
        line = Line({"t": t, "ev": ev, **more})
        line.at = f"x:{number}"
        out.append(line)
    return out


def set_up_events(number: int, t: float, over: float) -> Events:
    key = f"g{number % 3}.b.{number}.0"
    begun = {
        "id": number,
        "host": "h0",
        "key": key,
        "gateway": f"g{number % 3}",
        "package": "recorded",
        "title": "t",
        "rung": 0,
    }
    return [(t, "setup", begun), (over, "setup_out", {"id": number, "status": 201})]


def loan_events(
    who: str, t: float, number: int, share: float, life: int = 1, by: str = "g9", term: int = 1
) -> Events:
    """Returns the events of a loan: request, answer, and a later request that confirms it."""
    ask = {"who": who, "to": by, "term": term, "life": life}
    return [
        (t, "want", {**ask, "sequence": number, "number": 0}),
        (
            t + 0.1,
            "lent",
            {
                "who": by,
                "to": who,
                "term": term,
                "life": life,
                "sequence": number,
                "number": number,
                "seconds": 5.0,
                "loans": [int(share * WHOLE)],
            },
        ),
        (t + 1.0, "want", {**ask, "sequence": number + 50, "number": number}),
    ]


LIMITS = FleetLimits({"recorded": 10.0}, 4.0, 3, 3.0, {f"g{n}": [WHOLE // 30] for n in range(3)})
FAULTY_TAPES: dict[str, Events] = {
    "rates are kept": [x for n in range(60) for x in set_up_events(n, n / 20, n / 20 + 0.01)],
    "set-ups at once are kept": [x for n in range(5) for x in set_up_events(n, n / 5, 9.0)],
    "parts are within the whole": [*loan_events("g0", 1.0, 1, 0.6), *loan_events("g1", 2.0, 2, 0.4)],
}


@pytest.mark.parametrize("invariant", FAULTY_TAPES)
def test_each_check_fails_on_a_faulty_tape(invariant: str) -> None:
    assert [b.invariant for b in check_budgets(make_tape(FAULTY_TAPES[invariant]), LIMITS)] == [invariant]
    good = [x for n in range(60) for x in set_up_events(n, n / 9, n / 9 + 0.3)]
    good += [
        *loan_events("g0", 1.0, 1, 0.6),
        *loan_events("g1", 6.1, 2, 0.4),
        *loan_events("g2", 12.0, 3, 0.9),
    ]
    good += [(13.5, "gateway", {"gateway": "g2", "how": "killed"}), *loan_events("g2", 13.6, 1, 0.9, life=2)]
    good += [(20.0, "want", {"who": "g1", "to": "g9", "term": 2, "life": 1, "sequence": 9, "number": 7})]
    assert check_budgets(make_tape(good), LIMITS) == []


def test_loan_under_a_former_term_counts_until_its_holder_lends() -> None:
    """A lender's loan to itself crosses no socket, and replaces its former loan."""
    had = loan_events("g0", 1.0, 1, 0.6)
    with_it = [*had, *loan_events("g1", 2.0, 2, 0.4, by="g0", term=2)]
    assert check_budgets(make_tape(with_it), LIMITS) == []
    for other in (
        loan_events("g1", 2.0, 2, 0.4, by="g2", term=2),
        loan_events("g1", 2.0, 2, 0.4, by="g0", term=1),
    ):
        assert [b.invariant for b in check_budgets(make_tape([*had, *other]), LIMITS)] == [
            "parts are within the whole"
        ], "another gateway lends, or the term is not a later one"
    before = [*had, *loan_events("g1", 1.5, 2, 0.4), *loan_events("g2", 3.0, 3, 0.1, by="g0", term=2)]
    assert [b.invariant for b in check_budgets(make_tape(before), LIMITS)] == ["parts are within the whole"]
