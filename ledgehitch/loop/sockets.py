"""Stream and datagram sockets on the loop, for IPv4, IPv6 and Unix."""

import errno
import os
import socket
import struct
from dataclasses import dataclass
from typing import Any

from ledgehitch.loop.kernel import Loop

OUT_OF_DESCRIPTORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
BROKEN_LISTENER = {errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP, errno.EFAULT}
ACCEPT_PAUSE_S = 0.1  # seconds without accepting connections after descriptors ran out
BACKLOG = 1024


@dataclass(frozen=True)
class Endpoint:
    """A socket address: its family, and the address as the `socket` module takes it."""

    family: int
    address: Any

    def __str__(self) -> str:
        if self.family == socket.AF_UNIX:
            return f"unix:{self.address}"
        host, port = self.address[:2]
        return f"[{host}]:{port}" if self.family == socket.AF_INET6 else f"{host}:{port}"


def endpoint(text: str) -> Endpoint:
    """Parses `127.0.0.1:80`, `[::1]:80` or `unix:/path`. Host names are invalid: a look-up would block."""
    if text.startswith("unix:"):
        return Endpoint(socket.AF_UNIX, text[5:])
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is no address: 127.0.0.1:80, [::1]:80 or unix:/path is meant")
    if host.startswith("[") and host.endswith("]"):
        return Endpoint(socket.AF_INET6, (host[1:-1], int(port)))
    return Endpoint(socket.AF_INET, (host, int(port)))


