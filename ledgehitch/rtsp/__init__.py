"""Codec of the platform's RTSP between viewers and gateways: bytes in, messages out, strict and bounded.

It uses no sockets and holds no state of viewings.
"""

from ledgehitch.rtsp.codec import MAX_MESSAGE_BYTES, Malformed, Reader, request, response

__all__ = ["MAX_MESSAGE_BYTES", "Malformed", "Reader", "request", "response"]
