"""Quality by rack and title: reports, false clocks, merging, crash safety, verdicts, and end to end."""

import json
import os
import random
import time
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.worlds import each_alone, ours, scored, world
from ledgehitch.config import read_day
from ledgehitch.gateway.reports import KeyFileVerifier, ReportService, TokenIssuer
from ledgehitch.http import Response
from ledgehitch.loop import Loop, connect, endpoint
from ledgehitch.quality.facts import Report, ViewingRecord, parse_reports
from ledgehitch.quality.judge import CLEAR_AFTER, VerdictTracker, evaluate
from ledgehitch.quality.keep import SnapshotStore
from ledgehitch.quality.limits import BURST, ReportRateLimit
from ledgehitch.quality.page import render_page
from ledgehitch.quality.passes import KEY_OVERLAP_S, TOKEN_LIFETIME_S, InvalidToken, ReportTokens
from ledgehitch.quality.tally import (
    MAX_DELAY_S,
    MAX_VIEWINGS,
    OTHERS,
    WINDOW_S,
    Cell,
    GroupCounts,
    Tally,
    Window,
)
from ledgehitch.rehearsal.play import rehearse
from tests.rig import Rig, answer, request

T = 100_000.0


def tally(source: str = "g0", life: int = 1) -> Tally:
    t = Tally(source, life)
    for n in range(4):
        t.on_viewing_admitted(f"v{n}", ViewingRecord(f"r{n % 2}", f"t{n}", T - 0.1, T, package=f"p{n % 3}"))
    return t


def report(sn: int, at: float, **more: Any) -> Report:
    return Report(sn=sn, ts=int(at * 1000), **more)


def plain(t: Tally) -> Any:
    return msgspec.to_builtins([t.totals(0, 10**9), t.groups(0, 10**9)])


def test_a_batch_yields_its_valid_reports_and_the_errors_of_the_others() -> None:
    good, bad = parse_reports(
        b'[{"sn":0,"ts":1,"msd":300},{"sn":-1,"ts":1},{"sn":2,"ts":1,"bsd":[-4]},{"ts":1},7]'
    )
    assert good == [Report(sn=0, ts=1, msd=300)]
    assert [(b["report"], b["field"]) for b in bad] == [
        (1, "sn"),
        (2, "bsd[0]"),
        (3, "the whole report"),
        (4, "the whole report"),
    ]
    for body in (b"{}", b"nonsense", b"[" + b'{"sn":0,"ts":1},' * 300 + b'{"sn":0,"ts":1}]'):
        with pytest.raises(ValueError, match="batch"):
            parse_reports(body)


