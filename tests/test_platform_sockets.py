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


def session_id(n: int) -> str:
    return f"{n:016x}"


def broken_rule(log: Log) -> str:
    """What rule was broken, or nothing."""
    out: dict[str, str] = {}
    answers: dict[str, int] = {}
    for what, session, *more in log:
        if what == "start":
            if session in out:
                return f"rule 2: {session} is out at {out[session]} and at {more[0]}"
            if session not in answers:
                return f"{session} was never asked for"
            out[session] = more[0]
        elif what == "end":
            out.pop(session, None)
        elif what == "asked":
            answers[session] = 0
        elif what == "answer":
            answers[session] += 1
            if answers[session] > 1:
                return f"rule 1: {session} was answered twice"
    missing = [session for session, n in answers.items() if n != 1]
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
    assert broken in broken_rule(log) and bool(broken_rule(log)) == bool(broken)


class FakeMediaHost:
    """A media host: answers each set-up as `how` says (a list of lines, or raw bytes; None: not at all)."""

    def __init__(self, harness: "Harness", name: str) -> None:
        self.harness, self.name = harness, name
        self.answer: Callable[[str], bytes | None] = lambda tag: hostline.encode(
            "STARTED", tag, {}, None, BLOB
        )
        self.received: list[hostline.codec.Message] = []
        self.streams: list[Stream] = []
        self.accepted = 0
        self.echoes = True
        self.listener = Listener(harness.loop, endpoint("127.0.0.1:0"))
        self.at = str(self.listener.at)
        harness.loop.spawn(self._serve, name=name)

    def _serve(self) -> None:
        while True:
            try:
                stream = self.listener.accept()
            except OSError:
                return
            self.accepted += 1
            self.streams.append(stream)
            self.harness.loop.spawn(self._talk, stream)

    def _talk(self, stream: Stream) -> None:
        reader = hostline.Reader()
        try:
            while data := stream.receive():
                for message in reader.feed(data):
                    verb, tag = message[:2]
                    self.received.append(message)
                    if verb == "START":
                        self.harness.log.append(("start", tag, self.name))
                        answer = self.answer(tag)
                        if answer is not None:
                            if answer.startswith(b'{"verb":"FINISH"'):
                                self.harness.log.append(("end", tag, self.name))
                            stream.send(answer)
                    elif verb == "FINISH":
                        self.harness.log.append(("end", tag, self.name))
                    elif verb == "ECHO" and self.echoes:
                        stream.send(hostline.encode("ECHOED", tag, {"load": "x0:0.1;active:1"}, 1))
        except OSError:
            pass
        for tag, out in list(self.out().items()):
            if out:
                self.harness.log.append(("end", tag, self.name))
        stream.close()

    def out(self) -> dict[str, bool]:
        """Set-ups that have reached this host, and whether the log has no end of them here."""
        state: dict[str, bool] = {}
        for what, session, *more in self.harness.log:
            if what in ("start", "end") and more[0] == self.name:
                state[session] = what == "start"
        return state

    def say(self, verb: str, tag: str, fields: Any = None, cause: int | None = None) -> None:
        self.streams[-1].send(hostline.encode(verb, tag, fields or {}, cause))

    def reset(self) -> None:
        for stream in self.streams:
            stream.reset()
        self.streams = []

    def kill(self) -> None:
        self.listener.close()
        self.reset()


class ViewerClient:
    """One viewers' connection."""

    def __init__(self, harness: "Harness") -> None:
        self.harness = harness
        with harness.loop.deadline(2):
            self.stream = connect(harness.loop, endpoint(harness.listen))
        self.reader = rtsp.Reader()
        self.got: list[rtsp.codec.Message] = []

    def send(
        self, method: str, n: int, cseq: str = "1", title: str = "7f3a", fields: Any = (), body: str = ""
    ) -> None:
        at = f"rtsp://media/{title}"
        self.stream.send(rtsp.request(method, at, cseq, session_id(n), list(fields), body.encode()))

    def set_up(self, n: int, attrs: str = "home:0;copies:6;top:2", **more: Any) -> None:
        fields = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", attrs)]
        self.harness.log.append(("asked", session_id(n)))
        self.send("SETUP", n, fields=fields, body=BLOB, **more)

    def next(self, within: float = 5.0) -> rtsp.codec.Message:
        with self.harness.loop.deadline(within):
            while not self.got:
                data = self.stream.receive()
                if not data:
                    raise EOFError(f"closed; the gateway says: {self.harness.errors.read_text()[-2000:]}")
                for message in self.reader.feed(data):
                    method, target, fields, _ = message
                    if method == "" and fields.get("cseq") == "1":
                        self.harness.log.append(("answer", fields["session"], target))
                    self.got.append(message)
        return self.got.pop(0)

    def answer(self, within: float = 5.0) -> tuple[str, str, str]:
        """Status, id and description of the next message, which is an answer."""
        method, status, fields, body = self.next(within)
        assert method == "", method
        return status, fields.get("session", ""), body.decode()


