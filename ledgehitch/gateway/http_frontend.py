"""The gateway's HTTP interface: passes WHEP and WHIP offers to the executor and answers with the results.

POST   /whep/{package}/{title}   an offer to watch; ?top=N says the highest rung that the viewer can use
POST   /whip/{package}/{title}   an offer to send
PATCH  /viewings/{id}            trickled candidates, or an ICE restart
DELETE /viewings/{id}            ends the viewing
POST, GET /viewings/{id}/events  events of the viewing, as server-sent events
POST   /viewings/{id}/layer      answered 409: the gateway sets the rate
GET    /health, /state           whether it serves, and its counters
"""

import itertools
import math
from collections.abc import Callable, Mapping
from typing import Any

import msgspec
from blake3 import blake3

from ledgehitch.gateway.executor import LAYER_RELATION, Executor, Viewing
from ledgehitch.gateway.reports import REPORTS_RELATION, ReportService, TokenIssuer
from ledgehitch.http import Feed, NoAnswer, Refused, Request, Response, problem
from ledgehitch.http.events import encode_event
from ledgehitch.interface import Package
from ledgehitch.loop import Loop, TimedOut
from ledgehitch.signalling import BadSdp, Offer, parse_fragment, parse_sdp

SDP = "application/sdp"
FRAGMENT = "application/trickle-ice-sdpfrag"
EVENTS_RELATION = "urn:ietf:params:whep:ext:core:server-sent-events"
EVENT_NAMES = ("active", "inactive", "layers")
BLOCKED_PROBLEM = "urn:ledgehitch:problem:blocked"
ABORTED_PROBLEM = "urn:ledgehitch:problem:aborted"
MAX_TOKEN_LENGTH = 4096
PATCH_REFUSALS = {
    404: "no such viewing, or it has ended",
    412: "the condition names another state of the ICE session",
    428: "a PATCH needs If-Match: the ETag, or * to restart ICE",
}
ANSWER_GRACE_S = 0.1  # after patience; then a viewing without a decision is answered all the same


