"""Links of media hosts, uplinks of racks: what is asked and given, and the cut that all get. Free of I/O."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

BEAT = 0.25  # seconds between looks at what links deliver
Kinds = tuple[tuple[int, float], ...]  # of a note: 1 share delivered, 3 and 4 use of link and uplink
SHORT_UNDER = 0.999  # share delivered under which a host tells of a shortfall


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
        cuts = {host: min(1.0, self.links[host].gives / max(kb, 1e-9)) for host, kb in asked.items()}
        on_rack: dict[int, list[str]] = {}
        for host in asked:
            on_rack.setdefault(self.rack_of[host], []).append(host)
        told = {}
        for rack, hosts in on_rack.items():
            gives = self.uplinks[rack].gives
            cut = _level([(cuts[host], asked[host]) for host in hosts], gives)
            uplink = sum(asked[host] * cuts[host] for host in hosts) / gives
            for host in hosts:
                link = asked[host] / self.links[host].gives
                told[host] = Delivery(min(cuts[host], cut), link, uplink)
        return told


def _level(flows: Sequence[tuple[float, float]], gives: float) -> float:
    """The cut at a place that gives so much, of flows with (cut that they have already, kB asked): who is cut
    deeper elsewhere takes less, and the rest share what that leaves."""
    left, open_kb = gives, sum(kb for _, kb in flows)
    for cut, kb in sorted(flows):
        if open_kb <= 0 or cut * open_kb > left:
            break
        left, open_kb = left - cut * kb, open_kb - kb
    else:
        return 1.0
    return min(1.0, left / open_kb) if open_kb > 0 else 1.0


class Telling:
    """Which notes media hosts owe their gateways: shortfalls every second, use as often as the site says."""

    def __init__(self, now: float, told_every: float) -> None:
        self.told_every = told_every
        self._last_short = self._last_use = now
        self._was_short: set[str] = set()

    def due(self, now: float, told: Mapping[str, Delivery]) -> tuple[bool, list[tuple[str, Kinds]]]:
        """Whether a second has passed, and what hosts tell now: their name, with kinds and values."""
        second = now - self._last_short >= 1.0 - 1e-9
        notes: list[tuple[str, Kinds]] = []
        if second:
            self._last_short = now
            for name in sorted(told):
                share = told[name].share
                if share < SHORT_UNDER or name in self._was_short:
                    notes.append((name, ((1, share),)))
                (self._was_short.add if share < SHORT_UNDER else self._was_short.discard)(name)
        if now - self._last_use >= self.told_every - 1e-9:
            self._last_use = now
            notes += [(name, ((3, told[name].link), (4, told[name].uplink))) for name in sorted(told)]
        return second, notes
