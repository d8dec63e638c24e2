"""The door through a real gateway: a flood beside fifty clients, an idle door, a storm and its end.

`python -m benchmarks.doorway`. Gateway, media hosts and load are processes of their own on loopback; the
media hosts are simulated and share a stated number of set-ups a second. Beside no door, one line and buckets.
"""

import json
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import msgspec

from benchmarks import peers
from benchmarks.gateway import Process, loaded
from ledgehitch.config import Day, read_site
from ledgehitch.door.baselines import AdmitAll, FifoQueue, TokenBuckets
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.gateway.serve import RunningGateway, print_ready
from ledgehitch.http import Client, ConnectFailed, Interrupted, NoAnswer, Request
from ledgehitch.loop import Event, Loop, TimedOut
from ledgehitch.rehearsal.play import free_ports, write_key
from ledgehitch.standins.plan import site_of
from ledgehitch.standins.viewers import offer_of

SETUP = 0.03  # seconds of a set-up where nothing is scarce
TARGET, PATIENCE = 0.8, 3.0
BASELINES: dict[str, type[AdmitAll]] = {"none": AdmitAll, "one line": FifoQueue, "buckets": TokenBuckets}


def hosts(site_file: str, capacity: str) -> None:
    """All media hosts and the list: set-ups take their turns, `capacity` of them a second in all."""
    a_second, free_at = float(capacity), 0.0

    def take_turn(loop: Loop, request: Request) -> None:
        nonlocal free_at
        free_at = max(time.monotonic(), free_at) + 1.0 / a_second
        gone = Event(loop)
        request.on_disconnect(lambda: gone.set())
        try:
            with loop.deadline(max(SETUP, free_at - time.monotonic())):
                gone.wait()
        except TimedOut:
            return
        raise NoAnswer  # what was given up has taken its turn all the same

    peers.hosts(site_file, take_turn)


def gateway(site_file: str, kind: str) -> None:
    """The gateway with its door, or with a baseline in its place."""
    loop, site = Loop(), read_site(Path(site_file))

    def main() -> None:
        running = RunningGateway(loop, site, site.gateways[0].name, 1)
        if kind == "no doorman":
            running.executor.admission = None
        elif kind != "door":
            running.executor.admission = AdmissionService(BASELINES[kind]())
        print_ready(str(running.server.at))
        loop.sleep(1e6)

    loop.run(main)


def crowd(at: str, clients: str, rate: str, flood: str, over: str, seconds: str) -> None:
    """`clients` ask `rate` times a second each, one more `flood` times; from `over` on for 20 s all ask three
    times as often, and nine of ten who are turned away come again. What the clients but the one got."""
    loop, chance, number = Loop(), random.Random(1), 0
    client = Client(loop)
    got: dict[str, list[tuple[float, float, str]]] = {"others": [], "flood": []}  # asked at, took, what
    start = time.monotonic()

    def ask(who: str, first: float, tries: int, ticket: str) -> None:
        nonlocal number
        number += 1
        headers = [("Content-Type", "application/sdp"), ("Authorization", f"Bearer {who}")]
        headers += [("Return-Ticket", ticket)] if ticket else []
        began, status, advice, ticket = time.monotonic(), 0, 0.0, ""
        try:
            with loop.deadline(PATIENCE + 1.0):
                body = offer_of(number, f"c{number}")
                answer = client.request(at, "POST", "/whep/recorded/clip-1", headers, body)
            status, advice = answer.status, float(answer.header("retry-after") or 0)
            ticket = answer.header("return-ticket") or ""
        except (TimedOut, ConnectFailed, Interrupted):
            pass
        took = time.monotonic() - began
        kind = "flood" if who == "flood" else "others"
        got[kind].append((began - start, took, "plays" if status == 201 else str(status)))
        if status != 201 and kind == "others" and float(over) > 0 and tries < 20 and chance.random() < 0.9:
            loop.sleep(advice or chance.uniform(0.3, 1.0))
            ask(who, first, tries + 1, ticket)

    def asks(who: str, a_second: float) -> None:
        while (now := time.monotonic() - start) < float(seconds):
            swell = 3.0 if 0 < float(over) <= now < float(over) + 20.0 else 1.0
            loop.sleep(chance.expovariate(a_second * swell))
            loop.spawn(ask, who, time.monotonic(), 0, "", name=who)

    def main() -> None:
        for n in range(int(clients)):
            loop.spawn(asks, f"c{n}", float(rate), name="client")
        if float(flood) > 0:
            loop.spawn(asks, "flood", float(flood), name="flood")
        loop.sleep(float(seconds) + PATIENCE + 1.5)
        print(json.dumps(got))

    loop.run(main)


