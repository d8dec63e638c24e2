"""Which media hosts are followed, and when what plays on one is given up as lost. Free of I/O.

A gateway follows each host that it may hear from by one event stream. A broken stream alone says little: the
host may have closed an idle connection. Lost is what plays on a host that refuses connections, came back as
another process, stayed silent too long, or that the list calls gone.
"""

import math
import random
from dataclasses import dataclass

SILENT = 4.0  # seconds without a sign on a stream until it counts as broken: hosts give one every second
LOST = 6.0  # seconds without a stream after which what plays there is given up
FIRST, LONGEST = 0.1, 2.0  # seconds before a stream is opened again: doubled each time, plus chance


@dataclass(frozen=True)
class Follow:
    host: str


@dataclass(frozen=True)
class Unfollow:
    host: str


@dataclass(frozen=True)
class Lost:
    """All that was set up there before now has ended."""

    host: str


Decision = Follow | Unfollow | Lost


class _Host:
    __slots__ = ("listed", "following", "boot", "since", "heard", "again_at", "wait", "lost_told")

    def __init__(self) -> None:
        self.listed = True
        self.following = False  # a stream is open or being opened
        self.boot = ""
        self.since = 0.0  # when the stream was last there, or the host first listed
        self.heard = 0.0
        self.again_at = 0.0
        self.wait = FIRST
        self.lost_told = False


class Watch:
    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.hosts: dict[str, _Host] = {}
        self._due: list[Decision] = []
        self.next_at = 0.0  # before this there is nothing to decide, unless something is told

    def listed(self, now: float, host: str, gone: bool) -> None:
        """The list names a host; `gone` when its process is."""
        self.next_at = now
        h = self.hosts.get(host)
        if gone:
            if h is not None and h.listed:
                h.listed = False
                self._due += [Lost(host), Unfollow(host)]
                del self.hosts[host]
            return
        if h is None:
            h = self.hosts[host] = _Host()
            h.since = now
            h.again_at = now
        h.listed = True

    def hello(self, now: float, host: str, boot: str) -> None:
        """The stream is open, and the process at its other end is `boot`."""
        self.next_at = now
        h = self.hosts.get(host)
        if h is None:
            return
        if h.boot and h.boot != boot and not h.lost_told:
            self._due.append(Lost(host))
        h.boot, h.since, h.heard, h.wait, h.lost_told = boot, now, now, FIRST, False

    def sign(self, now: float, host: str) -> None:
        h = self.hosts.get(host)
        if h is not None:
            h.heard = h.since = now

    def broke(self, now: float, host: str, refused: bool) -> None:
        """The stream ended or could not be opened; `refused`: no process listens there."""
        self.next_at = now
        h = self.hosts.get(host)
        if h is None:
            return
        h.following = False
        h.again_at = now + h.wait * (1 + self.chance.random())
        h.wait = min(LONGEST, 2 * h.wait)
        if refused and not h.lost_told:
            h.lost_told = True
            self._due.append(Lost(host))

    def silent(self, now: float, host: str) -> bool:
        """Whether an open stream has been without a sign for too long."""
        h = self.hosts.get(host)
        return h is None or now - max(h.heard, h.since) > SILENT

    def decide(self, now: float) -> Decision | None:
        if now < self.next_at:
            return None
        decision = self._decided(now)
        if decision is None:
            self.next_at = self._wake_at()
        return decision

    def _decided(self, now: float) -> Decision | None:
        if self._due:
            return self._due.pop(0)
        for host, h in self.hosts.items():
            if not h.following and now >= h.again_at:
                h.following = True
                return Follow(host)
            if not h.lost_told and h.boot and now - h.since > LOST:
                h.lost_told = True
                return Lost(host)
        return None

    def wake_at(self) -> float:
        return self.next_at

    def _wake_at(self) -> float:
        due = [h.again_at for h in self.hosts.values() if not h.following]
        due += [h.since + LOST for h in self.hosts.values() if h.boot and not h.lost_told]
        return min(due, default=math.inf)
