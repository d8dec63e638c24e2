"""Each request of a connected client gets one final response in time, whatever state its tune-in is in.

The tests force the state; the assertions are on the number of responses on the sockets and their times.
"""

import os
import resource
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from ledgehitch import hostline, rtsp
from ledgehitch.facts import ConnectionSettings
from ledgehitch.loop import Listener, Loop, TimedOut, endpoint
from ledgehitch.platform.__main__ import RunningGateway, load_configuration
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.failure_detector import FailureDetector
from ledgehitch.platform.host_connections import HostConnections
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

SLACK = 0.3  # seconds allowed for a busy machine; a response half a second late must fail
ERROR = 47


class TimedClient:
    """A viewers' connection that records the seconds from each request to its response."""

    def __init__(self, harness: Harness) -> None:
        self.harness, self.viewer = harness, harness.connect()
        self.sent_at: dict[str, float] = {}
        self.got: dict[str, list[tuple[str, float]]] = {}

    def set_up(self, *numbers: int, wait: float = 1.0) -> None:
        """Sends the requests in one write."""
        data = b""
        for number in numbers:
            self.harness.log.append(("asked", session_id(number)))
            self.sent_at[session_id(number)] = time.monotonic()
            self.got[session_id(number)] = []
            data += request(number, wait)
        self.viewer.stream.send(data)

    def read_until(self, until: float) -> None:
        """Reads until this time, or until the connection ends."""
        while (time_left := until - time.monotonic()) > 0:
            try:
                method, status, fields, _ = self.viewer.next(time_left)
            except (TimedOut, EOFError, OSError):
                return
            name = fields.get("session", "")
            if method == "" and fields.get("cseq") == "1" and name in self.got:
                self.got[name].append((status, time.monotonic() - self.sent_at[name]))

    def expect_one_each(self, wait: float = 1.0, extra: float = SLACK) -> dict[int, tuple[str, float]]:
        """Waits until the deadline of all requests; checks that each had one final response in time."""
        self.read_until(max(self.sent_at.values()) + wait + extra)
        wrong = {
            name: responses
            for name, responses in self.got.items()
            if len(responses) != 1 or responses[0][1] > wait + SLACK
        }
        assert not wrong, wrong
        return {int(name, 16): responses[0] for name, responses in self.got.items()}


def expect_one_each_of_all(loop: Loop, clients: list[TimedClient]) -> None:
    for task in [loop.spawn(client.expect_one_each) for client in clients]:
        task.wait()


def request(number: int, wait: float) -> bytes:
    fields = [
        ("X-Tier", "clip"),
        ("X-Deadline", str(round(wait * 1000))),
        ("X-Attrs", "home:0;copies:6;top:2"),
    ]
    return rtsp.request("SETUP", "rtsp://media/7f3a", "1", session_id(number), fields, BLOB.encode())


def package_with_long_tune_ins(effect: str) -> dict[str, Any]:
    """Returns settings with which a tune-in may last until the deadline, and a "once" one does."""
    return {"effect": effect, "onTime": 2000, "deadline": 3000}


# ---- tune-ins in flight at the deadline --------------------------------------------------------------------


def partial_answer(tag: str) -> bytes:
    return hostline.encode("STARTED", tag, {}, None, BLOB)[:40]


def interim_answer(tag: str) -> bytes:
    return hostline.encode("PENDING", tag, {})


def other_answer(tag: str) -> bytes:
    return hostline.encode("STARTED", session_id(99), {}, None, BLOB)


