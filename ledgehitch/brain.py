"""Every decision of a gateway: where a viewing is set up, at which rung it plays, what is blocked or aborted.

How to call it: make a `Gateway(seed, now, ladder, packages, fleet, terms)`. Hand it what happens through the
methods `on_<event>`, which only update what is known. Then pull `decide(now)` until it gives None, carrying
out each decision as it comes (pulled is done) and handing in nothing meanwhile; again after the next events
or when the clock reaches `wake_at()`. Types are in `ledgehitch/interface.py`; the mechanism's source and each
departure from it are in `docs/design.md`.
"""

import math
import random
import struct
import zlib
from bisect import bisect_right
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from itertools import accumulate
from statistics import median

from ledgehitch import interface as say
from ledgehitch.interface import Decision, Fleet, Ladder, Outcome, Package, Row, Terms

NEW, OLD = 3, 8  # weights of the estimate, as in the paper: a lower NEW climbs slower after pressure
TICK = 3.0  # seconds between looks at a media host's viewings: shorter reacts faster, on fewer readings
HOLD = 8.0  # a viewing that stepped keeps its rung so long: shorter follows the room, dearer in changes
MARK = 0.95  # share of link and uplink that admission and climbs may fill: higher earns more, jams more
PRESSED = 0.98  # above this the room counts as negative and viewings step down before delivery is short
GRADE = 0.45  # how much lower it is where a step earns next to nothing a kB: more leaves room to cheap steps
SHORT = 0.98  # a delivered share under this is short
CROSS_BIAS = 3.0  # use that a holder in another zone counts as extra, for each unit of the crossing price
TRIED = 0.5  # use that a holder counts as extra for a viewing that it failed
SECOND = 0.25  # weight of the emptier of link and uplink when the least used holder is sought
LOWEST_RUNG_MAX_USE = 0.9  # lowest-rung admissions may fill up to this: more blocks less, jams more
WAIT_PART = 0.4  # part of the join target that a viewing may wait for a holder before it is blocked
WORST = 3.0  # a use read as more counts as this, so that one that stands still is forgotten in time
HASTE = 1.5  # so many times its part may a gateway step down on short delivery: more drops deeper, sooner
SHORT_FOR = 2.5  # seconds that a short note counts when no further one comes
NEWS = 0.5  # weight of a use that is reported against the one that was predicted: reports are noisy
USUAL, USUAL_NEWS = 0.5, 0.1  # use of a link before any report, weight of each report in the usual one
PRIOR = 0.3  # use by own viewings from which a guess goes by them rather than by the usual use
ENOUGH, ANSWERS = 6, 0.1  # readings from which on none is asked for; seconds that an answer is waited for
REMEMBERED = 64  # own changes since a reading that count: more tell more of a crowded second
DRAWN = 3  # holders without a recent reading that are looked at, drawn by chance: more find an emptier one
TRUST = 1.5  # a reading older than so many telling intervals fades into what is guessed
REPORT_AGE, FORGOTTEN = 0.3, 10.0  # seconds that a load report lags; after which it is not averaged any more
TOGETHER, ALONE = 1.5, 0.5  # hosts short within these seconds blame the uplink, a lone one from this share
LEAST_UPLINK = 0.3  # part of the stated size that short notes may teach an uplink to have: less jams less
BINS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.7, 1.1, 2.0)  # seconds a set-up took, coarse
FORGET = 20.0  # seconds until an uplink told to be short is taken for a usual one again
LATE = 0.99, 2.0  # a tune-in is given up at this quantile of set-ups, times this: lower wastes slow set-ups
MIN_TIMEOUT_S, UNKNOWN, LONGEST = 0.25, 0.45, 0.6  # time-outs: shortest, at first, longest (in join targets)
MIN_SEEN, HALVE_AT = 8, 40  # outcomes after which a histogram is believed, and a media host's tally halved
ILL = 0.25  # a media host whose failures exceed the fleet median by this share is set aside
FAILURES = Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET
IN_A_ROW = 2  # so many failures in a row set aside too, whatever the share
ASIDE, ASIDE_MORE = 4.0, 3.0  # a media host set aside stays so for the first, plus up to the second by chance
COLD_SAFE = 0.8  # part of the budget for cold media hosts that all gateways together plan to use
LIST_LATE = 7.0  # seconds by which a list may lag: a restarted gateway doubts what it does not know so long
OTHERS = 0.3  # with so much of a link asked by others, a media host did not just start
ASK_AGAIN, ASK_MORE = 1.0, 5.0  # seconds until a lost list is asked for again: at least, and more by chance
LOOK = 0.05  # seconds between looks for a holder while viewings wait
FEW = 8  # so many that wait are looked for at any news: more find room sooner and cost more when none is
CHANGE = struct.Struct(">Hh")  # a change told to other gateways: which media host, kB a second
RECEIVERS = 2  # gateways that a word goes to: more tell more, and cost as many times as much
EDGE = 0.03  # seconds kept free before patience ends


