"""One answer of a media host never arrives, and its connection stays open without being of further use."""

import asyncio

from rig2.stand_ins import TROUBLE, Proxy, Stage, not_released, run_case

TAGS = [f"{0x6000 + i:016x}" for i in range(24)]
SPOILT = f"{0x6100:016x}"


async def play(stage: Stage) -> str:
    host = stage.hosts[0]
    await host.start()
    proxy = Proxy(stage.record, host)
    await proxy.start()
    await stage.prepare()
    await stage.start()
    await stage.warm_up()
    await stage.play(TAGS, 0.05, copies=1)
    await asyncio.sleep(1)
    if TROUBLE:
        number = host.sessions[TAGS[0]].link.number
        stage.record("network", f"from now on connection {number} stays open and brings nothing")
        proxy.mute.add(number)
    stage.viewers.set_up(SPOILT, copies=1)
    # The viewings come to their ends one after the other while the traffic goes on.
    for number, tag in enumerate(TAGS):
        await asyncio.sleep(0.15)
        host.end(tag)
        if number % 4 == 0:
            stage.viewers.set_up(f"{0x6200 + number:016x}", copies=1)
    for number in range(20):
        await asyncio.sleep(0.5)
        stage.viewers.set_up(f"{0x6300 + number:016x}", copies=1)
    late = not_released(stage, TAGS)
    if stage.crashed:
        return "the gateway crashed"
    return f"sessions that are over and were never released: {late}" if late else ""


if __name__ == "__main__":
    run_case(play)
