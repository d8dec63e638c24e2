"""Every decision of a gateway: where a viewing is set up, at which rung it plays, what is blocked or aborted.

Create a `Gateway(seed, now, ladder, packages, fleet, terms)` and pass it each event through its methods
`on_<event>`, which only update its state. Then call `decide(now)` until it returns None, carrying out each
decision as it comes and passing in no event meanwhile. Do so again after the next events, or when the clock
reaches `wake_at()`. The types are in `ledgehitch/interface.py`; `docs/design.md` describes the mechanism, its
source and each departure from it.

Some names recur. The use of a link or uplink is the rate asked of it over the rate that it gives, so 1.0 is
full. A holder is a media host that holds the title of a viewing. A cold media host is one that started less
than the warm-up time ago. The target use is how full admission and steps up may make a link or uplink.

Gateways are pickled into the checkpoints of flight records, so classes and instance attributes keep their
names; a comment explains those that are hard to read.
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

from ledgehitch import interface
from ledgehitch.interface import Decision, Fleet, Ladder, Outcome, Package, Row, Terms

# Weights of the newest measure and of the previous estimate, as in the paper. A lower weight of the measure
# climbs more slowly after an overload.
MEASURE_WEIGHT, ESTIMATE_WEIGHT = 3, 8
# Time between two rounds of steps at a media host. Shorter reacts faster, on fewer readings.
STEP_INTERVAL_S = 3.0
# Time for which a viewing keeps its rung after a step. Shorter follows the room more closely, at the price of
# more rung changes.
HOLD_S = 8.0
# Use of link and uplink up to which viewings are admitted and step up. Higher earns more and overloads more.
TARGET_USE = 0.95
# Above this use viewings step down, before delivery falls short.
STEP_DOWN_USE = 0.98
# How much lower the target is for a step that earns next to nothing a kB. More leaves room for cheap steps.
TARGET_USE_REDUCTION = 0.45
SHORT_DELIVERY_SHARE = 0.98  # a delivered share below this is short
MIN_DELIVERED_SHARE = 0.05  # a lower delivered share counts as this
CROSS_ZONE_PENALTY = 3.0  # use added to a holder in another zone, for each unit of the crossing price
TRIED_HOST_PENALTY = 0.5  # use added to a holder that failed the same viewing
# Use added to a holder beyond those that this gateway can stay connected to. It is tried when these are full.
UNCONNECTED_HOST_PENALTY = 1.0
SECONDARY_USE_WEIGHT = 0.25  # weight of the less used of link and uplink when holders are compared
# Use of link and uplink up to which viewings are admitted at their lowest rung. More blocks fewer viewings
# and overloads more often.
LOWEST_RUNG_MAX_USE = 0.9
HOLDER_WAIT_SHARE = 0.4  # share of the join target that a viewing may wait for a holder before it is blocked
# Limit of a recorded use, so that a media host that stalled is tried again within useful time.
MAX_RECORDED_USE = 3.0
# Factor on the part by which a gateway may step down while delivery is short. More drops deeper and sooner.
SHORT_DELIVERY_STEP_FACTOR = 1.5
SHORT_DELIVERY_EXPIRY_S = 2.5  # time for which a report of short delivery counts when none follows
REPORT_WEIGHT = 0.5  # weight of a reported use against the predicted one, since reports are noisy
INITIAL_TYPICAL_USE, TYPICAL_USE_WEIGHT = 0.5, 0.1  # use of a link before any report; weight of each report
# Use added to both sides when own use is compared with the typical one. It is the use by own viewings from
# which on a guess follows them rather than the typical use.
TYPICAL_USE_PRIOR = 0.3
# Number of holders with a recent reading from which on no other is probed, and how long an answer is awaited.
ENOUGH_READINGS, PROBE_TIMEOUT_S = 6, 0.1
MAX_RECENT_CHANGES = 64  # own changes kept since a reading; a larger number tracks a crowded second better
UNREAD_SAMPLE_SIZE = 3  # holders without a recent reading that are compared; more find an emptier one
FRESH_REPORT_INTERVALS = 1.5  # age in report intervals above which a reading fades into the guess
LOAD_REPORT_DELAY_S, READING_EXPIRY_S = 0.3, 10.0  # age of a load report on arrival; oldest reading averaged
# An uplink is blamed when several hosts fall short within this time, or a lone one that still delivers more
# than this share.
UPLINK_BLAME_WINDOW_S, LONE_HOST_BLAME_SHARE = 1.5, 0.5
# Least share of its stated size that an uplink may be estimated to have. Less overloads less often.
MIN_UPLINK_SHARE = 0.3
SETUP_TIME_BINS_S = (0.05, 0.1, 0.15, 0.2, 0.3, 0.45, 0.7, 1.1, 2.0)  # upper edges of the set-up histogram
UPLINK_ESTIMATE_EXPIRY_S = 20.0  # time until a short uplink is assumed to have its stated size again
# A tune-in times out at this quantile of set-up times, times this factor. Lower wastes slow set-ups.
TIMEOUT_QUANTILE, TIMEOUT_FACTOR = 0.99, 2.0
# Shortest time-out, time-out while too few set-ups were seen, and longest time-out in join targets.
MIN_TIMEOUT_S, INITIAL_TIMEOUT_S, MAX_TIMEOUT_JOIN_TARGETS = 0.25, 0.45, 0.6
# Set-ups from which on the histogram is used, and outcomes after which the tally of a media host is halved.
MIN_SETUPS_SEEN, TALLY_HALVING_COUNT = 8, 40
FAILURE_SHARE_MARGIN = 0.25  # a media host is suspended when its failure share exceeds the median by this
FAILURES = Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET
MIN_OUTCOMES_JUDGED = 4  # outcomes from which on the failure share of a media host counts
MAX_CONSECUTIVE_FAILURES = 2  # this many failures in a row suspend a media host too, whatever the share
SUSPENSION_S, SUSPENSION_JITTER_S = 4.0, 3.0  # a suspension lasts the first, plus up to the second at random
COLD_BUDGET_SHARE = 0.8  # share of the budget of a cold media host that all gateways together plan to use
COLD_WINDOW_MARGIN_S = 0.1  # time by which the window of that budget is extended
MAX_LIST_LAG_S = 7.0  # longest lag of a list; for this time a restarted gateway takes unknown hosts for cold
WARM_HOST_USE = 0.3  # with this much of its link used by other gateways, a media host did not just start
LIST_RETRY_S, LIST_RETRY_JITTER_S = 1.0, 5.0  # delay of a new request for a lost list, and random part
PLACEMENT_INTERVAL_S = 0.05  # time between two placement rounds while viewings wait
# Up to this many waiting viewings are tried again at any event. A larger number finds room sooner, and costs
# more when there is none.
FEW_WAITING = 8
RATE_CHANGE = struct.Struct(">Hh")  # a change sent to other gateways: key of the media host, kB a second
MAX_RATE_CHANGE_KB = 32767  # what the signed 16 bits of the second field hold
MAX_CHANGES_PER_MESSAGE = 60
PEER_FANOUT = 2  # gateways that each message goes to; each further one costs as much again
PATIENCE_MARGIN_S = 0.03  # time kept free before patience ends


class Use:
    """The use of a link or uplink: the last reading, and the changes that this gateway made since."""

    def __init__(self, cap_kb: float) -> None:
        self.cap_kb = max(cap_kb, 1e-9)
        self.value: float | None = None  # the last reading
        # -inf: with a clock near 0, a 0 here would make a use that was never read look fresh.
        self.at = -math.inf
        self.changes: deque[tuple[float, float]] = deque()  # own changes since the reading: time, kB a second
        self.changed_kb = 0.0  # sum of `changes`
        self.version = 0  # incremented by each reading and each change

    def add_change(self, now: float, kb: float) -> None:
        """Adds a change of the rate that this gateway asks, in kB a second."""
        if len(self.changes) >= MAX_RECENT_CHANGES:
            self.changed_kb -= self.changes.popleft()[1]
        self.changes.append((now, kb))
        self.changed_kb += kb
        self.version += 1

    def record_reading(self, now: float, at: float, value: float, weight: float = 1.0) -> None:
        """Records a use that was measured at the time `at`; `weight` is its weight against the prediction."""
        if value >= 0.0 and at >= self.at:
            included_kb = 0.0  # changes that the reading already includes
            while self.changes and self.changes[0][0] <= at:
                included_kb += self.changes.popleft()[1]
            self.changed_kb = self.changed_kb - included_kb if self.changes else 0.0
            if self.value is not None and now - self.at < READING_EXPIRY_S:
                value = weight * value + (1 - weight) * max(0.0, self.value + included_kb / self.cap_kb)
            self.value, self.at = min(value, MAX_RECORDED_USE), at
            self.version += 1

    def predict(self, now: float, guess: Callable[[], float], fresh_s: float) -> float:
        """Returns the last reading plus own changes since.

        From an age of `fresh_s` on the reading fades into `guess()`, and by twice that age it is ignored.
        """
        if self.value is None:
            return guess()
        known = max(0.0, self.value + self.changed_kb / self.cap_kb)
        excess_age = max(0.0, now - self.at - fresh_s)
        return known + (guess() - known) * min(1.0, excess_age / fresh_s) if excess_age > 0 else known


class MediaHost:
    """What a gateway knows of one media host."""

    def __init__(
        self,
        number: int,
        row: Row,
        link_kb: float,
        max_sent: int,
        uplink: Use,
        rack: list["MediaHost"],
    ) -> None:
        self.number = number  # in the order in which hosts were first listed
        self.row, self.uplink, self.rack = row, uplink, rack  # `rack`: all hosts on the uplink, with this one
        self.mark = zlib.crc32(row.host.encode()) & 0xFFFF  # key of the host in messages between gateways
        self.link = Use(link_kb)
        self.listed = False  # whether the list has it in service
        self.share_at = -1e9  # time of the last report of short delivery
        self.short = False  # whether delivery is short
        self.told_link = 0.0  # use of its link as last reported, regardless of short delivery
        self.viewings: dict[int, Viewing] = {}
        self.own_kb = 0.0  # rate of this gateway's viewings there
        self.good = self.bad = 0.0  # successful and failed set-ups, halved from time to time
        self.in_a_row = 0  # consecutive failures
        self.aside_until = -1e9  # end of its suspension
        self.cold_until = -1e9
        self.doubted = False  # whether it may have started while this gateway was away
        self.sent: deque[float] = deque(maxlen=max_sent)  # times of the last set-ups sent to it
        self.tick_at = 0.0  # time of the next round of steps
        self.uses: tuple[float, float] = (0.0, 0.0)  # use of link and uplink as computed for `uses_of`
        self.uses_of: tuple[float, int, int, int] | None = None

    def failure_share(self) -> float:
        """Returns the share of failed set-ups, biased towards 0 while there are few."""
        return self.bad / (self.good + self.bad + 2.0)


class Tables:
    """Figures of a package for each rung, in the order of the rungs."""

    def __init__(self, package: Package, rates: Sequence[float], gains: Sequence[float], best: float) -> None:
        self.rates = [kb * package.scale for kb in rates]  # kB a second
        # What a kB of the step up from each rung earns.
        self.worths = [package.value * gain / max(1e-9, package.scale) for gain in gains] + [0.0]
        worth_of_step_to = [1e9, *self.worths]
        # Target use for each rung. It is lower for steps that earn less a kB, to leave room for others.
        self.marks = [
            TARGET_USE - TARGET_USE_REDUCTION * max(0.0, 1 - worth_of_step_to[i] / max(1e-9, best)) ** 2
            for i in range(len(rates))
        ]


class Viewing:
    """One viewing: its request, its tune-ins and, once it plays, its rung and estimate."""

    def __init__(
        self,
        viewing_id: int,
        package: Package,
        title: str,
        cells: tuple[int, int],
        top: int,
        tables: Tables,
    ) -> None:
        # `cells`: first cell that holds the title, and number of cells. `top`: highest rung that may play.
        self.vw, self.package, self.title, self.cells, self.top = viewing_id, package, title, cells, top
        self.rates, self.worths, self.marks = tables.rates, tables.worths, tables.marks
        self.patience = self.asked_at = 0.0  # when its patience ends, when it was requested
        self.host: MediaHost | None = None
        self.rung = package.floor
        self.tune_ins = 0
        # Whether a tune-in is under way, it plays, its viewer has left, a tune-in may have run.
        self.out = self.playing = self.gone = self.may_have_run = False
        self.looked = False  # whether placement was tried since it began to wait
        self.first_at, self.news_at = 0.0, -1.0  # time of its first tune-in, of the first report after set-up
        self.anchor: Row | None = None  # media host of the first tune-in that may have run
        self.tried: list[str] = []  # names of the media hosts that got a tune-in
        self.erred: list[MediaHost] = []  # hosts that answered with an error and are not judged for it yet
        self.asks: MediaHost | None = None  # media host last probed for it
        self.asks_until = -1e9  # end of the wait for that probe
        self.kb = 0.0  # rate booked for it on link and uplink
        self.estimate = self.last = 0.0  # estimate and last measure of the rate that it can play at, in kB/s
        self.low = self.high = package.floor  # lower and upper bound of its rung
        self.hold_until = 0.0  # until then it keeps its rung
        self.sent_at = 0.0  # time of its last tune-in, as counted against the cold host's budget


class Gateway:
    """The state and the decisions of one gateway. All times are seconds on the caller's clock."""

    def __init__(
        self,
        seed: int,
        now: float,
        ladder: Ladder,
        packages: Sequence[Package],
        fleet: Fleet,
        terms: Terms,
    ) -> None:
        self.chance = random.Random(seed)  # source of all random choices
        self.started = now
        self.doubts_until = now + min(terms.warm_up, MAX_LIST_LAG_S)  # end of the time with doubted hosts
        self.rates = ladder.kb or (1.0,)
        self.earns = ladder.earns or (1.0,)
        self.packages = {p.name: p for p in packages}
        self.fleet, self.terms = fleet, terms
        self.gateways = max(1, terms.gateways)
        self.hosts: dict[str, MediaHost] = {}
        self.named = 0  # number of media hosts ever listed
        self.busy: dict[int, MediaHost] = {}  # hosts with viewings of this gateway, by number
        # Uplink and media hosts of each rack.
        self.racks: list[tuple[Use, list[MediaHost]]] = [
            (Use(fleet.uplink_kb or 1e12), []) for _ in range(max(1, fleet.racks))
        ]
        self.viewings: dict[int, Viewing] = {}
        self.waiting: dict[int, Viewing] = {}
        self.took = [0.0] * (len(SETUP_TIME_BINS_S) + 1)  # histogram of set-up times
        self.asked_times: deque[float] = deque()  # times of requests, for the budget of further tune-ins
        self.extra_times: deque[float] = deque()  # times of further tune-ins
        steps = zip(self.rates, self.rates[1:], self.earns, self.earns[1:], strict=False)
        # What a kB of each step up earns, and the most that a kB of any step earns.
        self.gains = [(w2 - w1) / max(1e-9, kb2 - kb1) for kb1, kb2, w1, w2 in steps]
        self.best = max((p.value * g / max(1e-9, p.scale) for p in packages for g in self.gains), default=1.0)
        # Age from which on a reading is stale.
        self.stale = max(1.0, FRESH_REPORT_INTERVALS * (fleet.told_every or 2.0))
        self.x1 = "x1" in fleet.load_fields  # whether the use of uplinks is reported
        self.must_probe = fleet.reports == "pull" and terms.may_probe
        # Probes before a set-up are sent only where an answer states the use of a link. Elsewhere each
        # viewing would wait for answers that tell nothing.
        tells = fleet.reports != "silent" and not {"x0", "cpu"}.isdisjoint(fleet.load_fields)
        self.may_ask = terms.may_probe and tells
        self.usual = INITIAL_TYPICAL_USE  # typical use of a link, a moving average of the reports
        self.inputs = 0  # number of events that may have changed the use of a link or uplink
        self.holders: dict[tuple[int, int], list[MediaHost]] = {}  # cache of `_holders`, by cells
        self.look_at = now  # time of the next placement round for all that wait
        self.tables = {p.name: Tables(p, self.rates, self.gains, self.best) for p in packages}
        self.untold = b""  # changes of own viewings' rates not yet sent to other gateways
        self.plan: Iterator[Decision] | None = None  # the running sequence of decisions, if any
        self.list_due = now if terms.on_request else None  # when to request the list of media hosts
        budget = COLD_BUDGET_SHARE * terms.fall_multiple * terms.cold_share * terms.fall_after
        self.cold_budget = budget / max(terms.warm_up, 1e-9)  # set-ups of all gateways in a window, per slot
        # A host's deque of set-up times has to hold the gateway's whole part of the budget. If it were
        # shorter, the part would never be used up.
        largest = max((fleet.slots or {"": 1}).values(), default=1) if terms.warm_up > 0 else 0
        self.most_sent = int(self.cold_budget * largest) // self.gateways + 1

    # ---- events --------------------------------------------------------------------------------------------

    def on_host_list(self, now: float, how: str, rows: Sequence[Row]) -> None:
        """Takes a list of media hosts.

        `how` is "total" for a complete list, "warm_copy" for a complete one that was stored earlier, "incr"
        for changes, and "lost" (without rows) when the source of lists was lost.
        """
        self.inputs += 1
        if how == "lost":
            # Asks again early enough to have the answer before what the list said meanwhile counts as heard
            # (rule 3).
            scale = min(1.0, 0.5 * self.terms.ask_within / (LIST_RETRY_S + LIST_RETRY_JITTER_S) or 1.0)
            self.list_due = now + scale * (LIST_RETRY_S + LIST_RETRY_JITTER_S * self.chance.random())
            return
        if how != "warm_copy":
            self.list_due = None
        self.holders = {}
        if how in ("total", "warm_copy"):
            names = {row.host for row in rows}
            for name, known in self.hosts.items():
                known.listed = known.listed and name in names
        for row in rows:
            host = self.hosts.get(row.host)
            if host is None:
                link_kb = row.weight * self.fleet.link_unit_kb or self.fleet.links_kb / len(rows)
                self.named += 1
                # A host without a cell gets an uplink of its own: it must not count on a rack's.
                own_uplink = Use(self.fleet.uplink_kb or 1e12), list[MediaHost]()
                rack = self.racks[row.cell % len(self.racks)] if row.cell >= 0 else own_uplink
                host = MediaHost(self.named, row, link_kb, self.most_sent, *rack)
                host.rack.append(host)
                self.hosts[row.host] = host
                host.tick_at = now + self.chance.random() * STEP_INTERVAL_S
                # It may have started while this gateway was away or while its list lagged.
                host.doubted = how == "warm_copy"
            if row.started > host.row.started or row.state == "in_service" and not host.listed:
                began = row.started or (now if how == "incr" else -1e9)
                host.cold_until = max(host.cold_until, began + self.terms.warm_up)
                host.in_a_row, host.aside_until = 0, -1e9
            host.row, host.listed = row, row.state == "in_service"
        # Hosts that are gone are dropped, so that memory does not grow with each one that ever existed.
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
        """Takes a request, which has to be answered by the time `patience`.

        Its title is held by `spread` cells from `first` on.
        """
        viewing = self.waiting[viewing_id] = self._add_viewing(
            viewing_id, package, title, (first, spread), top
        )
        viewing.patience, viewing.asked_at = patience, min(now, patience - viewing.package.patience)
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
        host_name: str,
    ) -> None:
        """Takes over a viewing that already plays at a media host."""
        viewing = self._add_viewing(viewing_id, package, title, (first, spread), top)
        viewing.host, viewing.tune_ins, viewing.playing = self.hosts.get(host_name), 1, True
        if viewing.host:
            viewing.host.viewings[viewing_id] = viewing
            self.busy[viewing.host.number] = viewing.host
        # A gateway that is handed viewings was not away, so its list is as good as any other's.
        self.doubts_until = now
        self._reset_estimate(now, viewing)

    def on_tune_in_success(
        self, now: float, viewing_id: int, host_name: str, tune_in: int, latency: float
    ) -> None:
        """Takes the success of a tune-in: the viewing plays."""
        self.inputs += 1
        viewing = self.viewings.get(viewing_id)
        if viewing is None or viewing.playing or viewing.host is None:
            return
        self._count_outcome(viewing.host, True)
        self._judge_errors(now, viewing.erred)
        self.took[sum(latency > edge for edge in SETUP_TIME_BINS_S)] += 1
        if sum(self.took) > 10 * TALLY_HALVING_COUNT:
            self.took = [n / 2 for n in self.took]
        viewing.out, viewing.playing = False, True
        self._reset_estimate(now, viewing)

    def on_report(self, now: float, viewing_id: int, host_name: str, kind: int, value: float) -> None:
        """Takes a report on a viewing or its media host.

        The kinds are 1 for the delivered share, 2 for the rung in force, and 3 and 4 for the use of the link
        and of the uplink.
        """
        self.inputs += 1
        viewing, host = self.viewings.get(viewing_id), self.hosts.get(host_name)
        if not 0 <= value < math.inf or host is None:
            return
        if kind == 2 and viewing is not None and viewing.playing:
            viewing.rung = int(min(value, len(self.rates) - 1))
            self._reset_estimate(now, viewing)
            # It did not step by itself. Where uplinks are reported it need not hold its rung after this,
            # since it keeps it until link and uplink are reported.
            viewing.hold_until = now if self.x1 else viewing.hold_until
        at = now - self.fleet.told_late
        if kind == 1:
            if value < SHORT_DELIVERY_SHARE:
                # A new shortage gets its round of steps at once instead of seconds later.
                host.tick_at = host.tick_at if host.short else now
                host.short, host.share_at = True, now
                self._record_short_delivery(now, at, host, max(value, MIN_DELIVERED_SHARE))
            elif host.short:
                host.short = False
                for use in (host.link, host.uplink):
                    if (use.value or 0.0) > 1.0:
                        use.record_reading(now, at, 1.0)
        elif kind in (3, 4):
            if kind == 3 and viewing is not None and viewing.news_at < 0:
                at = viewing.news_at = now  # the report that comes with a set-up is fresh
            self._record_use(now, at, host, kind == 3, value)

    def on_tune_in_end(
        self,
        now: float,
        viewing_id: int,
        closed: bool,
        code: int,
        host_name: str,
        latency: float,
        tune_in: int,
        loads: Sequence[float] = (),
    ) -> None:
        """Takes the end of a tune-in that failed, or of a viewing that played.

        With `closed` the viewing is over; else it waits for another tune-in. `loads` are the values of the
        fleet's load fields that came with the answer.
        """
        self.inputs += 1
        host = self.hosts.get(host_name)
        self._record_loads(now, host, loads)
        viewing = self.viewings.get(viewing_id)
        if viewing is None:
            return
        was_playing, viewing.out, viewing.playing = viewing.playing, False, False
        self._book_rate(now, viewing, None)
        if host is not None and code == Outcome.ERROR and not was_playing:
            viewing.erred.append(host)
        elif host is not None:
            self._judge_host(now, host, code, was_playing)
        if viewing.host is not None:
            viewing.host.viewings.pop(viewing_id, None)
            if not viewing.host.viewings:
                self.busy.pop(viewing.host.number, None)
        if closed or was_playing or viewing.gone:
            del self.viewings[viewing_id]
            return
        viewing.host = None
        viewing.may_have_run |= code not in (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
        viewing.anchor = viewing.anchor if viewing.may_have_run else None
        viewing.looked = False
        self.waiting[viewing_id] = viewing

    def on_viewer_left(self, now: float, viewing_id: int) -> None:
        """Forgets a viewing that waits; one with a tune-in under way is forgotten with its outcome."""
        viewing = self.viewings.get(viewing_id)
        if viewing is not None and self.waiting.pop(viewing_id, None) is not None:
            del self.viewings[viewing_id]
        elif viewing is not None:
            viewing.gone = True  # its outcome is still to come, and frees its seat and its load

    def expire_waiting(self, now: float) -> None:
        """Ends the patience of all viewings that wait, or come back to wait: this process is about to end."""
        for viewing in self.viewings.values():
            viewing.patience = min(viewing.patience, now)

    def on_probe_result(
        self, now: float, host_name: str, code: int, latency: float, loads: Sequence[float] = ()
    ) -> None:
        """Takes the answer to a probe, or its failure."""
        self.inputs += 1
        self._record_loads(now, self.hosts.get(host_name), loads)

    def on_peer_message(self, now: float, message: bytes) -> None:
        """Takes rate changes of another gateway; ignores malformed ones and those of unknown media hosts."""
        self.inputs += 1
        if len(message) % RATE_CHANGE.size == 0:
            for key, kb in RATE_CHANGE.iter_unpack(message):
                for host in self.hosts.values():
                    if host.mark == key and abs(kb) <= 2 * self.rates[-1]:
                        self._add_change(now, host, kb)

    def wake_at(self) -> float | None:
        """Returns when to call `decide` again if no event comes before; None: only after an event."""
        due = [h.tick_at for h in self.busy.values()]
        due += [max(self.look_at, self.now)] if self.waiting else []
        due += [] if self.list_due is None else [self.list_due]
        return min(due, default=None)

    # ---- bookkeeping ---------------------------------------------------------------------------------------

    def _add_viewing(
        self, viewing_id: int, package_name: str, title: str, cells: tuple[int, int], top: int
    ) -> Viewing:
        # An unknown package gets a join target of 1 s and a patience of 3 s.
        package = self.packages.get(package_name) or Package(package_name, 1.0, 3.0)
        tables = self.tables.get(package_name) or Tables(package, self.rates, self.gains, self.best)
        viewing = self.viewings[viewing_id] = Viewing(
            viewing_id, package, title, cells, min(top, package.top, len(self.rates) - 1), tables
        )
        return viewing

    def _reset_estimate(self, now: float, viewing: Viewing) -> None:
        """Restarts the estimate and bounds of a viewing at its rung, and books its rate."""
        viewing.low = viewing.high = viewing.rung
        viewing.estimate = viewing.last = self._rate_kb(viewing, viewing.rung)
        viewing.hold_until = now + HOLD_S
        self._book_rate(now, viewing, viewing.rung)

    def _rate_kb(self, viewing: Viewing, rung: int) -> float:
        """Returns the rate of a viewing at a rung, in kB a second."""
        return viewing.rates[min(rung, len(viewing.rates) - 1)]

    def _book_rate(self, now: float, viewing: Viewing, rung: int | None) -> None:
        """Books the rate that a viewing asks of link and uplink at a rung; None: it asks none any more."""
        kb = 0.0 if rung is None else self._rate_kb(viewing, rung)
        if rung is not None:
            viewing.rung = rung
        if viewing.host is not None and kb != viewing.kb:
            viewing.host.own_kb += kb - viewing.kb
            self._add_change(now, viewing.host, kb - viewing.kb)
            if self.terms.may_tell:
                self.untold += RATE_CHANGE.pack(
                    viewing.host.mark,
                    max(-MAX_RATE_CHANGE_KB, min(MAX_RATE_CHANGE_KB, round(kb - viewing.kb))),
                )
        viewing.kb = kb

    def _add_change(self, now: float, host: MediaHost, kb: float) -> None:
        host.link.add_change(now, kb)
        host.uplink.add_change(now, kb)

    def _record_loads(self, now: float, host: MediaHost | None, loads: Sequence[float]) -> None:
        """Records the values of the fleet's load fields that came with an answer of a media host."""
        for field, value in zip(self.fleet.load_fields, loads, strict=False):
            if host is None or not 0 <= value < math.inf:
                continue
            if field in ("x0", "x1") or (field == "cpu" and value < 1):
                self._record_use(now, now - LOAD_REPORT_DELAY_S, host, field != "x1", value)

    def _record_use(self, now: float, at: float, host: MediaHost, is_link: bool, value: float) -> None:
        """Records a reported use of a link, or else of an uplink."""
        if is_link:
            host.told_link = value
            self.usual += TYPICAL_USE_WEIGHT * (min(value, 1.0) - self.usual)
            if value - host.own_kb / host.link.cap_kb > WARM_HOST_USE:
                host.doubted = False  # viewings of others play there, so it did not just start
        (host.link if is_link else host.uplink).record_reading(now, at, value, REPORT_WEIGHT)

    def _record_short_delivery(self, now: float, at: float, host: MediaHost, share: float) -> None:
        """Records a use of 1 / share for whichever of link and uplink is the bottleneck.

        One media host that stalls must not make its uplink look smaller. So the uplink is blamed only when it
        is reported fuller than the link, when two hosts of the rack are short whose links have room, or when
        the host is the only one of the rack in use and still delivers a fair share.
        """
        uplink = host.uplink
        rack = [x for x in host.rack if x.viewings and x.told_link < STEP_DOWN_USE]
        short_hosts = sum(now - x.share_at < UPLINK_BLAME_WINDOW_S for x in rack)
        if (self.x1 and (uplink.value or 0.0) > max(TARGET_USE, host.told_link)) or (
            host in rack and (short_hosts > 1 or len(rack) == 1 and share > LONE_HOST_BLAME_SHARE)
        ):
            size_kb = max(MIN_UPLINK_SHARE * self.fleet.uplink_kb, self._rack_rate_kb(now, host) * share)
            # Where no host of the rack is listed and no size is stated, nothing is known of it.
            if not self.x1 and size_kb > 0:
                uplink.cap_kb = size_kb
            uplink.record_reading(now, at, 1 / share)
        else:
            host.link.record_reading(now, at, 1 / share)

    def _count_outcome(self, host: MediaHost, good: bool) -> None:
        host.good, host.bad, host.in_a_row = (
            host.good + good,
            host.bad + (not good),
            0 if good else host.in_a_row + 1,
        )
        if host.good + host.bad > TALLY_HALVING_COUNT:
            host.good, host.bad = host.good / 2, host.bad / 2

    def _judge_errors(self, now: float, erred: list[MediaHost]) -> None:
        """Counts errors against the media hosts that answered with them.

        A set-up that no media host can carry out would make every host that it tries look faulty. So an error
        counts only when the viewing then plays elsewhere, or when it met a single one. Two errors in a row
        are taken for a fault of the set-up itself.
        """
        for host in erred:
            self._judge_host(now, host, Outcome.ERROR, False)
        erred.clear()

    def _judge_host(self, now: float, host: MediaHost, code: int, was_playing: bool) -> None:
        """Records what an outcome says of its media host, and suspends a host that fails too often."""
        if code in (Outcome.RESET, Outcome.CONNECT_FAILED):
            # The host may have been lost and be back before the list says so. It is taken for cold, so that
            # it is not overloaded as it comes up.
            host.cold_until = max(host.cold_until, now + self.terms.warm_up)
        if code == Outcome.FULL:
            # Whether its link or its slots are full, it is not to be asked again and again.
            host.link.record_reading(now, now, max(host.told_link, self.fleet.full_from, 1.0))
        suspend = was_playing and code == Outcome.RESET
        if not was_playing and code in FAILURES:
            self._count_outcome(host, False)
            # The last media host may be gone when a viewing that met an error there is given up.
            median_share = median([x.failure_share() for x in self.hosts.values()] or [0.0])
            suspend = host.in_a_row >= MAX_CONSECUTIVE_FAILURES or (
                host.good + host.bad >= MIN_OUTCOMES_JUDGED
                and host.failure_share() > median_share + FAILURE_SHARE_MARGIN
            )
        if suspend:
            host.aside_until = max(
                host.aside_until, now + SUSPENSION_S + SUSPENSION_JITTER_S * self.chance.random()
            )

    # ---- use of link and uplink ----------------------------------------------------------------------------

    def link_use(self, now: float, host: MediaHost) -> float:
        """Returns the predicted use of a media host's link.

        When reports stay out, or where a gateway sees little of the fleet, an old reading fades into a guess.
        The guess is the typical use, raised by what this gateway itself plays there, up to the target use.
        """
        factor = (host.own_kb / host.link.cap_kb + TYPICAL_USE_PRIOR) / (
            self.usual / self.gateways + TYPICAL_USE_PRIOR
        )
        return host.link.predict(now, lambda: min(self.usual * factor, TARGET_USE), self.stale)

    def _rack_rate_kb(self, now: float, host: MediaHost) -> float:
        """Returns the rate that the links of a host's rack together carry, in kB a second."""
        uses = [(self.link_use(now, x), x.link.cap_kb) for x in host.rack if x.listed]
        return sum(min(use, 1 / max(use, 1.0)) * cap for use, cap in uses)

    def uplink_use(self, now: float, host: MediaHost) -> float:
        """Returns the predicted use of a media host's uplink; 0 where uplinks have no stated size."""
        if not self.fleet.uplink_kb:
            return 0.0
        uplink = host.uplink
        # Weight of the size estimated from short delivery against the stated size.
        weight = max(0.0, 1 - max(0.0, now - uplink.at) / UPLINK_ESTIMATE_EXPIRY_S)
        size_kb = self.fleet.uplink_kb + (uplink.cap_kb - self.fleet.uplink_kb) * weight
        return uplink.predict(
            now, lambda: self._rack_rate_kb(now, host) / size_kb, self.stale if self.x1 else 1.0
        )

    def _current_use(self, now: float, host: MediaHost) -> tuple[float, float]:
        """Returns the use of link and uplink, cached until the next event or change on either."""
        key = now, self.inputs, host.link.version, host.uplink.version
        if host.uses_of != key:
            host.uses, host.uses_of = (self.link_use(now, host), self.uplink_use(now, host)), key
        return host.uses

    # ---- decisions -----------------------------------------------------------------------------------------

    now = 0.0

    def decide(self, now: float) -> Decision | None:
        """Returns the next decision, already booked, or None when there is nothing to do now."""
        self.now = now
        if self.plan is None:
            self.plan = self._decisions(now)
        decision = next(self.plan, None)
        if decision is None:
            self.plan = None
        return decision

    def _decisions(self, now: float) -> Iterator[Decision]:
        """Yields all decisions that are due now: list request, placement, steps, messages to gateways."""
        if self.list_due is not None and now >= self.list_due:
            self.list_due = now + (0.5 * self.terms.ask_within or LIST_RETRY_S)
            yield interface.Subscribe()
        # The cost must not grow with the number of waiting viewings at each event. So a viewing that was
        # tried waits for the next round every PLACEMENT_INTERVAL_S, and `full` lets a round find out only
        # once that nothing fits viewings with the same wants.
        full_round = now >= self.look_at or len(self.waiting) <= FEW_WAITING
        due = [
            v
            for v in self.waiting.values()
            if full_round or not v.looked or now >= v.patience - PATIENCE_MARGIN_S
        ]
        self.look_at = now + PLACEMENT_INTERVAL_S if full_round else self.look_at
        full: set[tuple[tuple[int, int], str]] = set()
        for viewing in sorted(due, key=lambda v: (-v.package.value, v.asked_at)):
            yield from self._place(now, viewing, full)
            # A viewing that waits for the answer to a probe is placed again at any event.
            viewing.looked = now >= viewing.asks_until
        # Only hosts with viewings of this gateway are visited: the cost must not grow with the fleet.
        for number in sorted(self.busy):
            host = self.busy[number]
            if now >= host.tick_at:
                host.tick_at = now + STEP_INTERVAL_S
                if self.must_probe and host.listed and now - host.link.at > self.stale:
                    yield interface.Probe(host.row.host)  # load is reported on request only
                yield from self._step_viewings(now, host)
        if self.untold:
            message, self.untold = self.untold[: RATE_CHANGE.size * MAX_CHANGES_PER_MESSAGE], b""
            # A message is of use only to gateways that play on the same hosts. Its chance of being sent is
            # the share of hosts on which this gateway itself plays.
            if self.chance.random() * len(self.hosts) < len(self.busy):
                others = [i for i in range(self.gateways) if i != self.terms.ordinal]
                for recipient in self.chance.sample(others, min(PEER_FANOUT, len(others))):
                    yield interface.Tell(message, recipient)

    def _place(
        self, now: float, viewing: Viewing, full: set[tuple[tuple[int, int], str]]
    ) -> Iterator[Decision]:
        """Admits a viewing at its least used holder, leaves it waiting, or blocks or aborts it.

        It gets the highest rung that fits under the rung's target use, or else its lowest. `full` collects
        the wants (cells and package) that fit nowhere in this round, where no chance or probe had a part.
        """
        wants = viewing.cells, viewing.package.name
        in_time = now < viewing.patience - PATIENCE_MARGIN_S and viewing.tune_ins < self.terms.tune_ins
        wait_until = min(
            viewing.asked_at + HOLDER_WAIT_SHARE * viewing.package.join_target,
            viewing.patience - PATIENCE_MARGIN_S,
        )
        may_tune_in = in_time and self._has_seat_and_budget(now, viewing)
        if may_tune_in and (wants not in full or viewing.tried):
            candidates = [h for h in self._holders(viewing.cells) if self._may_set_up_at(viewing, h)]
            # With every holder suspended, the fleet as a whole looks faulty and all holders are used.
            candidates = [h for h in candidates if now >= h.aside_until] or candidates
            candidates = [h for h in candidates if now >= h.cold_until or not self._cold_budget_spent(now, h)]
            read_since = now - 2 * self.stale
            unread = [h for h in candidates if h.link.at < read_since]
            holders = [
                h for h in candidates if h.link.at >= read_since and not self._cold_budget_spent(now, h)
            ]
            # Gateways that know little would otherwise all choose the same media host, or one that is full,
            # stalls or just started. So where probes are allowed, a holder without a reading is probed
            # first. Where no holder answers or has a reading, the viewing must not spend its patience on
            # probes: it probes up to its join target, well before patience ends, and then some holders are
            # tried unread, at random.
            probe_until = viewing.asked_at + min(
                viewing.package.join_target, HOLDER_WAIT_SHARE * viewing.package.patience
            )
            probe_more = viewing.asks is None or not holders and viewing.asks_until <= now < probe_until
            connected = self._connected_hosts()
            probed = unread if connected is None else [h for h in unread if h.number in connected]
            if self.may_ask and probed and probe_more and len(holders) < ENOUGH_READINGS:
                viewing.asks, viewing.asks_until = self.chance.choice(probed), now + PROBE_TIMEOUT_S
                yield interface.Probe(viewing.asks.row.host)
            if viewing.asks in unread and now < viewing.asks_until:
                return
            if viewing.asks is None or not holders:
                unread = [h for h in unread if not self._cold_budget_spent(now, h)]
                holders += self.chance.sample(unread, min(UNREAD_SAMPLE_SIZE, len(unread)))
                if connected is not None:
                    holders += [h for h in unread if h.number in connected]
            if holders:
                host = min(
                    holders, key=lambda h: (self._placement_cost(now, viewing, h, connected), h.row.host)
                )
                rung = self._highest_fitting_rung(now, viewing, host)
                if rung is not None:
                    yield from self._tune_in(now, viewing, host, rung)
                    return
            if not unread and not viewing.tried and viewing.top >= viewing.package.floor:
                full.add(wants)
        if may_tune_in and now < wait_until:
            return
        del self.waiting[viewing.vw]
        del self.viewings[viewing.vw]
        if len(viewing.erred) == 1:
            self._judge_errors(now, viewing.erred)
        effect, scope = viewing.package.effect, viewing.package.key_scope
        if viewing.may_have_run and effect != "repeatable" and (effect, scope) != ("by_key", "all"):
            yield interface.Abort(viewing.vw)
        else:
            yield interface.Block(
                viewing.vw, min(1.0, self.terms.longest_advice) if self.terms.may_advise else 0.0
            )

    def _connected_hosts(self) -> set[int] | None:
        """Returns the numbers of the media hosts to which this gateway stays connected, None for any host.

        These are the ones with most of its viewings, so that the others come to have none.
        """
        limit = self.terms.max_hosts
        if not limit or len(self.busy) < limit:
            return None
        if len(self.busy) == limit:
            return set(self.busy)
        kept = sorted(self.busy, key=lambda number: (-len(self.busy[number].viewings), number))
        return set(kept[:limit])

    def _placement_cost(
        self, now: float, viewing: Viewing, host: MediaHost, connected: set[int] | None
    ) -> float:
        """Returns the use of a holder, with penalties for crossing zones, a previous try and a connection."""
        link, uplink = self._current_use(now, host)
        crossing = CROSS_ZONE_PENALTY * self.terms.cross_price * (host.row.zone != self.terms.zone)
        return (
            max(link, uplink)
            + SECONDARY_USE_WEIGHT * min(link, uplink)
            + crossing
            + TRIED_HOST_PENALTY * (host.row.host in viewing.tried)
            + UNCONNECTED_HOST_PENALTY * (connected is not None and host.number not in connected)
        )

    def _highest_fitting_rung(self, now: float, viewing: Viewing, host: MediaHost) -> int | None:
        """Returns the highest rung at which a viewing fits at a host, or None where none does."""
        link, uplink = self._current_use(now, host)
        for rung in range(viewing.top, viewing.package.floor - 1, -1):
            limit = viewing.marks[rung] if rung > viewing.package.floor else LOWEST_RUNG_MAX_USE
            kb = self._rate_kb(viewing, rung)
            if link + kb / host.link.cap_kb <= limit and uplink + kb / host.uplink.cap_kb <= limit:
                return rung
        return None

    def _holders(self, cells: tuple[int, int]) -> list[MediaHost]:
        """Returns the media hosts in service that hold titles of these cells, cached up to the next list."""
        held = self.holders.get(cells)
        if held is None:
            (first, spread), places = cells, self.fleet.cells
            # A cell beyond the fleet's number of cells holds nothing: the cells of no title reach it.
            held = self.holders[cells] = [
                h
                for h in self.hosts.values()
                if h.listed
                and (places <= 0 or 0 <= h.row.cell < places and (h.row.cell - first) % places < spread)
            ]
        return held

    def _may_set_up_at(self, viewing: Viewing, host: MediaHost) -> bool:
        """Returns whether a viewing that may have run can be set up at a host (rule 2).

        The effect of its package decides: repeatable, within the scope and window of its key, or once.
        """
        package, anchor = viewing.package, viewing.anchor
        if package.effect == "repeatable" or anchor is None or not viewing.may_have_run:
            return True
        if package.effect != "by_key" or self.now > viewing.first_at + package.key_window - PATIENCE_MARGIN_S:
            return False
        same = {"all": True, "zone": host.row.zone == anchor.zone, "cell": host.row.cell == anchor.cell}
        return same.get(package.key_scope, False)

    def _has_seat_and_budget(self, now: float, viewing: Viewing) -> bool:
        """Returns whether a seat is free and a further tune-in is within the budget (rules 5 and 6)."""
        package, terms = viewing.package, self.terms
        if package.seats > 0:
            seated = [x for x in self.viewings.values() if x.out or x.playing]
            if sum((x.title, x.package) == (viewing.title, package) for x in seated) >= package.seats:
                return False
        if viewing.tune_ins and terms.extra_free is not None:
            for times in (self.asked_times, self.extra_times):
                while times and times[0] <= now - terms.extra_window:
                    times.popleft()
            return len(self.extra_times) + 1 <= terms.extra_free + terms.extra_ratio * len(self.asked_times)
        return True

    def _cold_budget_spent(self, now: float, host: MediaHost) -> bool:
        """Returns whether a host is cold and got this gateway's part of its budget (rule 4).

        The parts are such that the budget holds even when all gateways use theirs in full.
        """
        if now >= host.cold_until and not (host.doubted and now < self.doubts_until):
            return False
        before_restart = host.cold_until - self.terms.warm_up < self.started and self.doubts_until > now
        if before_restart and now < min(host.cold_until, self.started + self.terms.fall_after):
            # This gateway may have sent its part there a moment ago, just before it restarted.
            return True
        slots = (self.fleet.slots or {}).get(host.row.kind) or min((self.fleet.slots or {"": 1}).values())
        # On small sites the budget comes to less than one set-up. One in a window is allowed all the same.
        budget, n = max(1, int(self.cold_budget * slots)), self.gateways
        own_part = budget // n + ((self.terms.ordinal - host.mark) % n < budget % n)
        while host.sent and host.sent[0] < now - self.terms.fall_after - COLD_WINDOW_MARGIN_S:
            host.sent.popleft()
        return len(host.sent) >= own_part

    def _tune_in(self, now: float, viewing: Viewing, host: MediaHost, rung: int) -> Iterator[Decision]:
        """Sends a viewing to a media host. Every tune-in passes here, and rules 2 to 6 are checked again."""
        holds = host in self._holders(viewing.cells) and self._may_set_up_at(viewing, host)
        allowed = holds and not self._cold_budget_spent(now, host) and self._has_seat_and_budget(now, viewing)
        if viewing.out or viewing.playing or not allowed:
            return
        if rung != viewing.rung or viewing.tune_ins == 0:
            viewing.rung = rung
            yield interface.SetRung(viewing.vw, rung)
        if not viewing.tune_ins:
            viewing.first_at = now
        elif self.terms.extra_free is not None:
            self.extra_times.append(now)
        left = viewing.patience - PATIENCE_MARGIN_S - now
        within = left if viewing.package.effect == "once" else min(self._tune_in_timeout(viewing), left)
        self.waiting.pop(viewing.vw, None)
        viewing.out, viewing.host = True, host
        viewing.tune_ins += 1
        viewing.tried.append(host.row.host)
        viewing.anchor = viewing.anchor or host.row
        host.viewings[viewing.vw] = viewing
        self.busy[host.number] = host
        host.sent.append(now)
        viewing.sent_at = now
        self._book_rate(now, viewing, rung)
        yield interface.TuneIn(viewing.vw, host.row.host, max(within, 0.001))

    def confirm_delayed_send(self, now: float, viewing_id: int) -> bool:
        """Returns whether a tune-in that was delayed on its way may still be sent, and books it as of now.

        Meanwhile its media host may have begun to drain, or have restarted and be cold.
        """
        viewing = self.viewings.get(viewing_id)
        if (
            viewing is None
            or viewing.host is None
            or not viewing.out
            or viewing.gone
            or not viewing.host.listed
        ):
            return False
        if viewing.sent_at in viewing.host.sent:
            viewing.host.sent.remove(viewing.sent_at)
        if self._cold_budget_spent(now, viewing.host):
            return False
        viewing.sent_at = now
        viewing.host.sent.append(now)
        return True

    def _tune_in_timeout(self, viewing: Viewing) -> float:
        """Returns the time-out of a tune-in, in seconds, from the histogram of set-up times."""
        total = sum(self.took)
        cumulative = zip((*SETUP_TIME_BINS_S, math.inf), accumulate(self.took), strict=True)
        edge = next(edge for edge, count in cumulative if count >= TIMEOUT_QUANTILE * total)
        timeout = edge * TIMEOUT_FACTOR if total >= MIN_SETUPS_SEEN else INITIAL_TIMEOUT_S
        return min(max(MIN_TIMEOUT_S, timeout), MAX_TIMEOUT_JOIN_TARGETS * viewing.package.join_target)

    def _step_viewings(self, now: float, host: MediaHost) -> Iterator[Decision]:
        """Steps the viewings at a media host one after the other, up to this gateway's part of the change.

        All gateways see the same reports, so together they would step too far. Each therefore changes its
        rates by its own part of what brings link and uplink to the target use. A random draw rounds the part
        to whole steps.
        """
        playing = [v for v in host.viewings.values() if v.playing and not v.gone]
        use = max(*self._current_use(now, host), 1e-9)
        part, draw = host.own_kb * abs(TARGET_USE / use - 1), self.chance.random()
        if host.short and now - host.share_at < SHORT_DELIVERY_EXPIRY_S:
            part *= SHORT_DELIVERY_STEP_FACTOR
        # Above the target the steps that earn least a kB are given up first, below it those that earn most
        # are taken first.
        sign, down = (1, 1) if use > TARGET_USE else (-1, 0)
        by_worth = [(sign * (v.worths[v.rung - down] if v.rung >= down else 1e9), v.vw, v) for v in playing]
        for _, _, viewing in sorted(by_worth):
            rung = self._next_rung(now, viewing, host)
            if rung == viewing.rung:
                continue
            change = abs(self._rate_kb(viewing, rung) - self._rate_kb(viewing, viewing.rung))
            if change and draw * change <= part:
                part -= change
                self._book_rate(now, viewing, rung)
                viewing.hold_until = now + HOLD_S
                yield interface.SetRung(viewing.vw, rung)

    def _next_rung(self, now: float, viewing: Viewing, host: MediaHost) -> int:
        """Returns the rung of a viewing by the EDRA mechanism: measure, estimate, bounds, then a step.

        A step is one rung at most, but for short delivery: then it goes down to what the measure carries.
        """
        link, uplink = self._current_use(now, host)
        rate = self._rate_kb(viewing, viewing.rung)
        share = (
            1 / max(link, uplink, 1e-9)
            if host.short and now - host.share_at < SHORT_DELIVERY_EXPIRY_S
            else 1.0
        )
        if share < SHORT_DELIVERY_SHARE:
            measure = rate * share
        else:
            target = viewing.marks[min(viewing.rung + 1, viewing.top)]
            link_room = (
                target - link if link < target else min(0.0, STEP_DOWN_USE - link)
            ) * host.link.cap_kb
            uplink_room = (
                target - uplink if uplink < target else min(0.0, STEP_DOWN_USE - uplink)
            ) * host.uplink.cap_kb
            measure = max(0.0, rate + min(link_room, uplink_room))
        viewing.estimate = (MEASURE_WEIGHT * measure + ESTIMATE_WEIGHT * viewing.estimate) / (
            MEASURE_WEIGHT + ESTIMATE_WEIGHT
        )
        carried = self._rung_within(viewing, measure)
        if measure > viewing.last:
            if measure >= self._rate_kb(viewing, viewing.high):
                viewing.high, viewing.low = carried, min(viewing.low + 1, carried)
        elif measure < self._rate_kb(viewing, viewing.low):
            viewing.high, viewing.low = carried, max(carried - 2, viewing.package.floor)
        viewing.last = measure
        if share < SHORT_DELIVERY_SHARE:
            return min(viewing.rung, carried)
        if now < viewing.hold_until or host.link.value is None and now < self.started + self.stale:
            return viewing.rung
        aim = max(viewing.low, min(viewing.high, self._rung_within(viewing, viewing.estimate)))
        step = viewing.rung + (aim > viewing.rung) - (aim < viewing.rung)
        return (
            max(viewing.package.floor, min(viewing.top, step))
            if viewing.package.floor <= viewing.top
            else viewing.rung
        )

    def _rung_within(self, viewing: Viewing, kb: float) -> int:
        """Returns the highest rung whose rate is within `kb` a second, between the floor and the top."""
        return max(viewing.package.floor, min(viewing.top, bisect_right(viewing.rates, kb) - 1))
