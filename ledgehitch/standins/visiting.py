"""Viewer behaviour: request, watch, retry, give up. Free of I/O and clock.

`visit` is a generator: it yields the viewer's next action and is sent the result. The simulated viewers run
the actions on sockets, the model runs them in virtual time.
"""

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass

from ledgehitch.config import Day
from ledgehitch.standins.arrivals import Visit
from ledgehitch.standins.service import Booking

LATE_ANSWER = 1.0  # seconds after its patience that a viewer still waits for an answer
MOST_AFTER = 8.0  # seconds after the day's end until open viewings are cut off
SIGN = 1.0  # seconds between a viewer's keep-alives to its media host
NO_MEDIA = 3.0  # seconds without media after which a viewing counts as broken
GATEWAY_GONE = 0.3  # seconds until a viewer whose gateway is unreachable tries another


@dataclass(frozen=True)
class Try:
    """Request from the gateway that `place` selects, for rungs up to `top`; the result is a `TryResult`.

    `place` is a number from 0 to 1. `ticket` is what the gateway gave with its advice to retry.
    """

    place: float
    top: int
    ticket: str = ""


@dataclass(frozen=True)
class Watch:
    """Watch for `seconds` at most; the result is whether the viewer left satisfied."""

    place: float
    seconds: float
    in_time: bool


@dataclass(frozen=True)
class Rest:
    """Wait for `seconds`."""

    seconds: float


@dataclass(frozen=True)
class TryResult:
    """The result of one try: plays, blocked, aborted, other, broken, nobody or hung up; advice in seconds."""

    kind: str
    advice: float = 0.0
    ticket: str = ""


Action = Try | Watch | Rest
CAUSES = {"plays": "late", "blocked": "blocked", "hung up": "left"}


def visit(
    viewer: Visit,
    day: Day,
    join_target: float,
    booking: Booking,
    chance: random.Random,
    now: Callable[[], float],
) -> Generator[Action, TryResult | bool | None, None]:
    """Yields the actions of one viewer's visit; `now` gives seconds from the day's start."""
    arrivals, service = day.arrivals, booking.service
    service.visits += 1
    first_request_at, remaining, returns = now(), viewer.watch, 0
    in_time: bool | None = None
    place, top, highest_rung, ticket = viewer.gateway, viewer.top, viewer.top, ""
    moves = arrivals.seeks + arrivals.resizes
    while remaining > 0 and now() < day.length:
        tried_at = now()
        result = yield Try(place, top, ticket)
        assert isinstance(result, TryResult)
        waited = now() - tried_at
        cause = CAUSES.get(result.kind, "failed")
        booking.lost(viewer, min(waited, remaining), tried_at, cause)
        remaining -= waited
        service.answers[result.kind] = service.answers.get(result.kind, 0) + 1
        if result.kind == "plays":
            if in_time is None:
                joined = now() - first_request_at
                in_time = joined <= join_target
                booking.joined(joined, in_time)
            watch_start = now()
            until = chance.expovariate(moves) if moves else remaining
            seeks_or_resizes = until < remaining
            content = yield Watch(place, min(remaining, until), in_time)
            remaining -= now() - watch_start
            if content and seeks_or_resizes and now() < day.length:
                # A seek or a resized window: the viewer tunes in to the same title again.
                if chance.random() * moves < arrivals.resizes:
                    top = chance.randrange(highest_rung + 1)
                continue
            if content:
                return
            cause = "broken"
        elif result.kind == "hung up":
            return
        if result.kind == "nobody":
            yield Rest(GATEWAY_GONE)
            place = chance.random()
            remaining -= GATEWAY_GONE
            booking.lost(viewer, GATEWAY_GONE, now(), cause)
            continue
        returns += 1
        if returns > arrivals.returns_at_most or chance.random() > arrivals.returns:
            booking.lost(viewer, max(0.0, remaining), now(), cause)
            return
        wait, ticket = arrivals.return_after * chance.uniform(0.7, 1.5), ""
        if result.advice and chance.random() < arrivals.honour_advice:
            wait = max(wait, result.advice)
            ticket = result.ticket
        booking.lost(viewer, min(wait, max(0.0, remaining)), now(), cause)
        remaining -= wait
        yield Rest(wait)
        other = chance.random()
        place = place if ticket else other  # a ticket is valid only at the gateway that issued it


class Seen:
    """A viewer's view of its playback, from the answers to its keep-alives; decides when it leaves."""

    __slots__ = ("at", "share", "rung", "gone")

    def __init__(self, now: float) -> None:
        self.at, self.share, self.rung, self.gone = now, 1.0, 0, False

    def on_answer(self, now: float, share: float, rung: int) -> None:
        """Records the answer to a keep-alive."""
        self.at, self.share, self.rung = now, share, rung

    def visible_share(self, now: float) -> float:
        """Returns the delivered share as the viewer sees it; 0 if answers are overdue."""
        return self.share if now - self.at < 1.5 * SIGN else 0.0

    def gives_up(self, now: float, spent: float, leave_under: float, chance: random.Random) -> bool:
        """Returns whether the viewer gives up now, `spent` seconds after the last check."""
        if self.gone or now - self.at > NO_MEDIA:
            return True
        return self.visible_share(now) < leave_under and chance.random() < 0.25 * spent
