"""The door: who is let in now, who waits, who is turned away and when it should come again. Free of I/O.

Inputs update what is known, `decide` is pulled. Every client that asks is let in or turned away once. What
waits here is not in the module: a viewing's patience counts from its asking, and who could not be set up any
more is turned away at once. While nothing is scarce the door lets everybody in as they come.
"""

import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ledgehitch.door.heavy import Heavy
from ledgehitch.door.limits import LEAST, NEW, OLD, Adapted, Asked, Pace
from ledgehitch.door.part import Part
from ledgehitch.door.queue import FairQueue, Waiting
from ledgehitch.door.rates import SET_UPS, ClientRates, PackageRates, budget_of
from ledgehitch.door.returns import Places, Tickets

NEEDED = 0.35  # seconds before its patience's end by which a viewing must be let in
SURELY = 1.3  # times as long as set-ups take of late: nearly all are through by then
WAITS = 0.6  # part of the join target that one waits here at most: who joins later is worth little
STEP = 1.0  # seconds between two looks at whether the least valuable are turned away at once
CALM = 5  # looks in which nobody was pressed until they are let in again
ROOM = 1.25  # times the set-ups at once of lately that are wanted of the fleet's limit: they swing
PRESSED = 3  # of a value that found no turn in such a time, from which those worth less make room


class Limit(Protocol):
    limit: float

    def ended(self, now: float, out: int, took: float, join_target: float, failed: bool) -> None: ...
    def pressed(self, now: float) -> None: ...
    def room(self, out: int) -> int: ...


@dataclass(frozen=True)
class Let:
    """Hand this one to the module now."""

    conn: int


@dataclass(frozen=True)
class Turn:
    """Turn this one away: come again after `advice` seconds (0: none is given) with `ticket`."""

    conn: int
    why: str
    advice: float = 0.0
    ticket: str = ""


Decision = Let | Turn


