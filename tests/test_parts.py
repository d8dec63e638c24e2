"""Unit tests without I/O: viewing registry, host monitor, host list, peer codec, records, sites and days."""

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.config import BadInput, Day, facts_of, read_day, read_site
from ledgehitch.config.site import check
from ledgehitch.gateway.host_list import HostEntry, HostList, HostListUpdate
from ledgehitch.gateway.host_monitor import (
    LOSS_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    Follow,
    HostLost,
    HostMonitor,
    Unfollow,
)
from ledgehitch.gateway.peer_codec import (
    MAX_CLOCK_DIFFERENCE_S,
    MAX_DATAGRAM_BYTES,
    DatagramRejected,
    PeerCodec,
)
from ledgehitch.gateway.record import (
    BadRecord,
    Recorder,
    dump_checkpoint,
    load_checkpoint,
    read_entries,
    segment_paths,
)
from ledgehitch.gateway.replay import replay_record
from ledgehitch.signalling import (
    AbandonViewing,
    Answer,
    BadSdp,
    EndViewing,
    ViewingRegistry,
    parse_fragment,
    parse_sdp,
)
from ledgehitch.signalling.decide import ORPHAN_GRACE_S, REPEAT_WINDOW_S
from ledgehitch.standins.viewers import offer_of
from tests.helpers import make_gateway, rows
from tests.rig import site

# ---- signalling --------------------------------------------------------------------------------------------


def decisions_of(registry: ViewingRegistry, now: float) -> list[Any]:
    out = []
    while (decision := registry.decide(now)) is not None:
        out.append(decision)
    return out


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_each_connection_is_answered_once_unless_it_disconnects(seed: int) -> None:
    """Rules 1 and 2 in the registry: an offer repeated before or soon after its answer adds no viewing."""
    rng, registry, now = random.Random(seed), ViewingRegistry(bytes(32)), 0.0
    owed: dict[int, int] = {}  # viewing by connection that is owed an answer
    asked: set[int] = set()  # viewings without an answer
    playing: set[int] = set()
    abandoned: set[int] = set()
    conn = viewing_id = 0
    sent: list[int] = []
    for _ in range(80):
        now += rng.choice([0.0, 0.01, 0.3, 2.0])
        event = rng.randrange(8)
        if event < 3:
            conn, viewing_id = conn + 1, viewing_id + 1
            key = bytes([rng.randrange(4)])
            if registry.on_offer(now, conn, key, viewing_id):
                asked.add(viewing_id)
                owed[conn] = viewing_id
            else:
                owed[conn] = 0
        elif event == 3 and asked:
            done = rng.choice(sorted(asked))
            asked.discard(done)
            kind = rng.choice(["plays", "blocked", "aborted"])
            registry.on_result(now, done, kind, "answer", rng.choice([0.0, 1.0]))  # type: ignore[arg-type]
            registry.on_result(now, done, "aborted", "a second answer")
            if kind == "plays":
                playing.add(done)
        elif event == 4 and owed:
            gone = rng.choice(sorted(owed))
            del owed[gone]
            registry.on_disconnect(now, gone)
        elif event == 5 and sent:
            one = sent.pop()
            (registry.on_answer_sent if rng.random() < 0.7 else registry.on_answer_failed)(now, one)
        elif event == 6 and playing:
            one = rng.choice(sorted(playing))
            entry = registry.entries[one]
            if rng.random() < 0.5:
                assert registry.on_delete(now, entry.resource) and not registry.on_delete(now, entry.resource)
            else:
                registry.on_viewing_end(now, one)
                playing.discard(one)
        for decision in decisions_of(registry, now):
            match decision:
                case Answer(to, of):
                    assert to in owed, "answered once, and never after a disconnect"
                    if owed.pop(to):
                        assert of in registry.entries or of not in asked
                    sent.append(to)
                case AbandonViewing(of):
                    assert of in asked
                    asked.discard(of)
                    abandoned.add(of)
                case EndViewing(of):
                    assert of in playing and of not in abandoned
                    playing.discard(of)
    assert all(of in registry.entries for of in asked | playing)


def test_a_repeated_offer_gets_the_same_answer_within_the_repeat_window() -> None:
    registry = ViewingRegistry(bytes(32))
    assert registry.on_offer(0.0, 1, b"k", 1)
    assert not registry.on_offer(0.1, 2, b"k", 2)
    registry.on_result(0.2, 1, "plays", "sdp")
    assert decisions_of(registry, 0.2) == [Answer(1, 1), Answer(2, 1)]
    assert not registry.on_offer(REPEAT_WINDOW_S, 3, b"k", 3) and decisions_of(registry, REPEAT_WINDOW_S) == [
        Answer(3, 1)
    ]
    assert decisions_of(registry, REPEAT_WINDOW_S + 1) == [] and registry.entries[1].result is not None
    assert registry.entries[1].result.answer == "", "the text of the answer is released"
    assert registry.on_offer(REPEAT_WINDOW_S + 1, 4, b"k", 4)


