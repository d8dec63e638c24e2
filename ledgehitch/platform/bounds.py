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


def bounds_of(memory_mb: float, sockets: int) -> Bounds:
    """Viewers hold up to a third of the descriptors, bad clients the like; the rest is for media hosts, the
    journal, peers and the program. A set-up that waits holds up to 16 KiB, one that plays far less; each may
    fill an eighth of the memory, as may what is unsent."""
    eighth = memory_mb * (1 << 20) / 8
    conns = max(8, sockets * 5 // 8)
    return Bounds(
        viewer_conns=conns,
        host_lines=max(8, sockets // 4),
        out_bytes=max(65536, int(eighth / conns)),
        waiting=max(64, int(eighth / 16384)),
        viewings=max(256, int(eighth / 2048)),
    )
