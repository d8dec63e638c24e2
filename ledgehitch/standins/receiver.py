"""Simulated receiver of the fleet's verdicts: stores them, refuses lower terms, reports its latest window."""

from typing import Any

import msgspec

from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.loop import Endpoint, Loop
from ledgehitch.proof.tape import Tape

MAX_WINDOWS = 10_000  # windows stored


class Receiver:
    """Serves POST /verdicts {duty, term, owner, window, verdict}. A null `window` only announces the term."""

    def __init__(self, loop: Loop, at: Endpoint, tape: Tape) -> None:
        self.tape, self.term, self.last = tape, 0, -1
        self.verdicts: dict[int, Any] = {}
        self.nonsense: bytes | None = None  # body sent in place of the answer, to simulate a faulty receiver
        self.server = Server(loop, at, self._handle)

    def _handle(self, request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.body, type=dict[str, Any])
            term, window = int(body["term"]), body["window"]
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            raise Refused(
                400, "verdict report is invalid: expected a JSON object with an integer term and a window"
            ) from None
        if self.nonsense is not None:
            return Response(200, [], self.nonsense)
        fields = {"owner": body.get("owner"), "term": term, "window": window}
        if term < self.term:
            self.tape.write("verdict", **fields, status=409)
            raise Refused(
                409,
                f"term {term} is out of date: term {self.term} is known",
                [("Known-Term", str(self.term))],
            )
        self.term = term
        if window is not None:
            stored = self.verdicts.get(window)
            matches = stored is None or stored == body["verdict"]
            self.tape.write("verdict", **fields, status=200 if matches else 409, verdict=body["verdict"])
            if not matches:
                raise Refused(409, f"window {window} is already stored with another verdict")
            self.verdicts[window] = body["verdict"]
            self.last = max(self.last, window)
            if len(self.verdicts) > MAX_WINDOWS:
                self.verdicts.pop(min(self.verdicts))
        return Response(200, [], msgspec.json.encode({"last": self.last, "term": self.term}))

    def close(self) -> None:
        self.server.close()
