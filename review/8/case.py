"""The journal service is slow: it answers each call after 2 s, and from then on tells everything at once."""

import asyncio

from rig2.stand_ins import TROUBLE, Stage, run_case

COUNTS_AS_TOLD_S = 4.0  # after a journal service went silent, at the latest
GRACE_S = 1.05  # rules.stopSendingWithin, and 50 ms by which each limit is longer on sockets


async def play(stage: Stage) -> str:
    host = stage.hosts[0]
    await stage.prepare()
    if TROUBLE:
        stage.journal.answers_after = 2.0
    await stage.start()
    await stage.warm_up()
    pos = await stage.journal.add([host.row("draining")])
    told = stage.journal.added[pos] + COUNTS_AS_TOLD_S
    for number in range(150):
        stage.viewers.set_up(f"{0x8000 + number:016x}")
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    stage.record("case", f"the event counts as told at {told - stage.record.began:.3f}")
    late = [at for at, _, _ in host.started if at > told + GRACE_S]
    if stage.crashed:
        return "the gateway crashed"
    after = max(late, default=told) - told
    return f"{len(late)} set-ups to a host that drains, up to {after:.1f} s after it was told" if late else ""


if __name__ == "__main__":
    run_case(play)
