"""The platform's codecs, desk, watch, pace, life and facts: free of sockets, each check seen to fail once."""

import io
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from ledgehitch import hostline, rtsp
from ledgehitch import interface as say
from ledgehitch.brain import Gateway
from ledgehitch.facts import BadFact, facts_from, nested, reach_of
from ledgehitch.gate import SendForbidden, SendGuard
from ledgehitch.interface import UNPLACED, Package, Row
from ledgehitch.platform import lines
from ledgehitch.platform.__main__ import main as platform
from ledgehitch.platform.bounds import bounds_of
from ledgehitch.platform.desk import Answer, Desk, Release
from ledgehitch.platform.life import Life
from ledgehitch.platform.lost import Lost, Open, Watch
from ledgehitch.platform.pace import FREE, FRESH, IDLE, MOST_FAULTS, SILENT, Pace, first_to_go
from ledgehitch.platform.told import read, rows_of
from ledgehitch.simhost.wire import main as simhost

SID = "9b1f03aa5c7e2d41"

# ---- codecs ------------------------------------------------------------------------------------------------

GOOD = [
    rtsp.request("SETUP", "rtsp://media/7f3a", "1", SID, [("X-Tier", "paid")], b"9d41\r\n\r\nc=IN\r\n"),
    rtsp.request("OPTIONS", "rtsp://media/ping", "3", SID),
    rtsp.answer(200, "2", SID),
    rtsp.request("TEARDOWN", "rtsp://media/x", "2", SID, [("Reason", "cause=16")]),
]


def fed(reader: Any, parts: list[bytes]) -> tuple[list[Any], str]:
    """The messages, and why it broke."""
    out: list[Any] = []
    try:
        for part in parts:
            for message in reader.feed(part):
                out.append(message)  # one by one: those before a fault count
    except (rtsp.Malformed, hostline.Malformed) as why:
        return out, str(why)
    return out, ""


def cut(data: bytes, at: list[int]) -> list[bytes]:
    edges = sorted({0, len(data), *(i % (len(data) + 1) for i in at)})
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False)]


@seed(3)
@settings(max_examples=150, deadline=None)
@given(st.lists(st.sampled_from(GOOD), max_size=5), st.lists(st.integers(0, 9999), max_size=12))
def test_rtsp_reads_the_same_messages_from_any_cut(messages: list[bytes], at: list[int]) -> None:
    whole = fed(rtsp.Reader(), [b"".join(messages)])
    assert whole == fed(rtsp.Reader(), cut(b"".join(messages), at)) and len(whole[0]) == len(messages)


LINES = [
    hostline.written("STARTED", SID, {"load": "x0:0.4;active:12"}, None, "a\r\nb\u00e9"),
    hostline.written("FINISH", SID, {}, 34),
    hostline.written("NOTICE", SID, {"note": "wire", "value": 0.5}),
]


@seed(4)
@settings(max_examples=150, deadline=None)
@given(st.lists(st.sampled_from(LINES), max_size=5), st.lists(st.integers(0, 9999), max_size=12))
def test_lines_read_the_same_from_any_cut(sent: list[bytes], at: list[int]) -> None:
    whole = fed(hostline.Reader(), [b"".join(sent)])
    assert whole == fed(hostline.Reader(), cut(b"".join(sent), at)) and len(whole[0]) == len(sent)


@seed(5)
@settings(max_examples=300, deadline=None)
@given(st.lists(st.one_of(st.binary(max_size=300), st.sampled_from([*GOOD, *LINES])), max_size=30))
def test_no_input_raises_more_than_the_codecs_error_or_is_kept_beyond_the_limit(parts: list[bytes]) -> None:
    for reader in (rtsp.Reader(), hostline.Reader()):
        fed(reader, parts)
        assert len(reader._rest) <= rtsp.MOST


