"""The platform's RTSP between viewers and gateways as a codec: bytes in, messages out, strict and bounded.

It never touches a socket and knows no viewing. Start reading at `codec.py`.
"""

from ledgehitch.rtsp.codec import MOST, Malformed, Reader, answer, request

__all__ = ["MOST", "Malformed", "Reader", "answer", "request"]
