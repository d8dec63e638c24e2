"""Frames and units of the simulator's wire; one `Gateway` for each instance, nothing shared between them.

Values are parsed where they are read and handed straight to the gateway: milliseconds become seconds, `-`
becomes nothing, ids go through as they came. What is malformed ends the program with one
line on standard error.
"""

from collections.abc import Callable, Sequence
from typing import BinaryIO, TextIO

from ledgehitch.brain import Gateway
from ledgehitch.facts import nest_pairs, read_settings
from ledgehitch.interface import (
    UNPLACED,
    Abort,
    Block,
    Decision,
    Probe,
    Row,
    SetRung,
    Subscribe,
    Tell,
    TuneIn,
)


class WireError(Exception):
    """A line that is not what the wire's description says."""


def written(decision: Decision) -> str:
    """The line that carries a decision out."""
    match decision:
        case TuneIn(viewing_id, host, within):
            return f"forward\t{viewing_id}\t{host}\t{within * 1000:.3f}"
        case SetRung(viewing_id, rung):
            return f"step_to\t{viewing_id}\t{rung}"
        case Block(viewing_id, stay_away):
            return f"busy\t{viewing_id}\t{stay_away * 1000:.3f}"
        case Abort(viewing_id):
            return f"give_up\t{viewing_id}"
        case Probe(host):
            return f"poll\t{host}"
        case Subscribe():
            return "watch\t1"
        case Tell(message, recipient):
            return f"post\t{recipient}\t{message.hex()}"