@pytest.mark.parametrize(
    "data, status",
    [
        (b"BLAH\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/2.0\r\nContent-Length: 0\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nCSeq: 1\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: -1\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: 60000000\r\n\r\n", 413),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: 99999999999999\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n", 400),
        (b"SETUP rtsp://media/a RTSP/1.0\r\nno colon\r\nContent-Length: 0\r\n\r\n", 400),
        (b"A" * rtsp.MOST, 413),
    ],
)
def test_what_is_no_message_is_refused_at_once(data: bytes, status: int) -> None:
    reader = rtsp.Reader()
    before = list(reader.feed(GOOD[1]))
    with pytest.raises(rtsp.Malformed) as why:
        list(reader.feed(data))
    assert why.value.status == status and len(before) == 1
    assert list(reader.feed(GOOD[0])) == [] and not reader._rest


@pytest.mark.parametrize(
    "line",
    [
        b"noise\n",
        b"[]\n",
        b'{"verb":"START"}\n',
        b'{"verb":"WHAT","tag":"%s"}\n' % SID.encode(),
        b'{"verb":"FINISH","tag":"%s","rc":"34"}\n' % SID.encode(),
        b'{"verb":"FINISH","tag":"1"}\n',
        b'{"verb":"NOTICE","tag":"%s","opts":{"a":[]}}\n' % SID.encode(),
        b"\xff\xfe\n",
        b"[" * 9000 + b"\n",
        b"x" * hostline.MOST,
    ],
)
def test_what_is_no_line_is_told_at_once(line: bytes) -> None:
    with pytest.raises(hostline.Malformed):
        list(hostline.Reader().feed(line))


def test_a_report_is_read_in_the_order_of_the_settings() -> None:
    fields: hostline.codec.Fields = {"load": "x0:0.4;active:12;odd:nan"}
    assert hostline.loads_of(fields, ("active", "x0")) == [12.0, 0.4]
    assert hostline.loads_of(fields, ("odd", "x1")) == [-1.0, -1.0]
    assert hostline.loads_of({}, ("active",)) == []


# ---- who is owed what --------------------------------------------------------------------------------------


def owed(desk: Desk) -> list[Any]:
    out = []
    while (decision := desk.decide()) is not None:
        out.append(decision)
    return out


def test_each_set_up_gets_one_answer_and_an_open_id_is_not_taken_twice() -> None:
    desk = Desk()
    viewing_id = desk.asked(1, SID, "1")
    assert viewing_id is not None and desk.asked(2, SID, "1") is None
    assert desk.plays(viewing_id, "d") and not desk.plays(viewing_id, "d")
    desk.blocked(viewing_id)
    desk.aborted(viewing_id)
    assert owed(desk) == [Answer(1, SID, "1", "plays", "d")]
    desk.over(viewing_id, 16)
    desk.over(viewing_id, 16)
    assert owed(desk) == [Release(1, SID, 16)]
    assert not (desk.by_viewing_id or desk.by_sid or desk.by_conn or desk.waiting)


def test_a_connection_that_is_gone_gives_up_what_waits_and_leaves_what_plays() -> None:
    desk = Desk()
    plays, waits = desk.asked(1, SID, "1"), desk.asked(1, "0" * 16, "1")
    assert plays is not None and waits is not None
    desk.plays(plays, "d")
    owed(desk)
    assert desk.hung_up(1) == [waits] and desk.hung_up(1) == []
    desk.over(plays, 41)
    assert owed(desk) == []  # no connection is there to tell it on
    desk.asked(2, "1" * 16, "1")
    assert owed(desk) == [Release(2, SID, 41)]


def test_a_release_goes_where_set_ups_come_from_when_its_own_connection_is_gone() -> None:
    desk = Desk()
    viewing_id = desk.asked(1, SID, "1")
    assert viewing_id is not None
    desk.plays(viewing_id, "d")
    desk.asked(2, "2" * 16, "1")
    desk.hung_up(1)
    owed(desk)
    desk.over(viewing_id, 16)
    assert owed(desk) == [Release(2, SID, 16)]