def test_duplicate_and_delayed_reports_change_no_count() -> None:
    once, often = tally(), tally()
    sent = [(f"v{n % 4}", report(n // 4, T + 2 * n, bsd=[500] if n % 4 == 1 else [])) for n in range(40)]
    for n, (viewing, one) in enumerate(sent):
        once.on_report(T + 2 * n + 0.05, viewing, one)
    chance = random.Random(1)
    for n, (viewing, one) in enumerate(sent):
        often.on_report(T + 2 * n + 0.05, viewing, one)
        for _ in range(10):
            restarted = chance.randrange(max(0, n - 12), n + 1)
            often.on_report(T + 2 * n + 0.06, *sent[restarted])
    assert plain(often) == plain(once) and often.counts.doubles == 400
    assert once.counts.taken == 40 and once.counts.marked == {}


def test_delayed_reports_count_in_their_window_and_later_ones_as_late() -> None:
    t = tally()
    t.on_report(T + 1.0, "v0", report(0, T + 1.0))
    assert t.on_report(T + 1.0 + MAX_DELAY_S, "v0", report(1, T + 2.0, bsd=[900])) == "taken"
    assert t.windows[int(T // WINDOW_S)].cells["r0\tt0"].stalled == 1, (
        "counted in the window in which it was made"
    )
    assert t.on_report(T + 50, "v0", report(2, T + 3.0, bsd=[900])) == "late"
    assert t.counts.late == 1 and t.on_report(T, "nobody", report(0, T)) == "unknown"


@pytest.mark.parametrize(
    ("clock", "marked"),
    [
        (lambda s: s, ""),
        (lambda s: s + 3600, ""),
        (lambda s: s * 1.1, "its clock runs fast or jumps ahead"),
        (lambda s: s if s < 12 else s - 9, "its clock jumps back"),
        (lambda s: 7.0, "its clock stands still"),
        (lambda s: s if s < 12 else s + 500, "its clock runs fast or jumps ahead"),
    ],
)
def test_players_with_false_clocks_are_marked_and_do_not_count(clock: Any, marked: str) -> None:
    t = tally()
    results = [
        t.on_report(
            T + 2 * n, "v0", report(n, 1000 + clock(2.0 * n), bsd=[10_000] if marked and n > 25 else [])
        )
        for n in range(30)
    ]
    assert (results[-1] == marked) if marked else set(results) == {"taken"}
    assert sum(c.bad for w in t.windows.values() for c in w.cells.values()) == 0


def test_a_player_that_delays_its_first_reports_is_not_marked() -> None:
    t = tally()
    for batch in range(4):
        for n in range(20):
            sn = 20 * batch + n
            now = T + 20 * (batch + 1)
            assert t.on_report(now, "v0", report(sn, 500 + sn, bsd=[200])) in ("taken", "late")
    assert t.counts.marked == {} and t.counts.taken > 60


def test_impossible_reports_are_marked_and_many_stalls_are_one_bad_viewing() -> None:
    t = tally()
    assert t.on_report(T + 1, "v0", report(0, 5, bsd=[60_000])) == "it stalls longer than it plays"
    assert t.on_report(T + 1, "v1", report(0, 5, msd=9_000)) == "it started before it asked"
    for n in range(100):
        t.on_report(T + 1 + n / 50, "v2", report(n, 5 + n / 50, bsd=[900]))
    cell = t.windows[int(T // WINDOW_S)].cells["r0\tt2"]
    assert (cell.viewings, cell.bad, cell.stalled) == (1, 1, 1)


def test_memory_is_bounded_by_viewings_and_titles(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ledgehitch.quality.tally.MAX_VIEWINGS", 500)
    monkeypatch.setattr("ledgehitch.quality.tally.MAX_CELLS", 200)
    monkeypatch.setattr("ledgehitch.quality.tally.MAX_GROUPS", 100)
    t = Tally("g0", 1)
    for n in range(3000):
        t.on_viewing_admitted(f"v{n}", ViewingRecord("r0", f"t{n}", T, T))
        t.on_report(T + 1, f"v{n}", report(0, 1))
    assert len(t.clocks) == 500 and MAX_VIEWINGS > 500
    table = t.windows[int((T + 1) // WINDOW_S)].cells
    assert len(table) == 201 and table[f"r0\t{OTHERS}"].viewings == 2800
    sides = t.windows[int((T + 1) // WINDOW_S)].sides
    assert len(sides) <= 104 and sum(s.viewings for k, s in sides.items() if k.startswith("title")) == 3000
    for n in range(200):
        t.on_viewing_admitted("x", ViewingRecord("r0", "t", T + 10 * n, T + 10 * n))
        t.on_report(T + 10 * n + 1, "x", report(n, n * 10))
    assert len(t.windows) <= 60 and set(t.versions) == set(t.windows)


@settings(max_examples=80, deadline=None, derandomize=True)
@given(st.randoms(use_true_random=False))
def test_merging_is_commutative_and_idempotent_and_agrees_with_the_raw_reports(chance: random.Random) -> None:
    raw: list[tuple[str, str, Report, float]] = []
    sources = {name: tally(name) for name in ("a", "b", "c")}
    told: list[Any] = []
    for n in range(40):
        name, viewing = chance.choice("abc"), f"v{chance.randrange(4)}"
        at = T + n * 0.9
        one = report(
            n,
            at,
            bsd=[500] if chance.random() < 0.3 else [],
            rung=chance.randrange(3),
            msd=chance.randrange(50, 500) if n == 0 else None,
        )
        raw.append((name, viewing, one, at))
        sources[name].on_report(at, viewing, one)
        if chance.random() < 0.4:
            told += msgspec.json.decode(msgspec.json.encode(list(sources[name].summaries())))
    for t in sources.values():
        told += msgspec.json.decode(msgspec.json.encode(list(t.summaries())))
    whole = None
    for _ in range(2):
        chance.shuffle(told)
        reader = Tally("reader", 1)
        for source, window, life, version, table in [*told, *told[:7]]:
            reader.merge(source, window, life, version, msgspec.convert(table, Window, strict=False))
        assert whole is None or plain(reader) == whole
        whole = plain(reader)
    counted: dict[str, set[tuple[str, str, int]]] = {}
    for name, viewing, _, at in raw:
        key = f"r{int(viewing[1]) % 2}\tt{viewing[1]}"
        counted.setdefault(key, set()).add((name, viewing, int(at // WINDOW_S)))
    assert whole is not None
    assert {k: c["viewings"] for k, c in whole[0].items()} == {k: len(v) for k, v in counted.items()}
    by_kind = {kind: sum(s["viewings"] for s in sides.values()) for kind, sides in whole[1].items()}
    assert set(by_kind.values()) == {sum(len(v) for v in counted.values())}
    for kind, place in (("rack", 0), ("title", 1)):
        for name, side in whole[1][kind].items():
            assert side["viewings"] == sum(len(v) for k, v in counted.items() if k.split("\t")[place] == name)


def test_a_restart_within_a_window_counts_nothing_twice_and_replaces_peers_tables() -> None:
    t = tally()
    for n in range(5):
        t.on_report(T + n, "v0", report(n, T + n))
    kept = msgspec.msgpack.decode(msgspec.msgpack.encode(t.snapshot()))
    t.on_report(T + 5, "v1", report(0, T + 5))
    other = Tally("g1", 1)
    for one in t.summaries():
        other.merge(*one)
    restarted = Tally.restore(kept, 1)
    assert restarted.life > t.life
    for n in range(5):
        assert restarted.on_report(T + 6, "v0", report(n, T + n)) == "double"
    assert restarted.on_report(T + 6, "v1", report(0, T + 5)) == "taken", (
        "a report lost with the crash may be sent again"
    )
    for one in restarted.summaries():
        assert other.merge(*one)
    for one in t.summaries():
        assert not other.merge(*one), "an old summary does not replace a newer one"
    assert plain(other) == plain(restarted) and plain(restarted)[0]["r1\tt1"]["viewings"] == 1


def test_start_times_are_accurate_to_five_per_cent_and_merge() -> None:
    here, there = tally("g0"), tally("g1")
    times = [int(40 * 1.5**n) for n in range(20)]
    for n, ms in enumerate(times):
        t = (here, there)[n % 2]
        t.on_viewing_admitted(f"x{n}", ViewingRecord("r1", "clip", T - 200_000, T, package="live"))
        t.on_report(T + 1, f"x{n}", report(0, T, msd=ms, rung=2))
    for one in there.summaries():
        here.merge(*one)
    for kind, name in (("rack", "r1"), ("title", "clip"), ("package", "live"), ("rung", "2")):
        side = here.groups(0, 10**9)[kind][name]
        for share, due in ((0.0, times[0]), (0.5, times[9]), (1.0, times[-1])):
            assert side.start_at(share) == pytest.approx(due, rel=0.06)
    assert GroupCounts().start_at(0.5) is None


def test_peers_get_changes_since_their_mark_and_everything_after_a_restart() -> None:
    t = tally()
    t.on_report(T, "v0", report(0, T))
    t.on_report(T + 20, "v1", report(0, T + 20))
    assert len(list(t.summaries())) == 2 and len(list(t.summaries(t.life, 2))) == 0
    (changed,) = t.summaries(t.life, 1)
    assert changed[1] == int((T + 20) // WINDOW_S)
    restarted = Tally.restore(msgspec.msgpack.decode(msgspec.msgpack.encode(t.snapshot())), 1)
    assert len(list(restarted.summaries(t.life, 2))) == 2, "a mark of the previous life is not valid"


def test_a_gateway_that_left_is_removed_when_its_windows_are_too_old() -> None:
    left, reader = tally("gone"), Tally("reader", 1)
    left.on_report(T, "v0", report(0, T))
    for one in left.summaries():
        reader.merge(*one)
    reader.remove_before(int(T // WINDOW_S))
    assert set(reader.peers) == {"gone"}
    reader.remove_before(int(T // WINDOW_S) + 1)
    assert reader.peers == {}


def test_a_crash_at_any_byte_leaves_the_previous_snapshot(tmp_path: Path) -> None:
    keep = SnapshotStore(tmp_path / "q")
    keep.write({"n": 1})
    keep.write({"n": 2})
    whole = (tmp_path / "q.0").read_bytes()
    chance = random.Random(2)
    for _ in range(1000):
        cut = chance.randrange(len(whole))
        damaged = bytearray(whole[:cut]) if chance.random() < 0.7 else bytearray(whole)
        if len(damaged) == len(whole):
            damaged[cut] ^= 1 + chance.randrange(255)
        (tmp_path / "q.0").write_bytes(damaged)
        assert SnapshotStore(tmp_path / "q").read() == {"n": 1}
    (tmp_path / "q.0").write_bytes(whole)
    later = SnapshotStore(tmp_path / "q")
    assert later.read() == {"n": 2}
    later.write({"n": 3})
    assert SnapshotStore(tmp_path / "q").read() == {"n": 3} and not os.path.exists(tmp_path / "q.1.new")
    assert SnapshotStore(tmp_path / "none").read() is None


def test_a_snapshot_of_another_version_is_discarded(tmp_path: Path) -> None:
    SnapshotStore(tmp_path / "g0.quality").write({"of": "another version"})
    reports = ReportService(Loop(), "g0", {}, tmp_path, TokenIssuer("g0", tmp_path).passes.check)
    assert reports.tally.source == "g0" and reports.tally.counts.taken == 0


def test_tokens_are_for_one_viewing_expire_and_survive_key_rotation() -> None:
    passes = ReportTokens(bytes(32), T)
    token = passes.issue(T, "v1")
    passes.check(T + 1, token, "v1")
    after_restart = ReportTokens(bytes(range(1, 33)), T + 2)
    after_restart.restore(msgspec.msgpack.decode(msgspec.msgpack.encode(passes.snapshot())), T + 2)
    after_restart.check(T + 2, token, "v1")
    passes.rotate(bytes(range(32)), T + 10)
    passes.check(T + 11, token, "v1")
    passes.check(T + 11, passes.issue(T + 11, "v2"), "v2")

    def refused(now: float, some: str, viewing: str) -> str:
        with pytest.raises(InvalidToken) as why:
            passes.check(now, some, viewing)
        return str(why.value)

    assert refused(T + 1, token, "v2") == "it is for another viewing"
    assert refused(T + TOKEN_LIFETIME_S, token, "v1") == "it has expired"
    assert refused(T + 10 + KEY_OVERLAP_S, token, "v1") == "its key is not used any more"
    assert refused(T, "nonsense", "v1") == "it is no token of ours"
    assert refused(T, token[:-6] + "AAAAAA", "v1") == "it was not issued here"


def test_a_token_carries_the_viewing_record_and_another_process_reads_its_keys(
    tmp_path: Path,
) -> None:
    tokens, other_process = TokenIssuer("g0", tmp_path), KeyFileVerifier("g0", tmp_path)
    token = tokens.issue("v1", "2", "clip", 0.25, 0.8, "live")
    seen = other_process.check(time.time(), token, "v1")
    assert seen is not None and (seen.rack, seen.title, seen.package) == ("2", "clip", "live")
    assert seen.answered_at - seen.asked_at == pytest.approx(0.25)
    t = Tally("beside", 1)
    result = t.on_report(seen.answered_at + 1, "v1", report(0, 7, msd=200), seen)
    assert result == "taken" and "2\tclip" in t.totals(0, 10**9)
    assert TokenIssuer("g0", tmp_path).passes.check(time.time(), token, "v1") == seen, (
        "keys survive a restart"
    )
    damaged = token[:-30] + ("A" if token[-30] != "A" else "B") + token[-29:]
    for wrong in (damaged, ReportTokens(bytes(32), 0.0).issue(time.time(), "v1")):
        with pytest.raises(InvalidToken):
            other_process.check(time.time(), wrong, "v1")


def test_rate_limits_are_per_client_and_give_the_wait() -> None:
    limits = ReportRateLimit(bytes(32))
    assert limits.acquire(T, "a", int(BURST)) == 0.0
    wait = limits.acquire(T, "a", 10)
    assert wait > 0 and limits.acquire(T, "b", 10) == 0.0
    assert limits.acquire(T + wait, "a", 10) == 0.0, "the wait is exact"


# ---- verdicts ----------------------------------------------------------------------------------------------


def test_verdicts_in_seeded_worlds_against_a_baseline() -> None:
    worlds = [world(seed) for seed in range(40)]
    mine, other = scored("ours", ours, worlds), scored("each alone", each_alone, worlds)
    assert mine["precision"] >= 0.95 and mine["recall_from_10%"] >= 0.95 and mine["healthy_clean"] == 1.0
    assert other["precision"] < 0.6, "testing each group alone also blames healthy groups in the same strata"


def cells(**shares: tuple[int, int]) -> dict[str, Cell]:
    return {k.replace("__", "\t"): Cell(viewings=n, bad=b) for k, (n, b) in shares.items()}


def test_confounded_faults_are_distinguished_or_reported_as_unclear() -> None:
    # A bad title held mostly by a good rack: the title is named.
    table = cells(
        r0__bad=(800, 200),
        r1__bad=(100, 25),
        r0__a=(300, 6),
        r1__a=(900, 18),
        r2__a=(900, 18),
        r2__bad=(60, 15),
    )
    assert [(c.kind, c.name) for c in evaluate(table).culprits] == [("title", "bad")]
    # A bad rack that plays mostly one title: the rack is named.
    table = cells(r0__a=(900, 200), r0__b=(80, 18), r1__a=(400, 8), r1__b=(500, 10), r2__b=(800, 16))
    assert [(c.kind, c.name) for c in evaluate(table).culprits] == [("rack", "r0")]
    # The whole fleet is bad: no culprit. Too few viewings: reported. A rack without reports is listed.
    everywhere = evaluate(cells(r0__a=(500, 250), r1__a=(500, 250), r0__b=(500, 250), r1__b=(500, 250)))
    assert everywhere.culprits == () and "everywhere alike" in everywhere.word
    assert evaluate(cells(r0__a=(5, 5))).word.startswith("too few")
    assert evaluate(cells(r0__a=(500, 1)), {"r0": 1, "r9": 1}).unclear == ("rack r9 sent no report",)
    assert evaluate(cells(r0__a=(500, 10), r1__a=(500, 10), r1__one=(1, 1))).culprits == ()


def test_a_verdict_does_not_flap() -> None:
    judge = VerdictTracker()
    bad = cells(r0__a=(500, 100), r1__a=(500, 10), r2__a=(500, 10))
    fine = cells(r0__a=(500, 10), r1__a=(500, 10), r2__a=(500, 10))
    assert judge.evaluate(bad).culprits == (), "one evaluation is not enough"
    assert [c.name for c in judge.evaluate(bad).culprits] == ["r0"]
    for _ in range(CLEAR_AFTER - 1):
        assert [c.name for c in judge.evaluate(fine).culprits] == ["r0"]
    assert judge.evaluate(fine).culprits == ()
    assert judge.evaluate(bad).culprits == ()


# ---- end to end --------------------------------------------------------------------------------------------


def test_the_gateway_finds_the_faulty_rack_and_title_from_players_reports() -> None:
    def day(rig: Rig) -> None:
        def post(place: str, token: str, body: bytes) -> Response:
            stream = connect(rig.loop, endpoint(rig.at))
            try:
                stream.send(request(rig.at, method="POST", path=f"{place}/reports", body=body, token=token))
                return answer(stream)
            finally:
                stream.close()

        first = rig.offer(0, token="t0")
        place, token = str(first.header("location")), str(first.header("report-token"))
        assert "/reports>" in str(first.header("link")) and "urn:ledgehitch:reports" in str(
            first.header("link")
        )
        good = json.dumps([{"sn": 0, "ts": 5, "msd": 1}, {"sn": 1, "ts": 9}]).encode()
        assert json.loads(post(place, token, good).body) == {"taken": 2}
        assert json.loads(post(place, token, good).body) == {"double": 2}
        half = post(place, token, b'[{"sn":2,"ts":12},{"sn":"x","ts":1}]')
        told = json.loads(half.body)
        assert half.status == 422 and told["errors"][0]["field"] == "sn" and told["became"] == {"taken": 1}
        assert post(place, "forged", good).status == 401
        assert post(place, token, b"{}").status == 400
        flood = json.dumps([{"sn": n, "ts": n} for n in range(10, 200)]).encode()
        statuses = [post(place, token, flood) for _ in range(2)]
        assert statuses[1].status == 429 and int(str(statuses[1].header("retry-after"))) >= 1

        tokens = rig.gateway.frontend.token_issuer
        assert tokens is not None
        issue = tokens.passes.issue

        def issued_earlier(now: float, viewing: str, seen: ViewingRecord | None = None) -> str:
            """Lets the time of a stall pass for the gateway too."""
            assert seen is not None
            return issue(now, viewing, msgspec.structs.replace(seen, answered_at=seen.answered_at - 5.0))

        tokens.passes.issue = issued_earlier  # type: ignore[method-assign]
        titles = sorted(rig.gateway.frontend.titles)
        nth: Counter[tuple[str, str]] = Counter()
        for n in range(1, 361):
            title = titles[n % 3]
            plays = rig.offer(n, token=f"t{n}", title=title)
            assert plays.status == 201
            viewing_id = max(rig.gateway.executor.viewings)
            rack = rig.gateway.rack_of(rig.gateway.executor.viewings[viewing_id].host)
            faulty = (rack == "1") * 3 + (title == titles[1]) * 3
            # Numbered within each rack and title: a share of all viewings would vary by rack with the timing
            # of their placement, and 30 of 114 is one too few for a verdict.
            nth[rack, title] += 1
            stalls = [400] if nth[rack, title] * 7 % 10 < faulty else []
            rig.loop.sleep(0.0)
            body = json.dumps([{"sn": 0, "ts": 1, "bsd": stalls}]).encode()
            assert post(str(plays.header("location")), str(plays.header("report-token")), body).status == 200
        report = json.loads(rig.client.request(rig.at, "GET", "/quality/report").body)
        named = {(c["kind"], c["name"]) for c in report["verdict"]["culprits"]}
        assert named == {("rack", "rack-1"), ("title", titles[1])}, report["verdict"]["word"]
        assert report["counts"]["doubles"] >= 2 and report["groups"]["rack"]["rack-0"]["viewings"] > 30
        shown = render_page(report)
        assert shown.count("<svg") == 8 and "(to blame)" in shown and 'class="blamed"' in shown
        assert "<script" not in shown and "&lt;b&gt;" in render_page({**report, "gateway": "<b>"})
        tables = json.loads(rig.client.request(rig.at, "GET", "/quality/tables").body)
        assert tables and tables[0]["source"] == "g0"
        # A reload renames the rack: its counts are listed under the new name.
        fleet = msgspec.structs.replace(rig.site.fleet, rack_names=["east", "west", "north"])
        rig.gateway.apply_site(msgspec.structs.replace(rig.site, fleet=fleet))
        restarted = json.loads(rig.client.request(rig.at, "GET", "/quality/report").body)
        assert {(c["kind"], c["name"]) for c in restarted["verdict"]["culprits"]} == {
            ("rack", "west"),
            ("title", titles[1]),
        }
        assert restarted["groups"]["rack"]["west"] == report["groups"]["rack"]["rack-1"]
        assert (
            set(restarted["groups"]["package"]) == {"recorded"}
            and restarted["groups"]["rung"]["0"]["viewings"] > 300
        )
        # A rack whose viewings play but send no reports is listed.
        assert rig.gateway.reports is not None
        rig.gateway.reports.playing_by_rack = lambda: {"1": 40, "2": 3, "7": 40}
        silent = json.loads(rig.client.request(rig.at, "GET", "/quality/report").body)
        assert silent["verdict"]["unclear"] == ["rack rack-7 sent no report"]

    Rig(hosts=6, fleet={"racks": 3}).run(day)


def played(day: str, tmp_path: Path) -> Any:
    return rehearse(read_day(Path(__file__).parent.parent / "days" / day), 1, tmp_path / "day")


def counted_starts(report: Any) -> dict[str, dict[str, int]]:
    return {k: {n: g["starts"] for n, g in report["groups"][k].items()} for k in ("rack", "title")}


def plain_starts(produced: Any) -> dict[str, dict[str, int]]:
    out: dict[str, dict[str, int]] = {"rack": {}, "title": {}}
    for key, n in produced["starts"].items():
        rack, _, title = key.partition("\t")
        out["rack"][f"rack-{rack}"] = out["rack"].get(f"rack-{rack}", 0) + n
        out["title"][title] = out["title"].get(title, 0) + n
    return out


def test_a_day_of_duplicate_and_late_reports_names_the_faulty_rack_and_title(
    tmp_path: Path,
) -> None:
    day = played("quality.lh", tmp_path)
    produced = day.service["players"]
    # A player that reports impossible stalls is marked; all other reports are counted once.
    once = {result: n for result, n in produced["became"].items() if result != "double"}
    assert not day.breaches and set(once) <= {"taken", "it stalls longer than it plays"}
    assert sum(once.values()) == produced["became"]["double"] == produced["reports"]
    assert once["taken"] > 0.95 * produced["reports"]
    true = {
        (f["kind"], f"rack-{f['name']}" if f["kind"] == "rack" else f["name"]) for f in produced["faulty"]
    }
    assert len(true) == 2 and produced["reports"] > 1000
    for report in day.quality.values():
        assert {(c["kind"], c["name"]) for c in report["verdict"]["culprits"]} == true, report["verdict"][
            "word"
        ]
        assert counted_starts(report) == plain_starts(produced), (
            "each gateway counts the starts of the whole fleet once"
        )
    counts = [report["counts"] for report in day.quality.values()]
    assert sum(c["taken"] for c in counts) == once["taken"]
    assert sum(c["doubles"] for c in counts) == produced["reports"]


def test_a_gateway_killed_while_players_report_counts_nothing_twice(tmp_path: Path) -> None:
    day = played("quality-restart.lh", tmp_path)
    produced = day.service["players"]
    assert not day.breaches and len([f for f in day.faults if f["kind"] == "kill"]) == 2
    told = [counted_starts(report) for report in day.quality.values()]
    assert told[0] == told[1], "both gateways have the same counts"
    plain, taken = plain_starts(produced), sum(r["counts"]["taken"] for r in day.quality.values())
    for kind, names in told[0].items():
        assert all(n <= plain[kind][name] for name, n in names.items())
    assert 0.5 * produced["became"]["taken"] < taken <= produced["became"]["taken"]
    assert set(produced["statuses"]) <= {"200"}, "tokens survive the restart"
    for kept in (tmp_path / "day" / "state").glob("*.passes.*"):
        assert kept.stat().st_mode & 0o077 == 0, "the files with keys are private"
