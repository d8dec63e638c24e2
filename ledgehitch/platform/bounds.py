"""How much of everything a gateway on the platform holds at most, from its machine's limits. Free of I/O."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bounds:
    viewer_conns: int
    host_lines: int
    out_bytes: int  # unsent bytes of one connection
    waiting: int  # set-ups without an answer
    viewings: int

    def full(self, waiting: int, viewings: int) -> bool:
        """Whether no further set-up is taken."""
        return waiting >= self.waiting or viewings >= self.viewings


# Descriptors for the program itself: three standard ones, two for signals, the listener, peers, two for the
# list while it moves, one being accepted, one for a look at the memory, one to spare.
OWN = 12


def bounds_of(memory_mb: float, sockets: int) -> Bounds:
    """Viewers hold up to a third of the descriptors, bad clients the like; the rest is for media hosts and
    the program, which keeps its own however many clients come. A set-up that waits holds up to 16 KiB, one
    that plays far less; each may fill an eighth of the memory, as may what is unsent."""
    eighth = memory_mb * (1 << 20) / 8
    shared = sockets - max(OWN, sockets // 8)
    conns = max(1, shared * 5 // 7)
    return Bounds(
        viewer_conns=conns,
        host_lines=max(1, shared - conns),
        out_bytes=max(65536, int(eighth / conns)),
        waiting=max(64, int(eighth / 16384)),
        viewings=max(256, int(eighth / 2048)),
    )
