"""The gateway on the platform as a process on loopback, with scripted viewers, media hosts and a journal.

The six rules as far as they can be seen from outside are judged from what crossed the sockets (`judge`).
"""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from ledgehitch import hostline, rtsp
from ledgehitch.http.events import event
from ledgehitch.loop import Datagrams, Listener, Loop, Stream, TimedOut, connect, endpoint
from ledgehitch.rehearsal.play import free_ports
from tests.test_platform import SETTINGS

Log = list[tuple[str, ...]]  # (what, id, more): "asked"; "answer" and status; "start", "end" and host
BLOB = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n\r\nm=audio\r\n"


def sid(n: int) -> str:
    return f"{n:016x}"


def judge(log: Log) -> str:
    """What rule was broken, or nothing."""
    out: dict[str, str] = {}
    answers: dict[str, int] = {}
    for what, viewing_id, *more in log:
        if what == "start":
            if viewing_id in out:
                return f"rule 2: {viewing_id} is out at {out[viewing_id]} and at {more[0]}"
            if viewing_id not in answers:
                return f"{viewing_id} was never asked for"
            out[viewing_id] = more[0]
        elif what == "end":
            out.pop(viewing_id, None)
        elif what == "asked":
            answers[viewing_id] = 0
        elif what == "answer":
            answers[viewing_id] += 1
            if answers[viewing_id] > 1:
                return f"rule 1: {viewing_id} was answered twice"
    missing = [viewing_id for viewing_id, n in answers.items() if n != 1]
    return f"rule 1: no answer to {missing}" if missing else ""


@pytest.mark.parametrize(
    "log, broken",
    [
        ([("asked", "a"), ("start", "a", "h"), ("start", "a", "i"), ("answer", "a", "200")], "rule 2"),
        ([("asked", "a"), ("answer", "a", "200"), ("answer", "a", "453")], "rule 1"),
        ([("asked", "a")], "rule 1"),
        ([("start", "a", "h")], "never asked"),
        ([("asked", "a"), ("start", "a", "h"), ("end", "a", "h"), ("answer", "a", "200")], ""),
    ],
)
def test_the_judge_sees_broken_rules(log: Log, broken: str) -> None:
    assert broken in judge(log) and bool(judge(log)) == bool(broken)


