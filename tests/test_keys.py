"""Keys: who is taken and why not, rings in three steps, secrets kept, the admin call over TLS."""

import ssl
import time
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding

from ledgehitch.config import BadInput
from ledgehitch.gateway.peers import DatagramRejected, PeerCodec
from ledgehitch.http import Client, ConnectFailed, Interrupted, Request, Response, Server
from ledgehitch.keys.contexts import tls_context
from ledgehitch.keys.judge import CertificateRejected, authorize, parse_certificate
from ledgehitch.keys.store import Keys, read_key_ring, write_atomically
from ledgehitch.loop import Loop, TimedOut, connect, endpoint

NOW = time.time()


def der(path: Path) -> bytes:
    return x509.load_pem_x509_certificate(path.read_bytes()).public_bytes(Encoding.DER)


@pytest.fixture(scope="module")
def store(tmp_path_factory: pytest.TempPathFactory) -> Keys:
    keys = Keys(tmp_path_factory.mktemp("keys"))
    keys.new_authority("fleet", NOW)
    keys.issue("g0", "gateway", NOW)
    keys.issue("ops", "operate", NOW)
    keys.issue("eyes", "look", NOW)
    return keys


def test_a_certificate_is_taken_for_what_it_is_and_refused_with_the_reason(store: Keys) -> None:
    ops = parse_certificate(der(store.directory / "ops.pem"))
    assert ops.name == "ops" and ops.roles == ("operate",) and ops.issuer == "fleet"
    assert authorize(ops, NOW, ("operate", "look"), ()) == "operate"
    both = ("operate", "look")
    with pytest.raises(CertificateRejected, match="'ops' was revoked"):
        authorize(ops, NOW, both, {ops.serial})
    with pytest.raises(CertificateRejected, match="'ops' expired 86400 s ago"):
        authorize(ops, ops.ends + 86400, both, ())
    with pytest.raises(CertificateRejected, match="is not valid before 3600 s from now"):
        authorize(ops, ops.begins - 3600, both, ())
    assert authorize(ops, ops.begins - 30, both, ()) == "operate", "clocks may differ a little"
    with pytest.raises(CertificateRejected, match="'ops' is for operate"):
        authorize(ops, NOW, ("gateway",), ())
    g0 = parse_certificate(der(store.directory / "g0.pem"))
    with pytest.raises(CertificateRejected, match="names 'g0', not 'g1'"):
        authorize(g0, NOW, ("gateway",), (), "g1")
    with pytest.raises(CertificateRejected, match="no certificate"):
        parse_certificate(b"nonsense")


def test_secrets_are_their_owners_alone_and_nothing_is_written_over(store: Keys, tmp_path: Path) -> None:
    for path in [store.ca_key, *store.directory.glob("[!c]*.pem")]:
        assert path.stat().st_mode & 0o077 == 0, path
    with pytest.raises(BadInput, match="never written over"):
        store.new_authority("again", NOW)
    open_to_all = tmp_path / "open.pem"
    write_atomically(open_to_all, (store.directory / "ops.pem").read_bytes(), 0o644)
    with pytest.raises(BadInput, match="chmod 600"):
        tls_context(store.ca, open_to_all, False)
    before = store.directory / "eyes.pem"
    first = parse_certificate(der(before)).serial
    store.issue("eyes", "look", NOW)
    assert parse_certificate(der(store.directory / "eyes.before.pem")).serial == first
    assert store.revoke(store.directory / "eyes.before.pem") == first and store.revoked() == {first}
    store.revocations.write_text("not a number\n")
    with pytest.raises(BadInput, match="does not read"):
        store.revoked()
    store.revocations.unlink()
    assert store.revoked() == set()


