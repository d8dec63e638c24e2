"""TLS contexts for the admin call: both sides show certificates of the fleet's authority, TLS 1.3 alone."""

import ssl
from pathlib import Path

from ledgehitch.config import BadInput
from ledgehitch.keys.store import read_secret


def tls_context(ca: Path, bearer: Path, server: bool) -> ssl.SSLContext:
    """`bearer`: a certificate with its key, in a file that only its owner may read."""
    read_secret(bearer)
    some = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    some.minimum_version = ssl.TLSVersion.TLSv1_3
    some.check_hostname = False  # the name is a gateway's, not a host's: it is judged by `judge.taken`
    some.verify_mode = ssl.CERT_REQUIRED
    try:
        some.load_verify_locations(ca)
        some.load_cert_chain(bearer)
    except (OSError, ssl.SSLError) as problem:
        raise BadInput(f"{bearer} with {ca}: {problem}") from None
    return some