def test_a_release_goes_to_where_its_viewer_comes_from_else_to_who_carries_most() -> None:
    desk = Desk()
    for conn, peer in ((1, "10.0.0.1"), (2, "10.0.0.2"), (3, "10.0.0.1"), (4, "10.0.0.9")):
        desk.opened(conn, peer)
    viewing_ids = [desk.asked(1, "a" * 15 + str(n), "1") for n in range(3)]
    for n, conn in enumerate((2, 2, 3, 4)):
        desk.asked(conn, "b" * 15 + str(n), "1")
    for viewing_id in viewing_ids:
        assert viewing_id is not None
        desk.plays(viewing_id, "d")
    desk.hung_up(1)
    owed(desk)
    for viewing_id, conn in zip(viewing_ids, (3, 2, 4), strict=True):
        assert viewing_id is not None
        desk.over(viewing_id, 16)
        assert [d.conn for d in owed(desk)] == [conn]
        desk.hung_up(conn)
    assert set(desk.peers) == set()


def test_a_release_whose_connection_turned_out_to_be_gone_goes_out_on_another_or_waits() -> None:
    desk = Desk()
    viewing_id = desk.asked(1, SID, "1")
    assert viewing_id is not None
    desk.plays(viewing_id, "d")
    desk.asked(2, "2" * 16, "1")
    owed(desk)
    desk.over(viewing_id, 16)
    (release,) = owed(desk)
    assert release == Release(1, SID, 16)
    desk.undelivered(release)
    (again,) = owed(desk)
    assert again == Release(2, SID, 16)
    desk.undelivered(again)
    assert owed(desk) == []
    desk.asked(3, "3" * 16, "1")
    assert owed(desk) == [Release(3, SID, 16)]


def test_what_its_viewer_ended_is_owed_no_release() -> None:
    desk = Desk()
    viewing_id = desk.asked(1, SID, "1")
    assert viewing_id is not None
    desk.plays(viewing_id, "d")
    owed(desk)
    assert desk.torn(SID) == (viewing_id, True) and desk.torn(SID) is None
    desk.over(viewing_id, 16)
    assert owed(desk) == []


# ---- what is lost ------------------------------------------------------------------------------------------


def watching(told_every: float = 3.0) -> Watch:
    watch = Watch(told_every)
    watch.listed(0.0, "h", False, 0.0)
    watch.opening("h")
    watch.opened(0.0, "h")
    watch.stands(0.0, "h")
    return watch


def test_a_reset_proves_nothing_and_a_refused_connection_does() -> None:
    watch = watching()
    watch.broke("h")
    assert watch.decide(1.0) == Open("h")
    watch.opening("h")
    assert watch.decide(1.0) is None
    watch.failed(1.1, "h", False)
    assert watch.decide(1.12) is None  # time ran out, and it was heard a moment ago
    assert watch.decide(1.3) == Open("h")
    watch.opening("h")
    watch.failed(1.3, "h", True)
    assert watch.decide(1.3) == Lost("h", 1.3)


def test_a_host_that_vanished_is_lost_well_within_eight_seconds() -> None:
    watch, now = watching(), 0.0
    while (decision := watch.decide(now)) != Lost("h", now):
        if decision == Open("h"):
            watch.opening("h")
            now += 0.25
            watch.failed(now, "h", False)
        now = round(max(now + 0.001, min(watch.wake_at(), now + 1)), 3) if decision is None else now
        assert now < 6.5
    assert now > 3.0


def test_a_host_that_is_silent_but_takes_connections_is_kept() -> None:
    watch = watching()
    for now in (4.0, 8.0, 12.0):
        assert watch.decide(now) == Open("h")
        watch.opening("h")
        watch.opened(now, "h")
        assert watch.decide(now) is None