def test_the_fleets_key_changes_in_three_steps_without_a_word_lost(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    assert keys.add_fleet_key() == 1
    ring = read_key_ring(keys.ring)
    old = PeerCodec(ring, 0, 1)
    assert keys.add_fleet_key() == 2
    with pytest.raises(BadInput, match="a change is under way"):
        keys.add_fleet_key()
    added = PeerCodec(read_key_ring(keys.ring), 1, 1)
    assert added.unframe(NOW, old.frame(NOW, 1, b"a")) == (0, b"a")
    said = PeerCodec(ring, 0, 1).unframe(NOW, added.frame(NOW, 0, b"b"))
    assert said == (1, b"b"), "it still signs with the old one"
    keys.sign_with_newer_key()
    used = PeerCodec(read_key_ring(keys.ring), 2, 1)
    assert added.unframe(NOW, used.frame(NOW, 1, b"c")) == (2, b"c")
    assert used.unframe(NOW, added.frame(NOW, 2, b"d")) == (1, b"d")
    with pytest.raises(DatagramRejected, match="mac"):
        old.unframe(NOW, used.frame(NOW, 0, b"e"))
    keys.drop_older_key()
    dropped = PeerCodec(read_key_ring(keys.ring), 3, 1)
    assert dropped.unframe(NOW, used.frame(NOW, 3, b"f")) == (2, b"f")
    with pytest.raises(DatagramRejected, match="mac"):
        dropped.unframe(NOW, added.frame(NOW, 3, b"g"))
    keys.ring.chmod(0o640)
    with pytest.raises(BadInput, match="chmod 600"):
        read_key_ring(keys.ring)
    write_atomically(keys.ring, b"x" * 31)
    with pytest.raises(BadInput, match="one or two peer keys of 32 bytes, not 31 bytes"):
        read_key_ring(keys.ring)


def test_calls_over_tls_show_who_is_who_on_both_sides(store: Keys, tmp_path: Path) -> None:
    loop, seen = Loop(), list[str]()
    other = Keys(tmp_path / "other")
    other.new_authority("another fleet", NOW)
    stranger = other.issue("ops", "operate", NOW)

    def handle(request: Request) -> Response:
        seen.append(parse_certificate(request.certificate).name)
        return Response(200, [], b"x" * 200_000)

    def judged(name: str) -> Any:
        def judge(address: str, certificate: bytes) -> None:
            try:
                authorize(parse_certificate(certificate), time.time(), ("gateway",), store.revoked(), name)
            except CertificateRejected as why:
                raise ConnectFailed(str(why)) from None

        return judge

    def main() -> None:
        tls = tls_context(store.ca, store.directory / "g0.pem", True)
        server = Server(loop, endpoint("127.0.0.1:0"), handle, tls=tls)
        at = f"tls:{server.at}"
        ops = tls_context(store.ca, store.directory / "ops.pem", False)
        client = Client(loop, ops, judged("g0"))
        with loop.deadline(20.0):
            for _ in range(3):
                answer = client.request(at, "POST", "/x", None, b"y" * 50_000)
                assert answer.status == 200 and len(answer.body) == 200_000
        assert client.opened == 1 and seen == ["ops"] * 3, "one connection serves them all"
        with pytest.raises(ConnectFailed, match="names 'g0', not 'g1'"):
            Client(loop, ops, judged("g1")).request(at, "GET", "/x")
        with pytest.raises(ConnectFailed, match="no TLS certificate configured for tls:"):
            Client(loop).request(at, "GET", "/x")
        bad = tls_context(store.ca, stranger, False)
        with pytest.raises((ConnectFailed, Interrupted)), loop.deadline(20.0):
            Client(loop, bad, judged("g0")).request(at, "GET", "/x")
        plain = connect(loop, server.at)
        plain.send(b"GET / HTTP/1.1\r\n\r\n")
        with loop.deadline(20.0):
            while plain.receive():
                pass
        silent = connect(loop, server.at)
        assert len(seen) == 3 and server.failed_handshakes >= 2
        silent.close()
        client.close()
        server.close()

    loop.run(main)


def test_older_versions_of_tls_are_not_spoken(store: Keys) -> None:
    for server in (True, False):
        some = tls_context(store.ca, store.directory / "g0.pem", server)
        assert some.minimum_version == ssl.TLSVersion.TLSv1_3 and some.verify_mode == ssl.CERT_REQUIRED


def test_a_handshake_that_never_comes_holds_up_nobody(store: Keys) -> None:
    from ledgehitch.http import Limits

    loop = Loop()

    def main() -> None:
        tls = tls_context(store.ca, store.directory / "g0.pem", True)
        limits = Limits(request_timeout_s=0.2)
        server = Server(loop, endpoint("127.0.0.1:0"), lambda _: Response(200), limits, tls=tls)
        streams = [connect(loop, server.at) for _ in range(20)]
        for _ in range(300):
            loop.sleep(0.02)
            if server.failed_handshakes == 20:
                break
        assert server.failed_handshakes == 20 and not server.open
        for stream in streams:
            stream.close()
        with pytest.raises(TimedOut), loop.deadline(0.01):
            loop.sleep(1.0)
        server.close()

    loop.run(main)
