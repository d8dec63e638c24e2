"""The model: one seed one result, closed forms, rules and scripts as on loopback, spoilt gates seen."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.config import KINDS, Day, read_day
from ledgehitch.lab.facts import PORTS
from ledgehitch.model.agenda import Agenda
from ledgehitch.model.day import Ground, Result, played
from ledgehitch.proof.check import check_rules, rule_parameters
from ledgehitch.standins.places import ORPHAN_TIMEOUT_S
from ledgehitch.standins.plan import site_of, steps_of
from ledgehitch.standins.visiting import Seen

ROOT = Path(__file__).parent.parent
SMALL: dict[str, Any] = {
    "name": "small",
    "length": 20.0,
    "arrivals": {
        "rate": 12.0,
        "mix": [{"package": "recorded", "share": 2.0, "watch": 8.0}, {"package": "live", "watch": 8.0}],
        "repeats": 0.1,
        "impatient": 0.05,
    },
    "shape": {"gateways": 3, "hosts": 6, "link_kb": 9000.0},
}


def day(**more: Any) -> Day:
    return msgspec.json.decode(msgspec.json.encode({**SMALL, **more}), type=Day)


def play(what: Day, seed: int = 1, **more: Any) -> Result:
    site = site_of(what, seed, PORTS)
    return played(what, site, steps_of(what, site, seed), seed, **more)


def broken(what: Day, result: Result, seed: int = 1) -> list[str]:
    return [b.describe() for b in check_rules(result.tape, rule_parameters(site_of(what, seed, PORTS)))]


def test_calls_are_made_in_the_order_of_their_times_and_then_of_their_coming() -> None:
    agenda = Agenda()
    made: list[str] = []

    def b() -> None:
        made.append("b")
        agenda.at(0.5, made.append, "late")

    agenda.at(2.0, made.append, "c")
    agenda.at(1.0, made.append, "a")
    agenda.at(1.0, b)
    agenda.run(1.5)
    assert made == ["a", "b", "late"] and agenda.now == 1.5
    agenda.run(3.0)
    assert made[-1] == "c" and agenda.done == 4


def test_one_seed_gives_one_result_byte_for_byte_in_any_process() -> None:
    code = (
        "import json, sys; from pathlib import Path; from blake3 import blake3\n"
        "from tests.test_model import play, read_day, ROOT\n"
        "r = play(read_day(ROOT / 'days' / 'bad-day.lh'), int(sys.argv[1]))\n"
        "print(blake3(json.dumps([r.tape, r.told()]).encode()).hexdigest())\n"
    )

    def digest(hashed: str, seed: str) -> str:
        done = subprocess.run(
            [sys.executable, "-c", code, seed],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env={"PYTHONHASHSEED": hashed, "PATH": "/usr/bin:/bin"},
            timeout=60,
        )
        assert done.returncode == 0, done.stderr
        return done.stdout

    first = digest("1", "7")
    assert first == digest("2", "7") and first != digest("1", "8")


@pytest.mark.parametrize("script", ["bad-day.lh", "overload.lh"])
def test_days_of_the_loopback_keep_all_rules_in_the_model(script: str) -> None:
    what = read_day(ROOT / "days" / script)
    result = play(what, 3)
    assert broken(what, result, 3) == [] and result.stopped_at_gate == 0
    kinds = {line["ev"] for line in result.tape}
    assert {"ask", "answer", "setup", "setup_out", "stop", "rung"} <= kinds, (
        "a tape of nothing proves nothing"
    )
    assert result.service.joined > 200


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_every_kind_of_fault_is_played_and_keeps_the_rules(kind: str) -> None:
    what = day(faults=[{"kind": kind, "at": 3.0, "len": 6.0, "part": 0.5}])
    result = play(what)
    assert broken(what, result) == []
    assert result.service.joined > 100
    if KINDS[kind].target not in ("viewers",):
        assert result.met, "it met somebody"


def test_a_fault_costs_service_and_the_fleet_comes_back() -> None:
    def served(result: Result, first: int, last: int) -> float:
        cells = [v for s, v in result.service.by_second.items() if first <= s < last]
        return sum(e for _, e in cells) / sum(a for a, _ in cells)

    crashed = day(length=30.0, faults=[{"kind": "hang", "at": 8.0, "len": 6.0, "part": 0.7}])
    result, calm = play(crashed), play(day(length=30.0))
    assert served(result, 9, 14) < served(calm, 9, 14) - 0.1
    assert served(result, 22, 28) > served(calm, 22, 28) - 0.08


def test_a_killed_gateway_lets_its_viewings_go_and_a_new_life_serves() -> None:
    what = day(shape={**SMALL["shape"], "gateways": 1})
    site = site_of(what, 1, PORTS)
    ground = Ground(what, site, 1)
    ground.start_gateway("g0")
    ground.agenda.after(0.25, ground.beat)
    ground.agenda.run(1.0)
    ground.crowd.begin()
    ground.agenda.run(6.0)
    (front,) = ground.fronts.values()
    held = sum(len(h.sessions) for h in ground.hosts.values())
    assert held > 20 and len(front.viewings) >= held * 0.9
    steps = steps_of(
        day(
            shape={**SMALL["shape"], "gateways": 1},
            faults=[
                {"kind": "gateways_killed", "at": 0.0, "len": 1.0, "part": 1.0, "size": 1.0, "extra": 1.0}
            ],
        ),
        site,
        1,
    )
    assert [s.do for s in steps] == ["kill", "start"]
    ground.do(steps[0])
    assert not front.up and ground.crowd.gateway(0.5) is front
    ground.agenda.run(6.5)
    ground.do(steps[1])
    ground.agenda.run(6.0 + ORPHAN_TIMEOUT_S + 0.1)
    assert all(front not in h.by_front for h in ground.hosts.values()), "what nobody steers has ended"
    assert any(h.sessions for h in ground.hosts.values()), "the new life admits viewers"


def test_blocked_share_of_one_link_without_adaptation_agrees_with_erlang_b() -> None:
    offered, hold = 18.0, 10.0
    what = msgspec.json.decode(
        msgspec.json.encode(
            {
                "name": "erlang",
                "length": 3000.0,
                "settle": 1.0,
                "arrivals": {
                    "rate": offered / hold,
                    "mix": [{"package": "p", "watch": hold}],
                    "returns": 0.0,
                    "small_screens": 0.0,
                    "leave_under": 0.0,
                },
                "shape": {
                    "gateways": 1,
                    "hosts": 1,
                    "titles": 1,
                    "rack": 1,
                    "slots": 20,
                    "link_kb": 1e6,
                    "uplink_share": 1000.0,
                    "setup": 0.001,
                    "setup_spread": 0.0,
                    "true_rate_spread": 0.0,
                    "report_noise": 0.0,
                },
                "site": {
                    "ladder": [{"kb": 100.0, "earns": 1.0}],
                    "packages": [{"name": "p", "join_target": 0.05, "patience": 0.1}],
                },
            }
        ),
        type=Day,
    )
    result = play(what)
    blocking = 1.0
    for servers in range(1, 21):
        blocking = offered * blocking / (servers + offered * blocking)
    n = result.service.visits
    blocked = result.service.answers.get("blocked", 0) / n
    error = 3 * (blocking * (1 - blocking) * (1 + 2 * offered / 10) / n) ** 0.5
    assert n > 5000 and blocking > 0.05
    assert abs(blocked - blocking) < error, (blocked, blocking, error)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.integers(1, 10**6), st.floats(2000.0, 40000.0), st.floats(0.2, 1.5))
def test_what_hosts_ask_is_the_sum_of_their_sessions_and_no_link_gives_more_than_it_has(
    seed: int, link_kb: float, uplink: float
) -> None:
    what = day(length=6.0, shape={**SMALL["shape"], "link_kb": link_kb, "uplink_share": uplink})
    site = site_of(what, seed, PORTS)
    ground = Ground(what, site, seed, taped=False)
    for g in site.gateways:
        ground.start_gateway(g.name)
    ground.agenda.after(0.25, ground.beat)
    ground.agenda.run(2.0)
    ground.crowd.begin()
    for n in range(10):
        ground.agenda.run(2.0 + 0.6 * n)
        by_rack: dict[int, float] = {}
        for host in ground.hosts.values():
            asked = sum(s.kb for s in host.sessions.values())
            assert host.asked == pytest.approx(asked, abs=1e-6)
            assert {s.id for of in host.by_front.values() for s in of.values()} == set(host.sessions)
        told = ground.fabric.deliveries({n: h.asked for n, h in ground.hosts.items() if h.up})
        for name, delivery in told.items():
            given_kb = ground.hosts[name].asked * delivery.share
            assert given_kb <= ground.fabric.links[name].available_kb * (1 + 1e-9)
            rack = ground.fabric.rack_of[name]
            by_rack[rack] = by_rack.get(rack, 0.0) + given_kb
        for rack, kb in by_rack.items():
            assert kb <= ground.fabric.uplinks[rack].available_kb * (1 + 1e-9)


STRICT: dict[str, Any] = {
    "packages": [
        {"name": "recorded", "join_target": 0.8, "patience": 3.0, "seats": 2},
        {"name": "live", "join_target": 0.8, "patience": 3.0, "value": 3.0, "effect": "once"},
    ],
    "terms": {
        "extra_free": 1.0,
        "extra_ratio": 0.02,
        "extra_window": 5.0,
        "warm_up": 6.0,
        "cold_share": 0.1,
        "fall_multiple": 1.0,
        "fall_after": 2.0,
    },
}
TROUBLES = [
    {"kind": "answers_lost", "at": 2.0, "len": 8.0, "part": 0.6, "size": 0.6, "extra": 1.0},
    {"kind": "deploy", "at": 4.0, "len": 6.0, "part": 0.7, "size": 0.2, "extra": 5.0},
    {"kind": "fast_errors", "at": 8.0, "len": 5.0, "part": 0.6, "size": 0.8},
]


def strict() -> Day:
    arrivals = {**SMALL["arrivals"], "rate": 40.0, "repeats": 0.0}
    shape = {**SMALL["shape"], "link_kb": 60000.0, "slots": 40}
    return day(site=STRICT, faults=TROUBLES, arrivals=arrivals, shape=shape)


def test_a_strict_site_keeps_its_rules_under_trouble() -> None:
    what = strict()
    assert broken(what, play(what)) == []


@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5, 6])
def test_a_module_without_the_gate_of_a_rule_is_seen_to_break_it(rule: int) -> None:
    what = strict()
    result = play(what, gates_out=(rule,))
    assert any(b.startswith(f"rule {rule}:") for b in broken(what, result))


def test_what_a_viewer_sees_without_answers_is_nothing_and_it_leaves() -> None:
    import random

    seen = Seen(10.0)
    seen.on_answer(10.0, 0.9, 2)
    assert seen.visible_share(11.0) == 0.9 and seen.visible_share(11.6) == 0.0
    assert not seen.gives_up(11.0, 1.0, 0.5, random.Random(1))
    assert seen.gives_up(13.1, 1.0, 0.0, random.Random(1)), "three seconds without media"


def test_a_day_too_large_for_loopback_plays_in_the_model_and_is_refused_there() -> None:
    from ledgehitch.config import BadInput
    from ledgehitch.loop import Loop
    from ledgehitch.rehearsal.play import Stage

    large = day(length=3.0, shape={"gateways": 100, "hosts": 60})
    assert play(large).service.joined > 10
    with pytest.raises(BadInput, match="100 gateways and 60 media hosts; on loopback 64 and 400"):
        Stage(Loop(), large, 1, ROOT / "unused")


def test_results_can_be_written_as_json() -> None:
    told = play(day(length=5.0)).told()
    again = json.loads(json.dumps(told))
    assert again == told and again["samples"]["2"]["rungs"]


def test_seeks_and_new_sizes_are_new_tune_ins_of_the_same_visit() -> None:
    calm = play(day())
    arrivals = {**SMALL["arrivals"], "seeks": 0.2, "resizes": 0.1}
    what = day(arrivals=arrivals)
    result = play(what)
    assert broken(what, result) == []
    assert result.service.answers["plays"] > 1.8 * calm.service.answers["plays"]
    assert result.service.joined <= result.service.visits, "a visit joins once"


@pytest.mark.parametrize("shape", ["peak", "event"])
def test_clips_have_their_peak_and_events_their_beginning(shape: str) -> None:
    arrivals = {**SMALL["arrivals"], "shape": shape, "swing": 0.8}
    times = [line["t"] - 2.0 for line in play(day(arrivals=arrivals)).tape if line["ev"] == "ask"]
    middle = sum(8.0 <= t <= 12.0 for t in times) / len(times)
    first = sum(t <= 3.0 for t in times) / len(times)
    assert (middle > 0.35) if shape == "peak" else (first > 0.5)


def test_halls_far_apart_make_joins_late_and_swinging_rates_make_delivery_short() -> None:
    near = day(shape={**SMALL["shape"], "zones": 3})
    far = day(shape={**SMALL["shape"], "zones": 3, "far": 0.1})
    assert play(far).service.joins.get_mean_value() > play(near).service.joins.get_mean_value() + 80_000
    swings = day(shape={**SMALL["shape"], "true_rate_swing": 0.5})
    assert play(swings).service.short_seconds > play(day()).service.short_seconds + 10


HARD: dict[str, dict[str, Any]] = {
    "an uplink weakens further and further": {
        "faults": [
            {"kind": "uplink_shrink", "at": 3.0 + 2 * n, "len": 10.0, "part": 1.0, "size": 1.5}
            for n in range(3)
        ]
    },
    "a burst right after a restart wave": {
        "faults": [
            {"kind": "gateways_killed", "at": 4.0, "len": 1.0, "part": 1.0, "size": 1.0, "extra": 1.0},
            {"kind": "burst", "at": 7.0, "len": 5.0, "size": 5.0},
        ]
    },
    "every holder is gone": {"faults": [{"kind": "crash", "at": 5.0, "len": 5.0, "part": 1.0}]},
    "twice the load for ten minutes": {
        "length": 600.0,
        "arrivals": {**SMALL["arrivals"], "rate": 24.0},
        "shape": {**SMALL["shape"], "hosts": 3, "gateways": 2},
    },
    "the list is away while hosts are replaced": {
        "faults": [
            {"kind": "list_lost", "at": 3.0, "len": 8.0},
            {"kind": "deploy", "at": 4.0, "len": 6.0, "part": 1.0, "size": 0.34, "extra": 1.0},
        ]
    },
}


@pytest.mark.parametrize("case", sorted(HARD))
def test_hard_cases_keep_the_rules_and_the_fleet_serves_in_the_end(case: str) -> None:
    what = day(**HARD[case])
    result = play(what)
    assert broken(what, result) == [] and result.stopped_at_gate == 0
    last = [v for s, v in result.service.by_second.items() if what.length - 4 <= s < what.length]
    assert sum(e for _, e in last) > 0.1 * sum(a for a, _ in last)
    if case == "every holder is gone":
        assert result.service.answers["blocked"] > 10


def test_a_host_that_falls_over_takes_its_viewings_along_and_the_others_go_on() -> None:
    result = play(strict(), gates_out=(4,))
    fell = [line["host"] for line in result.tape if line["ev"] == "fell"]
    ended = {line["id"].partition("+")[0] for line in result.tape if line["ev"] == "stop"}
    assert fell and set(fell) & ended
    late = [
        line
        for line in result.tape
        if line["ev"] == "setup_out" and line["status"] == 201 and line["t"] > 18.0
    ]
    assert len({line["id"].partition("+")[0] for line in late} - set(fell)) >= 1