ANSWERS: dict[str, Callable[[str], bytes | None]] = {
    "unanswered": no_answer,
    "partial answer": partial_answer,
    "interim answer": interim_answer,
    "answer of another id": other_answer,
    "late": no_answer,
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("state", [*ANSWERS, "connecting"])
def test_a_tune_in_that_is_in_flight_at_the_deadline(state: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(
            loop, hosts=1, package=package_with_long_tune_ins(effect), connectTimeout=4000
        ) as (
            harness,
            viewer,
        ):
            host, blocked = harness.hosts[0], BlockedListener()
            report_loads(harness, viewer)
            if state == "connecting":
                feed = harness.until(lambda: harness.feeds)[0]
                host.at = blocked.at
                feed.send(harness.host_event(2, (host, "ready")))
                loop.sleep(0.1)
            else:
                host.answer = ANSWERS[state]
            client = TimedClient(harness)
            client.set_up(1, 2, wait=0.6)
            if state == "late":
                harness.until(lambda: setups_sent(harness, 2))
                loop.call_at(client.sent_at[session_id(1)] + 0.6, lambda: host.send("STARTED", session_id(1)))
            got = client.expect_one_each(0.6)
            ran = bool(setups_sent(harness, 1))
            assert ran == (state != "connecting")
            for n in (1, 2):
                assert got[n][0] == ("500" if ran and effect == "once" else "453")
            if state == "connecting":
                blocked.accept(harness, FakeMediaHost(harness, "s-9"))

    run_on_loop(play)


# ---- tune-ins that end early: answered at once, not at the deadline ----------------------------------------

ENDS: dict[str, Callable[[FakeMediaHost, str], None]] = {
    "malformed": lambda host, tag: host.streams[-1].send(b"{no answer\n"),
    "reset": lambda host, tag: host.reset(),
    "closed": lambda host, tag: host.streams[-1].close(),
    "dead": lambda host, tag: host.kill(),
    "error": lambda host, tag: host.send("FINISH", tag, {}, ERROR),
    "another cause": lambda host, tag: host.send("FINISH", tag, {}, 16),
}


@pytest.mark.parametrize("effect", ["once", "repeatable"])
@pytest.mark.parametrize("end", ENDS)
def test_a_tune_in_that_ends_without_an_answer_is_reported_at_once(end: str, effect: str) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins(effect), tryLimit=1) as (
            harness,
            viewer,
        ):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            client.set_up(1, 2, wait=2.0)
            harness.until(lambda: setups_sent(harness, 2))
            began = time.monotonic()
            for n in (1, 2):
                if n == 1 or end in ("error", "another cause"):
                    ENDS[end](host, session_id(n))
            client.read_until(began + SLACK)
            assert all(len(responses) == 1 for responses in client.got.values()), client.got

    run_on_loop(play)


@pytest.mark.parametrize("cause, released", [(16, True), (41, True), (31, False)])
@pytest.mark.parametrize("delay", [0.0, 0.005, 0.1])
def test_a_viewing_that_ends_as_it_starts_has_one_response(delay: float, cause: int, released: bool) -> None:
    """Start and end come in one read, in two turns or well apart. A cancellation (31) gets no release."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            viewer.set_up(1)
            harness.until(lambda: setups_sent(harness, 1))
            end = hostline.encode("FINISH", session_id(1), {}, cause)
            answer = hostline.encode("STARTED", session_id(1), {}, None, BLOB)
            if delay:
                host.streams[-1].send(answer)
                loop.sleep(delay)
                host.streams[-1].send(end)
            else:
                host.streams[-1].send(answer + end)
            assert viewer.answer() == ("200", session_id(1), BLOB)
            if released:
                method, _, fields, _ = viewer.next()
                assert method == "TEARDOWN" and fields["reason"] == f"cause={cause}"
            with pytest.raises(TimedOut):
                viewer.next(0.2)

    run_on_loop(play)


# ---- events at the deadline while the process is stopped ---------------------------------------------------


@pytest.mark.parametrize("crossing", ["answered", "error", "reset", "cancelled", "drains"])
def test_an_event_that_crosses_the_deadline_while_the_process_is_stopped_is_answered_once(
    crossing: str,
) -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host, feed = harness.hosts[0], harness.until(lambda: harness.feeds)[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            client.set_up(1, 2)
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
                elif crossing == "cancelled":
                    client.viewer.send("TEARDOWN", 1, "2")
                loop.sleep(max(0.0, client.sent_at[session_id(2)] + 1.1 - time.monotonic()))
            client.read_until(time.monotonic() + SLACK)
            expected = {session_id(2)} if crossing == "cancelled" else {session_id(1), session_id(2)}
            assert {name for name, responses in client.got.items() if len(responses) == 1} >= expected, (
                client.got
            )
            assert all(len(responses) <= 1 for responses in client.got.values())

    run_on_loop(play)


# ---- connections to clients --------------------------------------------------------------------------------


def test_accepted_set_ups_are_answered_though_malformed_bytes_follow() -> None:
    """Regression: the connection was closed at once, and the responses to accepted set-ups were lost."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            client.set_up(1, 2)
            client.viewer.stream.send(b"no message\r\n\r\n" + request(3, 1.0))
            harness.until(lambda: setups_sent(harness, 2))
            host.send("STARTED", session_id(1))
            got = client.expect_one_each()
            assert got[1][0] == "200" and got[2][0] == "500"
            assert not setups_sent(harness, 3), "a request after malformed bytes was accepted"
            client.viewer.stream.close()

    run_on_loop(play)


def test_a_viewer_that_leaves_after_malformed_bytes_is_noticed_at_once() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            client.set_up(1, wait=3.0)
            harness.until(lambda: setups_sent(harness, 1))
            client.viewer.stream.send(b"no message\r\n\r\n" * 2000)
            loop.sleep(0.2)
            client.viewer.stream.close()
            began = time.monotonic()
            harness.until(lambda: any(message[:2] == ("FINISH", session_id(1)) for message in host.received))
            assert time.monotonic() - began < 0.1 + SLACK

    run_on_loop(play)


def test_a_request_on_a_slowed_connection_has_its_response_in_time() -> None:
    """Regression: its deadline was counted from the read, up to a second after its arrival."""

    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            for _ in range(10):
                client.viewer.send("PLAY", 9)  # not supported
                loop.sleep(0.02)
            harness.until(lambda: harness.errors.read_text().count("is not supported") >= 5)
            client.viewer.send("PLAY", 9)
            loop.sleep(0.1)
            client.set_up(1, 2, wait=1.5)
            client.expect_one_each(1.5)

    run_on_loop(play)


def test_the_deadline_of_a_request_in_pieces_counts_from_the_last_piece() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            client = TimedClient(harness)
            data = request(1, 0.6)
            for part in (data[:7], data[7:60], data[60:-3]):
                client.viewer.stream.send(part)
                loop.sleep(0.4)
            client.sent_at[session_id(1)], client.got[session_id(1)] = time.monotonic(), []
            client.viewer.stream.send(data[-3:])
            assert client.expect_one_each(0.6)[1][0] == "500" and len(setups_sent(harness, 1)) == 1

    run_on_loop(play)


# ---- descriptors are exhausted -----------------------------------------------------------------------------


def exhaust_descriptors(harness: Harness) -> tuple[int, int]:
    """Lowers the gateway's limit so that no descriptor is free; returns the former limits."""
    limits = resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE)
    in_use = len(os.listdir(f"/proc/{harness.process.pid}/fd"))
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (in_use, limits[1]))
    return limits


