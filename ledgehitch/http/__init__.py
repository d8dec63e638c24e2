"""HTTP/1.1 on the event loop: a server, a client with connection pools, event streams, problem documents.

It does not interpret paths and never retries a request: the caller decides what may be repeated. Start
reading at `message.py`; `parse.py` and `events.py` are free of I/O.
"""

from typing import TYPE_CHECKING, Any

from ledgehitch.http.client import Client, ConnectFailed, ConnectTimedOut, Interrupted
from ledgehitch.http.events import Feed, encode_event, parse_events
from ledgehitch.http.message import NoAnswer, Refused, Request, Response, problem

if TYPE_CHECKING:
    from ledgehitch.http.server import Limits, Server

__all__ = [
    "Client",
    "ConnectFailed",
    "ConnectTimedOut",
    "Feed",
    "Interrupted",
    "Limits",
    "NoAnswer",
    "Refused",
    "Request",
    "Response",
    "Server",
    "encode_event",
    "parse_events",
    "problem",
]


def __getattr__(name: str) -> Any:
    """Loads the server, and TLS with it, on first use, to save memory in the platform's gateway."""
    if name in ("Limits", "Server"):
        from ledgehitch.http import server

        return getattr(server, name)
    raise AttributeError(name)
