"""The decision module with an optional flight recorder, which notes every input and every pull of decisions.

Inputs have the names and arguments of the module's own. Records keep them under the names given to `_record`.
"""

from collections.abc import Iterator, Sequence
from typing import Any

from ledgehitch.brain import Gateway
from ledgehitch.gateway.record import Recorder, encode_decision
from ledgehitch.interface import Decision, Row


class RecordedModule:
    """Passes inputs and decisions through, and records both where there is a recorder."""

    def __init__(self, gateway: Gateway, recorder: Recorder | None = None) -> None:
        self.gateway, self.recorder = gateway, recorder
        if recorder is not None:
            recorder.start_segment(gateway)

    def _record(self, name: str, *args: Any) -> None:
        if self.recorder is not None:
            self.recorder.append(self.gateway, name, args)

    def on_host_list(self, now: float, how: str, rows: Sequence[Row]) -> None:
        self._record("listed", now, how, rows)
        self.gateway.on_host_list(now, how, rows)

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
        self._record("asked", now, viewing_id, package, title, first, spread, top, patience)
        self.gateway.on_viewing_request(now, viewing_id, package, title, first, spread, top, patience)

    def on_tune_in_success(
        self, now: float, viewing_id: int, host: str, tune_in: int, latency: float
    ) -> None:
        self._record("opened", now, viewing_id, host, tune_in, latency)
        self.gateway.on_tune_in_success(now, viewing_id, host, tune_in, latency)

    def on_report(self, now: float, viewing_id: int, host: str, kind: int, value: float) -> None:
        self._record("told", now, viewing_id, host, kind, value)
        self.gateway.on_report(now, viewing_id, host, kind, value)

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
        self._record("ended", now, viewing_id, closed, int(code), host, latency, tune_in, list(loads))
        self.gateway.on_tune_in_end(now, viewing_id, closed, code, host, latency, tune_in, loads)

    def on_viewer_left(self, now: float, viewing_id: int) -> None:
        self._record("left", now, viewing_id)
        self.gateway.on_viewer_left(now, viewing_id)

    def on_probe_result(
        self, now: float, host: str, code: int, latency: float, loads: Sequence[float] = ()
    ) -> None:
        self._record("probed", now, host, int(code), latency, list(loads))
        self.gateway.on_probe_result(now, host, code, latency, loads)

    def on_peer_message(self, now: float, message: bytes) -> None:
        self._record("peer_said", now, message)
        self.gateway.on_peer_message(now, message)

    def decisions(self, now: float) -> Iterator[Decision]:
        """Yields the decisions of one pull. No input may be passed in before the iterator is exhausted."""
        if self.recorder is None:
            while (decision := self.gateway.decide(now)) is not None:
                yield decision
            return
        taken = []
        while (decision := self.gateway.decide(now)) is not None:
            taken.append(encode_decision(decision))
            yield decision
        self._record("pulled", now, taken)
