"""A media host in virtual time: set-ups, sessions, warm-up, falling over, noisy reports. Free of I/O.

It does what `standins/media.py` does on sockets, with the same places, habits and troubles, and writes the
same lines on the tape.
"""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from ledgehitch.interface import Outcome
from ledgehitch.standins.faults import Troubles
from ledgehitch.standins.links import Delivery
from ledgehitch.standins.places import Places

if TYPE_CHECKING:
    from ledgehitch.model.day import Ground
    from ledgehitch.model.front import Front

Loads = dict[str, float]
BAD = (Outcome.ERROR, Outcome.RESET, Outcome.OK, Outcome.RESET)  # wrong SDP, half, twice, a reset: in turn


class Session:
    __slots__ = ("id", "key", "front", "viewing_id", "kb", "per_kb", "rung", "host")

    def __init__(
        self,
        id: str,
        key: str,
        front: "Front",
        viewing_id: int,
        per_kb: float,
        rung: int,
        kb: float,
        host: "MediaHost",
    ) -> None:
        self.id, self.key, self.front, self.viewing_id, self.host = id, key, front, viewing_id, host
        self.per_kb, self.rung, self.kb = per_kb, rung, kb  # true kB for each kB of the ladder; kB asked now


class SetUp:
    """A tune-in on which this host works, or which it will never answer."""

    __slots__ = ("id", "key", "front", "viewing_id", "package", "title", "rung", "answered", "works")

    def __init__(
        self,
        id: str,
        key: str,
        front: "Front",
        viewing_id: int,
        package: str,
        title: str,
        rung: int,
        answered: Callable[..., None],
    ) -> None:
        self.id, self.key, self.front, self.viewing_id = id, key, front, viewing_id
        self.package, self.title, self.rung, self.answered = package, title, rung, answered
        self.works = False


