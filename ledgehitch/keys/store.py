"""Keys on disk: an authority, certificates it signs, the list of those revoked, rings of fleet keys.

DIR/ca.pem, ca.key          the authority; the key is needed to sign and to revoke alone
DIR/NAME.pem                a certificate with its key, for who bears it
DIR/revoked                 serial numbers, one a line
DIR/fleet.key               the ring of fleet keys, newest first
"""

import datetime
import os
import secrets
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from ledgehitch.config import BadInput
from ledgehitch.keys.judge import SCHEME, Certificate, Role, parse_certificate

DAYS = 90.0
CA_DAYS = 3650.0
PRIVATE = 0o077  # bits that no file with a secret may have
KEY = 32  # bytes of a fleet key
KEPT = 2  # fleet keys that are taken: one is signed with, the other is coming or going


def read_secret(path: Path) -> bytes:
    """A file with a secret; refused where others may read it."""
    try:
        if path.stat().st_mode & PRIVATE:
            raise BadInput(f"{path}: others than its owner may read it (chmod 600)")
        return path.read_bytes()
    except OSError as problem:
        raise BadInput(f"{path}: cannot be read: {problem.strerror}") from None


def write_atomically(path: Path, data: bytes, mode: int = 0o600) -> None:
    """Whole or not at all, and never readable by others in between."""
    partly = path.with_name(path.name + ".new")
    partly.unlink(missing_ok=True)
    with open(os.open(partly, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(partly, path)


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _dates(begins: float, days: float) -> tuple[datetime.datetime, datetime.datetime]:
    first = datetime.datetime.fromtimestamp(begins, datetime.UTC)
    return first, first + datetime.timedelta(days=days)


class Keys:
    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.ca, self.ca_key = directory / "ca.pem", directory / "ca.key"
        self.revocations, self.ring = directory / "revoked", directory / "fleet.key"

    # ---- certificates --------------------------------------------------------------------------------------

    def new_authority(self, name: str, now: float) -> None:
        if self.ca_key.exists():
            raise BadInput(f"{self.ca_key}: there is an authority already; it is never written over")
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        key = ec.generate_private_key(ec.SECP256R1())
        begins, ends = _dates(now, CA_DAYS)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name(name))
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .add_extension(_usage(signs=True), critical=True)
        )
        write_atomically(self.ca_key, _pem(key))
        cert = builder.sign(key, hashes.SHA256())
        write_atomically(self.ca, cert.public_bytes(serialization.Encoding.PEM), 0o644)

    def issue(self, name: str, role: Role, now: float, days: float = DAYS) -> Path:
        """A certificate with its key for `name`; an older one of that name goes on being good until its end
        or until it is revoked."""
        authority = x509.load_pem_x509_certificate(self.ca.read_bytes())
        signer = serialization.load_pem_private_key(read_secret(self.ca_key), None)
        assert isinstance(signer, ec.EllipticCurvePrivateKey)
        key = ec.generate_private_key(ec.SECP256R1())
        begins, ends = _dates(now, days)
        purposes = [ExtendedKeyUsageOID.CLIENT_AUTH]
        names: list[x509.GeneralName] = [x509.UniformResourceIdentifier(SCHEME + role)]
        if role == "gateway":
            purposes.append(ExtendedKeyUsageOID.SERVER_AUTH)
            names.append(x509.DNSName(name))
        cert = (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(authority.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(x509.ExtendedKeyUsage(purposes), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
            )
            .add_extension(_usage(signs=False), critical=True)
            .sign(signer, hashes.SHA256())
        )
        path = self.directory / f"{name}.pem"
        if path.exists():
            os.replace(path, self.directory / f"{name}.before.pem")
        write_atomically(path, cert.public_bytes(serialization.Encoding.PEM) + _pem(key))
        return path

    def certificates(self) -> list[tuple[Path, Certificate]]:
        found = []
        for path in sorted(self.directory.glob("*.pem")):
            cert = x509.load_pem_x509_certificate(path.read_bytes())
            found.append((path, parse_certificate(cert.public_bytes(serialization.Encoding.DER))))
        return found

    def revoke(self, path: Path) -> int:
        """From when gateways next look on, it is refused."""
        serial = x509.load_pem_x509_certificate(path.read_bytes()).serial_number
        known = self.revoked()
        if serial not in known:
            write_atomically(
                self.revocations, "".join(f"{n:x}\n" for n in sorted({*known, serial})).encode(), 0o644
            )
        return serial

    def revoked(self) -> set[int]:
        return read_revocations(self.revocations)

    # ---- fleet keys ----------------------------------------------------------------------------------------

    def add_fleet_key(self) -> int:
        """A new fleet key, taken but not signed with yet: the gateways learn it one after the other. How many
        keys the ring has now."""
        old = read_key_ring(self.ring) if self.ring.exists() else []
        if len(old) >= KEPT:
            raise BadInput(f"{self.ring}: a change is under way: `use` the new key, then `drop` the old one")
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        write_atomically(self.ring, b"".join([*old, secrets.token_bytes(KEY)]))
        return len(old) + 1

    def sign_with_newer_key(self) -> None:
        """From their next start on gateways sign with the newer key; all of them must know it by now."""
        ring = read_key_ring(self.ring)
        if len(ring) < KEPT:
            raise BadInput(f"{self.ring}: there is no newer key: `add` one")
        write_atomically(self.ring, b"".join(reversed(ring)))

    def drop_older_key(self) -> None:
        """The key that is not signed with is taken no more; all must sign with the other by now."""
        write_atomically(self.ring, read_key_ring(self.ring)[0])


def read_revocations(path: Path) -> set[int]:
    """Serial numbers that are refused; none where there is no such file."""
    try:
        return {int(line, 16) for line in path.read_text("ascii").split()}
    except FileNotFoundError:
        return set()
    except (OSError, ValueError) as problem:
        raise BadInput(f"{path}: the list of revoked certificates does not read: {problem}") from None


def read_key_ring(path: Path) -> list[bytes]:
    """Fleet keys, the one that is signed with first; a file of one key is a ring, too."""
    data = read_secret(path)
    if not data or len(data) % KEY or len(data) > KEPT * KEY:
        raise BadInput(f"{path}: a ring holds one or two peer keys of {KEY} bytes, not {len(data)} bytes")
    return [data[i : i + KEY] for i in range(0, len(data), KEY)]


def _usage(signs: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not signs,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=signs,
        crl_sign=signs,
        encipher_only=False,
        decipher_only=False,
    )
