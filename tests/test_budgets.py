"""Budgets: loans in all interleavings, division, a lender and its borrowers, malformed messages."""

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ledgehitch.budgets.borrower import Borrower
from ledgehitch.budgets.facts import (
    REQUESTS_PER_LOAN,
    WHOLE,
    Budget,
    budgets_digest,
    budgets_of,
    loan_duration,
)
from ledgehitch.budgets.ledger import MAX_OPEN_LOANS, divide, water_fill
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.messages import InvalidMessage, LoanMessage, decode, encode
from ledgehitch.budgets.parts import UNNUMBERED, OwnPart, lending_terms
from ledgehitch.budgets.units import lendable, own_parts
from ledgehitch.fleet.shared import BudgetReport, remarks
from ledgehitch.fleet.shared import decode_report as decode_report
from ledgehitch.fleet.shared import summarize_budgets as shares
from ledgehitch.owners.facts import MemberLists, vote_duration
from tests.explore_budgets import INJECTED_FAULTS, SCENARIOS, explore, walk

T = 1000.0
RATE, COUNT = Budget("offers.live", "rate"), Budget("set_ups", "count", 3.0, WHOLE // 20)
DIGEST, LOAN = b"same", 5.0
PERIOD = LOAN / REQUESTS_PER_LOAN


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_interleaving_has_more_than_the_whole_in_force(name: str) -> None:
    found = explore(3000, SCENARIOS[name])
    assert found.states == 3000 and found.unsafe is None, found.breach
    deeper = walk(5, 30, 40, SCENARIOS[name])
    assert deeper.states > 300 and deeper.unsafe is None, deeper.breach


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_each_injected_fault_is_detected_and_its_path_is_safe_without_it(fault: str) -> None:
    scenario, path = INJECTED_FAULTS[fault]
    found = explore(20_000, SCENARIOS[scenario], fault, path)
    assert found.unsafe is not None and found.breach.endswith("of the whole are in force")
    assert explore(min(found.states, 2000), SCENARIOS[scenario], "", path).unsafe is None


# ---- division ----------------------------------------------------------------------------------------------


@settings(max_examples=200, derandomize=True)
@given(
    st.integers(0, WHOLE),
    st.dictionaries(st.integers(0, 40), st.integers(0, WHOLE), max_size=12),
    st.integers(0, WHOLE // 50),
    st.sampled_from([1, WHOLE // 20, WHOLE // 3]),
)
def test_division_uses_the_pool_and_starves_no_borrower(
    pool: int, wanted: dict[int, int], own: int, grain: int
) -> None:
    loans = divide(pool, dict.fromkeys(wanted, own), wanted, grain)
    assert loans.keys() == wanted.keys() and sum(loans.values()) <= pool
    assert all(parts >= 0 and parts % grain == 0 for parts in loans.values())
    level = water_fill(pool, {m: max(0, w - own) for m, w in wanted.items()})
    assert sum(level.values()) <= pool
    for member, parts in level.items():
        short = parts < max(0, wanted[member] - own)
        assert not short or all(parts >= other - len(level) for other in level.values()), "a common level"
        assert grain > 1 or loans[member] >= parts
        lacks = loans[member] < max(0, wanted[member] - own)
        assert not lacks or grain == 1 or all(loans[member] >= other - grain for other in loans.values())
    if wanted:
        assert sum(loans.values()) > pool - max(len(wanted), grain), "the surplus is lent, too"


def test_excessive_request_takes_nothing_from_borrowers_that_need_less() -> None:
    wanted = dict.fromkeys(range(9), WHOLE // 20) | {9: WHOLE}
    loans = divide(WHOLE, {}, wanted)
    assert all(loans[m] == WHOLE // 20 for m in range(9)) and loans[9] == WHOLE - 9 * (WHOLE // 20)


def test_loans_and_own_parts_of_a_count_are_whole_units() -> None:
    names, grain = tuple("abcdefg"), WHOLE // 20
    by_name = own_parts(COUNT, 0.1, names)
    own = {number: by_name[name] for number, name in enumerate(names)}
    loans = divide(lendable(COUNT, 0.1), own, {0: WHOLE, 1: WHOLE, 2: 3 * grain}, grain)
    whole = {m: (own[m] + parts) / grain for m, parts in loans.items()}
    assert whole[2] == 3 and all(n == int(n) for n in whole.values())
    assert sum(whole.values()) + sum(own[m] for m in range(3, 7)) / grain == 20


# ---- one lender and its borrowers --------------------------------------------------------------------------


class LendingFleet:
    """Borrowers and one lender with immediate delivery of messages."""

    def __init__(self, n: int = 3, own_part: float = 0.1, unit: Budget = RATE) -> None:
        self.names = tuple(f"g{me}" for me in range(n))
        self.own = list(own_parts(unit, own_part, self.names).values())
        self.pool = lendable(unit, own_part)
        self.budget, self.n, self.term = unit, n, 0
        self.borrowers = [Borrower([unit], [self.own[me]], me + 1, [DIGEST], LOAN) for me in range(n)]
        self.lender = self.elect_lender(T - 100.0)

    def elect_lender(self, now: float) -> Lender:
        self.term += 1
        own = {me: (parts,) for me, parts in enumerate(self.own)}
        self.lender = Lender(now, self.term, [self.budget], own, [self.pool], range(self.n), [DIGEST], LOAN)
        return self.lender

    def request(self, now: float, me: int, wanted: float, used: float = 0.0) -> LoanMessage | None:
        borrower = self.borrowers[me]
        borrower._next_request_at = -1e18
        name = self.budget.name
        message = borrower.next_request(
            now, self.term, {name: int(used * WHOLE)}, {name: int(wanted * WHOLE)}
        )
        assert message is not None
        return self.lender.on_request(now, me, decode(encode(message)))

    def exchange(self, now: float, wanted: dict[int, float]) -> None:
        for me, want in wanted.items():
            answer = self.request(now, me, want)
            if answer is not None:
                self.borrowers[me].on_loan(now, decode(encode(answer)))

    def parts(self, now: float) -> list[float]:
        return [borrower.available(now, self.budget.name) / WHOLE for borrower in self.borrowers]


def test_loans_follow_need_and_expire_to_the_own_part() -> None:
    fleet = LendingFleet()
    for tick in range(3):
        fleet.exchange(T + tick, {0: 1.0, 1: 0.0, 2: 0.0})
    parts = fleet.parts(T + 2)
    assert parts[0] == pytest.approx(1 / 30 + 0.9, abs=0.01) and sum(parts) <= 1
    for tick in range(3, 8):
        fleet.exchange(T + tick, {0: 0.0, 1: 0.5, 2: 0.5})
    parts = fleet.parts(T + 7)
    assert min(parts[1:]) >= 0.45 and sum(parts) <= 1
    assert fleet.parts(T + 7 + LOAN) == [pytest.approx(1 / 30, abs=1e-8)] * 3
    assert fleet.borrowers[1].available(T + 6, "offers.live") == fleet.own[1], (
        "a clock that jumped back ends it"
    )


def test_new_lender_renews_held_loans_and_divides_once_former_ones_have_ended() -> None:
    fleet = LendingFleet()
    for tick in range(3):
        fleet.exchange(T + tick, {0: 1.0, 1: 0.2, 2: 0.0})
    held = fleet.parts(T + 2)
    fleet.elect_lender(T + 2.5)
    for tick in range(3, 7):
        fleet.exchange(T + tick, {0: 0.0, 1: 1.0})  # 2 sends nothing, so its loan is unknown
        assert fleet.parts(T + tick)[1] == pytest.approx(held[1]), "exactly what it reported as held"
    fleet.exchange(T + 7.6, {0: 0.0, 1: 1.0})
    fleet.exchange(T + 8.0, {0: 0.0})
    fleet.exchange(T + 8.4, {1: 1.0})
    assert fleet.parts(T + 8.4)[1] > 0.9
    fleet.elect_lender(T + 9.0)
    fleet.exchange(T + 9.1, {1: 1.0, 0: 0.0})
    fleet.exchange(T + 9.5, {2: 0.2})
    assert fleet.lender.waits_until == [T + 9.5], "all have sent requests: the held loans are known"


def test_parts_still_in_use_count_as_taken_after_the_loan_shrinks() -> None:
    fleet = LendingFleet(2, unit=COUNT)
    fleet.exchange(T, {0: 1.0, 1: 0.1})
    fleet.exchange(T + 1, {0: 1.0, 1: 0.1})
    used = fleet.borrowers[0].available(T + 1, "set_ups") / WHOLE
    assert used >= 0.8
    for tick in range(2, 5):
        fleet.exchange(T + tick, {1: 1.0})
        fleet.request(T + tick, 0, 0.0, used)
        assert used + fleet.parts(T + tick)[1] <= 1.0 + 1e-9, "units in use are not lent again"
    fleet.exchange(T + 5, {0: 0.0})
    fleet.exchange(T + 6, {0: 0.0, 1: 1.0})
    assert fleet.parts(T + 6)[1] >= 0.8


def test_new_or_raised_own_part_waits_for_former_loans_and_a_lowered_one_does_not() -> None:
    three = MemberLists(("a", "b", "c"), lease=6.0, former_lease=6.0, own_part=0.3, former_own_part=0.3)
    longest = vote_duration(loan_duration(6.0))
    old, new = OwnPart(0.0, three, "a", [RATE]), OwnPart(0.0, three, "a", [RATE])

    def third(whole: float) -> tuple[int]:
        return (int(whole * WHOLE) // 3,)

    assert old.parts_at(longest + 1.0, True, had_part=True) == third(0.3)
    assert new.parts_at(10.0, False, had_part=False) == (0,) and new.parts_at(20.0, True, had_part=False) == (
        0,
    )
    assert new.parts_at(20.0 + longest - 0.01, True, had_part=False) == (0,)
    assert new.parts_at(20.0 + longest, True, had_part=False) == third(0.3)
    assert new.parts_at(40.0, False, had_part=False) == new.parts_at(41.0, True, had_part=False) == (0,), (
        "it left, and waits anew"
    )
    raised = three._replace(own_part=0.6)
    old.on_list_change(100.0, raised)
    assert old.parts_at(100.0, True, had_part=True) == third(0.3)
    assert old.parts_at(100.0 + longest, True, had_part=True) == third(0.6)
    lowered = raised._replace(own_part=0.15, former_own_part=0.6)
    old.on_list_change(200.0, lowered)
    assert old.parts_at(200.0, True, had_part=True) == third(0.15)


def test_lendable_parts_during_a_list_change_allow_for_both_versions() -> None:
    settled = MemberLists(("a", "b"), own_part=0.2, former_own_part=0.9)
    tenth = (WHOLE // 10,)
    assert lending_terms([RATE], settled, frozenset(), {"a": 0, "b": 1}) == (
        {0: tenth, 1: tenth},
        (WHOLE * 8 // 10,),
        {0, 1},
    )
    changing = MemberLists(("a", "b"), ("a", "c", "d"), own_part=0.2, former_own_part=0.6)
    own, pool, members = lending_terms([RATE], changing, frozenset({"d"}), {"a": 0, "b": 1})
    assert (own, pool) == ({0: tenth, 1: (0,)}, (WHOLE * 4 // 10,)) and members == {0, 1, UNNUMBERED}


def test_late_duplicated_overtaken_or_foreign_answers_change_nothing() -> None:
    fleet = LendingFleet()
    first, second = fleet.request(T, 0, 1.0), fleet.request(T + 0.5, 0, 0.3)
    assert first is not None and second is not None
    borrower = fleet.borrowers[0]
    for more in ({"life": 9}, {"digest": b"else"}, {"term": 0}, {"loans": (1, 1)}, {"sequence": 77}):
        assert not borrower.on_loan(T + 0.6, second._replace(**more))
    assert borrower.on_loan(T + 0.6, second) and borrower.loan_until == T + 0.5 + LOAN
    assert not borrower.on_loan(T + 0.6, second) and not borrower.on_loan(T + 0.6, first)
    third = fleet.request(T + 1, 0, 0.3)
    assert third is not None and not borrower.on_loan(T + 1 + LOAN, third._replace(seconds=900.0))
    assert sum(borrower.counts.values()) == 8
    borrower.on_clock_check(False)
    assert borrower.available(T + 1.2, "offers.live") == fleet.own[0]


def test_lender_waits_for_longer_loans_made_under_former_leases() -> None:
    lender = Lender(
        T, 2, [RATE, COUNT], {}, [WHOLE, WHOLE], range(3), [DIGEST], loan_duration(2.0), loan_duration(20.0)
    )
    longest = loan_duration(20.0) * 1.01
    assert lender.waits_until == pytest.approx([T + longest, T + longest + COUNT.lag])


def test_lender_refuses_requests_of_another_term_version_or_member() -> None:
    fleet = LendingFleet()
    message = fleet.borrowers[0].next_request(T, 1, {}, {"offers.live": WHOLE})
    assert message is not None
    for other in (
        message._replace(term=2),
        message._replace(digest=b"else"),
        message._replace(loans=(), held=()),
    ):
        assert fleet.lender.on_request(T, 0, other) is None
    assert fleet.lender.on_request(T, 3, message) is None
    assert (
        fleet.lender.on_request(T, 0, message) is not None and fleet.lender.on_request(T, 0, message) is None
    ), "duplicated"
    for number in range(2, 40):
        fleet.lender.on_request(T, 0, message._replace(sequence=number))
    assert len(fleet.lender.ledger.borrowers[0][1].loans) == MAX_OPEN_LOANS
    for life in range(2, 9):
        fleet.lender.on_request(T, 0, message._replace(life=life))
    assert (
        len(fleet.lender.ledger.borrowers[0]) <= 4
        and fleet.lender.ledger.reserved_sums[0] <= fleet.lender.ledger.pool[0]
    )


def test_borrower_with_a_jump_in_need_requests_early_and_otherwise_once_per_period() -> None:
    borrower = Borrower([RATE], [own_parts(RATE, 0.1, "abc")["a"]], 1, [DIGEST], LOAN)
    assert (
        borrower.next_request(T, 1, {}, {})
        and not borrower.next_request(T + PERIOD - 0.01, 1, {}, {})
        and borrower.next_request(T + PERIOD, 1, {}, {})
    )
    assert not borrower.next_request(T + PERIOD + 0.1, 1, {}, {"offers.live": WHOLE})
    assert borrower.next_request(T + PERIOD + 0.2, 1, {}, {"offers.live": WHOLE})
    assert not borrower.next_request(T + 9, 0, {}, {}), "the term is a former one"
    assert borrower.next_request(T + 9, 2, {}, {"offers.live": 77 * WHOLE}).wanted == (WHOLE,)  # type: ignore[union-attr]


@pytest.mark.parametrize("seed", range(6))
def test_changing_lenders_in_virtual_time_never_exceed_the_whole(seed: int) -> None:
    """Messages are lost, delayed and duplicated; members restart; the lender changes at any moment."""
    chance = random.Random(seed)
    budget = COUNT if seed % 2 else RATE
    fleet = LendingFleet(6, unit=budget)
    in_flight: list[tuple[float, int, LoanMessage]] = []
    in_use, ended_lives_in_use = [0] * 6, list[tuple[int, float]]()
    since = [0.0] * 6
    lease = T + 3.0
    for step in range(1500):
        now = T + step * 0.05
        if now >= lease or chance.random() < 0.004:
            fleet.elect_lender(now)
            lease = now + chance.uniform(1.0, 12.0)
        for me, borrower in enumerate(fleet.borrowers):
            message = borrower.next_request(
                now,
                fleet.term,
                {budget.name: fleet.own[me] + in_use[me]},
                {budget.name: chance.choice([0, WHOLE // 5, WHOLE])},
            )
            for _ in range(chance.choice([0, 1, 1, 1, 2]) if message is not None else 0):
                in_flight.append((now + chance.random(), me, message))  # type: ignore[arg-type]
            if budget.unit == "count":
                mine = max(0, borrower.available(now, budget.name) - fleet.own[me])
                if in_use[me] and (now - since[me] >= budget.lag or chance.random() < 0.1):
                    in_use[me] = 0
                elif not in_use[me] and chance.random() < 0.3:
                    in_use[me], since[me] = mine, now
            if chance.random() < 0.005:  # it is killed; its use continues for a while
                ended_lives_in_use.append((in_use[me], since[me] + budget.lag))
                in_use[me] = 0
                fleet.borrowers[me] = Borrower([budget], [fleet.own[me]], 100 + step, [DIGEST], LOAN)
        for item in [x for x in in_flight if x[0] <= now]:
            in_flight.remove(item)
            _, me, message = item
            if message.kind == "want":
                answer = fleet.lender.on_request(now, me, message)
                for _ in range(chance.choice([0, 1, 1, 2]) if answer is not None else 0):
                    in_flight.append((now + chance.random(), me, answer))  # type: ignore[arg-type]
            else:
                fleet.borrowers[me].on_loan(now, message)
        ended_lives_in_use = [x for x in ended_lives_in_use if x[1] > now]
        used = sum(
            max(borrower.available(now, budget.name), fleet.own[me] + in_use[me])
            for me, borrower in enumerate(fleet.borrowers)
        )
        assert used + sum(parts for parts, _ in ended_lives_in_use) <= WHOLE


# ---- messages ----------------------------------------------------------------------------------------------


@settings(max_examples=300, derandomize=True)
@given(st.binary(max_size=120))
def test_arbitrary_bytes_are_decoded_completely_or_refused(data: bytes) -> None:
    try:
        message = decode(data)
    except InvalidMessage:
        return
    assert encode(message) == data


def test_messages_above_the_whole_or_truncated_are_refused() -> None:
    want = LoanMessage("want", DIGEST, 3, 4, 5, 6, 0.0, (7, 8), (9, 10), (11, WHOLE))
    data = encode(want)
    assert decode(data) == want
    assert decode(encode(want._replace(kind="lent", held=(), wanted=()))).loans == (7, 8)
    for cut in range(len(data)):
        with pytest.raises(InvalidMessage):
            decode(data[:cut])
    with pytest.raises(InvalidMessage, match="whole"):
        decode(encode(want._replace(wanted=(11, WHOLE + 1))))


def test_budgets_follow_the_site_limits_and_digests_differ_by_version() -> None:
    budgets = budgets_of({"live": 5.0, "event": 3.0}, 20, 4.0)
    assert [borrower.name for borrower in budgets] == ["offers.event", "offers.live", "set_ups"]
    assert budgets[2].grain == WHOLE // 20 and budgets[2].lag == 4.0 and budgets_of({}, 0.0, 4.0) == ()
    versions = [(budgets, 0.1, "ab"), (budgets, 0.2, "ab"), (budgets, 0.1, "abc"), (budgets[:2], 0.1, "ab")]
    assert len({budgets_digest(*version) for version in versions}) == 4


# ---- the fleet tool's report -------------------------------------------------------------------------------


def encode_report(
    own: float, loan: float, wanted: float, lends: list[dict[str, object]] | None = None, alone: str = ""
) -> bytes:
    one = {
        "own": int(own * WHOLE),
        "loan": int(loan * WHOLE),
        "wanted": int(wanted * WHOLE),
        "used": 0,
        "unit": "rate",
    }
    return msgspec.json.encode(
        {
            "whole": WHOLE,
            "budgets": {"offers.live": one},
            "loan_left": 1.0,
            "term": 3,
            "alone": alone,
            "lends": lends,
            "refused": {},
        }
    )


def test_fleet_sums_are_reported_and_inconsistencies_named() -> None:
    book = {"budget": "offers.live", "pool": int(0.9 * WHOLE), "lent": {"0": WHOLE // 2}, "waits": 0.0}
    told = {
        "g0": decode_report(encode_report(0.05, 0.5, 0.9, [book])),
        "g1": decode_report(encode_report(0.05, 0.0, 0.01)),
    }
    good = {name: t for name, t in told.items() if not isinstance(t, str)}
    (one,) = shares(good)
    assert len(good) == 2 and (one.own, one.lent, one.wrong) == (0.1, 0.5, "")
    assert one.unmet == pytest.approx(0.35) and one.free == pytest.approx(0.4)
    good["g2"] = good["g0"]
    (one,) = shares(good)
    assert "gateways say 1.1500 of the whole" in one.wrong and "g0, g2 say that they lend" in one.wrong
    over = decode_report(
        encode_report(0.0, 0.0, 0.0, [{**book, "lent": {"0": WHOLE}}], "nobody is known to lend")
    )
    assert isinstance(over, BudgetReport) and "has lent 1.0000 of 0.9000" in shares({"g0": over})[0].wrong
    lines = remarks({"g0": over}, [("g9", "timed out")])
    assert lines == [
        "g9: silent, timed out",
        "g0: own parts alone: nobody is known to lend",
        "g0 lends under term 3",
    ]
    for malformed in (b"{", b"[]", encode_report(0, 0, 0).replace(b'"own":0', b'"own":"all"')):
        assert "does not read" in str(decode_report(malformed))