class Host:
    """A media host: answers each set-up as `how` says (a list of lines, or raw bytes; None: not at all)."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.how: Callable[[str], bytes | None] = lambda tag: hostline.written("STARTED", tag, {}, None, BLOB)
        self.heard: list[hostline.codec.Message] = []
        self.streams: list[Stream] = []
        self.accepted = 0
        self.echoes = True
        self.listener = Listener(world.loop, endpoint("127.0.0.1:0"))
        self.at = str(self.listener.at)
        world.loop.spawn(self._serve, name=name)

    def _serve(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            self.streams.append(stream)
            self.world.loop.spawn(self._talk, stream)

    def _talk(self, stream: Stream) -> None:
        reader = hostline.Reader()
        try:
            while data := stream.receive():
                for message in reader.feed(data):
                    verb, tag = message[:2]
                    self.heard.append(message)
                    if verb == "START":
                        self.world.log.append(("start", tag, self.name))
                        answer = self.how(tag)
                        if answer is not None:
                            if answer.startswith(b'{"verb":"FINISH"'):
                                self.world.log.append(("end", tag, self.name))
                            stream.send(answer)
                    elif verb == "FINISH":
                        self.world.log.append(("end", tag, self.name))
                    elif verb == "ECHO" and self.echoes:
                        stream.send(hostline.written("ECHOED", tag, {"load": "x0:0.1;active:1"}, 1))
        except OSError:
            pass
        for tag, out in list(self.out().items()):
            if out:
                self.world.log.append(("end", tag, self.name))
        stream.close()

    def out(self) -> dict[str, bool]:
        """Set-ups that have reached this host, and whether the log has no end of them here."""
        state: dict[str, bool] = {}
        for what, viewing_id, *more in self.world.log:
            if what in ("start", "end") and more[0] == self.name:
                state[viewing_id] = what == "start"
        return state

    def say(self, verb: str, tag: str, fields: Any = None, cause: int | None = None) -> None:
        self.streams[-1].send(hostline.written(verb, tag, fields or {}, cause))

    def reset(self) -> None:
        for stream in self.streams:
            stream.reset()
        self.streams = []

    def dies(self) -> None:
        self.listener.close()
        self.reset()


class Viewers:
    """One viewers' connection."""

    def __init__(self, world: "World") -> None:
        self.world = world
        with world.loop.deadline(2):
            self.stream = connect(world.loop, endpoint(world.listen))
        self.reader = rtsp.Reader()
        self.got: list[rtsp.codec.Message] = []

    def send(
        self, method: str, n: int, cseq: str = "1", title: str = "7f3a", fields: Any = (), body: str = ""
    ) -> None:
        at = f"rtsp://media/{title}"
        self.stream.send(rtsp.request(method, at, cseq, sid(n), list(fields), body.encode()))

    def set_up(self, n: int, attrs: str = "home:0;copies:6;top:2", **more: Any) -> None:
        fields = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", attrs)]
        self.world.log.append(("asked", sid(n)))
        self.send("SETUP", n, fields=fields, body=BLOB, **more)

    def next(self, within: float = 5.0) -> rtsp.codec.Message:
        with self.world.loop.deadline(within):
            while not self.got:
                data = self.stream.receive()
                if not data:
                    raise EOFError(f"closed; the gateway says: {self.world.errors.read_text()[-2000:]}")
                for message in self.reader.feed(data):
                    method, target, fields, _ = message
                    if method == "" and fields.get("cseq") == "1":
                        self.world.log.append(("answer", fields["session"], target))
                    self.got.append(message)
        return self.got.pop(0)

    def answer(self, within: float = 5.0) -> tuple[str, str, str]:
        """Status, id and description of the next message, which is an answer."""
        method, status, fields, body = self.next(within)
        assert method == "", method
        return status, fields.get("session", ""), body.decode()


