"""Resource limits of a gateway on the platform, derived from the limits of its machine. Free of I/O."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ResourceLimits:
    """Upper limits on the connections, set-ups and viewings of a gateway."""

    viewer_connections: int
    host_connections: int
    max_hosts: int  # media hosts with viewings from which on others are avoided
    send_buffer_bytes: int  # unsent bytes of one connection
    unsent_bytes: int  # unsent bytes of all viewers' connections, and as many of those to media hosts
    partial_bytes: int  # incomplete messages of all viewers' connections
    pending: int  # set-ups without a response
    viewings: int

    def reached(self, pending: int, viewings: int) -> bool:
        """Whether no further set-up is accepted."""
        return pending >= self.pending or viewings >= self.viewings


# Descriptors for the program itself: three standard ones, two for signals, the listener, peers, four for the
# journal while its address changes, one being accepted, one for reading the memory use, one to spare.
RESERVED_DESCRIPTORS = 14
MAX_HOSTS = 64  # more connections than that to a large fleet of small media hosts are not worth their cost
SETUP_BYTES = 16384  # of a pending set-up: the longest message
VIEWING_BYTES = 3072  # of a viewing that plays
MIN_SEND_BUFFER_BYTES = 65536  # several of the longest messages
MIN_PENDING, MIN_VIEWINGS = 64, 256


def limits_for(memory_mb: float, sockets: int) -> ResourceLimits:
    """Returns the limits for a machine with this memory and number of descriptors.

    Up to a third of the descriptors is for viewers, and some are for misbehaving clients. The rest is for
    media hosts and the program, whose share does not depend on the number of clients. Pending set-ups,
    playing viewings, incomplete messages and unsent data may fill an eighth of the memory each.
    """
    eighth = memory_mb * (1 << 20) / 8
    shared = sockets - max(RESERVED_DESCRIPTORS, sockets // 8)
    viewer_connections = max(1, shared * 4 // 7)
    host_connections = max(1, shared - viewer_connections)
    return ResourceLimits(
        viewer_connections=viewer_connections,
        host_connections=host_connections,
        max_hosts=min(MAX_HOSTS, max(1, host_connections * 7 // 8)),
        send_buffer_bytes=max(MIN_SEND_BUFFER_BYTES, int(eighth / viewer_connections)),
        unsent_bytes=int(eighth / 2),
        partial_bytes=int(eighth),
        pending=max(MIN_PENDING, int(eighth / SETUP_BYTES)),
        viewings=max(MIN_VIEWINGS, int(eighth / VIEWING_BYTES)),
    )
