"""The supervisor by the public `sd_notify` protocol: datagrams to the socket named in the environment."""

import os
import socket
from collections.abc import Mapping


class Supervisor:
    """`notify("READY=1")` and the like; without a supervisor nothing happens."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        at = environment.get("NOTIFY_SOCKET", "")
        self.address = "\0" + at[1:] if at.startswith("@") else at
        mine = environment.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        usec = environment.get("WATCHDOG_USEC", "")
        self.every = int(usec) / 2e6 if mine and usec.isdigit() and int(usec) > 0 else 0.0
        self.refused = 0

    def notify(self, text: str) -> None:
        if not self.address:
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
            sock.setblocking(False)
            try:
                sock.sendto(text.encode(), self.address)
            except OSError:
                self.refused += 1  # it is gone or does not listen: that is its trouble, not the viewers'
