"""The rule checker: finds each breach on synthetic tapes, and on real gateways with one safeguard removed."""

from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from ledgehitch.brain import Gateway
from ledgehitch.http import NoAnswer, Request, Response
from ledgehitch.proof.check import (
    Breach,
    PackageTerms,
    RuleParameters,
    check_rules,
    check_tapes,
    rule_parameters,
)
from ledgehitch.proof.tape import Line, Tape, read_tapes
from ledgehitch.send_guard import SendGuard
from ledgehitch.signalling import Answer, ViewingRegistry
from tests.rig import Host, Rig

F = RuleParameters(
    answer_slack=0.2,
    drain_grace=1.0,
    warm_up=10.0,
    cold_share=0.5,
    fall_multiple=2.0,
    fall_after=2.0,
    packages={
        "p": PackageTerms(),
        "floor": PackageTerms(floor=1),
        "seats": PackageTerms(seats=2),
        "once": PackageTerms(effect="once"),
        "key": PackageTerms(effect="by_key", key_scope="zone", key_window=1.0),
    },
    zones={"h0": "a", "h1": "b", "h2": "a"},
    cells={},
)


def tape(*events: tuple[float, str, dict[str, Any]]) -> list[Line]:
    lines = []
    for number, (t, ev, fields) in enumerate(events, 1):
        line = Line({"t": t, "ev": ev, **fields})
        line.at = f"made:{number}"
        lines.append(line)
    return sorted(lines, key=lambda x: x["t"])


def test_time_in_which_a_gateway_is_stopped_is_not_counted() -> None:
    still = (10.5, "gateway", {"gateway": "g0", "how": "still"})
    goes_on = (16.0, "gateway", {"gateway": "g0", "how": "goes_on"})

    def answered(t: float) -> Any:
        fields = {"conn": 1, "status": 201, "kind": "plays", "extra": 0, "resource": "r"}
        return check_rules(tape(ask(10.0), still, goes_on, (t, "answer", fields)), F)

    assert answered(18.4) == [] and [b.rule for b in answered(19.0)] == [1]
    assert [b.rule for b in check_rules(tape(ask(10.0), (14.0, "hangup", {"conn": 1})), F)] == [1]
    assert check_rules(tape(ask(10.0), still, (14.0, "hangup", {"conn": 1}), goes_on), F) == []


def ask(t: float, conn: int = 1, gateway: str = "g0", who: str = "v", offer: str = "o") -> Any:
    return (
        t,
        "ask",
        {
            "conn": conn,
            "who": who,
            "package": "p",
            "title": "t",
            "gateway": gateway,
            "patience": 3.0,
            "offer": offer,
        },
    )


def answered(
    t: float, conn: int = 1, status: int = 201, kind: str = "plays", extra: int = 0, resource: str = "/a"
) -> Any:
    return t, "answer", {"conn": conn, "status": status, "kind": kind, "extra": extra, "resource": resource}


def set_up(
    t: float, host: str = "h0", id: str = "s", key: str = "g0.b.1.0", package: str = "p", rung: int = 1
) -> Any:
    return (
        t,
        "setup",
        {
            "host": host,
            "id": id,
            "key": key,
            "gateway": key.split(".")[0],
            "package": package,
            "title": "t",
            "rung": rung,
        },
    )


def set_up_answered(t: float, id: str = "s", status: int = 201) -> Any:
    return t, "setup_out", {"id": id, "status": status}


def set_up_closed(t: float, id: str = "s") -> Any:
    return t, "setup_gone", {"id": id}


def host_listed(t: float, state: str, host: str = "h0") -> Any:
    return t, "told", {"gateway": "g0", "host": host, "state": state}


GOOD = [
    ask(0.0),
    set_up(0.1, key="g0.b.1.0"),
    set_up_closed(0.4),
    set_up(0.45, "h1", "s2", "g0.b.1.1"),
    set_up_answered(0.6, "s2"),
    answered(0.7),
    host_listed(1.0, "terminating"),
    set_up(1.9, "h0", "s3", "g0.b.2.0"),
    set_up_answered(2.0, "s3", 503),
    (3.0, "started", {"host": "h2", "slots": 20}),
    set_up(3.1, "h2", "s4", "g0.b.3.0"),
    set_up_answered(3.2, "s4"),
    ask(4.0, 2),
    (4.5, "hangup", {"conn": 2}),
    ask(5.0, 3, "g1"),
    (5.5, "gateway", {"gateway": "g1", "how": "killed"}),
    (5.6, "broken", {"conn": 3}),
]

