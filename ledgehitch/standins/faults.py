"""Fault injection for media hosts, links, the list service and the network between gateways. Free of I/O.

Shared by the simulators on loopback and by the model; each implements `Stage`.
"""

import random
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from ledgehitch.config import KINDS, Fault
from ledgehitch.standins.links import Fabric, Link

DETECTION_S = 1.0  # until the list service detects a dead process; a silent machine takes four times that


class ActiveFaults:
    """The faults that are active at one host."""

    def __init__(self) -> None:
        self.silent = False  # vanished: answers and sends nothing
        self.hangs = False
        self.slower = 1.0
        self.errors = 0.0
        self.lost = 0.0
        self.lost_resets = False
        self.bad = 0.0


class Host(Protocol):
    """A media host that faults act on."""

    name: str
    active_faults: ActiveFaults

    @property
    def up(self) -> bool: ...
    def start(self, cold: bool = True) -> None: ...
    def stop(self, fell: bool = False) -> None: ...


class List(Protocol):
    """The list service; `fault_delay` is the delay in seconds that faults add."""

    delay: float
    fault_delay: float

    def open(self) -> None: ...
    def shut(self) -> None: ...


class Network(Protocol):
    """The network between gateways; `fault_loss` is the loss probability of the active fault."""

    fault_loss: float


class Stage(Protocol):
    """The simulated fleet that faults act on.

    `listed` reports a host's state to the list service. `replace` swaps a drained host for a cold successor.
    """

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
    """Starts faults on a stage and schedules their ends."""

    def __init__(self, stage: Stage, chance: random.Random) -> None:
        self.stage, self.chance = stage, chance

    def begin(self, fault: Fault) -> list[str]:
        """Starts a fault, which ends after its length, and returns the names of what it affects."""
        kind = KINDS[fault.kind]
        up = self.stage.in_service()
        if kind.target in ("hosts", "links"):
            affected = self.chance.sample(up, max(1, round(fault.part * len(up)))) if up else []
        elif kind.target == "uplinks":
            racks = sorted(self.stage.fabric.uplinks)
            affected = [str(r) for r in self.chance.sample(racks, max(1, round(fault.part * len(racks))))]
        else:
            affected = [kind.target]
        getattr(self, "_" + fault.kind)(affected, fault)
        return affected

    def _after(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.stage.after(seconds, lambda: call(*args))

    # ---- media hosts ---------------------------------------------------------------------------------------

    def _crash(self, affected: list[str], fault: Fault) -> None:
        for name in affected:
            host = self.stage.hosts[name]
            host.stop()
            self._after(DETECTION_S, self._detect_failure, host)
            self._after(fault.len, self._restart, host)

    def _detect_failure(self, host: Host) -> None:
        if not host.up or host.active_faults.silent:
            self.stage.listed(host, "terminated")

    def _restart(self, host: Host) -> None:
        if host.up:
            host.stop()
        host.start(cold=True)
        self.stage.listed(host, "in_service")

    def _vanish(self, affected: list[str], fault: Fault) -> None:
        for name in affected:
            host = self.stage.hosts[name]
            host.active_faults.silent = True
            self._after(4 * DETECTION_S, self._detect_failure, host)
            self._after(fault.len, self._restart, host)

    def _set_while_active(
        self, affected: list[str], fault: Fault, on: dict[str, Any], off: dict[str, Any]
    ) -> None:
        """Sets faults of hosts for the fault's length; a restart in between has cleared them already."""
        for name in affected:
            active_faults = self.stage.hosts[name].active_faults
            for field, value in on.items():
                setattr(active_faults, field, value)

            def end(active_faults: Any = active_faults) -> None:
                for field, value in off.items():
                    setattr(active_faults, field, value)

            self._after(fault.len, end)

    def _hang(self, affected: list[str], fault: Fault) -> None:
        self._set_while_active(affected, fault, {"hangs": True}, {"hangs": False})

    def _slow(self, affected: list[str], fault: Fault) -> None:
        self._set_while_active(affected, fault, {"slower": fault.size_or_default()}, {"slower": 1.0})
        self._link_shrink(affected, fault)

    def _fast_errors(self, affected: list[str], fault: Fault) -> None:
        self._set_while_active(affected, fault, {"errors": fault.size_or_default()}, {"errors": 0.0})

    def _answers_lost(self, affected: list[str], fault: Fault) -> None:
        on = {"lost": fault.size_or_default(), "lost_resets": bool(fault.extra)}
        self._set_while_active(affected, fault, on, {"lost": 0.0, "lost_resets": False})

    def _bad_answers(self, affected: list[str], fault: Fault) -> None:
        self._set_while_active(affected, fault, {"bad": fault.size_or_default()}, {"bad": 0.0})

    def _deploy(self, affected: list[str], fault: Fault) -> None:
        host_count = len(self.stage.hosts)
        batch = (
            max(1, round(fault.size_or_default() * host_count)) if fault.size else max(1, len(affected) // 3)
        )
        batches = [affected[i : i + batch] for i in range(0, len(affected), batch)]
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
            self._after(drain + lists.delay + lists.fault_delay, self.stage.replace, name)

    # ---- links ---------------------------------------------------------------------------------------------

    def _shrink(self, links: list[Link], fault: Fault) -> None:
        for link in links:
            link.divided_by *= fault.size_or_default()

        def end() -> None:
            for link in links:
                link.divided_by /= fault.size_or_default()

        self._after(fault.len, end)

    def _link_shrink(self, affected: list[str], fault: Fault) -> None:
        self._shrink([self.stage.fabric.links[name] for name in affected], fault)

    def _uplink_shrink(self, affected: list[str], fault: Fault) -> None:
        self._shrink([self.stage.fabric.uplinks[int(rack)] for rack in affected], fault)

    def _neighbour(self, affected: list[str], fault: Fault) -> None:
        ends = self.stage.now() + fault.len
        for name in affected:
            self._toggle(self.stage.fabric.links[name], fault, ends, True)

    def _toggle(self, link: Link, fault: Fault, ends: float, on: bool) -> None:
        ended = self.stage.now() >= ends
        link.share_taken = fault.size_or_default() if on and not ended else 0.0
        if not ended:
            self._after(fault.extra_or_default(), self._toggle, link, fault, ends, not on)

    # ---- the list and the network between gateways ---------------------------------------------------------

    def _list_late(self, affected: list[str], fault: Fault) -> None:
        lists = self.stage.lists
        lists.fault_delay += fault.size_or_default()

        def end() -> None:
            lists.fault_delay = max(0.0, lists.fault_delay - fault.size_or_default())

        self._after(fault.len, end)

    def _list_lost(self, affected: list[str], fault: Fault) -> None:
        self.stage.lists.shut()
        self._after(fault.len, self.stage.lists.open)

    def _peers_lost(self, affected: list[str], fault: Fault) -> None:
        network = self.stage.network
        network.fault_loss = fault.size_or_default()

        def end() -> None:
            network.fault_loss = 0.0

        self._after(fault.len, end)
