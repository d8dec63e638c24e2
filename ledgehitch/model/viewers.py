"""Viewers in virtual time: each does what `standins/visiting.py` says, as on loopback. Free of I/O."""

import random
from collections.abc import Callable, Generator, Iterator
from typing import TYPE_CHECKING

from ledgehitch.model.front import Front
from ledgehitch.model.media import Session
from ledgehitch.standins.arrivals import Visit, visits, weighted_index
from ledgehitch.standins.service import Booking
from ledgehitch.standins.visiting import LATE_ANSWER, SIGN, Action, Rest, Seen, Try, TryResult, Watch, visit

if TYPE_CHECKING:
    from ledgehitch.model.day import Ground


class Crowd:
    """All viewers of a day."""

    def __init__(self, ground: "Ground") -> None:
        self.ground = ground
        self.chance = random.Random(f"{ground.seed}/viewers")
        lean = random.Random(f"{ground.seed}/lean")
        self.names = [g.name for g in ground.site.gateways]
        self.lean = [0.5 + lean.random() for _ in self.names]
        self.packages = {p.name: p for p in ground.site.packages}
        self.booking = Booking(ground.day, ground.site)
        self.started = 0.0
        self.conns = 0
        self._coming: Iterator[Visit] = iter(())

    def begin(self) -> None:
        """The day's first moment is now; viewers are drawn as they come."""
        self.started = self.ground.agenda.now
        self._coming = visits(self.ground.day, self.ground.site, self.ground.seed)
        self._next()

    def now(self) -> float:
        """Seconds from the day's start."""
        return self.ground.agenda.now - self.started

    def _next(self) -> None:
        v = next(self._coming, None)
        if v is not None:
            self.ground.agenda.at(self.started + v.at, self._comes, v)

    def _comes(self, v: Visit) -> None:
        Viewer(self, v).begin()
        self._next()

    def gateway(self, place: float) -> Front:
        """The gateway that the place falls on: the life that it is in, or was in last."""
        return self.ground.fronts[self.names[weighted_index(place, self.lean)]]