def test_a_blocked_offer_stays_blocked_until_its_retry_time() -> None:
    registry = ViewingRegistry(bytes(32))
    registry.on_offer(0.0, 1, b"k", 1)
    registry.on_result(0.0, 1, "blocked", advice=2.0)
    assert not registry.on_offer(1.9, 2, b"k", 2)
    decisions_of(registry, 2.1)
    assert registry.on_offer(2.1, 3, b"k", 3) and 1 not in registry.entries


def test_a_viewing_whose_answer_was_not_delivered_ends_unless_the_offer_is_repeated() -> None:
    for again in (False, True):
        registry = ViewingRegistry(bytes(32))
        registry.on_offer(0.0, 1, b"k", 1)
        registry.on_result(0.0, 1, "plays", "sdp")
        decisions_of(registry, 0.0)
        registry.on_answer_failed(0.0, 1)
        if again:
            registry.on_offer(1.0, 2, b"k", 2)
            decisions_of(registry, 1.0)
            registry.on_answer_sent(1.0, 2)
        assert decisions_of(registry, ORPHAN_GRACE_S + 0.1) == ([] if again else [EndViewing(1)])


def test_sdp_errors_name_their_line() -> None:
    text = offer_of(1).decode()
    offer = parse_sdp(text)
    assert [m.kind for m in offer.media] == ["audio", "video"] and offer.ufrag == "v1"
    assert parse_sdp(text.replace("\r\n", "\n")).ufrag == "v1"
    assert parse_sdp(text.replace("t=0 0\r\n", "t=0 0\r\nb=TIAS:8000000\r\n")).max_kb() == 1000
    for broken, reason in (
        ("", "line 1: a description starts"),
        (text.replace("s=-", "nonsense"), "line 3: 'nonsense'"),
        (text.replace("s=-\r\n", "\r\n"), "line 3: an empty line"),
        (text.replace("m=audio 9", "m=audio x"), "line 6: a media line"),
        (text.replace("t=0 0\r\n", ""), "time line"),
        (text.replace("a=fingerprint", "a=finger"), "fingerprint"),
        (text.replace("t=0 0\r\n", "t=0 0\r\nb=AS:fast\r\n"), "line 5: a bandwidth"),
        (text.partition("m=")[0], "no media line"),
        ("v=0\n" + "a=x\n" * 3000, "more than 2000 lines"),
    ):
        with pytest.raises(BadSdp) as wrong:
            parse_sdp(broken)
        assert reason in str(wrong.value)
    with pytest.raises(BadSdp, match="line 2"):
        parse_fragment("a=ice-ufrag:x\nv=0\n")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.text("vostmab=:- 0\r\nice-ufragpwd", max_size=200))
def test_any_text_is_parsed_or_refused_with_a_line(text: str) -> None:
    for broken in (text, offer_of(1).decode() + text, "v=0\r\n" + text):
        try:
            parse_sdp(broken)
        except BadSdp as wrong:
            assert 1 <= wrong.line <= broken.count("\n") + 1


# ---- host monitor, host list, peer codec -------------------------------------------------------------------


def decisions(monitor: HostMonitor, now: float) -> list[Any]:
    out = []
    while (decision := monitor.decide(now)) is not None:
        out.append(decision)
    return out


def test_a_host_is_lost_if_it_refuses_restarts_is_silent_or_is_removed_from_the_list() -> None:
    monitor = HostMonitor(random.Random(1))
    monitor.on_host_listed(0.0, "h", False)
    assert decisions(monitor, 0.0) == [Follow("h")]
    monitor.on_stream_opened(0.1, "h", "a")
    monitor.on_stream_ended(1.0, "h", refused=False)
    assert decisions(monitor, 1.0) == []
    assert decisions(monitor, 1.3) == [Follow("h")]
    monitor.on_stream_opened(1.4, "h", "a")
    assert decisions(monitor, 1.4) == [], "the same process: nothing is lost"
    monitor.on_stream_ended(2.0, "h", refused=True)
    monitor.on_stream_ended(2.0, "h", refused=True)
    assert decisions(monitor, 2.0) == [HostLost("h")], "reported once"
    assert decisions(monitor, 3.0) == [Follow("h")]
    monitor.on_stream_opened(3.0, "h", "b")
    assert decisions(monitor, 3.0) == [], "the loss has been reported already"
    monitor.on_stream_opened(3.5, "h", "c")
    assert decisions(monitor, 3.5) == [HostLost("h")]
    monitor.on_activity(4.0, "h")
    assert not monitor.is_silent(4.0 + SILENCE_TIMEOUT_S, "h") and monitor.is_silent(
        4.1 + SILENCE_TIMEOUT_S, "h"
    )
    monitor.on_stream_ended(8.0, "h", refused=False)
    assert HostLost("h") not in decisions(monitor, 8.0)
    assert HostLost("h") in decisions(monitor, 4.1 + LOSS_TIMEOUT_S)
    monitor.on_host_listed(20.0, "h", True)
    assert decisions(monitor, 20.0) == [HostLost("h"), Unfollow("h")] and monitor.wake_at() == float("inf")


