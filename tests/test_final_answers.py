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
from ledgehitch.platform.__main__ import RunningGateway, load_configuration
from ledgehitch.platform.hosts import HostConnections
from ledgehitch.platform.lost import FailureDetector
from tests.test_crossings import (
    BlockedListener,
    Paused,
    StubHostEvents,
    report_loads,
    run_on_loop,
    running_gateway,
    setups_sent,
)
from tests.test_platform_sockets import BLOB, FakeMediaHost, Harness, no_answer, on_loop, session_id

SLACK = 0.3  # seconds for a busy machine; half a second late is lost
ERROR = 47


class Client:
    """A viewers' connection that notes when each answer came, in seconds from its request."""

    def __init__(self, harness: Harness) -> None:
        self.harness, self.viewer = harness, harness.connect()
        self.asked_at: dict[str, float] = {}
        self.got: dict[str, list[tuple[str, float]]] = {}

    def ask(self, *numbers: int, wait: float = 1.0) -> None:
        """Requests, in one write."""
        data = b""
        for n in numbers:
            self.harness.log.append(("asked", session_id(n)))
            self.asked_at[session_id(n)] = time.monotonic()
            self.got[session_id(n)] = []
            data += request(n, wait)
        self.viewer.stream.send(data)

    def hears(self, until: float) -> None:
        """Reads up to this time, and to its end if it comes before."""
        while (left := until - time.monotonic()) > 0:
            try:
                method, status, fields, _ = self.viewer.next(left)
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
    return rtsp.request("SETUP", "rtsp://media/7f3a", "1", session_id(n), fields, BLOB.encode())


def to_the_end(effect: str) -> dict[str, Any]:
    """Attempts may last as long as the deadline; one that may not be repeated lasts so long."""
    return {"effect": effect, "onTime": 2000, "deadline": 3000}


# ---- an attempt that is out as the deadline comes ----------------------------------------------------------


def half(tag: str) -> bytes:
    return hostline.encode("STARTED", tag, {}, None, BLOB)[:40]


def pending(tag: str) -> bytes:
    return hostline.encode("PENDING", tag, {})


def of_another(tag: str) -> bytes:
    return hostline.encode("STARTED", session_id(99), {}, None, BLOB)


