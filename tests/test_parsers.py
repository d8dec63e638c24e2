"""Parsers of bytes from outside: the time that 16 KiB of any shape may take, and what they accept."""

import contextlib
import itertools
import json
import math
import time
from collections.abc import Callable, Iterable
from typing import cast

import pytest

from ledgehitch import hostline, rtsp
from ledgehitch.facts import ConnectionSettings, InvalidSetting
from ledgehitch.http.events import MAX_EVENT_CHARACTERS, EventParser
from ledgehitch.http.message import Refused
from ledgehitch.http.parse import RequestReader, ResponseReader
from ledgehitch.loop import Loop
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.configuration import parse_configuration
from ledgehitch.platform.controller import Controller
from ledgehitch.platform.failure_detector import FailureDetector
from ledgehitch.platform.host_connection import HostConnection
from ledgehitch.platform.host_connections import HostConnections
from ledgehitch.platform.journal_client import JournalClient
from ledgehitch.signalling.sdp import BadSdp, parse_fragment, parse_sdp
from tests.test_crossings import StubHostEvents
from tests.test_platform import CONFIG

MESSAGE_BYTES = 16384  # the longest message of the platform
# The platform's time limits have a slack of 50 ms. One message must not use it up for everybody else's.
MAX_PARSE_S = 0.05
REPEATED = (
    *(b" ", b"\t", b" \t", b"a", b"9", b"-", b".", b"+", b"%", b"=", b":", b";", b",", b"\xff", b"\x00"),
    *(b"\r", b"\n", b"\r\n", b"\n\n", b"\r\n\r", b"\n ", b"a:", b"a:b;", b"a:\r\n", b"a: b\r\n", b"a=\n"),
    *(b"[", b"{", b'"', b'\\"', b"\\u0041", b"[[],", b'{"a":', b"1e9,", b"x0:", b"x0:1;", b"data:\n"),
    *(b"data: x\n\n", b"b=AS:1\n", b"m=a 1 b c\n", b"a=mid:", b"\xc3\xa9", b"\xf0\x9f\x8d\xb3"),
)
ENDS = (b"", b"\n", b"!", b"\r\n\r\n", b"\xc3\xa9\r\nContent-Length: 0\r\n\r\n", b'"}}\n', b"}}\n")


def read_all(reader: type[rtsp.Reader] | type[hostline.Reader] | type[EventParser], data: bytes) -> None:
    messages: Iterable[object] = reader().feed(data)
    for _ in messages:
        pass


def parse_text(parse: Callable[[str], object], data: bytes) -> None:
    parse(data.decode("utf-8", "replace"))


Parse = Callable[[bytes], object]
PARSERS: dict[str, tuple[Parse, tuple[bytes, ...]]] = {
    "viewers' messages": (
        lambda data: read_all(rtsp.Reader, data),
        (
            b"",
            b"SETUP rtsp://media/",
            b"SETUP rtsp://media/a RTSP/1.0\r\nCSeq: 1\r\n",
            b"SETUP rtsp://media/a RTSP/1.0\r\nX-Attrs:",
            b"RTSP/1.0 200 ",
            b"RTSP/1.0 200 OK\r\nContent-Length: ",
        ),
    ),
    "media hosts' lines": (
        lambda data: read_all(hostline.Reader, data),
        (b"", b'{"verb":', b'{"verb":"NOTICE","tag":"0000000000000001","opts":{"value":'),
    ),
    "load reports": (
        lambda data: parse_text(lambda text: hostline.parse_loads({"load": text}, ("x0", "x1")), data),
        (b"", b"x0:"),
    ),
    "HTTP requests": (lambda data: RequestReader().feed(data), (b"", b"GET /", b"GET / HTTP/1.1\r\nA: ")),
    "HTTP responses": (lambda data: ResponseReader().feed(data), (b"", b"HTTP/1.1 200 OK\r\nA: ")),
    "server-sent events": (lambda data: read_all(EventParser, data), (b"", b"data: ")),
    "session descriptions": (lambda data: parse_text(parse_sdp, data), (b"", b"v=0\n", b"v=0\no=")),
    "trickle ICE fragments": (lambda data: parse_text(parse_fragment, data), (b"", b"a=ice-ufrag:")),
    "configuration": (parse_configuration, (b"", b'{"limits":')),
}
DOCUMENTED_ERRORS = (rtsp.Malformed, hostline.Malformed, Refused, InvalidSetting, BadSdp, ValueError)