def test_without_a_descriptor_to_connect_a_request_is_refused_at_once() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=2) as (harness, viewer):
            client = TimedClient(harness)
            viewer.send("OPTIONS", 0, "3", "ping")
            viewer.next()
            limits = exhaust_descriptors(harness)
            client.set_up(1, 2, 3, wait=2.0)
            got = client.expect_one_each(2.0)
            assert {status for status, _ in got.values()} == {"453"} and not setups_sent(harness, 1)
            resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, limits)
            client.set_up(4, wait=2.0)
            assert client.expect_one_each(2.0)[4][0] in ("200", "453")

    run_on_loop(play)


def test_a_connection_that_waited_for_a_descriptor_is_served_later() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=1, package=package_with_long_tune_ins("once")) as (harness, viewer):
            host = harness.hosts[0]
            report_loads(harness, viewer)
            host.answer = no_answer
            limits = exhaust_descriptors(harness)
            client = TimedClient(harness)
            client.set_up(1, 2, wait=1.5)
            loop.sleep(1.0)
            resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, limits)
            client.expect_one_each(1.5)

    run_on_loop(play)


# ---- restart after SIGKILL ---------------------------------------------------------------------------------


def test_a_restarted_gateway_answers_each_request_that_reaches_it() -> None:
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=2, package=package_with_long_tune_ins("once")) as (harness, viewer):
            report_loads(harness, viewer)
            for host in harness.hosts:
                host.answer = no_answer
            first = TimedClient(harness)
            first.set_up(1)
            harness.until(lambda: setups_sent(harness, 1))
            harness.process.kill()
            harness.process.wait()
            first.read_until(time.monotonic() + 0.5)
            assert first.got == {session_id(1): []}, "the close of the connection is the answer"
            harness.start()
            clients: list[TimedClient] = []
            n, end = 100, time.monotonic() + 20
            while len(clients) < 20 and time.monotonic() < end:
                n += 1
                try:
                    client = TimedClient(harness)
                except OSError:
                    loop.sleep(0.01)
                    continue
                client.set_up(n)
                clients.append(client)
                loop.sleep(0.01)
            expect_one_each_of_all(loop, clients)

    run_on_loop(play)


