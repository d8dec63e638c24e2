"""The pictures that operators of other deployments report, played with real processes in the stated limits.

Judged from sockets, and for memory by what the kernel counts for the process.
"""

import json
import socket
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import pytest

from ledgehitch import hostline, rtsp
from ledgehitch.loop import Loop, TimedOut, endpoint
from tests.test_crossings import run_on_loop, running_gateway, setups_sent
from tests.test_lost_releases import RELEASED_WITHIN_S, replace_media_host
from tests.test_memory_limits import (
    BAD_CLIENTS,
    DESCRIPTORS,
    FIELDS,
    LONG_DESCRIPTION,
    MEMORY_MB,
    connect_and_send,
    is_closed,
    many_fields,
    private_mb,
)
from tests.test_platform_sockets import BLOB, Harness, ViewerClient, session_id

FLOOD_S = 6.0
TURN = 25  # clients served here in one turn, so that the usual viewer's is not late through this test
ANSWERED_WITHIN_S = 3.05  # the deadline of a usual viewer, and 50 ms
USUAL_EVERY_S = 0.5
ONLY_FIRST_HOST = "home:0;copies:1;top:0"
PIECE_BYTES = 400  # of a client that writes slowly
CROSSING_S = 0.05  # a set-up that crosses a close is sent once more, on a new connection
CROSSED_A_CLOSE = "crossed a close"
SENT_AFTER_CLOSE_S = 0.1  # no tune-in begins that long after its client left


@contextmanager
def whole_gateway(loop: Loop) -> Iterator[tuple[Harness, ViewerClient]]:
    """Starts a gateway with the least memory and the most descriptors that the pages state."""
    with tempfile.TemporaryDirectory() as folder:
        harness = Harness(loop, 6, Path(folder), {}, DESCRIPTORS)
        try:
            yield harness, harness.wait_ready()
            assert harness.process.poll() is None, "the gateway runs on"
            assert "failed:" not in harness.errors.read_text()
        finally:
            harness.process.kill()
            harness.process.wait()


def set_up_bytes(number: int, description: str = BLOB) -> bytes:
    return rtsp.request("SETUP", "rtsp://media/7f3a", "1", session_id(number), FIELDS, description.encode())


class UsualViewer:
    """Asks for a viewing now and then, and notes how long each answer took."""

    def __init__(self, harness: Harness) -> None:
        self.harness, self.asked_at, self.next_at = harness, 0.0, time.monotonic()
        self.times: list[float] = []
        self.statuses: list[str] = []

    def run(self, until: float) -> None:
        number = 1
        while time.monotonic() < until:
            asked_at = time.monotonic()
            status = self._ask(number)
            if status == CROSSED_A_CLOSE:
                number += 1
                status = self._ask(number)
            self.times.append(time.monotonic() - asked_at)
            self.statuses.append(status)
            self.harness.loop.sleep(USUAL_EVERY_S)
            number += 1

    def _ask(self, number: int) -> str:
        """Returns the status of the answer, or what became of the connection."""
        client = self.harness.connect()
        client.set_up(number)
        asked_at = time.monotonic()
        try:
            status, _, _ = client.answer(2 * ANSWERED_WITHIN_S)
            if status == "200":
                with suppress(EOFError, OSError):  # without a set-up on it the connection may be closed
                    client.send("TEARDOWN", number, "2")
                    client.next()
            return status
        except (EOFError, OSError, TimedOut) as error:
            crossed = not isinstance(error, TimedOut) and time.monotonic() - asked_at < CROSSING_S
            return CROSSED_A_CLOSE if crossed else type(error).__name__
        finally:
            client.stream.close()

    def judge(self) -> None:
        assert len(self.times) > 3 and max(self.times) < ANSWERED_WITHIN_S, self.times
        assert set(self.statuses) <= {"200", "453", "503"}, self.statuses


def slow_set_up(client: int, step: int) -> bytes:
    whole = set_up_bytes(1000 + client, LONG_DESCRIPTION)
    return whole[PIECE_BYTES * step : PIECE_BYTES * (step + 1)]


