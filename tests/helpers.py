"""Facts and helpers for tests of the decisions, and a checker of the six rules that carries them out."""

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


def rows(count: int = 6, state: str = "in_service", started: float = 0.0) -> list[Row]:
    return [Row(f"h{i}", i, 2.0, "k", "ab"[i % 2], state, started) for i in range(count)]


def make_gateway(
    package: Package = PLAIN, terms: Terms = TERMS, fleet: Fleet = FLEET, hosts: int = 6
) -> Gateway:
    """Returns a gateway that knows some media hosts, which started before it."""
    gateway = Gateway(7, 100.0, LADDER, (package,), fleet, terms)
    gateway.on_host_list(100.0, "warm_copy", rows(hosts))
    return gateway


def decisions(gateway: Gateway, now: float) -> list[Decision]:
    """Returns all decisions that are due now."""
    made = []
    while (decision := gateway.decide(now)) is not None:
        made.append(decision)
        assert len(made) < 10000
    return made


def request(
    gateway: Gateway, now: float, viewing_id: int, package: str = "plain", spread: int = 6, top: int = 3
) -> None:
    """Requests a viewing of a title that `spread` cells hold."""
    gateway.on_viewing_request(now, viewing_id, package, "t1", 0, spread, top, now + 3.0)


class RuleChecker:
    """Carries out the decisions of a gateway and asserts the rules, counted independently of the gateway."""

    def __init__(self, gateway: Gateway, terms: Terms, slots: int) -> None:
        self.gateway, self.terms, self.slots = gateway, terms, slots
        # Package, title, patience and top of the requests not answered yet.
        self.open: dict[int, tuple[Package, str, float, int]] = {}
        self.known: dict[int, tuple[Package, str, float, int]] = {}  # the same, of all requests ever made
        self.out: dict[int, tuple[str, int, float]] = {}  # tune-ins under way: host, number, end
        self.playing: dict[int, str] = {}
        self.ran: dict[int, tuple[str, float]] = {}  # host and time of the tune-in that may have run
        self.tune_ins: dict[int, int] = {}  # number of tune-ins
        self.drain_times: dict[str, float] = {}
        self.started: dict[str, float] = {}
        self.sent: list[tuple[float, str]] = []
        self.request_times: list[float] = []
        self.extra_times: list[float] = []
        self.rows: dict[str, Row] = {}

    def check_decisions(self, now: float) -> None:
        for decision in decisions(self.gateway, now):
            self.carry_out(now, decision)
        for viewing_id, (_, _, patience, _) in self.open.items():
            assert viewing_id in self.out or now <= patience + self.terms.answer_slack, (
                "rule 1: answer in time"
            )

    def carry_out(self, now: float, decision: Decision) -> None:
        match decision:
            case interface.SetRung(viewing_id, rung):
                package, _, _, top = (
                    self.open[viewing_id] if viewing_id in self.open else self.known[viewing_id]
                )
                assert package.floor <= rung <= top, "rule 5: between the floor and the viewer's top"
            case interface.TuneIn(viewing_id, host, within):
                self.tune_in(now, viewing_id, host, within)
            case interface.Block(viewing_id, retry_after):
                package = self.open.pop(viewing_id)[0]
                assert viewing_id not in self.out, "rule 1: no answer while a tune-in is under way"
                assert (
                    viewing_id not in self.ran
                    or package.effect == "repeatable"
                    or (package.effect == "by_key" and package.key_scope == "all")
                ), "rule 2: blocked only if it never ran"
                assert retry_after <= self.terms.longest_advice
            case interface.Abort(viewing_id):
                del self.open[viewing_id]
                assert viewing_id not in self.out

    def tune_in(self, now: float, viewing_id: int, host: str, within: float) -> None:
        package, title, patience, _ = self.open[viewing_id]
        assert viewing_id not in self.out and viewing_id not in self.playing, "rule 2: one tune-in at a time"
        assert 0 < within <= patience - now + 1e-9, "rule 1: time-out within patience"
        if viewing_id in self.ran and package.effect != "repeatable":
            first_host, at = self.ran[viewing_id]
            same = {
                "all": True,
                "zone": self.rows[first_host].zone == self.rows[host].zone,
                "cell": self.rows[first_host].cell == self.rows[host].cell,
            }
            assert package.effect == "by_key" and same[package.key_scope], "rule 2: scope of the key"
            assert now <= at + package.key_window, "rule 2: window of the key"
        assert now <= self.drain_times.get(host, 1e18) + self.terms.drain_grace, (
            "rule 3: no tune-in to a draining host"
        )
        if now < self.started.get(host, -1e9) + self.terms.warm_up:
            recent = sum(1 for at, h in self.sent if h == host and at > now - self.terms.fall_after) + 1
            terms = self.terms
            budget = terms.fall_multiple * terms.cold_share * self.slots / terms.warm_up * terms.fall_after
            assert recent <= max(1.0, budget / terms.gateways + 1), (
                "rule 4: own part of the budget of a cold host"
            )
        if package.seats:
            held = [x for x in {**self.out, **self.playing} if self.known[x][:2] == (package, title)]
            assert len(held) < package.seats, "rule 5: seats"
        number = self.tune_ins.get(viewing_id, 0)
        assert number < self.terms.tune_ins
        if number and self.terms.extra_free is not None:
            since = now - self.terms.extra_window
            requests = sum(1 for at in self.request_times if at > since)
            extra = sum(1 for at in self.extra_times if at > since) + 1
            assert extra <= self.terms.extra_free + self.terms.extra_ratio * requests, (
                "rule 6: budget of further tune-ins"
            )
        if number:
            self.extra_times.append(now)
        self.sent.append((now, host))
        self.tune_ins[viewing_id] = number + 1
        self.out[viewing_id] = (host, number, now + within)