def parse_time(parse: Parse, data: bytes) -> float:
    """Returns the seconds of processor time that the parser takes."""
    began = time.process_time()
    with contextlib.suppress(*DOCUMENTED_ERRORS):
        parse(data)
    return time.process_time() - began


@pytest.mark.parametrize("name", PARSERS)
def test_no_message_of_16_kib_keeps_a_parser_busy(name: str) -> None:
    # Guards against review case 1: 16,000 blanks in a header field kept the loop busy for three seconds.
    parse, starts = PARSERS[name]
    slow = []
    for start, part, end in itertools.product(starts, REPEATED, ENDS):
        data = start + part * ((MESSAGE_BYTES - len(start) - len(end)) // len(part)) + end
        # The least of two, since a garbage collection may fall into either.
        if parse_time(parse, data) > MAX_PARSE_S and (took := parse_time(parse, data)) > MAX_PARSE_S:
            slow.append((round(took, 3), start, part, end))
    assert not slow


@pytest.mark.parametrize("value", ["9" * 400, "-" + "9" * 400])
def test_a_notice_with_a_number_beyond_any_float_is_malformed(value: str) -> None:
    # The error of `float` ended the connection's task, as if the media host had reset it.
    hosts = HostConnections(
        Loop(), ConnectionSettings(1.0, 30.0, 1), FailureDetector(0.0), 8, ByteBudget(1, 1), ()
    )
    hosts.controller = StubHostEvents(None)
    line = f'{{"verb":"NOTICE","tag":"0000000000000001","opts":{{"note":"wire","value":{value}}}}}\n'
    (message,) = hostline.Reader().feed(line.encode())
    with pytest.raises(hostline.Malformed):
        hosts._on_message(0.0, HostConnection("h", "127.0.0.1:1", 0.0), *message)


def test_an_endless_event_is_invalid() -> None:
    # Only its lines were limited: an event without an end was kept as long as the memory sufficed.
    parser = EventParser()
    lines = b"data: " + b"x" * 1000 + b"\n"
    with pytest.raises(ValueError, match="too long"):
        for _ in range(2 * MAX_EVENT_CHARACTERS // 1000):
            assert not list(parser.feed(lines))


INVALID_EVENTS = ("[]", "7", '{"pos":Infinity}', '{"pos":1e999}', '{"pos":5,"hosts":7}', '["pos"]')


@pytest.mark.parametrize("event", INVALID_EVENTS)
def test_an_invalid_event_of_the_journal_is_asked_for_again(event: str) -> None:
    # Other errors than those expected ended the journal's task, and no list was heard any more.
    client = JournalClient(Loop(), cast(Controller, None), "127.0.0.1:1", 3, 1)
    with pytest.raises(ValueError, match="an event cannot be read"):
        client._on_event("4", event)
    assert (client.pos, client.unreadable) == (3, 1)


@pytest.mark.parametrize("entry", [7, "x", [], {"pos": math.inf}, {"pos": 1, "hosts": 7}])
def test_an_invalid_known_event_is_an_invalid_setting(entry: object) -> None:
    configuration = {**CONFIG, "known": {"pos": 1, "entries": [entry]}}
    with pytest.raises(InvalidSetting):
        parse_configuration(json.dumps(configuration).encode())


@pytest.mark.parametrize(
    "line, value",
    [
        ("X-Attrs:  \t home:0 ", "home:0"),
        ("X-Attrs:", ""),
        ("X-Attrs: \t ", ""),
        ("X-Attrs:a  b", "a  b"),
        ("X-Attrs: a\tb", None),
        ("X-Attrs: a\t", None),
        ("X-Attrs: \N{LATIN SMALL LETTER E WITH ACUTE}", None),
        ("X Attrs: a", None),
    ],
)
def test_header_fields_are_read_with_blanks_around_the_value(line: str, value: str | None) -> None:
    message = f"OPTIONS rtsp://media/ping RTSP/1.0\r\n{line}\r\nContent-Length: 0\r\n\r\n".encode("latin-1")
    if value is None:
        with pytest.raises(rtsp.Malformed):
            list(rtsp.Reader().feed(message))
    else:
        assert next(rtsp.Reader().feed(message))[2]["x-attrs"] == value