def test_the_list_tells_of_ends_and_new_starts_and_nothing_stays_of_a_host_that_is_over() -> None:
    watch = watching()
    watch.listed(2.0, "h", False, 1.5)
    assert watch.decide(2.0) == Lost("h", 1.5)  # what was set up after its new start stands
    watch.listed(3.0, "h", True, 1.5)
    assert watch.decide(3.0) == Lost("h", 3.0)
    watch.over("h")
    watch.broke("h")
    assert not watch.hosts
    watch.stands(3.1, "h")
    watch.over("h")
    assert not watch.hosts


def test_a_host_that_came_back_gets_a_connection_though_one_of_its_former_life_ends_late() -> None:
    """Once the count of those on their way fell below none, and no connection was opened for good."""
    for ends in ("failed", "opened and broke"):
        watch = Watch(3.0)
        watch.listed(0.0, "h", False, 0.0)
        watch.opening("h")
        watch.listed(1.0, "h", True, 0.0)
        watch.listed(1.1, "h", False, 1.1)
        if ends == "failed":
            watch.failed(1.2, "h", False)
        else:
            watch.opened(1.2, "h")
            watch.broke("h")
        watch.stands(2.0, "h")
        assert watch.decide(3.0) == Open("h"), ends


def test_the_gate_forgets_hosts_that_nothing_may_be_sent_to_any_more() -> None:
    gate = SendGuard(1.0)
    for n in range(50):
        gate.on_host_state(n, f"h{n}", True)
        gate.on_host_state(n + 0.5, f"h{n}", False)
    assert list(gate.hosts) == ["h48", "h49"]
    gate.on_viewing_request(1, Package("p", 0.8, 3.0), 60.0)
    gate.check_send(50.4, 1, "h49", 1.0)  # within the grace
    gate.on_viewing_request(2, Package("p", 0.8, 3.0), 60.0)
    for host in ("h49", "h7"):
        with pytest.raises(SendForbidden):
            gate.check_send(50.6, 2, host, 1.0)


class Way:
    """A connection to a media host, as `lines` sees one."""

    def __init__(
        self, used_at: float, out: int = 0, up: bool = True, doubted: bool = False, past: str = ""
    ) -> None:
        self.open: dict[str, None] = {str(n): None for n in range(out)}
        self.past: dict[str, None] = {past: None} if past else {}
        self.used_at, self.up, self.doubted = used_at, up, doubted


def test_set_ups_go_to_a_connection_that_is_up_and_undoubted_with_the_fewest() -> None:
    opening, busy, free, doubted = Way(0, up=False), Way(0, 2), Way(0, 1), Way(0, doubted=True)
    assert lines.fittest([opening, busy, free, doubted], 32, 1.0, 30.0) is free
    assert lines.fittest([opening, busy, free, doubted], 2, 1.0, 30.0) is free
    assert lines.fittest([opening, busy, free, doubted], 1, 1.0, 30.0) is opening
    assert lines.fittest([doubted, busy], 2, 1.0, 30.0) is None


def test_no_set_up_goes_where_the_other_side_may_close_or_a_copy_of_its_last_outcome_may_come() -> None:
    for idle in (0.2, 1.0, 2.0, 30.0):
        kept = lines.kept_for(idle)
        assert kept <= idle * 0.9 and kept <= max(idle - 0.25, idle / 2)
        unused, used = Way(10.0), Way(10.0, 1)
        assert lines.fittest([unused], 32, 10.0 + kept - 0.01, idle) is unused
        assert lines.fittest([unused], 32, 10.01 + kept, idle) is None
        assert lines.fittest([unused, used], 32, 10.01 + kept, idle) is used
        assert lines.over(10.01 + kept, [unused, used], 0, idle) == [unused]
    had, other = Way(0.0, past="a"), Way(0.0, 1)
    assert lines.fittest([had, other], 32, 0.0, 30.0, "a") is other
    assert lines.fittest([had, other], 32, 0.0, 30.0, "b") is had


