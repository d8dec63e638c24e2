"""Case 3: with sixteen times the media hosts, releases never reach their viewers."""

import asyncio
import copy
import random
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s  # noqa: E402

USUAL_HOSTS, LARGE_FACTOR = 12, 16
HOSTS = USUAL_HOSTS * (LARGE_FACTOR if s.TROUBLE else 1)
HOSTS_OF_A_RACK = 4
MEMORY_MB, DESCRIPTORS = 64, 256
ASKED_PER_S = 25.0
ASKED_S = 50.0  # viewings are asked for so long
LENGTHS_S = (8.0, 24.0)
RELEASE_WITHIN_S = 8.0  # from the session's end, where no release could be sent
SEED = 43


def settings() -> dict[str, Any]:
    """The capacity of all media hosts together is the same at both sizes."""
    share = USUAL_HOSTS * LARGE_FACTOR // HOSTS
    changed = copy.deepcopy(s.SETTINGS)
    changed["familyInfo"].update(
        racks=HOSTS // HOSTS_OF_A_RACK,
        linkUnitKb=7848.0 * share,
        linksKb=7848.0 * share * HOSTS,
        uplinkKb=22399.0 * share,
        kindSlots=[34 * share],
    )
    return changed


async def case(record: s.Record) -> int:
    chance = random.Random(SEED)
    facts = settings()
    ended: dict[str, tuple[float, str]] = {}  # when and where a session came to its end at its media host

    def on_over(host: s.MediaHost, tag: str, cause: int) -> None:
        if cause == 16:
            ended[tag] = record.now, host.name

    journal = s.Journal(record)
    await journal.start()
    hosts = [s.MediaHost(record, f"s-{i:08x}", facts, SEED + i) for i in range(HOSTS)]
    members = []
    for i, host in enumerate(hosts):
        await host.start()
        host.on_over = on_over
        host.length_s = lambda h=host: h.random.uniform(*LENGTHS_S)  # type: ignore[misc]
        members.append(s.member(host, "ready") | {"cell": i})
    known = [journal.add(members, complete=True)]
    gateway = s.Gateway(record, facts, journal.address, known)
    gateway.config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    gateway.start()
    try:
        if not await gateway.ready():
            print("the gateway was not ready in time")
            return 2
        viewings: dict[str, s.Viewing] = {}
        fronts = [s.Front(record, gateway.listen, f"f{i}", viewings) for i in range(4)]
        asked_until = record.now + ASKED_S
        while record.now < asked_until:
            await chance.choice(fronts).ask(f"{chance.getrandbits(64):016x}", 3.0)
            await asyncio.sleep(chance.expovariate(ASKED_PER_S))
        # Sessions that ended late get their whole time.
        judged_until = record.now
        await asyncio.sleep(RELEASE_WITHIN_S + s.SLACK_S + 0.5)
        opened = sum(host.opened for host in hosts)
        return judge(record, viewings, ended, judged_until, opened)
    finally:
        gateway.clean()


def judge(
    record: s.Record,
    viewings: dict[str, s.Viewing],
    ended: dict[str, tuple[float, str]],
    until: float,
    opened: int,
) -> int:
    served = judged = never = late = 0
    for viewing in viewings.values():
        if not (viewing.answers and viewing.answers[0][1] == 200):
            continue
        served += 1
        end = ended.get(viewing.tag)
        if end is None or end[0] > until or viewing.answers[0][2] != f"{end[1]}:{viewing.tag}\r\n":
            continue
        judged += 1
        if viewing.released_at is None or viewing.released_at > end[0] + RELEASE_WITHIN_S + s.SLACK_S:
            never += viewing.released_at is None
            late += viewing.released_at is not None
            after = "-" if viewing.released_at is None else f"{viewing.released_at - end[0]:.2f}"
            record("LOST", tag=viewing.tag, host=end[1], ended=f"{end[0]:.3f}", released_after=after)
    text = f"hosts={HOSTS} asked={len(viewings)} served={served} ended={judged} released_too_late={late}"
    text += f" not_released={never} connections_to_hosts={opened}"
    record("verdict", result=text)
    print(text)
    if judged < 100:
        print("too few sessions came to their end")
        return 2
    return 1 if late + never else 0


if __name__ == "__main__":
    sys.exit(s.play(Path(__file__).resolve().parent / "record.txt", case))
