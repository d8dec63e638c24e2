"""The platform's JSON lines between gateways and media hosts as a codec: bytes in, messages out, bounded.

It never touches a socket and knows no viewing. Start reading at `codec.py`.
"""

from ledgehitch.hostline.codec import MOST, Malformed, Reader, loads_of, written

__all__ = ["MOST", "Malformed", "Reader", "loads_of", "written"]
