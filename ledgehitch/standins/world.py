"""All media hosts of a fleet, their links and racks, the list service and the peers' network, in one process.

It is the stage of `faults.py`; faults come over the control address.
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
from ledgehitch.standins.faults import Faults
from ledgehitch.standins.links import BEAT, Fabric, Kinds, Link, Telling
from ledgehitch.standins.lists import ListService
from ledgehitch.standins.media import MediaHost
from ledgehitch.standins.network import PeerNetwork
from ledgehitch.standins.places import Habits, places_of

ANY = endpoint("127.0.0.1:0")


class World:
    def __init__(
        self,
        loop: Loop,
        site: Site,
        habits: Habits,
        tape: Tape,
        seed: int,
        fresh: bool = False,
        link_kb: float = 0.0,
        list_delay: float = 0.5,
        peer_delay: float = 0.01,
        peer_loss: float = 0.0,
    ) -> None:
        self.loop, self.site, self.habits, self.tape, self.seed = loop, site, habits, tape, seed
        self.chance = random.Random(f"{seed}/world")
        self.fabric = Fabric()
        self.hosts: dict[str, MediaHost] = {}
        self.rates = tuple(r.kb for r in site.ladder)
        self.scales = {p.name: p.scale for p in site.packages}
        self.lists = ListService(loop, endpoint(site.list_at), tape, list_delay, seed)
        self.media = Datagrams(loop, ANY)
        self.born = 0
        self.faults = Faults(self, self.chance)
        routes = {
            g.name: (endpoint(g.peer_via), endpoint(g.peer_at))
            for g in site.gateways
            if g.peer_via and g.peer_at
        }
        self.network = PeerNetwork(loop, routes, peer_delay, peer_loss, seed)
        for rack in range(site.fleet.racks):
            self.fabric.uplinks[rack] = Link(site.fleet.uplink_kb)
        for record in site.hosts:
            kb = link_kb or record.weight * site.fleet.link_unit_kb
            self._add(
                record.name,
                endpoint(record.at),
                record.cell,
                record.kind,
                record.zone,
                record.weight,
                kb,
                fresh,
                at_once=True,
            )
        loop.spawn(self._beat, name="links")
        loop.spawn(self._hear_viewers, name="viewers' signs")

    def _add(
        self,
        name: str,
        at: Endpoint,
        cell: int,
        kind: str,
        zone: str,
        weight: float,
        kb: float,
        cold: bool,
        at_once: bool = False,
    ) -> MediaHost:
        host = MediaHost(
            self.loop,
            name,
            at,
            cell,
            kind,
            zone,
            weight,
            self.rates,
            self.scales,
            lambda: places_of(self.site, kind),
            self.habits,
            self.tape,
            self.seed,
            str(self.media.at),
        )
        self.hosts[name] = host
        self.fabric.links[name] = Link(kb)
        self.fabric.rack_of[name] = cell % max(1, self.site.fleet.racks)
        host.start(cold)
        self.listed(host, "in_service", at_once)
        return host

    def listed(self, host: MediaHost, state: str, at_once: bool = False) -> None:
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
        telling = Telling(time.monotonic(), self.site.fleet.told_every)
        while True:
            self.loop.sleep(BEAT)
            now = time.monotonic()
            told = self.fabric.deliveries({n: h.asked_kb() for n, h in self.hosts.items() if h.up})
            for name, delivery in told.items():
                self.hosts[name].delivery = delivery
            second, notes = telling.due(now, told)
            for name in sorted(told) if second else ():
                self.hosts[name].alive()
            for name, kinds in notes:
                self._later(now + self.site.fleet.told_late, name, kinds)
            for host in list(self.hosts.values()):
                host.sweep()

    def _later(self, at: float, name: str, kinds: Kinds) -> None:
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

    # ---- the faults' stage ---------------------------------------------------------------------------------

    def in_service(self) -> list[str]:
        return sorted(n for n, h in self.hosts.items() if h.up and h.name in self.lists.lines)

    def now(self) -> float:
        return time.monotonic()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        self.loop.call_at(time.monotonic() + seconds, call)

    def replace(self, name: str) -> None:
        """The old one goes, a successor with a new id and address starts cold in its cell."""
        old = self.hosts[name]
        if old.up:
            old.stop()
        self.listed(old, "terminated")
        self.born += 1
        self._add(
            f"s{self.born}x",
            ANY,
            old.cell,
            old.kind,
            old.zone,
            old.weight,
            self.fabric.links[name].kb,
            cold=True,
        )

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
                return Response(200, [], json.dumps(self.faults.begin(fault)).encode())
            case "POST", "/flush":
                self.tape.flush()
                return Response(200)
            case "GET", "/figures":
                return Response(
                    200, [("Content-Type", "application/json")], json.dumps(self.figures()).encode()
                )
        raise Refused(404, "nothing there")

    def figures(self) -> dict[str, Any]:
        return {
            n: {
                "up": h.up,
                "viewings": len(h.sessions),
                "share": round(h.delivery.share, 3),
                "link": round(h.delivery.link, 3),
                "uplink": round(h.delivery.uplink, 3),
            }
            for n, h in sorted(self.hosts.items())
        }
