"""What a gateway is told at start and on SIGHUP: the platform's configuration, checked. Free of sockets.

What is missing or wrong raises `BadFact`, which names its key.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ledgehitch.facts import BadFact
from ledgehitch.interface import UNPLACED, Row

MOST = 1 << 40  # no machine has so many MB or descriptors
STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass(frozen=True)
class Told:
    name: str
    listen: str
    seed: int
    memory_mb: float
    sockets: int
    peer_listen: str
    peers: tuple[str, ...]
    journal: str
    known: tuple[tuple[int, Mapping[str, Any]], ...]  # position and content of each event
    settings: Mapping[str, Any]


def _of(thing: Mapping[str, Any], key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    value = thing.get(key.rpartition(".")[2], default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise BadFact(f"{key}: {value!r:.60} is not what is meant")
    return value


def read(text: bytes) -> Told:
    try:
        thing = json.loads(text)
    except (ValueError, RecursionError) as why:
        raise BadFact(f"no JSON: {why}") from None
    if not isinstance(thing, dict):
        raise BadFact("no object")
    limits = _of(thing, "limits", dict, {})
    seed = _of(thing, "seed", (str, int), 0)
    try:
        number = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise BadFact(f"seed: {seed!r:.40} is no hexadecimal number") from None
    known = _of(thing, "known", dict, {})
    events = []
    for entry in _of(known, "known.entries", list, []):
        try:
            events.append((int(entry["pos"]), entry))
            rows_of(entry, 0.0)
        except (KeyError, TypeError, ValueError) as why:
            raise BadFact(f"known.entries: {why}") from None
    memory_mb = _of(limits, "limits.memory_mb", (int, float), 64)
    sockets = _of(limits, "limits.sockets", int, 256)
    for key, value in (("limits.memory_mb", memory_mb), ("limits.sockets", sockets)):
        if not 0 < value < MOST:  # also what is no number by its own name
            raise BadFact(f"{key}: {value!r:.60} is out of range")
    peers = _of(thing, "peers", list, [])
    for address in (_of(thing, "listen", str), _of(thing, "journal", str), *peers):
        _address(address)
    return Told(
        name=_of(thing, "name", str, ""),
        listen=thing["listen"],
        seed=number,
        memory_mb=float(memory_mb),
        sockets=sockets,
        peer_listen=_of(thing, "peer_listen", str, ""),
        peers=tuple(peers),
        journal=thing["journal"],
        known=tuple(events),
        settings=_of(thing, "settings", dict),
    )


def _address(text: Any) -> None:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise BadFact(f"{text!r:.60} is no address such as 127.0.0.1:80")


def _cell(value: Any) -> int:
    """Guards against a row without a place, or with one that cannot be read, being taken for the first cell's
    or keeping the rows beside it from being heard."""
    return value if isinstance(value, int) and not isinstance(value, bool) else UNPLACED


def rows_of(entry: Mapping[str, Any], ahead: float) -> tuple[str, list[tuple[Row, str]]] | None:
    """An event of the journal as the module is told it, each row with its address; None for one that is not
    of the media hosts. `ahead` is what the system's clock is ahead of the gateway's, in seconds. Raises
    `ValueError` for what is not as it should be."""
    hosts = entry.get("hosts")
    if hosts is None:
        return None
    rows = []
    try:
        for m in hosts["members"]:
            began = float(m.get("up_since_ms") or 0) / 1000
            _address(m["host_port"])
            row = Row(
                str(m["id"]),
                _cell(m.get("cell")),
                float(m.get("size", 1)),
                str(m.get("flavor", "")),
                str(m.get("locality", "")),
                STATES[m["phase"]],
                began - ahead if began else 0.0,
            )
            rows.append((row, m["host_port"]))
        return ("total" if hosts.get("complete") is True else "incr"), rows
    except (KeyError, TypeError, AttributeError, OverflowError) as why:
        raise ValueError(f"no list of media hosts: {type(why).__name__}: {why}") from None
