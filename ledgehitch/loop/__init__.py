"""The event loop: greenlets over `select.poll`, with owned tasks, deadlines, timers, sockets, processes.

Starts no threads, does not interpret the bytes of a stream, and reports each task that fails. Start reading
at `kernel.py`; `timers.py` and `lag.py` are free of I/O.
"""

from typing import TYPE_CHECKING, Any

from ledgehitch.loop.channel import Channel, Closed
from ledgehitch.loop.kernel import Cancelled, Event, Loop, Task, TimedOut
from ledgehitch.loop.sockets import Datagrams, Endpoint, Listener, Stream, connect, endpoint

if TYPE_CHECKING:
    from ledgehitch.loop.children import Child, run_forked
    from ledgehitch.loop.tls import AnyStream, TlsStream

__all__ = [
    "AnyStream",
    "TlsStream",
    "run_forked",
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
    """Loads TLS and child processes on first use, to save memory in gateways on small machines."""
    if name in ("Child", "run_forked"):
        from ledgehitch.loop import children

        return getattr(children, name)
    if name in ("AnyStream", "TlsStream"):
        from ledgehitch.loop import tls

        return getattr(tls, name)
    raise AttributeError(name)