def test_connections_are_let_go_when_doubted_or_idle_and_never_the_last_one_needed() -> None:
    old, older, busy, opening = Way(5.0), Way(0.0), Way(0.0, 1), Way(0.0, up=False)
    assert lines.first_to_go([old, older, busy, opening]) is older
    assert lines.first_to_go([busy, opening]) is None
    assert lines.over(100.0, [old, older, busy, opening], 0, 30.0) == [old, older]
    assert lines.over(100.0, [old, older], 1, 30.0) == [old] and lines.over(20.0, [old, older], 1, 30.0) == []
    doubted = Way(99.5, doubted=True)
    assert lines.over(100.0, [doubted], 1, 30.0) == [] and lines.over(101.0, [doubted], 1, 30.0) == [doubted]


# ---- pace and life -----------------------------------------------------------------------------------------


def test_faults_slow_a_connection_down_and_silence_ends_it_within_three_seconds() -> None:
    pace = Pace(10.0)
    assert not pace.overdue(10.0 + SILENT) and pace.overdue(10.1 + SILENT) and SILENT < 2.5
    pace.read(10.5, True, False)
    assert not pace.overdue(99.0)
    pace.read(20.0, False, True)
    pace.read(21.0, False, True)  # half a message does not become younger by another byte
    assert pace.overdue(20.1 + SILENT)
    pace.read(22.0, True, False)
    pauses = []
    for _ in range(MOST_FAULTS):
        pace.fault(22.0)
        pauses.append(pace.pause(22.0, False))
    assert pauses[FREE - 1] == 0.0 < pauses[FREE] <= pauses[-1] <= 1.0 and not pace.overdue(23.0)
    pace.fault(22.0)
    assert pace.overdue(23.0)


def test_faults_are_forgiven_in_time_and_a_connection_on_which_somebody_waits_is_read_on() -> None:
    pace = Pace(0.0)
    for _ in range(12):
        pace.fault(1.0)
    assert pace.pause(1.0, False) == 1.0 and pace.pause(1.0, True) <= 0.025
    assert pace.pause(60.0, False) == 0.0
    pace.fault(60.0)
    assert pace.faults == 1.0 and pace.pause(60.0, False) == 0.0


def test_room_is_made_by_who_needs_a_connection_least() -> None:
    now = 9.0 + FRESH + 0.1
    mute, idle = (1, False, 0, False, 9.0), (2, True, 0, False, 8.0)
    plays, waits = (3, True, 2, False, 1.0), (4, True, 1, True, 0.0)
    new, newer = (5, False, 0, False, now - FRESH), (6, False, 0, False, now)
    assert first_to_go(now, [waits, plays, newer, new, idle, mute]) == 1
    assert first_to_go(now, [waits, plays, newer, new, idle]) == 2, "one may be on its way to the new"
    assert first_to_go(now, [waits, plays, newer, new]) == 5
    assert first_to_go(now, [waits, plays]) == 3
    assert first_to_go(now, [waits]) is None and IDLE > 4.0 and FRESH < SILENT


def test_a_gateway_that_ends_answers_what_may_still_come_and_goes_before_it_is_killed() -> None:
    life = Life(3.0)
    assert not life.passes and life.takes
    life.serves()
    assert life.passes and not life.exits(5.0, 0, 0, 0)
    life.term(10.0)
    assert not life.passes and not life.takes
    assert not life.exits(10.6, 0, 0, 0) and life.exits(10.8, 0, 0, 0)
    assert not life.exits(11.0, 1, 0, 0) and not life.exits(11.0, 0, 1, 0) and not life.exits(11.0, 0, 0, 1)
    assert life.exits(13.5, 1, 9, 1)


@pytest.mark.parametrize("longest", [0.1, 0.5, 1.0, 3.0, 8.0, 60.0])
def test_a_gateway_goes_after_the_last_set_up_and_before_the_kill(longest: float) -> None:
    """Deadlines over 3 s count as 3 s before the kill: one of 60 s once meant staying until it came."""
    life = Life(longest)
    life.term(0.0)
    kill = min(3.0, longest) + 0.7
    gone = next(t / 100 for t in range(1000) if life.exits(t / 100, 1, 1, 1))
    calls = next(t / 100 for t in range(1000) if life.last_call(t / 100))
    assert 0.7 <= gone <= kill - 0.08 and calls < gone
    assert calls >= min(longest, 3.0), "what could still be answered in time was not cut short"