BROKEN: list[tuple[int, str, list[Any]]] = [
    (1, "never answered", [ask(0.0)]),
    (1, "never answered", [ask(0.0), (1.0, "broken", {"conn": 1, "why": "ended"})]),
    (1, "never answered", [ask(0.0), (1.0, "gateway", {"gateway": "g1", "how": "killed"})]),
    (1, "never answered", [ask(0.0), (3.9, "hangup", {"conn": 1})]),
    (1, "answered 3.500 s after", [ask(0.0), answered(3.5)]),
    (1, "more than once", [ask(0.0), answered(1.0), answered(1.1)]),
    (1, "more than once", [ask(0.0), answered(1.0, extra=1)]),
    (1, "neither plays", [ask(0.0), answered(1.0, status=500, kind="other")]),
    (1, "two answers", [ask(0.0), ask(0.1, 2), answered(1.0), answered(1.0, 2, resource="/b")]),
    (
        2,
        "two tune-ins in progress",
        [set_up(0.0), set_up(0.5, "h1", "s2", "g0.b.1.1"), set_up_answered(1.0), set_up_answered(1.0, "s2")],
    ),
    (
        2,
        "two tune-ins in progress",
        [set_up(0.0), set_up(0.5, "h1", "s2", "g0.b.1.1"), set_up_answered(0.6, "s2")],
    ),
    (
        2,
        "paid for",
        [
            set_up(0.0, package="once"),
            set_up_closed(0.5),
            set_up(0.9, "h1", "s2", "g0.b.1.1", "once"),
            set_up_answered(1, "s2"),
        ],
    ),
    (
        2,
        "another zone",
        [
            set_up(0.0, package="key"),
            set_up_closed(0.2),
            set_up(0.5, "h1", "s2", "g0.b.1.1", "key"),
            set_up_answered(1, "s2"),
        ],
    ),
    (
        2,
        "key's window",
        [
            set_up(0.0, package="key"),
            set_up_closed(0.2),
            set_up(1.5, "h2", "s2", "g0.b.1.1", "key"),
            set_up_answered(2, "s2"),
        ],
    ),
    (
        3,
        "was listed as terminating",
        [host_listed(0.0, "in_service"), host_listed(1.0, "terminating"), set_up(2.3)],
    ),
    (
        3,
        "was listed as terminated",
        [host_listed(1.0, "terminated"), host_listed(2.0, "terminating"), set_up(2.3)],
    ),
    (4, "failed from overload", [(1.0, "fell", {"host": "h0"})]),
    (
        4,
        "4.0 are safe",
        [
            (0.0, "started", {"host": "h0", "slots": 20}),
            *(set_up(0.01 + n / 1000, id=f"s{n}", key=f"g{n % 3}.b.{n}.0") for n in range(6)),
        ],
    ),
    (5, "below its floor", [set_up(0.0, package="floor", rung=0), set_up_answered(0.1)]),
    (
        5,
        "below its floor",
        [set_up(0.0, package="floor"), set_up_answered(0.1), (1.0, "rung", {"id": "s", "rung": 0})],
    ),
    (
        5,
        "3 of seats/t",
        [
            *(
                x
                for n in range(3)
                for x in (
                    set_up(n, id=f"s{n}", key=f"g0.b.{n}.0", package="seats"),
                    set_up_answered(n + 0.1, f"s{n}"),
                )
            )
        ],
    ),
    (6, "extra tune-ins", [ask(0.0), *(set_up(0.1 + n, id=f"s{n}", key=f"g0.b.{n}.1") for n in range(3))]),
]


def test_a_tape_that_keeps_the_rules_has_no_breach() -> None:
    assert check_rules(tape(*GOOD), F) == []


@pytest.mark.parametrize(("rule", "what", "events"), BROKEN)
def test_a_breach_is_found_with_the_lines_that_show_it(rule: int, what: str, events: list[Any]) -> None:
    figures = replace(F, extra_free=1.0, extra_ratio=0.5, extra_window=4.0) if rule == 6 else F
    breaches = [b for b in check_rules(tape(*events), figures) if b.rule == rule]
    assert breaches and what in breaches[0].message, breaches
    assert breaches[0].lines and all(at.startswith("made:") for at in breaches[0].lines)
    assert len(breaches[0].times) == len(breaches[0].lines) and "rule" in breaches[0].describe()


