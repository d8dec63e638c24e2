"""Passes lists of media hosts on to everything that goes by them. Decides nothing."""

from dataclasses import replace

from ledgehitch.brain import Gateway
from ledgehitch.interface import Row
from ledgehitch.platform.host_connections import HostConnections
from ledgehitch.platform.log import log
from ledgehitch.platform.process_evidence import ProcessEvidence
from ledgehitch.send_guard import SendGuard

IN_SERVICE, GONE = "in_service", "terminated"  # states of a row
CHANGES = "incr"  # a list that holds changes only

ListedRow = tuple[Row, str]  # a row of a list and the address of its media host


class HostLists:
    """The receivers of lists of media hosts, in the order in which they take them."""

    def __init__(
        self, gateway: Gateway, guard: SendGuard, hosts: HostConnections, evidence: ProcessEvidence
    ) -> None:
        self.gateway, self.guard, self.hosts, self.evidence = gateway, guard, hosts, evidence

    def apply(self, now: float, how: str, rows: list[ListedRow]) -> None:
        """Passes a list on; `how` is as `Gateway.on_host_list` takes it."""
        if how != CHANGES:
            self._drop_unnamed(now, {row.host for row, _ in rows})
        for row, address in rows:
            self.evidence.on_host_listed(now, row.host, address, row.state == GONE, row.started)
        rows = self._with_superseded_gone(rows)
        for row, address in rows:
            self.guard.on_host_state(now, row.host, row.state == IN_SERVICE)
            self.hosts.on_host_listed(row.host, address, row.state == GONE, row.started)
        self.gateway.on_host_list(now, how, [row for row, _ in rows])

    def _drop_unnamed(self, now: float, named: set[str]) -> None:
        """Takes each host that a complete list leaves out as gone."""
        for host in [host for host in self.hosts.addresses if host not in named]:
            self.evidence.on_host_listed(now, host, "", True, 0.0)
            self.hosts.on_host_listed(host, "", True)
        self.guard.on_complete_list(now, named)

    def _with_superseded_gone(self, rows: list[ListedRow]) -> list[ListedRow]:
        """Returns the rows with each host as gone that has lost its address to another one.

        The list may never tell that it is gone, or tell it later.
        """
        told = {row.host for row, _ in rows}
        for host in self.evidence.take_superseded():
            log("address-taken", host=host)
            if host not in told and host in self.gateway.hosts:
                rows = [*rows, (self.gateway.hosts[host].row, self.hosts.addresses.get(host, ""))]
        return [
            (replace(row, state=GONE) if self.evidence.is_superseded(row.host) else row, address)
            for row, address in rows
        ]
