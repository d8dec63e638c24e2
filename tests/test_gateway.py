"""Failure cases of a running gateway, each over real sockets on loopback."""

import contextlib
import json
import os
import resource
import time

import pytest

from ledgehitch.gateway.replay import replay_record
from ledgehitch.http import Limits, NoAnswer, Request, Response
from ledgehitch.http.parse import ResponseReader
from ledgehitch.loop import connect, endpoint
from ledgehitch.send_guard import SendForbidden
from ledgehitch.standins.viewers import offer_of
from tests.rig import Handler, Host, Rig, answer, notice, request

FRAGMENT = "application/trickle-ice-sdpfrag"


def problem_kind(response: Response) -> str:
    return str(json.loads(response.body).get("answer", ""))


def fail_first_set_up(first: str) -> dict[str, Handler]:
    """Returns handlers with which the first set-up fails in the way of `first` and all later ones succeed."""

    def act(host: Host, request: Request) -> Response:
        if len(host.rig.set_ups) > 1:
            return host.plays(request)
        if first == "dies":
            host.die()
            raise NoAnswer
        if first == "silent":
            return host.silent(request)
        if first == "resets":
            request.reset()
            raise NoAnswer
        response = host.plays(request)
        if first == "half":
            response.headers.append(("Content-Length", str(len(response.body))))
            response.body = response.body[:40]
            response.stream = lambda send: None
        elif first == "wrong":
            response.body = b"v=0\r\nno description\r\n"
        elif first == "other kinds":
            response.body = response.body.replace(b"m=audio", b"m=text")
        elif first == "no place":
            response.headers = [h for h in response.headers if h[0] != "Location"]
        elif first == "error":
            response = Response(500)
        elif first == "full":
            response = Response(503)
        elif first == "garbage":
            response.headers.append(("Content-Length", "0"))
            response.stream = lambda send: None
            response.status = 201
            response.body = b""
        return response

    return {"*": act}


@pytest.mark.parametrize(
    "first",
    ["dies", "silent", "resets", "half", "wrong", "other kinds", "no place", "error", "full", "garbage"],
)
def test_a_failed_set_up_is_retried_on_another_host_and_answered_once(first: str) -> None:
    rig = Rig(fail_first_set_up(first))

    def day(rig: Rig) -> None:
        response = rig.offer()
        assert response.status == 201
        assert len(rig.set_ups) == 2 and rig.set_ups[0][0] != rig.set_ups[1][0]
        assert rig.most_out == 1 or first == "silent", (
            "never two in progress; the end of a silent one is noticed a turn later"
        )
        assert rig.counts().plays == 1 and rig.counts().stopped_at_gate == 0
        assert not rig.reports

    rig.run(day)


def test_a_set_up_that_may_have_run_is_deleted() -> None:
    def day(rig: Rig) -> None:
        rig.offer()
        host, key = rig.set_ups[0]
        rig.until(lambda: f"/tune-ins/{key}" in rig.hosts[host].deleted)

    Rig(fail_first_set_up("silent")).run(day)


def test_an_answer_after_the_time_out_is_ignored() -> None:
    def late(host: Host, request: Request) -> Response:
        if len(host.rig.set_ups) == 1:
            host.rig.loop.sleep(1.0)
        return host.plays(request)

    def day(rig: Rig) -> None:
        assert rig.offer().status == 201
        rig.loop.sleep(1.2)
        assert rig.counts().plays == 1
        assert rig.counts().outcomes == {"TIMEOUT": 1, "OK": 1}

    Rig({"*": late}).run(day)


def test_a_second_answer_of_a_host_never_goes_to_another_viewing() -> None:
    def twice(host: Host, request: Request) -> Response:
        response = host.plays(request)
        response.headers.append(("Content-Length", str(len(response.body))))
        second = host.plays(request).encode(keep_alive=True)
        body = response.body

        def stream(send) -> None:  # type: ignore[no-untyped-def]
            send(second)

        response.body = body
        response.stream = stream
        return response

    def day(rig: Rig) -> None:
        places = [rig.offer(n, token=f"t{n}").header("location") for n in range(6)]
        assert len(set(places)) == 6 and None not in places
        assert len(rig.set_ups) == rig.counts().plays == 6

    Rig({"*": twice}).run(day)