class Harness:
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
        self.hosts = [FakeMediaHost(self, f"s-{i}") for i in range(hosts)]
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

    def members(self, *changes: tuple[FakeMediaHost, str]) -> list[dict[str, Any]]:
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

    def host_event(self, pos: int, *changes: tuple[FakeMediaHost, str]) -> bytes:
        hosts = {"revision": pos, "complete": False, "members": self.members(*changes)}
        return event(json.dumps({"pos": pos, "hosts": hosts}), number=str(pos))

    def viewers(self) -> ViewerClient:
        return ViewerClient(self)

    def ready(self) -> ViewerClient:
        for _ in range(200):
            try:
                viewer = self.viewers()
                viewer.send("OPTIONS", 0, "3", "ping")
                assert viewer.next()[1] == "200"
                return viewer
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
def running_gateway(
    loop: Loop, hosts: int = 2, sockets: int = 256, sold: Any = None, rules: Any = None, **ceilings: Any
) -> Iterator[tuple[Harness, ViewerClient]]:
    with tempfile.TemporaryDirectory() as folder:
        harness = Harness(loop, hosts, Path(folder), ceilings, sockets, sold, rules)
        try:
            yield harness, harness.ready()
            assert harness.process.poll() is None or harness.process.returncode == 0
            assert "failed:" not in harness.errors.read_text()
        finally:
            if harness.process.poll() is None:
                harness.process.kill()
            harness.process.wait()


def on_loop(test: Callable[[Loop], None]) -> Callable[[], None]:
    def run() -> None:
        loop = Loop()
        loop.run(lambda: test(loop))
        assert not loop.failed

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