def half_of_a_set_up(client: int, step: int) -> bytes:
    whole = set_up_bytes(1000 + client, LONG_DESCRIPTION)
    return b"" if step else whole[: len(whole) // 2]


def short_fields(client: int, step: int) -> bytes:
    return b"" if step else many_fields(client)


def short_fields_slowly(client: int, step: int) -> bytes:
    return many_fields(client)[PIECE_BYTES * step : PIECE_BYTES * (step + 1)]


@pytest.mark.parametrize("piece", [slow_set_up, half_of_a_set_up, short_fields, short_fields_slowly])
def test_a_hundreds_of_slow_or_unfinished_writers_stay_within_memory_and_harm_no_one(piece) -> None:  # type: ignore[no-untyped-def]
    # Guards against picture (a): such clients took a process over its memory limit.
    def play(loop: Loop) -> None:
        with whole_gateway(loop) as (harness, _):
            address = endpoint(harness.listen).address
            until, peak = time.monotonic() + FLOOD_S, 0.0
            usual = UsualViewer(harness)
            usual_task = loop.spawn(usual.run, until)
            clients = [connect_and_send(address, piece(number, 0)) for number in range(BAD_CLIENTS)]
            steps = [1] * BAD_CLIENTS
            while time.monotonic() < until:
                for number, client in enumerate(clients):
                    if number % TURN == 0:
                        loop.sleep(0.001)
                    data = piece(number, steps[number])
                    steps[number] += 1
                    try:
                        if is_closed(client):
                            raise ConnectionResetError
                        client.send(data)
                    except BlockingIOError:
                        pass
                    except OSError:
                        client.close()
                        clients[number], steps[number] = connect_and_send(address, piece(number, 0)), 1
                peak = max(peak, private_mb(harness.process.pid))
                loop.sleep(0.05)
            usual_task.wait()
            for client in clients:
                client.close()
            assert peak < MEMORY_MB, peak
            usual.judge()

    run_on_loop(play)


def options(number: int) -> bytes:
    return rtsp.request("OPTIONS", "rtsp://media/ping", "3", session_id(number))


def unknown_teardown(number: int) -> bytes:
    return rtsp.request("TEARDOWN", "rtsp://media/over", "2", session_id(0x5000 + number))


def unknown_class(number: int) -> bytes:
    fields = [("X-Tier", f"none{number}"), ("X-Deadline", "3000"), FIELDS[2]]
    return rtsp.request("SETUP", f"rtsp://media/t{number}", "1", session_id(0x5000 + number), fields)


def new_title(number: int) -> bytes:
    return rtsp.request("SETUP", f"rtsp://media/t{number}", "1", session_id(0x5000 + number), FIELDS, b"x")


@pytest.mark.parametrize("request_of", [options, unknown_teardown, unknown_class, new_title])
@pytest.mark.parametrize("reads", [True, False])
def test_b_one_client_at_full_speed_delays_no_other_and_takes_no_memory(request_of, reads: bool) -> None:  # type: ignore[no-untyped-def]
    # Guards against picture (b): one connection took whole turns, or memory grew with each new name.
    def play(loop: Loop) -> None:
        with whole_gateway(loop) as (harness, _):
            until, peak = time.monotonic() + FLOOD_S, 0.0
            usual = UsualViewer(harness)
            usual_task = loop.spawn(usual.run, until)
            address, number = endpoint(harness.listen).address, 0
            client = connect_and_send(address, b"")
            unsent = b""
            while time.monotonic() < until:
                if len(unsent) < 65536:
                    unsent += b"".join(request_of(number + each) for each in range(200))
                    number += 200
                try:
                    unsent = unsent[client.send(unsent) :]
                    if reads and is_closed(client):
                        raise ConnectionResetError
                except BlockingIOError:
                    if reads:
                        is_closed(client)
                except OSError:
                    client.close()
                    client, unsent = connect_and_send(address, b""), b""
                peak = max(peak, private_mb(harness.process.pid))
                loop.sleep(0.002)
            usual_task.wait()
            client.close()
            assert peak < MEMORY_MB, peak
            usual.judge()

    run_on_loop(play)


@pytest.mark.parametrize("end", ["close", "reset", "half close"])
@pytest.mark.parametrize("count", [50, 400])
def test_c_requests_that_are_unread_when_their_client_ends_are_not_sent_on(end: str, count: int) -> None:
    # Guards against picture (c): what a client that had gone left unread was sent on.
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=4) as (harness, viewer):
            client = harness.connect()
            client.stream.send(b"".join(set_up_bytes(0x7000 + number) for number in range(count)))
            if end == "reset":
                client.stream.reset()
            elif end == "close":
                client.stream.close()
            else:
                client.stream.sock.shutdown(socket.SHUT_WR)
            loop.sleep(SENT_AFTER_CLOSE_S + 0.15)
            sent = len([entry for entry in harness.log if entry[0] == "start"])
            loop.sleep(1.5)
            assert len([entry for entry in harness.log if entry[0] == "start"]) == sent, "none is sent later"
            playing = [tag for host in harness.hosts for tag, out in host.in_flight().items() if out]
            assert not playing, "what had been sent before the end is ended"
            viewer.set_up(1)
            assert viewer.answer()[0] == "200"

    run_on_loop(play)


