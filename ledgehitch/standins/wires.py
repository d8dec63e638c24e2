"""All that crosses between the daemons of a fleet: membership's datagrams and the steps of owners.

Each goes through here, so that any pair can be cut, one way or both, and so that what crossed is on the tape
before it is judged. A step names its owner in its body; who it is for has an address of its own here.
"""

import random
import struct
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.budgets.words import FIRST_KIND as OF_BUDGETS
from ledgehitch.budgets.words import InvalidMessage
from ledgehitch.budgets.words import LoanMessage as Loan
from ledgehitch.budgets.words import decode as read_loan
from ledgehitch.http import Client, ConnectFailed, Interrupted, NoAnswer, Request, Response, Server
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, TimedOut, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.cuts import Cuts

ENDS = struct.Struct(">HH")  # from and to, after a frame's mark
HEAD, MAC = struct.Struct(">4sHHQQd"), 16  # what stands around the words of a frame
WITHIN = 10.0  # seconds that a daemon may take to answer a step
MOST_ON_THEIR_WAY = 10000


class Step:
    """One call of an owner at a gateway, on its way."""

    __slots__ = ("id", "owner", "to", "path", "duty", "term", "then", "ticket")

    def __init__(self, number: int, to: str, request: Request) -> None:
        body = _body(request.body)
        self.id, self.to, self.path = number, to, request.path
        self.owner = str(body.get("owner") or request.query("owner") or "")
        self.duty, self.term = str(body.get("duty", "")), int(body.get("term") or 0)
        self.then, self.ticket = str(body.get("then", "")), str(body.get("ticket", ""))


def _body(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}


class Wires:
    def __init__(self, loop: Loop, tape: Tape, seed: int) -> None:
        self.loop, self.tape = loop, tape
        self.cuts = Cuts(random.Random(f"{seed}/wires"))
        self.held: Callable[[Step], bool] = lambda step: False  # which steps wait before they arrive
        self.waiting: list[Step] = []
        self.lent_late = 0.0  # seconds that each answer of a lender waits on its way
        self.datagrams = self.steps = self._on_their_way = 0
        # Told of each datagram that set out ("out", by whom) and that was handed over ("in", to whom).
        self.seen: Callable[[str, int, bytes], None] | None = None
        self._let_go = Event(loop)
        self._client = Client(loop)
        self._servers: list[Server] = []

    def members(self, names: list[str], routes: Mapping[str, tuple[Endpoint, Endpoint]]) -> None:
        """`routes`: for each gateway where others send to, and where it hears."""
        for name, (via, to) in sorted(routes.items()):
            self.loop.spawn(self._carry, names, name, Datagrams(self.loop, via), to, name=f"wire to {name}")

    def _carry(self, names: list[str], name: str, socket: Datagrams, to: Endpoint) -> None:
        number = names.index(name)
        while True:
            data, _ = socket.receive()
            sender = ENDS.unpack_from(data, 4)[0] if len(data) >= 8 else len(names)
            if sender >= len(names) or self._on_their_way >= MOST_ON_THEIR_WAY:
                continue
            self.datagrams += 1
            if self.seen is not None:
                self.seen("out", sender, data)
            loan = self._of_budgets(data)
            if loan is not None and loan.kind == "want":
                self.tape.write(
                    "want",
                    who=names[sender],
                    to=name,
                    term=loan.term,
                    life=loan.life,
                    sequence=loan.sequence,
                    number=loan.number,
                )

            def hand_over(data: bytes = data, loan: Loan | None = loan, sender: int = sender) -> None:
                self._on_their_way -= 1
                if loan is not None and loan.kind == "lent":
                    self.tape.write(
                        "lent",
                        who=names[sender],
                        to=name,
                        term=loan.term,
                        life=loan.life,
                        sequence=loan.sequence,
                        number=loan.number,
                        seconds=loan.seconds,
                        loans=loan.loans,
                    )
                if self.seen is not None:
                    self.seen("in", number, data)
                socket.send(data, to)

            for late in self.cuts.arrives(names[sender], name):
                self._on_their_way += 1
                wait = self.lent_late if loan is not None and loan.kind == "lent" else 0.0
                if late + wait < 1e-4:
                    hand_over()
                else:
                    self.loop.call_at(time.monotonic() + late + wait, hand_over)

    @staticmethod
    def _of_budgets(data: bytes) -> Loan | None:
        """What a datagram says on budgets; the wires look into it and change nothing."""
        body = data[HEAD.size : -MAC]
        if not body or body[0] < OF_BUDGETS:
            return None
        try:
            return read_loan(body)
        except InvalidMessage:
            return None

    # ---- steps ---------------------------------------------------------------------------------------------

    def calls(self, name: str, at: Path, to: Path) -> None:
        """Owners call the gateway `name` at `at`; it hears at `to`."""
        here = endpoint(f"unix:{at}")
        self._servers.append(Server(self.loop, here, lambda request: self._call(name, f"unix:{to}", request)))

    def _call(self, name: str, to: str, request: Request) -> Response:
        self.steps += 1
        step = Step(self.steps, name, request)
        self.tape.write(
            "step",
            id=step.id,
            owner=step.owner,
            to=name,
            path=step.path,
            duty=step.duty,
            term=step.term,
            then=step.then,
            ticket=step.ticket,
        )
        while self.held(step):
            self.waiting.append(step)
            news = self._let_go
            news.wait()
            self.waiting.remove(step)
        if step.owner and not self.cuts.open(step.owner, name):
            raise NoAnswer("cut")
        self.tape.write("step_in", id=step.id)
        try:
            with self.loop.deadline(WITHIN):
                answer = self._client.request(to, request.method, request.target, None, request.body)
        except (ConnectFailed, FileNotFoundError):
            self.tape.write("step_out", id=step.id, status=0)
            raise NoAnswer("nobody listens") from None
        except (TimedOut, Interrupted, ValueError):
            self.tape.write("step_out", id=step.id, status=-1)  # it may have been carried out
            raise NoAnswer("no whole answer") from None
        told = _body(answer.body)
        self.tape.write(
            "step_out",
            id=step.id,
            status=answer.status,
            boot=told.get("boot", ""),
            started_by=told.get("started_by", ""),
            phase=told.get("phase", ""),
        )
        if step.owner and not self.cuts.open(name, step.owner):
            raise NoAnswer("cut on its way back")
        fields = [
            (k, v)
            for k in ("known-term", "owner", "admin-version", "content-type")
            if (v := answer.header(k))
        ]
        return Response(answer.status, fields, answer.body)

    def let_go(self) -> None:
        """Those that were held are looked at again."""
        news, self._let_go = self._let_go, Event(self.loop)
        news.set()

    def close(self) -> None:
        for server in self._servers:
            server.close()
        self._client.close()
