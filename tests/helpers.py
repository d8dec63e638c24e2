"""A host in miniature that carries out decisions and checks the six rules at every step."""

from ledgehitch import interface
from ledgehitch.brain import Gateway
from ledgehitch.interface import Decision, Fleet, Ladder, Package, Row, Terms

LADDER = Ladder((100.0, 200.0, 400.0, 800.0), (0.2, 0.5, 0.75, 1.0))
FLEET = Fleet(
    cells=6,
    racks=2,
    link_unit_kb=1000,
    uplink_kb=4500,
    slots={"k": 30},
    full_from=1.0,
    told_late=1.0,
    told_every=3.0,
    load_fields=("active", "x0"),
    reports="piggyback",
)
TERMS = Terms(
    zone="a",
    gateways=2,
    tune_ins=3,
    answer_slack=0.04,
    drain_grace=1.0,
    ask_within=10.0,
    cold_share=0.4,
    warm_up=10.0,
    fall_multiple=3.0,
    fall_after=2.0,
    may_tell=True,
)
PLAIN = Package("plain", 0.8, 3.0, top=3)


def rows(n: int = 6, state: str = "in_service", started: float = 0.0) -> list[Row]:
    return [Row(f"h{i}", i, 2.0, "k", "ab"[i % 2], state, started) for i in range(n)]


def gateway(package: Package = PLAIN, terms: Terms = TERMS, fleet: Fleet = FLEET, hosts: int = 6) -> Gateway:
    gw = Gateway(7, 100.0, LADDER, (package,), fleet, terms)
    gw.on_host_list(100.0, "warm_copy", rows(hosts))
    return gw


def decisions(gw: Gateway, now: float) -> list[Decision]:
    out = []
    while (decision := gw.decide(now)) is not None:
        out.append(decision)
        assert len(out) < 10000
    return out


def request(
    gw: Gateway, now: float, viewing_id: int, package: str = "plain", spread: int = 6, top: int = 3
) -> None:
    gw.on_viewing_request(now, viewing_id, package, "t1", 0, spread, top, now + 3.0)


class Ledger:
    """What the rules of the wire say, counted from the outside."""

    def __init__(self, gw: Gateway, terms: Terms, slots: int) -> None:
        self.gw, self.terms, self.slots = gw, terms, slots
        self.open: dict[int, tuple[Package, str, float, int]] = {}  # package, title, patience, top
        self.known: dict[int, tuple[Package, str, float, int]] = {}  # the same, of all ever asked
        self.out: dict[int, tuple[str, int, float]] = {}  # tune-in that is out: host, number, ends
        self.playing: dict[int, str] = {}
        self.ran: dict[int, tuple[str, float]] = {}  # where and when a tune-in may have run
        self.count: dict[int, int] = {}
        self.told_gone: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.sent: list[tuple[float, str]] = []
        self.asked: list[float] = []
        self.extra: list[float] = []
        self.rows: dict[str, Row] = {}

    def step(self, now: float) -> None:
        for decision in decisions(self.gw, now):
            self.check(now, decision)
        for viewing_id, (_, _, patience, _) in self.open.items():
            assert viewing_id in self.out or now <= patience + self.terms.answer_slack, (
                "rule 1: answered in time"
            )

    def check(self, now: float, decision: Decision) -> None:
        match decision:
            case interface.SetRung(viewing_id, rung):
                package, _, _, top = (
                    self.open[viewing_id] if viewing_id in self.open else self.known[viewing_id]
                )
                assert package.floor <= rung <= top, "rule 5: floor, and the viewer's top"
            case interface.TuneIn(viewing_id, host, within):
                self.tune_in(now, viewing_id, host, within)
            case interface.Block(viewing_id, stay_away):
                package = self.open.pop(viewing_id)[0]
                assert viewing_id not in self.out, "rule 1: no answer while a tune-in is out"
                assert (
                    viewing_id not in self.ran
                    or package.effect == "repeatable"
                    or (package.effect == "by_key" and package.key_scope == "all")
                ), "rule 2: refused only if it never ran"
                assert stay_away <= self.terms.longest_advice
            case interface.Abort(viewing_id):
                del self.open[viewing_id]
                assert viewing_id not in self.out

    def tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        package, title, patience, _ = self.open[viewing_id]
        assert viewing_id not in self.out and viewing_id not in self.playing, "rule 2: never two out"
        assert 0 < within <= patience - now + 1e-9, "rule 1: ends before patience"
        if viewing_id in self.ran and package.effect != "repeatable":
            there, at = self.ran[viewing_id]
            same = {
                "all": True,
                "zone": self.rows[there].zone == self.rows[host].zone,
                "cell": self.rows[there].cell == self.rows[host].cell,
            }
            assert package.effect == "by_key" and same[package.key_scope], "rule 2: group"
            assert now <= at + package.key_window, "rule 2: window"
        assert now <= self.told_gone.get(host, 1e18) + self.terms.drain_grace, "rule 3: drains"
        if now < self.started.get(host, -1e9) + self.terms.warm_up:
            recent = sum(1 for at, h in self.sent if h == host and at > now - self.terms.fall_after) + 1
            t = self.terms
            budget = t.fall_multiple * t.cold_share * self.slots / t.warm_up * t.fall_after
            assert recent <= max(1.0, budget / t.gateways + 1), "rule 4: own part of the cold budget"
        if package.seats:
            held = [x for x in {**self.out, **self.playing} if self.known[x][:2] == (package, title)]
            assert len(held) < package.seats, "rule 5: seats"
        number = self.count.get(viewing_id, 0)
        assert number < self.terms.tune_ins
        if number and self.terms.extra_free is not None:
            since = now - self.terms.extra_window
            taken = sum(1 for at in self.asked if at > since)
            extra = sum(1 for at in self.extra if at > since) + 1
            assert extra <= self.terms.extra_free + self.terms.extra_ratio * taken, "rule 6: budget"
        if number:
            self.extra.append(now)
        self.sent.append((now, host))
        self.count[viewing_id] = number + 1
        self.out[viewing_id] = (host, number, now + within)