def test_an_end_frees_a_seat() -> None:
    events = []
    for n in range(4):
        events += [
            set_up(2.0 * n, id=f"s{n}", key=f"g0.b.{n}.0", package="seats"),
            set_up_answered(2.0 * n + 0.1, f"s{n}"),
        ]
        events += [(2.0 * n + 1.5, "stop", {"id": f"s{n}"})]
    assert check_rules(tape(*events), F) == []


def test_tapes_are_merged_by_time_and_incomplete_lines_are_skipped(tmp_path: Path) -> None:
    one, two = Tape(tmp_path / "a.tape"), Tape(tmp_path / "b.tape")
    two.write("first", n=1)
    one.write("second", n=2)
    for t in (one, two):
        t.close()
    with open(tmp_path / "a.tape", "ab") as file:
        file.write(b'{"t": 1, "ev')
    lines = read_tapes(tmp_path)
    assert [line["ev"] for line in lines] == ["first", "second"] and lines[1].at == "a.tape:1"
    assert check_tapes(tmp_path, F) == ([], {"first": 1, "second": 1})


# ---- gateways with a safeguard removed, on real sockets ----------------------------------------------------


class TapedRig:
    """Writes the tape of one rig: the test acts as the viewer, and the hosts trace what arrives."""

    def __init__(self, directory: Path) -> None:
        self.directory, self.tape, self.ids, self.conn = directory, Tape(directory / "x.tape"), 0, 0

    def host(self, act: Any) -> Any:
        def handle(host: Host, request: Request) -> Response:
            self.ids += 1
            id, key = f"s{self.ids}", host.set_ups[-1]
            parts = request.path.split("/")
            self.tape.write(
                "setup",
                host=host.name,
                id=id,
                key=key,
                gateway="g0",
                package=parts[2],
                title=parts[3],
                rung=int(request.query("rung") or 0),
            )
            try:
                response: Response = act(host, request)
            except NoAnswer:
                self.tape.write("setup_gone", id=id)
                raise
            self.tape.write("setup_out", id=id, status=response.status)
            return response

        return handle

    def offer(self, rig: Rig, n: int, patience: float = 3.0) -> None:
        self.conn += 1
        self.tape.write(
            "ask",
            conn=self.conn,
            who=f"t{n}",
            package="recorded",
            title="clip-1",
            gateway="g0",
            patience=patience,
            offer=str(n),
        )
        conn = self.conn
        try:
            with rig.loop.deadline(patience + 1.0):
                response = rig.offer(n, token=f"t{n}")
        except Exception:
            self.tape.write("hangup", conn=conn)
            return
        kind = {201: "plays", 503: "blocked", 504: "aborted"}.get(response.status, "other")
        self.tape.write(
            "answer",
            conn=conn,
            status=response.status,
            kind=kind,
            extra=0,
            resource=response.header("location") or "",
        )

    def breaches(self, rig: Rig) -> list[Breach]:
        self.tape.close()
        return check_tapes(self.directory, rule_parameters(rig.site))[0]


