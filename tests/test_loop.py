"""The scheduler: tasks, deadlines, timers, channels, sockets, signals and children."""

import gc
import os
import signal
import stat
import sys
import time
from typing import Any

import pytest

from ledgehitch.loop import (
    Channel,
    Child,
    Closed,
    Datagrams,
    Event,
    Listener,
    Loop,
    Stream,
    TimedOut,
    connect,
    endpoint,
    run_forked,
)
from ledgehitch.loop.kernel import TaskCancelled
from ledgehitch.loop.lag import Lag
from ledgehitch.loop.timers import Timers


def test_timers_run_in_order_and_forget_what_was_cancelled() -> None:
    timers, ran = Timers(), list[str]()
    timers.set(2.0, lambda: ran.append("late"))
    timers.set(1.0, lambda: ran.append("first"))
    timers.set(1.0, lambda: ran.append("second"))
    gone = [timers.set(0.5, lambda: ran.append("never")) for _ in range(200)]
    for timer in gone:
        timers.cancel(timer)
    assert timers.next_at() == 1.0 and len(timers) == 3
    for _, call in timers.pop_due(1.5):
        call()
    assert ran == ["first", "second"] and timers.next_at() == 2.0


def test_lag_is_told_by_bins_and_its_worst_once() -> None:
    lag = Lag()
    for late in [0.0005] * 98 + [0.03] * 2:
        lag.add(late)
    told = lag.take_figures()
    assert (told["lag_p50"], told["lag_p99"], told["lag_worst"]) == (0.001, 0.05, 0.03)
    assert lag.take_figures()["lag_worst"] == 0.0
    for _ in range(5000):
        lag.add(0.0)
    assert lag.total < 4096, "halved now and then"


def test_a_deadline_cancels_whatever_its_task_waits_in_and_nested_ones_keep_theirs() -> None:
    loop = Loop()

    def main() -> list[str]:
        seen = []
        channel: Channel[int] = Channel(loop, 1)
        with loop.deadline(5.0):
            try:
                with loop.deadline(0.02):
                    channel.take()
            except TimedOut:
                seen.append("inner")
        try:
            with loop.deadline(0.02), loop.deadline(5.0):
                Event(loop).wait()
        except TimedOut:
            seen.append("outer")
        channel.put(7)
        assert channel.take() == 7, "an interrupted wait takes nothing later"
        return seen

    assert loop.run(main) == ["inner", "outer"]
    assert len(loop.timers) == 0


def test_a_task_that_raises_is_reported_by_name_and_ends_what_it_owns() -> None:
    reports: list[tuple[str, str]] = []
    loop = Loop(lambda name, error: reports.append((name, str(error))))
    ended = []

    def child() -> None:
        try:
            loop.sleep(60)
        finally:
            ended.append("child")

    def parent() -> None:
        loop.spawn(child, name="child")
        loop.sleep(0.01)
        raise ValueError("broken")

    def main() -> None:
        task = loop.spawn(parent, name="parent")
        with pytest.raises(ValueError, match="broken"):
            task.wait()
        loop.sleep(0.01)
        assert ended == ["child"] and loop.failed == 1
        lone = loop.spawn(loop.sleep, 60, name="lone")
        loop.sleep(0)
        lone.cancel()
        with pytest.raises(TaskCancelled):
            lone.wait()

    loop.run(main)
    assert reports == [("parent", "broken")] and not loop.tasks


def test_a_task_cancelled_before_its_start_still_tidies_up() -> None:
    loop, seen = Loop(), list[str]()

    def tidy() -> None:
        try:
            loop.sleep(9)
        finally:
            seen.append("tidied")

    def main() -> None:
        loop.spawn(tidy).cancel()
        loop.sleep(0.01)

    loop.run(main)
    assert seen == ["tidied"]


