"""A journal service that is slow: a gateway process hears of a drain as soon as the service tells of it."""

import random
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from ledgehitch.loop import Listener, Loop, Stream, endpoint
from ledgehitch.platform.journal_calls import (
    MAX_CALLS,
    MAX_SILENCE_S,
    SILENCE_TIMEOUT_S,
    Decision,
    EndCall,
    JournalCalls,
    StartCall,
)
from tests.test_crossings import run_on_loop, setups_sent
from tests.test_platform_sockets import Harness

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
COMMENT = b":\n\n"
PIECES = 8  # of what comes in pieces
HUNG_S = 3600.0
TOLERANCE_S = 0.5  # of the times at which a busy machine tells and sets up


@dataclass(frozen=True)
class SlowService:
    """Seconds that a call takes to its head, from there to its event, and for each of them in pieces."""

    head_after: Callable[[int], float] = lambda call: 0.0  # by number of the call, from 0
    event_after: float = 0.0
    head_in_pieces_for: float = 0.0
    event_in_pieces_for: float = 0.0
    comments_every: float = 1.0

    @property
    def told_after(self) -> float:
        """The seconds from a call that is not hung to its whole event."""
        heads = [self.head_after(call) for call in range(3)]
        waited = next(head + SILENCE_TIMEOUT_S * call for call, head in enumerate(heads) if head < HUNG_S)
        return waited + self.event_after + self.head_in_pieces_for + self.event_in_pieces_for