class Instance:
    """One gateway and its pending timer."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.timers: dict[int, float] = {}
        self.next_cookie = 1

    def replies(self, now: float) -> list[str]:
        lines = []
        while (decision := self.gateway.decide(now)) is not None:
            lines.append(written(decision))
        due = self.gateway.wake_at()
        if due is not None and not any(at <= due for at in self.timers.values()):
            self.timers[self.next_cookie] = due
            lines.append(f"notify_me\t{self.next_cookie}\t{due * 1000:.3f}")
            self.next_cookie += 1
        return lines


def _num(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def _ms(text: str) -> float:
    return _num(text) / 1000


def _loads(text: str) -> list[float]:
    return [] if text == "-" else [_num(part) for part in text.split(",")]


# How many parts each message has after its name; None: any number.
PARTS: dict[str, int | None] = {
    "at": 1,
    "create": None,
    "down": 0,
    "snapshot_rows": 2,
    "row": 7,
    "view": 3,
    "query": 11,
    "existing": 12,
    "opened": 4,
    "note": 5,
    "answer": 7,
    "withdrawn": 1,
    "wakeup": 1,
    "probe_done": 4,
    "from_peer": 2,
}


class Host:
    """All the instances of one process, and the lists they share by number."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[Row]] = {}

    def batch(self, lines: Sequence[list[str]], now: float, number: int = 0) -> list[str]:
        """Passes a batch's events on, then pulls the decisions of each instance that had one."""
        at = -1
        broken: dict[int, str] = {}
        touched: dict[int, None] = {}
        rows: list[Row] = []
        wanted = 0
        for i, line in enumerate(lines):
            name, parts = line[0], line[1:]
            try:
                if name not in PARTS:
                    raise ValueError("no such message")
                if PARTS[name] is not None and len(parts) != PARTS[name]:
                    raise ValueError(f"{len(parts)} values, not {PARTS[name]}")
                if wanted and name != "row":
                    raise ValueError(f"{wanted} more row lines were due")
                if name == "at":
                    at = int(parts[0])
                elif name == "snapshot_rows":
                    rows = self.lists[int(parts[0])] = []
                    wanted = int(parts[1])
                elif name == "row":
                    if not wanted:
                        raise ValueError("row outside a list")
                    wanted -= 1
                    cell, weight, kind, host, zone, state, started = parts
                    # Guards against one row without a place ending all instances.
                    place = UNPLACED if cell == "-" else int(cell)
                    rows.append(Row(host, place, _num(weight), kind, zone, state, _ms(started)))
                elif name == "create":
                    facts = read_settings(nest_pairs(part.partition("=")[::2] for part in parts[1:]))
                    self.instances[at] = Instance(Gateway(int(parts[0]), now, *facts))
                    broken.pop(at, None)
                    touched[at] = None
                elif name == "down":
                    self.instances.pop(at, None)
                    touched.pop(at, None)
                elif at in self.instances:
                    touched[at] = None
                    call = self.event(self.instances[at], now, name, parts)
                    if call is not None and at not in broken:
                        try:
                            call()
                        except Exception as problem:  # a fault of the module is that instance's alone
                            broken[at] = f"{type(problem).__name__}: {problem}"
            except (ValueError, KeyError, IndexError) as problem:
                raise WireError(f"line {number + i}: {name}: {problem}") from None
        if wanted:
            raise WireError(f"line {number + len(lines)}: end: {wanted} more row lines were due")
        out = []
        for at in touched:
            out.append(f"source\t{at}")
            if at not in broken:
                try:
                    out += self.instances[at].replies(now)
                    continue
                except Exception as problem:
                    broken[at] = f"{type(problem).__name__}: {problem}"
            out.append("internal_error\t" + broken[at].replace("\n", " ").replace("\t", " "))
        return out

    def event(self, instance: Instance, now: float, name: str, p: list[str]) -> Callable[[], None] | None:
        """One event as the call it stands for; every value is parsed before the call is made."""
        gw = instance.gateway
        if name == "wakeup":
            instance.timers.pop(int(p[0]), None)
            return None
        if name == "view":
            rows = [] if p[0] == "lost" else self.lists[int(p[2])]
            return lambda: gw.on_host_list(now, p[0], rows)
        if name == "query":
            viewing_id, patience, _key, _marks, spread, _hint, title, first, top, _tenant, package = p
            asked = (int(viewing_id), package, title, int(_num(first)), int(_num(spread)), int(_num(top)))
            until = _ms(patience)
            return lambda: gw.on_viewing_request(now, *asked, until)
        if name == "existing":
            viewing_id, _key, first, package, _hint, spread, title, _tenant, _patience, host, _marks, top = p
            held = (
                int(viewing_id),
                package,
                title,
                int(_num(first)),
                int(_num(spread)),
                int(_num(top)),
                host,
            )
            return lambda: gw.on_viewing_handover(now, *held)
        if name == "opened":
            opened = (int(p[0]), p[1], int(p[2]), _ms(p[3]))
            return lambda: gw.on_tune_in_success(now, *opened)
        if name == "note":
            note = (int(p[0]), p[2], int(p[3]), _num(p[4]))
            return lambda: gw.on_report(now, *note)
        if name == "answer":
            answer = (int(p[0]), bool(int(p[1])), int(p[2]), p[3], _ms(p[4]), int(p[5]), _loads(p[6]))
            return lambda: gw.on_tune_in_end(now, *answer)
        if name == "withdrawn":
            gone = int(p[0])
            return lambda: gw.on_viewer_left(now, gone)
        if name == "probe_done":
            probed = (p[2], int(p[1]), _ms(p[0]), _loads(p[3]))
            return lambda: gw.on_probe_result(now, *probed)
        if name == "from_peer":
            words = bytes.fromhex(p[1]) if p[1] != "-" else b""
            return lambda: gw.on_peer_message(now, words)
        return None


def main(source: BinaryIO, sink: BinaryIO, complaints: TextIO) -> int:
    host = Host()
    lines: list[list[str]] = []
    opened: tuple[float, str] | None = None
    count = first = 0
    try:
        for raw in source:
            count += 1
            line = raw.decode("utf-8").rstrip("\r\n").split("\t")
            if line[0] == "batch":
                if opened or len(line) != 3:
                    raise ValueError("a batch line inside a batch, or without clock and number")
                first = count + 1
                opened, lines = (float(line[1]) / 1000, str(int(line[2]))), []
            elif line == [""]:
                continue
            elif opened is None:
                raise ValueError(f"{line[0]!r} outside a batch")
            elif line[0] == "end":
                out = host.batch(lines, opened[0], first)
                sink.write(("\n".join([*out, f"ack\t{opened[1]}"]) + "\n").encode())
                sink.flush()
                opened = None
            else:
                lines.append(line)
        if opened:
            raise ValueError("input ended inside a batch")
    except WireError as problem:
        print(f"ledgehitch.simhost: {problem}", file=complaints)
        return 2
    except ValueError as problem:
        print(f"ledgehitch.simhost: line {count}: {problem}", file=complaints)
        return 2
    return 0