class Door:
    def __init__(
        self,
        now: float,
        chance: random.Random,
        values: Mapping[str, float],
        targets: Mapping[str, float],
        may_advise: bool,
        longest_advice: float,
        limit: Limit | None = None,
        gateways: int = 1,
    ) -> None:
        """`values`, `targets`: of each package, its value and its join target in seconds. `gateways`: how
        many share the fleet's limits, as the site states it; each has an equal part until `shared` says
        else."""
        self.chance, self.values, self.targets = chance, values, targets
        self.may_advise, self.longest_advice = may_advise, longest_advice
        self.limit: Limit = limit if limit is not None else Adapted()
        self.queue = FairQueue(chance.randbytes(32))
        self.heavy, self.pace, self.places = Heavy(), Pace(), Places()
        self.tickets = Tickets(chance.randrange(1 << 16), chance.randbytes(32))
        self.part, self.by_client, self.by_package = Part(1.0 / gateways), ClientRates(), PackageRates()
        self.takes = 0.0  # seconds of a set-up, lately
        self.set_ups = 0.0  # of the fleet at once; 0: only the adapted limit counts
        self.out: dict[int, tuple[float, str]] = {}  # let in and not settled: since when, package
        self.levels = sorted(set(values.values())) or [1.0]
        self.ahead = 0.0
        self.level = 0  # packages worth less than `levels[level]` are turned away at once
        self._asked: dict[str, Asked] = {}  # how often a package with a rate is asked for
        self._most = 0  # that were in or waiting at once since they were told
        self.counts = {"let_in": 0, "turned_away": 0, "over_rate": 0, "returned": 0}
        self._due: deque[Decision] = deque()
        self._looked_at, self._calm = now, 0
        self._pressed: dict[float, int] = {}  # found no turn since the last look, by value

    def limited(
        self, client_rate: float, client_burst: float, package_rates: Mapping[str, float], set_ups: float
    ) -> None:
        """The site's limits, at start and at a reload. Who is in or waits already stays: a lower limit is
        reached by letting nobody in until they are under it."""
        self.by_client.changed(client_rate, client_burst)
        self.by_package.changed(package_rates)
        self._asked = {p: self._asked.get(p, Asked()) for p in package_rates}
        self.set_ups = set_ups

    def shared(
        self,
        now: float,
        own: float,
        lent: Mapping[str, float],
        until: float,
        by_budget: Mapping[str, float] | None = None,
    ) -> None:
        """This gateway's part of the fleet's limits: what it has of its own, what is lent up to `until`.
        `by_budget`: its own part of limits of which that is another."""
        self.by_package.gather(now, self.part)
        self.part.told(own, lent, until, by_budget)

    def needs(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        """Of the whole of each of the fleet's limits, what is in use here and what could be: the most set-ups
        at once since `needs_told`, and none where there was none: a set-up that may be begun here can not be
        begun elsewhere."""
        used, wanted = self.uses(), dict[str, float]()
        for package, a_second in self.by_package.a_second.items():
            wanted[budget_of(package)] = self._asked[package].at(now) / a_second
        if self.set_ups:
            most = min(ROOM * self._most + 1.0, self.limit.limit) if self._most else 0.0
            wanted[SET_UPS] = most / self.set_ups
        return used, wanted

    # ---- what happens --------------------------------------------------------------------------------------

    def asked(
        self,
        now: float,
        conn: int,
        name: bytes,
        package: str,
        patience: float,
        ticket: str = "",
        ahead: float = 0.0,
    ) -> None:
        """A client asks for a viewing that must be answered by `patience`. `ahead`: what the wall clock, by
        which tickets go, is ahead of `now`; nothing else goes by it, so it may step."""
        self.heavy.asked(now, name)
        self.ahead = ahead
        if package in self._asked:
            self._asked[package].asked(now)
        value = self.values.get(package, self.levels[0])
        until = patience - min(max(NEEDED, SURELY * self.takes), 0.5 * max(0.0, patience - now))
        returns = bool(ticket) and self.tickets.good(now + ahead, ticket, name)
        if not returns:  # a promise is kept up to patience: who returns has missed the join target already
            until = min(until, now + WAITS * self.targets.get(package, 1.0))
        one = Waiting(conn, name, package, self.levels[0] / value, now, until)
        self.counts["returned"] += returns
        if self.by_client.a_second and (wait := self.by_client.wait(now, name)) > 0:
            self._over(one, "over its rate", wait)
            return
        if self.by_package.a_second and not returns:
            wait = self.by_package.wait(now, package, self.part)
            if wait > 0:
                self._over(one, f"over the fleet's budget {budget_of(package)}", wait)
                return
        if value < self.levels[self.level] and not returns:
            self._turn(now, one, "brown-out")
            return
        out = self.queue.put(now, one, first=returns)
        self._most = max(self._most, len(self.out) + len(self.queue))
        if out is not None:
            self._turn(now, out, "the queue is full")

    def gone(self, now: float, conn: int) -> None:
        """It hung up while it waited, or after it was let in."""
        self.queue.drop(conn)
        self.out.pop(conn, None)

    def settled(self, now: float, conn: int, failed: bool) -> None:
        """The module has answered: it plays, or it was blocked or aborted (`failed`)."""
        held = self.out.pop(conn, None)
        if held is not None:
            since, package = held
            self.takes = (NEW * (now - since) + OLD * self.takes) / (NEW + OLD)
            self.limit.ended(now, len(self.out) + 1, now - since, self.targets.get(package, 1.0), failed)

    def given_up(self, now: float) -> None:
        """A tune-in of one that was let in was not answered in its time."""
        self.limit.pressed(now)

    def needs_told(self) -> None:
        """What is needed here was asked for."""
        self._most = len(self.out) + len(self.queue)

    def uses(self) -> dict[str, float]:
        """Of the whole of each limit on what is held, what is held here now."""
        return {SET_UPS: len(self.out) / self.set_ups} if self.set_ups else {}

    # ---- what is decided -----------------------------------------------------------------------------------

    def decide(self, now: float) -> Decision | None:
        ends = self.queue.wake_at()
        if ends is not None and ends <= now:
            for one in self.queue.overdue(now):
                self._turn(now, one, "no turn in time")
        if not 0 <= now - self._looked_at < STEP:
            self._brown_out(now)
        if self._due:
            return self._due.popleft()
        if self._room(now) <= 0:
            return None
        first = self.queue.next(now)
        if first is None:
            return None
        self.out[first.conn] = now, first.package
        self.pace.let_in(now)
        self.counts["let_in"] += 1
        return Let(first.conn)

    def has_room(self, now: float) -> bool:
        """Whether one that waits could be let in now."""
        return len(self.queue) > 0 and self._room(now) > 0

    def _room(self, now: float) -> int:
        """Of all limits on set-ups at once, the one place where they meet."""
        room = self.limit.room(len(self.out))
        if self.set_ups:
            room = min(room, self.part.things(now, SET_UPS, int(self.set_ups)) - len(self.out))
        return room

    def _over(self, one: Waiting, why: str, wait: float) -> None:
        """A rate turns it away: the wait is what the rate says, and no ticket lets it go before others."""
        self.counts["over_rate"] += 1
        advice = min(wait, self.longest_advice) if self.may_advise else 0.0
        self._due.append(Turn(one.conn, why, advice))

    def _turn(self, now: float, one: Waiting, why: str) -> None:
        self.counts["turned_away"] += 1
        if why != "brown-out":
            value = self.values.get(one.package, self.levels[0])
            self._pressed[value] = self._pressed.get(value, 0) + 1
        advice, ticket = 0.0, ""
        if self.may_advise and self.longest_advice > 0:
            pace = self.pace.at(now)
            waits = len(self.queue) / pace if pace > 0 else 1.0
            least = min(max(0.5, waits), self.longest_advice)
            found = self.places.booked(now, pace, least, self.longest_advice)
            if found is None:  # all places are taken: as late as is allowed, and no promise
                advice = self.longest_advice * self.chance.uniform(0.7, 1.0)
            else:
                advice = min(found + self.chance.random(), self.longest_advice)
                ticket = self.tickets.issue(now + self.ahead + advice, one.name)
        self._due.append(Turn(one.conn, why, advice, ticket))

    def _brown_out(self, now: float) -> None:
        """Where more valuable ones found no turn, those worth less are turned away at once, a step at a time,
        until nobody above them is pressed any more."""
        pressed = [value for value, n in self._pressed.items() if n >= PRESSED]
        self._looked_at, self._pressed = now, {}
        lowest = self.levels[self.level]
        if any(value > lowest for value in pressed) and self.level < len(self.levels) - 1:
            self.level += 1
        self._calm = 0 if pressed else self._calm + 1
        if self.level and self._calm >= CALM:
            self.level, self._calm = self.level - 1, 0

    def wake_at(self) -> float | None:
        """When there is something to decide without news; in the past where there is now."""
        if self._due:
            return 0.0
        ends = self.queue.wake_at()
        look = self._looked_at + STEP if self.level else None
        return min((t for t in (ends, look) if t is not None), default=None)

    # ---- for people and the next start ---------------------------------------------------------------------

    def state(self, now: float) -> dict[str, Any]:
        return {
            "limit": round(self.limit.limit, 1),
            "share": {
                b: round(self.part.share(now, b), 4)
                for b in [*map(budget_of, self.by_package.a_second), *([SET_UPS] if self.set_ups else [])]
            },
            "out": len(self.out),
            "waiting": len(self.queue),
            "level": self.level,
            "let_in_a_second": round(self.pace.at(now), 1),
            **self.counts,
            "tickets_refused": dict(self.tickets.refused),
            "heaviest": self.heavy.heaviest(5),
            "heaviest_error": round(self.heavy.error(), 1),
        }

    def frozen(self) -> dict[str, Any]:
        """What the next life takes up: who is heavy, what was used, how much was let in at once."""
        return {
            "heavy": self.heavy.frozen(),
            "tickets": self.tickets.frozen(),
            "limit": self.limit.limit,
            "level": self.level,
        }

    def thawed(self, now: float, held: Mapping[str, Any]) -> None:
        """Goes on from what was kept. The limit begins at half of it: a wave may come with the start."""
        self.heavy.thawed(now, list(held["heavy"]))
        self.tickets.thawed(held["tickets"])
        self.limit.limit = max(LEAST, 0.5 * float(held["limit"]))
        self.level = min(int(held["level"]), len(self.levels) - 1)
