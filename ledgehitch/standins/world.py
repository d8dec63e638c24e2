"""All media hosts of a fleet, their links and racks, the list service and the peers' network, in one process.

Faults come by `begin` (and over the control address): each picks whom it meets by the world's own chance.
"""

import json
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec

from ledgehitch.config import KINDS, Fault, Site
from ledgehitch.http import Refused, Request, Response, Server
from ledgehitch.loop import Datagrams, Endpoint, Loop, endpoint
from ledgehitch.proof.tape import Tape
from ledgehitch.standins.links import Fabric, Link
from ledgehitch.standins.lists import ListService
from ledgehitch.standins.media import Habits, MediaHost
from ledgehitch.standins.network import PeerNetwork
from ledgehitch.standins.places import Places

BEAT = 0.25  # seconds between looks at what links deliver
NOTICE = 1.0  # seconds after which the list notices a dead process; a silent machine takes four times that
ANY = endpoint("127.0.0.1:0")


class World:
    def __init__(self, loop: Loop, site: Site, habits: Habits, tape: Tape, seed: int, fresh: bool = False,
                 link_kb: float = 0.0, list_delay: float = 0.5, peer_delay: float = 0.01,
                 peer_loss: float = 0.0) -> None:  # fmt: skip
        self.loop, self.site, self.habits, self.tape, self.seed = loop, site, habits, tape, seed
        self.chance = random.Random(f"{seed}/world")
        self.fabric = Fabric()
        self.hosts: dict[str, MediaHost] = {}
        self.rates = tuple(r.kb for r in site.ladder)
        self.scales = {p.name: p.scale for p in site.packages}
        self.lists = ListService(loop, endpoint(site.list_at), tape, list_delay, seed)
        self.media = Datagrams(loop, ANY)
        self.born = 0
        routes = {g.name: (endpoint(g.peer_via), endpoint(g.peer_at)) for g in site.gateways
                  if g.peer_via and g.peer_at}  # fmt: skip
        self.network = PeerNetwork(loop, routes, peer_delay, peer_loss, seed)
        for rack in range(site.fleet.racks):
            self.fabric.uplinks[rack] = Link(site.fleet.uplink_kb)
        for record in site.hosts:
            kb = link_kb or record.weight * site.fleet.link_unit_kb
            self._add(record.name, endpoint(record.at), record.cell, record.kind, record.zone,
                      record.weight, kb, fresh, at_once=True)  # fmt: skip
        loop.spawn(self._beat, name="links")
        loop.spawn(self._hear_viewers, name="viewers' signs")

    def _add(self, name: str, at: Endpoint, cell: int, kind: str, zone: str, weight: float, kb: float,
             cold: bool, at_once: bool = False) -> MediaHost:  # fmt: skip
        f, t = self.site.fleet, self.site.terms

        def places() -> Places:
            return Places(f.slots[kind], t.warm_up, t.cold_share, t.fall_multiple, t.fall_after, 0.0)

        host = MediaHost(self.loop, name, at, cell, kind, zone, weight, self.rates, self.scales, places,
                         self.habits, self.tape, self.seed, str(self.media.at))  # fmt: skip
        self.hosts[name] = host
        self.fabric.links[name] = Link(kb)
        self.fabric.rack_of[name] = cell % max(1, f.racks)
        host.start(cold)
        self._list(host, "in_service", at_once)
        return host

    def _list(self, host: MediaHost, state: str, at_once: bool = False) -> None:
        line = {
            "host": host.name,
            "at": str(host.want_at),
            "cell": host.cell,
            "weight": host.weight,
            "kind": host.kind,
            "zone": host.zone,
            "state": state,
            "started": host.started_wall,
        }
        self.lists.set(line, at_once)

    # ---- what goes on --------------------------------------------------------------------------------------

    def _beat(self) -> None:
        """Works out what links deliver, and tells gateways of shortfall and use, late as the site says."""
        last_short = last_use = time.monotonic()
        was_short: set[str] = set()
        while True:
            self.loop.sleep(BEAT)
            now = time.monotonic()
            told = self.fabric.deliveries({n: h.asked_kb() for n, h in self.hosts.items() if h.up})
            for name, delivery in told.items():
                self.hosts[name].delivery = delivery
            late = now + self.site.fleet.told_late
            if now - last_short >= 1.0:
                last_short = now
                for name in sorted(told):
                    self.hosts[name].alive()
                    share = told[name].share
                    if share < 0.999 or name in was_short:
                        self._later(late, name, ((1, share),))
                    (was_short.add if share < 0.999 else was_short.discard)(name)
            if now - last_use >= self.site.fleet.told_every:
                last_use = now
                for name in sorted(told):
                    self._later(late, name, ((3, told[name].link), (4, told[name].uplink)))
            for host in list(self.hosts.values()):
                host.sweep()

    def _later(self, at: float, name: str, kinds: tuple[tuple[int, float], ...]) -> None:
        host = self.hosts[name]
        self.loop.call_at(at, lambda: host.note(kinds))

    def _hear_viewers(self) -> None:
        """Viewers say that they still watch, and hear what is delivered: a stand-in for the media itself."""
        while True:
            data, sender = self.media.receive()
            id = data.decode("ascii", "replace")
            host = self.hosts.get(id.partition("+")[0])
            if host is None or not host.up or host.troubles.silent:
                continue
            told = host.consented(id)
            said = f"{id} gone" if told is None else f"{id} {told[0]:.4f} {told[1]}"
            self.media.send(said.encode(), Endpoint(self.media.at.family, sender))

    # ---- troubles ------------------------------------------------------------------------------------------

    def begin(self, fault: Fault) -> list[str]:
        """Starts a fault that ends by itself; whom it meets."""
        kind = KINDS[fault.kind]
        up = sorted(n for n, h in self.hosts.items() if h.up and h.name in self.lists.lines)
        if kind.whom in ("hosts", "links"):
            met = self.chance.sample(up, max(1, round(fault.part * len(up)))) if up else []
        elif kind.whom == "uplinks":
            racks = sorted(self.fabric.uplinks)
            met = [str(r) for r in self.chance.sample(racks, max(1, round(fault.part * len(racks))))]
        else:
            met = [kind.whom]
        getattr(self, "_" + fault.kind)(met, fault)
        return met

    def _after(self, seconds: float, call: Callable[[], None]) -> None:
        self.loop.call_at(time.monotonic() + seconds, call)

    def _crash(self, met: list[str], fault: Fault, notice: float = NOTICE) -> None:
        for name in met:
            host = self.hosts[name]
            host.stop()
            self._after(notice, lambda host=host: self._noticed(host))  # type: ignore[misc]
            self._after(fault.len, lambda host=host: self._back(host))  # type: ignore[misc]

    def _noticed(self, host: MediaHost) -> None:
        if not host.up or host.troubles.silent:
            self._list(host, "terminated")

    def _back(self, host: MediaHost) -> None:
        if host.up:
            host.stop()
        host.start(cold=True)
        self._list(host, "in_service")

    def _vanish(self, met: list[str], fault: Fault) -> None:
        for name in met:
            host = self.hosts[name]
            host.troubles.silent = True
            self._after(4 * NOTICE, lambda host=host: self._noticed(host))  # type: ignore[misc]
            self._after(fault.len, lambda host=host: self._back(host))  # type: ignore[misc]

    def _while(self, met: list[str], fault: Fault, on: dict[str, Any], off: dict[str, Any]) -> None:
        """Sets what is wrong with hosts, and takes it back unless they started anew meanwhile."""
        for name in met:
            troubles = self.hosts[name].troubles
            for field, value in on.items():
                setattr(troubles, field, value)

            def over(troubles: Any = troubles) -> None:
                for field, value in off.items():
                    setattr(troubles, field, value)

            self._after(fault.len, over)

    def _hang(self, met: list[str], fault: Fault) -> None:
        self._while(met, fault, {"hangs": True}, {"hangs": False})

    def _slow(self, met: list[str], fault: Fault) -> None:
        self._while(met, fault, {"slower": fault.strength()}, {"slower": 1.0})
        self._link_shrink(met, fault)

    def _fast_errors(self, met: list[str], fault: Fault) -> None:
        self._while(met, fault, {"errors": fault.strength()}, {"errors": 0.0})

    def _answers_lost(self, met: list[str], fault: Fault) -> None:
        on = {"lost": fault.strength(), "lost_resets": bool(fault.extra)}
        self._while(met, fault, on, {"lost": 0.0, "lost_resets": False})

    def _bad_answers(self, met: list[str], fault: Fault) -> None:
        self._while(met, fault, {"bad": fault.strength()}, {"bad": 0.0})

    def _shrink(self, links: list[Link], fault: Fault) -> None:
        for link in links:
            link.divided_by *= fault.strength()

        def over() -> None:
            for link in links:
                link.divided_by /= fault.strength()

        self._after(fault.len, over)

    def _link_shrink(self, met: list[str], fault: Fault) -> None:
        self._shrink([self.fabric.links[name] for name in met], fault)

    def _uplink_shrink(self, met: list[str], fault: Fault) -> None:
        self._shrink([self.fabric.uplinks[int(rack)] for rack in met], fault)

    def _neighbour(self, met: list[str], fault: Fault) -> None:
        ends = time.monotonic() + fault.len
        for name in met:
            self._turn(self.fabric.links[name], fault, ends, True)

    def _turn(self, link: Link, fault: Fault, ends: float, on: bool) -> None:
        over = time.monotonic() >= ends
        link.taken = fault.strength() if on and not over else 0.0
        if not over:
            self._after(fault.further(), lambda: self._turn(link, fault, ends, not on))

    def _deploy(self, met: list[str], fault: Fault) -> None:
        batch = max(1, round(fault.strength() * len(self.hosts))) if fault.size else max(1, len(met) // 3)
        batches = [met[i : i + batch] for i in range(0, len(met), batch)]
        drain = fault.extra if fault.extra is not None else 2.0
        for i, names in enumerate(batches):
            start = i * max(drain, fault.len / max(1, len(batches)))
            for name in names:
                self._after(start, lambda name=name: self._drain(name, drain))  # type: ignore[misc]

    def _drain(self, name: str, drain: float) -> None:
        host = self.hosts.get(name)
        if host is not None and host.up:
            self._list(host, "terminating")
            self._after(drain + self.lists.delay + self.lists.later, lambda: self._replace(name))

    def _replace(self, name: str) -> None:
        """The old one goes, a successor with a new id and address starts cold in its cell."""
        old = self.hosts[name]
        if old.up:
            old.stop()
        self._list(old, "terminated")
        self.born += 1
        self._add(f"s{self.born}x", ANY, old.cell, old.kind, old.zone, old.weight,
                  self.fabric.links[name].kb, cold=True)  # fmt: skip

    def _list_late(self, met: list[str], fault: Fault) -> None:
        self.lists.later += fault.strength()
        self._after(
            fault.len, lambda: setattr(self.lists, "later", max(0.0, self.lists.later - fault.strength()))
        )

    def _list_lost(self, met: list[str], fault: Fault) -> None:
        self.lists.shut()
        self._after(fault.len, self.lists.open)

    def _peers_lost(self, met: list[str], fault: Fault) -> None:
        self.network.lost_more = fault.strength()
        self._after(fault.len, lambda: setattr(self.network, "lost_more", 0.0))

    # ---- control -------------------------------------------------------------------------------------------

    def control(self, at: Endpoint) -> Server:
        """POST /fault with a fault as JSON, POST /flush for the tape, GET /figures."""
        return Server(self.loop, at, self._controlled)

    def _controlled(self, request: Request) -> Response:
        match request.method, request.path:
            case "POST", "/fault":
                try:
                    fault = msgspec.json.decode(request.body, type=Fault)
                except msgspec.MsgspecError as wrong:
                    raise Refused(400, f"no fault: {wrong}") from None
                kind = KINDS.get(fault.kind)
                if kind is None or kind.whom in ("gateways", "viewers"):
                    raise Refused(400, f"the media hosts' side has no fault {fault.kind!r}")
                return Response(200, [], json.dumps(self.begin(fault)).encode())
            case "POST", "/flush":
                self.tape.flush()
                return Response(200)
            case "GET", "/figures":
                return Response(
                    200, [("Content-Type", "application/json")], json.dumps(self.figures()).encode()
                )
        raise Refused(404, "nothing there")

    def figures(self) -> dict[str, Any]:
        return {n: {"up": h.up, "viewings": len(h.sessions), "share": round(h.delivery.share, 3),
                    "link": round(h.delivery.link, 3), "uplink": round(h.delivery.uplink, 3)}
                for n, h in sorted(self.hosts.items())}  # fmt: skip
