"""The one gate that every tune-in passes on its way out: what the wire can show of rules 1 to 3. Free of I/O.

The module keeps the rules; this is the second pair of eyes, with no tuned value in it. A tune-in that it
stops was a fault of ours, is logged as such and never leaves.
"""

from dataclasses import dataclass

from ledgehitch.interface import Outcome, Package

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
HURRY = 0.002  # seconds of rounding allowed between two readings of the clock


class SendForbidden(Exception):
    """A send that would break a rule; `rule` numbers it, 0 for what was never told."""

    def __init__(self, rule: int, reason: str) -> None:
        super().__init__(f"rule {rule}: {reason}" if rule else reason)
        self.rule = rule


@dataclass(slots=True)
class _Held:
    package: Package
    patience: float
    out: bool = False
    playing: bool = False
    may_have_run: bool = False


class SendGuard:
    def __init__(self, grace: float) -> None:
        self.grace = grace  # seconds in which a send may still follow the news that a host drains
        self.viewings: dict[int, _Held] = {}
        self.hosts: dict[str, float | None] = {}  # when it was heard that it drains or is gone
        self.refused = 0

    def on_host_state(self, now: float, host: str, in_service: bool) -> None:
        if in_service:
            self.hosts[host] = None
        elif self.hosts.get(host) is None:
            self.hosts[host] = now
            # Guards against memory that grows with each media host that was ever there. Past the grace
            # nothing may go there in any case: it is stopped as unknown.
            over = [name for name, at in self.hosts.items() if at is not None and now > at + self.grace]
            for name in over:
                del self.hosts[name]

    def on_complete_list(self, now: float, names: set[str]) -> None:
        """A complete list names these only."""
        for host, gone in self.hosts.items():
            if host not in names and gone is None:
                self.hosts[host] = now

    def on_viewing_request(self, viewing_id: int, package: Package, patience: float) -> None:
        self.viewings[viewing_id] = _Held(package, patience)

    def check_send(self, now: float, viewing_id: int, host: str, within: float) -> None:
        """Passes, and books, a tune-in that leaves now; else raises `SendForbidden`."""
        try:
            v = self.viewings.get(viewing_id)
            if v is None:
                raise SendForbidden(0, f"viewing {viewing_id} was never asked for, or has its answer")
            if v.out or v.playing:
                raise SendForbidden(2, f"viewing {viewing_id} has a tune-in out or plays")
            if v.may_have_run and v.package.effect == "once":
                raise SendForbidden(2, f"viewing {viewing_id} may have been set up already, and is paid for")
            if now + within > v.patience + HURRY:
                raise SendForbidden(1, f"viewing {viewing_id}: {within:.3f} s end after its patience")
            self._check_host(now, host)
        except SendForbidden:
            self.refused += 1
            raise
        v.out = True

    def _check_host(self, now: float, host: str) -> None:
        if host not in self.hosts:
            raise SendForbidden(0, f"no list named {host}")
        gone = self.hosts[host]
        if gone is not None and now > gone + self.grace:
            raise SendForbidden(3, f"{host} was heard to drain {now - gone:.3f} s ago")

    def check_delayed_send(self, now: float, viewing_id: int, host: str) -> None:
        """Checks a tune-in again that passed and was delayed; raises `SendForbidden` where it must not leave.

        Its host may have begun to drain meanwhile, or its patience may be over."""
        v = self.viewings.get(viewing_id)
        if v is None or not v.out:
            raise SendForbidden(0, f"viewing {viewing_id} has no tune-in out")
        if now > v.patience + HURRY:
            raise SendForbidden(1, f"viewing {viewing_id}: its patience is over")
        self._check_host(now, host)

    def on_tune_in_outcome(self, viewing_id: int, code: int) -> None:
        """A tune-in has its outcome."""
        v = self.viewings.get(viewing_id)
        if v is not None and v.out:
            v.out = False
            v.playing = code == Outcome.OK
            v.may_have_run |= code not in NEVER_RAN

    def on_viewing_end(self, viewing_id: int) -> None:
        """The viewing was blocked, aborted or has ended."""
        self.viewings.pop(viewing_id, None)
