"""What a gateway holds for clients and media hosts stays within the memory that its configuration states."""

import socket
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest

from ledgehitch import rtsp
from ledgehitch.loop import Loop, Stream, endpoint
from ledgehitch.platform.buffered_writer import BufferedWriter
from ledgehitch.platform.byte_budget import ByteBudget
from ledgehitch.platform.resource_limits import VIEWING_BYTES, limits_for
from tests.test_crossings import run_on_loop, running_gateway
from tests.test_platform_sockets import Harness, on_loop, session_id

MEMORY_MB = 32  # the least that the platform gives a gateway
DESCRIPTORS = 1024  # the most
BAD_CLIENTS = 600
SET_UPS_EACH = 4
LONG_DESCRIPTION = ("s=Recipe \N{COOKING}" + "." * 15000)[:15000]
WATCHED_S = 6.0
FIELDS = [("X-Tier", "clip"), ("X-Deadline", "3000"), ("X-Attrs", "home:0;copies:6;top:2")]


def private_mb(pid: int) -> float:
    """Returns the megabytes of a process that it shares with no other."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) for line in lines if line.startswith("Private_")) / 1024


def connect_and_send(address: tuple[str, int], data: bytes) -> socket.socket:
    client = socket.create_connection(address)
    client.setblocking(False)
    client.send(data)
    return client


def is_closed(client: socket.socket) -> bool:
    """Reads what came; returns whether the gateway closed the connection."""
    try:
        while data := client.recv(65536):
            del data
        return True
    except BlockingIOError:
        return False
    except OSError:
        return True


def long_set_ups(client: int) -> bytes:
    return b"".join(
        rtsp.request(
            "SETUP",
            "rtsp://media/7f3a",
            "1",
            session_id(1000 + SET_UPS_EACH * client + number),
            FIELDS,
            LONG_DESCRIPTION.encode(),
        )
        for number in range(SET_UPS_EACH)
    )


def incomplete_message(client: int) -> bytes:
    return long_set_ups(client)[:15000]


def many_fields(client: int) -> bytes:
    """Returns a head of as many fields as fit, whose body does not come."""
    fields = "".join(f"{number:x}:\r\n" for number in range(0x1000, 0x1000 + 2200))
    return f"SETUP rtsp://media/7f3a RTSP/1.0\r\n{fields}Content-Length: 9\r\n\r\n".encode()


@pytest.mark.parametrize("message", [long_set_ups, incomplete_message, many_fields])
def test_hundreds_of_clients_with_long_messages_who_come_again_stay_within_the_memory_limit(
    message: Callable[[int], bytes],
) -> None:
    # Guards against review case 2: long descriptions, and what connections hold of messages, went uncounted.
    def play(loop: Loop) -> None:
        with tempfile.TemporaryDirectory() as folder:
            harness = Harness(loop, 6, Path(folder), {}, DESCRIPTORS)
            clients = []
            try:
                viewer = harness.wait_ready()
                address = endpoint(harness.listen).address
                for number in range(BAD_CLIENTS):
                    clients.append(connect_and_send(address, message(number)))
                until, peak = time.monotonic() + WATCHED_S, 0.0
                viewer.set_up(1)
                while time.monotonic() < until:
                    for number, client in enumerate(clients):
                        if is_closed(client):
                            client.close()
                            clients[number] = connect_and_send(address, message(number))
                    peak = max(peak, private_mb(harness.process.pid))
                    loop.sleep(0.02)
                assert peak < MEMORY_MB, peak
                assert viewer.answer()[0] in ("200", "453", "503"), "usual viewers are answered meanwhile"
                assert harness.process.poll() is None
            finally:
                for client in clients:
                    client.close()
                harness.process.kill()
                harness.process.wait()

    run_on_loop(play)


@on_loop
def test_viewings_that_are_handed_over_are_counted_against_the_limit(loop: Loop) -> None:
    # A client that knows the name of a media host could hand over any number of them.
    limit = limits_for(MEMORY_MB, 256).viewings
    with running_gateway(loop, hosts=1) as (_, viewer):
        attributes = "home:0;copies:6;top:2;at:s-0"
        fields = [("X-Tier", "clip"), ("X-Attrs", attributes)]
        for number in range(1, limit + 2):
            viewer.send("SETUP", number, fields=fields)
        assert viewer.answer() == ("503", session_id(limit + 1), "")


@pytest.mark.parametrize("memory_mb", [32.0, 64.0, 192.0])
@pytest.mark.parametrize("sockets", [256, 1024])
def test_all_shares_of_the_memory_together_are_at_most_half_of_it(memory_mb: float, sockets: int) -> None:
    # Unsent data of each connection, at its limit, came to 42 MB for 640 viewers, whatever the memory was.
    limits = limits_for(memory_mb, sockets)
    held = limits.pending * rtsp.MAX_MESSAGE_BYTES + limits.partial_bytes + 2 * limits.unsent_bytes
    held += limits.viewings * VIEWING_BYTES
    assert held <= memory_mb * (1 << 20) / 2


class DeafStream:
    """A stream whose peer reads nothing."""

    fd = 1

    def send_nowait(self, data: bytes) -> bytes:
        return data


@on_loop
def test_the_peer_that_reads_least_is_closed_when_all_together_have_too_much_unsent(loop: Loop) -> None:
    class NoPoll:
        """The part of the loop that a writer uses, without descriptors."""

        def on_writable(self, fd: int, call: Any) -> None: ...

        def call_soon(self, call: Callable[[], None]) -> None:
            call()

    budget: ByteBudget[BufferedWriter] = ByteBudget(limit=1000, limit_each=600)
    closed: list[str] = []
    writers = {
        name: BufferedWriter(
            cast(Loop, NoPoll()),
            cast(Stream, DeafStream()),
            budget,
            lambda name=name: closed.append(name),  # type: ignore[misc]
        )
        for name in ("first", "largest", "last")
    }
    assert writers["first"].write(b"x" * 300) and writers["largest"].write(b"x" * 500)
    assert writers["last"].write(b"x" * 400) and closed == ["largest"], "who holds most gives way"
    assert budget.total == 700 and not writers["largest"].write(b"x")
    assert not writers["last"].write(b"x" * 201) and closed == ["largest", "last"], "one alone holds too much"
    writers["first"].close()
    assert budget.total == 0 and closed == ["largest", "last"]