@pytest.mark.parametrize("end", ["close", "reset", "half close"])
@pytest.mark.parametrize("pause", [0.0, 0.02, 0.2])
def test_c_an_id_that_comes_again_after_its_client_left_runs_once_at_a_time(end: str, pause: float) -> None:
    # Guards against picture (c): an id ran twice when it came again after its client had left.
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=3) as (harness, viewer):
            for host in harness.hosts:
                host.answer = lambda tag: None
            first = harness.connect()
            first.set_up(1)
            harness.until(lambda: setups_sent(harness, 1))
            if end == "reset":
                first.stream.reset()
            elif end == "close":
                first.stream.close()
            else:
                first.stream.sock.shutdown(socket.SHUT_WR)
            loop.sleep(pause)
            for host in harness.hosts:
                host.answer = lambda tag: hostline.encode("STARTED", tag, {}, None, BLOB)
            viewer.stream.send(set_up_bytes(1))
            status = viewer.answer()[0]
            loop.sleep(1.0)
            out = 0
            for event, tag, *_ in harness.log:
                if tag == session_id(1) and event in ("start", "end"):
                    out = out + 1 if event == "start" else max(0, out - 1)
                    assert out <= 1, harness.log
            assert status in ("200", "400") and out == (status == "200"), harness.log

    run_on_loop(play)


@pytest.mark.parametrize("told", ["at once", "late"])
def test_d_viewings_at_a_host_replaced_at_its_address_are_released_and_ids_stay_apart(told: str) -> None:
    # Guards against picture (d): a new process at the address of one that has gone was taken for the old one.
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=2) as (harness, viewer):
            feed = harness.until(lambda: harness.feeds)[0]
            old, other = harness.hosts
            feed.send(harness.host_event(2, (other, "draining")))
            loop.sleep(0.2)
            for number in range(1, 4):
                viewer.set_up(number)
                assert viewer.answer()[0] == "200"
            members = harness.members((old, "gone")) + harness.members((old, "ready"))
            members[1] = {**members[1], "id": "s-9", "up_since_ms": int(time.time() * 1000)}
            event = {"pos": 3, "hosts": {"revision": 3, "complete": False, "members": members}}
            old.reset()  # the old process ended, and a new one listens at its address
            if told == "late":
                loop.sleep(1.5)
            feed.send(f"id: 3\ndata: {json.dumps(event)}\n\n".encode())
            released: set[str] = set()
            while len(released) < 3:
                method, _, fields, _ = viewer.next(within=8.05)
                assert method == "TEARDOWN"
                released.add(fields["session"])
            assert released == {session_id(number) for number in range(1, 4)}
            viewer.set_up(9)
            while (message := viewer.next())[0]:
                pass
            assert message[1] == "200" and setups_sent(harness, 9) == [old.name]

    run_on_loop(play)


def test_d_viewings_that_begin_as_their_host_is_told_as_replaced_are_released() -> None:
    # Guards against picture (d), review case 9: the list tells of the new process while set-ups are out.
    def play(loop: Loop) -> None:
        with running_gateway(loop, hosts=4) as (harness, viewer):
            host = replace_media_host(harness)
            host.setup_time = 0.3
            for number in range(1, 4):
                viewer.set_up(number, ONLY_FIRST_HOST)
            loop.sleep(0.1)
            members = harness.members((host, "gone")) + harness.members((host, "ready"))
            members[1] = {**members[1], "id": "s-9", "up_since_ms": int(time.time() * 1000) - 500}
            event = {"pos": 3, "hosts": {"revision": 3, "complete": False, "members": members}}
            harness.feeds[-1].send(f"id: 3\ndata: {json.dumps(event)}\n\n".encode())
            answers = [viewer.answer() for _ in range(3)]
            owed = {tag for status, tag, _ in answers if status == "200"}
            assert owed, answers
            for stream in list(host.streams):
                host.cut(stream, reset=True)
            loop.sleep(0.5)
            viewer.set_up(9, ONLY_FIRST_HOST)
            loop.sleep(1.0)
            for tag in list(host.sessions):
                host.end(tag)
            until = time.monotonic() + RELEASED_WITHIN_S
            while owed and time.monotonic() < until:
                with suppress(TimedOut):
                    method, _, fields, _ = viewer.next(within=max(0.01, until - time.monotonic()))
                    if method == "TEARDOWN":
                        owed.discard(fields["session"])
            assert not owed, "these play on for their viewers"

    run_on_loop(play)
