"""`python -m ledgehitch.platform`: one gateway on the platform, as its environment tells it."""

import gc
import os
import resource
import signal
import sys
import time

from ledgehitch.brain import Gateway
from ledgehitch.facts import BadFact, facts_from, reach_of
from ledgehitch.gate import SendGuard
from ledgehitch.interface import Row
from ledgehitch.loop.kernel import Event, Loop
from ledgehitch.loop.sockets import Listener, endpoint
from ledgehitch.platform.bounds import bounds_of
from ledgehitch.platform.carry import Carrier
from ledgehitch.platform.desk import Desk
from ledgehitch.platform.front import Front
from ledgehitch.platform.hosts import Hosts
from ledgehitch.platform.journal import Journal
from ledgehitch.platform.life import Life
from ledgehitch.platform.log import log
from ledgehitch.platform.lost import Watch
from ledgehitch.platform.peers import Peers
from ledgehitch.platform.told import Told, read, rows_of

SWEEP = 0.25  # seconds between looks for connections to close
SAY = 5.0  # seconds between lines of counts in the log


def told_from(path: str) -> Told:
    """Raises `BadFact`, or `OSError` for a file that is not there."""
    with open(path, "rb") as file:
        told = read(file.read())
    # Guards against a reload that takes addresses from a file whose settings no gateway would start with.
    facts_from(told.settings)
    reach_of(told.settings)
    return told


class Running:
    def __init__(self, loop: Loop, told: Told, path: str) -> None:
        now = time.monotonic()
        self.loop, self.path = loop, path
        facts = facts_from(told.settings)
        ladder, packages, fleet, terms = facts
        # Guards against a machine that allows fewer descriptors than the configuration says.
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        sockets = told.sockets if allowed < 0 else min(told.sockets, allowed)
        reach, bounds = reach_of(told.settings), bounds_of(told.memory_mb, sockets)
        brain = Gateway(told.seed, now, *facts)
        self.life = Life(max((p.patience for p in packages), default=0.0))
        watch, desk = Watch(fleet.told_every), Desk()
        hosts = Hosts(loop, reach, watch, bounds.host_lines, bounds.out_bytes, fleet.load_fields)
        self.peers: Peers | None = None
        self.carrier = Carrier(loop, brain, desk, SendGuard(terms.drain_grace), watch, hosts, self._tell)
        if told.peer_listen and terms.may_tell:
            self.peers = Peers(loop, told.peer_listen, told.peers, self.carrier.peer_said)
        hosts.carrier = self.carrier
        front = Front(loop, self.carrier, self.life, {p.name: p for p in packages}, fleet, ladder, bounds)
        self.carrier.front = front
        self.journal = Journal(loop, self.carrier, told.journal, self._known(now, told), told.seed)
        self.journal.home = hosts.home = front.home = loop.first
        self.listener = Listener(loop, endpoint(told.listen))

    def _tell(self, words: bytes, to: int) -> None:
        if self.peers is not None:
            self.peers.tell(words, to)

    def _known(self, now: float, told: Told) -> int:
        """Takes in what the journal had told before this start, as one list; gives the last number."""
        held: dict[str, tuple[Row, str]] = {}
        last = 0
        for pos, entry in told.known:
            last = max(last, pos)
            news = rows_of(entry, time.time() - time.monotonic())
            if news is None:
                continue
            how, rows = news
            if how == "total":
                held = {}
            for row, address in rows:
                held[row.host] = (row, address)
        rows = [(row, at) for row, at in held.values() if row.state != "terminated"]
        self.carrier.listed(now, "warm_copy", rows)
        return last

    def start(self) -> None:
        front, spawn = self.carrier.front, self.loop.spawn
        spawn(front.serve, self.listener, name="front")
        self.journal.start()
        if self.peers is not None:
            spawn(self.peers.run, name="peers")
        self.life.serves()
        self.said_at = self.loop.now
        self.loop.call_at(self.loop.now + SWEEP, self._sweep)

    def _sweep(self) -> None:
        now = self.loop.now
        self.loop.call_at(now + SWEEP, self._sweep)  # first, so that a fault does not end the sweeping
        self.carrier.sweep(now)
        if now - self.said_at >= SAY:
            self.said_at = now
            self.say()

    def say(self) -> None:
        c, f, h = self.carrier, self.carrier.front, self.carrier.hosts
        aside = sum(x.aside_until > self.loop.now for x in c.brain.hosts.values())
        try:
            with open("/proc/self/statm") as pages:
                held = int(pages.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") >> 10
        except OSError:  # no descriptor is free: the counts matter most then
            held = -1
        log(
            "counts",
            waiting=c.desk.waiting,
            playing=len(c.desk.by_viewing_id) - c.desk.waiting,
            conns=len(f.conns),
            aside=aside,
            lines=h.count,
            opened=h.opened,
            spoilt=h.spoilt,
            refused=f.refused,
            off=f.turned_off,
            room=f.made_room,
            calls=self.journal.calls,
            doubled=self.journal.doubled,
            unread=self.journal.unread,
            pos=self.journal.pos,
            strangers=self.peers.refused if self.peers is not None else 0,
            kb=held,
            cpu=f"{time.process_time():.2f}",
            lag=f"{self.loop.lag.quantile(0.99)}/{self.loop.lag.worst:.3f}",
            **c.counts,
        )
        self.loop.lag.worst = 0.0

    def reload(self) -> None:
        """Reads the configuration anew: another journal address or other peers are used at once."""
        try:
            told = told_from(self.path)
        except (OSError, BadFact) as why:
            log("reload-failed", why=str(why))
            return
        log("reloaded", journal=told.journal)
        self.journal.move(told.journal)
        if self.peers is not None:
            self.peers.told(told.peers)

    def ends(self) -> None:
        """After SIGTERM: until all that was taken is answered, and what plays has had its time."""
        self.life.term(self.loop.now)
        log("ends")
        carrier, called = self.carrier, False
        while True:
            now, waiting = time.monotonic(), carrier.desk.waiting
            if self.life.last_call(now) and not called:
                called = True
                carrier.last_call(now)
            unsent = carrier.front.unsent + carrier.hosts.unsent
            if self.life.exits(now, waiting, len(carrier.desk.by_viewing_id) - waiting, unsent):
                return
            self.loop.sleep(0.05)


def main() -> int:
    path = os.environ.get("ROUTER_CONFIG", "")
    try:
        if not path:
            raise BadFact("ROUTER_CONFIG is not set")
        told = told_from(path)
    except (OSError, BadFact) as why:
        print(f"ledgehitch.platform: {path}: {why}", file=sys.stderr)
        return 2
    loop = Loop()

    def run() -> int:
        over = Event(loop)
        running: list[Running] = []

        def on(number: int) -> None:
            if number == signal.SIGHUP:
                if running:
                    running[0].reload()
            else:
                over.set(number)

        loop.on_signals([signal.SIGTERM, signal.SIGINT, signal.SIGHUP], on)
        try:
            running.append(Running(loop, told, path))
        except (OSError, BadFact) as why:
            print(f"ledgehitch.platform: {path}: {why}", file=sys.stderr)
            return 2
        # Guards against pauses of the collector that grow with the viewings held: what is here now stays.
        gc.collect()
        gc.freeze()
        running[0].start()
        log("serves", gateway=told.name, at=told.listen, pid=os.getpid())
        over.wait()
        running[0].ends()
        running[0].say()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            # Guards against a signal at the very last, whose handler is gone by then, that ends the process.
            signal.signal(number, signal.SIG_IGN)
        return 0

    return int(loop.run(run))


if __name__ == "__main__":
    sys.exit(main())