def site_at(directory: Path) -> Path:
    day = msgspec.convert(
        {
            "name": "doorway",
            "length": 60.0,
            "arrivals": {"rate": 1.0, "mix": [{"package": "recorded"}]},
            "shape": {"gateways": 1, "hosts": 6, "titles": 3, "rack": 6, "slots": 100000, "link_kb": 1e9},
            "site": {"door": msgspec.Raw(b'{"on": true, "order": ["token", "address"]}')},
        },
        Day,
    )
    path = directory / "site.json"
    site = site_of(day, 1, free_ports(5), str(write_key(directory / "key")))
    path.write_bytes(msgspec.json.encode(site))
    return path


def with_door(kind: str, capacity: float, *words: str) -> Any:
    with tempfile.TemporaryDirectory() as place:
        path = site_at(Path(place))
        there = Process("-m", "benchmarks.doorway", "hosts", str(path), str(capacity))
        front = Process("-m", "benchmarks.doorway", "gateway", str(path), kind)
        at = read_site(path).gateways[0].at
        time.sleep(10.0)  # until the media hosts count as warm
        try:
            if words[0] == "plain":
                return loaded(at, float(words[1]), float(words[2]))[0]["ms"]
            told = subprocess.run(
                [sys.executable, "-m", "benchmarks.doorway", "crowd", at, *words],
                stdout=subprocess.PIPE,
                check=True,
            )
            return json.loads(told.stdout)
        finally:
            front.end()
            there.end()


def flood(kind: str) -> dict[str, Any]:
    """50 clients, each once a second; one asks 100 times as often. 80 set-ups a second."""
    got = with_door(kind, 80.0, "50", "1", "100", "0", "20")
    others = [o for o in got["others"] if o[0] > 3]
    took = sorted(t for _, t, what in others if what == "plays")

    def at(share: float) -> int | None:
        return round(1000 * took[min(len(took) - 1, int(share * len(took)))]) if took else None

    return {
        "others": len(others),
        "joined": round(len(took) / max(1, len(others)), 3),
        "p50_ms": at(0.5),
        "p99_ms": at(0.99),
        "flood_joined": sum(o[2] == "plays" for o in got["flood"]),
    }


def storm(kind: str) -> dict[str, Any]:
    """0.8 of 60 set-ups a second, three times that for 20 s, then 0.8 again."""
    got = with_door(kind, 60.0, "48", "1", "0", "10", "60")["others"]

    def good(first: float, last: float) -> int:
        return sum(first <= at < last and what == "plays" and took <= TARGET for at, took, what in got)

    before = good(3, 10) / 7
    whole = next((s for s in range(30, 55) if good(s, s + 5) / 5 >= 0.9 * before), None)
    return {
        "good_a_second": {
            "before": round(before, 1),
            "in": round(good(14, 30) / 16, 1),
            "after": round(good(40, 60) / 20, 1),
        },
        "whole_after_s": None if whole is None else whole - 30,
    }


def main() -> dict[str, Any]:
    kinds = ("door", "none", "one line", "buckets")
    idle = {
        f"{kind} {turn}": with_door(kind, 1e6, "plain", "200", "8")
        for turn in (1, 2, 3)
        for kind in ("door", "no doorman")
    }
    return {
        "flood": {kind: flood(kind) for kind in kinds},
        "storm": {kind: storm(kind) for kind in kinds},
        "idle_200_a_second": idle,
    }


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["hosts", site_file, capacity]:
            hosts(site_file, capacity)
        case ["gateway", site_file, kind]:
            gateway(site_file, kind)
        case ["crowd", at, clients, rate, flooding, over, seconds]:
            crowd(at, clients, rate, flooding, over, seconds)
        case _:
            print(json.dumps(main(), indent=1))
