"""Carries out what a plan decides: questions and calls go out, each with its deadline; the journal first."""

import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec

from ledgehitch.daemon.facts import Drain, Fenced, Reload
from ledgehitch.fleet.found import Found, Target, judged, unheard
from ledgehitch.fleet.plan import Ask, Call, Joins, Over, Rolling, Write
from ledgehitch.http import Client, ConnectFailed, Interrupted, Response
from ledgehitch.keys.contexts import tls_context
from ledgehitch.keys.judge import CertificateRejected, authorize, parse_certificate
from ledgehitch.keys.store import Keys
from ledgehitch.loop import Event, Loop, TimedOut

WITHIN = 1.5  # seconds for one gateway's answer
AT_ONCE = 256  # questions on their way
LOOKED_OVER = 2.0  # seconds between two looks at all gateways, for the joins


class Caller:
    """Calls gateways by the admin call."""

    def __init__(self, loop: Loop, within: float = WITHIN, client: Client | None = None) -> None:
        self.loop, self.within, self.client = loop, within, client or Client(loop)

    def ask(self, target: Target) -> Found:
        began = time.monotonic()

        def took() -> float:
            return time.monotonic() - began

        try:
            with self.loop.deadline(self.within):
                answer = self.state(target)
        except TimedOut:
            return unheard(target, "silent", f"no whole answer in {self.within:g} s", took())
        except ConnectFailed as why:
            return unheard(target, "refused", str(why), took())
        except (Interrupted, ValueError) as why:
            return unheard(target, "unknown", f"what came is no answer: {why}", took())
        version = answer.header("admin-version") or ""
        return judged(target, took(), self.within, answer.status, version, answer.body)

    def state(self, target: Target) -> Response:
        return self.client.request(target.at, "GET", "/v1/state")

    def ask_all(self, targets: Sequence[Target]) -> list[Found]:
        """All of them, some at a time, in the order in which they were named."""
        found: dict[str, Found] = {}
        left = list(targets)[::-1]

        def some() -> None:
            while left:
                target = left.pop()
                found[target.name] = self.ask(target)

        tasks = [self.loop.spawn(some, name="ask") for _ in range(min(AT_ONCE, len(targets)))]
        for task in tasks:
            task.wait()
        return [found[t.name] for t in targets]

    def call(self, target: Target, call: Call, within: float) -> tuple[int, str]:
        """The status, 0 without an answer, and what it says."""
        what: Reload | Drain | None = None
        path = "drain"
        if call.action == "reload":
            path, what = "reload", Reload(call.ticket, call.if_boot)
        elif call.action == "undrain":
            path = "undrain"
        else:
            then: Any = {"restart": "restart", "retire": "leave"}.get(call.action, "stay")
            what = Drain(within, then, call.ticket, call.if_boot)
        try:
            answer = self.post(target, path, what)
        except (TimedOut, ConnectFailed, Interrupted, ValueError) as why:
            return 0, str(why)
        return answer.status, answer.body.decode("utf-8", "replace")

    def post(self, target: Target, path: str, what: Reload | Fenced | None) -> Response:
        body = msgspec.json.encode(what) if what is not None else b""
        with self.loop.deadline(self.within):
            return self.client.request(target.at, "POST", f"/v1/{path}", None, body)


def trusted(loop: Loop, keys: Keys, certificate: Path, names: Mapping[str, str]) -> Client:
    """A client that shows this certificate and takes gateways' own alone. `names`: by address, who must
    answer there."""

    def judge(address: str, shown_der: bytes) -> None:
        """Guards against an impostor at a gateway's address: it must show that gateway's certificate."""
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

    return Client(loop, tls_context(keys.ca, certificate, False), judge)


class Lines(Protocol):
    """A journal, or what stands in its place."""

    def append(self, line: Mapping[str, Any]) -> None: ...


class Work:
    """One plan at work. `tell` gets each line of the journal, for people."""

    def __init__(
        self,
        loop: Loop,
        caller: Caller,
        journal: Lines,
        rolling: Rolling,
        tell: Callable[[dict[str, Any]], None],
    ) -> None:
        self.loop, self.caller, self.journal, self.rolling, self.tell = loop, caller, journal, rolling, tell
        self.targets = {t.name: t for t in rolling.plan.targets}
        self.news = Event(loop)

    def run(self) -> Over:
        self._measure()
        watching = self.loop.spawn(self._watch, name="joins")
        try:
            while True:
                now = time.monotonic()
                while (decision := self.rolling.decide(now)) is not None:
                    match decision:
                        case Write(line):
                            self.journal.append({**line, "t": round(time.time(), 3)})
                            self.tell(dict(line))
                        case Ask(name):
                            self.loop.spawn(self._ask, name, name=f"ask {name}")
                        case Call() as call:
                            self.loop.spawn(self._call, call, name=f"call {call.name}")
                        case Over() as over:
                            return over
                wake = self.rolling.wake_at(now)
                try:
                    with self.loop.deadline(max(0.01, (wake if wake is not None else now + 0.5) - now)):
                        self.news.wait()
                except TimedOut:
                    pass
                self.news = Event(self.loop)
        finally:
            watching.cancel()

    def _measure(self) -> None:
        """What joins are like before the first step."""
        if self.rolling.baseline is not None:
            return
        joins = Joins()
        targets = list(self.targets.values())
        for look in range(2):
            for found in self.caller.ask_all(targets):
                joins.heard(found)
                self.rolling.since.heard(found)
            if look == 0:
                self.loop.sleep(min(LOOKED_OVER, self.rolling.plan.terms.settle))
        self.rolling.measured(joins)

    def _watch(self) -> None:
        while True:
            self.loop.sleep(LOOKED_OVER)
            for found in self.caller.ask_all(list(self.targets.values())):
                self.rolling.since.heard(found)

    def _ask(self, name: str) -> None:
        found = self.caller.ask(self.targets[name])
        self.rolling.found(time.monotonic(), found)
        self.news.set()

    def _call(self, call: Call) -> None:
        within = self.rolling.plan.terms.within
        status, why = self.caller.call(self.targets[call.name], call, within)
        self.rolling.called(time.monotonic(), call.name, status, why)
        self.news.set()