def test_rule_1_breaks_without_the_registrys_answers(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    real = ViewingRegistry.decide

    def mute(registry: ViewingRegistry, now: float) -> Any:
        decision = real(registry, now)
        return real(registry, now) if isinstance(decision, Answer) else decision

    monkeypatch.setattr(ViewingRegistry, "decide", mute)
    monkeypatch.setattr("ledgehitch.gateway.http_frontend.ANSWER_GRACE_S", 30.0)
    taped_rig = TapedRig(tmp_path)
    rig = Rig(
        {"*": taped_rig.host(Host.plays)},
        packages=[{"name": "recorded", "join_target": 0.1, "patience": 0.3}],
    )
    rig.run(lambda rig: taped_rig.offer(rig, 1, 0.3))
    assert {b.rule for b in taped_rig.breaches(rig)} == {1}


def test_rule_2_breaks_without_the_checks_of_module_and_send_guard(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(SendGuard, "check_send", lambda *args: None)
    monkeypatch.setattr(Gateway, "_may_set_up_at", lambda *args: True)
    taped_rig = TapedRig(tmp_path)

    def act(host: Host, request: Request) -> Response:
        return Response(500) if len(host.rig.set_ups) == 1 else host.plays(request)

    rig = Rig(
        {"*": taped_rig.host(act)},
        packages=[{"name": "recorded", "join_target": 0.8, "patience": 3, "effect": "once"}],
    )

    def day(rig: Rig) -> None:
        # Without its own check, the module sends a paid-for set-up again; only the send guard would stop it.
        taped_rig.offer(rig, 1)

    rig.run(day)
    assert {b.rule for b in taped_rig.breaches(rig)} == {2}


def test_the_send_guard_alone_stops_a_second_paid_set_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Gateway, "_may_set_up_at", lambda *args: True)
    taped_rig = TapedRig(tmp_path)
    packages = [{"name": "recorded", "join_target": 0.8, "patience": 3, "effect": "once"}]
    rig = Rig({"*": taped_rig.host(lambda host, request: Response(500))}, packages=packages)

    def day(rig: Rig) -> None:
        taped_rig.offer(rig, 1)
        assert rig.counts().stopped_at_gate > 0 and len(rig.set_ups) == 1

    rig.run(day)
    assert taped_rig.breaches(rig) == []


def test_rule_3_breaks_without_the_listing_of_drains(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    on_host_list = Gateway.on_host_list
    monkeypatch.setattr(
        Gateway,
        "on_host_list",
        lambda gw, now, how, rows: on_host_list(gw, now, how, [r for r in rows if r.state == "in_service"]),
    )
    monkeypatch.setattr(
        SendGuard, "on_host_state", lambda gate, now, host, up: gate.hosts.setdefault(host, None)
    )
    taped_rig = TapedRig(tmp_path)
    rig = Rig({"*": taped_rig.host(Host.plays)}, terms={"drain_grace": 0.1})

    def day(rig: Rig) -> None:
        rig.lists.tape = taped_rig.tape
        for name in ("h0", "h1", "h2"):
            rig.listed(name, "terminating")
        rig.loop.sleep(0.4)
        taped_rig.offer(rig, 1)

    rig.run(day)
    assert {b.rule for b in taped_rig.breaches(rig)} == {3}


def test_rule_4_breaks_without_pacing_of_cold_hosts(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Gateway, "_cold_budget_spent", lambda *args: False)
    taped_rig = TapedRig(tmp_path)
    rig = Rig(
        {"*": taped_rig.host(Host.plays)},
        hosts=1,
        terms={"warm_up": 60.0, "cold_share": 0.1},
        fleet={"slots": {"std": 10}},
    )

    def day(rig: Rig) -> None:
        taped_rig.tape.write("started", host="h0", slots=10)
        for n in range(8):
            taped_rig.offer(rig, n)

    rig.run(day)
    assert {b.rule for b in taped_rig.breaches(rig)} == {4}


def test_rule_5_breaks_without_floors_and_seats(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    taped_rig = TapedRig(tmp_path)
    monkeypatch.setattr(Gateway, "_has_seat_and_budget", lambda *args: True)
    monkeypatch.setattr(Gateway, "_highest_fitting_rung", lambda *args: 0)
    package = {"name": "recorded", "join_target": 0.8, "patience": 3, "floor": 1, "seats": 2}
    rig = Rig({"*": taped_rig.host(Host.plays)}, packages=[package])

    def day(rig: Rig) -> None:
        for n in range(3):
            taped_rig.offer(rig, n)

    rig.run(day)
    found = taped_rig.breaches(rig)
    assert {b.rule for b in found} == {5}
    assert any("floor" in b.message for b in found) and any("seats" in b.message for b in found)


def test_rule_6_breaks_without_the_budget_of_extra_tune_ins(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Gateway, "_has_seat_and_budget", lambda *args: True)
    taped_rig = TapedRig(tmp_path)
    rig = Rig(
        {"*": taped_rig.host(lambda host, request: Response(500))},
        terms={"extra_free": 1.0, "extra_ratio": 0.0, "extra_window": 30.0},
    )

    def day(rig: Rig) -> None:
        for n in range(2):
            taped_rig.offer(rig, n)

    rig.run(day)
    assert {b.rule for b in taped_rig.breaches(rig)} == {6}


def test_the_same_days_break_no_rule_with_all_safeguards(tmp_path: Path) -> None:
    taped_rig = TapedRig(tmp_path)
    rig = Rig(
        {"*": taped_rig.host(lambda host, request: Response(500))},
        packages=[{"name": "recorded", "join_target": 0.8, "patience": 3, "floor": 1, "seats": 2}],
        terms={"extra_free": 1.0, "extra_ratio": 0.0, "extra_window": 30.0, "drain_grace": 0.1},
    )

    def day(rig: Rig) -> None:
        rig.lists.tape = taped_rig.tape
        taped_rig.offer(rig, 1)
        taped_rig.offer(rig, 2)
        rig.listed("h0", "terminating")
        rig.loop.sleep(0.4)
        taped_rig.offer(rig, 3)
        assert len(rig.set_ups) >= 3

    rig.run(day)
    assert taped_rig.breaches(rig) == []