class Use:
    """What is asked of a link or uplink over what it gives: the last reading, and own changes since."""

    def __init__(self, cap_kb: float) -> None:
        self.cap_kb = max(cap_kb, 1e-9)
        self.value: float | None = None
        self.at = -math.inf  # never: guards against a clock near 0, at which what was never read looks fresh
        self.changes: deque[tuple[float, float]] = deque()
        self.changed_kb = 0.0  # their sum
        self.version = 0  # counts what was read and changed

    def change(self, now: float, kb: float) -> None:
        if len(self.changes) >= REMEMBERED:
            self.changed_kb -= self.changes.popleft()[1]
        self.changes.append((now, kb))
        self.changed_kb += kb
        self.version += 1

    def read(self, now: float, at: float, value: float, weight: float = 1.0) -> None:
        if value >= 0.0 and at >= self.at:
            done = 0.0  # changes that the reading has seen
            while self.changes and self.changes[0][0] <= at:
                done += self.changes.popleft()[1]
            self.changed_kb = self.changed_kb - done if self.changes else 0.0
            if self.value is not None and now - self.at < FORGOTTEN:
                value = weight * value + (1 - weight) * max(0.0, self.value + done / self.cap_kb)
            self.value, self.at = min(value, WORST), at
            self.version += 1

    def predicted(self, now: float, guess: Callable[[], float], stale: float) -> float:
        """The reading and what this gateway changed since; an old reading fades into the guess."""
        if self.value is None:
            return guess()
        known = max(0.0, self.value + self.changed_kb / self.cap_kb)
        age = max(0.0, now - self.at - stale)
        return known + (guess() - known) * min(1.0, age / stale) if age > 0 else known


class MediaHost:
    def __init__(
        self, number: int, row: Row, link_kb: float, most_sent: int, uplink: Use, rack: list["MediaHost"]
    ) -> None:
        self.number = number  # in the order in which hosts were first named
        self.row, self.uplink, self.rack = row, uplink, rack  # the uplink and the hosts it serves, itself too
        self.mark = zlib.crc32(row.host.encode()) & 0xFFFF  # the same at every gateway
        self.link = Use(link_kb)
        self.listed = False
        self.share_at = -1e9  # when delivery was last told to be short
        self.short = False
        self.told_link = 0.0  # use of its link as last reported, whatever short notes say
        self.viewings: dict[int, Viewing] = {}
        self.own_kb = 0.0  # what they count for
        self.good = self.bad = 0.0
        self.in_a_row = 0
        self.aside_until = -1e9
        self.cold_until = -1e9
        self.doubted = False  # whether it may have started while this gateway was away
        self.sent: deque[float] = deque(maxlen=most_sent)  # when it was last sent set-ups
        self.tick_at = 0.0
        self.uses: tuple[float, float] = (0.0, 0.0)  # of link and uplink, as last worked out for `uses_of`
        self.uses_of: tuple[float, int, int, int] | None = None

    def failing(self) -> float:
        return self.bad / (self.good + self.bad + 2.0)


class Tables:
    """What a package's rungs come to: rates in kB a second, what the step up from each earns a kB, and up to
    where a step to each may fill link and uplink (less where it earns less a kB, to leave room)."""

    def __init__(self, p: Package, rates: Sequence[float], gains: Sequence[float], best: float) -> None:
        self.rates = [kb * p.scale for kb in rates]
        self.worths = [p.value * gain / max(1e-9, p.scale) for gain in gains] + [0.0]
        below = [1e9, *self.worths]
        self.marks = [MARK - GRADE * max(0.0, 1 - below[i] / max(1e-9, best)) ** 2 for i in range(len(rates))]


class Viewing:
    def __init__(
        self, viewing_id: int, package: Package, title: str, cells: tuple[int, int], top: int, tables: Tables
    ) -> None:
        self.vw, self.package, self.title, self.cells, self.top = viewing_id, package, title, cells, top
        self.rates, self.worths, self.marks = tables.rates, tables.worths, tables.marks
        self.patience = self.asked_at = 0.0
        self.host: MediaHost | None = None
        self.rung = package.floor
        self.tune_ins = 0
        self.out = self.playing = self.gone = self.may_have_run = False
        self.looked = False  # whether a holder was looked for since it began to wait
        self.first_at, self.news_at = 0.0, -1.0  # its first tune-in, the first report after set-up
        self.anchor: Row | None = None  # where a tune-in may have run
        self.tried: list[str] = []
        self.erred: list[MediaHost] = []  # hosts that answered it with an error, not judged by that yet
        self.asks: MediaHost | None = None  # the one probed for it
        self.asks_until = -1e9
        self.kb = 0.0  # what it counts for on link and uplink
        self.estimate = self.last = 0.0
        self.low = self.high = package.floor
        self.hold_until = 0.0
        self.sent_at = 0.0  # its last tune-in, as its media host's budget counts it


