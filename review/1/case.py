"""Case 1: a few clients that send one unreadable message each hang a gateway."""

import asyncio
import itertools
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s  # noqa: E402

HOSTS = 6
ASKED_PER_S = 10.0  # by the usual viewers
PATIENCE_S = 3.0
LATE_S = 0.5  # an answer that comes later than this after its time counts as lost, by the standing test
BAD_CLIENTS = 8
BAD_FROM_S, BAD_FOR_S, ASKED_S = 10.0, 20.0, 32.0
JUDGED_AFTER_S = 25.0  # time for what is still unanswered
SEED = 43
# One field of blanks and a letter outside ASCII. It is shorter than 16 KiB as a whole.
UNREADABLE = (
    "SETUP rtsp://media/9d41c07a5be2f318 RTSP/1.0\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\n"
    "X-Attrs:" + " " * 16000 + "\N{LATIN SMALL LETTER E WITH ACUTE}\r\nContent-Length: 0\r\n\r\n"
).encode()


async def send_unreadable(
    record: s.Record, gateway: str, number: int, until: float, waits: list[float]
) -> None:
    """One bad client: sends the message, reads what comes, and sends it again when turned away."""
    while record.now < until:
        writer = None
        began = record.now
        record("bad-client-sends", client=number, octets=len(UNREADABLE))
        try:
            reader, writer = await asyncio.open_connection(*s.split(gateway))
            writer.write(UNREADABLE)
            reply = await reader.read()
            record("bad-client-heard", client=number, after=f"{record.now - began:.3f}", reply=reply[:32])
        except OSError as error:
            record("bad-client-closed", client=number, after=f"{record.now - began:.3f}", why=error)
        finally:
            waits.append(record.now - began)
            if writer is not None:
                writer.close()
        await asyncio.sleep(0.05)


async def test_gateway(record: s.Record, gateway: str, waits: list[float]) -> None:
    """The front: tests the gateway each second on a new connection and notes how long the answer took."""
    while True:
        began = record.now
        waits.append(0.0)
        try:
            reader, writer = await asyncio.open_connection(*s.split(gateway))
            try:
                writer.write(s.rtsp("OPTIONS", "rtsp://media/ping", 3, "", []))
                async with asyncio.timeout(60.0):
                    await reader.readuntil(b"\r\n\r\n")
            finally:
                writer.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            record("test-failed", why=repr(error))
        waits[-1] = record.now - began
        if waits[-1] > 0.5:
            record("test-late", after=f"{waits[-1]:.3f}")
        await asyncio.sleep(1.0)


async def case(record: s.Record) -> int:
    chance = random.Random(SEED)
    journal = s.Journal(record)
    await journal.start()
    hosts = [s.MediaHost(record, f"s-{i:08x}", s.SETTINGS, SEED + i) for i in range(HOSTS)]
    for host in hosts:
        await host.start()
    known = [journal.add([s.member(host, "ready") for host in hosts], complete=True)]
    gateway = s.Gateway(record, s.SETTINGS, journal.address, known)
    gateway.start()
    tasks: list[asyncio.Task[None]] = []
    try:
        if not await gateway.ready():
            print("the gateway was not ready in time")
            return 2
        viewings: dict[str, s.Viewing] = {}
        fronts = [s.Front(record, gateway.listen, f"f{i}", viewings) for i in range(4)]
        tests: list[float] = []
        bad_waits: list[float] = []
        tasks.append(asyncio.create_task(test_gateway(record, gateway.listen, tests)))
        began = record.now
        bad = itertools.count(1)
        while record.now < began + ASKED_S:
            if s.TROUBLE and len(tasks) == 1 and record.now - began > BAD_FROM_S:
                record("bad-clients-come", clients=BAD_CLIENTS)
                until = record.now + BAD_FOR_S
                tasks += [
                    asyncio.create_task(send_unreadable(record, gateway.listen, next(bad), until, bad_waits))
                    for _ in range(BAD_CLIENTS)
                ]
            await chance.choice(fronts).ask(f"{chance.getrandbits(64):016x}", PATIENCE_S)
            await asyncio.sleep(chance.expovariate(ASKED_PER_S))
        waited = record.now
        while record.now < waited + JUDGED_AFTER_S and (
            any(not v.answers for v in viewings.values()) or record.now < waited + PATIENCE_S + 1
        ):
            await asyncio.sleep(0.1)
        return judge(record, viewings, tests, bad_waits)
    finally:
        for task in tasks:
            task.cancel()
        gateway.clean()


def judge(record: s.Record, viewings: dict[str, s.Viewing], tests: list[float], bad: list[float]) -> int:
    bound = PATIENCE_S + LATE_S + s.SLACK_S
    served = late = never = 0
    for viewing in viewings.values():
        if viewing.answers and viewing.answers[0][0] <= viewing.asked_at + bound:
            served += viewing.answers[0][1] == 200
        elif viewing.answers:
            late += 1
            after = f"{viewing.answers[0][0] - viewing.asked_at:.2f}"
            record("LOST", tag=viewing.tag, answered_after=after, status=viewing.answers[0][1])
        elif record.now > viewing.asked_at + bound:
            never += 1
            record("LOST", tag=viewing.tag, answered_after="-", cut=viewing.cut_at is not None)
    text = f"asked={len(viewings)} served={served} answered_too_late={late} never_answered={never}"
    text += f" longest_test={max(tests):.1f}s bad_messages={len(bad)}"
    text += f" bad_clients_waited={max(bad, default=0.0):.1f}s"
    record("verdict", result=text)
    print(text)
    if served < 50:
        print("too few viewings were served")
        return 2
    return 1 if late + never else 0


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent / "record.txt", case))