def test_a_repeated_offer_is_one_viewing_with_one_answer_for_each_connection() -> None:
    def slow(host: Host, request: Request) -> Response:
        host.rig.loop.sleep(0.15)
        return host.plays(request)

    def day(rig: Rig) -> None:
        first = rig.ask()
        rig.until(lambda: rig.set_ups)
        second = rig.ask()
        a, b = answer(first), answer(second)
        assert a.status == b.status == 201 and a.header("location") == b.header("location")
        again = rig.offer()
        assert again.header("location") == a.header("location"), "a repeat soon after gets the same answer"
        other = rig.offer(2)
        assert other.header("location") != a.header("location"), (
            "another offer of the viewer is another viewing"
        )
        assert len(rig.set_ups) == 2 and rig.counts().joined == 2

    Rig({"*": slow}).run(day)


def test_a_repeated_offer_is_answered_after_the_first_connection_closes() -> None:
    def slow(host: Host, request: Request) -> Response:
        host.rig.loop.sleep(0.1)
        return host.plays(request)

    def day(rig: Rig) -> None:
        first = rig.ask()
        rig.until(lambda: rig.set_ups)
        second = rig.ask()
        rig.until(lambda: rig.counts().joined)
        first.close()
        assert answer(second).status == 201
        assert rig.counts().left == 0 and len(rig.set_ups) == 1

    Rig({"*": slow}).run(day)


def test_a_client_that_disconnects_ends_its_viewing() -> None:
    def day(rig: Rig) -> None:
        rig.ask().close()
        rig.until(lambda: rig.counts().left == 1)
        rig.until(lambda: not rig.gateway.executor.viewings and rig.out == 0)
        assert not rig.gateway.executor.module.gateway.viewings and not rig.gateway.executor.registry.entries

    Rig({"*": Host.silent}).run(day)


def test_a_viewing_whose_answer_was_not_delivered_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("ledgehitch.signalling.decide.ORPHAN_GRACE_S", 0.2)

    def day(rig: Rig) -> None:
        # The gateway does not notice the disconnect before it writes the answer.
        rig.gateway.executor.on_hang_up = lambda conn: None  # type: ignore[method-assign]
        rig.ask().close()
        rig.until(lambda: rig.counts().plays)
        rig.until(lambda: not rig.gateway.executor.viewings)
        rig.until(lambda: any(h.deleted for h in rig.hosts.values()))

    def slow(host: Host, request: Request) -> Response:
        host.rig.loop.sleep(0.1)
        return host.plays(request)

    Rig({"*": slow}).run(day)


def test_a_slow_request_times_out_and_does_not_delay_others() -> None:
    def day(rig: Rig) -> None:
        slow = connect(rig.loop, endpoint(rig.at))
        slow.send(b"P")

        def drip() -> None:
            for byte in (b"O", b"S"):
                rig.loop.sleep(0.1)
                slow.send(byte)

        sent = rig.loop.spawn(drip, name="drip")
        assert rig.offer().status == 201
        sent.wait()
        response = answer(slow)
        assert response.status == 408 and rig.gateway.server.timeouts == 1
        slow.close()

    Rig(limits=Limits(request_timeout_s=0.4)).run(day)


def test_pipelined_requests_are_answered_in_order() -> None:
    def day(rig: Rig) -> None:
        stream = connect(rig.loop, endpoint(rig.at))
        stream.send(request(rig.at, 1, token="a") + request(rig.at, 2, token="b"))
        data, places = b"", list[str | None]()
        while len(places) < 2:
            data += stream.receive()
            reader = ResponseReader()
            head, _, rest = data.partition(b"\r\n\r\n")
            if rest:
                length = int(
                    next(x for x in head.split(b"\r\n") if x.startswith(b"Content-Length")).split()[1]
                )
                if len(rest) >= length:
                    response = reader.feed(head + b"\r\n\r\n" + rest[:length])
                    assert response is not None and response.status == 201
                    places.append(response.header("location"))
                    data = rest[length:]
        assert len(set(places)) == 2
        stream.close()

    Rig().run(day)


