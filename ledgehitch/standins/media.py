"""Simulated media host: WHEP and WHIP set-ups, sessions, notes, load reports and injected faults."""

import random
import time
from collections.abc import Callable

import msgspec

from ledgehitch.http import Feed, NoAnswer, Refused, Request, Response, Server
from ledgehitch.http.events import encode_event
from ledgehitch.loop import Cancelled, Endpoint, Event, Loop
from ledgehitch.proof.tape import Tape
from ledgehitch.signalling import BadSdp, parse_sdp
from ledgehitch.signalling.sdp import Media
from ledgehitch.standins.faults import Troubles
from ledgehitch.standins.links import Delivery, Kinds
from ledgehitch.standins.places import ORPHANED, Habits, Places

LAYER = "urn:ietf:params:whep:ext:core:layer"
NEVER = 1e9  # a time later than any monotonic time


class Session:
    """One active viewing. `factor`: ratio of true to nominal rate; `seen`: time of the last keep-alive."""

    __slots__ = ("id", "key", "gateway", "viewing_id", "package", "title", "rung", "factor", "seen")

    def __init__(
        self,
        id: str,
        key: str,
        gateway: str,
        viewing_id: int,
        package: str,
        title: str,
        rung: int,
        factor: float,
        now: float,
    ) -> None:
        self.id, self.key, self.gateway, self.viewing_id, self.package = id, key, gateway, viewing_id, package
        self.title, self.rung, self.factor, self.seen = title, rung, factor, now


