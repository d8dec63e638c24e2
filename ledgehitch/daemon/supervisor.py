"""Notifies the process supervisor by the `sd_notify` protocol: datagrams to a socket of the environment."""

import os
import socket
from collections.abc import Mapping


class Supervisor:
    """The supervisor of this process. Without one in the environment, `notify` does nothing."""

    def __init__(self, environment: Mapping[str, str]) -> None:
        address = environment.get("NOTIFY_SOCKET", "")
        self.address = "\0" + address[1:] if address.startswith("@") else address
        for_this_process = environment.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        usec = environment.get("WATCHDOG_USEC", "")
        self.watchdog_interval_s = (
            int(usec) / 2e6 if for_this_process and usec.isdigit() and int(usec) > 0 else 0.0
        )
        self.refused = 0

    def notify(self, text: str) -> None:
        """Sends a text such as "READY=1"; errors are counted and ignored."""
        if not self.address:
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC) as sock:
            sock.setblocking(False)
            try:
                sock.sendto(text.encode(), self.address)
            except OSError:
                self.refused += 1  # a supervisor that is gone or does not read must not harm viewers
