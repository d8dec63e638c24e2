"""Keys: authorization of certificates, rotation of fleet keys, file modes of secrets, mutual TLS."""

import ssl
import time
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives.serialization import Encoding

from ledgehitch.config import BadInput
from ledgehitch.gateway.peer_codec import DatagramRejected, PeerCodec
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
    keys.issue("observer", "look", NOW)
    return keys


def test_certificate_is_authorized_for_its_role_or_rejected_with_the_reason(store: Keys) -> None:
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
    assert authorize(ops, ops.begins - 30, both, ()) == "operate", "clock skew is tolerated"
    with pytest.raises(CertificateRejected, match="'ops' is for operate"):
        authorize(ops, NOW, ("gateway",), ())
    g0 = parse_certificate(der(store.directory / "g0.pem"))
    with pytest.raises(CertificateRejected, match="names 'g0', not 'g1'"):
        authorize(g0, NOW, ("gateway",), (), "g1")
    with pytest.raises(CertificateRejected, match="no certificate"):
        parse_certificate(b"nonsense")


def test_secrets_are_readable_by_their_owner_alone_and_never_overwritten(store: Keys, tmp_path: Path) -> None:
    for path in [store.ca_key, *store.directory.glob("[!c]*.pem")]:
        assert path.stat().st_mode & 0o077 == 0, path
    with pytest.raises(BadInput, match="never overwritten"):
        store.new_authority("again", NOW)
    world_readable = tmp_path / "open.pem"
    write_atomically(world_readable, (store.directory / "ops.pem").read_bytes(), 0o644)
    with pytest.raises(BadInput, match="chmod 600"):
        tls_context(store.ca, world_readable, False)
    before = store.directory / "observer.pem"
    first = parse_certificate(der(before)).serial
    store.issue("observer", "look", NOW)
    assert parse_certificate(der(store.directory / "observer.before.pem")).serial == first
    assert store.revoke(store.directory / "observer.before.pem") == first and store.revoked() == {first}
    store.revocations.write_text("not a number\n")
    with pytest.raises(BadInput, match="malformed or unreadable revocation list"):
        store.revoked()
    store.revocations.unlink()
    assert store.revoked() == set()


def test_fleet_key_rotates_in_three_steps_without_losing_a_message(tmp_path: Path) -> None:
    keys = Keys(tmp_path)
    assert keys.add_fleet_key() == 1
    ring = read_key_ring(keys.ring)
    old = PeerCodec(ring, 0, 1)
    assert keys.add_fleet_key() == 2
    with pytest.raises(BadInput, match="a rotation is in progress"):
        keys.add_fleet_key()
    added = PeerCodec(read_key_ring(keys.ring), 1, 1)
    assert added.unframe(NOW, old.frame(NOW, 1, b"a")) == (0, b"a")
    received = PeerCodec(ring, 0, 1).unframe(NOW, added.frame(NOW, 0, b"b"))
    assert received == (1, b"b"), "it still signs with the older key"
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
    with pytest.raises(BadInput, match="one or two fleet keys of 32 bytes, got 31 bytes"):
        read_key_ring(keys.ring)


def test_tls_calls_authenticate_both_sides(store: Keys, tmp_path: Path) -> None:
    loop, seen = Loop(), list[str]()
    other = Keys(tmp_path / "other")
    other.new_authority("another fleet", NOW)
    foreign = other.issue("ops", "operate", NOW)

    def handle(request: Request) -> Response:
        seen.append(parse_certificate(request.certificate).name)
        return Response(200, [], b"x" * 200_000)

    def check_name(name: str) -> Any:
        def check(address: str, certificate: bytes) -> None:
            try:
                authorize(parse_certificate(certificate), time.time(), ("gateway",), store.revoked(), name)
            except CertificateRejected as why:
                raise ConnectFailed(str(why)) from None

        return check

    def main() -> None:
        tls = tls_context(store.ca, store.directory / "g0.pem", True)
        server = Server(loop, endpoint("127.0.0.1:0"), handle, tls=tls)
        at = f"tls:{server.at}"
        ops = tls_context(store.ca, store.directory / "ops.pem", False)
        client = Client(loop, ops, check_name("g0"))
        with loop.deadline(20.0):
            for _ in range(3):
                answer = client.request(at, "POST", "/x", None, b"y" * 50_000)
                assert answer.status == 200 and len(answer.body) == 200_000
        assert client.opened == 1 and seen == ["ops"] * 3, "all requests use one connection"
        with pytest.raises(ConnectFailed, match="names 'g0', not 'g1'"):
            Client(loop, ops, check_name("g1")).request(at, "GET", "/x")
        with pytest.raises(ConnectFailed, match="asks for a certificate, and none is given"):
            Client(loop).request(at, "GET", "/x")
        foreign_tls = tls_context(store.ca, foreign, False)
        with pytest.raises((ConnectFailed, Interrupted)), loop.deadline(20.0):
            Client(loop, foreign_tls, check_name("g0")).request(at, "GET", "/x")
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


def test_older_tls_versions_are_not_supported(store: Keys) -> None:
    for server in (True, False):
        tls = tls_context(store.ca, store.directory / "g0.pem", server)
        assert tls.minimum_version == ssl.TLSVersion.TLSv1_3 and tls.verify_mode == ssl.CERT_REQUIRED


def test_connections_without_a_handshake_time_out(store: Keys) -> None:
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