class MediaHost:
    """A media host with its own server, its sessions, and an event stream to each subscribed gateway."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        at: Endpoint,
        cell: int,
        kind: str,
        zone: str,
        weight: float,
        rates: tuple[float, ...],
        scales: dict[str, float],
        places: Callable[[], Places],
        habits: Habits,
        tape: Tape,
        seed: int,
        media_at: str,
        reset: Callable[[], None] | None = None,
    ) -> None:
        self.loop, self.name, self.want_at, self.cell, self.kind = loop, name, at, cell, kind
        self.zone, self.weight, self.rates, self.scales = zone, weight, rates, scales
        self.new_places, self.habits, self.tape, self.media_at = places, habits, tape, media_at
        self.chance = random.Random(f"{seed}/{name}")
        self.troubles = Troubles()
        self.delivery = Delivery()
        self.reported_load: tuple[float, Delivery] = (0.0, Delivery())
        self.sessions: dict[str, Session] = {}
        self.by_key: dict[str, str] = {}
        self.setting_up: dict[str, Event] = {}  # by key
        self.feeds: dict[str, Feed] = {}  # by gateway and boot ("gateway.boot")
        self.unsubscribed_at: dict[str, float] = {}
        self.server: Server | None = None
        self.lives = 0
        self.started_wall = 0.0
        self.places = places()
        self._ids = 0
        self._malformed_count = 0

    # ---- lifecycle -----------------------------------------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Starts the host's process; if not `cold`, as if it had warmed up already."""
        self.lives += 1
        self.boot = f"{self.name}-{self.lives}-{self.chance.randrange(1 << 32):08x}"
        self.places = self.new_places()
        now = time.monotonic()
        self.places.started = now if cold else now - self.places.warm_up
        self.started_wall = time.time() - (now - self.places.started)
        self.troubles = Troubles()
        self.server = Server(self.loop, self.want_at, self.handle)
        self.want_at = self.server.at
        if cold:
            self.tape.write("started", host=self.name, slots=self.places.slots)

    @property
    def up(self) -> bool:
        return self.server is not None

    def stop(self, fell: bool = False) -> None:
        """Kills the process: resets connections and drops sessions. `fell`: it crashed under load."""
        if self.server is None:
            return
        server, self.server = self.server, None
        for stream in list(server.open):
            stream.reset()
        server.close()
        for feed in self.feeds.values():
            feed.close()
        self.feeds.clear()
        for session in list(self.sessions.values()):
            self._drop(session)
        self.setting_up.clear()
        self.tape.write("fell" if fell else "down", host=self.name)

    # ---- requests ------------------------------------------------------------------------------------------

    def handle(self, request: Request) -> Response:
        parts = request.path.strip("/").split("/")
        if self.troubles.silent and parts[0] not in ("whep", "whip"):
            self._hang_until_disconnect(request)
        match request.method, parts:
            case "POST", ["whep" | "whip", package, title]:
                return self._set_up(request, package, title)
            case "DELETE", ["sessions", id]:
                session = self.sessions.get(id)
                if session is None:
                    raise Refused(404, "no such session")
                self._drop(session)
                return Response(200)
            case "DELETE", ["tune-ins", key]:
                return self._cancel(key)
            case "POST", ["sessions", id, "layer"]:
                return self._layer(request, id)
            case "PATCH", ["sessions", id]:
                if id not in self.sessions:
                    raise Refused(404, "no such session")
                if request.headers.get("if-match") == "*":
                    kind = [("Content-Type", "application/trickle-ice-sdpfrag")]
                    return Response(200, kind, f"a=ice-ufrag:{id}r\r\na=ice-pwd:{'p' * 22}\r\n".encode())
                return Response(204)
            case "GET", ["events"]:
                return self._events(request)
            case "GET", ["probe"]:
                return Response(204, [self._load_metrics()])
        raise Refused(404, f"{request.method} {request.path} is unknown")

    def _hang_until_disconnect(self, request: Request) -> None:
        gone = Event(self.loop)
        request.on_disconnect(lambda: gone.set())
        gone.wait()
        raise NoAnswer("client disconnected")

    def _set_up(self, request: Request, package: str, title: str) -> Response:
        now = time.monotonic()
        key = request.headers.get("idempotency-key", "").strip('"')
        gateway = request.headers.get("gateway", "")
        rung = int(request.query("rung") or 0)
        self._ids += 1
        id = f"{self.name}+{self.lives}+{self._ids}"  # "+" is valid in ICE and in no host name
        self.tape.write(
            "setup",
            host=self.name,
            id=id,
            key=key,
            gateway=gateway.partition(".")[0],
            package=package,
            title=title,
            rung=rung,
        )
        gone = Event(self.loop)
        request.on_disconnect(lambda: gone.set("gone"))
        try:
            response, drop_reason = self._answer_set_up(
                request, now, id, key, gateway, package, title, rung, gone
            )
        except (Cancelled, NoAnswer):
            self.tape.write("setup_gone", id=id)
            raise
        if response is None or gone.value == "gone":
            self.tape.write("setup_gone", id=id)
            if id in self.sessions:
                self._drop(self.sessions[id])
            raise NoAnswer("client disconnected")
        if drop_reason is None:
            self.tape.write("setup_out", id=id, status=response.status)
            return response
        self.tape.write("setup_gone", id=id)
        raise NoAnswer(drop_reason)

    def _answer_set_up(
        self,
        request: Request,
        now: float,
        id: str,
        key: str,
        gateway: str,
        package: str,
        title: str,
        rung: int,
        gone: Event,
    ) -> tuple[Response | None, str | None]:
        troubles = self.troubles
        survived = self.places.take(now)
        if not survived:
            self.stop(fell=True)
            raise NoAnswer("host crashed: too many set-ups while it warms up")
        if troubles.silent or troubles.hangs:
            gone.wait()
            return None, None
        if self.chance.random() < troubles.errors:
            return Response(500, [self._load_metrics()], b"out of order"), None
        if len(self.sessions) + len(self.setting_up) >= self.places.slots or (
            self.habits.full_from and self.delivery.link >= self.habits.full_from
        ):
            return Response(503, [self._load_metrics()], b"full"), None
        try:
            offer = parse_sdp(request.body.decode("utf-8", "replace"))
        except BadSdp as error:
            return Response(400, [], str(error).encode()), None
        self.setting_up[key] = gone
        try:
            ends = time.monotonic() + self.habits.draw_setup_time(self.chance) * troubles.slower
            timer = self.loop.call_at(ends, lambda: gone.set("done"))
            try:
                gone.wait()
            finally:
                self.loop.timers.cancel(timer)
        finally:
            self.setting_up.pop(key, None)
        if gone.value != "done" or not self.up:
            return None, None
        if troubles.silent or troubles.hangs:
            silent = Event(self.loop)
            request.on_disconnect(None)
            request.on_disconnect(lambda: silent.set())
            silent.wait()
            return None, None
        viewing_id = int(key.split(".")[2]) if key.count(".") == 3 else 0
        factor = self.habits.true_rate(title)
        session = Session(id, key, gateway, viewing_id, package, title, rung, factor, time.monotonic())
        self.sessions[id], self.by_key[key] = session, id
        answer = self._answer_sdp(offer.media, id)
        fields = [
            ("Content-Type", "application/sdp"),
            ("Location", f"/sessions/{id}"),
            ("Link", f'</sessions/{id}/layer>; rel="{LAYER}"'),
            self._load_metrics(),
        ]
        response = Response(201, fields, answer)
        if self.chance.random() < troubles.lost:
            if troubles.lost_resets:
                request.reset()
                return response, "injected fault: answer lost, connection reset"
            silent = Event(self.loop)
            request.on_disconnect(None)
            request.on_disconnect(lambda: silent.set())
            silent.wait()
            return response, "injected fault: answer lost"
        if self.chance.random() < troubles.bad:
            return self._malformed(request, response), None
        return response, None

    def _malformed(self, request: Request, response: Response) -> Response:
        """Returns, in turn, an invalid SDP, half an answer, the answer twice, or a reset after the answer."""
        self._malformed_count += 1
        variant = self._malformed_count % 4
        whole = response.encode(keep_alive=True)
        if variant == 0:
            response.body = b"v=0\r\nthis is no description\r\n"
        elif variant == 1:
            response.body = response.body[: len(response.body) // 2]
            response.headers.append(("Content-Length", str(len(response.body) * 2)))
            response.stream = lambda send: None  # closes the connection after the half
        elif variant == 2:
            response.body += whole
            response.headers.append(("Content-Length", str(len(response.body) - len(whole))))
            response.stream = lambda send: send(response.body)
        else:
            response.headers.append(("Content-Length", str(len(response.body))))

            def reset(send: Callable[[bytes], None]) -> None:
                self.loop.sleep(0.01)
                request.reset()

            response.stream = reset
        return response

    def _answer_sdp(self, media: list[Media], id: str) -> bytes:
        ip, _, port = self.media_at.rpartition(":")
        lines = ["v=0", f"o=- {stable_hash(id)} 1 IN IP4 127.0.0.1", "s=-", "t=0 0", "a=ice-lite"]
        for number, section in enumerate(media):
            lines += [
                f"m={section.kind} 9 UDP/TLS/RTP/SAVPF 96",
                "c=IN IP4 127.0.0.1",
                f"a=mid:{section.mid or number}",
                f"a=ice-ufrag:{id}",
                "a=ice-pwd:0123456789abcdefghijkl",
                "a=fingerprint:sha-256 " + ":".join(["AB"] * 32),
                "a=setup:passive",
                "a=sendonly",
                f"a=candidate:1 1 udp 2130706431 {ip} {port} typ host",
            ]
        return ("\r\n".join(lines) + "\r\n").encode()

    def _cancel(self, key: str) -> Response:
        pending = self.setting_up.get(key)
        if pending is not None:
            pending.set("gone")
        id = self.by_key.get(key)
        if id is not None and id in self.sessions:
            self._drop(self.sessions[id])
        return Response(200 if id or pending else 404)

    def _layer(self, request: Request, id: str) -> Response:
        if self.troubles.hangs:
            self._hang_until_disconnect(request)
        session = self.sessions.get(id)
        if session is None:
            raise Refused(404, "no such session")
        try:
            wanted = int(msgspec.json.decode(request.body, type=dict[str, str])["encodingId"])
            self.rates[wanted]
        except (msgspec.MsgspecError, KeyError, ValueError, IndexError):
            raise Refused(400, "layer is invalid: expected an encodingId of the ladder") from None
        session.rung = wanted
        self.tape.write("rung", id=id, rung=wanted)
        return Response(200)

    def _events(self, request: Request) -> Response:
        gateway = request.query("gateway") or ""
        previous = self.feeds.pop(gateway, None)
        if previous is not None:
            previous.close()
        feed = self.feeds[gateway] = Feed(self.loop)
        self.unsubscribed_at.pop(gateway, None)
        feed.send(b": here\n\n")

        def stream(send: Callable[[bytes], None]) -> None:
            try:
                feed.send_all(send)
            finally:
                if self.feeds.get(gateway) is feed:
                    del self.feeds[gateway]
                    self.unsubscribed_at[gateway] = time.monotonic()

        return Response(200, [("Content-Type", "text/event-stream"), ("Boot", self.boot)], stream=stream)

    def _load_metrics(self) -> tuple[str, str]:
        now = time.monotonic()
        if now - self.reported_load[0] > self.habits.refresh:
            self.reported_load = now, self.habits.reported(self.chance, self.delivery)
        load = self.reported_load[1]
        return (
            "Endpoint-Load-Metrics",
            f"TEXT application_utilization={min(1.0, load.link):.4f}, "
            f"named_metrics.inflight={len(self.sessions)}, named_metrics.x0={load.link:.4f}, "
            f"named_metrics.x1={load.uplink:.4f}",
        )

    # ---- sessions ------------------------------------------------------------------------------------------

    def demand_kb(self) -> float:
        """Returns the demand of its viewings on its link now, in kB a second."""
        kb = sum(
            self.rates[s.rung] * self.scales.get(s.package, 1.0) * s.factor for s in self.sessions.values()
        )
        return kb * self.habits.rate_factor(self.name, time.monotonic())

    def _drop(self, session: Session) -> None:
        if self.sessions.pop(session.id, None) is not None:
            self.by_key.pop(session.key, None)
            self.tape.write("stop", id=session.id)

    def end(self, session: Session, code: int) -> None:
        """Ends a session and notifies its gateway with `code`."""
        self._drop(session)
        self._notify(session.gateway, "ended", session.viewing_id, code)

    def _notify(self, gateway: str, name: str, viewing_id: int, kind: int, value: float = 0.0) -> None:
        feed = self.feeds.get(gateway)
        if feed is not None and not self.troubles.silent:
            data = msgspec.json.encode({"vw": viewing_id, "kind": kind, "value": round(value, 4)}).decode()
            feed.send(encode_event(data, name))

    def on_keepalive(self, id: str) -> tuple[float, int] | None:
        """Records a viewer's keep-alive and returns its delivered share and rung; None without a session."""
        session = self.sessions.get(id)
        if session is None:
            return None
        session.seen = time.monotonic()
        return (0.0 if self.troubles.hangs else self.delivery.share), session.rung

    def alive(self) -> None:
        """Sends a heartbeat to each subscribed gateway."""
        for feed in list(self.feeds.values()):
            if not self.troubles.silent:
                feed.send(b": here\n\n")

    def sweep(self) -> None:
        """Ends sessions whose viewer sent no keep-alive in time or whose gateway is gone."""
        now = time.monotonic()
        for session in list(self.sessions.values()):
            if now - session.seen > self.habits.consent:
                self.end(session, 70)
            elif now - self.unsubscribed_at.get(session.gateway, NEVER) > ORPHANED:
                self._drop(session)

    def note(self, kinds: Kinds) -> None:
        """Notifies every gateway with sessions here, each on one of its sessions."""
        notified: dict[str, None] = {}
        for session in self.sessions.values():
            if session.gateway not in notified:
                notified[session.gateway] = None
                for kind, value in kinds:
                    self._notify(session.gateway, "note", session.viewing_id, kind, value)


def stable_hash(text: str) -> int:
    """Returns a number derived from a text, the same in every process."""
    return random.Random(text).randrange(1 << 31)
