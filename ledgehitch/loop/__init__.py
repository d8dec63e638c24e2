"""The scheduler: greenlets over `select.poll`, with owned tasks, deadlines, timers, sockets and children.

It never runs a thread, never knows what the bytes mean, and never loses a task that failed.
Start reading at `kernel.py`; `timers.py` and `lag.py` are free of I/O.
"""

from ledgehitch.loop.channel import Channel, Closed
from ledgehitch.loop.children import Child, forked
from ledgehitch.loop.kernel import Cancelled, Event, Loop, Task, TimedOut
from ledgehitch.loop.sockets import Datagrams, Endpoint, Listener, Stream, connect, endpoint
from ledgehitch.loop.tls import AnyStream, TlsStream

__all__ = [
    "AnyStream", "TlsStream", "forked",
    "Cancelled", "Channel", "Child", "Closed", "Datagrams", "Endpoint", "Event", "Listener", "Loop", "Stream",
    "Task", "TimedOut", "connect", "endpoint",
]  # fmt: skip