# ---- facts -------------------------------------------------------------------------------------------------

SETTINGS: dict[str, Any] = {
    "categories": [{"name": "clip", "onTime": 800.0, "deadline": 3000, "worth": 1.5, "effect": "repeatable"}],
    "familyInfo": {
        "places": 6,
        "racks": 2,
        "linkUnitKb": 1000.0,
        "uplinkKb": 4500,
        "kindSlots": [30],
        "levelKb": [100, 200.0, 400],
        "rungWorth": [0.2, 0.5, 1],
        "fullFrom": 1,
        "toldLate": 900.5,
        "toldEvery": 3000,
        "floorByClass": [0],
        "classTop": [2],
        "classScale": [1.0],
        "seats": [0],
        "live": [False],
    },
    "kinds": ["k"],
    "locality": "a",
    "ordinal": 1,
    "peersTotal": 3,
    "discovery": "pushed",
    "ceilings": {
        "tryLimit": 3,
        "probes": True,
        "peerMessages": False,
        "retryAfter": False,
        "connectTimeout": 250.0,
        "connIdle": 30000,
        "streamsPerConn": 32,
    },
    "rules": {
        "answerSlack": 40,
        "stopSendingWithin": 1000,
        "coldShare": 0.4,
        "warmUp": 12000,
        "tipAfter": 2000,
        "fallMultiple": 3,
    },
    "telemetry": {"how": "piggyback", "fields": ["active", "x0"]},
    "prices": {"crossZone": 0.012},
}


def pairs(thing: Any, path: str = "") -> list[str]:
    """The same settings as the simulator's wire writes them."""
    if isinstance(thing, dict):
        return [p for k, v in thing.items() for p in pairs(v, f"{path}.{k}" if path else k)]
    if isinstance(thing, list) and thing and isinstance(thing[0], dict):
        inner = [p for i, item in enumerate(thing) for p in pairs(item, f"{path}.{i}")]
        return [f"{path}.count={len(thing)}", *inner]
    if isinstance(thing, list):
        return [f"{path}={','.join(plain(part) for part in thing)}"]
    return [f"{path}={plain(thing)}"]


def plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def test_both_doors_derive_the_same_facts_and_decisions() -> None:
    flat = pairs(SETTINGS)
    folded = nested([p.partition("=")[::2] for p in flat])
    assert facts_from(folded) == facts_from(SETTINGS)
    rows = [Row(f"h{i}", i, 2.0, "k", "a", "in_service", 0.0) for i in range(6)]
    told = [f"row\t{r.cell}\t2\tk\t{r.host}\ta\tin_service\t-" for r in rows]
    wire = [
        "batch\t100000\t1",
        "at\t0",
        "create\t7\t" + "\t".join(flat),
        "snapshot_rows\t0\t6",
        *told,
        "view\twarm_copy\t1\t0",
        "query\t1\t103000\tk\t0\t6\t-\tt1\t0\t2\t-\tclip",
        "end",
        "",
    ]
    out = io.BytesIO()
    assert simhost(io.BytesIO("\n".join(wire).encode()), out, io.StringIO()) == 0
    gw = Gateway(7, 100.0, *facts_from(json.loads(json.dumps(SETTINGS))))
    gw.on_host_list(100.0, "warm_copy", rows)
    gw.on_viewing_request(100.0, 1, "clip", "t1", 0, 6, 2, 103.0)
    lines = [line for line in out.getvalue().decode().splitlines() if not line.startswith(("notify", "ack"))]
    decisions = []
    while (decision := gw.decide(100.0)) is not None:
        decisions.append(decision)
    assert [f"{d.viewing_id}\t{d.host}" for d in decisions if isinstance(d, say.TuneIn)] == [
        line.removeprefix("forward\t").rpartition("\t")[0] for line in lines if line.startswith("forward")
    ]
    assert len(decisions) == len(lines) - 1 > 0
    assert reach_of(SETTINGS).streams == 32 and reach_of(SETTINGS).connect_within == 0.25