def test_a_delete_during_the_set_up_leaves_no_state() -> None:
    def slow(host: Host, request: Request) -> Response:
        host.rig.loop.sleep(0.15)
        return host.plays(request)

    def day(rig: Rig) -> None:
        stream = rig.ask()
        rig.until(lambda: rig.set_ups)
        resource = next(iter(rig.gateway.executor.registry.entries.values())).resource
        early = rig.client.request(rig.at, "DELETE", f"/viewings/{resource}")
        assert early.status == 404, "there is nothing to end before the answer"
        place = answer(stream).header("location")
        assert rig.client.request(rig.at, "DELETE", str(place)).status == 200
        assert rig.client.request(rig.at, "DELETE", str(place)).status == 404
        rig.until(lambda: any(h.deleted for h in rig.hosts.values()))
        assert not rig.gateway.executor.viewings and not rig.gateway.executor.module.gateway.viewings

    Rig({"*": slow}).run(day)


def test_a_draining_host_gets_no_new_set_ups_but_finishes_the_pending_one() -> None:
    def slow(host: Host, request: Request) -> Response:
        host.rig.loop.sleep(0.2)
        return host.plays(request)

    def day(rig: Rig) -> None:
        stream = rig.ask()
        rig.until(lambda: rig.set_ups)
        host = rig.set_ups[0][0]
        rig.listed(host, "terminating")
        assert answer(stream).status == 201, "a set-up in progress when the drain was listed may complete"
        rig.until(lambda: rig.gateway.executor.send_guard.hosts[host] is not None)
        for n in range(2, 12):
            assert rig.offer(n, token=f"t{n}").status == 201
        assert [h for h, _ in rig.set_ups].count(host) == 1

    Rig({"*": slow}).run(day)


def test_the_send_guard_refuses_tune_ins_that_break_a_rule() -> None:
    def day(rig: Rig) -> None:
        gate, now = rig.gateway.executor.send_guard, time.monotonic()
        with pytest.raises(SendForbidden, match="never requested"):
            gate.check_send(now, 99, "h0", 0.1)
        rig.listed("h0", "terminating")
        rig.until(lambda: gate.hosts["h0"] is not None)
        gate.hosts["h0"] = now - 10
        package = next(iter(rig.gateway.frontend.packages.values()))
        gate.on_viewing_request(5, package, now + 3)
        with pytest.raises(SendForbidden, match="rule 3"):
            gate.check_send(now, 5, "h0", 0.1)
        with pytest.raises(SendForbidden, match="rule 1"):
            gate.check_send(now, 5, "h1", 9.0)
        gate.check_send(now, 5, "h1", 0.1)
        with pytest.raises(SendForbidden, match="rule 2"):
            gate.check_send(now, 5, "h1", 0.1)
        assert gate.refused == 4

    Rig().run(day)


def test_without_capacity_the_answer_is_blocked_with_a_retry_time() -> None:
    def day(rig: Rig) -> None:
        response = rig.offer()
        assert response.status == 503 and problem_kind(response) == "blocked"
        assert int(response.header("retry-after") or 0) >= 1
        assert len(rig.set_ups) == 3, "as many tune-ins as the terms allow"

    Rig({"*": lambda host, request: Response(503)}).run(day)


def test_a_package_with_effect_once_is_aborted_if_its_set_up_may_have_run() -> None:
    packages = [{"name": "recorded", "join_target": 0.3, "patience": 0.6, "effect": "once"}]

    def day(rig: Rig) -> None:
        response = rig.offer()
        assert response.status == 504 and problem_kind(response) == "aborted"
        assert len(rig.set_ups) == 1

    Rig({"*": Host.silent}, packages=packages).run(day)


def test_patience_limits_the_wait_and_prefer_can_only_shorten_it() -> None:
    def day(rig: Rig) -> None:
        start = time.monotonic()
        response = rig.offer(wait=0.5)
        short = time.monotonic() - start
        assert response.status in (503, 504) and short < 2.0
        assert rig.offer(2, wait=1e6).status in (503, 504), "never longer than the package's patience"

    Rig({"*": Host.silent}, packages=[{"name": "recorded", "join_target": 0.8, "patience": 1.5}]).run(day)


def test_a_suspended_gateway_counts_patience_from_the_arrival_of_requests() -> None:
    def day(rig: Rig) -> None:
        streams = [rig.ask(n, token=f"t{n}") for n in range(30)]
        # The loop is suspended while requests wait in its sockets, then all are read at once.
        entered = time.monotonic()
        poll = rig.loop.poll
        rig.loop.poll = SuspendedPoll(poll, 0.7)  # type: ignore[assignment]
        statuses = [answer(stream).status for stream in streams]
        assert rig.loop.suspensions >= 1
        asked = [v.asked_at for v in rig.gateway.executor.module.gateway.viewings.values()]
        assert statuses and set(statuses) <= {201, 503, 504}
        assert all(at <= entered + 0.6 for at in asked), "patience starts before the suspension ends"

    Rig().run(day)


