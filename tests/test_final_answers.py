"""Each request whose client is there gets one final answer, in its time, whatever state its attempt is in.

The state is forced by the test, and what is judged is what crossed the sockets: how many answers, and when.
"""

import os
import resource
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from ledgehitch import hostline, rtsp
from ledgehitch.facts import Reach
from ledgehitch.loop import Listener, Loop, TimedOut, endpoint
from ledgehitch.platform.__main__ import Running, told_from
from ledgehitch.platform.hosts import Hosts
from ledgehitch.platform.lost import Watch
from tests.test_crossings import Held, Leaving, Stopped, known, over_loop, running, starts
from tests.test_platform_sockets import BLOB, Host, World, nothing, on_loop, sid

SLACK = 0.3  # seconds for a busy machine; half a second late is lost
ERROR = 47


class Client:
    """A viewers' connection that notes when each answer came, in seconds from its request."""

    def __init__(self, world: World) -> None:
        self.world, self.v = world, world.viewers()
        self.asked_at: dict[str, float] = {}
        self.got: dict[str, list[tuple[str, float]]] = {}

    def ask(self, *numbers: int, wait: float = 1.0) -> None:
        """Requests, in one write."""
        data = b""
        for n in numbers:
            self.world.log.append(("asked", sid(n)))
            self.asked_at[sid(n)] = time.monotonic()
            self.got[sid(n)] = []
            data += request(n, wait)
        self.v.stream.send(data)

    def hears(self, until: float) -> None:
        """Reads up to this time, and to its end if it comes before."""
        while (left := until - time.monotonic()) > 0:
            try:
                method, status, fields, _ = self.v.next(left)
            except (TimedOut, EOFError, OSError):
                return
            name = fields.get("session", "")
            if method == "" and fields.get("cseq") == "1" and name in self.got:
                self.got[name].append((status, time.monotonic() - self.asked_at[name]))

    def one_each(self, wait: float = 1.0, more: float = SLACK) -> dict[int, tuple[str, float]]:
        """Waits until the time of all is over; each had one final answer in its time."""
        self.hears(max(self.asked_at.values()) + wait + more)
        late = {name: had for name, had in self.got.items() if len(had) != 1 or had[0][1] > wait + SLACK}
        assert not late, late
        return {int(name, 16): had[0] for name, had in self.got.items()}


def all_have_one_each(loop: Loop, clients: list[Client]) -> None:
    for task in [loop.spawn(client.one_each) for client in clients]:
        task.wait()


def request(n: int, wait: float) -> bytes:
    fields = [
        ("X-Tier", "clip"),
        ("X-Deadline", str(round(wait * 1000))),
        ("X-Attrs", "home:0;copies:6;top:2"),
    ]
    return rtsp.request("SETUP", "rtsp://media/7f3a", "1", sid(n), fields, BLOB.encode())


def to_the_end(effect: str) -> dict[str, Any]:
    """Attempts may last as long as the deadline; one that may not be repeated lasts so long."""
    return {"effect": effect, "onTime": 2000, "deadline": 3000}


# ---- an attempt that is out as the deadline comes ----------------------------------------------------------


def half(tag: str) -> bytes:
    return hostline.encode("STARTED", tag, {}, None, BLOB)[:40]


def pending(tag: str) -> bytes:
    return hostline.encode("PENDING", tag, {})


def of_another(tag: str) -> bytes:
    return hostline.encode("STARTED", sid(99), {}, None, BLOB)


