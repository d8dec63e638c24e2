"""Links of media hosts, uplinks of racks: what is asked and given, and the cut that all get. Free of I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass
class Link:
    """A place that gives `kb` kB a second, less what troubles take."""

    kb: float
    divided_by: float = 1.0
    taken: float = 0.0  # share that another program takes

    @property
    def gives(self) -> float:
        return max(1e-9, self.kb / self.divided_by * (1 - self.taken))


@dataclass
class Delivery:
    """What one host's viewings get: the share delivered; use of link and uplink (asked over given)."""

    share: float = 1.0
    link: float = 0.0
    uplink: float = 0.0


@dataclass
class Fabric:
    """Links by host, uplinks by rack, and which rack a host stands in."""

    links: dict[str, Link] = field(default_factory=dict)
    uplinks: dict[int, Link] = field(default_factory=dict)
    rack_of: dict[str, int] = field(default_factory=dict)

    def deliveries(self, asked: Mapping[str, float]) -> dict[str, Delivery]:
        """By host, from what its viewings ask in kB a second: at each place all get the same cut, and who
        crosses two that are short gets the smaller."""
        on_rack: dict[int, float] = {}
        for host, kb in asked.items():
            rack = self.rack_of[host]
            on_rack[rack] = on_rack.get(rack, 0.0) + min(kb, self.links[host].gives)
        told = {}
        for host, kb in asked.items():
            link = kb / self.links[host].gives
            rack = self.rack_of[host]
            uplink = on_rack[rack] / self.uplinks[rack].gives
            told[host] = Delivery(min(1.0, 1 / max(link, 1e-9), 1 / max(uplink, 1e-9)), link, uplink)
        return told
