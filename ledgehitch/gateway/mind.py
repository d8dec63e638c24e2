"""The decision module with the flight recorder beside it: every input and every pull passes here.

Inputs have the module's names and arguments. `pulled` gives the decisions of one pull, until there is none.
"""

from collections.abc import Iterator, Sequence
from typing import Any

from ledgehitch.brain import Gateway
from ledgehitch.gateway.record import Recorder, plain
from ledgehitch.interface import Decision, Row


class Mind:
    def __init__(self, brain: Gateway, recorder: Recorder | None = None) -> None:
        self.brain, self.recorder = brain, recorder
        if recorder is not None:
            recorder.begin(brain)

    def _note(self, name: str, *args: Any) -> None:
        if self.recorder is not None:
            self.recorder.entry(self.brain, name, args)

    def listed(self, now: float, how: str, rows: Sequence[Row]) -> None:
        self._note("listed", now, how, rows)
        self.brain.listed(now, how, rows)

    def asked(
        self,
        now: float,
        viewing_id: int,
        package: str,
        title: str,
        first: int,
        spread: int,
        top: int,
        patience: float,
    ) -> None:
        self._note("asked", now, viewing_id, package, title, first, spread, top, patience)
        self.brain.asked(now, viewing_id, package, title, first, spread, top, patience)

    def opened(self, now: float, viewing_id: int, host: str, tune_in: int, latency: float) -> None:
        self._note("opened", now, viewing_id, host, tune_in, latency)
        self.brain.opened(now, viewing_id, host, tune_in, latency)

    def told(self, now: float, viewing_id: int, host: str, kind: int, value: float) -> None:
        self._note("told", now, viewing_id, host, kind, value)
        self.brain.told(now, viewing_id, host, kind, value)

    def ended(
        self,
        now: float,
        viewing_id: int,
        closed: bool,
        code: int,
        host: str,
        latency: float,
        tune_in: int,
        loads: Sequence[float] = (),
    ) -> None:
        self._note("ended", now, viewing_id, closed, int(code), host, latency, tune_in, list(loads))
        self.brain.ended(now, viewing_id, closed, code, host, latency, tune_in, loads)

    def left(self, now: float, viewing_id: int) -> None:
        self._note("left", now, viewing_id)
        self.brain.left(now, viewing_id)

    def probed(self, now: float, host: str, code: int, latency: float, loads: Sequence[float] = ()) -> None:
        self._note("probed", now, host, int(code), latency, list(loads))
        self.brain.probed(now, host, code, latency, loads)

    def peer_said(self, now: float, words: bytes) -> None:
        self._note("peer_said", now, words)
        self.brain.peer_said(now, words)

    def pulled(self, now: float) -> Iterator[Decision]:
        """One pull. The host must hand in nothing before it is through."""
        if self.recorder is None:
            while (decision := self.brain.decide(now)) is not None:
                yield decision
            return
        out = []
        while (decision := self.brain.decide(now)) is not None:
            out.append(plain(decision))
            yield decision
        self._note("pulled", now, out)
