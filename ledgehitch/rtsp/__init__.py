"""The platform's RTSP between viewers and gateways as a codec: bytes in, messages out, strict and bounded.

It never touches a socket and knows no viewing. Start reading at `codec.py`.
"""

from ledgehitch.rtsp.codec import MAX_MESSAGE_BYTES, Malformed, Reader, request, response

__all__ = ["MAX_MESSAGE_BYTES", "Malformed", "Reader", "request", "response"]
