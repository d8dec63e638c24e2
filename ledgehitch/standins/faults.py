"""What each kind of fault does to media hosts, links, the list and the network between gateways. Free of I/O.

One definition for the stand-ins on loopback and for the model: both are a `Stage` to it.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from ledgehitch.config import KINDS, Fault
from ledgehitch.standins.links import Fabric, Link

NOTICE = 1.0  # seconds after which the list notices a dead process; a silent machine takes four times that


class Troubles:
    """What is wrong with one host now; each is switched on and off by the faults."""

    def __init__(self) -> None:
        self.silent = False  # vanished: nothing is answered, nothing is sent
        self.hangs = False
        self.slower = 1.0
        self.errors = 0.0
        self.lost = 0.0
        self.lost_resets = False
        self.bad = 0.0


class Host(Protocol):
    name: str
    troubles: Troubles

    @property
    def up(self) -> bool: ...
    def start(self, cold: bool = True) -> None: ...
    def stop(self, fell: bool = False) -> None: ...


class List(Protocol):
    delay: float
    later: float

    def open(self) -> None: ...
    def shut(self) -> None: ...


class Network(Protocol):
    lost_more: float


class Stage(Protocol):
    """What faults act on. `listed` tells the list service a host's state; `replace` swaps a drained host for
    a cold successor."""

    fabric: Fabric

    @property
    def hosts(self) -> Mapping[str, Host]: ...
    @property
    def lists(self) -> List: ...
    @property
    def network(self) -> Network: ...
    def in_service(self) -> list[str]: ...
    def listed(self, host: Any, state: str) -> None: ...
    def replace(self, name: str) -> None: ...
    def now(self) -> float: ...
    def after(self, seconds: float, call: Callable[[], None]) -> None: ...


class Faults:
    def __init__(self, stage: Stage, chance: random.Random) -> None:
        self.stage, self.chance = stage, chance

    def begin(self, fault: Fault) -> list[str]:
        """Starts a fault that ends by itself; whom it meets."""
        kind = KINDS[fault.kind]
        up = self.stage.in_service()
        if kind.whom in ("hosts", "links"):
            met = self.chance.sample(up, max(1, round(fault.part * len(up)))) if up else []
        elif kind.whom == "uplinks":
            racks = sorted(self.stage.fabric.uplinks)
            met = [str(r) for r in self.chance.sample(racks, max(1, round(fault.part * len(racks))))]
        else:
            met = [kind.whom]
        getattr(self, "_" + fault.kind)(met, fault)
        return met

    def _after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.stage.after(seconds, lambda: call(*args))

    # ---- media hosts ---------------------------------------------------------------------------------------

    def _crash(self, met: list[str], fault: Fault) -> None:
        for name in met:
            host = self.stage.hosts[name]
            host.stop()
            self._after(NOTICE, self._noticed, host)
            self._after(fault.len, self._back, host)

    def _noticed(self, host: Host) -> None:
        if not host.up or host.troubles.silent:
            self.stage.listed(host, "terminated")

    def _back(self, host: Host) -> None:
        if host.up:
            host.stop()
        host.start(cold=True)
        self.stage.listed(host, "in_service")

    def _vanish(self, met: list[str], fault: Fault) -> None:
        for name in met:
            host = self.stage.hosts[name]
            host.troubles.silent = True
            self._after(4 * NOTICE, self._noticed, host)
            self._after(fault.len, self._back, host)

    def _while(self, met: list[str], fault: Fault, on: dict[str, Any], off: dict[str, Any]) -> None:
        """Sets what is wrong with hosts, and takes it back unless they started anew meanwhile."""
        for name in met:
            troubles = self.stage.hosts[name].troubles
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

    def _deploy(self, met: list[str], fault: Fault) -> None:
        whole = len(self.stage.hosts)
        batch = max(1, round(fault.strength() * whole)) if fault.size else max(1, len(met) // 3)
        batches = [met[i : i + batch] for i in range(0, len(met), batch)]
        drain = fault.extra if fault.extra is not None else 2.0
        for i, names in enumerate(batches):
            start = i * max(drain, fault.len / max(1, len(batches)))
            for name in names:
                self._after(start, self._drain, name, drain)

    def _drain(self, name: str, drain: float) -> None:
        host = self.stage.hosts.get(name)
        if host is not None and host.up:
            self.stage.listed(host, "terminating")
            lists = self.stage.lists
            self._after(drain + lists.delay + lists.later, self.stage.replace, name)

    # ---- links ---------------------------------------------------------------------------------------------

    def _shrink(self, links: list[Link], fault: Fault) -> None:
        for link in links:
            link.divided_by *= fault.strength()

        def over() -> None:
            for link in links:
                link.divided_by /= fault.strength()

        self._after(fault.len, over)

    def _link_shrink(self, met: list[str], fault: Fault) -> None:
        self._shrink([self.stage.fabric.links[name] for name in met], fault)

    def _uplink_shrink(self, met: list[str], fault: Fault) -> None:
        self._shrink([self.stage.fabric.uplinks[int(rack)] for rack in met], fault)

    def _neighbour(self, met: list[str], fault: Fault) -> None:
        ends = self.stage.now() + fault.len
        for name in met:
            self._turn(self.stage.fabric.links[name], fault, ends, True)

    def _turn(self, link: Link, fault: Fault, ends: float, on: bool) -> None:
        over = self.stage.now() >= ends
        link.taken = fault.strength() if on and not over else 0.0
        if not over:
            self._after(fault.further(), self._turn, link, fault, ends, not on)

    # ---- the list and the network between gateways ---------------------------------------------------------

    def _list_late(self, met: list[str], fault: Fault) -> None:
        lists = self.stage.lists
        lists.later += fault.strength()

        def over() -> None:
            lists.later = max(0.0, lists.later - fault.strength())

        self._after(fault.len, over)

    def _list_lost(self, met: list[str], fault: Fault) -> None:
        self.stage.lists.shut()
        self._after(fault.len, self.stage.lists.open)

    def _peers_lost(self, met: list[str], fault: Fault) -> None:
        network = self.stage.network
        network.lost_more = fault.strength()

        def over() -> None:
            network.lost_more = 0.0

        self._after(fault.len, over)