class World:
    def __init__(
        self,
        loop: Loop,
        hosts: int,
        folder: Path,
        ceilings: dict[str, Any],
        sockets: int = 256,
        sold: Any = None,
        rules: Any = None,
        start: bool = True,
    ) -> None:
        """`sold` changes the package's settings, `rules` those of the rules."""
        self.loop, self.folder, self.sockets = loop, folder, sockets
        self.ceilings = {**SETTINGS["ceilings"], "peerMessages": True, **ceilings}
        self.sold = {**SETTINGS["categories"][0], **(sold or {})}
        # No media host counts as just started, unless a test says so.
        self.rules = {**SETTINGS["rules"], "warmUp": 0, **(rules or {})}
        self.comments = True  # whether the journal sends a comment now and then
        self.log: Log = []
        self.calls: list[str] = []  # Last-Event-ID of each call to the journal
        self.feeds: list[Stream] = []
        self.hosts = [Host(self, f"s-{i}") for i in range(hosts)]
        self.journal = self.serve_journal()
        # Not one that the machine gives to whoever asks: a connection of another test may have it by then.
        self.listen = f"127.0.0.1:{free_ports(1)[0]}"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.1", 0))
            self.peer_listen = f"127.0.0.1:{free.getsockname()[1]}"
        self.peers = [self.peer_listen]
        self.path, self.errors = folder / "config.json", folder / "log"
        self.errors.touch()
        self.write()
        if start:
            self.start()

    def start(self) -> None:
        env = {**os.environ, "ROUTER_CONFIG": str(self.path), "ROUTER_LISTEN": self.listen}
        with open(self.errors, "wb") as log:
            command = [sys.executable, "-m", "ledgehitch.platform"]
            self.process = subprocess.Popen(command, env=env, stderr=log, cwd=Path(__file__).parents[1])

    def members(self, *changes: tuple[Host, str]) -> list[dict[str, Any]]:
        told = changes or tuple((host, "ready") for host in self.hosts)
        return [
            {
                "id": h.name,
                "host_port": h.at,
                "locality": "a",
                "flavor": "k",
                "cell": int(h.name[2:]),
                "phase": phase,
                "size": 2,
                "up_since_ms": 0,
            }
            for h, phase in told
        ]

    def write(self) -> None:
        hosts = {"revision": 1, "complete": True, "members": self.members()}
        entry = {"pos": 1, "hosts": hosts}
        settings = {**SETTINGS, "ceilings": self.ceilings, "rules": self.rules, "categories": [self.sold]}
        config = {
            "name": "n0",
            "listen": self.listen,
            "seed": "7",
            "limits": {"memory_mb": 32, "sockets": self.sockets},
            "peer_listen": self.peer_listen,
            "peers": self.peers,
            "journal": str(self.journal.at),
            "known": {"pos": 1, "entries": [entry]},
            "settings": settings,
        }
        self.path.write_text(json.dumps(config))

    def serve_journal(self) -> Listener:
        listener = Listener(self.loop, endpoint("127.0.0.1:0"))
        self.loop.spawn(self._journal, listener)
        return listener

    def _journal(self, listener: Listener) -> None:
        while True:
            try:
                stream = listener.accept()
            except OSError:
                return
            asked = stream.receive().decode()
            if not asked:  # given up before it was heard here
                stream.close()
                continue
            self.calls.append(next(x for x in asked.split("\r\n") if x.startswith("Last-Event-ID"))[15:])
            stream.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            self.feeds.append(stream)
            self.loop.spawn(self._comments, stream)

    def _comments(self, stream: Stream) -> None:
        try:
            while stream.fd >= 0:
                if self.comments:
                    stream.send(b":\n\n")
                self.loop.sleep(0.5)
        except OSError:
            pass

    def told(self, pos: int, *changes: tuple[Host, str]) -> bytes:
        hosts = {"revision": pos, "complete": False, "members": self.members(*changes)}
        return event(json.dumps({"pos": pos, "hosts": hosts}), number=str(pos))

    def viewers(self) -> Viewers:
        return Viewers(self)

    def ready(self) -> Viewers:
        for _ in range(200):
            try:
                v = self.viewers()
                v.send("OPTIONS", 0, "3", "ping")
                assert v.next()[1] == "200"
                return v
            except OSError:
                self.loop.sleep(0.05)
        raise AssertionError(self.errors.read_text())

    def until(self, what: Callable[[], Any], within: float = 6.0) -> Any:
        end = time.monotonic() + within
        while not (seen := what()):
            assert time.monotonic() < end, self.errors.read_text()[-2000:]
            self.loop.sleep(0.02)
        return seen


@contextmanager
def running(
    loop: Loop, hosts: int = 2, sockets: int = 256, sold: Any = None, rules: Any = None, **ceilings: Any
) -> Iterator[tuple[World, Viewers]]:
    with tempfile.TemporaryDirectory() as folder:
        world = World(loop, hosts, Path(folder), ceilings, sockets, sold, rules)
        try:
            yield world, world.ready()
            assert world.process.poll() is None or world.process.returncode == 0
            assert "failed:" not in world.errors.read_text()
        finally:
            if world.process.poll() is None:
                world.process.kill()
            world.process.wait()


