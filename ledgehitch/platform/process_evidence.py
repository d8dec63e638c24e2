"""Decides which viewings are over because the process that they stood at is. Free of I/O, clock and chance.

The list names media hosts by id and address and tells of changes late, early or in parts; meanwhile another
process may listen at an address. A viewing stands at the process that answered its set-up, which is the one
that listened when the connection of the set-up was established. `docs/what-ends-a-viewing.md` has the table
of what proves that this process has ended.

A process may also be replaced without a word. On the wire that is the loss of its connections; what then
shows that a viewing's process lives is an open connection that leads to it, or news of a viewing that stood
there. Where media hosts send reports and none comes any more, its viewings are over.

A viewing that the list does not account for is in doubt. It stands as long as an open connection that leads
to the same process brings data. Without one it is ended here, for its viewer and at whatever process has it.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

VERIFY_INTERVAL_S = 1.0  # between two tests of a connection that keeps viewings in doubt alive
VERIFY_TIMEOUT_S = 2.0  # from the doubt until a process that has sent nothing counts as ended
CHECK_INTERVAL_S = 0.25  # between two looks at the viewings in doubt
DATA_IN_TRANSIT_S = 0.25  # in which data of a process may still be read after its end
MISSED_REPORTS = 2  # at least, until nothing shows any more that a process lives
REPORT_MARGIN_S = 0.5  # by which a report may be late
MAX_UNSHOWN_S = 6.5  # for which that is waited: a release is due within 8 s of the end
FIRST_REPORT_S = 1.0  # after the start of a viewing, in which reports belong to its set-up


class Reason(Enum):
    """Why a viewing is over."""

    EARLIER_PROCESS = "set up before the listed process began"
    NAMED_HOST_GONE = "handed over at a media host that is gone"
    NOTHING_LEADS_THERE = "in doubt, and no connection leads to its process"
    NO_REPORT = "connections were lost, and no report shows since that its process lives"
    NOTHING_HEARD = "in doubt, and its process sends nothing"


@dataclass(frozen=True, slots=True)
class ViewingOver:
    """This viewing is over: its viewer has to be told, and the process at its address, in case it has it."""

    viewing_id: int
    reason: Reason


@dataclass(frozen=True, slots=True)
class VerifyProcess:
    """Test the connections to this address: viewings depend on what they lead to."""

    address: str


Decision = ViewingOver | VerifyProcess


class Connection(Protocol):
    """The part of a connection to a media host that is evidence for its process."""

    established_at: float  # infinity until it is established
    process_since: float  # since when the process has listened at the address, at the latest
    last_heard_at: float
    closed: bool

    def is_silent(self, now: float) -> bool: ...


@dataclass(frozen=True, slots=True)
class ListedProcess:
    """A media host as the list has it; `started_at` is 0 where the list does not tell its start."""

    host: str
    address: str
    started_at: float
    listed_at: float


@dataclass(slots=True)
class Placement:
    """Where a viewing stands.

    `connected_at` is when the connection of its set-up was established. A viewing that was handed over has
    none: its viewer named the media host, at that time.
    """

    viewing_id: int
    host: str
    address: str
    connected_at: float
    handed_over: bool
    connection: Connection | None  # of its set-up, open or not
    began_at: float
    doubted_at: float = math.inf  # infinity for no doubt
    refused: bool = False  # whether the doubt comes from a refused connection and not from the list

    @property
    def process_since(self) -> float:
        """A time since which its process has listened at the address."""
        return self.connected_at if self.connection is None else self.connection.process_since


def extend_continuity(now: float, heard: Connection, others: Iterable[Connection]) -> None:
    """Data came on a connection: others that were established meanwhile lead to the same process."""
    for other in others:
        if (
            heard.process_since < other.process_since
            and heard.process_since <= other.established_at <= now - DATA_IN_TRANSIT_S
        ):
            other.process_since = heard.process_since


class ProcessEvidence:
    """Knows which process is listed at each address, and at which one each viewing stands."""

    def __init__(self, report_interval: float = 0.0) -> None:
        """`report_interval`: seconds between reports of a media host with viewings, 0 for none."""
        reports_missed_after = MISSED_REPORTS * report_interval + REPORT_MARGIN_S
        may_miss = report_interval > 0.0 and reports_missed_after <= MAX_UNSHOWN_S
        self._max_unshown = MAX_UNSHOWN_S if may_miss else math.inf
        self._listed: dict[str, ListedProcess] = {}
        self._latest: dict[str, str] = {}  # by address, the id that was listed there last
        self._placements: dict[int, Placement] = {}
        self._by_address: dict[str, dict[int, Placement]] = {}
        self._doubted: dict[int, Placement] = {}
        self._reports_come = False  # whether media hosts send the reports that the settings name
        self._unshown_since: dict[str, float] = {}  # by address, since a connection to it was lost
        self._verified_at: dict[str, float] = {}  # by address, the latest test for viewings in doubt
        self._changed = False
        self._check_at = 0.0
        self._due: list[Decision] = []
        self._superseded: list[
            str
        ] = []  # ids that have lost their address to another one since the last call

    # ---- the list ------------------------------------------------------------------------------------------

    def on_host_listed(self, now: float, host: str, address: str, gone: bool, started_at: float) -> None:
        """Takes one row of the list; `started_at` is 0 where it is not told."""
        known = self._listed.get(host)
        if known is not None and (gone or known.address != address):
            del self._listed[host]
            if self._latest.get(known.address) == host:
                del self._latest[known.address]
            self._review(now, known.address)
            known = None
        latest = self.listed_at_address(address)
        if gone or known is not None and latest is not None and started_at <= known.started_at:
            return
        listed_at = now if known is None or latest is None else known.listed_at
        self._listed[host] = ListedProcess(host, address, started_at, listed_at)
        if latest is None or not started_at or latest.started_at <= started_at:
            self._latest[address] = host
            if latest is not None and latest.host != host:
                self._superseded.append(latest.host)
        self._review(now, address)

    def listed_at_address(self, address: str) -> ListedProcess | None:
        """Returns the process that was listed last at an address."""
        return self._listed.get(self._latest.get(address, ""))

    def is_superseded(self, host: str) -> bool:
        """Whether another process was listed at the address of this one, which can no longer listen there."""
        known = self._listed.get(host)
        return known is not None and self._latest.get(known.address) != host

    def take_superseded(self) -> list[str]:
        """Returns the media hosts that have lost their address to another one since the last call."""
        superseded, self._superseded = self._superseded, []
        return [host for host in superseded if self.is_superseded(host)]

    @property
    def doubted_count(self) -> int:
        """Number of viewings in doubt."""
        return len(self._doubted)

    # ---- viewings ------------------------------------------------------------------------------------------

    def on_viewing_started(
        self,
        now: float,
        viewing_id: int,
        host: str,
        address: str,
        connection: Connection | None,
    ) -> None:
        """A viewing stands; `host` is the id under which its set-up was sent on this connection.

        Without a connection it was handed over, and its viewer named that id.
        """
        connected_at = now if connection is None else connection.established_at
        placement = Placement(
            viewing_id, host, address, connected_at, connection is None, connection, began_at=now
        )
        self._placements[viewing_id] = placement
        self._by_address.setdefault(address, {})[viewing_id] = placement
        self._review_placement(now, placement)

    def on_viewing_ended(self, viewing_id: int) -> None:
        placement = self._placements.pop(viewing_id, None)
        if placement is None:
            return
        at_address = self._by_address[placement.address]
        del at_address[viewing_id]
        if not at_address:
            del self._by_address[placement.address]
            self._verified_at.pop(placement.address, None)
            self._unshown_since.pop(placement.address, None)
        self._doubted.pop(viewing_id, None)

    # ---- connections ---------------------------------------------------------------------------------------

    def on_refused(self, now: float, address: str, begun_at: float) -> None:
        """A connection that was begun at that time was refused: no process listened there."""
        for placement in self._by_address.get(address, {}).values():
            if placement.connected_at < begun_at:
                placement.refused = True
                self._doubt(now, placement)

    def on_connection_ended(self, now: float, address: str, was_lost: bool) -> None:
        """A connection to this address ended, and is no evidence any more; `was_lost`: not closed here."""
        if address in self._by_address:
            self._changed = True
            if was_lost and self._max_unshown < math.inf:
                self._unshown_since.setdefault(address, now)

    def on_viewing_heard(self, now: float, viewing_id: int, connection: Connection, is_report: bool) -> None:
        """A report on a viewing, or its end, came on a connection: this leads to the viewing's process."""
        placement = self._placements.get(viewing_id)
        if placement is None or math.isinf(connection.established_at):
            return
        connection.process_since = min(connection.process_since, placement.process_since)
        if is_report and now - placement.began_at > FIRST_REPORT_S:
            self._reports_come = True

    # ---- verdicts ------------------------------------------------------------------------------------------

    def _review(self, now: float, address: str) -> None:
        for placement in self._by_address.get(address, {}).values():
            self._review_placement(now, placement)

    def _review_placement(self, now: float, placement: Placement) -> None:
        listed = self.listed_at_address(placement.address)
        if listed is not None and placement.connected_at < listed.started_at:
            self._due.append(ViewingOver(placement.viewing_id, Reason.EARLIER_PROCESS))
        elif not self._is_accounted_for(placement, listed):
            self._doubt(now, placement)
        elif placement.viewing_id in self._doubted and not placement.refused:
            placement.doubted_at = math.inf
            del self._doubted[placement.viewing_id]

    def _is_accounted_for(self, placement: Placement, listed: ListedProcess | None) -> bool:
        """Whether a viewing stands at the process that is listed at its address."""
        if listed is None:
            return False
        if placement.host == listed.host and placement.connected_at >= listed.listed_at:
            return True
        began = listed.started_at
        return not placement.handed_over and 0.0 < began <= placement.connected_at

    def _doubt(self, now: float, placement: Placement) -> None:
        placement.doubted_at = now
        self._doubted[placement.viewing_id] = placement
        self._changed = True

    def _heard_at(self, now: float, placement: Placement, connections: Iterable[Connection]) -> float:
        """Returns when data last came from a viewing's process, minus infinity if nothing leads to it."""
        return max(
            (
                each.last_heard_at
                for each in connections
                if each.process_since <= placement.connected_at
                and not each.closed
                and not each.is_silent(now)
            ),
            default=-math.inf,
        )

    def _why_over(self, now: float, placement: Placement, heard_at: float) -> Reason | None:
        """Returns why a viewing in doubt is over, None where it is not known to be."""
        if placement.handed_over and not placement.refused:
            return Reason.NAMED_HOST_GONE
        if heard_at >= placement.doubted_at:
            return None
        if heard_at == -math.inf:
            return Reason.NOTHING_LEADS_THERE
        return Reason.NOTHING_HEARD if now - placement.doubted_at >= VERIFY_TIMEOUT_S else None

    def _on_heard(self, placement: Placement) -> None:
        """The process of a viewing in doubt lives: what refused a connection was not its end."""
        listed = self.listed_at_address(placement.address)
        if placement.refused and self._is_accounted_for(placement, listed):
            placement.refused, placement.doubted_at = False, math.inf
            del self._doubted[placement.viewing_id]

    def decide(self, now: float, connections_to: Callable[[str], Iterable[Connection]]) -> Decision | None:
        """Returns the next decision, None where there is none; the connections are those to an address."""
        if (self._doubted or self._unshown_since) and (self._changed or now >= self._check_at):
            self._check(now, connections_to)
        return self._due.pop(0) if self._due else None

    def _check(self, now: float, connections_to: Callable[[str], Iterable[Connection]]) -> None:
        self._changed, self._check_at = False, now + CHECK_INTERVAL_S
        for placement in list(self._doubted.values()):
            heard_at = self._heard_at(now, placement, connections_to(placement.address))
            reason = self._why_over(now, placement, heard_at)
            if reason is not None:
                del self._doubted[placement.viewing_id]
                self._due.append(ViewingOver(placement.viewing_id, reason))
            elif heard_at >= placement.doubted_at:
                self._on_heard(placement)
        for address in list(self._unshown_since):
            self._check_unshown(now, address, connections_to(address))
        for address in {placement.address for placement in self._doubted.values()}:
            if now - self._verified_at.get(address, -math.inf) >= VERIFY_INTERVAL_S:
                self._verified_at[address] = now
                self._due.append(VerifyProcess(address))

    def _check_unshown(self, now: float, address: str, connections: Iterable[Connection]) -> None:
        """Ends the viewings that nothing has shown to stand for too long since a connection was lost."""
        earliest = min((each.process_since for each in connections if not each.closed), default=math.inf)
        unshown = [
            placement for placement in self._by_address[address].values() if placement.connected_at < earliest
        ]
        is_due = now - self._unshown_since[address] >= self._max_unshown
        if is_due and self._reports_come:
            self._due += [ViewingOver(placement.viewing_id, Reason.NO_REPORT) for placement in unshown]
        if is_due or not unshown:
            del self._unshown_since[address]

    def wake_at(self) -> float:
        """Returns when to call `decide` again, infinity for never."""
        return self._check_at if self._doubted or self._unshown_since else math.inf
