"""HTTP on the event loop: limits, keep-alive, streams and misbehaving clients."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.http import Client, ConnectFailed, Interrupted, Limits, Refused, Request, Response, Server
from ledgehitch.http.events import EventParser, encode_event
from ledgehitch.http.parse import RequestReader, ResponseReader
from ledgehitch.loop import Loop, TimedOut, connect, endpoint

GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"


def served(handler, call, limits: Limits | None = None, fails: bool = False) -> None:  # type: ignore[no-untyped-def]
    """Runs `call(loop, client, address, server)` with a running server."""
    reports: list[tuple[str, BaseException]] = []
    loop = Loop(lambda name, error: reports.append((name, error)))

    def main() -> None:
        server = Server(loop, endpoint("127.0.0.1:0"), handler, limits)
        client = Client(loop)
        call(loop, client, str(server.at), server)
        client.close()

    loop.run(main)
    assert bool(reports) == fails, reports


def hello(request: Request) -> Response:
    return Response(200, [("Content-Type", "text/plain")], b"hello " + request.body)


def raw(loop: Loop, at: str, data: bytes) -> bytes:
    stream = connect(loop, endpoint(at))
    stream.send(data)
    received = b""
    try:
        with loop.deadline(2.0):
            while more := stream.receive():
                received += more
    except TimedOut:
        pass
    stream.close()
    return received


def test_connections_are_pooled_and_closed_when_idle() -> None:
    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        for n in range(5):
            assert client.request(at, "POST", "/", body=b"%d" % n).body == b"hello %d" % n
        assert (client.opened, client.reused, client.idle()) == (1, 4, 1)
        loop.now += 60
        client.sweep()
        assert client.idle() == 0
        client.request(at, "GET", "/")
        for stream in list(server.open):
            stream.close()
        loop.sleep(0.01)
        assert client.request(at, "GET", "/").status == 200, "a closed connection is not reused"
        assert client.opened == 3

    served(hello, call)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 20000 + b"\r\n\r\n", 431),
        (b"GET / HTTP/1.1\r\n" + b"".join(b"X%d: y\r\n" % n for n in range(200)) + b"\r\n", 431),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n" + b"z" * 70000, 413),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", 501),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", 408),
    ],
)
def test_invalid_or_oversized_requests_are_rejected_with_a_reason(data: bytes, status: int) -> None:
    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        received = raw(loop, at, data)
        assert received.startswith(b"HTTP/1.1 %d " % status), received[:200]
        document = json.loads(received.partition(b"\r\n\r\n")[2])
        assert document["status"] == status and document["detail"]
        assert client.request(at, "GET", "/").status == 200

    served(hello, call, Limits(request_timeout_s=0.2))


def test_connections_over_the_limit_get_an_immediate_503() -> None:
    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        held = [connect(loop, endpoint(at)) for _ in range(2)]
        loop.sleep(0.02)
        assert raw(loop, at, b"").startswith(b"HTTP/1.1 503")
        assert server.rejected_connections == 1
        for stream in held:
            stream.close()
        loop.sleep(0.02)
        assert client.request(at, "GET", "/").status == 200

    served(hello, call, Limits(max_connections=2))


def test_a_client_that_does_not_receive_its_response_is_disconnected() -> None:
    def big(request: Request) -> Response:
        return Response(200, body=b"x" * (32 << 20))

    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        stream = connect(loop, endpoint(at))
        stream.send(GET)
        with loop.deadline(4.0):  # less than the default of `send_timeout_s`, which must not apply
            while not server.timeouts:
                loop.sleep(0.01)
        assert server.timeouts == 1 and not server.open

    served(big, call, Limits(send_timeout_s=0.2))


def test_interrupted_requests_are_distinguished_from_unsent_ones() -> None:
    def act(request: Request) -> Response:
        if request.path == "/reset":
            request.reset()
        raise Refused(418, "no") if request.path == "/no" else RuntimeError("a fault")

    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        with pytest.raises(Interrupted):
            client.request(at, "GET", "/reset")
        assert client.request(at, "GET", "/no").status == 418
        assert client.request(at, "GET", "/fault").status == 500
        with pytest.raises(ConnectFailed):
            client.request("127.0.0.1:1", "GET", "/")
        with pytest.raises(TimedOut), loop.deadline(0.05):
            client.request(at, "GET", "/fault-less")
            loop.sleep(1)

    served(act, call, fails=True)


def test_a_handler_is_notified_of_a_disconnect_but_not_of_a_next_request() -> None:
    seen: list[str] = []

    def wait(request: Request) -> Response:
        request.on_disconnect(lambda: seen.append(request.path))
        loops[0].sleep(0.1)
        return Response(204)

    loops: list[Loop] = []

    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        loops.append(loop)
        stream = connect(loop, endpoint(at))
        stream.send(GET)
        loop.sleep(0.02)
        stream.send(GET.replace(b"/x", b"/y"))
        received = b""
        while received.count(b"204") < 2:
            received += stream.receive()
        assert seen == []
        stream.send(GET.replace(b"/x", b"/z"))
        loop.sleep(0.02)
        stream.close()
        loop.sleep(0.02)
        assert seen == ["/z"]
        loop.sleep(0.15)

    served(wait, call)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, 40), max_size=30), st.integers(1, 4))
def test_request_parsing_does_not_depend_on_the_chunks(cuts: list[int], n: int) -> None:
    data = b"".join(
        b"POST /%d HTTP/1.1\r\nHost: a\r\nA: 1\r\nA: 2\r\nContent-Length: %d\r\n\r\n" % (i, i) + b"b" * i
        for i in range(n)
    )
    reader, found, at = RequestReader(), list[Request](), 0
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[at : at + cut])
        at += cut
    assert [(r.path, r.body, r.headers["a"]) for r in found] == [
        (f"/{i}", b"b" * i, "1, 2") for i in range(n)
    ]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.integers(1, 30), max_size=20), st.lists(st.text("ab:\n ", max_size=8), min_size=1, max_size=4)
)
def test_event_parsing_does_not_depend_on_the_chunks(cuts: list[int], texts: list[str]) -> None:
    data = b": here\n\n" + b"".join(encode_event(text, "note", str(i)) for i, text in enumerate(texts))
    reader, found, at = EventParser(), list[tuple[str, str, str]](), 0
    for cut in [*cuts, len(data)]:
        found += reader.feed(data[at : at + cut])
        at += cut
    assert found == [("note", str(i), text) for i, text in enumerate(texts)]


def test_a_first_response_is_unaffected_by_what_follows() -> None:
    one = Response(201, [], b"first").encode(keep_alive=True)
    reader = ResponseReader()
    received = reader.feed(
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + one + Response(500, [], b"second").encode(True)
    )
    assert received is not None and (received.status, received.body) == (201, b"first") and reader.extra
    broken = ResponseReader()
    received = broken.feed(one + b"garbage")
    assert received is not None and received.body == b"first" and broken.extra
    with pytest.raises(ValueError, match="not an HTTP response"):
        ResponseReader().feed(b"garbage")


def test_a_disconnected_event_reader_ends_its_stream() -> None:
    ended: list[str] = []

    def stream(send) -> None:  # type: ignore[no-untyped-def]
        try:
            send(encode_event("one"))
            loops[0].sleep(60)
        finally:
            ended.append("ended")

    loops: list[Loop] = []

    def call(loop: Loop, client: Client, at: str, server: Server) -> None:
        loops.append(loop)
        with client.stream(at, "/") as (response, parts):
            assert response.status == 200 and next(parts) == b"data: one\n\n"
        loop.sleep(0.05)
        assert ended == ["ended"] and not server.open

    served(lambda request: Response(200, stream=stream), call)