CONFIG: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:5060",
    "seed": "8c1f30d27a5be964",
    "limits": {"memory_mb": 32, "sockets": 256},
    "peers": [],
    "journal": "127.0.0.1:8500",
    "settings": SETTINGS,
    "known": {
        "pos": 1,
        "entries": [
            {
                "pos": 1,
                "hosts": {
                    "complete": True,
                    "members": [
                        {
                            "id": "s-1",
                            "host_port": "127.0.0.1:9",
                            "cell": 2,
                            "phase": "ready",
                            "size": 4,
                            "up_since_ms": 5000,
                        }
                    ],
                },
            }
        ],
    },
}


@pytest.mark.parametrize(
    "key, value",
    [
        ("listen", 5),
        ("listen", "nowhere"),
        ("journal", None),
        ("seed", "xyz"),
        ("limits", []),
        ("settings", 1),
        ("known", {"entries": [{"pos": "a"}]}),
        ("peers", [7]),
        ("limits", {"memory_mb": -1}),
        ("limits", {"memory_mb": float("nan")}),
        ("limits", {"memory_mb": 10**400}),
        ("limits", {"sockets": 0}),
    ],
)
def test_a_configuration_that_is_wrong_names_its_key(key: str, value: Any) -> None:
    assert read(json.dumps(CONFIG).encode()).sockets == 256
    with pytest.raises(BadFact) as why:
        read(json.dumps({**CONFIG, key: value}).encode())
    assert key.partition(".")[0] in str(why.value) or "address" in str(why.value)


def test_a_setting_that_is_wrong_names_its_key() -> None:
    with pytest.raises(BadFact, match="rules.warmUp"):
        facts_from({**SETTINGS, "rules": {"warmUp": "soon"}})
    with pytest.raises(BadFact, match="categories"):
        facts_from({**SETTINGS, "categories": "x"})


def changed(path: str, value: Any) -> dict[str, Any]:
    """The settings with one of them changed, or taken out where the value is `...`."""
    out = json.loads(json.dumps(SETTINGS))
    *way, last = path.split(".")
    at = out
    for part in way:
        at = at[int(part)] if isinstance(at, list) else at[part]
    at.pop(last) if value is ... else at.update({last: value})
    return dict(out)


WRONG: list[tuple[str, Any, str]] = [
    ("rules.warmUp", -1, ""),
    ("rules.tipAfter", "nan", ""),
    ("prices.crossZone", float("inf"), ""),
    ("familyInfo.linkUnitKb", 10**400, ""),
    ("rules.coldShare", ..., ""),
    ("rules.coldShare", 1.5, ""),
    ("rules.fallMultiple", ..., ""),
    ("rules.tipAfter", ..., ""),
    ("peersTotal", ..., ""),
    ("ordinal", 3, ""),
    ("familyInfo.kindSlots", ..., ""),
    ("familyInfo.kindSlots", [30, 20], ""),
    ("discovery", "guessed", ""),
    ("categories", ..., ""),
    ("categories", [], ""),
    ("categories.0.name", ..., ""),
    ("categories.0.deadline", ..., ""),
    ("categories.0.onTime", 0, ""),
    ("categories.0.effect", ..., ""),
    ("categories.0.effect", "maybe", ""),
    ("categories.0.effect", "by_key", "categories.0.keyScope"),
    ("familyInfo.levelKb", ..., ""),
    ("familyInfo.levelKb", [100, 400, 200], ""),
    ("familyInfo.rungWorth", [0.2, 1], ""),
    ("familyInfo.floorByClass", [3], ""),
    ("familyInfo.classTop", [0], "familyInfo.floorByClass"),
    ("familyInfo.floorByClass", [0, 0], ""),
    ("familyInfo.seats", [-1], ""),
    ("familyInfo.classScale", [0], ""),
    ("rules.extraFree", 3, "rules.extraWindow"),
    ("rules.resendRatio", 0.1, "rules.extraWindow"),
]


