"""Daemons and fleets: life cycle, state directories, journals, interrupted plans, restarts."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from textual.widgets import DataTable, Static

from benchmarks.fuzz import Fed
from ledgehitch.config import BadInput
from ledgehitch.daemon.admin import Admin
from ledgehitch.daemon.facts import VERSION, Counts, HostSeen, PlanCall, PlanMessage, Role, State
from ledgehitch.daemon.life import (
    Admit,
    AnnounceLeave,
    CheckStart,
    EndAllViewings,
    Exit,
    Life,
    NotifySupervisor,
    Then,
)
from ledgehitch.daemon.logfile import LogFile
from ledgehitch.daemon.place import Place, holder
from ledgehitch.daemon.plans import Plans
from ledgehitch.daemon.supervisor import Supervisor
from ledgehitch.daemon.why import explain_entries
from ledgehitch.fleet.carry import Caller
from ledgehitch.fleet.found import QueryResult, Target, classify_answer
from ledgehitch.fleet.held import CommandRefused, apply_command, latest_plan, plan_id_of
from ledgehitch.fleet.journal import Journal, head_line, plan_at_head, read_lines, unfinished_journals
from ledgehitch.fleet.owned import OwnersAnswer, summarize_duties, voting_problems
from ledgehitch.fleet.owned import decode_answer as read_owners
from ledgehitch.fleet.plan import (
    AppendLine,
    CallGateway,
    Finished,
    JoinStatistics,
    Plan,
    QueryGateway,
    RollingChange,
    Terms,
    preview_groups,
)
from ledgehitch.fleet.screen import FleetScreen
from ledgehitch.fleet.show import host_lines, plan_summary, zone_rows
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Loop, endpoint
from ledgehitch.rehearsal.play import free_ports
from tests.rig import Rig

ROOT = Path(__file__).parent.parent
T = 1000.0
THENS: list[Then] = ["stay", "stop", "restart"]
TAKES_IT = """
import os, sys
from pathlib import Path
from ledgehitch.daemon.place import Place
Place(Path(sys.argv[1]), "g0")
os._exit(0)
"""


# ---- life cycle of a daemon --------------------------------------------------------------------------------


def pulled(life: Life, now: float) -> list[Any]:
    return list(iter(lambda: life.decide(now), None))


def test_drain_waits_for_viewings_and_ends_the_rest_at_its_limit() -> None:
    life = Life(T, 3.0)
    life.on_serving(T)
    assert pulled(life, T) == [Admit(True), NotifySupervisor("READY=1\nSTATUS=serves")]
    life.on_viewing_count(T, 5)
    assert life.drain(T, 10.0, "restart", "plan-1/g0") and life.phase == "draining"
    assert pulled(life, T)[:1] == [Admit(False)] and pulled(life, T + 9.9) == []
    assert pulled(life, T + 10.0) == [EndAllViewings()] and str(life.phase) == "ending"
    life.on_viewing_count(T + 10.05, 1)  # its answer was pending when the limit passed
    assert pulled(life, T + 10.2) == [EndAllViewings()]
    life.on_viewing_count(T + 10.3, 0)
    assert pulled(life, T + 10.4) == [CheckStart()] and str(life.phase) == "drained"
    life.on_start_check(T + 11, True)
    assert pulled(life, T + 11) == [AnnounceLeave(True), Exit(0, True)] and str(life.phase) == "over"
    assert not life.drain(T + 11, 0.0, "stop", "late") and pulled(life, T + 20) == []


def test_drain_is_never_weakened_and_only_one_without_exit_can_be_undone() -> None:
    life = Life(T, 3.0)
    life.on_serving(T)
    life.on_viewing_count(T, 1)
    assert life.drain(T, 100.0, "stay", "an operator")
    assert not life.drain(T, 200.0, "stay", "another"), "a longer limit changes nothing"
    assert life.drain(T, 50.0, "stay", "shorter") and life.drain_deadline == T + 50.0
    assert life.undrain(T + 1) and life.phase == "ready" and pulled(life, T + 1)[-2:][0] == Admit(True)
    assert life.drain(T + 2, 9.0, "stop", "SIGTERM") and not life.undrain(T + 3)
    assert not life.drain(T + 3, 90.0, "restart", "weaker") and life.then == "stop"
    assert life.drain(T + 4, 0.0, "stop", "SIGTERM again"), "a second signal ends it at once"
    assert EndAllViewings() in pulled(life, T + 4)
    assert Exit(0, False) in pulled(life, T + 4 + 3.0 + 1.1), (
        "a viewing that never ends does not block the exit"
    )


def test_daemon_keeps_serving_if_its_successor_does_not_start() -> None:
    life = Life(T, 3.0)
    life.on_serving(T)
    life.drain(T, 0.0, "restart", "p/g0")
    assert CheckStart() in pulled(life, T)
    life.on_start_check(T + 1, False, "it does not start")
    assert Admit(True) in pulled(life, T + 1) and life.phase == "ready" and life.why == "it does not start"
    assert life.drain(T + 2, 0.0, "restart", "again") and CheckStart() in pulled(life, T + 2)
    assert life.drain(T + 3, 0.0, "stop", "SIGTERM") and Exit(0, False) in pulled(life, T + 3)
    life.on_start_check(T + 4, True)
    assert pulled(life, T + 4) == [], "it was stopped in the meantime"


def test_drained_gateway_can_be_undrained() -> None:
    life = Life(T, 3.0)
    life.on_serving(T)
    life.drain(T, 5.0, "stay", "x")
    pulled(life, T)
    assert life.phase == "drained" and life.wake_at() is None
    assert life.undrain(T + 100) and Admit(True) in pulled(life, T + 100)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_life_cycle_admits_only_while_ready_and_exits_once(seed: int) -> None:
    chance = random.Random(seed)
    life, now, admits, over, held = Life(T, 3.0), T, False, 0, 0
    for _ in range(80):
        now += chance.choice([0.0, 0.05, 1.0, 4.0])
        match chance.randrange(7):
            case 0:
                life.on_serving(now)
            case 1:
                then = chance.choice(THENS)
                life.drain(now, chance.choice([0.0, 2.0, 60.0]), then, "w")
            case 2:
                life.undrain(now)
            case _:
                held = max(0, held + chance.choice([-2, -1, 1]) if admits else held - chance.randrange(2))
                life.on_viewing_count(now, held)
        while (decision := life.decide(now)) is not None:
            assert over == 0, "no decision after the exit"
            match decision:
                case Admit(open):
                    admits = open
                case Exit():
                    over += 1
                    assert not admits
                case EndAllViewings():
                    assert life.phase == "ending" and held
                case CheckStart() if chance.random() < 0.8:
                    life.on_start_check(now, chance.random() < 0.5, "x")
        assert admits == (life.phase == "ready")


def test_state_directory_has_one_process_and_is_taken_over_after_a_kill(tmp_path: Path) -> None:
    place = Place(tmp_path / "state", "g0")
    assert place.stale == 0 and holder(tmp_path / "state", "g0") == os.getpid()
    words = [sys.executable, "-c", TAKES_IT, str(tmp_path / "state")]
    second = subprocess.run(words, capture_output=True, text=True, cwd=ROOT)
    assert second.returncode == 1 and f"is already running as process {os.getpid()}" in second.stderr
    place.release()
    killed = subprocess.run(words, capture_output=True, text=True, cwd=ROOT)
    assert killed.returncode == 0 and holder(tmp_path / "state", "g0") == 0
    after = Place(tmp_path / "state", "g0")
    assert after.stale > 0 and (tmp_path / "state").stat().st_mode & 0o077 == 0
    after.release()
    assert Place(tmp_path / "state", "g0").stale == 0


def test_supervisor_is_notified_by_datagrams_and_may_be_absent(tmp_path: Path) -> None:
    with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.bind(str(tmp_path / "notify"))
        there = Supervisor({"NOTIFY_SOCKET": str(tmp_path / "notify"), "WATCHDOG_USEC": "4000000"})
        there.notify("READY=1")
        assert sock.recv(100) == b"READY=1" and there.watchdog_interval_s == 2.0
    there.notify("STOPPING=1")
    assert there.refused == 1
    Supervisor({}).notify("READY=1")
    assert Supervisor({"WATCHDOG_USEC": "4000000", "WATCHDOG_PID": "1"}).watchdog_interval_s == 0.0


def test_rotated_log_file_is_reopened(tmp_path: Path) -> None:
    file = LogFile(tmp_path / "log")
    file.write("one\n")
    (tmp_path / "log").rename(tmp_path / "log.1")
    file.write("two\n")
    file.reopen()
    file.write("three\n")
    assert (tmp_path / "log.1").read_text() == "one\ntwo\n" and (tmp_path / "log").read_text() == "three\n"
    (tmp_path / "log").rename(tmp_path / "log.2")
    (tmp_path / "log").mkdir()
    file.reopen()
    assert "not reopened" in (tmp_path / "log.2").read_text(), "the old file is still written"


def test_watchdog_ends_a_stuck_loop_and_prints_its_stack() -> None:
    code = """
