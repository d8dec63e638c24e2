"""Carries out the decisions of a plan: queries and calls, each with a deadline, and the journal."""

import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec

from ledgehitch.daemon.facts import Drain, Fenced, Reload
from ledgehitch.fleet.found import QueryResult, Target, classify_answer, no_answer
from ledgehitch.fleet.plan import (
    AppendLine,
    CallGateway,
    Finished,
    JoinStatistics,
    QueryGateway,
    RollingChange,
)
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.keys.contexts import tls_context
from ledgehitch.keys.judge import CertificateRejected, authorize, parse_certificate
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Event, Loop, TimedOut

ANSWER_TIMEOUT_S = 1.5  # for one gateway's answer
MAX_CONCURRENT_QUERIES = 256  # limit of pending queries
JOIN_SAMPLE_INTERVAL_S = 2.0  # between two queries to all gateways for join statistics


class Caller:
    """Sends queries and calls to the admin interface of gateways."""

    def __init__(self, loop: Loop, within: float = ANSWER_TIMEOUT_S, client: Client | None = None) -> None:
        self.loop, self.within, self.client = loop, within, client or Client(loop)

    def ask(self, target: Target) -> QueryResult:
        """Queries the state of a gateway and classifies the answer or its absence."""
        started = time.monotonic()

        def took() -> float:
            return time.monotonic() - started

        try:
            with self.loop.deadline(self.within):
                answer = self.state(target)
        except TimedOut:
            return no_answer(target, "silent", f"no whole answer in {self.within:g} s", took())
        except ConnectFailed as why:
            return no_answer(target, "refused", str(why), took())
        except (Interrupted, ValueError) as why:
            return no_answer(target, "unknown", f"what came is no answer: {why}", took())
        version = answer.header("admin-version") or ""
        return classify_answer(target, took(), self.within, answer.status, version, answer.body)

    def state(self, target: Target) -> Response:
        return self.client.request(target.at, "GET", "/v1/state")

    def ask_all(self, targets: Sequence[Target]) -> list[QueryResult]:
        """Queries the gateways concurrently, up to a limit; returns the results in the order of `targets`."""
        found: dict[str, QueryResult] = {}
        waiting = list(targets)[::-1]

        def query_next() -> None:
            while waiting:
                target = waiting.pop()
                found[target.name] = self.ask(target)

        tasks = [
            self.loop.spawn(query_next, name="ask") for _ in range(min(MAX_CONCURRENT_QUERIES, len(targets)))
        ]
        for task in tasks:
            task.wait()
        return [found[t.name] for t in targets]

    def call(self, target: Target, call: CallGateway, within: float) -> tuple[int, str]:
        """Returns the status, 0 without an answer, and the body or the reason."""
        message: Reload | Drain | None = None
        path = "drain"
        if call.action == "reload":
            path, message = "reload", Reload(call.ticket, call.if_boot)
        elif call.action == "undrain":
            path = "undrain"
        else:
            then: Any = {"restart": "restart", "retire": "leave"}.get(call.action, "stay")
            message = Drain(within, then, call.ticket, call.if_boot)
        try:
            answer = self.post(target, path, message)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            return 0, str(why)
        return answer.status, answer.body.decode("utf-8", "replace")

    def post(self, target: Target, path: str, message: Reload | Fenced | None) -> Response:
        body = msgspec.json.encode(message) if message is not None else b""
        with self.loop.deadline(self.within):
            return self.client.request(target.at, "POST", f"/v1/{path}", None, body)


def verifying_client(loop: Loop, keys: Keys, certificate: Path, names: Mapping[str, str]) -> Client:
    """Returns a client that presents this certificate and accepts only the certificates of gateways.

    `names`: by address, the gateway whose certificate is expected there.
    """

    def check_peer(address: str, shown_der: bytes) -> None:
        """Rejects a connection unless the peer presents the certificate of the gateway expected there."""
        try:
            authorize(
                parse_certificate(shown_der),
                time.time(),
                ("gateway",),
                keys.revoked(),
                names.get(address, ""),
            )
        except CertificateRejected as why:
            raise ConnectFailed(str(why)) from None

    return Client(loop, tls_context(keys.ca, certificate, False), check_peer)


class LineSink(Protocol):
    """A journal, or a replacement for it."""

    def append(self, line: Mapping[str, Any]) -> None: ...


class PlanRunner:
    """Runs one plan. `report` is called with each journal line, to display it."""

    def __init__(
        self,
        loop: Loop,
        caller: Caller,
        journal: LineSink,
        rolling: RollingChange,
        report: Callable[[dict[str, Any]], None],
    ) -> None:
        self.loop, self.caller, self.journal, self.rolling, self.report = (
            loop,
            caller,
            journal,
            rolling,
            report,
        )
        self.targets = {t.name: t for t in rolling.plan.targets}
        self.changed = Event(loop)

    def run(self) -> Finished:
        """Runs the plan until it has ended or stopped."""
        self._measure_baseline()
        watch_task = self.loop.spawn(self._watch_joins, name="joins")
        try:
            while True:
                now = time.monotonic()
                while (decision := self.rolling.decide(now)) is not None:
                    match decision:
                        case AppendLine(line):
                            self.journal.append({**line, "t": round(time.time(), 3)})
                            self.report(dict(line))
                        case QueryGateway(name):
                            self.loop.spawn(self._query, name, name=f"ask {name}")
                        case CallGateway() as call:
                            self.loop.spawn(self._call, call, name=f"call {call.name}")
                        case Finished() as result:
                            return result
                wake = self.rolling.wake_at(now)
                try:
                    with self.loop.deadline(max(0.01, (wake if wake is not None else now + 0.5) - now)):
                        self.changed.wait()
                except TimedOut:
                    pass
                self.changed = Event(self.loop)
        finally:
            watch_task.cancel()

    def _measure_baseline(self) -> None:
        """Takes the join statistics before the first step."""
        if self.rolling.baseline is not None:
            return
        joins = JoinStatistics()
        targets = list(self.targets.values())
        for sample in range(2):
            for found in self.caller.ask_all(targets):
                joins.add(found)
                self.rolling.joins.add(found)
            if sample == 0:
                self.loop.sleep(min(JOIN_SAMPLE_INTERVAL_S, self.rolling.plan.terms.settle))
        self.rolling.on_baseline_measured(joins)

    def _watch_joins(self) -> None:
        while True:
            self.loop.sleep(JOIN_SAMPLE_INTERVAL_S)
            for found in self.caller.ask_all(list(self.targets.values())):
                self.rolling.joins.add(found)

    def _query(self, name: str) -> None:
        found = self.caller.ask(self.targets[name])
        self.rolling.on_query_result(time.monotonic(), found)
        self.changed.set()

    def _call(self, call: CallGateway) -> None:
        within = self.rolling.plan.terms.within
        status, why = self.caller.call(self.targets[call.name], call, within)
        self.rolling.on_call_result(time.monotonic(), call.name, status, why)
        self.changed.set()