def line(host: str, state: str = "in_service") -> HostEntry:
    return HostEntry(host, "127.0.0.1:1", 0, 1.0, "std", "", state)


def test_host_list_updates_out_of_order_or_with_gaps_are_not_applied() -> None:
    host_list = HostList()
    assert host_list.apply_changes(HostListUpdate("e", 1, [line("a")])) is None, (
        "a change before any complete list"
    )
    assert host_list.apply_full_list(HostListUpdate("e", 5, [line("a"), line("b")]))
    assert host_list.apply_changes(HostListUpdate("e", 6, [line("b", "terminated")])) and set(
        host_list.entries
    ) == {"a"}
    assert host_list.apply_changes(HostListUpdate("e", 6, [line("b")])) == (), "a duplicate"
    assert host_list.apply_changes(HostListUpdate("e", 4, [line("c")])) == () and host_list.stale_updates == 2
    assert host_list.apply_changes(HostListUpdate("e", 8, [line("c")])) is None, "a gap"
    assert host_list.apply_full_list(HostListUpdate("e", 3, [])) is None, "an older list"
    assert host_list.apply_changes(HostListUpdate("f", 9, [line("c")])) is None, (
        "another epoch of the service"
    )
    assert (
        host_list.apply_full_list(HostListUpdate("f", 1, [line("c")])) and host_list.snapshot().version == 1
    )


def test_datagrams_are_accepted_once_with_the_right_key_and_only_while_fresh() -> None:
    key = bytes(range(32))
    a, b = PeerCodec([key], 0, 100), PeerCodec([key], 1, 100)

    def refused(data: bytes, wall: float = 1000.0) -> str:
        with pytest.raises(DatagramRejected) as why:
            b.unframe(wall, data)
        return str(why.value)

    frames = [a.frame(1000.0, 1, b"%d" % n) for n in range(80)]
    assert b.unframe(1000.0, frames[3]) == (0, b"3")
    assert b.unframe(1000.0, frames[1]) == (0, b"1"), "out of order, but new"
    assert refused(frames[3]) == refused(frames[1]) == "replayed"
    assert b.unframe(1000.0, frames[79])[1] == b"79"
    assert refused(frames[2]) == "replayed", "older than the reorder window"
    assert refused(frames[50], wall=1000.1 + MAX_CLOCK_DIFFERENCE_S) == "stale"
    assert refused(a.frame(1000.0, 2, b"x")) == "address"
    assert refused(frames[60][:-1] + bytes([frames[60][-1] ^ 1])) == "mac"
    assert refused(PeerCodec([bytes(32)], 0, 100).frame(1000.0, 1, b"")) == "mac"
    assert refused(b"short") == refused(bytes(MAX_DATAGRAM_BYTES + 1)) == "size"
    newer = PeerCodec([key], 0, 101)
    assert b.unframe(1000.0, newer.frame(1000.0, 1, b"again"))[1] == b"again"
    assert refused(a.frame(1000.0, 1, b"old life")) == "former life"
    with pytest.raises(ValueError, match="do not fit"):
        a.frame(0.0, 1, bytes(MAX_DATAGRAM_BYTES))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=200), st.integers(0, 250), st.integers(0, 255))
def test_forged_or_altered_datagrams_are_rejected(data: bytes, at: int, flip: int) -> None:
    key = bytes(range(32))
    b = PeerCodec([key], 1, 1)
    frame = bytearray(PeerCodec([key], 0, 1).frame(0.0, 1, b"words" * 20))
    if flip:
        frame[at % len(frame)] ^= flip
        with pytest.raises(DatagramRejected):
            b.unframe(0.0, bytes(frame))
    with pytest.raises(DatagramRejected):
        b.unframe(0.0, data)


# ---- records -----------------------------------------------------------------------------------------------