import sys
from ledgehitch.daemon.watchdog import Watchdog
def stuck():
    while True:
        pass
dog = Watchdog(0.2, lambda text: print(text, flush=True))
stuck()
"""
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert ended.returncode == 70 and "in stuck" in ended.stdout


def test_decisions_on_a_viewing_are_explained() -> None:
    entries = [
        ["asked", 1.0, 7, "recorded", "clip-1", 2, 3, 3, 4.0],
        ["asked", 1.0, 8, "live", "clip-2", 0, 1, 3, 4.0],
        ["pulled", 1.001, [["TuneIn", 7, "h1", 0.5], ["Block", 8, 2.0]]],
        ["ended", 1.5, 7, False, 40, "h1", 0.5, 0, []],
        ["pulled", 1.5, [["TuneIn", 7, "h2", 0.5]]],
        ["opened", 1.6, 7, "h2", 1, 0.1],
        ["told", 5.0, 7, "h2", 1, 0.8],
        ["pulled", 5.0, [["SetRung", 7, 1]]],
    ]
    lines = [line.split("  ", 1)[1] for line in explain_entries(entries, 7)]
    assert lines == [
        "asked for clip-1 as recorded, held by cells 2 to 4, rungs up to 3, patience up to 4.000",
        "-> tune in at h1, answer wanted within 0.500 s",
        "tune-in 1 failed at h1: timeout after 0.500 s",
        "-> tune in at h2, answer wanted within 0.500 s",
        "tune-in 2 at h2 plays after 0.100 s",
        "h2 says: share delivered 0.8",
        "-> rung 1",
    ]
    assert explain_entries(entries, 8)[-1].endswith("-> blocked, come again in 2.0 s")


# ---- answers to status queries -----------------------------------------------------------------------------


def state(name: str, boot: str = "b0", phase: str = "ready", started_by: str = "", **more: Any) -> State:
    counts, config = more.pop("counts", Counts()), more.pop("config", {})
    return State(name, boot, "0", VERSION, 1, phase, "", 1.0, 1.0, started_by, 0, counts, {}, config, **more)


def test_answers_are_classified() -> None:
    target = Target("g0", "unix:x")
    good = msgspec.json.encode(state("g0"))

    def kind(body: bytes = good, status: int = 200, version: str = VERSION, took: float = 0.1) -> str:
        return classify_answer(target, took, 1.0, status, version, body).kind

    assert kind() == "answered" and kind(took=0.9) == "slow"
    assert kind(msgspec.json.encode(state("g1"))) == "impostor"
    assert kind(version="0") == "wrong version" and kind(version="") == "wrong version"
    assert kind(b"{}") == "unknown" and kind(status=500) == "unknown" and kind(status=403) == "refused"
    assert kind(msgspec.json.encode(state("g0", phase="drained"))) == "draining"


def test_each_gateway_is_classified_though_some_stall(tmp_path: Path) -> None:
    loop = Loop()

    def at(name: str) -> str:
        return f"unix:{tmp_path / name}"

    fields = [("Admin-Version", VERSION)]

    def answers(name: str, as_name: str = "") -> None:
        body = msgspec.json.encode(state(as_name or name))
        Server(loop, endpoint(at(name)), lambda request: Response(200, fields, body))

    def silent(request: Request) -> Response:
        loop.sleep(60.0)
        return Response(200)

    def drips(request: Request) -> Response:
        def stream(send: Callable[[bytes], None]) -> None:
            for byte in msgspec.json.encode(state("drips")):
                send(bytes([byte]))
                loop.sleep(0.1)

        return Response(200, fields, stream=stream)

    def main() -> list[QueryResult]:
        answers("good")
        answers("fake", "somebody")
        stalled = [f"silent-{n}" for n in range(8)]
        for name in stalled:
            Server(loop, endpoint(at(name)), silent)
        Server(loop, endpoint(at("drips")), drips)
        Server(loop, endpoint(at("old")), lambda request: Response(404))
        names = ["good", "fake", *stalled, "drips", "old", "dead"]
        began = time.monotonic()
        found = Caller(loop, 2.0).ask_all([Target(n, at(n)) for n in names])
        assert time.monotonic() - began < 12.0, (
            "stalled gateways are queried concurrently, not for 18 s in total"
        )
        return found

    found = {f.name: f.kind for f in loop.run(main)}
    assert found == {
        "good": "answered",
        "fake": "impostor",
        "drips": "silent",
        "old": "wrong version",
        "dead": "refused",
        **{f"silent-{n}": "silent" for n in range(8)},
    }


# ---- journals ----------------------------------------------------------------------------------------------

TARGETS = [Target(f"g{n}", f"unix:{n}", f"hall-{n % 2}", f"r{n % 4}") for n in range(8)]


def test_journal_truncated_at_any_byte_yields_its_complete_lines(tmp_path: Path) -> None:
    path, lock = tmp_path / "p.journal", tmp_path / "lock"
    plan = Plan("p", "restart", TARGETS)
    journal = Journal(path, lock)
    with pytest.raises(BadInput, match=f"another tool is changing this fleet: process {os.getpid()}"):
        Journal(path, lock)
    journal.append(head_line(plan))
    for n in range(4):
        journal.append({"ev": "done", "gateway": f"g{n}"})
    journal.close()
    whole = path.read_bytes()
    ends = [i + 1 for i, byte in enumerate(whole) if byte == 10]
    for cut in range(len(whole) + 1):
        path.write_bytes(whole[:cut])
        again = Journal(path, lock)
        assert len(again.lines) == sum(end <= cut for end in ends)
        again.append({"ev": "resumed"})
        again.close()
        assert read_lines(path)[-1] == {"ev": "resumed"}
    assert plan_at_head(read_lines(path), path) == plan and unfinished_journals(tmp_path) == [path]
    for at in (5, ends[1] + 25):
        path.write_bytes(whole[:at] + b"?" + whole[at + 1 :])
        with pytest.raises(BadInput, match="checksum mismatch, the line is damaged"):
            read_lines(path)


def test_full_disk_stops_the_tool_before_any_call(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    journal = Journal(tmp_path / "p.journal", tmp_path / "lock")
    journal.append(head_line(Plan("p", "restart", TARGETS)))
    real = os.pwrite
    monkeypatch.setattr(os, "pwrite", lambda fd, data, at: real(fd, data[:9], at))
    with pytest.raises(BadInput, match="no further step is carried out: No space left"):
        journal.append({"ev": "intended", "gateway": "g0", "boot": "b"})
    monkeypatch.undo()
    assert [line["ev"] for line in read_lines(tmp_path / "p.journal")] == ["plan"]


# ---- plans -------------------------------------------------------------------------------------------------


class Gateways:
    """A simulated fleet: restarts take time, calls and answers may be lost."""

    def __init__(self, chance: random.Random, lossy: float = 0.0) -> None:
        self.chance, self.lossy, self.now = chance, lossy, T
        self.lives = {t.name: 1 for t in TARGETS}
        self.by = {t.name: "" for t in TARGETS}
        self.away: dict[str, float] = {}  # end of the restart, by gateway
        self.restarts: dict[str, list[str]] = {
            t.name: [] for t in TARGETS
        }  # tickets of the restarts carried out
        self.broken: set[str] = set()
        self.blocked = 0
        self.most_away = 0

    def boot(self, name: str) -> str:
        return f"{name}-{self.lives[name]}"

    def ask(self, name: str) -> QueryResult:
        if self.now < self.away.get(name, 0.0) or name in self.broken:
            return QueryResult(name, "refused", "nobody listens")
        if self.chance.random() < self.lossy:
            return QueryResult(name, "silent", "no whole answer")
        counts = Counts(asked=int(self.now - T) * 20, blocked=self.blocked)
        told = state(name, self.boot(name), started_by=self.by[name], counts=counts)
        return QueryResult(name, "answered", state=told)

    def restart(self, name: str, ticket: str) -> None:
        self.restarts[name].append(ticket)
        self.lives[name] += 1
        self.by[name] = ticket
        self.away[name] = self.now + self.chance.uniform(0.1, 3.0)
        self.most_away = max(self.most_away, sum(self.now < until for until in self.away.values()))

    def call(self, call: CallGateway) -> tuple[int, str]:
        if self.chance.random() < self.lossy:
            return 0, "call lost"
        if self.now < self.away.get(call.name, 0.0) or call.name in self.broken:
            return 0, "nobody listens"
        if call.if_boot != self.boot(call.name):
            return 412, "another boot"
        self.restart(call.name, call.ticket)
        return (0, "answer lost") if self.chance.random() < self.lossy else (200, "")


def rolled(
    gateways: Gateways, rolling: RollingChange, journal: Callable[[dict[str, Any]], None], steps: int = 4000
) -> Iterator[Any]:
    """Carries out a plan; yields each decision before it is carried out, so that a test can stop there."""
    for _ in range(steps):
        while (decision := rolling.decide(gateways.now)) is not None:
            yield decision
            match decision:
                case AppendLine(line):
                    journal(dict(line))
                case QueryGateway(name):
                    rolling.on_query_result(gateways.now, gateways.ask(name))
                case CallGateway():
                    rolling.on_call_result(gateways.now, decision.name, *gateways.call(decision))
                case Finished():
                    return
        gateways.now += 0.1
    raise AssertionError("the plan did not end within the allowed steps")


def test_restart_goes_zone_by_zone_within_its_concurrency_limit() -> None:
    plan = Plan("p", "restart", TARGETS, Terms(at_once=3, settle=0.5))
    assert preview_groups(plan) == [["g0", "g4", "g2"], ["g6"], ["g1", "g5", "g3"], ["g7"]]
    gateways, lines = Gateways(random.Random(1)), list[dict[str, Any]]()
    last = list(rolled(gateways, RollingChange(T, plan), lines.append))[-1]
    assert last == Finished(True, "") and all(len(r) == 1 for r in gateways.restarts.values())
    assert gateways.most_away <= 3
    order = [line["gateway"] for line in lines if line["ev"] == "intended"]
    assert {name[1] for name in order[:4]} == {"0", "2", "4", "6"}, "one zone after the other"
    share = Terms(at_once=8, share=0.25)
    assert max(map(len, preview_groups(Plan("p", "restart", TARGETS, share)))) == 2


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_interrupted_and_resumed_plan_restarts_each_gateway_once(seed: int) -> None:
    chance = random.Random(seed)
    plan = Plan(
        "p",
        "restart",
        TARGETS,
        Terms(at_once=chance.randrange(1, 5), settle=0.3, failures=9, one_hall=chance.random() < 0.5),
    )
    gateways, lines = Gateways(chance, lossy=chance.choice([0.0, 0.2])), list[dict[str, Any]]()
    while True:
        rolling = RollingChange(gateways.now, plan, lines)
        cut = chance.randrange(1, 60)
        for number, decision in enumerate(rolled(gateways, rolling, lines.append)):
            if number == cut:
                if isinstance(decision, CallGateway) and chance.random() < 0.5:
                    gateways.call(decision)  # sent, but stopped before the answer is recorded
                break
        if rolling.finished:
            break
        gateways.now += chance.choice([0.0, 1.0, 10.0])
    for name, tickets in gateways.restarts.items():
        assert len(tickets) == 1 or (not tickets and rolling.gateways[name].step == "failed"), (name, tickets)
    assert set(rolling.count_by_step()) <= {"done", "failed"}
    if not gateways.lossy:
        assert rolling.count_by_step() == {"done": len(TARGETS)}


class Fenced(Gateways):
    """Gateways with fencing: calls below the highest known term are refused, late calls still arrive, and a
    draining gateway names the ticket of its drain."""

    def __init__(self, chance: random.Random) -> None:
        super().__init__(chance)
        self.known = dict.fromkeys(self.lives, 0)
        self.drains: dict[str, tuple[float, str]] = {}  # end of the drain, ticket
        self.late: list[tuple[int, CallGateway]] = []
        self.most_under_way = 0

    def told(self, name: str, term: int) -> QueryResult:
        self.turn()
        if self.now < self.away.get(name, 0.0):
            return QueryResult(name, "refused", "nobody listens")
        if term < self.known[name]:
            return QueryResult(name, "unknown", "a higher term is known")
        self.known[name] = term
        if name in self.drains:
            found = msgspec.structs.replace(
                state(name, self.boot(name)), phase="draining", why=self.drains[name][1]
            )
            return QueryResult(name, "draining", state=found)
        return self.ask(name)

    def step(self, term: int, call: CallGateway) -> tuple[int, str]:
        self.turn()
        if self.now < self.away.get(call.name, 0.0):
            return 0, "nobody listens"
        if term < self.known[call.name]:
            return 409, "a higher term is known"
        self.known[call.name] = term
        if call.if_boot != self.boot(call.name):
            return 412, "another boot"
        self.drains.setdefault(call.name, (self.now + self.chance.uniform(0.0, 2.0), call.ticket))
        return 200, ""

    def turn(self) -> None:
        for name, (until, ticket) in list(self.drains.items()):
            if self.now >= until:
                del self.drains[name]
                self.restart(name, ticket)
        away = {n for n, until in self.away.items() if self.now < until} | set(self.drains)
        self.most_under_way = max(self.most_under_way, len(away))


@settings(max_examples=120, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_owner_failover_restarts_each_gateway_once_within_the_limit(seed: int) -> None:
    """Each owner starts without state; calls of former owners may arrive after the next one has begun."""
    chance = random.Random(seed)
    most = chance.randrange(1, 4)
    plan = Plan("p", "restart", TARGETS, Terms(at_once=most, settle=0.2, failures=9))
    gateways, term = Fenced(chance), 0
    while True:
        term += 1
        rolling, cut = RollingChange(gateways.now, plan, (), without_journal=True), chance.randrange(1, 120)
        for _ in range(cut):
            decision = rolling.decide(gateways.now)
            if decision is None:
                gateways.now += 0.1
                if gateways.late and chance.random() < 0.2:
                    gateways.step(*gateways.late.pop(chance.randrange(len(gateways.late))))
                gateways.turn()
            elif isinstance(decision, QueryGateway):
                rolling.on_query_result(gateways.now, gateways.told(decision.name, term))
            elif isinstance(decision, CallGateway):
                if chance.random() < 0.3:
                    gateways.late.append((term, decision))  # in flight when its owner dies
                    break
                rolling.on_call_result(gateways.now, decision.name, *gateways.step(term, decision))
            if rolling.finished:
                break
        if rolling.finished:
            break
        assert term < 200
    assert all(tickets == [f"p/{name}"] for name, tickets in gateways.restarts.items())
    assert gateways.most_under_way <= most and set(rolling.count_by_step()) == {"done"}


def test_gateway_without_answer_counts_as_under_way_until_its_time_limit() -> None:
    plan = Plan("p", "restart", TARGETS[:3], Terms(settle=0.0, within=0.0, back_within=5.0))
    rolling, now, asked = RollingChange(T, plan, (), without_journal=True), T, list[str]()
    while not rolling.finished and now < T + 20:
        while (decision := rolling.decide(now)) is not None:
            assert not isinstance(decision, CallGateway), "one may be restarting: no other may be called"
            if isinstance(decision, QueryGateway):
                asked.append(decision.name)
                there = decision.name != "g1"
                found = QueryResult(decision.name, "answered", state=state(decision.name)) if there else None
                rolling.on_query_result(now, found or QueryResult(decision.name, "silent", "nothing"))
        now += 0.1
    assert rolling.stop_reason.startswith("1 failed: g1: not seen in 5 s") and set(asked) == {
        "g0",
        "g1",
        "g2",
    }


def test_duty_ownership_is_classified() -> None:
    def says(name: str, owner: str = "", mine: bool = False, term: int = 3, **more: Any) -> OwnersAnswer:
        told = {
            "owner": owner,
            "term": term,
            "lease_left": 2.0,
            "mine": mine,
            "refused": 1,
            "standstill": "" if owner else "plans wait",
        }
        return OwnersAnswer(name, {"duties": {"restarts": told}, **more})

    def kind(*said: OwnersAnswer) -> tuple[str, str]:
        (found,) = summarize_duties(said)
        return found.kind, found.owner

    silent = OwnersAnswer("g9", None, "no whole answer")
    assert kind(says("g0", "g0", True), says("g1", "g0"), silent) == ("owned", "g0")
    assert kind(says("g0", "g0", True), says("g1", "g1", True, 4)) == ("contradicting", "g1")
    assert kind(says("g0", "g7"), says("g1")) == ("unknown", "")
    assert kind(says("g0"), says("g1"), silent) == ("nobody", "")
    assert kind(says("g0"), silent, silent) == ("unknown", "")
    assert summarize_duties([says("g0"), says("g1")])[0].refused == 2 and summarize_duties([silent]) == []
    lines = voting_problems(
        [
            silent,
            says(
                "g0",
                disk="No space left on device",
                settled=False,
                clock=False,
                why_not="drains",
                frames_refused={"stale": 4},
            ),
        ]
    )
    assert [line.partition(" ")[0] for line in lines] == ["g9:"] + ["g0:"] * 5
    for body in (b"{", b"[]", b'{"duties": []}', b'{"duties": {"restarts": {"owner": 3}}}', b"\xff"):
        assert read_owners("g0", 200, body).state is None
    assert read_owners("g0", 409, b"").why == "it answers 409"


def test_operator_commands_change_the_stored_plan() -> None:
    known = {t.name: msgspec.structs.replace(t, at=f"unix:via/{t.name}") for t in TARGETS}
    raw = msgspec.to_builtins(Plan("p", "restart", TARGETS[:2]))

    def said(held: PlanMessage | None, do: Any, plan: Any = None) -> Any:
        try:
            return apply_command(held, PlanCall(do, plan), known)
        except CommandRefused as why:
            return why.status, why.why

    for do in ("stop", "resume", "give up"):
        assert said(None, do) == (409, "no plan is under way")
    begun = said(None, "begin", raw)
    assert (begun.version, begun.word, plan_id_of(begun)) == (0, "go", "p")
    assert [t["at"] for t in begun.plan["targets"]] == ["unix:via/g0", "unix:via/g1"], (
        "addresses from the owner's site"
    )
    assert said(begun, "begin", raw) is begun and said(begun, "resume") is begun
    assert said(begun, "begin", {**raw, "id": "q"})[0] == 409
    stopped = said(begun, "stop")
    assert (stopped.word, stopped.why) == ("stopped", "an operator") and said(stopped, "resume").word == "go"
    over = said(stopped, "give up")
    assert over.word == "given up" and said(over, "resume")[0] == 409
    assert said(msgspec.structs.replace(over, version=7), "begin", {**raw, "id": "q"}).version == 7
    for wrong in (
        {**raw, "action": "drain"},
        {**raw, "targets": []},
        {"id": 3},
        None,
        {**raw, "targets": [{"name": "g77", "at": "x"}]},
    ):
        assert said(None, "begin", wrong)[0] == 400
    later = [msgspec.structs.replace(begun, term=t, version=v) for t, v in ((2, 9), (3, 1), (3, 0))]
    assert latest_plan([None, *later]) == later[1] and latest_plan([None]) is None


def test_plan_is_stored_and_an_older_or_unknown_version_is_not(tmp_path: Path) -> None:
    plans = Plans(tmp_path / "g0.plan")
    words = PlanMessage(duty="restarts", term=4, owner="g1", version=2, word="go", plan={"id": "p"})
    assert plans.accept(words) and not plans.accept(msgspec.structs.replace(words, term=3, version=9))
    assert plans.accept(msgspec.structs.replace(words, term=4, version=3, word="stopped"))
    again = Plans(tmp_path / "g0.plan")
    assert again.current == msgspec.structs.replace(words, version=3, word="stopped")
    whole = (tmp_path / "g0.plan.0").read_bytes()
    for cut in range(0, len(whole), 5):
        (tmp_path / "g0.plan.0").write_bytes(whole[:cut])
        assert Plans(tmp_path / "g0.plan").current is None
    other = Plans(tmp_path / "g0.plan")
    other.store.write({"version": 2, "plan": {}})
    strange = Plans(tmp_path / "g0.plan")
    assert strange.current is None and "it is of version 2" in strange.error


def test_gateway_restarted_by_another_is_skipped_and_a_missing_one_stops_the_plan() -> None:
    plan = Plan("p", "restart", TARGETS, Terms(settle=0.2, back_within=5.0, within=0.0))
    gateways, lines = Gateways(random.Random(3)), list[dict[str, Any]]()
    rolling = RollingChange(T, plan)
    for decision in rolled(gateways, rolling, lines.append):
        if isinstance(decision, CallGateway) and decision.name == "g4":
            gateways.restart("g4", "somebody")  # between the query and the call
        if isinstance(decision, CallGateway) and decision.name == "g2":
            gateways.broken.add("g2")
    assert gateways.restarts["g4"] == ["somebody"] and rolling.gateways["g4"].step == "skipped"
    assert rolling.gateways["g2"].step == "failed" and rolling.stop_reason.startswith(
        "1 failed: g2: not back in 5 s"
    )
    assert sum(map(len, gateways.restarts.values())) < 4, "no further gateway began"
    gateways.broken.clear()
    again = RollingChange(gateways.now, plan, [*lines, {"ev": "again"}])
    assert list(rolled(gateways, again, lines.append))[-1] == Finished(True, "")
    assert all(len(r) == 1 for r in gateways.restarts.values())


def test_gateway_that_comes_back_wrong_fails_with_the_reason() -> None:
    """Old config, old program version, another gateway at the address, or an expired certificate."""
    old = state("g0", "new", started_by="p/g0", config={"runs": "old"})
    odd = {
        "old config": QueryResult("g0", "answered", state=old),
        "old version": QueryResult("g0", "wrong version", "its admin call has version 0, this tool 1"),
        "impostor": QueryResult("g0", "impostor", "g7 answers at its address"),
        "expired": QueryResult("g0", "refused", "the certificate of 'ops' expired 3 s ago"),
    }
    said = {}
    for what, found in odd.items():
        plan = Plan("p", "restart", TARGETS[:1], Terms(settle=0.0, back_within=1.0, within=0.0), digest="now")
        rolling, now, called = RollingChange(T, plan), T, 0
        while not rolling.finished:
            while (decision := rolling.decide(now)) is not None:
                if isinstance(decision, QueryGateway):
                    first = QueryResult("g0", "answered", state=state("g0", config={"runs": "now"}))
                    rolling.on_query_result(now, found if called else first)
                elif isinstance(decision, CallGateway):
                    called += 1
                    rolling.on_call_result(now, "g0", 200)
            now += 0.1
        assert called == 1 and rolling.count_by_step() == {"failed": 1}
        said[what] = rolling.gateways["g0"].why
    assert said["old config"] == "it came back with another config: old"
    assert "wrong version: its admin call has version 0" in said["old version"]
    assert "impostor: g7 answers at its address" in said["impostor"]
    assert "refused: the certificate of 'ops' expired 3 s ago" in said["expired"]


def test_rising_share_of_failed_joins_stops_the_plan() -> None:
    plan = Plan("p", "restart", TARGETS, Terms(settle=2.0))
    gateways, lines = Gateways(random.Random(4)), list[dict[str, Any]]()
    rolling = RollingChange(T, plan)
    before = JoinStatistics()
    for _ in range(2):
        for t in TARGETS:
            before.add(gateways.ask(t.name))
        gateways.now += 2.0
    rolling.on_baseline_measured(before)
    assert rolling.baseline == 0.0
    for _ in rolled(gateways, rolling, lines.append):
        gateways.blocked += 3
        for t in TARGETS:
            rolling.on_query_result(gateways.now, gateways.ask(t.name)) if rolling.gateways[
                t.name
            ].step == "done" else None
    assert "turned away or fail, 0.0% before" in rolling.stop_reason
    assert rolling.count_by_step().get("planned", 0) > 0


def test_slow_median_join_time_stops_the_plan() -> None:
    plan = Plan("p", "restart", TARGETS, Terms(settle=0.0, slow_ms=800.0))
    for p99s, stops in (((300.0, 400.0, 5000.0), False), ((300.0, 900.0, 950.0), True)):
        rolling = RollingChange(T, plan)
        for t, p99 in zip(TARGETS, p99s, strict=False):
            told = msgspec.structs.replace(state(t.name), joins_ms={"99": p99})
            rolling.joins.add(QueryResult(t.name, "answered", state=told))
        rolling.decide(T)
        assert (rolling.stop_reason == "joins take 900 ms at the 99th percentile, 800 are allowed") == stops


def test_reload_is_done_when_the_new_config_runs() -> None:
    plan = Plan("p", "reload", TARGETS[:2], Terms(settle=0.0, back_within=2.0), digest="new")
    rolling, runs, calls = RollingChange(T, plan), {"g0": "new", "g1": "old"}, list[str]()
    now = T
    while not rolling.finished:
        while (decision := rolling.decide(now)) is not None:
            if isinstance(decision, QueryGateway):
                told = state(decision.name, config={"runs": runs[decision.name]})
                rolling.on_query_result(now, QueryResult(decision.name, "answered", state=told))
            elif isinstance(decision, CallGateway):
                calls.append(decision.name)
                rolling.on_call_result(now, decision.name, 200)
                runs["g1"] = "new"
        now += 0.1
    assert calls == ["g1"] and rolling.count_by_step() == {"skipped": 1, "done": 1}


# ---- real daemons ------------------------------------------------------------------------------------------


LISTS = """
import sys
from ledgehitch.loop import Loop, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.lists import ListService
loop = Loop()
def main():
    ListService(loop, endpoint(sys.argv[1]), Tape(None), 0.0, 1)
    print("{}", flush=True)
    loop.sleep(1e6)
