"""The platform's JSON lines between gateways and media hosts as a codec: bytes in, messages out, bounded.

It never touches a socket and knows no viewing. Start reading at `codec.py`.
"""

from ledgehitch.hostline.codec import MAX_LINE_BYTES, Malformed, Reader, encode, parse_loads

__all__ = ["MAX_LINE_BYTES", "Malformed", "Reader", "encode", "parse_loads"]
