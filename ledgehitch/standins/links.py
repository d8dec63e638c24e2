"""Bandwidth model of media hosts' links and racks' uplinks: demand, capacity and fair shares. Free of I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

BEAT = 0.25  # seconds between updates of what links deliver
Kinds = tuple[
    tuple[int, float], ...
]  # (kind, value) of a note: 1 share delivered, 3 and 4 utilization of link and uplink
SHORT_UNDER = 0.999  # share delivered below which a host reports a shortfall


@dataclass
class Link:
    """A link with a capacity of `kb` kB a second, less what faults take."""

    kb: float
    divided_by: float = 1.0
    share_taken: float = 0.0  # share of the capacity that other traffic takes

    @property
    def available_kb(self) -> float:
        """Returns the available capacity in kB a second."""
        return max(1e-9, self.kb / self.divided_by * (1 - self.share_taken))


@dataclass
class Delivery:
    """The share delivered to a host's viewings; utilization of link and uplink (demand over capacity)."""

    share: float = 1.0
    link: float = 0.0
    uplink: float = 0.0


@dataclass
class Fabric:
    """Links by host, uplinks by rack, and the rack of each host."""

    links: dict[str, Link] = field(default_factory=dict)
    uplinks: dict[int, Link] = field(default_factory=dict)
    rack_of: dict[str, int] = field(default_factory=dict)

    def deliveries(self, asked: Mapping[str, float]) -> dict[str, Delivery]:
        """Returns the delivery of each host, from the demand of its viewings in kB a second.

        All flows over a link get the same share. A flow over two overloaded links gets the smaller share.
        """
        link_shares = {
            host: min(1.0, self.links[host].available_kb / max(kb, 1e-9)) for host, kb in asked.items()
        }
        hosts_by_rack: dict[int, list[str]] = {}
        for host in asked:
            hosts_by_rack.setdefault(self.rack_of[host], []).append(host)
        deliveries = {}
        for rack, hosts in hosts_by_rack.items():
            capacity = self.uplinks[rack].available_kb
            uplink_share = _fair_share([(link_shares[host], asked[host]) for host in hosts], capacity)
            uplink = sum(asked[host] * link_shares[host] for host in hosts) / capacity
            for host in hosts:
                link = asked[host] / self.links[host].available_kb
                deliveries[host] = Delivery(min(link_shares[host], uplink_share), link, uplink)
        return deliveries


def _fair_share(flows: Sequence[tuple[float, float]], capacity: float) -> float:
    """Returns the max-min fair share of a link of `capacity` kB a second.

    `flows` holds (share allowed by other links, kB a second demanded). Flows that are limited more elsewhere
    take less here, and the others divide what remains.
    """
    remaining, open_kb = capacity, sum(kb for _, kb in flows)
    for share, kb in sorted(flows):
        if open_kb <= 0 or share * open_kb > remaining:
            break
        remaining, open_kb = remaining - share * kb, open_kb - kb
    else:
        return 1.0
    return min(1.0, remaining / open_kb) if open_kb > 0 else 1.0


class NoteSchedule:
    """Schedules hosts' notes to gateways: shortfalls each second, utilization every `told_every` seconds."""

    def __init__(self, now: float, told_every: float) -> None:
        self.told_every = told_every
        self._last_shortfall_check = self._last_utilization = now
        self._in_shortfall: set[str] = set()

    def due(self, now: float, deliveries: Mapping[str, Delivery]) -> tuple[bool, list[tuple[str, Kinds]]]:
        """Returns whether a second has passed, and the notes due now: host name, with kinds and values."""
        second = now - self._last_shortfall_check >= 1.0 - 1e-9
        notes: list[tuple[str, Kinds]] = []
        if second:
            self._last_shortfall_check = now
            for name in sorted(deliveries):
                share = deliveries[name].share
                if share < SHORT_UNDER or name in self._in_shortfall:
                    notes.append((name, ((1, share),)))
                (self._in_shortfall.add if share < SHORT_UNDER else self._in_shortfall.discard)(name)
        if now - self._last_utilization >= self.told_every - 1e-9:
            self._last_utilization = now
            notes += [
                (name, ((3, deliveries[name].link), (4, deliveries[name].uplink)))
                for name in sorted(deliveries)
            ]
        return second, notes
