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

    def on_host_list(self, now: float, how: str, rows: Sequence[Row]) -> None:
        self._note("listed", now, how, rows)
        self.brain.on_host_list(now, how, rows)

    def on_viewing_request(
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
        self.brain.on_viewing_request(now, viewing_id, package, title, first, spread, top, patience)

    def on_tune_in_success(
        self, now: float, viewing_id: int, host: str, tune_in: int, latency: float
    ) -> None:
        self._note("opened", now, viewing_id, host, tune_in, latency)
        self.brain.on_tune_in_success(now, viewing_id, host, tune_in, latency)

    def on_report(self, now: float, viewing_id: int, host: str, kind: int, value: float) -> None:
        self._note("told", now, viewing_id, host, kind, value)
        self.brain.on_report(now, viewing_id, host, kind, value)

    def on_tune_in_end(
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
        self.brain.on_tune_in_end(now, viewing_id, closed, code, host, latency, tune_in, loads)

    def on_viewer_left(self, now: float, viewing_id: int) -> None:
        self._note("left", now, viewing_id)
        self.brain.on_viewer_left(now, viewing_id)

    def on_probe_result(
        self, now: float, host: str, code: int, latency: float, loads: Sequence[float] = ()
    ) -> None:
        self._note("probed", now, host, int(code), latency, list(loads))
        self.brain.on_probe_result(now, host, code, latency, loads)

    def on_peer_message(self, now: float, words: bytes) -> None:
        self._note("peer_said", now, words)
        self.brain.on_peer_message(now, words)

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
