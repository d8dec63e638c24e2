"""A stand-in for who takes the fleet's verdicts: keeps what came with its term, refuses lower terms, tells
which window it has."""

from typing import Any

import msgspec

from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.loop import Endpoint, Loop
from ledgehitch.proof.tape import Tape

MOST = 10_000  # windows kept


class Receiver:
    """POST /verdicts {duty, term, owner, window, verdict}; `window` null: only the term is said."""

    def __init__(self, loop: Loop, at: Endpoint, tape: Tape) -> None:
        self.tape, self.term, self.last = tape, 0, -1
        self.verdicts: dict[int, Any] = {}
        self.nonsense: bytes | None = None  # what it answers instead, where it is to be broken
        self.server = Server(loop, at, self._handle)

    def _handle(self, request: Request) -> Response:
        try:
            body = msgspec.json.decode(request.body, type=dict[str, Any])
            term, window = int(body["term"]), body["window"]
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            raise Refused(400, "no verdict") from None
        if self.nonsense is not None:
            return Response(200, [], self.nonsense)
        said = {"owner": body.get("owner"), "term": term, "window": window}
        if term < self.term:
            self.tape.write("verdict", **said, status=409)
            raise Refused(409, f"term {self.term} is known", [("Known-Term", str(self.term))])
        self.term = term
        if window is not None:
            before = self.verdicts.get(window)
            same = before is None or before == body["verdict"]
            self.tape.write("verdict", **said, status=200 if same else 409, verdict=body["verdict"])
            if not same:
                raise Refused(409, f"window {window} was told otherwise")
            self.verdicts[window] = body["verdict"]
            self.last = max(self.last, window)
            if len(self.verdicts) > MOST:
                self.verdicts.pop(min(self.verdicts))
        return Response(200, [], msgspec.json.encode({"last": self.last, "term": self.term}))

    def close(self) -> None:
        self.server.close()