class Viewer:
    __slots__ = (
        "crowd",
        "v",
        "steps",
        "waits",
        "repeat",
        "front",
        "resource",
        "session",
        "seen",
        "ends",
        "in_time",
        "told_at",
    )

    def __init__(self, crowd: Crowd, v: Visit) -> None:
        self.crowd, self.v = crowd, v
        target = crowd.packages[v.package].join_target
        self.steps: Generator[Action, TryResult | bool | None, None] = visit(
            v, crowd.ground.day, target, crowd.booking, crowd.chance, crowd.now
        )
        self.waits = -1  # the connection whose answer is awaited
        self.repeat = -1  # the second connection of a viewer that sends its offer twice
        self.front: Front | None = None
        self.resource = ""
        self.session: Session | None = None
        self.seen = Seen(0.0)
        self.ends = self.told_at = 0.0
        self.in_time = False

    def begin(self) -> None:
        self._does(None)

    def _does(self, came: TryResult | bool | None) -> None:
        try:
            step = self.steps.send(came)
        except StopIteration:
            return
        match step:
            case Try(place, top, ticket):
                self._try(place, top, ticket)
            case Rest(seconds):
                self.crowd.ground.agenda.after(max(0.0, seconds), self._does, None)
            case Watch(_, seconds, in_time):
                self._watch(seconds, in_time)

    # ---- asking --------------------------------------------------------------------------------------------

    def _try(self, place: float, top: int, ticket: str) -> None:
        c, g, v = self.crowd, self.crowd.ground, self.v
        front = c.gateway(place)
        c.chance.randrange(10)  # the stand-ins draw for the text of the offer here
        if not front.up:
            g.agenda.after(2 * g.hop, self._does, TryResult("nobody"))
            return
        self.front, self.resource, self.session = front, "", None
        package = c.packages[v.package]
        c.conns += 1
        self.waits, self.repeat = c.conns, -1
        offer = f"{c.conns:x}"
        who = f"viewer-{g.seed}-{v.number}"
        self._ask(front, self.waits, offer, who, top, ticket)
        patience = package.patience
        leaves = v.impatient_after if v.impatient_after is not None else patience + LATE_ANSWER
        g.agenda.after(leaves, self._gives_up, self.waits, v.impatient_after is not None)
        if v.repeats:
            c.conns += 1
            self.repeat = c.conns
            self._ask(front, self.repeat, offer, who, top)

    def _ask(self, front: Front, conn: int, offer: str, who: str, top: int, ticket: str = "") -> None:
        c, g, v = self.crowd, self.crowd.ground, self.v
        package = c.packages[v.package]
        now = g.agenda.now
        g.write(
            "ask",
            conn=conn,
            who=who,
            package=v.package,
            title=v.title,
            gateway=front.name,
            patience=package.patience,
            method=v.method,
            offer=offer,
        )
        held = g.site.titles[v.title]
        answered: Callable[..., None] = self._answered if conn == self.waits else self._repeat_answered
        g.agenda.after(
            g.hop,
            front.take,
            front.asked,
            conn,
            f"{who}/{offer}".encode(),
            v.package,
            v.title,
            (held.first, held.spread),
            top,
            now + package.patience,
            lambda *told: answered(conn, *told),
            who,
            ticket,
        )

    def _note_answer(self, conn: int, kind: str, resource: str) -> None:
        g = self.crowd.ground
        if kind == "broken":
            g.write("broken", conn=conn, why="ended")
            return
        status = {"plays": 201, "blocked": 503, "aborted": 504}[kind]
        g.write("answer", conn=conn, status=status, kind=kind, extra=0, resource=resource)

    def _answered(
        self, conn: int, kind: str, advice: float, resource: str, session: Session | None, ticket: str = ""
    ) -> None:
        if conn != self.waits:
            return
        self.waits = -1
        self._note_answer(conn, kind, resource)
        self.resource, self.session = resource, session
        self._does(TryResult(kind, advice, ticket))

    def _repeat_answered(
        self, conn: int, kind: str, advice: float, resource: str, session: Session | None, ticket: str = ""
    ) -> None:
        if conn == self.repeat:
            self.repeat = -1
            self._note_answer(conn, kind, resource)

    def _gives_up(self, conn: int, impatient: bool) -> None:
        if conn != self.waits or self.front is None:
            return
        self.waits = -1
        g = self.crowd.ground
        g.write("hangup", conn=conn)
        g.agenda.after(g.hop, self.front.take, self.front.hung_up, conn)
        self._does(TryResult("hung up" if impatient else "broken"))

    # ---- watching ------------------------------------------------------------------------------------------

    def _watch(self, seconds: float, in_time: bool) -> None:
        c = self.crowd
        if self.session is None:
            self._does(False)
            return
        self.seen = Seen(c.now())
        self.ends = min(c.now() + seconds, c.ground.day.length)
        self.in_time = in_time
        self._sign()

    def _sign(self) -> None:
        """A sign to what plays, whose answer says what is delivered; a while later it is booked."""
        c, session = self.crowd, self.session
        now = c.now()
        if now >= self.ends - 1e-9 or session is None:
            self._goes(True)
            return
        told = session.host.seen_by_viewer(session.id)
        if told is None:
            self.seen.gone = True
        elif not isinstance(told, bool):
            self.seen.on_answer(now, *told)
        self.told_at = now
        c.ground.agenda.after(min(SIGN, self.ends - now), self._watched)

    def _watched(self) -> None:
        c = self.crowd
        now, spent = c.now(), c.now() - self.told_at
        c.booking.watched(
            self.v, self.told_at, spent, self.seen.visible_share(now), self.seen.rung, self.in_time
        )
        if self.seen.gives_up(now, spent, c.ground.day.arrivals.leave_under, c.chance):
            self._goes(False)
        else:
            self._sign()

    def _goes(self, content: bool) -> None:
        g, front = self.crowd.ground, self.front
        if front is not None and self.resource:
            g.agenda.after(g.hop, front.take, front.deleted, self.resource)
        self._does(content)
