"""TLS contexts of the admin API: mutual TLS with certificates of the fleet's authority, TLS 1.3 only."""

import ssl
from pathlib import Path

from ledgehitch.config import BadInput
from ledgehitch.keys.store import read_secret


def tls_context(ca: Path, certificate: Path, server: bool) -> ssl.SSLContext:
    """Returns a context for one side of a connection.

    `certificate`: a file with the certificate and its key, readable by its owner alone. Raises `BadInput` if
    a file cannot be loaded.
    """
    read_secret(certificate)
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    tls.minimum_version = ssl.TLSVersion.TLSv1_3
    tls.check_hostname = False  # certificates name gateways, not hosts: `judge.authorize` checks the name
    tls.verify_mode = ssl.CERT_REQUIRED
    try:
        tls.load_verify_locations(ca)
        tls.load_cert_chain(certificate)
    except (OSError, ssl.SSLError) as problem:
        raise BadInput(f"{certificate} with {ca}: {problem}") from None
    return tls