OUT: dict[str, Callable[[str], bytes | None]] = {
    "unanswered": nothing,
    "answered by half": half,
    "interim answer": pending,
    "another's answer": of_another,
    "late": nothing,
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("state", [*OUT, "dialling"])
def test_an_attempt_that_is_out_at_the_deadline(state: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end(effect), connectTimeout=4000) as (world, v):
            host, held = world.hosts[0], Held()
            known(world, v)
            if state == "dialling":
                feed = world.until(lambda: world.feeds)[0]
                host.at = held.at
                feed.send(world.told(2, (host, "ready")))
                loop.sleep(0.1)
            else:
                host.how = OUT[state]
            client = Client(world)
            client.ask(1, 2, wait=0.6)
            if state == "late":
                world.until(lambda: starts(world, 2))
                loop.call_at(client.asked_at[sid(1)] + 0.6, lambda: host.say("STARTED", sid(1)))
            got = client.one_each(0.6)
            ran = bool(starts(world, 1))
            assert ran == (state != "dialling")
            for n in (1, 2):
                assert got[n][0] == ("500" if ran and effect == "once" else "453")
            if state == "dialling":
                held.release(world, Host(world, "s-9"))

    over_loop(play)


# ---- an attempt that ends early: answered at once, not at the deadline -------------------------------------

ENDS: dict[str, Callable[[Host, str], None]] = {
    "spoilt": lambda host, tag: host.streams[-1].send(b"{no answer\n"),
    "reset": lambda host, tag: host.reset(),
    "closed": lambda host, tag: host.streams[-1].close(),
    "dead": lambda host, tag: host.dies(),
    "error": lambda host, tag: host.say("FINISH", tag, {}, ERROR),
    "another cause": lambda host, tag: host.say("FINISH", tag, {}, 16),
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("end", ENDS)
def test_what_ends_without_an_answer_is_told_at_once_to_all_that_shared_it(end: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end(effect), tryLimit=1) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            client.ask(1, 2, wait=2.0)
            world.until(lambda: starts(world, 2))
            began = time.monotonic()
            for n in (1, 2):
                if n == 1 or end in ("error", "another cause"):
                    ENDS[end](host, sid(n))
            client.hears(began + SLACK)
            assert all(len(had) == 1 for had in client.got.values()), client.got

    over_loop(play)


@pytest.mark.parametrize("cause, released", [(16, True), (41, True), (31, False)])
@pytest.mark.parametrize("apart", [0.0, 0.005, 0.1])
def test_what_is_over_as_it_is_answered_has_one_answer(apart: float, cause: int, released: bool) -> None:
    """Both come in one read, in two turns, or well apart. Who ended it itself (31) is owed no release."""

    def play(loop: Loop) -> None:
        with running(loop, hosts=1) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            v.set_up(1)
            world.until(lambda: starts(world, 1))
            over = hostline.encode("FINISH", sid(1), {}, cause)
            answer = hostline.encode("STARTED", sid(1), {}, None, BLOB)
            if apart:
                host.streams[-1].send(answer)
                loop.sleep(apart)
                host.streams[-1].send(over)
            else:
                host.streams[-1].send(answer + over)
            assert v.answer() == ("200", sid(1), BLOB)
            if released:
                method, _, fields, _ = v.next()
                assert method == "TEARDOWN" and fields["reason"] == f"cause={cause}"
            with pytest.raises(TimedOut):
                v.next(0.2)

    over_loop(play)


# ---- what crosses the deadline while the process stands still ----------------------------------------------


@pytest.mark.parametrize("crossing", ["answered", "error", "reset", "withdrawn", "drains"])
def test_what_crossed_the_deadline_while_the_process_stood_still_is_answered_once(crossing: str) -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host, feed = world.hosts[0], world.until(lambda: world.feeds)[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            client.ask(1, 2)
            world.until(lambda: starts(world, 2))
            with Stopped(world):
                for n in (1, 2):
                    if crossing == "answered":
                        host.say("STARTED", sid(n))
                    elif crossing == "error":
                        host.say("FINISH", sid(n), {}, ERROR)
                if crossing == "reset":
                    host.reset()
                elif crossing == "drains":
                    feed.send(world.told(2, (host, "gone")))
                elif crossing == "withdrawn":
                    client.v.send("TEARDOWN", 1, "2")
                loop.sleep(max(0.0, client.asked_at[sid(2)] + 1.1 - time.monotonic()))
            client.hears(time.monotonic() + SLACK)
            owed = {sid(2)} if crossing == "withdrawn" else {sid(1), sid(2)}
            assert {name for name, had in client.got.items() if len(had) == 1} >= owed, client.got
            assert all(len(had) <= 1 for had in client.got.values())

    over_loop(play)


# ---- a connection of ours to its client --------------------------------------------------------------------


def test_what_was_taken_is_answered_though_what_follows_it_cannot_be_read() -> None:
    """The connection was closed at once, and with it went the answers to what had been taken there."""

    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            client.ask(1, 2)
            client.v.stream.send(b"no message\r\n\r\n" + request(3, 1.0))
            world.until(lambda: starts(world, 2))
            host.say("STARTED", sid(1))
            got = client.one_each()
            assert got[1][0] == "200" and got[2][0] == "500"
            assert not starts(world, 3), "nothing after it can be relied on"
            client.v.stream.close()

    over_loop(play)


def test_a_viewer_who_goes_after_what_cannot_be_read_is_heard_at_once() -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            client.ask(1, wait=3.0)
            world.until(lambda: starts(world, 1))
            client.v.stream.send(b"no message\r\n\r\n" * 2000)
            loop.sleep(0.2)
            client.v.stream.close()
            began = time.monotonic()
            world.until(lambda: any(m[:2] == ("FINISH", sid(1)) for m in host.heard))
            assert time.monotonic() - began < 0.1 + SLACK

    over_loop(play)


def test_a_request_on_a_slowed_connection_has_its_answer_in_its_time() -> None:
    """Its time was counted from when it was read, up to a second after it had come."""

    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            for _ in range(10):
                client.v.send("PLAY", 9)  # nothing that is done here
                loop.sleep(0.02)
            world.until(lambda: world.errors.read_text().count("is not done here") >= 5)
            client.v.send("PLAY", 9)
            loop.sleep(0.1)
            client.ask(1, 2, wait=1.5)
            client.one_each(1.5)

    over_loop(play)


def test_a_request_in_pieces_has_its_time_from_its_last_one() -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            client = Client(world)
            data = request(1, 0.6)
            for part in (data[:7], data[7:60], data[60:-3]):
                client.v.stream.send(part)
                loop.sleep(0.4)
            client.asked_at[sid(1)], client.got[sid(1)] = time.monotonic(), []
            client.v.stream.send(data[-3:])
            assert client.one_each(0.6)[1][0] == "500" and len(starts(world, 1)) == 1

    over_loop(play)


# ---- descriptors are used up -------------------------------------------------------------------------------


def none_free(world: World) -> tuple[int, int]:
    """No descriptor is free any more in the gateway; gives what its limits were."""
    limits = resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE)
    taken = len(os.listdir(f"/proc/{world.process.pid}/fd"))
    resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, (taken, limits[1]))
    return limits


def test_where_no_descriptor_is_free_to_dial_a_request_is_turned_away_at_once() -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=2) as (world, v):
            client = Client(world)
            v.send("OPTIONS", 0, "3", "ping")
            v.next()
            limits = none_free(world)
            client.ask(1, 2, 3, wait=2.0)
            got = client.one_each(2.0)
            assert {status for status, _ in got.values()} == {"453"} and not starts(world, 1)
            resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, limits)
            client.ask(4, wait=2.0)
            assert client.one_each(2.0)[4][0] in ("200", "453")

    over_loop(play)


