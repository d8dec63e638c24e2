"""Proxies between the daemons of a fleet, for membership datagrams and for the HTTP steps of owners.

All traffic passes through here, so that any pair can be partitioned in one or both directions, and so that
the tape records it for the checkers. A step names its owner in its body; each recipient has its own address.
"""

import random
import struct
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import msgspec

from ledgehitch.budgets.messages import FIRST_KIND as FIRST_LOAN_KIND
from ledgehitch.budgets.messages import InvalidMessage, LoanMessage
from ledgehitch.budgets.messages import decode as decode_loan
from ledgehitch.http import Client, ConnectFailed, Interrupted, NoAnswer, Request, Response, Server
from ledgehitch.loop import Datagrams, Endpoint, Event, Loop, TimedOut, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.cuts import Cuts

ENDS = struct.Struct(">HH")  # sender and recipient, after a frame's 4-byte mark
HEAD, MAC = struct.Struct(">4sHHQQd"), 16  # header and length of the authentication code of a frame
STEP_TIMEOUT_S = 10.0  # for a daemon to answer a step
MAX_IN_FLIGHT = 10000  # datagrams


class Step:
    """One HTTP request of an owner to a gateway, in transit."""

    __slots__ = ("id", "owner", "to", "path", "duty", "term", "then", "ticket")

    def __init__(self, number: int, to: str, request: Request) -> None:
        body = _decode_body(request.body)
        self.id, self.to, self.path = number, to, request.path
        self.owner = str(body.get("owner") or request.query("owner") or "")
        self.duty, self.term = str(body.get("duty", "")), int(body.get("term") or 0)
        self.then, self.ticket = str(body.get("then", "")), str(body.get("ticket", ""))


def _decode_body(data: bytes) -> dict[str, Any]:
    try:
        return msgspec.json.decode(data, type=dict[str, Any])
    except msgspec.MsgspecError:
        return {}


class Wires:
    """The proxies of a fleet, with partitions and message faults in `cuts`."""

    def __init__(self, loop: Loop, tape: Tape, seed: int) -> None:
        self.loop, self.tape = loop, tape
        self.cuts = Cuts(random.Random(f"{seed}/wires"))
        self.held: Callable[[Step], bool] = lambda step: False  # whether a step is held back before delivery
        self.waiting: list[Step] = []
        self.lent_late = 0.0  # seconds by which each answer of a lender is delayed
        self.datagrams = self.steps = self._in_flight = 0
        # Called for each datagram sent ("out", number of sender) and delivered ("in", number of recipient).
        self.seen: Callable[[str, int, bytes], None] | None = None
        self._released = Event(loop)
        self._client = Client(loop)
        self._servers: list[Server] = []

    def members(self, names: list[str], routes: Mapping[str, tuple[Endpoint, Endpoint]]) -> None:
        """Starts a datagram proxy for each gateway. `routes`: the proxy's address and the gateway's own."""
        for name, (via, to) in sorted(routes.items()):
            self.loop.spawn(self._carry, names, name, Datagrams(self.loop, via), to, name=f"wire to {name}")

    def _carry(self, names: list[str], name: str, socket: Datagrams, to: Endpoint) -> None:
        number = names.index(name)
        while True:
            data, _ = socket.receive()
            sender = ENDS.unpack_from(data, 4)[0] if len(data) >= 8 else len(names)
            if sender >= len(names) or self._in_flight >= MAX_IN_FLIGHT:
                continue
            self.datagrams += 1
            if self.seen is not None:
                self.seen("out", sender, data)
            loan = self._decode_loan(data)
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

            def deliver(data: bytes = data, loan: LoanMessage | None = loan, sender: int = sender) -> None:
                self._in_flight -= 1
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

            for delay in self.cuts.arrives(names[sender], name):
                self._in_flight += 1
                extra_delay = self.lent_late if loan is not None and loan.kind == "lent" else 0.0
                if delay + extra_delay < 1e-4:
                    deliver()
                else:
                    self.loop.call_at(time.monotonic() + delay + extra_delay, deliver)

    @staticmethod
    def _decode_loan(data: bytes) -> LoanMessage | None:
        """Returns the loan message in a datagram, or None; the datagram is not changed."""
        body = data[HEAD.size : -MAC]
        if not body or body[0] < FIRST_LOAN_KIND:
            return None
        try:
            return decode_loan(body)
        except InvalidMessage:
            return None

    # ---- steps ---------------------------------------------------------------------------------------------

    def calls(self, name: str, at: Path, to: Path) -> None:
        """Starts a proxy at `at` for the steps of owners to the gateway `name`, which listens at `to`."""
        listen_at = endpoint(f"unix:{at}")
        self._servers.append(
            Server(self.loop, listen_at, lambda request: self._forward_step(name, f"unix:{to}", request))
        )

    def _forward_step(self, name: str, to: str, request: Request) -> Response:
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
            released = self._released
            released.wait()
            self.waiting.remove(step)
        if step.owner and not self.cuts.open(step.owner, name):
            raise NoAnswer(f"simulated partition: request from {step.owner} to {name} dropped")
        self.tape.write("step_in", id=step.id)
        try:
            with self.loop.deadline(STEP_TIMEOUT_S):
                answer = self._client.request(to, request.method, request.target, None, request.body)
        except (ConnectFailed, FileNotFoundError):
            self.tape.write("step_out", id=step.id, status=0)
            raise NoAnswer(f"gateway {name} does not listen") from None
        except (TimedOut, Interrupted, ValueError):
            self.tape.write("step_out", id=step.id, status=-1)  # it may have been carried out
            raise NoAnswer(f"gateway {name} gave no complete answer") from None
        state = _decode_body(answer.body)
        self.tape.write(
            "step_out",
            id=step.id,
            status=answer.status,
            boot=state.get("boot", ""),
            started_by=state.get("started_by", ""),
            phase=state.get("phase", ""),
        )
        if step.owner and not self.cuts.open(name, step.owner):
            raise NoAnswer(f"simulated partition: answer from {name} to {step.owner} dropped")
        fields = [
            (k, v)
            for k in ("known-term", "owner", "admin-version", "content-type")
            if (v := answer.header(k))
        ]
        return Response(answer.status, fields, answer.body)

    def release_held(self) -> None:
        """Checks `held` again for the steps that wait."""
        released, self._released = self._released, Event(self.loop)
        released.set()

    def close(self) -> None:
        """Closes the HTTP proxies."""
        for server in self._servers:
            server.close()
        self._client.close()