class Gateway:
    def __init__(
        self, seed: int, now: float, ladder: Ladder, packages: Sequence[Package], fleet: Fleet, terms: Terms
    ) -> None:
        self.chance = random.Random(seed)
        self.started = now
        self.doubts_until = now + min(terms.warm_up, LIST_LATE)
        self.rates = ladder.kb or (1.0,)
        self.earns = ladder.earns or (1.0,)
        self.packages = {p.name: p for p in packages}
        self.fleet, self.terms = fleet, terms
        self.gateways = max(1, terms.gateways)
        self.hosts: dict[str, MediaHost] = {}
        self.named = 0  # media hosts ever named
        self.busy: dict[int, MediaHost] = {}  # those with viewings of this gateway, by number
        self.racks: list[tuple[Use, list[MediaHost]]] = [
            (Use(fleet.uplink_kb or 1e12), []) for _ in range(max(1, fleet.racks))
        ]
        self.viewings: dict[int, Viewing] = {}
        self.waiting: dict[int, Viewing] = {}
        self.took = [0.0] * (len(BINS) + 1)
        self.asked_times: deque[float] = deque()
        self.extra_times: deque[float] = deque()
        steps = zip(self.rates, self.rates[1:], self.earns, self.earns[1:], strict=False)
        self.gains = [(w2 - w1) / max(1e-9, kb2 - kb1) for kb1, kb2, w1, w2 in steps]
        self.best = max((p.value * g / max(1e-9, p.scale) for p in packages for g in self.gains), default=1.0)
        self.stale = max(1.0, TRUST * (fleet.told_every or 2.0))
        self.x1 = "x1" in fleet.load_fields  # whether the use of uplinks is reported
        self.must_probe = fleet.reports == "pull" and terms.may_probe
        # Guards against probes before a set-up, and a wait for each, whose answer tells no use of a link.
        tells = fleet.reports != "silent" and not {"x0", "cpu"}.isdisjoint(fleet.load_fields)
        self.may_ask = terms.may_probe and tells
        self.usual = USUAL  # use of a link, as reports have it lately
        self.inputs = 0  # counts what was told
        self.holders: dict[tuple[int, int], list[MediaHost]] = {}  # by cells, as far as the list says
        self.look_at = now  # when holders are looked for again, for all that wait
        self.tables = {p.name: Tables(p, self.rates, self.gains, self.best) for p in packages}
        self.untold = b""  # changes of own viewings' rates that other gateways have not heard of
        self.plan: Iterator[Decision] | None = None
        self.list_due = now if terms.on_request else None
        budget = COLD_SAFE * terms.fall_multiple * terms.cold_share * terms.fall_after
        self.cold_budget = budget / max(terms.warm_up, 1e-9)  # of all gateways in a window, for each place
        # Guards against a part of the budget larger than what is remembered: it would never be used up.
        largest = max((fleet.slots or {"": 1}).values(), default=1) if terms.warm_up > 0 else 0
        self.most_sent = int(self.cold_budget * largest) // self.gateways + 1

    # ---- what is known -------------------------------------------------------------------------------------

    def on_host_list(self, now: float, how: str, rows: Sequence[Row]) -> None:
        self.inputs += 1
        if how == "lost":
            # Guards against asking so late that what the list said meanwhile counts as heard (rule 3).
            soon = min(1.0, 0.5 * self.terms.ask_within / (ASK_AGAIN + ASK_MORE) or 1.0)
            self.list_due = now + soon * (ASK_AGAIN + ASK_MORE * self.chance.random())
            return
        if how != "warm_copy":
            self.list_due = None
        self.holders = {}
        if how in ("total", "warm_copy"):
            named = {row.host for row in rows}
            for name, known in self.hosts.items():
                known.listed = known.listed and name in named
        for row in rows:
            host = self.hosts.get(row.host)
            if host is None:
                link_kb = row.weight * self.fleet.link_unit_kb or self.fleet.links_kb / len(rows)
                self.named += 1
                # Guards against a host without a place counting on the uplink of a rack that it is not in.
                apart = Use(self.fleet.uplink_kb or 1e12), list[MediaHost]()
                rack = self.racks[row.cell % len(self.racks)] if row.cell >= 0 else apart
                host = MediaHost(self.named, row, link_kb, self.most_sent, *rack)
                host.rack.append(host)
                self.hosts[row.host] = host
                host.tick_at = now + self.chance.random() * TICK
                # Guards against a media host that started while this gateway was away or its list was late.
                host.doubted = how == "warm_copy"
            if row.started > host.row.started or row.state == "in_service" and not host.listed:
                began = row.started or (now if how == "incr" else -1e9)
                host.cold_until = max(host.cold_until, began + self.terms.warm_up)
                host.in_a_row, host.aside_until = 0, -1e9
            host.row, host.listed = row, row.state == "in_service"
        # Guards against memory that grows with each media host that was ever there.
        for host in [h for h in self.hosts.values() if h.row.state == "terminated" and not h.viewings]:
            host.rack.remove(host)
            del self.hosts[host.row.host]

    def on_viewing_request(
        self,
        now: float,
        viewing_id: int,
        package: str,
        title: str,
        first: int,
        spread: int,
        top: int,
        patience: float,
    ) -> None:
        v = self.waiting[viewing_id] = self._viewing(viewing_id, package, title, (first, spread), top)
        v.patience, v.asked_at = patience, min(now, patience - v.package.patience)
        if self.terms.extra_free is not None:
            self.asked_times.append(now)

    def on_viewing_handover(
        self,
        now: float,
        viewing_id: int,
        package: str,
        title: str,
        first: int,
        spread: int,
        top: int,
        host: str,
    ) -> None:
        v = self._viewing(viewing_id, package, title, (first, spread), top)
        v.host, v.tune_ins, v.playing = self.hosts.get(host), 1, True
        if v.host:
            v.host.viewings[viewing_id] = v
            self.busy[v.host.number] = v.host
        self.doubts_until = now  # who is handed viewings was not away, so its list is as good as any
        self._begin(now, v)

    def on_tune_in_success(
        self, now: float, viewing_id: int, host: str, tune_in: int, latency: float
    ) -> None:
        self.inputs += 1
        v = self.viewings.get(viewing_id)
        if v is None or v.playing or v.host is None:
            return
        self._tally(v.host, True)
        self._blame(now, v.erred)
        self.took[sum(latency > edge for edge in BINS)] += 1
        if sum(self.took) > 10 * HALVE_AT:
            self.took = [n / 2 for n in self.took]
        v.out, v.playing = False, True
        self._begin(now, v)

    def on_report(self, now: float, viewing_id: int, host: str, kind: int, value: float) -> None:
        """News on a viewing: 1 the share delivered, 2 its rung, 3 and 4 the use of link and uplink."""
        self.inputs += 1
        v, h = self.viewings.get(viewing_id), self.hosts.get(host)
        if not 0 <= value < math.inf or h is None:
            return
        if kind == 2 and v is not None and v.playing:
            v.rung = int(min(value, len(self.rates) - 1))
            self._begin(now, v)
            v.hold_until = now if self.x1 else v.hold_until  # it did not step: holds until both are reported
        at = now - self.fleet.told_late
        if kind == 1:
            if value < SHORT:
                # Guards against seconds of a fresh shortage passing before the next look.
                h.tick_at = h.tick_at if h.short else now
                h.short, h.share_at = True, now
                self._ran_short(now, at, h, max(value, 0.05))
            elif h.short:
                h.short = False
                for use in (h.link, h.uplink):
                    if (use.value or 0.0) > 1.0:
                        use.read(now, at, 1.0)
        elif kind in (3, 4):
            if kind == 3 and v is not None and v.news_at < 0:
                at = v.news_at = now  # what comes with a set-up is fresh
            self._read(now, at, h, kind == 3, value)

    def on_tune_in_end(
        self,
        now: float,
        viewing_id: int,
        closed: bool,
        code: int,
        host: str,
        latency: float,
        tune_in: int,
        loads: Sequence[float] = (),
    ) -> None:
        self.inputs += 1
        h = self.hosts.get(host)
        self._reported(now, h, loads)
        v = self.viewings.get(viewing_id)
        if v is None:
            return
        was_playing, v.out, v.playing = v.playing, False, False
        self._load(now, v, None)
        if h is not None and code == Outcome.ERROR and not was_playing:
            v.erred.append(h)
        elif h is not None:
            self._judge(now, h, code, was_playing)
        if v.host is not None:
            v.host.viewings.pop(viewing_id, None)
            if not v.host.viewings:
                self.busy.pop(v.host.number, None)
        if closed or was_playing or v.gone:
            del self.viewings[viewing_id]
            return
        v.host = None
        v.may_have_run |= code not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        v.anchor = v.anchor if v.may_have_run else None
        v.looked = False
        self.waiting[viewing_id] = v

    def on_viewer_left(self, now: float, viewing_id: int) -> None:
        v = self.viewings.get(viewing_id)
        if v is not None and self.waiting.pop(viewing_id, None) is not None:
            del self.viewings[viewing_id]
        elif v is not None:
            v.gone = True  # its outcome still comes, and frees its seat and load

    def expire_waiting(self, now: float) -> None:
        """This process is about to end: whatever waits, or comes back to wait, waits no longer."""
        for v in self.viewings.values():
            v.patience = min(v.patience, now)

    def on_probe_result(
        self, now: float, host: str, code: int, latency: float, loads: Sequence[float] = ()
    ) -> None:
        self.inputs += 1
        self._reported(now, self.hosts.get(host), loads)

    def on_peer_message(self, now: float, words: bytes) -> None:
        """Changes that another gateway booked; what does not parse or names no media host is passed over."""
        self.inputs += 1
        if len(words) % CHANGE.size == 0:
            for name, kb in CHANGE.iter_unpack(words):
                for h in self.hosts.values():
                    if h.mark == name and abs(kb) <= 2 * self.rates[-1]:
                        self._changed(now, h, kb)

    def wake_at(self) -> float | None:
        due = [h.tick_at for h in self.busy.values()]
        due += [max(self.look_at, self.now)] if self.waiting else []
        due += [] if self.list_due is None else [self.list_due]
        return min(due, default=None)

    # ---- bookkeeping ---------------------------------------------------------------------------------------

    def _viewing(
        self, viewing_id: int, package: str, title: str, cells: tuple[int, int], top: int
    ) -> Viewing:
        p = self.packages.get(package) or Package(package, 1.0, 3.0)
        tables = self.tables.get(package) or Tables(p, self.rates, self.gains, self.best)
        v = self.viewings[viewing_id] = Viewing(
            viewing_id, p, title, cells, min(top, p.top, len(self.rates) - 1), tables
        )
        return v

    def _begin(self, now: float, v: Viewing) -> None:
        v.low = v.high = v.rung
        v.estimate = v.last = self._rate(v, v.rung)
        v.hold_until = now + HOLD
        self._load(now, v, v.rung)

    def _rate(self, v: Viewing, rung: int) -> float:
        return v.rates[min(rung, len(v.rates) - 1)]

    def _load(self, now: float, v: Viewing, rung: int | None) -> None:
        """Books what a viewing asks of link and uplink; None: nothing any more."""
        kb = 0.0 if rung is None else self._rate(v, rung)
        if rung is not None:
            v.rung = rung
        if v.host is not None and kb != v.kb:
            v.host.own_kb += kb - v.kb
            self._changed(now, v.host, kb - v.kb)
            if self.terms.may_tell:
                self.untold += CHANGE.pack(v.host.mark, max(-32767, min(32767, round(kb - v.kb))))
        v.kb = kb

    def _changed(self, now: float, h: MediaHost, kb: float) -> None:
        h.link.change(now, kb)
        h.uplink.change(now, kb)

    def _reported(self, now: float, h: MediaHost | None, loads: Sequence[float]) -> None:
        for field, value in zip(self.fleet.load_fields, loads, strict=False):
            if h is None or not 0 <= value < math.inf:
                continue
            if field in ("x0", "x1") or (field == "cpu" and value < 1):
                self._read(now, now - REPORT_AGE, h, field != "x1", value)

    def _read(self, now: float, at: float, h: MediaHost, link: bool, value: float) -> None:
        """A report: what is asked of a link (or uplink) over what it gives."""
        if link:
            h.told_link = value
            self.usual += USUAL_NEWS * (min(value, 1.0) - self.usual)
            if value - h.own_kb / h.link.cap_kb > OTHERS:
                h.doubted = False  # others play there, so it did not just start
        (h.link if link else h.uplink).read(now, at, value, NEWS)

    def _ran_short(self, now: float, at: float, h: MediaHost, share: float) -> None:
        """A short share tells the use of whichever of link and uplink binds.

        Guards against one media host that stands still being taken for a shrunken uplink: that is blamed when
        reported fuller than the link, or two hosts are short whose links have room (or the only one used).
        """
        up = h.uplink
        rack = [x for x in h.rack if x.viewings and x.told_link < PRESSED]
        short = sum(now - x.share_at < TOGETHER for x in rack)
        if (self.x1 and (up.value or 0.0) > max(MARK, h.told_link)) or (
            h in rack and (short > 1 or len(rack) == 1 and share > ALONE)
        ):
            if not self.x1:
                up.cap_kb = max(LEAST_UPLINK * self.fleet.uplink_kb, self._rack_kb(now, h) * share)
            up.read(now, at, 1 / share)
        else:
            h.link.read(now, at, 1 / share)

    def _tally(self, h: MediaHost, good: bool) -> None:
        h.good, h.bad, h.in_a_row = h.good + good, h.bad + (not good), 0 if good else h.in_a_row + 1
        if h.good + h.bad > HALVE_AT:
            h.good, h.bad = h.good / 2, h.bad / 2

    def _blame(self, now: float, erred: list[MediaHost]) -> None:
        """Guards against set-ups that no media host can use: each would make all that it tries look ill. An
        error counts when the viewing then plays elsewhere, or met a single one; two in a row are its own."""
        for h in erred:
            self._judge(now, h, Outcome.ERROR, False)
        erred.clear()

    def _judge(self, now: float, h: MediaHost, code: int, was_playing: bool) -> None:
        if code in (Outcome.RESET, Outcome.CONNECT_FAILED):
            # Guards against pushing over a media host that was lost and comes back before the list says so.
            h.cold_until = max(h.cold_until, now + self.terms.warm_up)
        if code == Outcome.FULL:
            # Guards against asking a full media host again and again; holds for links and for places.
            h.link.read(now, now, max(h.told_link, self.fleet.full_from, 1.0))
        ill = was_playing and code == Outcome.RESET
        if not was_playing and code in FAILURES:
            self._tally(h, False)
            usual = median(x.failing() for x in self.hosts.values())
            ill = h.in_a_row >= IN_A_ROW or (h.good + h.bad >= 4 and h.failing() > usual + ILL)
        if ill:
            h.aside_until = max(h.aside_until, now + ASIDE + ASIDE_MORE * self.chance.random())

    # ---- what link and uplink carry ------------------------------------------------------------------------

    def use_link(self, now: float, h: MediaHost) -> float:
        """What is asked of a link over what it gives.

        Guards against reports that stay out, and a fleet of which a gateway sees little: an old reading fades
        into the usual one, the more so the more this gateway has there, never more than the mark.
        """
        more = (h.own_kb / h.link.cap_kb + PRIOR) / (self.usual / self.gateways + PRIOR)
        return h.link.predicted(now, lambda: min(self.usual * more, MARK), self.stale)

    def _rack_kb(self, now: float, h: MediaHost) -> float:
        uses = [(self.use_link(now, x), x.link.cap_kb) for x in h.rack if x.listed]
        return sum(min(use, 1 / max(use, 1.0)) * cap for use, cap in uses)

    def use_uplink(self, now: float, h: MediaHost) -> float:
        if not self.fleet.uplink_kb:
            return 0.0
        up = h.uplink
        taught = max(0.0, 1 - max(0.0, now - up.at) / FORGET)  # of its size, by short notes
        size = self.fleet.uplink_kb + (up.cap_kb - self.fleet.uplink_kb) * taught
        return up.predicted(now, lambda: self._rack_kb(now, h) / size, self.stale if self.x1 else 1.0)

    def _uses(self, now: float, h: MediaHost) -> tuple[float, float]:
        """Use of link and uplink, worked out once for all that ask between two pieces of news on the rack."""
        known = now, self.inputs, h.link.version, h.uplink.version
        if h.uses_of != known:
            h.uses, h.uses_of = (self.use_link(now, h), self.use_uplink(now, h)), known
        return h.uses

    # ---- decisions -----------------------------------------------------------------------------------------

    now = 0.0

    def decide(self, now: float) -> Decision | None:
        """The next decision, already booked, or None when there is nothing to do now."""
        self.now = now
        if self.plan is None:
            self.plan = self._decisions(now)
        decision = next(self.plan, None)
        if decision is None:
            self.plan = None
        return decision

    def _decisions(self, now: float) -> Iterator[Decision]:
        if self.list_due is not None and now >= self.list_due:
            self.list_due = now + (0.5 * self.terms.ask_within or ASK_AGAIN)
            yield say.Subscribe()
        # Guards against a cost that grows with all that wait: who was looked for is so again with all others,
        # every LOOK, and what fits no rung now is found out once for all who want the same.
        again = now >= self.look_at or len(self.waiting) <= FEW
        due = [v for v in self.waiting.values() if again or not v.looked or now >= v.patience - EDGE]
        self.look_at = now + LOOK if again else self.look_at
        full: set[tuple[tuple[int, int], str]] = set()
        for v in sorted(due, key=lambda v: (-v.package.value, v.asked_at)):
            yield from self._place(now, v, full)
            v.looked = now >= v.asks_until  # one that waits for a probe's answer is looked for at any news
        # Guards against a cost that grows with the fleet: only hosts with viewings of ours are gone through.
        for number in sorted(self.busy):
            h = self.busy[number]
            if now >= h.tick_at:
                h.tick_at = now + TICK
                if self.must_probe and h.listed and now - h.link.at > self.stale:
                    yield say.Probe(h.row.host)  # where load is told to those who ask only
                yield from self._step_host(now, h)
        if self.untold:
            words, self.untold = self.untold[: CHANGE.size * 60], b""
            # Guards against a price without use: the chance that others play there too is taken from its own.
            if self.chance.random() * len(self.hosts) < len(self.busy):
                others = [i for i in range(self.gateways) if i != self.terms.ordinal]
                for to in self.chance.sample(others, min(RECEIVERS, len(others))):
                    yield say.Tell(words, to)

    def _place(self, now: float, v: Viewing, full: set[tuple[tuple[int, int], str]]) -> Iterator[Decision]:
        """Admission: the least used holder, at the highest rung under the mark, the lowest, or waiting.

        `full` holds what was found to fit nowhere in this pull, where no chance or probe had a part."""
        alike = v.cells, v.package.name
        in_time = now < v.patience - EDGE and v.tune_ins < self.terms.tune_ins
        until = min(v.asked_at + WAIT_PART * v.package.join_target, v.patience - EDGE)  # waits for a holder
        may = in_time and self._has_seat_and_budget(now, v)
        if may and (alike not in full or v.tried):
            held = [h for h in self._holders(v.cells) if self._may_set_up_at(v, h)]
            # Guards against a fleet that looks ill as a whole: with every holder set aside, all are used.
            held = [h for h in held if now >= h.aside_until] or held
            held = [h for h in held if now >= h.cold_until or not self._cold_budget_spent(now, h)]
            late = now - 2 * self.stale
            unread = [h for h in held if h.link.at < late]
            holders = [h for h in held if h.link.at >= late and not self._cold_budget_spent(now, h)]
            # Guards against gateways that know little all going to one media host, or to one that is full or
            # stands still or just started: where they may ask, one without a reading is asked first.
            # Guards against a viewing held to patience by holders that answer no probe, or without a reading:
            # it asks again up to its join target, well before patience, then some are tried unread by chance.
            latest = v.asked_at + min(v.package.join_target, WAIT_PART * v.package.patience)
            ask = v.asks is None or not holders and v.asks_until <= now < latest
            if self.may_ask and unread and ask and len(holders) < ENOUGH:
                v.asks, v.asks_until = self.chance.choice(unread), now + ANSWERS
                yield say.Probe(v.asks.row.host)
            if v.asks in unread and now < v.asks_until:
                return
            if v.asks is None or not holders:
                unread = [h for h in unread if not self._cold_budget_spent(now, h)]
                holders += self.chance.sample(unread, min(DRAWN, len(unread)))
            if holders:
                h = min(holders, key=lambda h: (self._least_used(now, v, h), h.row.host))
                rung = self._fitting(now, v, h)
                if rung is not None:
                    yield from self._send(now, v, h, rung)
                    return
            if not unread and not v.tried and v.top >= v.package.floor:
                full.add(alike)
        if may and now < until:
            return
        del self.waiting[v.vw]
        del self.viewings[v.vw]
        if len(v.erred) == 1:
            self._blame(now, v.erred)
        effect, scope = v.package.effect, v.package.key_scope
        if v.may_have_run and effect != "repeatable" and (effect, scope) != ("by_key", "all"):
            yield say.Abort(v.vw)
        else:
            yield say.Block(v.vw, min(1.0, self.terms.longest_advice) if self.terms.may_advise else 0.0)

    def _least_used(self, now: float, v: Viewing, h: MediaHost) -> float:
        link, up = self._uses(now, h)
        crossing = CROSS_BIAS * self.terms.cross_price * (h.row.zone != self.terms.zone)
        return max(link, up) + SECOND * min(link, up) + crossing + TRIED * (h.row.host in v.tried)

    def _fitting(self, now: float, v: Viewing, h: MediaHost) -> int | None:
        link, up = self._uses(now, h)
        for rung in range(v.top, v.package.floor - 1, -1):
            mark = v.marks[rung] if rung > v.package.floor else LOWEST_RUNG_MAX_USE
            kb = self._rate(v, rung)
            if link + kb / h.link.cap_kb <= mark and up + kb / h.uplink.cap_kb <= mark:
                return rung
        return None

    def _holders(self, cells: tuple[int, int]) -> list[MediaHost]:
        """The media hosts in service that hold what lies in these cells; kept until the list changes."""
        held = self.holders.get(cells)
        if held is None:
            (first, spread), places = cells, self.fleet.cells
            # A cell beyond the places holds nothing: no title's cells reach it.
            held = self.holders[cells] = [
                h
                for h in self.hosts.values()
                if h.listed
                and (places <= 0 or 0 <= h.row.cell < places and (h.row.cell - first) % places < spread)
            ]
        return held

    def _may_set_up_at(self, v: Viewing, h: MediaHost) -> bool:
        """Rule 2: what may have run is sent again only where its package lets it."""
        p, a = v.package, v.anchor
        if p.effect == "repeatable" or a is None or not v.may_have_run:
            return True
        if p.effect != "by_key" or self.now > v.first_at + p.key_window - EDGE:
            return False
        same = {"all": True, "zone": h.row.zone == a.zone, "cell": h.row.cell == a.cell}
        return same.get(p.key_scope, False)

    def _has_seat_and_budget(self, now: float, v: Viewing) -> bool:
        """Rules 5 and 6: a seat is free, and a further tune-in is within the budget."""
        p, t = v.package, self.terms
        if p.seats > 0:
            held = [x for x in self.viewings.values() if x.out or x.playing]
            if sum((x.title, x.package) == (v.title, p) for x in held) >= p.seats:
                return False
        if v.tune_ins and t.extra_free is not None:
            for times in (self.asked_times, self.extra_times):
                while times and times[0] <= now - t.extra_window:
                    times.popleft()
            return len(self.extra_times) + 1 <= t.extra_free + t.extra_ratio * len(self.asked_times)
        return True

    def _cold_budget_spent(self, now: float, h: MediaHost) -> bool:
        """Rule 4: a cold media host gets this gateway's part of its budget, as if all others sent theirs."""
        if now >= h.cold_until and not (h.doubted and now < self.doubts_until):
            return False
        former = h.cold_until - self.terms.warm_up < self.started and self.doubts_until > now
        if former and now < min(h.cold_until, self.started + self.terms.fall_after):
            # Guards against sending twice what a former life of this gateway sent there a moment ago.
            return True
        slots = (self.fleet.slots or {}).get(h.row.kind) or min((self.fleet.slots or {"": 1}).values())
        # Guards against a site whose part comes to less than a set-up: one in a window is within chance.
        budget, n = max(1, int(self.cold_budget * slots)), self.gateways
        mine = budget // n + ((self.terms.ordinal - h.mark) % n < budget % n)
        while h.sent and h.sent[0] < now - self.terms.fall_after - 0.1:
            h.sent.popleft()
        return len(h.sent) >= mine

    def _send(self, now: float, v: Viewing, h: MediaHost, rung: int) -> Iterator[Decision]:
        """The one gate that every tune-in passes."""
        holds = h in self._holders(v.cells) and self._may_set_up_at(v, h)
        may = holds and not self._cold_budget_spent(now, h) and self._has_seat_and_budget(now, v)
        if v.out or v.playing or not may:
            return
        if rung != v.rung or v.tune_ins == 0:
            v.rung = rung
            yield say.SetRung(v.vw, rung)
        if not v.tune_ins:
            v.first_at = now
        elif self.terms.extra_free is not None:
            self.extra_times.append(now)
        left = v.patience - EDGE - now
        within = left if v.package.effect == "once" else min(self._time_out(v), left)
        self.waiting.pop(v.vw, None)
        v.out, v.host = True, h
        v.tune_ins += 1
        v.tried.append(h.row.host)
        v.anchor = v.anchor or h.row
        h.viewings[v.vw] = v
        self.busy[h.number] = h
        h.sent.append(now)
        v.sent_at = now
        self._load(now, v, rung)
        yield say.TuneIn(v.vw, h.row.host, max(within, 0.001))

    def confirm_delayed_send(self, now: float, viewing_id: int) -> bool:
        """Whether a tune-in that was held up on its way may leave now (else it is moot); books it as of now.

        Guards against news that overtook it: its media host drains, or started anew and bears little."""
        v = self.viewings.get(viewing_id)
        if v is None or v.host is None or not v.out or v.gone or not v.host.listed:
            return False
        if v.sent_at in v.host.sent:
            v.host.sent.remove(v.sent_at)
        if self._cold_budget_spent(now, v.host):
            return False
        v.sent_at = now
        v.host.sent.append(now)
        return True

    def _time_out(self, v: Viewing) -> float:
        total = sum(self.took)
        seen = zip((*BINS, math.inf), accumulate(self.took), strict=True)
        edge = next(edge for edge, n in seen if n >= LATE[0] * total)
        within = edge * LATE[1] if total >= MIN_SEEN else UNKNOWN
        return min(max(MIN_TIMEOUT_S, within), LONGEST * v.package.join_target)

    def _step_host(self, now: float, h: MediaHost) -> Iterator[Decision]:
        """The mechanism, one viewing after the other, and by chance no more than this gateway's part.

        Guards against all gateways stepping at once on the same news: each changes rates by its part of what
        brings link and uplink to the mark, which chance rounds to whole steps.
        """
        playing = [v for v in h.viewings.values() if v.playing and not v.gone]
        use = max(*self._uses(now, h), 1e-9)
        part, dice = h.own_kb * abs(MARK / use - 1), self.chance.random()
        if h.short and now - h.share_at < SHORT_FOR:
            part *= HASTE
        sign, down = (1, 1) if use > MARK else (-1, 0)  # the cheapest give way first
        worths = [(sign * (v.worths[v.rung - down] if v.rung >= down else 1e9), v.vw, v) for v in playing]
        for _, _, v in sorted(worths):
            rung = self._step(now, v, h)
            if rung == v.rung:
                continue
            change = abs(self._rate(v, rung) - self._rate(v, v.rung))
            if change and dice * change <= part:
                part -= change
                self._load(now, v, rung)
                v.hold_until = now + HOLD
                yield say.SetRung(v.vw, rung)

    def _step(self, now: float, v: Viewing, h: MediaHost) -> int:
        """EDRA for one viewing: measure, estimate, bounds, then a rung at most (to the measure if short)."""
        link, up = self._uses(now, h)
        rate = self._rate(v, v.rung)
        share = 1 / max(link, up, 1e-9) if h.short and now - h.share_at < SHORT_FOR else 1.0
        if share < SHORT:
            measure = rate * share
        else:
            mark = v.marks[min(v.rung + 1, v.top)]
            on_link = (mark - link if link < mark else min(0.0, PRESSED - link)) * h.link.cap_kb
            on_uplink = (mark - up if up < mark else min(0.0, PRESSED - up)) * h.uplink.cap_kb
            measure = max(0.0, rate + min(on_link, on_uplink))
        v.estimate = (NEW * measure + OLD * v.estimate) / (NEW + OLD)
        below = self._below(v, measure)
        if measure > v.last:
            if measure >= self._rate(v, v.high):
                v.high, v.low = below, min(v.low + 1, below)
        elif measure < self._rate(v, v.low):
            v.high, v.low = below, max(below - 2, v.package.floor)
        v.last = measure
        if share < SHORT:
            return min(v.rung, below)
        if now < v.hold_until or h.link.value is None and now < self.started + self.stale:
            return v.rung
        aim = max(v.low, min(v.high, self._below(v, v.estimate)))
        step = v.rung + (aim > v.rung) - (aim < v.rung)
        return max(v.package.floor, min(v.top, step)) if v.package.floor <= v.top else v.rung

    def _below(self, v: Viewing, kb: float) -> int:
        return max(v.package.floor, min(v.top, bisect_right(v.rates, kb) - 1))
