"""Keys on disk: a certificate authority, its certificates, a revocation list, a ring of fleet keys.

DIR/ca.pem, ca.key          the authority; only issuing certificates needs the key
DIR/NAME.pem                a certificate with its private key, for its holder
DIR/revoked                 revoked serial numbers in hexadecimal, one a line
DIR/fleet.key               the ring of fleet keys, the signing key first
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
AUTHORITY_DAYS = 3650.0
FORBIDDEN_MODE_BITS = 0o077  # of a file with a secret
KEY_BYTES = 32  # length of a fleet key
MAX_RING_KEYS = 2  # the signing key, and during a rotation the next or the previous one


def read_secret(path: Path) -> bytes:
    """Returns the content of a file with a secret; raises `BadInput` if its mode lets others read it."""
    try:
        if path.stat().st_mode & FORBIDDEN_MODE_BITS:
            raise BadInput(f"{path}: accessible to others than its owner (chmod 600)")
        return path.read_bytes()
    except OSError as problem:
        raise BadInput(f"{path}: cannot be read: {problem.strerror}") from None


def write_atomically(path: Path, data: bytes, mode: int = 0o600) -> None:
    """Replaces a file atomically; the temporary file never has a wider mode than `mode`."""
    temporary = path.with_name(path.name + ".new")
    temporary.unlink(missing_ok=True)
    with open(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


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
    """The key directory of a fleet."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.ca, self.ca_key = directory / "ca.pem", directory / "ca.key"
        self.revocations, self.ring = directory / "revoked", directory / "fleet.key"

    # ---- certificates --------------------------------------------------------------------------------------

    def new_authority(self, name: str, now: float) -> None:
        """Creates the certificate authority; raises `BadInput` if there is one already."""
        if self.ca_key.exists():
            raise BadInput(f"{self.ca_key}: an authority exists already; it is never overwritten")
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        key = ec.generate_private_key(ec.SECP256R1())
        begins, ends = _dates(now, AUTHORITY_DAYS)
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
        """Issues a certificate with its key for `name` and returns its path.

        The previous certificate of that name stays valid until it expires or is revoked.
        """
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
        """Returns all certificates of the directory with their paths."""
        found = []
        for path in sorted(self.directory.glob("*.pem")):
            cert = x509.load_pem_x509_certificate(path.read_bytes())
            found.append((path, parse_certificate(cert.public_bytes(serialization.Encoding.DER))))
        return found

    def revoke(self, path: Path) -> int:
        """Revokes a certificate and returns its serial number; gateways reject it on their next check."""
        serial = x509.load_pem_x509_certificate(path.read_bytes()).serial_number
        known = self.revoked()
        if serial not in known:
            write_atomically(
                self.revocations, "".join(f"{n:x}\n" for n in sorted({*known, serial})).encode(), 0o644
            )
        return serial

    def revoked(self) -> set[int]:
        """Returns the revoked serial numbers."""
        return read_revocations(self.revocations)

    # ---- fleet keys ----------------------------------------------------------------------------------------

    def add_fleet_key(self) -> int:
        """Adds a fleet key and returns the number of keys in the ring.

        Messages signed with the new key are accepted, but none is signed with it until all gateways have
        read it: they restart one after the other.
        """
        old = read_key_ring(self.ring) if self.ring.exists() else []
        if len(old) >= MAX_RING_KEYS:
            raise BadInput(
                f"{self.ring}: a rotation is in progress: `use` the new key, then `drop` the old one"
            )
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        write_atomically(self.ring, b"".join([*old, secrets.token_bytes(KEY_BYTES)]))
        return len(old) + 1

    def sign_with_newer_key(self) -> None:
        """Makes gateways sign with the newer key from their next start on; all must have read it by now."""
        ring = read_key_ring(self.ring)
        if len(ring) < MAX_RING_KEYS:
            raise BadInput(f"{self.ring}: no newer key: `add` one")
        write_atomically(self.ring, b"".join(reversed(ring)))

    def drop_older_key(self) -> None:
        """Removes the key that no gateway signs with any more; all must sign with the other one by now."""
        write_atomically(self.ring, read_key_ring(self.ring)[0])


def read_revocations(path: Path) -> set[int]:
    """Returns the revoked serial numbers; an empty set if the file does not exist."""
    try:
        return {int(line, 16) for line in path.read_text("ascii").split()}
    except FileNotFoundError:
        return set()
    except (OSError, ValueError) as problem:
        raise BadInput(f"{path}: malformed or unreadable revocation list: {problem}") from None


def read_key_ring(path: Path) -> list[bytes]:
    """Returns the fleet keys, the signing key first; raises `BadInput` for a wrong length."""
    data = read_secret(path)
    if not data or len(data) % KEY_BYTES or len(data) > MAX_RING_KEYS * KEY_BYTES:
        raise BadInput(f"{path}: expected one or two fleet keys of {KEY_BYTES} bytes, got {len(data)} bytes")
    return [data[i : i + KEY_BYTES] for i in range(0, len(data), KEY_BYTES)]


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