def on_loop(test: Callable[[Loop], None]) -> Callable[[], None]:
    def run() -> None:
        loop = Loop()
        loop.run(lambda: test(loop))
        assert not loop.failed

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@on_loop
def test_a_viewing_from_set_up_to_release(loop: Loop) -> None:
    with running(loop) as (world, v):
        v.set_up(1)
        v.set_up(2)  # on the same connection
        got = sorted([v.answer(), v.answer()])
        assert got == [("200", sid(1), BLOB), ("200", sid(2), BLOB)] and not judge(world.log)
        host = next(h for h in world.hosts if h.out().get(sid(1)))
        _, _, fields, _, blob = next(m for m in host.heard if m[:2] == ("START", sid(1)))
        assert blob == BLOB and fields["class"] == "clip" and fields["key"] == "7f3a"
        assert 0 < int(fields["left"]) <= 3000 and 0 <= int(fields["rung"]) <= 2
        host.say("FINISH", sid(1), None, 16)
        method, _, told, _ = v.next()
        assert (method, told["session"], told["reason"]) == ("TEARDOWN", sid(1), "cause=16")
        other = world.viewers()
        other.send("TEARDOWN", 2, "2")  # what plays is tied to no connection
        assert other.answer()[0] == "200"
        world.until(lambda: any(m[:2] == ("FINISH", sid(2)) for h in world.hosts for m in h.heard))
        other.send("TEARDOWN", 2, "2")
        assert other.answer()[0] == "454"
        v.set_up(3, "home:0;copies:6;top:2;at:s-1")
        world.log.pop()  # one that plays already wants no answer
        world.until(lambda: world.hosts[1].streams)
        loop.sleep(0.1)
        world.hosts[1].say("FINISH", sid(3), None, 16)
        assert v.next()[0] == "TEARDOWN"


@on_loop
def test_bad_input_gets_a_refusal_or_a_close_and_harms_nobody(loop: Loop) -> None:
    with running(loop) as (world, v):
        v.set_up(1)
        assert v.answer()[0] == "200"
        good = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", "home:0;copies:6;top:2")]
        wrong = [
            ("X-Tier", "gold"),
            ("X-Deadline", "-5"),
            ("X-Deadline", "1e9"),
            ("X-Deadline", "999999999"),
            ("X-Attrs", "home:x;copies:6;top:2"),
            ("X-Attrs", "home:99;copies:6;top:2"),
            ("X-Attrs", "home:0;copies:0;top:2"),
            ("X-Attrs", "home:0;copies:6;top:77"),
            ("X-Attrs", ""),
            ("X-Attrs", "home:0;copies:6;top:2;at:s-nowhere"),
        ]
        for i, (name, value) in enumerate(wrong):
            bad = world.viewers()
            fields = [(n, value if n == name else held) for n, held in good]
            bad.send("SETUP", 100 + i, fields=fields, body=BLOB)
            assert bad.next()[1] in ("400", "451", "454"), (name, value)
        bad = world.viewers()
        bad.send("SETUP", 1, fields=good, body="another description")  # the id of one that plays
        assert bad.next()[1] == "400"
        for raw in (
            b"\x00\x01noise\r\n\r\n",
            b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: -1\r\n\r\n",
            b"SETUP rtsp://media/a RTSP/1.0\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 200000,
            b"X" * 40000,
            b"SETUP rtsp://media/a RTSP/1.0\r\nCSe",
            b"",
        ):
            bad = world.viewers()
            try:
                bad.stream.send(raw)
                bad.next(3.0)
            except (OSError, EOFError):
                continue
        silent = [world.viewers() for _ in range(180)]  # more than there is room for
        v.set_up(2)
        assert v.answer()[0] == "200"
        reached = [e[1] for e in world.log if e[0] == "start"]
        assert reached == [sid(1), sid(2)], "none of it reached a media host"
        with loop.deadline(3.0):
            for mute in silent:
                try:
                    assert mute.stream.receive() == b""
                except OSError:
                    continue
        host = next(h for h in world.hosts if h.out().get(sid(1)))
        host.say("FINISH", sid(1), None, 16)
        assert v.next()[2]["session"] == sid(1)