class SuspendedPoll:
    """A poll that returns late once, as after SIGSTOP and SIGCONT."""

    def __init__(self, poll, seconds: float) -> None:  # type: ignore[no-untyped-def]
        self.real, self.seconds = poll, seconds

    def __getattr__(self, name: str):  # type: ignore[no-untyped-def]
        return getattr(self.real, name)

    def poll(self, timeout: float):  # type: ignore[no-untyped-def]
        if self.seconds:
            time.sleep(self.seconds)
            self.seconds = 0.0
        return self.real.poll(timeout)


def test_the_gateway_recovers_after_running_out_of_file_descriptors() -> None:
    def day(rig: Rig) -> None:
        assert rig.offer(0).status == 201
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        held = [os.dup(0)]
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 8, hard))
        try:
            with contextlib.suppress(OSError):
                while True:
                    held.append(os.dup(0))
            os.close(held.pop())  # one is left, for the client's end
            late = connect(rig.loop, endpoint(rig.at))
            before = time.process_time()
            rig.until(lambda: rig.gateway.server.listener.refused_for_descriptors > 0)
            rig.loop.sleep(0.4)
            assert time.process_time() - before < 0.35, "it waits instead of spinning"
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for fd in held:
                os.close(fd)
        late.send(request(rig.at, 7, token="late"))
        assert answer(late).status == 201
        late.close()

    Rig().run(day)


def test_http_statuses_of_signalling() -> None:
    def day(rig: Rig) -> None:
        def status(path: str, method: str = "POST", body: bytes | None = None, **headers: str) -> Response:
            stream = connect(rig.loop, endpoint(rig.at))
            try:
                stream.send(request(rig.at, 1, method=method, path=path, body=body, more=headers))
                return answer(stream)
            finally:
                stream.close()

        good = "/whep/recorded/clip-1"
        assert status("/whep/gold/clip-1").status == 404
        assert status("/whep/recorded/nothing").status == 404
        wrong = status(good, "GET")
        assert wrong.status == 405 and wrong.header("allow") == "POST, OPTIONS"
        assert status(good, Accept="text/html").status == 406
        assert status(good, Content_Type="text/plain").status == 415
        assert status(good, Authorization="Basic x").status == 401
        assert status(good, body=b"x" * 70000).status == 413
        assert status(good + "?top=high").status == 400
        assert status(good, Prefer="wait=soon").status == 400
        bad = status(good, body=offer_of(1).replace(b"m=video 9", b"m=video x"))
        assert bad.status == 400 and "line 15" in json.loads(bad.body)["detail"]
        sends = status(good, body=offer_of(1).replace(b"recvonly", b"sendonly"))
        assert sends.status == 400
        whip = status("/whip/recorded/clip-1", body=offer_of(1).replace(b"recvonly", b"sendonly"))
        assert whip.status == 201
        options = status(good, "OPTIONS", body=b"")
        assert options.status == 204 and options.header("accept-post") == "application/sdp"
        assert rig.counts().asked == 1, "requests refused by the HTTP interface never reach the module"

        plays = status(good)
        place, tag = str(plays.header("location")), str(plays.header("etag"))
        assert plays.status == 201 and "server-sent-events" in str(plays.header("link"))
        trickle = (
            b"a=ice-ufrag:v1\r\na=ice-pwd:0123456789abcdefghijkl\r\nm=audio 9 X 0\r\na=candidate:1 1 udp\r\n"
        )
        restart = trickle.replace(b"v1", b"new")
        kind = {"Content_Type": FRAGMENT}
        assert status(place, "PATCH", trickle, **kind).status == 428
        assert status(place, "PATCH", trickle, If_Match='"other"', **kind).status == 412
        assert status(place, "PATCH", trickle, If_Match=tag).status == 415
        assert status(place, "PATCH", b"nonsense", If_Match=tag, **kind).status == 400
        assert status(place, "PATCH", trickle, If_Match=tag, **kind).status == 204
        renewed = status(place, "PATCH", restart, If_Match="*", **kind)
        assert renewed.status == 200 and renewed.header("etag") != tag
        assert status(place, "PATCH", trickle, If_Match=tag, **kind).status == 412
        assert status(place + "/layer").status == 409
        assert status(place, "DELETE").status == 200
        assert status(place, "PATCH", trickle, If_Match=tag, **kind).status == 404

    Rig().run(day)


