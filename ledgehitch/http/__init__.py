"""HTTP/1.1 over the loop: a server, a client with pools of connections, event streams, problem documents.

It never knows what a path means, and never sends a request twice: what may be repeated is decided above.
Start reading at `message.py`; `parse.py` and `events.py` are free of I/O.
"""

from typing import TYPE_CHECKING, Any

from ledgehitch.http.client import Client, ConnectFailed, Interrupted
from ledgehitch.http.events import Feed, event, events_from
from ledgehitch.http.message import NoAnswer, Refused, Request, Response, problem

if TYPE_CHECKING:
    from ledgehitch.http.server import Limits, Server

__all__ = [
    "Client",
    "ConnectFailed",
    "Feed",
    "Interrupted",
    "Limits",
    "NoAnswer",
    "Refused",
    "Request",
    "Response",
    "Server",
    "event",
    "events_from",
    "problem",
]


def __getattr__(name: str) -> Any:
    """The server is loaded where it is used, TLS with it: the platform's gateway has no room."""
    if name in ("Limits", "Server"):
        from ledgehitch.http import server

        return getattr(server, name)
    raise AttributeError(name)
