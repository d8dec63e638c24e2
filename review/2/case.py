"""Case 2: clients that send hundreds of long set-ups at once take a gateway over its memory limit."""

import asyncio
import itertools
import json
import logging
import random
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s  # noqa: E402

HOSTS = 6
ASKED_PER_S = 10.0  # by the usual viewers
MEMORY_MB, DESCRIPTORS = 64, 1024
BAD_CONNECTIONS, SET_UPS_EACH = 600, 4
BAD_FROM_S, END_S = 10.0, 22.0  # they come once
SEED = 43
# The set-up and the line that a media host gets for it are both shorter than 16 KiB.
DESCRIPTION = ("s=Recipe \N{COOKING}" + "." * 15000)[:15000]


def private_mb(pid: int) -> float:
    """Memory that no other process shares: code and data of files that may be shared are not counted."""
    total = 0
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith(("Private_Clean:", "Private_Dirty:")):
            total += int(line.split()[1])
    return total / 1024


def resident_mb(pid: int) -> float:
    """Resident memory by the kernel's count, for the record only."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills the gateway as soon as its memory is over the limit, as the deployment page says."""

    def __init__(self, record: s.Record, gateway: s.Gateway) -> None:
        self.record, self.gateway = record, gateway
        self.peak_mb = self.peak_resident_mb = 0.0
        self.killed_at: float | None = None
        self.ended_at: float | None = None  # without a signal of this platform

    async def watch(self) -> None:
        process = self.gateway.process
        assert process is not None
        told = 0.0
        while True:
            await asyncio.sleep(0.05)
            if process.poll() is not None:
                self.ended_at = self.record.now
                self.record("gateway-ended", status=process.returncode)
                return
            used = private_mb(process.pid)
            self.peak_mb = max(self.peak_mb, used)
            self.peak_resident_mb = max(self.peak_resident_mb, resident_mb(process.pid))
            if self.record.now - told >= 1.0:
                told = self.record.now
                self.record("memory", private=f"{used:.1f}", resident=f"{resident_mb(process.pid):.1f}")
            if used > MEMORY_MB:
                self.killed_at = self.record.now
                self.record("KILLED-FOR-MEMORY", private=f"{used:.1f}", limit=MEMORY_MB)
                process.send_signal(signal.SIGKILL)
                process.wait()
                return


async def send_many(gateway: str, set_ups: list[bytes], replies: Counter[str]) -> None:
    """One bad client: sends its set-ups at once and reads what comes for the 3 s in which a reply is owed."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*s.split(gateway))
        writer.writelines(set_ups)
        async with asyncio.timeout(3.0):
            while data := await reader.read(65536):
                for status in (b" 200 ", b" 453 ", b" 500 ", b" 503 "):
                    replies[status.decode().strip()] += data.count(b"RTSP/1.0" + status)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()


async def case(record: s.Record) -> int:
    chance = random.Random(SEED)
    journal = s.Journal(record)
    await journal.start()
    hosts = [s.MediaHost(record, f"s-{i:08x}", s.SETTINGS, SEED + i) for i in range(HOSTS)]
    for host in hosts:
        await host.start()
    known = [journal.add([s.member(host, "ready") for host in hosts], complete=True)]
    gateway = s.Gateway(record, s.SETTINGS, journal.address, known)
    gateway.config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    gateway.start()
    bad: list[asyncio.Task[None]] = []
    try:
        if not await gateway.ready():
            print("the gateway was not ready in time")
            return 2
        platform = Platform(record, gateway)
        watching = asyncio.create_task(platform.watch())
        viewings: dict[str, s.Viewing] = {}
        fronts = [s.Front(record, gateway.listen, f"f{i}", viewings) for i in range(4)]
        replies: Counter[str] = Counter()
        numbers = itertools.count(1)
        fields = [("X-Tier", "clip-play"), ("X-Deadline", "3000")]
        fields.append(("X-Attrs", "home:0;copies:1;top:3;viewer:00000000b4d65521"))

        def set_up() -> bytes:
            tag = f"bad0{next(numbers):012x}"
            return s.rtsp("SETUP", "rtsp://media/9d41c07a5be2f318", 1, tag, fields, DESCRIPTION)

        opts = {"class": "clip-play", "key": "9d41c07a5be2f318", "left": "3000", "rung": 0}
        line = {"verb": "START", "tag": "0" * 16, "opts": opts, "blob": DESCRIPTION}
        assert len(set_up()) < 16384 and len(json.dumps(line)) < 16384
        logging.getLogger("asyncio").setLevel(logging.ERROR)  # it warns of each write to a killed gateway
        began = record.now
        ask_at = began
        while not watching.done() and record.now < began + END_S:
            if s.TROUBLE and not bad and record.now - began > BAD_FROM_S:
                record("bad-clients-come", connections=BAD_CONNECTIONS, set_ups_each=SET_UPS_EACH)
                for _ in range(BAD_CONNECTIONS):
                    set_ups = [set_up() for _ in range(SET_UPS_EACH)]
                    bad.append(asyncio.create_task(send_many(gateway.listen, set_ups, replies)))
            if record.now >= ask_at:
                ask_at = record.now + chance.expovariate(ASKED_PER_S)
                await chance.choice(fronts).ask(f"{chance.getrandbits(64):016x}", 3.0)
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        crashed = platform.killed_at is not None or platform.ended_at is not None
        record("bad-clients-heard", **{f"status_{status}": count for status, count in replies.items()})
        played = [v for v in viewings.values() if v.answers and v.answers[0][1] == 200]
        cut = sum(v.released_at is None for v in played) if crashed else 0
        unanswered = sum(v.cut_at is not None for v in viewings.values())
        text = f"asked={len(viewings)} served={len(played)} peak_mb={platform.peak_mb:.1f}"
        text += f" resident_mb={platform.peak_resident_mb:.1f} limit_mb={MEMORY_MB} crashed={crashed}"
        text += f" viewings_cut={cut} set_ups_unanswered={unanswered}"
        record("verdict", result=text)
        print(text)
        if len(played) < 50:
            print("too few viewings were served")
            return 2
        return 1 if crashed else 0
    finally:
        for task in bad:
            task.cancel()
        gateway.clean()


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent / "record.txt", case))