class Journal:
    """Tells one event on each call, as slowly as its service is."""

    def __init__(self, loop: Loop, service: SlowService) -> None:
        self.loop, self.service, self.event = loop, service, b""
        self.called_at: list[float] = []
        self.told_at: float | None = None  # when the event was first sent whole to an open connection
        self.open = self.most_open = 0
        self.listener = Listener(loop, endpoint("127.0.0.1:0"))
        self.at = self.listener.at
        loop.spawn(self._serve)

    def _serve(self) -> None:
        while True:
            self.loop.spawn(self._answer, self.listener.accept())

    def _answer(self, stream: Stream) -> None:
        call, service = len(self.called_at), self.service
        self.called_at.append(time.monotonic())
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            stream.receive()
            self._wait(stream, service.head_after(call))
            self._send(stream, HEAD, service.head_in_pieces_for)
            self._wait(stream, service.event_after)
            self._send(stream, self.event, service.event_in_pieces_for)
            self.told_at = self.told_at or time.monotonic()
            while True:
                stream.send(COMMENT)
                self._wait(stream, service.comments_every)
        except OSError:
            pass
        finally:
            self.open -= 1
            stream.close()

    def _wait(self, stream: Stream, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.loop.sleep(min(0.05, seconds))
            if stream.peer_closed():
                raise ConnectionResetError("the gateway ended the call")

    def _send(self, stream: Stream, data: bytes, seconds: float) -> None:
        size = -(-len(data) // PIECES) if seconds else len(data)
        for start in range(0, len(data), size):
            stream.send(data[start : start + size])
            self._wait(stream, seconds / PIECES)


@pytest.mark.parametrize(
    "service",
    [
        pytest.param(SlowService(lambda call: 2.0), id="each head after 2 s"),
        pytest.param(SlowService(lambda call: 3.6), id="each head after 3.6 s"),
        pytest.param(SlowService(lambda call: 7.5), id="each head after 7.5 s"),
        pytest.param(SlowService(lambda call: 2.5 if call else HUNG_S), id="a hung call, then 2.5 s"),
        pytest.param(SlowService(lambda call: HUNG_S if call < 2 else 0.0), id="two hung calls"),
        pytest.param(SlowService(head_in_pieces_for=4.0), id="head in pieces"),
        pytest.param(SlowService(event_in_pieces_for=5.0), id="event in pieces"),
        pytest.param(SlowService(event_after=2.4, comments_every=2.4), id="each line after 2.4 s"),
    ],
)
def test_a_drain_is_heard_when_a_slow_journal_service_tells_of_it(service: SlowService) -> None:
    # Guards against review case 8: each call ended before its answer, and the next began from nothing.
    def play(loop: Loop) -> None:
        with tempfile.TemporaryDirectory() as folder:
            harness = Harness(loop, 2, Path(folder), {}, start=False)
            journal = Journal(loop, service)
            journal.event = harness.host_event(2, (harness.hosts[0], "draining"))
            harness.journal.close()
            harness.journal = journal  # type: ignore[assignment]
            harness.write_config()
            harness.start()
            try:
                harness.wait_ready()
                harness.until(lambda: journal.told_at, service.told_after + 2 * TOLERANCE_S)
                assert journal.told_at is not None
                assert journal.told_at - journal.called_at[0] < service.told_after + TOLERANCE_S
                loop.sleep(0.1)
                viewer = harness.connect()
                statuses = []
                for number in range(1, 9):
                    viewer.set_up(number)
                    statuses.append(viewer.answer()[0])
                    assert harness.hosts[0].name not in setups_sent(harness, number)
                assert "200" in statuses, "the other media host serves"
                # It is followed from now on: further calls only where its comments come late.
                calls = len(journal.called_at)
                loop.sleep(2.0)
                assert journal.open >= 1 and journal.most_open <= MAX_CALLS + 1
                assert service.comments_every > SILENCE_TIMEOUT_S or len(journal.called_at) == calls
                assert harness.process.poll() is None and "failed:" not in harness.errors.read_text()
            finally:
                harness.process.kill()
                harness.process.wait()

    run_on_loop(play)


def decisions(calls: JournalCalls, now: float) -> list[Decision]:
    found = []
    while (decision := calls.decide(now)) is not None:
        found.append(decision)
    return found


@pytest.mark.parametrize("seed", range(20))
def test_any_silence_has_few_open_calls_and_keeps_the_one_that_waited_longest(seed: int) -> None:
    draw = random.Random(seed)
    calls, now, open_calls = JournalCalls(0.0, draw.random), 0.0, []
    while now < MAX_SILENCE_S - 0.1:
        for decision in decisions(calls, now):
            if isinstance(decision, StartCall):
                open_calls.append(decision.number)
            else:
                open_calls.remove(decision.number)
        assert open_calls[0] == 1 and len(open_calls) <= MAX_CALLS
        now = min(calls.wake_at(), now + draw.uniform(0.01, 3.0))
        if len(open_calls) == MAX_CALLS and draw.random() < 0.3:
            calls.on_ended(now, open_calls.pop(), False, True)


def test_the_newest_call_that_brings_a_line_replaces_the_silent_ones_before_it() -> None:
    calls = JournalCalls(0.0, lambda: 0.0)
    assert decisions(calls, 0.0) == [StartCall(1, 0.5)] and calls.wake_at() == SILENCE_TIMEOUT_S
    assert decisions(calls, SILENCE_TIMEOUT_S) == [StartCall(2, 0.5)]
    calls.on_data(2.0, 2, True)
    assert decisions(calls, 2.0) == [EndCall(1)] and calls.wake_at() == 2.0 + SILENCE_TIMEOUT_S
    calls.on_data(2.1, 1, True)
    calls.on_ended(2.1, 1, False, True)
    assert not decisions(calls, 2.1), "a call that was ended here says nothing any more"


def test_a_call_that_makes_progress_within_an_event_stays_beside_a_newer_one() -> None:
    calls = JournalCalls(0.0, lambda: 0.0)
    assert len(decisions(calls, 0.0)) == 1
    for tenth in range(1, 16):
        calls.on_data(tenth / 10, 1, False)
    assert decisions(calls, SILENCE_TIMEOUT_S) == [StartCall(2, 0.5)], "bytes alone are no sign of life"
    calls.on_data(1.8, 2, True)
    assert not decisions(calls, 1.8)
    calls.on_data(1.8 + SILENCE_TIMEOUT_S, 2, True)
    assert decisions(calls, 1.8 + SILENCE_TIMEOUT_S) == [EndCall(1)]


def test_a_connection_that_takes_long_has_longer_at_the_next_call() -> None:
    calls, now, limits = JournalCalls(0.0, lambda: 0.0), 0.0, []
    for _ in range(6):
        [started] = decisions(calls, now)
        assert isinstance(started, StartCall)
        limits.append(started.connect_timeout)
        calls.on_ended(now, started.number, False, False)
        now = calls.wake_at()
    assert limits == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