@on_loop
def test_spoilt_second_and_late_answers_of_media_hosts(loop: Loop) -> None:
    with running(loop) as (world, v):
        spoilt = [
            b"noise\n",
            b'{"verb":"STARTED","tag":"%s","blob":"' % sid(1).encode() + b"x" * 40000,
            hostline.written("FINISH", sid(1), {}, 47),
        ]
        for h in world.hosts:
            h.how = lambda tag: spoilt.pop(0) if spoilt else hostline.written("STARTED", tag, {}, None, BLOB)
        v.set_up(1)
        status, who, body = v.answer()
        assert who == sid(1) and (status, body) in (("200", BLOB), ("453", "")) and not judge(world.log)
        stranger = hostline.written("STARTED", sid(99), {}, None, BLOB)
        for h in world.hosts:
            h.how = lambda tag: stranger + 2 * hostline.written("STARTED", tag, {}, None, BLOB)
        v.set_up(2)
        assert v.answer() == ("200", sid(2), BLOB)
        world.until(lambda: any(m[:2] == ("FINISH", sid(99)) for h in world.hosts for m in h.heard))
        for h in world.hosts:
            h.how = lambda tag: None  # not in time
        v.set_up(3)
        assert v.answer()[:2] == ("453", sid(3)) and not judge(world.log)
        host = next(h for h in world.hosts if sid(3) in h.out() and h.streams)
        seen = len(host.heard)
        host.say("STARTED", sid(3))
        world.until(lambda: any(m[:2] == ("FINISH", sid(3)) for m in host.heard[seen:]))
        assert not judge(world.log)
        loop.sleep(0.2)
        assert not v.got


@on_loop
def test_a_reset_loses_nothing_and_a_death_is_told(loop: Loop) -> None:
    with running(loop, hosts=1) as (world, v):
        v.set_up(1)
        assert v.answer()[0] == "200"
        host = world.hosts[0]
        before = host.accepted
        host.reset()
        world.until(lambda: host.accepted > before)  # opened anew, since releases come there
        v.set_up(2)
        assert v.answer()[0] in ("200", "453")  # a host that reset may be cold: few set-ups go there
        host.dies()
        lost = {v.next()[2]["session"]}
        assert sid(1) in lost | {m[2]["session"] for m in v.got} or v.next()[2]["session"] == sid(1)


@on_loop
def test_the_journal_is_followed_over_breaks_doubles_and_a_new_address(loop: Loop) -> None:
    with running(loop) as (world, v):
        first = world.until(lambda: world.feeds)[0]
        assert world.calls == ["1"]
        first.send(world.told(2, (world.hosts[0], "draining")) * 2)
        first.send(world.told(3, (world.hosts[0], "gone"))[:40])  # breaks off in the middle
        loop.sleep(0.1)
        first.close()
        second = world.until(lambda: world.feeds[1:])[0]
        assert world.calls == ["1", "2"]
        second.send(world.told(2, (world.hosts[0], "ready")))  # told before: it does not come back
        loop.sleep(0.1)
        for n in range(1, 4):
            v.set_up(n)
            assert v.answer()[0] == "200"
        assert not world.hosts[0].out() and not judge(world.log)
        was = json.loads(world.path.read_text())
        world.path.write_text("{")
        world.process.send_signal(signal.SIGHUP)
        world.until(lambda: "reload-failed" in world.errors.read_text())
        # Once the addresses of a file were taken whose settings no gateway would start with.
        rules = {**SETTINGS["rules"], "warmUp": "soon"}
        wrong = {**was, "journal": "127.0.0.1:9", "settings": {**SETTINGS, "rules": rules}}
        world.path.write_text(json.dumps(wrong))
        world.process.send_signal(signal.SIGHUP)
        world.until(lambda: "rules.warmUp" in world.errors.read_text())
        assert "journal=127.0.0.1:9" not in world.errors.read_text()
        world.journal = world.serve_journal()
        world.write()
        world.process.send_signal(signal.SIGHUP)
        third = world.until(lambda: world.feeds[2:])[0]
        assert world.calls == ["1", "2", "2"]
        third.send(world.told(3, (world.hosts[1], "gone")))
        released = {v.next()[2]["session"] for _ in range(3)}
        assert released == {sid(1), sid(2), sid(3)}
        v.set_up(4)
        assert v.answer(2.0)[0] == "453", "no media host is left, and it is said at once"


