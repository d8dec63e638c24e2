"""A process that carries what crosses between members, cuts it where it is told to, and counts it.

The rig's own wires (`standins/wires.py`) do the work; here they are put into a process of their own, for the
members of some zones as receivers.
"""

import json
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.budgets.messages import FIRST_KIND as OF_BUDGETS
from ledgehitch.config import Site
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.loop import Event, Loop, endpoint
from ledgehitch.owners.messages import FIRST_KIND as OF_OWNERS
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.cuts import MessageFaults
from ledgehitch.standins.wires import HEAD, Wires

MECHANISMS = ("members", "owners", "budgets")


class Counted:
    """Datagrams and their bytes, by mechanism and member: what it sent, and what was handed over to it."""

    def __init__(self, members: int) -> None:
        self.by = {mechanism: [[0, 0, 0, 0] for _ in range(members)] for mechanism in MECHANISMS}

    def seen(self, way: str, member: int, data: bytes) -> None:
        kind = data[HEAD.size] if len(data) > HEAD.size else 0
        mechanism = "budgets" if kind >= OF_BUDGETS else "owners" if kind >= OF_OWNERS else "members"
        cell, at = self.by[mechanism][member], 0 if way == "out" else 2
        cell[at] += 1
        cell[at + 1] += len(data)


class Relay:
    def __init__(
        self, loop: Loop, site: Site, names: list[str], control: Path, tape: Tape, seed: int
    ) -> None:
        """`names`: the members that hear through this one."""
        everybody = [g.name for g in site.gateways]
        self.loop, self.tape, self.counted = loop, tape, Counted(len(everybody))
        self.wires = Wires(loop, tape, seed)
        self.wires.seen = self.counted.seen
        some = set(names)
        self.wires.members(
            everybody,
            {
                g.name: (endpoint(g.members_via), endpoint(g.members_at))
                for g in site.gateways
                if g.name in some
            },
        )
        self.server = Server(loop, endpoint(f"unix:{control}"), self._handle)

    def _handle(self, request: Request) -> Response:
        match request.path:
            case "/cut":
                told = _told(request)
                self.wires.cuts.cut(told["some"], told["others"], told["back"], told["there"])
            case "/mend":
                told = _told(request)
                pairs = {(a, b) for a in told["some"] for b in told["others"]}
                self.wires.cuts.shut -= pairs | {(b, a) for a, b in pairs}
            case "/bad":
                self.wires.cuts.everywhere = MessageFaults(**_told(request))
            case "/counts":
                self.tape.flush()
                return answer({"by": self.counted.by, **self.loop.lag.take_figures()})
            case _:
                raise Refused(404, f"no such call: {request.path}")
        return answer({"t": time.monotonic()})


def answer(thing: Any) -> Response:
    return Response(200, [("Content-Type", "application/json")], msgspec.json.encode(thing))


def _told(request: Request) -> dict[str, Any]:
    try:
        return msgspec.json.decode(request.body, type=dict[str, Any])
    except msgspec.MsgspecError as wrong:
        raise Refused(400, str(wrong)) from None


def served(loop: Loop, lines: Tape, control: Path, begin: Callable[[], object]) -> int:
    """Runs what `begin` begins until SIGTERM, and says at which address it is told what to do."""

    def main() -> int:
        over = Event(loop)
        restore = loop.on_signals([signal.SIGTERM, signal.SIGINT], over.set)
        begun = begin()
        print(json.dumps({"control": str(control)}), flush=True)
        over.wait()
        restore()
        del begun  # it was kept up to here
        return 0

    try:
        return int(loop.run(main))
    finally:
        lines.close()


def run_relay(site: Site, names: list[str], control: Path, tape: Path, seed: int) -> int:
    """Runs until SIGTERM."""
    loop, lines = Loop(), Tape(tape)
    return served(loop, lines, control, lambda: Relay(loop, site, names, control, lines, seed))
