"""Tasks on greenlets, one poll, one heap of timers.

A task that must wait parks: it says how to undo the wait and switches to the hub (the greenlet that called
`Loop.run`). Whoever has news wakes it, once for each time it parks. A cancellation or a deadline that passes
undoes the wait and raises in the task; one that comes while the task is ready to run is raised when it next
parks. A task owns the tasks it spawns: when it ends, however it ends, they are cancelled.
"""

import os
import select
import signal
import sys
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import greenlet

from ledgehitch.loop.lag import Lag
from ledgehitch.loop.timers import Timer, Timers

LONGEST_POLL = 0.25  # seconds: the loop looks at the clock at least so often, to notice that it stood still
AT_ONCE = 0.001  # seconds: a poll that takes less found what had come before it
STOOD_STILL = 0.05  # seconds that a poll may take longer than asked before the process counts as stopped
IN = select.POLLIN | select.POLLHUP | select.POLLERR | select.POLLNVAL
OUT = select.POLLOUT | select.POLLHUP | select.POLLERR | select.POLLNVAL


class Cancelled(BaseException):
    """Raised in a task that is cancelled; a task that swallows it is cancelled again when it next waits."""


class TimedOut(Exception):
    """A deadline passed."""


class TaskCancelled(Exception):
    """The task that was waited for had been cancelled."""


class _DeadlineHit(BaseException):
    def __init__(self, scope: object) -> None:
        self.scope = scope


class Task:
    """One greenlet with a name, an owner and what it owns. `wait()` gives its result or raises its error."""

    __slots__ = (
        "loop",
        "name",
        "owner",
        "owned",
        "let",
        "parked",
        "undo",
        "news",
        "interrupts",
        "cancelled",
        "done",
        "result",
        "error",
        "ended",
        "steps",
    )

    def __init__(self, loop: "Loop", name: str, owner: "Task | None", call: Callable[..., Any]) -> None:
        self.loop, self.name, self.owner = loop, name, owner
        self.owned: dict[Task, None] = {}
        self.let = greenlet.greenlet(call, loop.hub)
        self.parked = False
        self.undo: Callable[[], None] | None = None
        self.news: tuple[Any, BaseException | None] = (None, None)
        self.interrupts: list[BaseException] = []
        self.cancelled = self.done = False
        self.result: Any = None
        self.error: BaseException | None = None
        self.ended: Event | None = None
        self.steps = 0  # calls in a row that did not have to wait

    def cancel(self) -> None:
        if not self.done and not self.cancelled:
            self.cancelled = True
            self.loop.interrupt(self, Cancelled())

    def wait(self) -> Any:
        if not self.done:
            self.ended = self.ended or Event(self.loop)
            self.ended.wait()
        if isinstance(self.error, Cancelled):
            raise TaskCancelled(self.name)
        if self.error is not None:
            raise self.error
        return self.result


