"""HTTP/1.1 over the loop: a server, a client with pools of connections, event streams, problem documents.

It never knows what a path means, and never sends a request twice: what may be repeated is decided above.
Start reading at `message.py`; `parse.py` and `events.py` are free of I/O.
"""

from ledgehitch.http.client import Client, ConnectFailed, Interrupted
from ledgehitch.http.events import Feed, event, events_from
from ledgehitch.http.message import NoAnswer, Refused, Request, Response, problem
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
