"""A simulated fleet in one process: media hosts, links, racks, list service and the network between gateways.

Implements `Stage` of `faults.py`; faults are requested over the control address.
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
from ledgehitch.standins.links import BEAT, Fabric, Kinds, Link, NoteSchedule
from ledgehitch.standins.lists import ListService
from ledgehitch.standins.media import MediaHost
from ledgehitch.standins.network import PeerNetwork
from ledgehitch.standins.places import HostBehaviour, warm_up_limit_of

ANY = endpoint("127.0.0.1:0")


class World:
    """The simulated fleet of a site; delays in seconds."""

    def __init__(
        self,
        loop: Loop,
        site: Site,
        behaviour: HostBehaviour,
        tape: Tape,
        seed: int,
        fresh: bool = False,
        link_kb: float = 0.0,
        list_delay: float = 0.5,
        peer_delay: float = 0.01,
        peer_loss: float = 0.0,
    ) -> None:
        self.loop, self.site, self.behaviour, self.tape, self.seed = loop, site, behaviour, tape, seed
        self.chance = random.Random(f"{seed}/world")
        self.fabric = Fabric()
        self.hosts: dict[str, MediaHost] = {}
        self.rates = tuple(r.kb for r in site.ladder)
        self.scales = {p.name: p.scale for p in site.packages}
        self.lists = ListService(loop, endpoint(site.list_at), tape, list_delay, seed)
        self.media = Datagrams(loop, ANY)
        self.replacements = 0
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
        loop.spawn(self._update_links, name="links")
        loop.spawn(self._answer_keepalives, name="viewers' keep-alives")

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
            lambda: warm_up_limit_of(self.site, kind),
            self.behaviour,
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
        """Reports a host's state to the list service."""
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

    # ---- periodic work -------------------------------------------------------------------------------------

    def _update_links(self) -> None:
        """Updates deliveries, and sends gateways notes on shortfall and utilization with the site's delay."""
        note_schedule = NoteSchedule(time.monotonic(), self.site.fleet.told_every)
        while True:
            self.loop.sleep(BEAT)
            now = time.monotonic()
            deliveries = self.fabric.deliveries({n: h.demand_kb() for n, h in self.hosts.items() if h.up})
            for name, delivery in deliveries.items():
                self.hosts[name].delivery = delivery
            second, notes = note_schedule.due(now, deliveries)
            for name in sorted(deliveries) if second else ():
                self.hosts[name].alive()
            for name, kinds in notes:
                self._note_at(now + self.site.fleet.told_late, name, kinds)
            for host in list(self.hosts.values()):
                host.sweep()

    def _note_at(self, at: float, name: str, kinds: Kinds) -> None:
        host = self.hosts[name]
        self.loop.call_at(at, lambda: host.note(kinds))

    def _answer_keepalives(self) -> None:
        """Answers viewers' keep-alives with the delivered share and rung, in place of the media itself."""
        while True:
            data, sender = self.media.receive()
            id = data.decode("ascii", "replace")
            host = self.hosts.get(id.partition("+")[0])
            if host is None or not host.up or host.active_faults.silent:
                continue
            state = host.on_keepalive(id)
            answer = f"{id} gone" if state is None else f"{id} {state[0]:.4f} {state[1]}"
            self.media.send(answer.encode(), Endpoint(self.media.at.family, sender))

    # ---- Stage for faults ----------------------------------------------------------------------------------

    def in_service(self) -> list[str]:
        """Returns the names of the hosts that run and are listed."""
        return sorted(n for n, h in self.hosts.items() if h.up and h.name in self.lists.lines)

    def now(self) -> float:
        return time.monotonic()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call in `seconds`."""
        self.loop.call_at(time.monotonic() + seconds, call)

    def replace(self, name: str) -> None:
        """Stops a host and starts a cold successor with a new name and address in its cell."""
        old = self.hosts[name]
        if old.up:
            old.stop()
        self.listed(old, "terminated")
        self.replacements += 1
        self._add(
            f"s{self.replacements}x",
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
        """Serves POST /fault with a fault as JSON, POST /flush for the tape, GET /figures."""
        return Server(self.loop, at, self._handle_control)

    def _handle_control(self, request: Request) -> Response:
        match request.method, request.path:
            case "POST", "/fault":
                try:
                    fault = msgspec.json.decode(request.body, type=Fault)
                except msgspec.MsgspecError as error:
                    raise Refused(400, f"invalid fault: {error}") from None
                kind = KINDS.get(fault.kind)
                if kind is None or kind.target in ("gateways", "viewers"):
                    raise Refused(
                        400,
                        f"fault kind {fault.kind!r} does not apply to media hosts, links, list or network",
                    )
                return Response(200, [], json.dumps(self.faults.begin(fault)).encode())
            case "POST", "/flush":
                self.tape.flush()
                return Response(200)
            case "GET", "/figures":
                return Response(
                    200, [("Content-Type", "application/json")], json.dumps(self.figures()).encode()
                )
        raise Refused(
            404,
            f"{request.method} {request.path} is unknown: expected POST /fault, POST /flush or GET /figures",
        )

    def figures(self) -> dict[str, Any]:
        """Returns the state of each host: viewings, delivered share and utilization."""
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
