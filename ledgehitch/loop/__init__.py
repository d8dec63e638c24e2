"""The scheduler: greenlets over `select.poll`, with owned tasks, deadlines, timers, sockets and children.

It never runs a thread, never knows what the bytes mean, and never loses a task that failed.
Start reading at `kernel.py`; `timers.py` and `lag.py` are free of I/O.
"""

from typing import TYPE_CHECKING, Any

from ledgehitch.loop.channel import Channel, Closed
from ledgehitch.loop.kernel import Cancelled, Event, Loop, Task, TimedOut
from ledgehitch.loop.sockets import Datagrams, Endpoint, Listener, Stream, connect, endpoint

if TYPE_CHECKING:
    from ledgehitch.loop.children import Child, forked
    from ledgehitch.loop.tls import AnyStream, TlsStream

__all__ = [
    "AnyStream",
    "TlsStream",
    "forked",
    "Cancelled",
    "Channel",
    "Child",
    "Closed",
    "Datagrams",
    "Endpoint",
    "Event",
    "Listener",
    "Loop",
    "Stream",
    "Task",
    "TimedOut",
    "connect",
    "endpoint",
]


def __getattr__(name: str) -> Any:
    """TLS and children are loaded where they are used: a gateway on a small machine has no room for them."""
    if name in ("Child", "forked"):
        from ledgehitch.loop import children

        return getattr(children, name)
    if name in ("AnyStream", "TlsStream"):
        from ledgehitch.loop import tls

        return getattr(tls, name)
    raise AttributeError(name)