OUT: dict[str, Callable[[str], bytes | None]] = {
    "unanswered": no_answer,
    "answered by half": half,
    "interim answer": pending,
    "another's answer": of_another,
    "late": no_answer,
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("state", [*OUT, "dialling"])
def test_an_attempt_that_is_out_at_the_deadline(state: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end(effect), connectTimeout=4000) as (
            harness,
            viewer,
        ):
            host, held = harness.hosts[0], BlockedListener()
            report_loads(harness, viewer)
            if state == "dialling":
                feed = harness.until(lambda: harness.feeds)[0]
                host.at = held.at
                feed.send(harness.host_event(2, (host, "ready")))
                loop.sleep(0.1)
            else:
                host.answer = OUT[state]
            client = Client(harness)
            client.ask(1, 2, wait=0.6)
            if state == "late":
                harness.until(lambda: setups_sent(harness, 2))
                loop.call_at(
                    client.asked_at[session_id(1)] + 0.6, lambda: host.send("STARTED", session_id(1))
                )
            got = client.one_each(0.6)
            ran = bool(setups_sent(harness, 1))
            assert ran == (state != "dialling")
            for n in (1, 2):
                assert got[n][0] == ("500" if ran and effect == "once" else "453")
            if state == "dialling":
                held.accept(harness, FakeMediaHost(harness, "s-9"))

    run_on_loop(play)


# ---- an attempt that ends early: answered at once, not at the deadline -------------------------------------

ENDS: dict[str, Callable[[FakeMediaHost, str], None]] = {
    "spoilt": lambda host, tag: host.streams[-1].send(b"{no answer\n"),
    "reset": lambda host, tag: host.reset(),
    "closed": lambda host, tag: host.streams[-1].close(),
    "dead": lambda host, tag: host.kill(),
    "error": lambda host, tag: host.send("FINISH", tag, {}, ERROR),
    "another cause": lambda host, tag: host.send("FINISH", tag, {}, 16),
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("end", ENDS)
def test_what_ends_without_an_answer_is_told_at_once_to_all_that_shared_it(end: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end(effect), tryLimit=1) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            client.ask(1, 2, wait=2.0)
            harness.until(lambda: setups_sent(harness, 2))
            began = time.monotonic()
            for n in (1, 2):
                if n == 1 or end in ("error", "another cause"):
                    ENDS[end](host, session_id(n))
            client.hears(began + SLACK)
            assert all(len(had) == 1 for had in client.got.values()), client.got

    run_on_loop(play)


@pytest.mark.parametrize("cause, released", [(16, True), (41, True), (31, False)])
@pytest.mark.parametrize("apart", [0.0, 0.005, 0.1])
def test_what_is_over_as_it_is_answered_has_one_answer(apart: float, cause: int, released: bool) -> None:
    """Both come in one read, in two turns, or well apart. Who ended it itself (31) is owed no release."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            viewer.set_up(1)
            harness.until(lambda: setups_sent(harness, 1))
            over = hostline.encode("FINISH", session_id(1), {}, cause)
            answer = hostline.encode("STARTED", session_id(1), {}, None, BLOB)
            if apart:
                host.streams[-1].send(answer)
                loop.sleep(apart)
                host.streams[-1].send(over)
            else:
                host.streams[-1].send(answer + over)
            assert viewer.answer() == ("200", session_id(1), BLOB)
            if released:
                method, _, fields, _ = viewer.next()
                assert method == "TEARDOWN" and fields["reason"] == f"cause={cause}"
            with pytest.raises(TimedOut):
                viewer.next(0.2)

    run_on_loop(play)


# ---- what crosses the deadline while the process stands still ----------------------------------------------


@pytest.mark.parametrize("crossing", ["answered", "error", "reset", "withdrawn", "drains"])
def test_what_crossed_the_deadline_while_the_process_stood_still_is_answered_once(crossing: str) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host, feed = harness.hosts[0], harness.until(lambda: harness.feeds)[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            client.ask(1, 2)
            harness.until(lambda: setups_sent(harness, 2))
            with Paused(harness):
                for n in (1, 2):
                    if crossing == "answered":
                        host.send("STARTED", session_id(n))
                    elif crossing == "error":
                        host.send("FINISH", session_id(n), {}, ERROR)
                if crossing == "reset":
                    host.reset()
                elif crossing == "drains":
                    feed.send(harness.host_event(2, (host, "gone")))
                elif crossing == "withdrawn":
                    client.viewer.send("TEARDOWN", 1, "2")
                loop.sleep(max(0.0, client.asked_at[session_id(2)] + 1.1 - time.monotonic()))
            client.hears(time.monotonic() + SLACK)
            owed = {session_id(2)} if crossing == "withdrawn" else {session_id(1), session_id(2)}
            assert {name for name, had in client.got.items() if len(had) == 1} >= owed, client.got
            assert all(len(had) <= 1 for had in client.got.values())

    run_on_loop(play)


# ---- a connection of ours to its client --------------------------------------------------------------------


def test_what_was_taken_is_answered_though_what_follows_it_cannot_be_read() -> None:
    """The connection was closed at once, and with it went the answers to what had been taken there."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            client.ask(1, 2)
            client.viewer.stream.send(b"no message\r\n\r\n" + request(3, 1.0))
            harness.until(lambda: setups_sent(harness, 2))
            host.send("STARTED", session_id(1))
            got = client.one_each()
            assert got[1][0] == "200" and got[2][0] == "500"
            assert not setups_sent(harness, 3), "nothing after it can be relied on"
            client.viewer.stream.close()

    run_on_loop(play)


def test_a_viewer_who_goes_after_what_cannot_be_read_is_heard_at_once() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            client.ask(1, wait=3.0)
            harness.until(lambda: setups_sent(harness, 1))
            client.viewer.stream.send(b"no message\r\n\r\n" * 2000)
            loop.sleep(0.2)
            client.viewer.stream.close()
            began = time.monotonic()
            harness.until(lambda: any(m[:2] == ("FINISH", session_id(1)) for m in host.received))
            assert time.monotonic() - began < 0.1 + SLACK

    run_on_loop(play)


def test_a_request_on_a_slowed_connection_has_its_answer_in_its_time() -> None:
    """Its time was counted from when it was read, up to a second after it had come."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            for _ in range(10):
                client.viewer.send("PLAY", 9)  # nothing that is done here
                loop.sleep(0.02)
            harness.until(lambda: harness.errors.read_text().count("is not supported") >= 5)
            client.viewer.send("PLAY", 9)
            loop.sleep(0.1)
            client.ask(1, 2, wait=1.5)
            client.one_each(1.5)

    run_on_loop(play)


def test_a_request_in_pieces_has_its_time_from_its_last_one() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = Client(harness)
            data = request(1, 0.6)
            for part in (data[:7], data[7:60], data[60:-3]):
                client.viewer.stream.send(part)
                loop.sleep(0.4)
            client.asked_at[session_id(1)], client.got[session_id(1)] = time.monotonic(), []
            client.viewer.stream.send(data[-3:])
            assert client.one_each(0.6)[1][0] == "500" and len(setups_sent(harness, 1)) == 1

    run_on_loop(play)


# ---- descriptors are used up -------------------------------------------------------------------------------


def none_free(harness: Harness) -> tuple[int, int]:
    """No descriptor is free any more in the gateway; gives what its limits were."""
    limits = resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE)
    in_use = len(os.listdir(f"/proc/{harness.process.pid}/fd"))
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (in_use, limits[1]))
    return limits


def test_where_no_descriptor_is_free_to_dial_a_request_is_turned_away_at_once() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=2) as (harness, viewer):
            client = Client(harness)
            viewer.send("OPTIONS", 0, "3", "ping")
            viewer.next()
            limits = none_free(harness)
            client.ask(1, 2, 3, wait=2.0)
            got = client.one_each(2.0)
            assert {status for status, _ in got.values()} == {"453"} and not setups_sent(harness, 1)
            resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, limits)
            client.ask(4, wait=2.0)
            assert client.one_each(2.0)[4][0] in ("200", "453")

    run_on_loop(play)


def test_a_connection_that_waited_for_a_descriptor_is_served_when_there_is_one() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=to_the_end("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            limits = none_free(harness)
            client = Client(harness)
            client.ask(1, 2, wait=1.5)
            loop.sleep(1.0)
            resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, limits)
            client.one_each(1.5)

    run_on_loop(play)


# ---- a kill and what comes after ---------------------------------------------------------------------------


def test_a_gateway_that_comes_back_answers_each_request_that_reaches_it() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=2, package=to_the_end("once")) as (harness, viewer):
            report_loads(harness, viewer)
            for host in harness.hosts:
                host.answer = no_answer
            first = Client(harness)
            first.ask(1)
            harness.until(lambda: setups_sent(harness, 1))
            harness.process.kill()
            harness.process.wait()
            first.hears(time.monotonic() + 0.5)
            assert first.got == {session_id(1): []}, "its end is the answer"
            harness.start()
            clients: list[Client] = []
            n, end = 100, time.monotonic() + 20
            while len(clients) < 20 and time.monotonic() < end:
                n += 1
                try:
                    client = Client(harness)
                except OSError:
                    loop.sleep(0.01)
                    continue
                client.ask(n)
                clients.append(client)
                loop.sleep(0.01)
            all_have_one_each(loop, clients)

    run_on_loop(play)


# ---- a gateway that is slow --------------------------------------------------------------------------------


def test_a_request_that_came_in_a_long_turn_has_its_answer_in_its_time() -> None:
    """Its time was counted from the end of the turn in which it had come."""

    def play(loop: Loop) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ceilings = {"peerMessages": False}
            harness = Harness(loop, 1, Path(folder), ceilings, package=to_the_end("once"), start=False)
            gateway = RunningGateway(loop, load_configuration(str(harness.path)), str(harness.path))
            gateway.start()
            report_loads(harness, harness.wait_ready())
            host = harness.hosts[0]
            host.answer = no_answer
            old, new = Client(harness), Client(harness)
            loop.sleep(0.05)
            old.ask(1)
            new.ask(2)
            time.sleep(0.6)  # all stand still, but not in the poll
            all_have_one_each(loop, [old, new])
            assert len(setups_sent(harness, 1)) == len(setups_sent(harness, 2)) == 1
            host.listener.close()
            harness.journal.close()

    run_on_loop(play)


# ---- a connection to a media host that is being closed -----------------------------------------------------


@on_loop
def test_no_request_goes_out_on_a_connection_that_is_being_closed_here(loop: Loop) -> None:
    """Such a one was told as reset at once: it counted as one that may have run."""
    hosts = HostConnections(loop, Reach(1.0, 30.0, 1000), FailureDetector(0.0), 8, 1 << 20, ())
    hosts.controller, hosts.owner = StubHostEvents(3.0), loop.first
    listener = Listener(loop, endpoint("127.0.0.1:0"))
    hosts.on_host_listed("h", str(listener.at), False)
    told: dict[str, Any] = {"class": "clip", "left": "3000"}
    connection = hosts.set_up(session_id(1), "h", dict(told), BLOB)
    assert connection is not None
    stream = listener.accept()
    assert stream.receive()
    assert not connection.unsent and hosts.cancel(connection, session_id(1), False)
    hosts.close(connection)
    other = hosts.set_up(session_id(2), "h", dict(told), BLOB)
    assert other is not None and other is not connection
    again = listener.accept()
    assert session_id(2).encode() in again.receive() and session_id(2).encode() not in stream.receive()
    hosts.close(other)
    listener.close()
