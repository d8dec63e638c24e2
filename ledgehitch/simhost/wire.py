"""The simulator's protocol: reads batches of messages, passes them to gateways and writes their decisions.

Each instance has a `Gateway` of its own and shares nothing with others. Milliseconds become seconds, `-`
becomes 0 or an empty value, and ids are passed on unchanged. A malformed line ends the program with one line
on standard error.
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
    """A line that the protocol does not allow; the text names its number."""


def encode_decision(decision: Decision) -> str:
    """Returns the line that carries out a decision."""
    match decision:
        case TuneIn(viewing_id, host, within):
            return f"forward\t{viewing_id}\t{host}\t{within * 1000:.3f}"
        case SetRung(viewing_id, rung):
            return f"step_to\t{viewing_id}\t{rung}"
        case Block(viewing_id, retry_after):
            return f"busy\t{viewing_id}\t{retry_after * 1000:.3f}"
        case Abort(viewing_id):
            return f"give_up\t{viewing_id}"
        case Probe(host):
            return f"poll\t{host}"
        case Subscribe():
            return "watch\t1"
        case Tell(message, recipient):
            return f"post\t{recipient}\t{message.hex()}"


class Instance:
    """One gateway and its pending timers, by cookie."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self.timers: dict[int, float] = {}
        self.next_cookie = 1

    def encode_decisions(self, now: float) -> list[str]:
        """Returns the lines of all decisions due now, and of a timer where a new one is needed."""
        lines = []
        while (decision := self.gateway.decide(now)) is not None:
            lines.append(encode_decision(decision))
        due = self.gateway.wake_at()
        if due is not None and not any(at <= due for at in self.timers.values()):
            self.timers[self.next_cookie] = due
            lines.append(f"notify_me\t{self.next_cookie}\t{due * 1000:.3f}")
            self.next_cookie += 1
        return lines


def _number(text: str) -> float:
    return 0.0 if text == "-" else float(text)


def _seconds(text: str) -> float:
    """Returns seconds for a number of milliseconds."""
    return _number(text) / 1000


def _loads(text: str) -> list[float]:
    return [] if text == "-" else [_number(part) for part in text.split(",")]


