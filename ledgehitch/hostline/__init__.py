"""Codec of the platform's JSON lines between gateways and media hosts: bytes in, messages out, bounded.

It uses no sockets and holds no state of viewings.
"""

from ledgehitch.hostline.codec import MAX_LINE_BYTES, Malformed, Reader, encode, parse_loads

__all__ = ["MAX_LINE_BYTES", "Malformed", "Reader", "encode", "parse_loads"]