@pytest.mark.parametrize("path, value, named", WRONG)
def test_a_setting_without_safe_default_out_of_range_or_contradictory_is_named_at_both_doors(
    path: str,
    value: Any,
    named: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    floored = changed("familyInfo.floorByClass", [1]) if path == "familyInfo.classTop" else SETTINGS
    monkeypatch.setattr("tests.test_platform.SETTINGS", floored)
    conf = changed(path, value)
    with pytest.raises(BadFact, match=f"^{named or path}: "):
        facts_from(conf)
    line = "create\t7\t" + "\t".join(pairs(conf))
    out, err = io.BytesIO(), io.StringIO()
    assert simhost(io.BytesIO(f"batch\t1000\t1\nat\t0\n{line}\nend\n".encode()), out, err) == 2
    assert f"{named or path}: " in err.getvalue() and err.getvalue().count("\n") == 1
    file = tmp_path / "config.json"
    file.write_text(json.dumps({**CONFIG, "settings": conf}))
    monkeypatch.setenv("ROUTER_CONFIG", str(file))
    assert platform() == 2
    told = capsys.readouterr().err
    assert f"{named or path}: " in told and told.count("\n") == 1


def test_settings_that_nothing_reads_are_ignored_and_a_site_without_warm_up_needs_no_figures_for_it() -> None:
    odd = {**SETTINGS, "novel": {"kind": [-1, "x"]}, "rules": {**SETTINGS["rules"], "novel": "nan"}}
    assert facts_from(odd) == facts_from(SETTINGS)
    bare = {key: value for key, value in SETTINGS.items() if key not in ("peersTotal", "ordinal")}
    assert facts_from({**bare, "rules": {"warmUp": 0}})[3].gateways == 1


def test_a_row_without_a_readable_cell_keeps_no_other_from_being_heard() -> None:
    """Once no cell was the first one, and one that could not be read dropped all rows beside it."""
    plain = {"host_port": "127.0.0.1:9", "phase": "ready", "size": 4}
    members = [{**plain, "id": "a"}, {**plain, "id": "b", "cell": "?"}, {**plain, "id": "c", "cell": 2}]
    news = rows_of({"hosts": {"members": members}}, 0.0)
    assert news is not None
    assert [(row.host, row.cell) for row, _ in news[1]] == [("a", UNPLACED), ("b", UNPLACED), ("c", 2)]


def test_rows_carry_the_gateways_clock_and_bounds_fit_the_limits() -> None:
    told = read(json.dumps(CONFIG).encode())
    news = rows_of(told.known[0][1], 2.0)
    assert news is not None and news[0] == "total"
    assert news[1] == [(Row("s-1", 2, 4.0, "", "", "in_service", 3.0), "127.0.0.1:9")]
    bounds = bounds_of(told.memory_mb, told.sockets)
    assert bounds.viewer_conns > 256 // 3 and bounds.viewer_conns + bounds.host_lines <= 256 - 24
    assert bounds.waiting * 16384 <= 32 << 17
    for sockets in (24, 32, 48, 64, 96, 128, 256, 1024):
        small = bounds_of(32.0, sockets)
        # Guards against idle viewers that leave none for the list, signals, peers, logs, one being accepted.
        assert small.viewer_conns + small.host_lines <= sockets - 12, sockets
        assert small.viewer_conns >= sockets // 3 or sockets < 64
        assert small.viewer_conns >= 4 and small.host_lines >= 2, sockets
    with pytest.raises(ValueError):
        rows_of({"hosts": {"members": [{"id": "x"}]}}, 0.0)
    assert rows_of({"pos": 2}, 0.0) is None