loop.run(main)
"""


class Daemons:
    """Gateways of a small site as daemons on loopback, each ended through its process handle."""

    def __init__(self, directory: Path, gateways: int) -> None:
        self.directory = directory
        self.site = _site_of(gateways)
        (directory / "site.json").write_bytes(msgspec.json.encode(self.site))
        self.children: dict[str, subprocess.Popen[str]] = {}
        self.root = ROOT  # directory of the program that the daemons run
        words = [sys.executable, "-c", LISTS, self.site.list_at]
        self.lists = subprocess.Popen(words, stdout=subprocess.PIPE, text=True, cwd=ROOT)
        assert self.lists.stdout is not None and self.lists.stdout.readline()

    def start(self, name: str, *more: str) -> None:
        d = self.directory
        words = [
            "--log-level",
            "warning",
            "daemon",
            "--site",
            str(d / "site.json"),
            "--gateway",
            name,
            "--state",
            str(d / "state"),
            *more,
        ]
        self.children[name] = subprocess.Popen(
            [sys.executable, "-m", "ledgehitch", *words], stdout=subprocess.PIPE, text=True, cwd=self.root
        )

    def ready(self, name: str) -> None:
        out = self.children[name].stdout
        assert out is not None and "gateway" in json.loads(out.readline())

    def fleet(self, *words: str) -> subprocess.CompletedProcess[str]:
        d = self.directory
        command = [
            sys.executable,
            "-m",
            "ledgehitch",
            "fleet",
            "--site",
            str(d / "site.json"),
            "--admin-dir",
            str(d / "state"),
            "--plans",
            str(d / "plans"),
            "--within",
            "8",
            *words,
        ]
        return subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT)

    def end(self) -> dict[str, int]:
        for child in self.children.values():
            child.send_signal(signal.SIGCONT)
            child.send_signal(signal.SIGTERM)
        codes = {}
        for name, child in self.children.items():
            try:
                codes[name] = child.wait(20)
            except subprocess.TimeoutExpired:
                child.kill()
                codes[name] = child.wait()
        self.lists.kill()
        self.lists.wait()
        return codes


def _site_of(gateways: int) -> Any:
    from ledgehitch.config import Day
    from ledgehitch.standins.plan import site_of

    raw = {
        "name": "fleet",
        "length": 60.0,
        "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
        "shape": {"gateways": gateways, "hosts": 3, "titles": 3, "zones": 2},
    }
    return site_of(msgspec.convert(raw, Day), 1, free_ports(1 + 3 * gateways))


def test_real_daemons_are_restarted_once_each(tmp_path: Path) -> None:
    daemons = Daemons(tmp_path, 3)
    try:
        for name in ("g0", "g1"):
            daemons.start(name)
        for name in ("g0", "g1"):
            daemons.ready(name)
        found = {f["name"]: f["kind"] for f in json.loads(daemons.fleet("status", "--json").stdout)}
        assert found == {"g0": "answered", "g1": "answered", "g2": "refused"}
        assert daemons.fleet("restart", "--plan", "g0", "g1").stdout == "1. restart g0\n2. restart g1\n"
        pids = {name: child.pid for name, child in daemons.children.items()}
        rolled = daemons.fleet("restart", "g0", "g1", "--settle", "0.1", "--drain-within", "0")
        assert rolled.returncode == 0 and "2 done" in rolled.stdout, rolled.stdout + rolled.stderr
        answer = daemons.fleet("status", "--json", "g0", "g1")
        told = {f["name"]: f["state"] for f in json.loads(answer.stdout)}
        assert all(s["started_by"].endswith(f"restart/{n}") and s["pid"] == pids[n] for n, s in told.items())
        assert daemons.fleet("log").stdout.count("done") == 2
        # A suspended gateway is reported as silent; a plan that meets it stops and can be resumed.
        daemons.children["g1"].send_signal(signal.SIGSTOP)
        stopped = daemons.fleet("--within", "3", "drain", "g0", "g1")
        assert stopped.returncode == 1 and "g1: silent" in stopped.stderr
        daemons.children["g1"].send_signal(signal.SIGCONT)
        refused = daemons.fleet("restart", "g0")
        assert refused.returncode == 2 and "fleet resume" in refused.stderr, "one plan at a time"
        resumed = daemons.fleet("resume", "--again")
        assert resumed.returncode == 0 and "2 done" in resumed.stdout, resumed.stdout + resumed.stderr
        kinds = {f["name"]: f["kind"] for f in json.loads(daemons.fleet("status", "--json").stdout)}
        assert kinds == {"g0": "draining", "g1": "draining", "g2": "refused"}
        assert daemons.fleet("undrain", "g0", "g1").returncode == 0
    finally:
        codes = daemons.end()
    assert codes == {"g0": 0, "g1": 0}


def test_restart_into_a_broken_release_keeps_the_old_process_serving(tmp_path: Path) -> None:
    without = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "ledgehitch", tmp_path / "ledgehitch", ignore=without)
    daemons = Daemons(tmp_path, 1)
    daemons.root = tmp_path
    try:
        daemons.start("g0")
        daemons.ready("g0")
        (before,) = json.loads(daemons.fleet("status", "--json").stdout)
        released = tmp_path / "ledgehitch" / "signalling" / "decide.py"
        good = released.read_text()
        released.write_text(good + "\nthis is no program\n")
        broken = daemons.fleet("restart", "--drain-within", "0", "--back-within", "30")
        assert broken.returncode == 1 and "does not start (exit code 1)" in broken.stderr, broken.stderr
        (after,) = json.loads(daemons.fleet("status", "--json").stdout)
        assert after["kind"] == "answered" and after["state"]["boot"] == before["state"]["boot"]
        released.write_text(good)
        mended = daemons.fleet("resume", "--again")
        assert mended.returncode == 0 and "1 done" in mended.stdout, mended.stdout + mended.stderr
    finally:
        assert daemons.end() == {"g0": 0}


def test_admin_calls_over_tls_are_authorized_by_role(tmp_path: Path) -> None:
    keys = Keys(tmp_path / "keys")
    keys.new_authority("fleet", time.time())
    for name, role in (("g0", "gateway"), ("ops", "operate"), ("eyes", "look"), ("gone", "operate")):
        keys.issue(name, role, time.time())  # type: ignore[arg-type]
    daemons = Daemons(tmp_path, 1)
    at = f"127.0.0.1:{free_ports(1)[0]}"
    gateways = [msgspec.structs.replace(daemons.site.gateways[0], admin_at=at)]
    far = msgspec.json.encode(msgspec.structs.replace(daemons.site, gateways=gateways))
    (tmp_path / "site.json").write_bytes(far)

    def fleet(who: str, *words: str) -> subprocess.CompletedProcess[str]:
        cert, plans = tmp_path / "keys" / f"{who}.pem", tmp_path / "plans"
        command = [
            sys.executable,
            "-m",
            "ledgehitch",
            "fleet",
            "--site",
            str(tmp_path / "site.json"),
            "--cert",
            str(cert),
            "--plans",
            str(plans),
            "--within",
            "8",
            *words,
        ]
        return subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT)

    try:
        daemons.start("g0", "--keys", str(tmp_path / "keys"))
        daemons.ready("g0")
        found = json.loads(fleet("eyes", "status", "--json").stdout)
        assert [f["kind"] for f in found] == ["answered"]
        refused = fleet("eyes", "drain")
        assert refused.returncode == 1 and "may look, not operate" in refused.stderr
        assert fleet("eyes", "give-up").returncode == 0
        assert fleet("ops", "drain").returncode == 0 and fleet("ops", "undrain").returncode == 0
        keys.revoke(tmp_path / "keys" / "gone.pem")
        (told,) = json.loads(fleet("gone", "status", "--json").stdout)
        assert told["kind"] == "refused"
    finally:
        assert daemons.end() == {"g0": 0}


def test_draining_gateway_redirects_viewers_and_ends_viewings_at_its_limit() -> None:
    def day(rig: Rig) -> None:
        rig.gateway.frontend.other_gateway = lambda: "127.0.0.1:9"
        place = str(rig.offer(1).header("location"))
        rig.gateway.set_draining(True)
        moved = rig.offer(2)
        assert moved.status == 307 and moved.header("location") == "http://127.0.0.1:9/whep/recorded/clip-1"
        with rig.client.stream(rig.at, place + "/events") as (_, parts):
            rig.gateway.executor.end_all()
            seen = b"".join(parts)
        assert b"event: inactive" in seen and not rig.gateway.executor.viewings
        rig.until(lambda: any(host.deleted for host in rig.hosts.values()))
        assert rig.client.request(rig.at, "DELETE", place).status == 404

    Rig().run(day)


# ---- the terminal interface --------------------------------------------------------------------------------

SEEN = [
    QueryResult(
        "g0",
        "answered",
        state=state(
            "g0",
            counts=Counts(100, 90, 5, 1),
            zone="north",
            hosts={"h1": HostSeen(True, 4), "h2": HostSeen(False, 9)},
        ),
    ),
    QueryResult("g1", "silent", "no whole answer in 1.5 s"),
    QueryResult("g2", "draining", "draining: p/g2", state=state("g2", phase="draining", zone="south")),
]
LINES = [
    head_line(Plan("p", "restart", [Target("g0", "x"), Target("g1", "x"), Target("g2", "x")])),
    {"ev": "intended", "gateway": "g0", "boot": "b"},
    {"ev": "done", "gateway": "g0"},
    {"ev": "intended", "gateway": "g2", "boot": "b"},
    {"ev": "sent", "gateway": "g2"},
]


def test_rows_and_lines_of_zones_hosts_and_plans() -> None:
    assert zone_rows(SEEN, {"g0": "north", "g1": "north", "g2": "south"}) == [
        ("north", "1 of 2", "0", "100", "6.0%", "-"),
        ("south", "0 of 1", "0", "0", "-", "-"),
    ]
    assert SEEN[0].state is not None
    assert host_lines(SEEN[0].state)[0].split() == ["h2", "9", "not", "in", "service"]
    assert plan_summary(LINES)[:2] == ["p: restart, 1 of 3 done", "under way; now g2"]
    stopped = plan_summary(
        [*LINES, {"ev": "failed", "gateway": "g2", "why": "silent"}, {"ev": "stopped", "why": "1 failed"}]
    )
    assert stopped[:2] == ["p: restart, 1 of 3 done, 1 failed", "stopped: 1 failed"]
    assert plan_summary([]) == []


def test_screen_stays_responsive_while_a_query_hangs_and_marks_old_data() -> None:
    asked = 0

    async def feed() -> tuple[list[QueryResult], list[dict[str, Any]]]:
        nonlocal asked
        asked += 1
        if asked == 2:
            raise ValueError("the site does not read")
        if asked > 2:
            await asyncio.sleep(3600)
        return SEEN, LINES

    async def look() -> None:
        screen = FleetScreen(feed, {"g0": "north", "g1": "north", "g2": "south"}, every=3600.0)
        async with screen.run_test(size=(140, 40)) as pilot:
            table = screen.query_one("#gateways", DataTable)
            for _ in range(200):
                await pilot.pause(0.01)
                if table.row_count == 3:
                    break
            assert table.row_count == 3 and asked == 1
            assert "1 answered, 1 draining, 1 silent" in str(screen.query_one("#news", Static).render())
            await pilot.press("down", "t")
            assert table.row_count == 2, "only gateways with problems"
            await pilot.press("r")
            await pilot.pause(0.05)
            assert "query failed: the site does not read" in str(screen.query_one("#news", Static).render())
            await pilot.press("r")
            await pilot.pause(0.05)
            assert asked == 3
            await pilot.press("t", "r")
            assert table.row_count == 3 and asked == 3, "keys are handled; one query at a time"
            screen.updated_at -= 5 * 3600.0
            screen._show_status()
            assert "s old" in str(screen.query_one("#news", Static).render())

    asyncio.run(look())


# ---- malformed input ---------------------------------------------------------------------------------------


def test_malformed_input_is_refused_and_leaves_no_state() -> None:
    fed = Fed(random.Random(7))
    for _ in range(400):
        fed.datagram()
        fed.admin()
        fed.duty()
        fed.plan()
        fed.http()
        fed.certificate()
    assert fed.receiver.rejected["mac"] > 100 and len(fed.members.statuses()) == 7
    assert len(fed.owners._pending) < 1000 and all(v.term < 2**40 for v in fed.owners.durable.voters.values())
    assert len(fed.members._pending) < 100 and len(fed.members._indirect) < 400


def test_malformed_admin_call_is_answered_with_the_reason() -> None:
    def day(rig: Rig) -> None:
        life = Life(time.monotonic(), 3.0)
        admin = Admin(rig.gateway, life, "", lambda: None)

        def call(method: str, path: str, body: bytes = b"", role: Role = "operate") -> tuple[int, str]:
            try:
                answer = admin.handle(Request(method, path, {}, body), role)
            except Refused as why:
                return why.status, why.detail
            return answer.status, answer.body.decode()

        life.on_serving(time.monotonic())
        assert call("GET", "/v1/state")[0] == 200 and call("GET", "/v1/hosts", role="look")[0] == 200
        limits = json.loads(call("GET", "/v1/limits")[1])
        assert limits["door"] is None and limits["terms"]["tune_ins"] == 3
        assert call("POST", "/v1/drain", b'{"withn": 3}') == (
            400,
            "the call does not read: Object contains unknown field `withn`",
        )
        assert call("POST", "/v1/drain", b'{"within": "x"}')[0] == 400
        assert call("POST", "/v1/drain", b"\xff{")[0] == 400
        assert call("POST", "/v1/drain", b'{"ticket": "\xff"}')[0] == 400
        assert call("POST", "/v1/drain", b'{"within": -1}')[0] == 400 and life.phase == "ready"
        assert call("POST", "/v1/drain", b"{}", "look")[0] == 403
        status, why = call("POST", "/v1/drain", b'{"if_boot": "another"}')
        assert status == 412 and "another life runs here" in why and life.phase == "ready"
        assert call("POST", "/v1/reload")[0] == 409 and call("PUT", "/v1/drain")[0] == 405
        assert call("GET", "/v1/owners")[0] == 409, "no part in membership"
        assert call("POST", "/v1/fence", b'{"duty": "restarts", "term": 1}')[0] == 409
        assert call("POST", "/v1/fence", b"{}")[0] == 400 and call("PUT", "/v1/plans")[0] == 405
        assert call("POST", "/v1/drain", b'{"duty": "restarts", "term": 1}', "gateway")[0] == 409
        assert call("POST", "/v1/drain", b"{}", "gateway")[0] == 403 and life.phase == "ready"
        assert call("GET", "/v2/state")[0] == 404 and "version 1" in call("GET", "/v2/state")[1]
        assert call("GET", "/v1/why/1") == (
            409,
            "this gateway keeps no flight record: start it with --record",
        )
        boot = rig.gateway.boot
        assert call("POST", "/v1/drain", f'{{"if_boot": "{boot}", "ticket": "p/g0"}}'.encode())[0] == 200
        assert str(life.phase) == "draining" and life.why == "p/g0"

    Rig().run(day)


def test_decisions_are_explained_from_the_record_while_serving() -> None:
    def day(rig: Rig) -> None:
        rig.offer(1)
        admin = Admin(rig.gateway, Life(time.monotonic(), 3.0), "", lambda: None)
        viewing_id = next(iter(rig.gateway.executor.viewings))
        entry = rig.gateway.executor.registry.entries[viewing_id]
        for which in (str(viewing_id), entry.resource):
            lines = json.loads(admin.handle(Request("GET", f"/v1/why/{which}", {}), "look").body)["lines"]
            assert "asked for clip-1 as recorded" in lines[0]
            assert any("-> tune in at" in line for line in lines)
            assert any("plays after" in line for line in lines)
        with pytest.raises(Refused, match="holds nothing on viewing 999"):
            admin.handle(Request("GET", "/v1/why/999", {}), "look")

    Rig(record=True).run(day)