def test_a_connection_that_waited_for_a_descriptor_is_served_when_there_is_one() -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=1, sold=to_the_end("once")) as (world, v):
            host = world.hosts[0]
            known(world, v)
            host.how = nothing
            limits = none_free(world)
            client = Client(world)
            client.ask(1, 2, wait=1.5)
            loop.sleep(1.0)
            resource.prlimit(world.process.pid, resource.RLIMIT_NOFILE, limits)
            client.one_each(1.5)

    over_loop(play)


# ---- a kill and what comes after ---------------------------------------------------------------------------


def test_a_gateway_that_comes_back_answers_each_request_that_reaches_it() -> None:
    def play(loop: Loop) -> None:
        with running(loop, hosts=2, sold=to_the_end("once")) as (world, v):
            known(world, v)
            for host in world.hosts:
                host.how = nothing
            first = Client(world)
            first.ask(1)
            world.until(lambda: starts(world, 1))
            world.process.kill()
            world.process.wait()
            first.hears(time.monotonic() + 0.5)
            assert first.got == {sid(1): []}, "its end is the answer"
            world.start()
            clients: list[Client] = []
            n, end = 100, time.monotonic() + 20
            while len(clients) < 20 and time.monotonic() < end:
                n += 1
                try:
                    client = Client(world)
                except OSError:
                    loop.sleep(0.01)
                    continue
                client.ask(n)
                clients.append(client)
                loop.sleep(0.01)
            all_have_one_each(loop, clients)

    over_loop(play)


# ---- a gateway that is slow --------------------------------------------------------------------------------


def test_a_request_that_came_in_a_long_turn_has_its_answer_in_its_time() -> None:
    """Its time was counted from the end of the turn in which it had come."""

    def play(loop: Loop) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ceilings = {"peerMessages": False}
            world = World(loop, 1, Path(folder), ceilings, sold=to_the_end("once"), start=False)
            gateway = Running(loop, told_from(str(world.path)), str(world.path))
            gateway.start()
            known(world, world.ready())
            host = world.hosts[0]
            host.how = nothing
            old, new = Client(world), Client(world)
            loop.sleep(0.05)
            old.ask(1)
            new.ask(2)
            time.sleep(0.6)  # all stand still, but not in the poll
            all_have_one_each(loop, [old, new])
            assert len(starts(world, 1)) == len(starts(world, 2)) == 1
            host.listener.close()
            world.journal.close()

    over_loop(play)


# ---- a connection to a media host that is being closed -----------------------------------------------------


@on_loop
def test_no_request_goes_out_on_a_connection_that_is_being_closed_here(loop: Loop) -> None:
    """Such a one was told as reset at once: it counted as one that may have run."""
    hosts = Hosts(loop, Reach(1.0, 30.0, 1000), Watch(0.0), 8, 1 << 20, ())
    hosts.carrier, hosts.home = Leaving(3.0), loop.first
    listener = Listener(loop, endpoint("127.0.0.1:0"))
    hosts.listed("h", str(listener.at), False)
    told: dict[str, Any] = {"class": "clip", "left": "3000"}
    line = hosts.set_up(sid(1), "h", dict(told), BLOB)
    assert line is not None
    stream = listener.accept()
    assert stream.receive()
    assert not line.unsent and hosts.give_up(line, sid(1), False)
    hosts.close(line)
    other = hosts.set_up(sid(2), "h", dict(told), BLOB)
    assert other is not None and other is not line
    again = listener.accept()
    assert sid(2).encode() in again.receive() and sid(2).encode() not in stream.receive()
    hosts.close(other)
    listener.close()