def test_a_record_rotates_and_each_segment_replays_from_its_own_checkpoint(tmp_path: Path) -> None:
    from ledgehitch.gateway.recorded_module import RecordedModule

    module = RecordedModule(make_gateway(), Recorder(tmp_path / "r", segment_bytes=20000, max_segments=3))
    for n in range(300):
        module.on_viewing_request(200 + n / 10, n, "plain", "t1", 0, 6, 3, 203 + n / 10)
        list(module.decisions(200 + n / 10))
        module.on_tune_in_success(200.05 + n / 10, n, "h0", 0, 0.05)
        module.on_report(200.05 + n / 10, n, "h0", 3, 0.5)
        list(module.decisions(200.05 + n / 10))
    assert module.recorder is not None
    module.recorder.close()
    kept = segment_paths(tmp_path / "r")
    assert len(kept) == 3 and not kept[0].name.endswith("000001")
    verdict = replay_record(tmp_path / "r")
    assert verdict.difference == "" and verdict.decisions > 20
    for size in range(0, 3000, 37):
        cut = tmp_path / f"cut{size}"
        cut.write_bytes(kept[0].read_bytes()[: 20 + size])
        list(read_entries(cut))


def test_an_untrusted_record_cannot_execute_code() -> None:
    import pickle

    class Evil:
        def __reduce__(self) -> Any:
            return print, ("pwned",)

    with pytest.raises(BadRecord, match="is not a class of the module"):
        load_checkpoint(pickle.dumps(Evil()))
    with pytest.raises(BadRecord):
        load_checkpoint(b"\x80\x04N.")
    again = load_checkpoint(dump_checkpoint(make_gateway()))
    again.on_host_list(200.0, "total", rows())
    assert len(again.hosts) == 6
    with pytest.raises(BadRecord, match="no flight record found"):
        replay_record(Path("/nonexistent/record"))


# ---- sites and days ----------------------------------------------------------------------------------------


def test_an_inconsistent_site_is_refused_with_the_location_of_the_error(tmp_path: Path) -> None:
    good = msgspec.to_builtins(site())
    path = tmp_path / "site.json"

    def refused(change: Any) -> str:
        raw = msgspec.json.decode(msgspec.json.encode(good))
        change(raw)
        path.write_bytes(msgspec.json.encode(raw))
        with pytest.raises(BadInput) as wrong:
            read_site(path)
        return str(wrong.value).removeprefix(f"{path}: ")

    assert refused(lambda r: r["packages"][0].update(patience=-1)).startswith(
        "packages[0].patience: Expected"
    )
    assert refused(lambda r: r["packages"][0].update(joint=1)).startswith(
        "packages[0]: Object contains unknown"
    )
    assert refused(lambda r: r["packages"][0].update(join_target=9.0)).startswith(
        "packages[0].join_target: 9 s"
    )
    assert refused(lambda r: r["packages"][0].update(floor=9)).startswith("packages[0].floor: 9 is no rung")
    assert refused(lambda r: r["ladder"].reverse()).startswith("ladder: rungs must rise")
    assert refused(lambda r: r["hosts"][1].update(name="h0")).startswith("hosts[1].name: 'h0' is named twice")
    assert refused(lambda r: r["hosts"][1].update(kind="big")).startswith(
        "hosts[1].kind: 'big' has no places"
    )
    assert refused(lambda r: r["titles"]["clip-1"].update(first=99)).startswith(
        "titles.clip-1.first: 99 is no cell"
    )
    assert refused(lambda r: r["terms"].update(extra_free=1)).startswith("terms.extra_window")
    path.write_text("{")
    with pytest.raises(BadInput, match="not JSON"):
        read_site(path)
    with pytest.raises(BadInput, match="cannot be read"):
        read_site(tmp_path / "none")
    with pytest.raises(BadInput, match="no gateway 'g9', known are g0"):
        facts_of(site(), "g9")
    check(site(), "again")


def test_an_invalid_day_is_refused_with_the_location_of_the_error(tmp_path: Path) -> None:
    day: dict[str, Any] = {"name": "d", "length": 10, "arrivals": {"rate": 1, "mix": [{"package": "p"}]}}
    path = tmp_path / "day.json"
    for fault, reason in (
        ({"kind": "flood", "at": 1}, "faults[0].kind: no fault 'flood', known are answers_lost"),
        ({"kind": "crash", "at": 1, "size": 3}, "faults[0].size: a crash has none"),
        ({"kind": "neighbour", "at": 1, "size": 3}, "faults[0].size: 3 is not from 0 to 0.95"),
        ({"kind": "crash", "at": 11}, "faults[0].at: 11 s is after the day's end, 10 s"),
        ({"kind": "crash"}, "faults[0]: Object missing required field `at`"),
    ):
        path.write_bytes(msgspec.json.encode({**day, "faults": [fault]}))
        with pytest.raises(BadInput) as wrong:
            read_day(path)
        assert reason in str(wrong.value)
    path.write_bytes(msgspec.json.encode(day))
    assert isinstance(read_day(path), Day)
