"""The platform's configuration, read and checked at start and on SIGHUP. Free of sockets.

A missing or wrong setting raises `InvalidSetting`, which names its key.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ledgehitch.facts import InvalidSetting
from ledgehitch.interface import UNPLACED, Row

MAX_LIMIT = 1 << 40  # no machine has so many MB or descriptors
STATES = {"ready": "in_service", "draining": "terminating", "gone": "terminated"}


@dataclass(frozen=True)
class Configuration:
    """The checked configuration; `settings` holds what `ledgehitch.facts` reads."""

    name: str
    listen: str
    seed: int
    memory_mb: float
    sockets: int
    peer_listen: str
    peers: tuple[str, ...]
    journal: str
    known_events: tuple[tuple[int, Mapping[str, Any]], ...]  # position and content of each
    settings: Mapping[str, Any]


def _field(container: Mapping[str, Any], key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
    """Returns the value under the last part of a dotted key; raises `InvalidSetting` for another type."""
    value = container.get(key.rpartition(".")[2], default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise InvalidSetting(f"{key}: {value!r:.60} has the wrong type or is missing")
    return value


def parse_configuration(text: bytes) -> Configuration:
    """Returns the checked configuration; raises `InvalidSetting` for a missing or wrong setting."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise InvalidSetting(f"the configuration is not valid JSON: {error}") from None
    if not isinstance(document, dict):
        raise InvalidSetting("the configuration is not a JSON object")
    limits = _field(document, "limits", dict, {})
    seed = _field(document, "seed", (str, int), 0)
    try:
        number = int(seed, 16) if isinstance(seed, str) else seed
    except ValueError:
        raise InvalidSetting(f"seed: {seed!r:.40} is not a hexadecimal number") from None
    known = _field(document, "known", dict, {})
    events = []
    for entry in _field(known, "known.entries", list, []):
        try:
            events.append((int(entry["pos"]), entry))
            parse_host_list(entry, 0.0)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise InvalidSetting(f"known.entries: {error}") from None
    memory_mb = _field(limits, "limits.memory_mb", (int, float), 64)
    sockets = _field(limits, "limits.sockets", int, 256)
    for key, value in (("limits.memory_mb", memory_mb), ("limits.sockets", sockets)):
        if not 0 < value < MAX_LIMIT:  # false for NaN, too
            raise InvalidSetting(f"{key}: {value!r:.60} is out of range")
    peers = _field(document, "peers", list, [])
    for address in (_field(document, "listen", str), _field(document, "journal", str), *peers):
        _check_address(address)
    return Configuration(
        name=_field(document, "name", str, ""),
        listen=document["listen"],
        seed=number,
        memory_mb=float(memory_mb),
        sockets=sockets,
        peer_listen=_field(document, "peer_listen", str, ""),
        peers=tuple(peers),
        journal=document["journal"],
        known_events=tuple(events),
        settings=_field(document, "settings", dict),
    )


def _check_address(text: Any) -> None:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise InvalidSetting(f"{text!r:.60} is not an address such as 127.0.0.1:80")


def _cell(value: Any) -> int:
    """Returns the cell of a row, `UNPLACED` where it is missing or invalid.

    Such a row must not count as one of the first cell, nor make the other rows of its event unreadable.
    """
    return value if isinstance(value, int) and not isinstance(value, bool) else UNPLACED


def parse_host_list(
    entry: Mapping[str, Any], clock_offset: float
) -> tuple[str, list[tuple[Row, str]]] | None:
    """Returns the rows of a journal event, each with its address, and whether they are the complete list.

    The first item is "total" or "incr"; the result is None for an event that is not about media hosts.
    `clock_offset` is the system clock less the gateway's clock, in seconds. Raises `ValueError` for an
    event that is not valid.
    """
    hosts = entry.get("hosts")
    if hosts is None:
        return None
    rows = []
    try:
        for member in hosts["members"]:
            started_at = float(member.get("up_since_ms") or 0) / 1000
            _check_address(member["host_port"])
            row = Row(
                str(member["id"]),
                _cell(member.get("cell")),
                float(member.get("size", 1)),
                str(member.get("flavor", "")),
                str(member.get("locality", "")),
                STATES[member["phase"]],
                started_at - clock_offset if started_at else 0.0,
            )
            rows.append((row, member["host_port"]))
        return ("total" if hosts.get("complete") is True else "incr"), rows
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"invalid list of media hosts: {type(error).__name__}: {error}") from None
