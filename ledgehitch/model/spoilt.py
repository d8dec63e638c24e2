"""The decision module with one of its gates taken out, to see that checker and search notice. Free of I/O.

A gateway made with these also lacks the second pair of eyes (`send_guard.py`), which would stop the sends.
"""

from collections.abc import Sequence
from dataclasses import replace

from ledgehitch.brain import Gateway, MediaHost, Viewing
from ledgehitch.interface import Block, Decision, Row
from ledgehitch.send_guard import SendGuard


class OpenGate(SendGuard):
    """Stops nothing."""

    def check_send(self, now: float, viewing_id: int, host: str, within: float) -> None:
        v = self.viewings.get(viewing_id)
        if v is not None:
            v.out = True


class _NoAnswer(Gateway):
    """Rule 1: who is turned away is not told."""

    def decide(self, now: float) -> Decision | None:
        while isinstance(decision := super().decide(now), Block):
            pass
        return decision


class _Twice(Gateway):
    """Rule 2: what is paid for is set up again."""

    def _may_set_up_at(self, v: Viewing, h: MediaHost) -> bool:
        return True


class _Deaf(Gateway):
    """Rule 3: that a media host drains or is gone is not heard."""

    def on_host_list(self, now: float, how: str, rows: Sequence[Row]) -> None:
        super().on_host_list(now, how, [replace(row, state="in_service") for row in rows])


class _Rash(Gateway):
    """Rule 4: cold media hosts are taken for warm."""

    def _cold_budget_spent(self, now: float, h: MediaHost) -> bool:
        return False


class _Crowded(Gateway):
    """Rule 5: seats are not counted."""

    def _has_seat_and_budget(self, now: float, v: Viewing) -> bool:
        seated = v.package
        v.package = replace(seated, seats=0)
        try:
            return super()._has_seat_and_budget(now, v)
        finally:
            v.package = seated


class _Lavish(Gateway):
    """Rule 6: further tune-ins are not counted."""

    def _has_seat_and_budget(self, now: float, v: Viewing) -> bool:
        tune_ins, v.tune_ins = v.tune_ins, 0
        try:
            return super()._has_seat_and_budget(now, v)
        finally:
            v.tune_ins = tune_ins


SPOILT: dict[int, type[Gateway]] = {1: _NoAnswer, 2: _Twice, 3: _Deaf, 4: _Rash, 5: _Crowded, 6: _Lavish}


def module_without(rules: Sequence[int]) -> type[Gateway]:
    """The module without the gates of these rules; with none, the module itself."""
    parts = tuple(SPOILT[rule] for rule in rules)
    return type("Spoilt", parts, {}) if parts else Gateway