# Number of values of each message after its name; None: any number.
VALUE_COUNTS: dict[str, int | None] = {
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


class InstanceHost:
    """All instances of one process, and the numbered lists of media hosts that messages refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[Row]] = {}

    def process_batch(self, lines: Sequence[list[str]], now: float, first_line: int = 0) -> list[str]:
        """Passes on the events of a batch, then returns the decisions of each instance that had an event.

        `first_line` is the number of the batch's first line in the input. Raises `WireError`.
        """
        instance_id = -1  # the instance that following messages are for
        broken: dict[int, str] = {}  # errors of instances whose gateway raised one
        touched: dict[int, None] = {}
        rows: list[Row] = []
        rows_due = 0
        for i, line in enumerate(lines):
            name, values = line[0], line[1:]
            try:
                if name not in VALUE_COUNTS:
                    raise ValueError("unknown message")
                if VALUE_COUNTS[name] is not None and len(values) != VALUE_COUNTS[name]:
                    raise ValueError(f"{len(values)} values, expected {VALUE_COUNTS[name]}")
                if rows_due and name != "row":
                    raise ValueError(f"{rows_due} more row lines expected")
                if name == "at":
                    instance_id = int(values[0])
                elif name == "snapshot_rows":
                    rows = self.lists[int(values[0])] = []
                    rows_due = int(values[1])
                elif name == "row":
                    if not rows_due:
                        raise ValueError("row without a list")
                    rows_due -= 1
                    cell, weight, kind, host, zone, state, started = values
                    # A single row without a cell must not end all instances.
                    cell_number = UNPLACED if cell == "-" else int(cell)
                    rows.append(Row(host, cell_number, _number(weight), kind, zone, state, _seconds(started)))
                elif name == "create":
                    settings = read_settings(nest_pairs(pair.partition("=")[::2] for pair in values[1:]))
                    self.instances[instance_id] = Instance(Gateway(int(values[0]), now, *settings))
                    broken.pop(instance_id, None)
                    touched[instance_id] = None
                elif name == "down":
                    self.instances.pop(instance_id, None)
                    touched.pop(instance_id, None)
                elif instance_id in self.instances:
                    touched[instance_id] = None
                    call = self.parse_event(self.instances[instance_id], now, name, values)
                    if call is not None and instance_id not in broken:
                        try:
                            call()
                        except Exception as error:  # an error of one gateway ends that instance only
                            broken[instance_id] = f"{type(error).__name__}: {error}"
            except (ValueError, KeyError, IndexError) as error:
                raise WireError(f"line {first_line + i}: {name}: {error}") from None
        if rows_due:
            raise WireError(f"line {first_line + len(lines)}: end: {rows_due} more row lines expected")
        lines_out = []
        for instance_id in touched:
            lines_out.append(f"source\t{instance_id}")
            if instance_id not in broken:
                try:
                    lines_out += self.instances[instance_id].encode_decisions(now)
                    continue
                except Exception as error:
                    broken[instance_id] = f"{type(error).__name__}: {error}"
            lines_out.append("internal_error\t" + broken[instance_id].replace("\n", " ").replace("\t", " "))
        return lines_out

    def parse_event(
        self, instance: Instance, now: float, name: str, values: list[str]
    ) -> Callable[[], None] | None:
        """Returns the call that a message stands for, with all values parsed; None for no call."""
        gateway = instance.gateway
        if name == "wakeup":
            instance.timers.pop(int(values[0]), None)
            return None
        if name == "view":
            rows = [] if values[0] == "lost" else self.lists[int(values[2])]
            return lambda: gateway.on_host_list(now, values[0], rows)
        if name == "query":
            viewing_id, patience, _key, _marks, spread, _hint, title, first, top, _tenant, package = values
            request = (
                int(viewing_id),
                package,
                title,
                int(_number(first)),
                int(_number(spread)),
                int(_number(top)),
            )
            until = _seconds(patience)
            return lambda: gateway.on_viewing_request(now, *request, until)
        if name == "existing":
            viewing_id, _key, first, package, _hint, spread, title, _tenant, _patience, host, _marks, top = (
                values
            )
            viewing = (
                int(viewing_id),
                package,
                title,
                int(_number(first)),
                int(_number(spread)),
                int(_number(top)),
                host,
            )
            return lambda: gateway.on_viewing_handover(now, *viewing)
        if name == "opened":
            success = (int(values[0]), values[1], int(values[2]), _seconds(values[3]))
            return lambda: gateway.on_tune_in_success(now, *success)
        if name == "note":
            report = (int(values[0]), values[2], int(values[3]), _number(values[4]))
            return lambda: gateway.on_report(now, *report)
        if name == "answer":
            end = (
                int(values[0]),
                bool(int(values[1])),
                int(values[2]),
                values[3],
                _seconds(values[4]),
                int(values[5]),
                _loads(values[6]),
            )
            return lambda: gateway.on_tune_in_end(now, *end)
        if name == "withdrawn":
            withdrawn_id = int(values[0])
            return lambda: gateway.on_viewer_left(now, withdrawn_id)
        if name == "probe_done":
            result = (values[2], int(values[1]), _seconds(values[0]), _loads(values[3]))
            return lambda: gateway.on_probe_result(now, *result)
        if name == "from_peer":
            message = bytes.fromhex(values[1]) if values[1] != "-" else b""
            return lambda: gateway.on_peer_message(now, message)
        return None


def main(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Processes batches from `source` until its end; returns the exit status, 2 for malformed input."""
    instances = InstanceHost()
    lines: list[list[str]] = []
    batch: tuple[float, str] | None = None  # clock and number of the open batch
    line_number = first_line = 0
    try:
        for raw in source:
            line_number += 1
            line = raw.decode("utf-8").rstrip("\r\n").split("\t")
            if line[0] == "batch":
                if batch or len(line) != 3:
                    raise ValueError("batch inside a batch, or without clock and number")
                first_line = line_number + 1
                batch, lines = (float(line[1]) / 1000, str(int(line[2]))), []
            elif line == [""]:
                continue
            elif batch is None:
                raise ValueError(f"{line[0]!r} outside a batch")
            elif line[0] == "end":
                out = instances.process_batch(lines, batch[0], first_line)
                sink.write(("\n".join([*out, f"ack\t{batch[1]}"]) + "\n").encode())
                sink.flush()
                batch = None
            else:
                lines.append(line)
        if batch:
            raise ValueError("the input ends inside a batch")
    except WireError as error:
        print(f"ledgehitch.simhost: {error}", file=errors)
        return 2
    except ValueError as error:
        print(f"ledgehitch.simhost: line {line_number}: {error}", file=errors)
        return 2
    return 0
