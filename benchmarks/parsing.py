"""Parsing alone: `h11` against `httptools`, the same WHEP requests and answers, in one run."""

import time
from collections.abc import Callable

import h11

from ledgehitch.http.message import Response
from ledgehitch.http.parse import RequestReader, ResponseReader
from ledgehitch.standins.viewers import offer_of

BODY = offer_of(1)
REQUEST = (
    b"POST /whep/recorded/clip-1?top=3 HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nContent-Type: application/sdp\r\n"
    b"Authorization: Bearer viewer-1-1\r\nPrefer: wait=3\r\nContent-Length: %d\r\n\r\n" % len(BODY)
) + BODY
RESPONSE = Response(201, [("Content-Type", "application/sdp"), ("Location", "/sessions/1")], BODY).encode(
    True
)


def by_h11(n: int) -> None:
    server, client = h11.Connection(h11.SERVER), h11.Connection(h11.CLIENT)
    for _ in range(n):
        server.receive_data(REQUEST)
        while server.next_event() is not h11.PAUSED and server.their_state is not h11.DONE:
            pass
        server.send(h11.Response(status_code=204, headers=[]))
        server.send(h11.EndOfMessage())
        server.start_next_cycle()
        client.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        client.send(h11.EndOfMessage())
        client.receive_data(RESPONSE)
        while type(client.next_event()) is not h11.EndOfMessage:
            pass
        client.start_next_cycle()


def by_httptools(n: int) -> None:
    server = RequestReader()
    for _ in range(n):
        assert server.feed(REQUEST)[0].method == "POST"
        answer = ResponseReader().feed(RESPONSE)
        assert answer is not None and answer.status == 201


def microseconds(call: Callable[[int], None], n: int = 4000) -> float:
    call(200)
    best = float("inf")
    for _ in range(5):
        start = time.perf_counter()
        call(n)
        best = min(best, time.perf_counter() - start)
    return best / n * 1e6


def main() -> dict[str, float]:
    return {"h11_us": round(microseconds(by_h11), 1), "httptools_us": round(microseconds(by_httptools), 1)}


if __name__ == "__main__":
    print(main())
