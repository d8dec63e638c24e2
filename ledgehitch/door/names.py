"""Identifies clients by a keyed hash of their token, certificate or address. Free of I/O.

Without the key nobody can construct two clients with the same hash. IPv6 clients are identified by their /64
prefix, since one household holds all of it.
"""

import ipaddress
from collections.abc import Sequence
from typing import Literal

from blake3 import blake3

Identity = Literal["token", "certificate", "address"]
DEFAULT_ORDER: tuple[Identity, ...] = ("token", "certificate", "address")
NAME_BYTES = 8


def address_prefix(address: str) -> str:
    """Returns the part of an IP address that identifies a client, or the text itself if it is no address."""
    try:
        ip = ipaddress.ip_address(address.partition("%")[0].strip("[]"))
    except ValueError:
        return address
    if isinstance(ip, ipaddress.IPv6Address):
        if ip.ipv4_mapped is not None:
            return str(ip.ipv4_mapped)
        return str(ipaddress.ip_network((ip, 64), strict=False))
    return str(ip)


def client_name(
    secret: bytes, token: str, certificate: str, address: str, order: Sequence[Identity] = DEFAULT_ORDER
) -> bytes:
    """Returns the client's keyed hash of `NAME_BYTES` bytes.

    `order` gives the precedence of the identities; the address is always the last resort.
    """
    known = {
        "token": token,
        "certificate": certificate,
        "address": address_prefix(address) if address else "",
    }
    for kind in (*order, "address"):
        if known[kind]:
            return blake3(f"{kind}\0{known[kind]}".encode(), key=secret).digest(NAME_BYTES)
    return bytes(NAME_BYTES)