class Stream:
    """A connected stream. One task may read while another writes, but no two may do the same."""

    __slots__ = ("loop", "sock", "fd", "earliest_arrival", "peer")

    def __init__(self, loop: Loop, sock: socket.socket, peer: str = "") -> None:
        self.loop, self.sock, self.peer = loop, sock, peer
        self.fd = sock.fileno()
        self.earliest_arrival = loop.earliest_arrival  # of the next data read

    def receive(self, most: int = 65536, likely_empty: bool = False) -> bytes:
        """Returns up to `most` bytes, none at the end of the stream; raises `OSError` if it was reset.

        With `likely_empty` it waits before the first attempt to read, to save a system call.
        """
        if likely_empty and self.fd >= 0:
            self.loop.wait_readable(self.fd)
            self.earliest_arrival = self.loop.earliest_arrival
        while self.fd >= 0:
            try:
                data = self.sock.recv(most)
            except BlockingIOError:
                self.loop.wait_readable(self.fd)
                self.earliest_arrival = self.loop.earliest_arrival
                continue
            self.loop.yield_if_busy()
            return data
        return b""

    def send(self, data: bytes) -> None:
        """Sends all of the data; raises `OSError` if the peer closed the connection."""
        view = memoryview(data)
        while len(view):
            if self.fd < 0:
                raise ConnectionResetError("closed here")
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                self.loop.wait_writable(self.fd)

    def send_nowait(self, data: bytes) -> bytes:
        """Sends what is possible without waiting, and returns the rest."""
        if self.fd < 0:
            raise ConnectionResetError("closed here")
        try:
            return data[self.sock.send(data) :]
        except BlockingIOError:
            return data

    def peer_closed(self) -> bool:
        """Returns, without waiting, whether the peer closed the connection; False if unread bytes remain."""
        return self.peek(1) == b""

    def peek(self, most: int) -> bytes | None:
        """Returns unread bytes without consuming them or waiting; empty at the end, None if none came."""
        if self.fd < 0:
            return b""
        try:
            return self.sock.recv(most, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def is_idle(self) -> bool:
        """Returns whether it is open with nothing to read, so that it may be reused for a new request."""
        return self.peek(1) is None

    def close_sending(self) -> bool:
        """Closes the sending half; the peer reads the end of the stream. Returns False if it was closed."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return False
        return True

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.loop.unregister(fd)
            self.sock.close()

    def reset(self) -> None:
        """Closes the connection with a TCP reset."""
        if self.fd >= 0:
            if self.sock.family != socket.AF_UNIX:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


def _open(family: int, kind: int) -> socket.socket:
    sock = socket.socket(family, kind)
    sock.setblocking(False)
    return sock


def connect(loop: Loop, to: Endpoint) -> Stream:
    """Connects to `to`, or raises `OSError`. Callers limit the time with `loop.deadline`."""
    sock = _open(to.family, socket.SOCK_STREAM)
    try:
        if to.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        failed = sock.connect_ex(to.address)
        if failed == errno.EINPROGRESS:
            loop.wait_writable(sock.fileno())
            failed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            raise OSError(failed, os.strerror(failed))
    except BaseException:
        fd = sock.fileno()
        loop.unregister(fd)
        sock.close()
        raise
    return Stream(loop, sock, str(to))


class Listener:
    """A listening stream socket. `accept` pauses when descriptors run out instead of spinning."""

    def __init__(self, loop: Loop, at: Endpoint) -> None:
        self.loop = loop
        self.sock = _open(at.family, socket.SOCK_STREAM)
        if at.family == socket.AF_UNIX:
            if os.path.exists(at.address):
                os.unlink(at.address)
        else:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(at.address)
            self.sock.listen(BACKLOG)
        except OSError as problem:
            self.sock.close()
            raise OSError(problem.errno, f"cannot listen at {at}: {problem.strerror}") from None
        self.fd = self.sock.fileno()
        self.at = Endpoint(at.family, self.sock.getsockname())
        self.refused_for_descriptors = 0
        self.earliest_arrival = loop.earliest_arrival  # of the next accepted connection

    def accept(self) -> Stream:
        """Waits for a connection; raises `ConnectionAbortedError` once the listener is closed."""
        while self.fd >= 0:
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                self.loop.wait_readable(self.fd)
                self.earliest_arrival = self.loop.earliest_arrival
                continue
            except ConnectionError:
                continue
            except OSError as problem:
                if problem.errno in BROKEN_LISTENER:
                    raise
                # The socket stays readable while no descriptor is free, so accepting again at once would
                # spin. All other errors concern the connection to be accepted (accept(2)), not the listener.
                self.refused_for_descriptors += problem.errno in OUT_OF_DESCRIPTORS
                self.loop.sleep(ACCEPT_PAUSE_S)
                continue
            sock.setblocking(False)
            if sock.family != socket.AF_UNIX:
                try:
                    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                except OSError:  # it was reset meanwhile
                    sock.close()
                    continue
            self.loop.yield_if_busy()
            stream = Stream(self.loop, sock, str(peer[0]) if peer else "unix")
            # It may have waited unseen while no descriptor was free or many connections arrived.
            stream.earliest_arrival = self.earliest_arrival
            return stream
        raise ConnectionAbortedError("the listener was closed")

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.loop.unregister(fd)
            self.sock.close()


class Datagrams:
    """A datagram socket bound at an address."""

    def __init__(self, loop: Loop, at: Endpoint) -> None:
        self.loop = loop
        self.sock = _open(at.family, socket.SOCK_DGRAM)
        self.sock.bind(at.address)
        self.fd = self.sock.fileno()
        self.at = Endpoint(at.family, self.sock.getsockname())

    def receive(self) -> tuple[bytes, Any]:
        while self.fd >= 0:
            try:
                got = self.sock.recvfrom(65536)
            except BlockingIOError:
                self.loop.wait_readable(self.fd)
                continue
            except ConnectionError:
                continue  # ICMP reply to an earlier datagram: nothing listens there
            self.loop.yield_if_busy()
            return got
        raise ConnectionAbortedError("the socket was closed")

    def send(self, data: bytes, to: Endpoint) -> bool:
        """Sends a datagram; returns whether it was sent. A full send buffer loses it, as datagrams may be."""
        try:
            return self.fd >= 0 and self.sock.sendto(data, to.address) == len(data)
        except OSError:
            return False

    def close(self) -> None:
        if self.fd >= 0:
            fd, self.fd = self.fd, -1
            self.loop.unregister(fd)
            self.sock.close()
