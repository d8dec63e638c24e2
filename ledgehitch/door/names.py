"""Who is asking: one keyed name for each client, by the first thing known of it. Free of I/O.

Names are keyed hashes: nobody outside can make two clients fall together. IPv6 clients are named by their
/64, as one household holds all of it.
"""

import ipaddress
from collections.abc import Sequence
from typing import Literal

from blake3 import blake3

By = Literal["token", "certificate", "address"]
ORDER: tuple[By, ...] = ("token", "certificate", "address")
SIZE = 8  # bytes of a name


def prefix_of(address: str) -> str:
    """The part of an address that stands for one client; the text itself where it is no address."""
    try:
        ip = ipaddress.ip_address(address.partition("%")[0].strip("[]"))
    except ValueError:
        return address
    if isinstance(ip, ipaddress.IPv6Address):
        if ip.ipv4_mapped is not None:
            return str(ip.ipv4_mapped)
        return str(ipaddress.ip_network((ip, 64), strict=False))
    return str(ip)


def name_of(secret: bytes, token: str, certificate: str, address: str, order: Sequence[By] = ORDER) -> bytes:
    """The client's name; `order` says what counts first, the address is what is left in the end."""
    known = {"token": token, "certificate": certificate, "address": prefix_of(address) if address else ""}
    for by in (*order, "address"):
        if known[by]:
            return blake3(f"{by}\0{known[by]}".encode(), key=secret).digest(SIZE)
    return bytes(SIZE)
