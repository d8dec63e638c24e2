"""The light peers of the measurements: media hosts that answer at once, and a load of offers at a rate."""

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.config import read_site
from ledgehitch.http import Feed, Request, Response, Server
from ledgehitch.http.events import encode_event
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import Loop, Stream, TimedOut, connect, endpoint
from ledgehitch.standins.viewers import offer_of, reports_to

ANSWER = offer_of(1).replace(b"a=recvonly", b"a=sendonly").replace(b"actpass", b"passive")


def hosts(site_file: str, before: Callable[[Loop, Request], None] = lambda loop, request: None) -> None:
    """All media hosts of a site and its list, each answering at once with the same description, or after what
    `before` does with a set-up."""
    site = read_site(Path(site_file))
    loop = Loop()
    made = 0
    feeds: list[Feed] = []

    def handle(request: Request) -> Response:
        nonlocal made
        if request.method == "POST" and request.path.startswith("/whep/"):
            before(loop, request)
            made += 1
            return Response(
                201,
                [
                    ("Content-Type", "application/sdp"),
                    ("Location", f"/sessions/{made}"),
                    ("Link", f'</sessions/{made}/layer>; rel="urn:ietf:params:whep:ext:core:layer"'),
                    ("Endpoint-Load-Metrics", "TEXT named_metrics.x0=0.2, named_metrics.x1=0.2"),
                ],
                ANSWER,
            )
        if request.path.startswith("/events"):
            feed = Feed(loop)
            feed.send(b": here\n\n")
            feeds.append(feed)
            return Response(200, [("Boot", "b")], stream=feed.send_all)
        return Response(200)

    def main() -> None:
        lines = []
        for host in site.hosts:
            at = str(Server(loop, endpoint("127.0.0.1:0"), handle).at)
            told = {"host": host.name, "cell": host.cell, "weight": host.weight, "kind": host.kind}
            lines.append({**told, "at": at, "zone": host.zone, "state": "in_service", "started": 0.0})

        def listing(request: Request) -> Response:
            feed = Feed(loop)
            told = {"epoch": "e", "version": 1, "rows": lines}
            feed.send(encode_event(msgspec.json.encode(told).decode(), "total"))
            return Response(200, [], stream=feed.send_all)

        Server(loop, endpoint(site.list_at), listing)
        print("{}", flush=True)
        while True:
            loop.sleep(1.0)
            for feed in feeds:
                feed.send(b": here\n\n")

    loop.run(main)


def load(
    at: str, rate: float, seconds: float, name: str, titles: int, package: str = "recorded", hold: bool = True
) -> dict[str, Any]:
    """Offers at an even rate over kept connections; what came of them, and how long each took in ms."""
    loop = Loop()
    took: list[float] = []
    answers: dict[int, int] = {}
    pool: list[Stream] = []
    to = endpoint(at)

    def one(number: int, due: float) -> None:
        body = offer_of(number, f"{name}{number}")
        head = (
            f"POST /whep/{package}/clip-{number % titles + 1} HTTP/1.1\r\nHost: {at}\r\n"
            f"Content-Type: application/sdp\r\nAuthorization: Bearer {name}-{number}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            with loop.deadline(10.0):
                stream = pool.pop() if pool else connect(loop, to)
                reader, response = ResponseReader(), None
                stream.send(head.encode() + body)
                while response is None:
                    data = stream.receive()
                    if not data:
                        raise OSError("ended")
                    response = reader.feed(data)
        except (OSError, TimedOut):
            answers[0] = answers.get(0, 0) + 1
            return
        took.append((time.monotonic() - due) * 1000)
        answers[response.status] = answers.get(response.status, 0) + 1
        pool.append(stream)

    def main() -> None:
        start = time.monotonic()
        n = int(rate * seconds)
        tasks = []
        for i in range(n):
            due = start + i / rate
            wait = due - time.monotonic()
            if wait > 0.0005:
                loop.sleep(wait)
            tasks.append(loop.spawn(one, i, due))
        for task in tasks:
            task.wait()

    loop.run(main)
    took.sort()

    def at_share(q: float) -> float:
        return round(took[min(len(took) - 1, int(q * len(took)))], 2) if took else -1.0

    return {"rate": rate, "answers": answers, "ms": {str(q): at_share(q) for q in (0.5, 0.9, 0.99, 1.0)}}


def reporting(at: str, viewings: int) -> None:
    """Sets up viewings, then for each line "POSTS BATCH SECONDS" of the input posts so many batches a second
    of so many reports, each viewing in its turn, and says what became of them."""
    loop = Loop()
    held: list[tuple[str, str, str]] = []
    pools: dict[str, list[Stream]] = {}
    sent: list[int] = [0] * viewings
    became: dict[str, int] = {}

    def asked(to: str, head: str, body: bytes) -> Response:
        pool = pools.setdefault(to, [])
        stream = pool.pop() if pool else connect(loop, endpoint(to))
        reader, response = ResponseReader(), None
        stream.send(f"{head}Host: {to}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        while response is None:
            data = stream.receive()
            if not data:
                raise OSError("ended")
            response = reader.feed(data)
        pool.append(stream)
        return response

    def watch(number: int) -> None:
        head = (
            f"POST /whep/recorded/clip-{number % 20 + 1} HTTP/1.1\r\nContent-Type: application/sdp\r\n"
            f"Authorization: Bearer r-{number}\r\n"
        )
        response = asked(at, head, offer_of(number, f"r{number}"))
        to, path = reports_to(response, at)
        held.append((to, path, response.header("report-token") or ""))

    def post(i: int, batch: int) -> None:
        to, place, token = held[i]
        now = int(time.monotonic() * 1000)
        body = [
            {"sn": sent[i] + n, "ts": now - 10 * (batch - n), "com.ledgehitch-rung": 2} for n in range(batch)
        ]
        sent[i] += batch
        try:
            with loop.deadline(5.0):
                answer = asked(
                    to,
                    f"POST {place} HTTP/1.1\r\nAuthorization: Bearer {token}\r\n",
                    json.dumps(body).encode(),
                )
            told = json.loads(answer.body) if answer.status == 200 else {str(answer.status): 1}
        except (OSError, TimedOut):
            told = {"none": 1}
        for word, n in told.items():
            became[word] = became.get(word, 0) + n

    def main() -> None:
        for number in range(viewings):
            loop.spawn(watch, number)
            loop.sleep(0.0025)
        loop.sleep(2.0)
        print("{}", flush=True)
        turn = 0
        for line in sys.stdin:
            posts, batch, seconds = line.split()
            became.clear()
            start = time.monotonic()
            for n in range(int(float(seconds) * int(posts))):
                wait = start + n / int(posts) - time.monotonic()
                if wait > 0.0005:
                    loop.sleep(wait)
                turn += 1
                loop.spawn(post, turn % len(held), int(batch))
            loop.sleep(1.0)
            print(json.dumps(became), flush=True)

    loop.run(main)


if __name__ == "__main__":
    words = sys.argv[2:]
    if sys.argv[1] == "hosts":
        hosts(words[0])
    elif sys.argv[1] == "load":
        print(json.dumps(load(words[0], float(words[1]), float(words[2]), words[3], int(words[4]))))
    elif sys.argv[1] == "reports":
        reporting(words[0], int(words[1]))
