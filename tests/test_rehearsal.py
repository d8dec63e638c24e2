"""Tests of days on loopback: whole runs, fault plans, imported bench days, stand-ins and the command line."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.config import KINDS, BadInput, Day, Fault, Site, read_day
from ledgehitch.config.load import digest_of
from ledgehitch.gateway.replay import replay_record
from ledgehitch.gateway.site_reloader import compile_site, load_first_version, load_last_good
from ledgehitch.loop import Loop
from ledgehitch.proof.check import check_tapes, rule_parameters
from ledgehitch.rehearsal.imported import FAULT_KINDS, import_bench_day
from ledgehitch.rehearsal.play import Stage, free_ports
from ledgehitch.standins.arrivals import fewest_held, visits
from ledgehitch.standins.faults import Faults
from ledgehitch.standins.links import Fabric, Link
from ledgehitch.standins.places import WarmUpLimit
from ledgehitch.standins.plan import site_of, steps_of
from ledgehitch.standins.viewers import offer_of
from tests.test_config import GOOD

ROOT = Path(__file__).parent.parent
BAD_DAY = ROOT / "days" / "bad-day.lh"


def run(*arguments: str, timeout: float = 90.0) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "ledgehitch", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=timeout, cwd=ROOT)


def test_bad_day_breaks_no_rule_and_its_records_replay(tmp_path: Path) -> None:
    day = run(
        "--log-level", "error", "rehearse", str(BAD_DAY), "--tape", str(tmp_path / "d"), "--record", "--json"
    )
    assert day.returncode == 0, day.stdout[-3000:] + day.stderr[-3000:]
    summary = json.loads(day.stdout)
    assert summary["kept"] and summary["breaches"] == {str(n): 0 for n in range(1, 7)}
    assert len({f["kind"] for f in summary["faults"]}) >= 6
    tape_counts = summary["tape"]
    assert tape_counts["ask"] > 200 and tape_counts["answer"] > 200 and tape_counts["setup"] > 200, (
        "the tape holds too few events for the checks to mean anything"
    )
    assert tape_counts["down"] >= 3 and tape_counts["told"] > 27 and tape_counts["gateway"] >= 8
    assert summary["service"]["joined"] > 200 and set(summary["exits"].values()) == {0}
    records = sorted((tmp_path / "d" / "record").iterdir())
    assert len(records) >= 5, "one record for each start of a gateway"
    assert sum(replay_record(r).decisions for r in records) > 300
    assert [replay_record(r).difference for r in records] == [""] * len(records)
    again = run("check-tape", str(tmp_path / "d"), "--json")
    assert again.returncode == 0 and json.loads(again.stdout)["tape"] == tape_counts
    # With one answer removed, the command reports a breach of rule 1.
    path = tmp_path / "d" / "tape" / "viewers.tape"
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(
        b"".join(
            line
            for i, line in enumerate(lines)
            if i != next(i for i, line in enumerate(lines) if b'"answer"' in line)
        )
    )
    broken = run("check-tape", str(tmp_path / "d"))
    assert broken.returncode == 1 and "rule 1: never answered" in broken.stdout
    refused = run("rehearse", str(BAD_DAY), "--tape", str(tmp_path / "d"))
    assert refused.returncode == 2 and "never written over" in refused.stderr


def test_up_serves_viewings_and_ends_its_processes_within_two_seconds(tmp_path: Path) -> None:
    child = subprocess.Popen(
        [sys.executable, "-m", "ledgehitch", "--log-level", "error", "up", "--seed", "3"],
        stdout=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    try:
        assert child.stdout is not None
        at = json.loads(child.stdout.readline())["gateway"]
        statuses = []
        for n in range(1, 21):
            for package in ("recorded", "live"):
                statuses.append(offer_status(at, f"/whep/{package}/clip-{n}", n))
        assert set(statuses) == {201}
        shown = run("quality", "report", at, "--html", str(tmp_path / "page.html"))
        assert shown.returncode == 0 and "too few viewings" in shown.stdout
        assert "<svg" in (tmp_path / "page.html").read_text()
        assert "too few" in run("quality", "watch", at, "--times", "1").stdout
        lags = run("config", "status", at)
        assert lags.returncode == 0 and "up to date" in lags.stdout
        children = subprocess.run(
            ["pgrep", "-P", str(child.pid)], capture_output=True, text=True
        ).stdout.split()
        assert len(children) == 2, "the stand-ins and the gateway"
    finally:
        start = time.monotonic()
        child.send_signal(signal.SIGINT)
        assert child.wait(timeout=10) == 0
    assert time.monotonic() - start < 2.0, "all processes have ended within 2 s"
    assert not [pid for pid in children if os.path.exists(f"/proc/{pid}")]


def offer_status(at: str, path: str, n: int) -> int:
    headers = {"Content-Type": "application/sdp", "Authorization": f"Bearer viewer-{n}"}
    request = urllib.request.Request(at + path, offer_of(n), headers)
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return int(response.status)
    except urllib.error.HTTPError as refused:
        return refused.code


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["rehearse", "none.json"], "none.json: cannot be read"),
        (["serve", "--site", "none.json"], "none.json: cannot be read"),
        (["replay", "none"], "none: no flight record found"),
        (["check-tape", "days"], "days: no tapes"),
        (["import-day", "days/bad-day.lh"], "not JSON: line 1"),
        (["standin", "fault", "127.0.0.1:1", "flood"], "no fault 'flood'"),
        (["standin", "fault", "127.0.0.1:1", "crash"], "does not answer"),
    ],
)
def test_bad_input_ends_with_a_message_and_no_traceback(arguments: list[str], message: str) -> None:
    result = run(*arguments)
    assert result.returncode in (1, 2) and message in result.stderr and "Traceback" not in result.stderr


# ---- fault plans and bench days ----------------------------------------------------------------------------


def test_plan_is_deterministic_by_seed_and_every_fault_kind_is_implemented() -> None:
    day = read_day(BAD_DAY)
    site = site_of(day, 7, range(20001, 20011))
    assert steps_of(day, site, 7) == steps_of(day, site, 7) != steps_of(day, site, 8)
    assert list(visits(day, site, 7)) == list(visits(day, site, 7))
    for name, kind in KINDS.items():
        if kind.target not in ("gateways", "viewers"):
            assert callable(getattr(Faults, "_" + name)), name


def test_bursts_raise_arrivals_and_crowds_choose_one_title() -> None:
    day = read_day(BAD_DAY)
    site = site_of(day, 7, range(20001, 20011))
    arrivals = list(visits(day, site, 7))
    usual = sum(10 <= visit.at < 14 for visit in arrivals)
    burst = sum(19 <= visit.at < 23 for visit in arrivals)
    assert burst > 1.5 * usual
    few = fewest_held(site)
    crowd = [visit.title == few for visit in arrivals if 22 <= visit.at < 27]
    before = [visit.title == few for visit in arrivals if visit.at < 22]
    assert sum(crowd) / len(crowd) > 3 * sum(before) / len(before)


def test_site_parts_of_a_day_are_validated() -> None:
    raw = msgspec.to_builtins(read_day(BAD_DAY))
    raw["site"] = {}
    for part, value, message in (
        ("packages", [{"name": "live", "join_target": 1, "patience": 2}], "sells no 'recorded'"),
        ("terms", {"warm_up": -1}, "Expected `float` > 0"),
        ("ladder", [], "Expected `array` of length >= 1"),
    ):
        day = msgspec.convert({**raw, "site": {part: msgspec.Raw(msgspec.json.encode(value))}}, Day)
        with pytest.raises(BadInput) as error:
            site_of(day, 1, range(20001, 20011))
        assert message in str(error.value)


def bench_day(**more: Any) -> dict[str, Any]:
    """Returns a small day in the format of the bench, with every kind of fault and one unknown kind."""
    kinds = [*FAULT_KINDS, "earthquake"]
    troubles = [
        {
            "kind": kind,
            "at": 1e6 * index,
            "len": 2e6,
            "size": 2.0,
            "extra": 0.5,
            "on": [0, 1],
            "steps": [],
            "how": "reset",
        }
        for index, kind in enumerate(kinds)
    ]
    tier = {"kinds": [{"cores": 2}], "report_noise": 0.05, "stated_cold": 8e6, "stated_cold_from": 0.3}
    return {
        "site": "made",
        "kind": "trouble",
        "length": 5e7,
        "zones": ["a", "b"],
        "drain_grace": 1e6,
        "fall_multiple": 3.0,
        "fall_for": 2e6,
        "traffic": {"load": 0.5},
        "clients": {"honour": 0.5, "impatient": 0.0},
        "discovery": {"notice": 1e6, "ask": True},
        "allow": {"peer_delay": 3000, "probes": True, "peers": True, "retry_after": False, "max_attempts": 3},
        "classes": [
            {"name": "clip", "share": 1.0, "aim": 8e5, "deadline": 3e6, "worth": 1.0, "effect": "keyed"}
        ],
        "tiers": [tier],
        "servers": [{"kind": 0}] * 48,
        "balancers": [{}] * 16,
        "fam": {
            "racks": 8,
            "core_kb": 2000.0,
            "core_slots": 11.0,
            "capacity": 8.0,
            "life_s": 30.0,
            "uses": [{"life": 1.0, "scale": 1.0, "floor": 0, "top": 3, "seats": 0, "live": False}],
            "title_zipf": 0.8,
            "small_screens": 0.2,
            "returns": 0.9,
            "rejoin_us": 1e6,
            "titles": 200,
            "uplink_kb": [20000.0] * 8,
            "vary": 0.1,
            "rates": [100.0, 200.0, 400.0],
            "worth": [0.3, 0.6, 1.0],
        },
        "troubles": troubles,
        **more,
    }


def test_bench_day_is_converted_and_unconverted_parts_are_listed(tmp_path: Path) -> None:
    path = tmp_path / "bench.json"
    path.write_text(json.dumps(bench_day()))
    day, skipped = import_bench_day(path, 8)
    assert (day.shape.hosts, day.shape.gateways, day.length) == (6, 2, 50.0)
    assert day.arrivals.rate == pytest.approx(0.5)
    assert {f.kind for f in day.faults} == set(FAULT_KINDS.values())
    assert any("earthquake" in reason for reason in skipped) and any(
        "effect keyed" in reason for reason in skipped
    )
    site = site_of(day, 1, range(20001, 20008))
    assert site.terms.warm_up == 8.0 and site.fleet.slots == {"std": 22} and steps_of(day, site, 1)
    with pytest.raises(BadInput, match="1 or more"):
        import_bench_day(path, 0.5)
    path.write_text(json.dumps(bench_day(tiers=[])))
    with pytest.raises(BadInput, match="not a bench day"):
        import_bench_day(path, 8)
    out = tmp_path / "day.json"
    path.write_text(json.dumps(bench_day()))
    result = run("import-day", str(path), "--scale", "8", "--out", str(out))
    assert result.returncode == 0 and "earthquake" in result.stderr
    assert msgspec.structs.replace(read_day(out), site={}) == msgspec.structs.replace(day, site={})


# ---- stand-ins ---------------------------------------------------------------------------------------------


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 1e4), st.floats(1, 5e3)), min_size=1, max_size=6), st.floats(1, 2e4))
def test_hosts_on_one_uplink_get_the_smaller_of_link_and_uplink_share(
    hosts: list[tuple[float, float]], up: float
) -> None:
    fabric = Fabric(
        {f"h{i}": Link(kb) for i, (_, kb) in enumerate(hosts)},
        {0: Link(up)},
        {f"h{i}": 0 for i in range(len(hosts))},
    )
    requested_kb = {f"h{i}": kb for i, (kb, _) in enumerate(hosts)}
    deliveries = fabric.deliveries(requested_kb)
    link_shares = [min(1.0, link / kb if kb else 1.0) for kb, link in hosts]

    def uplink_load(level: float) -> float:
        return sum(kb * min(share, level) for share, (kb, _) in zip(link_shares, hosts, strict=True))

    low, high = 0.0, 1.0
    for _ in range(100):  # bisection for the max-min fair share: the highest level that the uplink carries
        level = (low + high) / 2
        low, high = (level, high) if uplink_load(level) <= up else (low, level)
    for i, share in enumerate(link_shares):
        assert deliveries[f"h{i}"].share == pytest.approx(min(share, high), abs=1e-6)


def test_cold_host_fails_only_above_its_set_up_budget() -> None:
    places = WarmUpLimit(slots=20, warm_up=10.0, cold_share=0.5, multiple=2.0, window=2.0, started=0.0)
    assert all(places.take(0.0 + n * 0.4) for n in range(12)), (
        "a host survives set-ups at twice its cold rate"
    )
    cold = WarmUpLimit(slots=20, warm_up=10.0, cold_share=0.5, multiple=2.0, window=2.0, started=0.0)
    assert [cold.take(n / 1000) for n in range(8)].index(False) == 5
    assert all(cold.take(10.0 + n / 1000) for n in range(50)) and cold.pace(10.0) is None


def test_faults_default_to_the_middle_of_their_strength_range() -> None:
    assert Fault(kind="neighbour", at=0).size_or_default() == pytest.approx(0.475)
    assert (
        Fault(kind="burst", at=0).size_or_default() == 2.0
        and Fault(kind="crash", at=0).size_or_default() == 0.0
    )


def test_fifty_reloads_under_load_ten_of_them_invalid_lose_no_viewing(tmp_path: Path) -> None:
    raw = {
        **msgspec.to_builtins(read_day(BAD_DAY)),
        "faults": [],
        "length": 10.0,
        "settle": 0.5,
        "site": {},
        "shape": {"gateways": 1, "hosts": 4, "rack": 2, "link_kb": 1e5},
    }
    day = msgspec.convert(raw, Day)
    loop = Loop()
    state: dict[str, Any] = {}

    def reload_under_load() -> Any:
        stage = Stage(loop, day, 3, tmp_path)
        site_file = tmp_path / "site.json"
        good = json.loads(site_file.read_text())
        try:
            stage.start_world()
            stage.start_gateway("g0")
            stage._start(
                "viewers",
                "standin",
                "viewers",
                "--site",
                str(site_file),
                "--day",
                f"{tmp_path}/day.json",
                "--seed",
                "3",
                "--tape",
                f"{stage.tapes}/viewers.tape",
                "--out",
                f"{tmp_path}/s.json",
            )
            for n in range(50):
                changed = json.loads(json.dumps(good))
                changed["titles"][f"new-{n}"] = {"first": n % 4, "spread": 3}
                text = json.dumps(changed) if n % 5 != 2 else json.dumps({**changed, "ladder": "none"})
                (tmp_path / "new").write_text(text)
                (tmp_path / "new").replace(site_file)
                stage.children["g0"].signal(signal.SIGHUP)
                loop.sleep(0.15)
            last_digest = digest_of(msgspec.to_builtins(msgspec.convert(changed, Site)))
            for _ in range(100):
                state.update(stage.state_of("g0") or {})
                if state["config"]["runs"] == last_digest:
                    break
                loop.sleep(0.1)
            assert state["config"]["runs"] == last_digest and not state["config"]["lags"]
            (tmp_path / "new").write_text(json.dumps({**good, "ladder": "none"}))
            (tmp_path / "new").replace(site_file)
            stage.children["g0"].signal(signal.SIGHUP)
            for _ in range(100):
                state.update(stage.state_of("g0") or {})
                if "ladder" in state["config"]["last_refusal"]:
                    break
                loop.sleep(0.1)
            stage.children["viewers"].wait()
        finally:
            state["exits"] = stage.end()
        return stage.site

    site = loop.run(reload_under_load)
    breaches, tape_counts = check_tapes(tmp_path / "tape", rule_parameters(site))
    assert breaches == [] and tape_counts["ask"] > 80
    assert "ladder" in state["config"]["last_refusal"], "refused with the message of the site checker"
    service = json.loads((tmp_path / "s.json").read_text())
    assert service["joined_in_time"] == service["joined"] > 80, "all joins are within the join target"
    last_good = load_last_good(tmp_path / "state" / "g0.site.json")
    assert last_good is not None and last_good.digest == state["config"]["runs"]
    # With a broken site file at the next start, the last good version is used.
    (tmp_path / "site.json").write_text("{")
    first_version = load_first_version(
        tmp_path / "site.json", tmp_path / "state" / "g0.site.json", compile_site
    )
    assert first_version.digest == last_good.digest
    (tmp_path / "state" / "g0.site.json").write_bytes(
        msgspec.json.encode(last_good).replace(b"new-49", b"new-77")
    )
    with pytest.raises(BadInput, match="not JSON"):
        load_first_version(tmp_path / "site.json", tmp_path / "state" / "g0.site.json", compile_site)


def test_config_commands_return_their_documented_exit_codes(tmp_path: Path) -> None:
    a, b = tmp_path / "a.lh", tmp_path / "b.lh"
    a.write_text(GOOD)
    b.write_text(GOOD.replace("6s", "7s"))
    assert run("config", "check", str(a)).stdout.startswith("good: 1 files, digest")
    shown = run("config", "show", str(a))
    assert json.loads(shown.stdout)["terms"]["warm_up"] == 6 and "blake3" in shown.stderr
    differs = run("config", "diff", str(a), str(b), "--json")
    assert differs.returncode == 1 and [c["path"] for c in json.loads(differs.stdout)] == ["terms.warm_up"]
    assert run("config", "diff", str(a), str(a)).stdout == "the same in meaning\n"
    assert "a.lh:9:17: 6s" in run("config", "explain", str(a), "terms.warm_up").stdout
    b.write_text("x:1  //c\n")
    assert run("config", "fmt", "--check", str(b)).returncode == 1
    assert run("config", "fmt", str(b)).returncode == 0 and b.read_text() == "x: 1 //c\n"
    broken = run("config", "check", str(b))
    assert broken.returncode == 1 and "^" in broken.stderr and "Traceback" not in broken.stderr
    status = run("config", "status", "http://127.0.0.1:1")
    assert status.returncode == 1 and "does not answer" in status.stdout


def test_free_ports_returns_no_port_twice_before_it_is_bound() -> None:
    """A fleet allocates its ports in two steps; the second step must not return a port of the first."""
    ports = [port for _ in range(12) for port in free_ports(40)]
    assert len(ports) == len(set(ports)) == 480