class Loop:
    """The scheduler. `run(call)` runs a first task and all it spawns, and gives its result."""

    def __init__(self, report: Callable[[str, BaseException], None] | None = None) -> None:
        self.report = report or _to_stderr
        self.hub = greenlet.getcurrent()
        self.current: Task | None = None
        self.timers = Timers()
        self.lag = Lag()
        self.poll = select.poll()
        self.masks: dict[int, int] = {}
        self.readers: dict[int, Callable[[], None]] = {}
        self.writers: dict[int, Callable[[], None]] = {}
        self.ready: deque[Task] = deque()
        self.soon: deque[Callable[[], None]] = deque()
        self.tasks: dict[Task, None] = {}
        self.failed = 0
        self.stood_still = 0  # how often the process was found to have been stopped
        self.now = time.monotonic()
        self.seen_from = self.polled = self.now  # what is read now arrived no earlier than the first
        self.first: Task | None = None

    # ---- tasks ---------------------------------------------------------------------------------------------

    def spawn(self, call: Callable[..., Any], *args: Any, name: str = "", owner: Task | None = None) -> Task:
        """A task owned by `owner`, or by the task that spawns it."""
        owner = owner or self.current or self.first
        task = Task(
            self, name or getattr(call, "__name__", "task"), owner, lambda: self._life(task, call, args)
        )
        if owner is not None:
            owner.owned[task] = None
        self.tasks[task] = None
        self.ready.append(task)
        return task

    def _life(self, task: Task, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        try:
            # One that is cancelled before its start still runs up to its first wait, so that what it must
            # tidy up it does.
            task.result = call(*args)
        except (Cancelled, greenlet.GreenletExit) as end:
            task.error = end
        except _DeadlineHit:
            task.error = TimedOut()
        except BaseException as error:
            task.error = error
            self.failed += 1
            self.report(task.name, error)
        task.done = True
        for child in list(task.owned):
            child.cancel()
            # What a child still owns or cleans up belongs to the owner's owner from now on, so none is lost.
            child.owner = task.owner
            if task.owner is not None and not task.owner.done:
                task.owner.owned[child] = None
        task.owned.clear()
        if task.owner is not None:
            task.owner.owned.pop(task, None)
        self.tasks.pop(task, None)
        if task.ended is not None:
            task.ended.set()

    def park(self, undo: Callable[[], None] | None = None) -> Any:
        """Waits until somebody wakes this task; `undo` withdraws the wait when it is interrupted instead."""
        task = self.current
        if task is None:
            raise RuntimeError("only a task can wait")
        if not task.interrupts and task.cancelled:
            task.interrupts.append(Cancelled())
        if task.interrupts:
            if undo is not None:
                undo()
            raise task.interrupts.pop(0)
        task.parked, task.undo, task.steps = True, undo, 0
        self.hub.switch()
        value, error = task.news
        task.news = (None, None)
        if error is not None:
            raise error
        return value

    def wake(self, task: Task, value: Any = None, error: BaseException | None = None) -> bool:
        """Whether the task was waiting; it runs in the loop's next turn."""
        if not task.parked:
            return False
        task.parked, task.undo, task.news = False, None, (value, error)
        self.ready.append(task)
        return True

    def interrupt(self, task: Task, error: BaseException) -> None:
        if task.parked:
            undo = task.undo
            self.wake(task, error=error)
            if undo is not None:
                undo()
        else:
            task.interrupts.append(error)

    def sleep(self, seconds: float) -> None:
        task = self.current
        assert task is not None
        timer = self.timers.set(time.monotonic() + seconds, lambda: void(self.wake(task)))
        self.park(lambda: self.timers.cancel(timer))

    def breathe(self, after: int = 16) -> None:
        """Lets others run when this task has done so many steps in a row without waiting."""
        task = self.current
        if task is None:
            return
        task.steps += 1
        if task.steps >= after:
            self.ready.append(task)
            task.parked = False
            task.steps = 0
            self.hub.switch()
            if task.interrupts:
                raise task.interrupts.pop(0)

    def deadline(self, seconds: float) -> "Deadline":
        """Raises `TimedOut` where the task waits when the time has passed; nested ones each keep theirs."""
        return Deadline(self, seconds)

    def call_at(self, at: float, call: Callable[[], None]) -> Timer:
        """Runs a short call that must not wait, at a time of `time.monotonic()`."""
        return self.timers.set(at, call)

    def call_soon(self, call: Callable[[], None]) -> None:
        """Runs a short call that must not wait when all that is ready now has run."""
        self.soon.append(call)

    # ---- descriptors ---------------------------------------------------------------------------------------

    def on_readable(self, fd: int, call: Callable[[], None] | None) -> None:
        """Calls once when `fd` can be read, has ended or failed; None withdraws it."""
        self._watch(fd, self.readers, call, select.POLLIN)

    def on_writable(self, fd: int, call: Callable[[], None] | None) -> None:
        self._watch(fd, self.writers, call, select.POLLOUT)

    def _watch(
        self, fd: int, who: dict[int, Callable[[], None]], call: Callable[[], None] | None, bit: int
    ) -> None:
        if call is None:
            who.pop(fd, None)  # the mask is taken back only if the descriptor turns out to be ready
            return
        if fd in who:
            raise RuntimeError(f"descriptor {fd} is waited for twice")
        who[fd] = call
        mask = self.masks.get(fd, 0)
        if not mask & bit:
            self.masks[fd] = mask | bit
            self.poll.register(fd, mask | bit)

    def forget(self, fd: int) -> None:
        """Before a descriptor is closed; whoever waits for it is woken to find it closed."""
        if self.masks.pop(fd, None) is not None:
            self.poll.unregister(fd)
        for who in (self.readers, self.writers):
            call = who.pop(fd, None)
            if call is not None:
                call()

    def wait_readable(self, fd: int) -> None:
        task = self.current
        assert task is not None
        self.on_readable(fd, lambda: void(self.wake(task)))
        self.park(lambda: self.on_readable(fd, None))

    def wait_writable(self, fd: int) -> None:
        task = self.current
        assert task is not None
        self.on_writable(fd, lambda: void(self.wake(task)))
        self.park(lambda: self.on_writable(fd, None))

    # ---- the turn ------------------------------------------------------------------------------------------

    def run(self, call: Callable[..., Any], *args: Any) -> Any:
        """Runs `call` as the first task; ends when it has, and when all that it left has been cancelled."""
        self.hub = greenlet.getcurrent()
        first = self.first = self.spawn(call, *args, name="main")
        while not first.done or self.tasks:
            if first.done:
                for task in list(self.tasks):
                    task.cancel()
            self.turn()
        self.first = None
        if first.error is not None and not isinstance(first.error, Cancelled):
            raise first.error
        return first.result

    def turn(self) -> None:
        """One turn: what is ready, what is due, then the poll. None of the three can starve the others."""
        for _ in range(len(self.ready)):
            task = self.ready.popleft()
            self.current = task
            task.let.switch()
            self.current = None
        for _ in range(len(self.soon)):
            self._run(self.soon.popleft())
        self.now = time.monotonic()
        for at, call in self.timers.due(self.now):
            self.lag.add(self.now - at)
            self._run(call)
        timeout = LONGEST_POLL
        if self.ready or self.soon:
            timeout = 0.0
        elif (at_next := self.timers.next_at()) is not None:
            timeout = min(timeout, max(0.0, at_next - time.monotonic()))
        entered = time.monotonic()
        events = self.poll.poll(timeout * 1000)
        before, self.now = self.polled, time.monotonic()
        self.polled = self.now
        # Guards against a process that was stopped: what it finds now may have waited since it went to poll;
        # and against a long turn: what is there at once may have waited since the poll before.
        still = self.now - entered > timeout + STOOD_STILL
        self.stood_still += still
        self.seen_from = entered if still else before if self.now - entered < AT_ONCE else self.now
        for fd, mask in events:
            self._dispatch(fd, mask)

    def _run(self, call: Callable[[], None]) -> None:
        try:
            call()
        except Exception as error:  # a fault in one call must not end the tasks of all
            self.failed += 1
            self.report(getattr(call, "__qualname__", "call"), error)

    def _dispatch(self, fd: int, mask: int) -> None:
        known = self.masks.get(fd, 0)
        for who, bits, bit in ((self.readers, IN, select.POLLIN), (self.writers, OUT, select.POLLOUT)):
            if not known & bit or not mask & bits:
                continue
            call = who.pop(fd, None)
            if call is not None:
                call()
            elif self.masks.get(fd, 0) & bit:
                # Nobody waits for it: off the poll until somebody does, or a full buffer would spin the loop.
                left = self.masks[fd] & ~bit
                if left:
                    self.masks[fd] = left
                    self.poll.modify(fd, left)
                else:
                    del self.masks[fd]
                    self.poll.unregister(fd)

    # ---- signals -------------------------------------------------------------------------------------------

    def on_signals(self, numbers: list[int], call: Callable[[int], None]) -> Callable[[], None]:
        """Calls from the loop, never from the handler; gives back what restores the old handlers."""
        # A pipe: guards against places where a process may have sockets of TCP and UDP only.
        ours, theirs = os.pipe()
        for end in (ours, theirs):
            os.set_blocking(end, False)
        before_fd = signal.set_wakeup_fd(theirs, warn_on_full_buffer=False)
        before = {n: signal.signal(n, lambda *_: None) for n in numbers}
        over = False

        def read() -> None:
            if over:
                return
            try:
                got = os.read(ours, 4096)
            except BlockingIOError:
                got = b""
            self.on_readable(ours, read)
            for number in got:
                if number in before:
                    call(number)

        def restore() -> None:
            nonlocal over
            if over:
                return
            over = True
            signal.set_wakeup_fd(before_fd)
            for n, handler in before.items():
                signal.signal(n, handler)
            self.forget(ours)
            os.close(ours)
            os.close(theirs)

        self.on_readable(ours, read)
        return restore


class Deadline:
    """The scope of `Loop.deadline`: a plain class, since nearly every wait of the program has one."""

    __slots__ = ("loop", "at", "task", "timer")

    def __init__(self, loop: Loop, seconds: float) -> None:
        self.loop, self.at = loop, time.monotonic() + seconds

    def __enter__(self) -> None:
        task = self.loop.current
        assert task is not None
        self.task = task
        self.timer = self.loop.timers.set(self.at, self._pass)

    def _pass(self) -> None:
        self.loop.interrupt(self.task, _DeadlineHit(self))

    def __exit__(self, kind: type[BaseException] | None, error: BaseException | None, _: object) -> None:
        self.loop.timers.cancel(self.timer)
        interrupts = self.task.interrupts
        if interrupts:
            self.task.interrupts = [
                e for e in interrupts if not (isinstance(e, _DeadlineHit) and e.scope is self)
            ]
        if isinstance(error, _DeadlineHit) and error.scope is self:
            raise TimedOut() from None


class Event:
    """Set once; who waits is woken, who comes later does not wait."""

    __slots__ = ("loop", "waiters", "value", "is_set")

    def __init__(self, loop: Loop) -> None:
        self.loop, self.is_set = loop, False
        self.waiters: dict[Task, None] = {}
        self.value: Any = None

    def set(self, value: Any = None) -> None:
        if self.is_set:
            return
        self.is_set, self.value = True, value
        for task in self.waiters:
            self.loop.wake(task)
        self.waiters.clear()

    def wait(self) -> Any:
        if not self.is_set:
            task = self.loop.current
            assert task is not None
            self.waiters[task] = None
            self.loop.park(lambda: void(self.waiters.pop(task, None)))
        return self.value


def void(_: object) -> None:
    """For calls whose value is of no use."""


def _to_stderr(name: str, error: BaseException) -> None:
    print(f"task {name} failed: {type(error).__name__}: {error}", file=sys.stderr)