def test_a_fault_in_a_timer_ends_nothing_else() -> None:
    reports: list[str] = []
    loop = Loop(lambda name, error: reports.append(str(error)))

    def boom() -> None:
        raise RuntimeError("in a timer")

    def main() -> str:
        loop.call_at(time.monotonic(), boom)
        loop.sleep(0.02)
        return "still here"

    assert loop.run(main) == "still here" and reports == ["in a timer"]


def test_a_busy_connection_starves_neither_timers_nor_others() -> None:
    loop = Loop()

    def main() -> None:
        listener = Listener(loop, endpoint("127.0.0.1:0"))
        over = Event(loop)

        def flood(stream: Stream) -> None:
            block = b"x" * 65536
            while not over.is_set:
                stream.send(block)

        def swallow() -> None:
            stream = listener.accept()
            while stream.receive():
                pass

        loop.spawn(swallow, name="swallow")
        sender = connect(loop, listener.at)
        loop.spawn(flood, sender, name="flood")
        ticks = 0
        for _ in range(20):
            loop.sleep(0.005)
            ticks += 1
        over.set()
        assert ticks == 20
        assert loop.lag.quantile(0.5) <= 0.05, "half of what was due ran within 50 ms beside the flood"
        sender.close()

    loop.run(main)


def test_channels_bound_what_is_on_its_way_and_wake_the_next_receiver() -> None:
    loop = Loop()

    def main() -> None:
        channel: Channel[int] = Channel(loop, 2)
        got: list[int] = []

        def take() -> None:
            try:
                while True:
                    got.append(channel.take())
            except Closed:
                pass

        assert channel.try_put(1) and channel.try_put(2) and not channel.try_put(3)
        first, second = loop.spawn(take), loop.spawn(take)
        for n in range(3, 9):
            channel.put(n)
        loop.sleep(0.01)
        first.cancel()
        channel.put(9)
        channel.close()
        second.wait()
        assert sorted(got) == list(range(1, 10))
        with pytest.raises(Closed):
            channel.put(1)

    loop.run(main)


@pytest.mark.parametrize("at", ["127.0.0.1:0", "[::1]:0", "unix"])
def test_streams_over_ipv4_ipv6_and_unix(at: str, tmp_path: Any) -> None:
    loop = Loop()
    where = f"unix:{tmp_path}/s" if at == "unix" else at

    def main() -> None:
        listener = Listener(loop, endpoint(where))

        def echo() -> None:
            stream = listener.accept()
            while data := stream.receive():
                stream.send(data)
            stream.close()

        loop.spawn(echo)
        client = connect(loop, listener.at)
        loop.spawn(client.send, b"hello" * 100000, name="send")
        got = b""
        while len(got) < 500000:
            got += client.receive()
        assert got == b"hello" * 100000 and client.is_idle() and not client.peer_closed()
        client.close()
        assert client.peer_closed() and client.receive() == b""

    loop.run(main)


def test_addresses_are_read_or_refused_in_words() -> None:
    assert str(endpoint("[::1]:80")) == "[::1]:80" and str(endpoint("unix:/a")) == "unix:/a"
    for bad in ("localhost", "127.0.0.1:", "1.2.3.4:99999"):
        with pytest.raises(ValueError, match="invalid address"):
            endpoint(bad)


def test_a_refused_connection_is_an_error_and_leaves_no_descriptor() -> None:
    loop = Loop()

    def main() -> None:
        listener = Listener(loop, endpoint("127.0.0.1:0"))
        at = listener.at
        listener.close()
        gc.collect()  # what earlier tests left to the collector must not be let go of in between
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(5):
            with pytest.raises(OSError, match="refused"):
                connect(loop, at)
        assert len(os.listdir("/proc/self/fd")) == before and not loop.masks

    loop.run(main)


