"""Authorization of a peer by its certificate. Free of I/O and clock.

TLS has verified the authority's signature already. This module checks the roles, the name, the validity
period and the revocation; the reason of a rejection goes to the log and to the peer.
"""

from collections.abc import Collection
from typing import Literal, NamedTuple

from cryptography import x509
from cryptography.x509.oid import ExtensionOID, NameOID

SCHEME = "ledgehitch:"  # of the role URIs in a certificate, for instance ledgehitch:operate
ROLES = ("operate", "look", "gateway")
MAX_CLOCK_SKEW_S = 60.0

Role = Literal["operate", "look", "gateway"]


class Certificate(NamedTuple):
    """The fields of a certificate that authorization needs. Times are seconds of the wall clock."""

    serial: int
    name: str
    roles: tuple[Role, ...]
    begins: float
    ends: float
    issuer: str


class CertificateRejected(Exception):
    """Raised with the reason why a certificate is not accepted."""


def parse_certificate(der: bytes) -> Certificate:
    """Parses a DER certificate; raises `CertificateRejected` if it is malformed."""
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
    role_names = [uri.removeprefix(SCHEME) for uri in uris if uri.startswith(SCHEME)]
    roles = tuple(role for role in ROLES if role in role_names)
    return Certificate(
        cert.serial_number,
        str(names[0].value) if names else "",
        roles,  # type: ignore[arg-type]
        cert.not_valid_before_utc.timestamp(),
        cert.not_valid_after_utc.timestamp(),
        str(issuers[0].value) if issuers else "",
    )


def authorize(
    certificate: Certificate, now: float, allowed: Collection[str], revoked: Collection[int], name: str = ""
) -> Role:
    """Returns the first role of the certificate that is in `allowed`.

    `name`: the common name that the certificate must have, if not empty. Raises `CertificateRejected`.
    """
    if now < certificate.begins - MAX_CLOCK_SKEW_S:
        raise CertificateRejected(
            f"the certificate of {certificate.name!r} is not valid before "
            f"{certificate.begins - now:.0f} s from now"
        )
    if now > certificate.ends:
        raise CertificateRejected(
            f"the certificate of {certificate.name!r} expired {now - certificate.ends:.0f} s ago"
        )
    if certificate.serial in revoked:
        raise CertificateRejected(f"the certificate of {certificate.name!r} was revoked")
    if name and certificate.name != name:
        raise CertificateRejected(f"the certificate names {certificate.name!r}, not {name!r}")
    for role in certificate.roles:
        if role in allowed:
            return role
    raise CertificateRejected(
        f"the certificate of {certificate.name!r} is for {', '.join(certificate.roles) or 'nothing here'}"
    )