class HttpFrontend:
    """Handles the HTTP requests of viewers to one gateway."""

    def __init__(
        self,
        loop: Loop,
        executor: Executor,
        packages: Mapping[str, Package],
        titles: Mapping[str, tuple[int, int]],
        rung_rates: tuple[float, ...],
        state: Callable[[], dict[str, Any]],
    ) -> None:
        self.loop, self.executor = loop, executor
        self.packages, self.titles, self.rung_rates, self.state = packages, titles, rung_rates, state
        self.draining = False
        self.other_gateway: Callable[[], str] = str  # address for redirects while draining, or empty
        self.reports: ReportService | None = None  # set if this process takes reports
        self.reports_at = ""  # http://ADDRESS of a separate report process
        self.token_issuer: TokenIssuer | None = None
        self.playing_by_rack: Callable[[], dict[str, int]] = dict  # numbers of playing viewings
        self.rack_of: Callable[[str], str] = lambda host: ""
        self._connection_numbers = itertools.count(1)
        self._viewing_ids = itertools.count(1)

    def handle(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        match parts:
            case ["whep" | "whip" as method, package, title]:
                return self._on_offer(request, method, package, title)
            case ["viewings", resource]:
                return self._on_resource_request(request, resource)
            case ["viewings", resource, "events"]:
                return self._on_events_request(request, resource)
            case ["viewings", resource, "layer"]:
                self._require_method(request, "POST")
                self._viewing(resource)
                raise Refused(409, "the gateway sets the rate of this viewing; ask with ?top=N for less")
            case ["viewings", _, "reports"] | ["quality", "tables" | "report"] if self.reports_at:
                location = f"{self.reports_at}{request.target}"
                raise Refused(307, "reports are taken beside", [("Location", location)])
            case ["viewings", _, "reports"] | ["quality", "tables" | "report"] if self.reports is not None:
                return self.reports.handle(request)
            case ["quality", "playing"]:
                self._require_method(request, "GET")
                return _json(200, self.playing_by_rack())
            case ["health"]:
                self._require_method(request, "GET", "HEAD")
                return _json(200, {"serves": not self.draining})
            case ["state"]:
                self._require_method(request, "GET", "HEAD")
                return _json(200, self.state())
        raise Refused(404, f"nothing at {request.path[:100]!r}")

    @staticmethod
    def _require_method(request: Request, *methods: str) -> None:
        if request.method not in methods:
            allowed = ", ".join(methods)
            raise Refused(405, f"{request.method} is not done here, {allowed} is", [("Allow", allowed)])

    # ---- offers --------------------------------------------------------------------------------------------

    def _on_offer(self, request: Request, method: str, package: str, title: str) -> Response:
        if request.method == "OPTIONS":
            fields = [("Accept-Post", SDP), ("Allow", "POST, OPTIONS"), *_cors_headers()]
            return Response(204, fields)
        self._require_method(request, "POST", "OPTIONS")
        package_terms, cells = self.packages.get(package), self.titles.get(title)
        if package_terms is None:
            raise Refused(404, f"no package {package!r}; there are {', '.join(sorted(self.packages))}")
        if cells is None:
            raise Refused(404, f"no title {title!r}")
        if request.media_type() != SDP:
            raise Refused(415, f"an offer is {SDP}", [("Accept-Post", SDP)])
        if not _accepts(request.headers.get("accept"), SDP):
            raise Refused(406, f"the answer is {SDP}")
        token = _bearer_token(request)
        offer = self._parse_offer(request, method)
        top = self._highest_rung(request, offer)
        wait = min(_preferred_wait(request.headers.get("prefer")), package_terms.patience)
        if self.draining:
            other = self.other_gateway()
            if other:
                location = [("Location", f"http://{other}{request.target}"), *_cors_headers()]
                raise Refused(307, "this gateway drains, another takes it", location)
            raise Refused(503, "this gateway drains", [("Retry-After", "0")])
        conn, viewing_id = next(self._connection_numbers), next(self._viewing_ids)
        digest = blake3()
        for part in (method, package, title, token, str(top)):
            digest.update(part.encode() + b"\0")
        digest.update(request.body)
        viewing = Viewing(token, method, package_terms, title, request.body, offer, asked_at=request.arrived)
        patience = request.arrived + wait
        encode_event = self.executor.on_offer(
            conn,
            digest.digest(16),
            viewing_id,
            viewing,
            cells,
            top,
            patience,
            offer.ufrag,
            request.headers.get("return-ticket", ""),
            request.peer.rpartition(":")[0],
        )
        request.on_disconnect(lambda: self.executor.on_hang_up(conn))
        try:
            with self.loop.deadline(max(0.0, patience - self.loop.now) + ANSWER_GRACE_S):
                viewing_id = encode_event.wait()
        except TimedOut:
            self.executor.on_overdue(conn, viewing_id)
        if viewing_id is None:
            raise NoAnswer("the client disconnected")
        return self._answer(conn, viewing_id)

    def _parse_offer(self, request: Request, method: str) -> Offer:
        try:
            offer = parse_sdp(request.body.decode("utf-8"))
        except UnicodeDecodeError as error:
            raise Refused(400, f"the offer is not UTF-8 at byte {error.start}") from None
        except BadSdp as error:
            raise Refused(400, f"the offer does not parse: {error}") from None
        unfit = "sendonly" if method == "whep" else "recvonly"
        for number, media in enumerate(offer.media):
            if media.direction == unfit:
                raise Refused(400, f"media section {number}: {unfit} cannot be offered to {method.upper()}")
        return offer

    def _highest_rung(self, request: Request, offer: Offer) -> int:
        """Returns the highest rung that the viewer can use: `?top=N`, else by the offer's bandwidth, else the
        top."""
        requested = request.query("top")
        if requested is not None:
            if not requested.isdigit():
                raise Refused(
                    400,
                    f"top is the number of a rung, 0 to {len(self.rung_rates) - 1}, not {requested!r}",
                )
            return min(int(requested), len(self.rung_rates) - 1)
        kb = offer.max_kb()
        if kb is None:
            return len(self.rung_rates) - 1
        return max((i for i, rate in enumerate(self.rung_rates) if rate <= kb), default=0)

    def _answer(self, conn: int, viewing_id: int) -> Response:
        entry = self.executor.registry.entries.get(viewing_id)
        result = entry.result if entry is not None else None
        if entry is None or result is None:
            # The viewing ended before this repeated offer could be answered.
            self.executor.registry.on_answer_sent(self.loop.now, conn)
            return problem(502, "the viewing ended as it was set up", kind=ABORTED_PROBLEM, answer="aborted")
        if result.kind == "plays":
            path = f"/viewings/{entry.resource}"
            events = f'; events="{",".join(EVENT_NAMES)}"'
            fields = [
                ("Content-Type", SDP),
                ("Location", path),
                ("ETag", self.executor.registry.etag(entry)),
                ("Link", f'<{path}/layer>; rel="{LAYER_RELATION}"'),
                ("Link", f'<{path}/events>; rel="{EVENTS_RELATION}"{events}'),
                ("Accept-Patch", FRAGMENT),
                *_cors_headers(),
            ]
            playing = self.executor.viewings.get(viewing_id)
            if self.token_issuer is not None and playing is not None:
                took = self.loop.now - playing.asked_at
                rack, join_target = self.rack_of(playing.host), playing.package.join_target
                package = playing.package.name
                token = self.token_issuer.issue(
                    entry.resource, rack, playing.title, took, join_target, package
                )
                target = f"{self.reports_at}{path}/reports"
                fields += [("Link", f'<{target}>; rel="{REPORTS_RELATION}"'), ("Report-Token", token)]
            response = Response(201, fields, result.answer.encode())
        elif result.kind == "blocked":
            fields = [("Retry-After", str(math.ceil(result.advice)))] if result.advice > 0 else []
            fields += [("Return-Ticket", result.ticket)] if result.ticket else []
            why = f"not let in: {result.why}" if result.why else "no media host has room for this viewing"
            response = problem(503, why, [*fields, *_cors_headers()], BLOCKED_PROBLEM, answer="blocked")
        else:
            response = problem(
                504,
                "the viewing could not be set up in time; it may have run",
                _cors_headers(),
                ABORTED_PROBLEM,
                answer="aborted",
            )
        response.on_sent = lambda complete: self._on_answer_written(conn, complete)
        return response

    def _on_answer_written(self, conn: int, complete: bool) -> None:
        registry = self.executor.registry
        if complete:
            registry.on_answer_sent(self.loop.now, conn)
        else:
            registry.on_answer_failed(self.loop.now, conn)
            self.executor.wake()

    # ---- resources -----------------------------------------------------------------------------------------

    def _viewing(self, resource: str) -> Viewing:
        entry = self.executor.registry.by_resource(resource)
        viewing = (
            self.executor.viewings.get(entry.viewing_id) if entry is not None and entry.playing else None
        )
        if viewing is None:
            raise Refused(404, "no such viewing, or it has ended")
        return viewing

    def _on_resource_request(self, request: Request, resource: str) -> Response:
        if request.method == "OPTIONS":
            return Response(
                204, [("Accept-Patch", FRAGMENT), ("Allow", "PATCH, DELETE, OPTIONS"), *_cors_headers()]
            )
        self._require_method(request, "PATCH", "DELETE", "OPTIONS")
        if request.method == "DELETE":
            if not self.executor.registry.on_delete(self.loop.now, resource):
                raise Refused(404, "no such viewing, or it has ended")
            self.executor.wake()
            return Response(200)
        if request.media_type() != FRAGMENT:
            raise Refused(415, f"a PATCH is {FRAGMENT}", [("Accept-Patch", FRAGMENT)])
        viewing = self._viewing(resource)
        try:
            fragment = parse_fragment(request.body.decode("utf-8"))
        except (UnicodeDecodeError, BadSdp) as error:
            raise Refused(400, f"the fragment does not parse: {error}") from None
        registry = self.executor.registry
        status = registry.on_patch(resource, request.headers.get("if-match"), fragment.ufrag)
        if status in (404, 412, 428):
            raise Refused(status, PATCH_REFUSALS[status])
        headers = [("Content-Type", FRAGMENT), ("If-Match", request.headers["if-match"])]
        answer = self.executor.forward_patch(viewing, headers, request.body)
        if answer is None or answer.status >= 400:
            raise Refused(502, "the media host did not take it")
        if status == 204:
            return Response(204, _cors_headers())
        entry = registry.by_resource(resource)
        tag = [("ETag", registry.etag(entry))] if entry is not None else []
        return Response(200, [("Content-Type", FRAGMENT), *tag, *_cors_headers()], answer.body)

    def _on_events_request(self, request: Request, resource: str) -> Response:
        self._require_method(request, "GET", "POST")
        viewing = self._viewing(resource)
        if request.method == "POST":
            try:
                wanted = msgspec.json.decode(request.body or b"[]", type=list[str])
            except msgspec.MsgspecError as error:
                raise Refused(400, f"a list of names of events is meant: {error}") from None
            query = ",".join(name for name in wanted if name in EVENT_NAMES)
            return Response(201, [("Location", f"/viewings/{resource}/events?of={query}"), *_cors_headers()])
        only = set((request.query("of") or ",".join(EVENT_NAMES)).split(","))
        feed = Feed(self.loop, 64)

        def notify(name: str, data: dict[str, Any]) -> None:
            if name in only:
                feed.send(encode_event(msgspec.json.encode(data).decode(), name))
            if name == "inactive":
                feed.close()

        notify("active", {})
        notify("layers", {"encodingId": str(viewing.current_rung)})
        viewing.event_listeners = [*(viewing.event_listeners or []), notify]

        def stream(send: Callable[[bytes], None]) -> None:
            try:
                feed.send_all(send)
            finally:
                viewing.event_listeners = [
                    listener for listener in viewing.event_listeners or [] if listener is not notify
                ] or None

        return Response(200, [("Content-Type", "text/event-stream"), *_cors_headers()], stream=stream)


def _json(status: int, body: Any) -> Response:
    return Response(status, [("Content-Type", "application/json")], msgspec.json.encode(body))


def _cors_headers() -> list[tuple[str, str]]:
    exposed = "Location, ETag, Link, Report-Token, Retry-After, Return-Ticket"
    return [("Access-Control-Allow-Origin", "*"), ("Access-Control-Expose-Headers", exposed)]


def _accepts(header: str | None, kind: str) -> bool:
    """Returns whether an Accept header allows this media type."""
    if header is None:
        return True
    for part in header.split(","):
        name, _, parameters = part.strip().partition(";")
        if name.strip().lower() in (kind, kind.partition("/")[0] + "/*", "*/*"):
            quality = parameters.replace(" ", "").partition("q=")[2].partition(";")[0]
            try:
                return not quality or float(quality) > 0
            except ValueError:
                return True
    return False


def _bearer_token(request: Request) -> str:
    scheme, _, token = request.headers.get("authorization", "").partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        raise Refused(401, "a viewer is named by a bearer token", [("WWW-Authenticate", "Bearer")])
    if len(token) > MAX_TOKEN_LENGTH:
        raise Refused(
            401,
            f"a token has at most {MAX_TOKEN_LENGTH} characters",
            [("WWW-Authenticate", "Bearer")],
        )
    return token


def _preferred_wait(prefer: str | None) -> float:
    """Returns the seconds of `Prefer: wait=SECONDS` (RFC 7240), infinite without it."""
    for part in (prefer or "").replace(";", ",").split(","):
        name, _, value = part.strip().partition("=")
        if name.strip().lower() == "wait":
            try:
                wait = float(value.strip().strip('"'))
            except ValueError:
                raise Refused(400, f"Prefer: wait takes seconds, not {value[:20]!r}") from None
            if not 0 <= wait < math.inf:
                raise Refused(400, f"Prefer: wait takes seconds from 0 up, not {value[:20]!r}")
            return wait
    return math.inf