def test_datagrams_and_a_reset_that_the_other_side_sees() -> None:
    loop = Loop()

    def main() -> None:
        a, b = Datagrams(loop, endpoint("127.0.0.1:0")), Datagrams(loop, endpoint("127.0.0.1:0"))
        assert a.send(b"word", b.at) and b.receive()[0] == b"word"
        listener = Listener(loop, endpoint("127.0.0.1:0"))
        client = connect(loop, listener.at)
        listener.accept().reset()
        with pytest.raises(ConnectionResetError):
            client.receive()
        assert client.peer_closed()

    loop.run(main)


def test_signals_come_from_the_loop_and_children_end_by_their_number() -> None:
    loop = Loop()

    def main() -> None:
        heard: list[int] = []
        restore = loop.on_signals([signal.SIGUSR1], heard.append)
        os.kill(os.getpid(), signal.SIGUSR1)
        loop.sleep(0.05)
        assert heard == [signal.SIGUSR1]
        restore()
        quick = Child(loop, [sys.executable, "-c", "raise SystemExit(3)"], "quick")
        assert quick.wait() == 3 and quick.wait() == 3
        stubborn = Child(
            loop,
            [
                sys.executable,
                "-c",
                "import signal,time; signal.signal(15, signal.SIG_IGN); print('up', flush=True); "
                "time.sleep(60)",
            ],
            "stubborn",
            stdout=-1,
        )
        assert stubborn.first_line() == b"up\n"
        assert stubborn.terminate(within=0.2) == -signal.SIGKILL

    loop.run(main)


def test_signals_take_no_socket_and_leave_no_descriptor() -> None:
    """Where a process may have sockets of TCP and UDP only, a pair of local sockets could be refused."""
    loop = Loop()

    def main() -> None:
        before = _open_now()
        restore = loop.on_signals([signal.SIGUSR1], lambda _: None)
        added = _open_now() - before
        assert len(added) == 2
        assert not [fd for fd in added if stat.S_ISSOCK(os.fstat(fd).st_mode)]
        restore()
        restore()
        assert not added & _open_now()

    loop.run(main)


def _open_now() -> set[int]:
    with os.scandir("/proc/self/fd") as listing:
        named = {int(entry.name) for entry in listing}
    return {fd for fd in named if os.path.lexists(f"/proc/self/fd/{fd}")}  # less the listing's own


def test_a_copy_of_the_process_works_while_the_loop_goes_on(tmp_path: Any) -> None:
    loop = Loop()

    def main() -> None:
        ticks = 0

        def tick() -> None:
            nonlocal ticks
            while True:
                loop.sleep(0.01)
                ticks += 1

        def slow() -> None:
            time.sleep(0.2)
            (tmp_path / "out").write_text("done")

        task = loop.spawn(tick)
        assert run_forked(loop, slow) == 0 and (tmp_path / "out").read_text() == "done"
        assert ticks >= 5, "others ran meanwhile"
        assert run_forked(loop, lambda: os._exit(7)) == 7
        task.cancel()

    loop.run(main)


def test_signals_arrive_where_the_caller_keeps_nothing_of_what_is_given_back() -> None:
    """Once the writing end was collected: the loop spun on the other one's end and heard no signal."""
    loop = Loop()
    heard: list[int] = []

    def main() -> None:
        loop.on_signals([signal.SIGUSR2], heard.append)
        gc.collect()
        loop.sleep(0.01)
        turns.clear()
        for _ in range(3):
            os.kill(os.getpid(), signal.SIGUSR2)
            loop.sleep(0.02)
        assert len(turns) < 50, "the loop spins"

    turn, turns = loop.turn, []
    loop.turn = lambda: (turns.append(1), turn())[1]  # type: ignore[method-assign, func-returns-value]
    was = {n: signal.getsignal(n) for n in (signal.SIGUSR2,)}
    try:
        loop.run(main)
    finally:
        signal.set_wakeup_fd(-1)
        for n, handler in was.items():
            signal.signal(n, handler)
    assert heard == [signal.SIGUSR2] * 3
