"""Checks each tune-in as it is sent, as far as the wire can show a breach of rules 1 to 3. Free of I/O.

The decision module keeps the rules. This check is independent of it and has no tuned constants. A tune-in
that it refuses is a fault of ours: it is logged as such and is not sent.
"""

from dataclasses import dataclass

from ledgehitch.interface import Outcome, Package

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)  # outcomes after which nothing was set up
CLOCK_TOLERANCE_S = 0.002  # rounding allowed between two readings of the clock


class SendForbidden(Exception):
    """A tune-in that would break a rule; `rule` is its number, or 0 for an unknown viewing or host."""

    def __init__(self, rule: int, reason: str) -> None:
        super().__init__(f"rule {rule}: {reason}" if rule else reason)
        self.rule = rule


@dataclass(slots=True)
class _GuardedViewing:
    package: Package
    patience: float  # when its patience ends
    out: bool = False  # whether a tune-in is under way
    playing: bool = False
    may_have_run: bool = False


class SendGuard:
    """Knows which viewings are open and which media hosts are in service, and checks each tune-in by that."""

    def __init__(self, drain_grace_s: float) -> None:
        self.drain_grace_s = drain_grace_s  # time in which a host that drains may still be sent tune-ins
        self.viewings: dict[int, _GuardedViewing] = {}
        self.hosts: dict[str, float | None] = {}  # when it became known that a host drains or is gone
        self.refused = 0  # number of tune-ins refused

    def on_host_state(self, now: float, host: str, in_service: bool) -> None:
        """Takes the state of a host from a list."""
        if in_service:
            self.hosts[host] = None
        elif self.hosts.get(host) is None:
            self.hosts[host] = now
            # Memory must not grow with each host that ever existed. After the grace nothing may be sent to
            # a host that drains in any case, so it is dropped and refused as unknown.
            expired = [
                name for name, at in self.hosts.items() if at is not None and now > at + self.drain_grace_s
            ]
            for name in expired:
                del self.hosts[name]

    def on_complete_list(self, now: float, names: set[str]) -> None:
        """Takes the names of a complete list: all other hosts are gone."""
        for host, gone in self.hosts.items():
            if host not in names and gone is None:
                self.hosts[host] = now

    def on_viewing_request(self, viewing_id: int, package: Package, patience: float) -> None:
        self.viewings[viewing_id] = _GuardedViewing(package, patience)

    def check_send(self, now: float, viewing_id: int, host: str, within: float) -> None:
        """Checks and records a tune-in that is sent now with a time-out of `within` seconds.

        Raises `SendForbidden` where it must not be sent.
        """
        try:
            viewing = self.viewings.get(viewing_id)
            if viewing is None:
                raise SendForbidden(0, f"viewing {viewing_id} was never requested, or is answered already")
            if viewing.out or viewing.playing:
                raise SendForbidden(2, f"viewing {viewing_id} has a tune-in under way or plays")
            if viewing.may_have_run and viewing.package.effect == "once":
                raise SendForbidden(2, f"viewing {viewing_id} may be set up once only, and may have been")
            if now + within > viewing.patience + CLOCK_TOLERANCE_S:
                raise SendForbidden(
                    1, f"viewing {viewing_id}: a time-out of {within:.3f} s ends after its patience"
                )
            self._check_host(now, host)
        except SendForbidden:
            self.refused += 1
            raise
        viewing.out = True

    def _check_host(self, now: float, host: str) -> None:
        if host not in self.hosts:
            raise SendForbidden(0, f"host {host} is on no list")
        gone = self.hosts[host]
        if gone is not None and now > gone + self.drain_grace_s:
            raise SendForbidden(3, f"host {host} has been draining for {now - gone:.3f} s")

    def check_delayed_send(self, now: float, viewing_id: int, host: str) -> None:
        """Checks again a tune-in that passed `check_send` but was delayed; raises `SendForbidden`.

        Meanwhile its host may have begun to drain, or its patience may have ended.
        """
        viewing = self.viewings.get(viewing_id)
        if viewing is None or not viewing.out:
            raise SendForbidden(0, f"viewing {viewing_id} has no tune-in under way")
        if now > viewing.patience + CLOCK_TOLERANCE_S:
            raise SendForbidden(1, f"viewing {viewing_id}: its patience has ended")
        self._check_host(now, host)

    def on_tune_in_outcome(self, viewing_id: int, code: int) -> None:
        viewing = self.viewings.get(viewing_id)
        if viewing is not None and viewing.out:
            viewing.out = False
            viewing.playing = code == Outcome.OK
            viewing.may_have_run |= code not in NEVER_RAN

    def on_viewing_end(self, viewing_id: int) -> None:
        """Forgets a viewing that was blocked or aborted, or has ended."""
        self.viewings.pop(viewing_id, None)