@on_loop
def test_sigterm_answers_what_was_taken_and_ends(loop: Loop) -> None:
    with running(loop) as (world, v):
        for h in world.hosts:
            h.how = lambda tag: None
        v.set_up(1)
        world.until(lambda: any(h.heard for h in world.hosts))
        world.process.send_signal(signal.SIGTERM)
        world.until(lambda: "ends" in world.errors.read_text())
        late = world.viewers()
        late.send("OPTIONS", 0, "3", "ping")
        assert late.next()[1] == "503"
        late.set_up(2)
        assert late.answer(1.0)[0] == "503"
        assert v.answer()[0] == "453" and not judge(world.log)
        world.until(lambda: world.process.poll() is not None, 4.0)
        assert world.process.returncode == 0


@on_loop
def test_words_of_strangers_are_dropped_and_a_fault_free_gateway_goes_on(loop: Loop) -> None:
    with running(loop) as (world, v):
        stranger = Datagrams(loop, endpoint("127.0.0.1:0"))
        for words in (b"", b"\x00" * 300, b"odd", b"\x00\x01\x00\x01"):
            assert stranger.send(words, endpoint(world.peer_listen))
        v.set_up(1)
        assert v.answer()[0] == "200"
        v.send("TEARDOWN", 1, "2")
        assert v.answer()[0] == "200"
        world.process.send_signal(signal.SIGTERM)
        world.until(lambda: world.process.poll() is not None)
        assert "strangers=4 " in world.errors.read_text()


@on_loop
def test_what_a_viewer_gives_up_is_given_up_at_the_media_host(loop: Loop) -> None:
    with running(loop) as (world, v):
        for h in world.hosts:
            h.how = lambda tag: None
        v.set_up(1)
        world.until(lambda: any(h.out() for h in world.hosts))
        v.send("TEARDOWN", 1, "2")
        assert v.answer()[0] == "200"
        world.until(lambda: any(m[:2] == ("FINISH", sid(1)) for h in world.hosts for m in h.heard))
        gone = world.viewers()
        gone.set_up(2)
        world.until(lambda: any(sid(2) in h.out() for h in world.hosts))
        gone.stream.close()
        world.until(lambda: any(m[:2] == ("FINISH", sid(2)) for h in world.hosts for m in h.heard))
        with pytest.raises(TimedOut):
            v.next(0.3)


def nothing(tag: str) -> None:
    return None


def turned_away(tag: str) -> bytes:
    return hostline.written("FINISH", tag, {"load": "x0:1.2;active:30"}, 34)


@on_loop
def test_where_nothing_fits_viewers_are_told_at_once_and_when_to_come_back(loop: Loop) -> None:
    """Full media hosts, then ones that answer nothing: there once held for 2.97 of 3 s, and nothing sent."""
    for silent, within in ((False, 0.8), (True, 2.6)):
        with running(loop, retryAfter=True, maxRetryAfter=400) as (world, v):
            for h in world.hosts:
                h.echoes, h.how = not silent, nothing if silent else turned_away
            began = time.monotonic()
            v.set_up(1)
            _, status, fields, _ = v.next()
            took = time.monotonic() - began
            assert (status, fields["session"], fields["retry-after"]) == ("453", sid(1), "0.400")
            assert took < within and not judge(world.log)
            assert any(what == "start" for what, *_ in world.log), "somebody was tried"


def test_a_configuration_that_is_missing_or_wrong_ends_with_one_line() -> None:
    with tempfile.TemporaryDirectory() as folder:
        wrong = Path(folder) / "config.json"
        wrong.write_text('{"listen": 5}')
        for path in (str(wrong), "", folder + "/none"):
            done = subprocess.run(
                [sys.executable, "-m", "ledgehitch.platform"],
                env={**os.environ, "ROUTER_CONFIG": path},
                capture_output=True,
                timeout=20,
                cwd=Path(__file__).parents[1],
            )
            assert done.returncode == 2 and done.stderr.count(b"\n") == 1, done.stderr