# ---- slow event loop ---------------------------------------------------------------------------------------


def test_a_request_that_arrived_in_a_long_turn_has_its_response_in_time() -> None:
    """Regression: its deadline was counted from the end of the turn in which it had arrived."""

    def play(loop: Loop) -> None:
        with tempfile.TemporaryDirectory() as folder:
            ceilings = {"peerMessages": False}
            harness = Harness(
                loop, 1, Path(folder), ceilings, package=package_with_long_tune_ins("once"), start=False
            )
            gateway = RunningGateway(loop, load_configuration(str(harness.path)), str(harness.path))
            gateway.start()
            report_loads(harness, harness.wait_ready())
            host = harness.hosts[0]
            host.answer = no_answer
            old, new = TimedClient(harness), TimedClient(harness)
            loop.sleep(0.05)
            old.set_up(1)
            new.set_up(2)
            time.sleep(0.6)  # stalls the event loop outside its poll
            expect_one_each_of_all(loop, [old, new])
            assert len(setups_sent(harness, 1)) == len(setups_sent(harness, 2)) == 1
            host.listener.close()
            harness.journal.close()

    run_on_loop(play)


# ---- set-ups that no media host can read -------------------------------------------------------------------


@on_loop
def test_a_set_up_whose_line_would_be_too_long_is_refused_and_harms_no_other(loop: Loop) -> None:
    # Escaped, its line is longer than a message may be: the media host closed the connection of all others.
    with running_gateway(loop, hosts=1) as (harness, viewer):
        harness.hosts[0].answer = no_answer
        client = TimedClient(harness)
        client.set_up(1)
        harness.until(partial(setups_sent, harness, 1))
        fields = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", "home:0;copies:6;top:2")]
        viewer.send("SETUP", 2, fields=fields, body="a=x\r\n" * 3100)
        assert viewer.answer()[0] == "413"
        harness.hosts[0].streams[-1].send(hostline.encode("STARTED", session_id(1), {}, None, BLOB))
        assert client.expect_one_each()[1][0] == "200"


# ---- connections to media hosts that are being closed ------------------------------------------------------


@on_loop
def test_no_request_goes_out_on_a_connection_that_is_being_closed(loop: Loop) -> None:
    """Regression: such a set-up was reported as reset at once, and so counted as one that may have run."""
    hosts = HostConnections(
        loop, ConnectionSettings(1.0, 30.0, 1000), FailureDetector(0.0), 8, ByteBudget(1 << 20, 1 << 20), ()
    )
    hosts.controller, hosts.owner = StubHostEvents(3.0), loop.main_task
    listener = Listener(loop, endpoint("127.0.0.1:0"))
    hosts.on_host_listed("h", str(listener.at), False)
    fields: dict[str, Any] = {"class": "clip", "left": "3000"}
    connection = hosts.set_up(session_id(1), "h", dict(fields), BLOB.encode())
    assert connection is not None
    stream = listener.accept()
    assert stream.receive()
    assert not connection.unsent_setups and hosts.cancel(connection, session_id(1), False)
    hosts.close(connection)
    other = hosts.set_up(session_id(2), "h", dict(fields), BLOB.encode())
    assert other is not None and other is not connection
    second_stream = listener.accept()
    assert (
        session_id(2).encode() in second_stream.receive() and session_id(2).encode() not in stream.receive()
    )
    hosts.close(other)
    listener.close()