@on_loop
def test_a_viewing_from_set_up_to_release(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        viewer.set_up(1)
        viewer.set_up(2)  # on the same connection
        got = sorted([viewer.answer(), viewer.answer()])
        assert got == [("200", session_id(1), BLOB), ("200", session_id(2), BLOB)] and not broken_rule(
            harness.log
        )
        host = next(h for h in harness.hosts if h.out().get(session_id(1)))
        _, _, fields, _, blob = next(m for m in host.received if m[:2] == ("START", session_id(1)))
        assert blob == BLOB and fields["class"] == "clip" and fields["key"] == "7f3a"
        assert 0 < int(fields["left"]) <= 3000 and 0 <= int(fields["rung"]) <= 2
        host.say("FINISH", session_id(1), None, 16)
        method, _, told, _ = viewer.next()
        assert (method, told["session"], told["reason"]) == ("TEARDOWN", session_id(1), "cause=16")
        other = harness.viewers()
        other.send("TEARDOWN", 2, "2")  # what plays is tied to no connection
        assert other.answer()[0] == "200"
        harness.until(
            lambda: any(m[:2] == ("FINISH", session_id(2)) for h in harness.hosts for m in h.received)
        )
        other.send("TEARDOWN", 2, "2")
        assert other.answer()[0] == "454"
        viewer.set_up(3, "home:0;copies:6;top:2;at:s-1")
        harness.log.pop()  # one that plays already wants no answer
        harness.until(lambda: harness.hosts[1].streams)
        loop.sleep(0.1)
        harness.hosts[1].say("FINISH", session_id(3), None, 16)
        assert viewer.next()[0] == "TEARDOWN"


@on_loop
def test_bad_input_gets_a_refusal_or_a_close_and_harms_nobody(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        viewer.set_up(1)
        assert viewer.answer()[0] == "200"
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
            bad = harness.viewers()
            fields = [(n, value if n == name else held) for n, held in good]
            bad.send("SETUP", 100 + i, fields=fields, body=BLOB)
            assert bad.next()[1] in ("400", "451", "454"), (name, value)
        bad = harness.viewers()
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
            bad = harness.viewers()
            try:
                bad.stream.send(raw)
                bad.next(3.0)
            except (OSError, EOFError):
                continue
        silent = [harness.viewers() for _ in range(180)]  # more than there is room for
        viewer.set_up(2)
        assert viewer.answer()[0] == "200"
        reached = [e[1] for e in harness.log if e[0] == "start"]
        assert reached == [session_id(1), session_id(2)], "none of it reached a media host"
        with loop.deadline(3.0):
            for mute in silent:
                try:
                    assert mute.stream.receive() == b""
                except OSError:
                    continue
        host = next(h for h in harness.hosts if h.out().get(session_id(1)))
        host.say("FINISH", session_id(1), None, 16)
        assert viewer.next()[2]["session"] == session_id(1)


@on_loop
def test_spoilt_second_and_late_answers_of_media_hosts(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        spoilt = [
            b"noise\n",
            b'{"verb":"STARTED","tag":"%s","blob":"' % session_id(1).encode() + b"x" * 40000,
            hostline.encode("FINISH", session_id(1), {}, 47),
        ]
        for h in harness.hosts:
            h.answer = lambda tag: (
                spoilt.pop(0) if spoilt else hostline.encode("STARTED", tag, {}, None, BLOB)
            )
        viewer.set_up(1)
        status, who, body = viewer.answer()
        assert (
            who == session_id(1)
            and (status, body) in (("200", BLOB), ("453", ""))
            and not broken_rule(harness.log)
        )
        stranger = hostline.encode("STARTED", session_id(99), {}, None, BLOB)
        for h in harness.hosts:
            h.answer = lambda tag: stranger + 2 * hostline.encode("STARTED", tag, {}, None, BLOB)
        viewer.set_up(2)
        assert viewer.answer() == ("200", session_id(2), BLOB)
        harness.until(
            lambda: any(m[:2] == ("FINISH", session_id(99)) for h in harness.hosts for m in h.received)
        )
        for h in harness.hosts:
            h.answer = lambda tag: None  # not in time
        viewer.set_up(3)
        assert viewer.answer()[:2] == ("453", session_id(3)) and not broken_rule(harness.log)
        host = next(h for h in harness.hosts if session_id(3) in h.out() and h.streams)
        seen = len(host.received)
        host.say("STARTED", session_id(3))
        harness.until(lambda: any(m[:2] == ("FINISH", session_id(3)) for m in host.received[seen:]))
        assert not broken_rule(harness.log)
        loop.sleep(0.2)
        assert not viewer.got


@on_loop
def test_a_reset_loses_nothing_and_a_death_is_told(loop: Loop) -> None:
    with running_gateway(loop, hosts=1) as (harness, viewer):
        viewer.set_up(1)
        assert viewer.answer()[0] == "200"
        host = harness.hosts[0]
        before = host.accepted
        host.reset()
        harness.until(lambda: host.accepted > before)  # opened anew, since releases come there
        viewer.set_up(2)
        assert viewer.answer()[0] in ("200", "453")  # a host that reset may be cold: few set-ups go there
        host.kill()
        lost = {viewer.next()[2]["session"]}
        assert session_id(1) in lost | {m[2]["session"] for m in viewer.got} or viewer.next()[2][
            "session"
        ] == session_id(1)


@on_loop
def test_the_journal_is_followed_over_breaks_doubles_and_a_new_address(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        first = harness.until(lambda: harness.feeds)[0]
        assert harness.calls == ["1"]
        first.send(harness.host_event(2, (harness.hosts[0], "draining")) * 2)
        first.send(harness.host_event(3, (harness.hosts[0], "gone"))[:40])  # breaks off in the middle
        loop.sleep(0.1)
        first.close()
        second = harness.until(lambda: harness.feeds[1:])[0]
        assert harness.calls == ["1", "2"]
        second.send(harness.host_event(2, (harness.hosts[0], "ready")))  # told before: it does not come back
        loop.sleep(0.1)
        for n in range(1, 4):
            viewer.set_up(n)
            assert viewer.answer()[0] == "200"
        assert not harness.hosts[0].out() and not broken_rule(harness.log)
        was = json.loads(harness.path.read_text())
        harness.path.write_text("{")
        harness.process.send_signal(signal.SIGHUP)
        harness.until(lambda: "reload-failed" in harness.errors.read_text())
        # Once the addresses of a file were taken whose settings no gateway would start with.
        rules = {**SETTINGS["rules"], "warmUp": "soon"}
        wrong = {**was, "journal": "127.0.0.1:9", "settings": {**SETTINGS, "rules": rules}}
        harness.path.write_text(json.dumps(wrong))
        harness.process.send_signal(signal.SIGHUP)
        harness.until(lambda: "rules.warmUp" in harness.errors.read_text())
        assert "journal=127.0.0.1:9" not in harness.errors.read_text()
        harness.journal = harness.serve_journal()
        harness.write()
        harness.process.send_signal(signal.SIGHUP)
        third = harness.until(lambda: harness.feeds[2:])[0]
        assert harness.calls == ["1", "2", "2"]
        third.send(harness.host_event(3, (harness.hosts[1], "gone")))
        released = {viewer.next()[2]["session"] for _ in range(3)}
        assert released == {session_id(1), session_id(2), session_id(3)}
        viewer.set_up(4)
        assert viewer.answer(2.0)[0] == "453", "no media host is left, and it is said at once"


@on_loop
def test_sigterm_answers_what_was_taken_and_ends(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        for h in harness.hosts:
            h.answer = lambda tag: None
        viewer.set_up(1)
        harness.until(lambda: any(h.received for h in harness.hosts))
        harness.process.send_signal(signal.SIGTERM)
        harness.until(lambda: "ends" in harness.errors.read_text())
        late = harness.viewers()
        late.send("OPTIONS", 0, "3", "ping")
        assert late.next()[1] == "503"
        late.set_up(2)
        assert late.answer(1.0)[0] == "503"
        assert viewer.answer()[0] == "453" and not broken_rule(harness.log)
        harness.until(lambda: harness.process.poll() is not None, 4.0)
        assert harness.process.returncode == 0


@on_loop
def test_words_of_strangers_are_dropped_and_a_fault_free_gateway_goes_on(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        stranger = Datagrams(loop, endpoint("127.0.0.1:0"))
        for words in (b"", b"\x00" * 300, b"odd", b"\x00\x01\x00\x01"):
            assert stranger.send(words, endpoint(harness.peer_listen))
        viewer.set_up(1)
        assert viewer.answer()[0] == "200"
        viewer.send("TEARDOWN", 1, "2")
        assert viewer.answer()[0] == "200"
        harness.process.send_signal(signal.SIGTERM)
        harness.until(lambda: harness.process.poll() is not None)
        assert "strangers=4 " in harness.errors.read_text()


@on_loop
def test_what_a_viewer_gives_up_is_given_up_at_the_media_host(loop: Loop) -> None:
    with running_gateway(loop) as (harness, viewer):
        for h in harness.hosts:
            h.answer = lambda tag: None
        viewer.set_up(1)
        harness.until(lambda: any(h.out() for h in harness.hosts))
        viewer.send("TEARDOWN", 1, "2")
        assert viewer.answer()[0] == "200"
        harness.until(
            lambda: any(m[:2] == ("FINISH", session_id(1)) for h in harness.hosts for m in h.received)
        )
        gone = harness.viewers()
        gone.set_up(2)
        harness.until(lambda: any(session_id(2) in h.out() for h in harness.hosts))
        gone.stream.close()
        harness.until(
            lambda: any(m[:2] == ("FINISH", session_id(2)) for h in harness.hosts for m in h.received)
        )
        with pytest.raises(TimedOut):
            viewer.next(0.3)


def no_answer(tag: str) -> None:
    return None


def turned_away(tag: str) -> bytes:
    return hostline.encode("FINISH", tag, {"load": "x0:1.2;active:30"}, 34)


@on_loop
def test_where_nothing_fits_viewers_are_told_at_once_and_when_to_come_back(loop: Loop) -> None:
    """Full media hosts, then ones that answer nothing: there once held for 2.97 of 3 s, and nothing sent."""
    for silent, within in ((False, 0.8), (True, 2.6)):
        with running_gateway(loop, retryAfter=True, maxRetryAfter=400) as (harness, viewer):
            for h in harness.hosts:
                h.echoes, h.answer = not silent, no_answer if silent else turned_away
            began = time.monotonic()
            viewer.set_up(1)
            _, status, fields, _ = viewer.next()
            took = time.monotonic() - began
            assert (status, fields["session"], fields["retry-after"]) == ("453", session_id(1), "0.400")
            assert took < within and not broken_rule(harness.log)
            assert any(what == "start" for what, *_ in harness.log), "somebody was tried"


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