class MediaHost:
    def __init__(
        self,
        ground: "Ground",
        name: str,
        cell: int,
        kind: str,
        zone: str,
        weight: float,
        new_places: Callable[[], Places],
    ) -> None:
        self.ground, self.name, self.cell, self.kind = ground, name, cell, kind
        self.zone, self.weight, self.new_places = zone, weight, new_places
        self.chance = random.Random(f"{ground.seed}/{name}")
        self.troubles, self.delivery = Troubles(), Delivery()
        self.places = new_places()
        self.sessions: dict[str, Session] = {}
        self.by_key: dict[str, str] = {}
        self.by_front: dict[Front, dict[str, Session]] = {}
        self.set_ups: dict[str, SetUp] = {}
        self.working = 0
        self.asked = 0.0  # kB a second that its sessions ask of the link
        self.started = 0.0
        self.lives = 0
        self._up = False
        self._ids = self._bad_turn = 0
        self._shown: tuple[float, Delivery] = (-1e9, Delivery())

    # ---- its process ---------------------------------------------------------------------------------------

    @property
    def up(self) -> bool:
        return self._up

    def start(self, cold: bool = True) -> None:
        self.lives += 1
        self._up = True
        self.places, self.troubles = self.new_places(), Troubles()
        now = self.ground.agenda.now
        self.started = self.places.started = now if cold else now - self.places.warm_up
        if cold:
            self.ground.write("started", host=self.name, slots=self.places.slots)

    def stop(self, fell: bool = False) -> None:
        """The process dies: connections are reset, sessions are gone."""
        if not self._up:
            return
        self._up = False
        waiting, self.set_ups, self.working = list(self.set_ups.values()), {}, 0
        for one in waiting:
            self.ground.write("setup_gone", id=one.id)
            self._reply(one, Outcome.RESET)
        fronts = list(self.by_front)
        for session in list(self.sessions.values()):
            self.drop(session)
        self.ground.write("fell" if fell else "down", host=self.name)
        self.ground.died(self, fronts)

    # ---- tune-ins ------------------------------------------------------------------------------------------

    def tune_in(
        self,
        key: str,
        front: "Front",
        viewing_id: int,
        package: str,
        title: str,
        rung: int,
        answered: Callable[..., None],
    ) -> None:
        """A gateway's set-up arrives; `answered` (code, loads, session or None) is called back there."""
        g = self.ground
        if not self._up:
            g.send(front, answered, Outcome.CONNECT_FAILED, {}, None)
            return
        self._ids += 1
        one = SetUp(
            f"{self.name}+{self.lives}+{self._ids}", key, front, viewing_id, package, title, rung, answered
        )
        g.write(
            "setup",
            host=self.name,
            id=one.id,
            key=key,
            gateway=front.name,
            package=package,
            title=title,
            rung=rung,
        )
        self.set_ups[key] = one
        t = self.troubles
        if not self.places.take(g.agenda.now):
            self.stop(fell=True)
        elif t.silent or t.hangs:
            pass  # never answered: its gateway gives up
        elif self.chance.random() < t.errors:
            self._out(one, 500, Outcome.ERROR)
        elif len(self.sessions) + self.working >= self.places.slots or (
            g.habits.full_from and self.delivery.link >= g.habits.full_from
        ):
            self._out(one, 503, Outcome.FULL)
        else:
            one.works = True
            self.working += 1
            g.agenda.after(g.habits.draw_setup_time(self.chance) * t.slower, self._set, one)

    def _set(self, one: SetUp) -> None:
        """The set-up's work is done, if it is still wanted."""
        if self.set_ups.get(one.key) is not one:
            return
        one.works = False
        self.working -= 1
        t, g = self.troubles, self.ground
        if t.silent or t.hangs:
            return
        per_kb = g.scales.get(one.package, 1.0) * g.habits.true_rate(one.title)
        kb = g.rates[one.rung] * per_kb
        session = Session(one.id, one.key, one.front, one.viewing_id, per_kb, one.rung, kb, self)
        self.sessions[one.id], self.by_key[one.key] = session, one.id
        self.by_front.setdefault(one.front, {})[one.id] = session
        self.asked += kb
        if self.chance.random() < t.lost:
            if t.lost_resets:
                del self.set_ups[one.key]
                g.write("setup_gone", id=one.id)
                self._reply(one, Outcome.RESET)
            return
        code = Outcome.OK
        if self.chance.random() < t.bad:
            self._bad_turn += 1
            code = BAD[self._bad_turn % 4]
        self._out(one, 201, code, session)

    def _out(self, one: SetUp, status: int, code: Outcome, session: Session | None = None) -> None:
        del self.set_ups[one.key]
        self.ground.write("setup_out", id=one.id, status=status)
        self._reply(one, code, self.report(), session)

    def _reply(
        self, one: SetUp, code: Outcome, loads: Loads | None = None, session: Session | None = None
    ) -> None:
        g = self.ground
        g.agenda.after(g.way(one.front, self), one.front.take, one.answered, code, loads or {}, session)

    def gave_up(self, key: str) -> None:
        """The gateway closed its connection, and calls back whatever came of it."""
        one = self.set_ups.pop(key, None)
        if one is not None:
            self.working -= one.works
            self.ground.write("setup_gone", id=one.id)
        session = self.sessions.get(self.by_key.get(key, ""))
        if session is not None and not self.troubles.silent:
            self.drop(session)

    # ---- what plays ----------------------------------------------------------------------------------------

    def drop(self, session: Session) -> None:
        if self.sessions.pop(session.id, None) is None:
            return
        self.by_key.pop(session.key, None)
        mine = self.by_front[session.front]
        del mine[session.id]
        if not mine:
            del self.by_front[session.front]
        self.asked = self.asked - session.kb if self.sessions else 0.0
        self.ground.write("stop", id=session.id)

    def set_rung(self, session: Session, rung: int) -> bool:
        """A gateway tells a rung; False where nothing answers."""
        if session.id not in self.sessions or self.troubles.hangs or self.troubles.silent:
            return False
        self.asked -= session.kb
        session.rung, session.kb = rung, self.ground.rates[rung] * session.per_kb
        self.asked += session.kb
        self.ground.write("rung", id=session.id, rung=rung)
        return True

    def seen_by_viewer(self, id: str) -> tuple[float, int] | None | bool:
        """The answer to a viewer's sign: share and rung; None if it does not play, False for no answer."""
        if not self._up or self.troubles.silent:
            return False
        session = self.sessions.get(id)
        if session is None:
            return None
        return (0.0 if self.troubles.hangs else self.delivery.share), session.rung

    def report(self) -> Loads:
        """What it says of its load: up to `refresh` old, and noisy."""
        h, now = self.ground.habits, self.ground.agenda.now
        if now - self._shown[0] > h.refresh:
            self._shown = now, h.reported(self.chance, self.delivery)
        d = self._shown[1]
        return {"util": min(1.0, d.link), "inflight": float(len(self.sessions)), "x0": d.link, "x1": d.uplink}

    def viewing_id_of(self, front: "Front") -> int:
        """One viewing of that gateway here: notes are told on it."""
        return next(iter(self.by_front[front].values())).viewing_id
