"""Whether a certificate that is shown is taken, and for what. Free of I/O and clock.

TLS itself has checked that the authority signed it. Here: what it is for, whom it names, its time, and
whether it was revoked; the reason is for the log and for who shows it.
"""

from collections.abc import Collection
from typing import Literal, NamedTuple

from cryptography import x509
from cryptography.x509.oid import ExtensionOID, NameOID

SCHEME = "ledgehitch:"  # URIs in a certificate: ledgehitch:operate, ledgehitch:look, ledgehitch:gateway
ROLES = ("operate", "look", "gateway")
SKEW = 60.0  # seconds by which clocks may differ

Role = Literal["operate", "look", "gateway"]


class Certificate(NamedTuple):
    """A certificate as far as it matters here. Times are seconds of the wall clock."""

    serial: int
    name: str
    roles: tuple[Role, ...]
    begins: float
    ends: float
    issuer: str


class CertificateRejected(Exception):
    """Why it is not taken, in words."""


def parse_certificate(der: bytes) -> Certificate:
    """Reads a certificate; raises `CertificateRejected` for what is none."""
    try:
        cert = x509.load_der_x509_certificate(der)
    except ValueError:
        raise CertificateRejected("what was shown is no certificate") from None
    names = cert.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    issuers = cert.issuer.get_attributes_for_oid(NameOID.COMMON_NAME)
    try:
        alternative = cert.extensions.get_extension_for_oid(ExtensionOID.SUBJECT_ALTERNATIVE_NAME).value
        assert isinstance(alternative, x509.SubjectAlternativeName)
        uris = alternative.get_values_for_type(x509.UniformResourceIdentifier)
    except x509.ExtensionNotFound:
        uris = []
    said = [uri.removeprefix(SCHEME) for uri in uris if uri.startswith(SCHEME)]
    roles = tuple(role for role in ROLES if role in said)
    return Certificate(
        cert.serial_number,
        str(names[0].value) if names else "",
        roles,  # type: ignore[arg-type]
        cert.not_valid_before_utc.timestamp(),
        cert.not_valid_after_utc.timestamp(),
        str(issuers[0].value) if issuers else "",
    )


def authorize(
    one: Certificate, now: float, wanted: Collection[str], revoked: Collection[int], name: str = ""
) -> Role:
    """The role in which it is taken, one of `wanted`. `name`: whom it must name."""
    if now < one.begins - SKEW:
        raise CertificateRejected(
            f"the certificate of {one.name!r} is not valid before {one.begins - now:.0f} s from now"
        )
    if now > one.ends:
        raise CertificateRejected(f"the certificate of {one.name!r} expired {now - one.ends:.0f} s ago")
    if one.serial in revoked:
        raise CertificateRejected(f"the certificate of {one.name!r} was revoked")
    if name and one.name != name:
        raise CertificateRejected(f"the certificate names {one.name!r}, not {name!r}")
    for role in one.roles:
        if role in wanted:
            return role
    raise CertificateRejected(
        f"the certificate of {one.name!r} is for {', '.join(one.roles) or 'nothing here'}"
    )