def test_the_highest_rung_comes_from_the_query_or_the_offers_bandwidth() -> None:
    def day(rig: Rig) -> None:
        tops: list[int] = []
        asked = rig.gateway.executor.on_offer

        def spy(*args):  # type: ignore[no-untyped-def]
            tops.append(args[5])
            return asked(*args)

        rig.gateway.executor.on_offer = spy  # type: ignore[method-assign]
        for path, body in (
            ("/whep/recorded/clip-1?top=1", offer_of(1)),
            ("/whep/recorded/clip-1", offer_of(2).replace(b"a=mid:1\r\n", b"b=AS:5000\r\na=mid:1\r\n")),
            ("/whep/recorded/clip-1", offer_of(3)),
        ):
            stream = connect(rig.loop, endpoint(rig.at))
            stream.send(request(rig.at, path=path, body=body))
            assert answer(stream).status == 201
            stream.close()
        assert tops == [1, 2, 3], "rung 2 is the highest under 625 kB a second"

    Rig().run(day)


def test_media_host_events_reach_the_viewing_and_its_event_stream() -> None:
    def day(rig: Rig) -> None:
        place = str(rig.offer().header("location"))
        host = rig.hosts[rig.set_ups[0][0]]
        viewing_id = next(iter(rig.gateway.executor.viewings))
        with rig.client.stream(rig.at, place + "/events") as (response, parts):
            assert response.status == 200
            seen = next(parts)
            notice(host, "note", viewing_id, 1, 0.3)
            rig.until(lambda: host.rungs, 30.0)  # chance rounds steps to whole ones: it may take some looks
            while b"event: layers" not in seen[seen.index(b"active") :]:
                seen += next(parts)
            notice(host, "ended", viewing_id, 60)
            for part in parts:
                seen += part
            assert seen.startswith(b"event: active") and seen.rstrip().endswith(b"data: {}")
            assert b"event: inactive" in seen
        assert rig.client.request(rig.at, "DELETE", place).status == 404
        assert not rig.gateway.executor.viewings

    Rig().run(day)


def test_a_restarted_host_has_lost_its_viewings() -> None:
    def day(rig: Rig) -> None:
        rig.offer()
        host = rig.hosts[rig.set_ups[0][0]]
        assert host.feed is not None
        host.boot = "another"
        host.feed.close()
        rig.until(lambda: not rig.gateway.executor.viewings)
        assert rig.counts().ended == 1

    Rig().run(day)


def test_a_broken_event_stream_alone_ends_no_viewing() -> None:
    def day(rig: Rig) -> None:
        rig.offer()
        host = rig.hosts[rig.set_ups[0][0]]
        old = host.feed
        assert old is not None
        old.close()
        rig.until(lambda: host.feed is not old)
        rig.loop.sleep(0.05)
        assert len(rig.gateway.executor.viewings) == 1

    Rig().run(day)


def test_a_flight_record_replays_without_difference_unless_the_module_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    rig = Rig(
        {"*": lambda host, r: host.plays(r) if len(host.rig.set_ups) % 3 else Response(500)}, record=True
    )

    def day(rig: Rig) -> None:
        for n in range(25):
            rig.offer(n, token=f"t{n}")

    rig.run(day)
    assert rig.record is not None
    verdict = replay_record(rig.record)
    assert verdict.difference == "" and verdict.same_module and verdict.decisions > 50
    whole = next(rig.directory.glob("record.*"))
    cut = rig.directory / "cut"
    cut.write_bytes(whole.read_bytes()[:-7])
    assert replay_record(cut).difference == "", "a cut-off entry is skipped"
    monkeypatch.setattr("ledgehitch.brain.LOWEST_RUNG_MAX_USE", 0.0)
    monkeypatch.setattr("ledgehitch.brain.MIN_TIMEOUT_S", 0.4)
    assert "was ['TuneIn'" in replay_record(rig.record).difference


def test_a_gateway_saves_its_host_list() -> None:
    rig = Rig()

    def day(rig: Rig) -> None:
        rig.until(lambda: (rig.directory / "g0.hosts.json").exists())

    rig.run(day)
    kept = json.loads((rig.directory / "g0.hosts.json").read_text())
    assert len(kept["rows"]) == 3 and kept["version"] == 3
