"""Counts are divided into whole units: own parts, loans, turns, admission; sums stay within the whole."""

import math
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
    budgets_of,
    loan_duration,
    parts_used,
    parts_wanted,
)
from ledgehitch.budgets.ledger import divide
from ledgehitch.budgets.lender import Lender
from ledgehitch.budgets.parts import OwnPart, lending_terms
from ledgehitch.budgets.units import (
    lendable,
    lendable_in_all_versions,
    own_parts,
    smallest_own_parts,
    spread_units,
)
from ledgehitch.config.site import GatewayRecord
from ledgehitch.door.part import MAX_COUNTED, BudgetShare, parts_per_unit, whole_units
from ledgehitch.door.rates import SET_UPS, PackageRateLimits
from ledgehitch.gateway.serve import own_shares
from ledgehitch.owners.facts import MemberLists, vote_duration
from tests.rig import site

T, LOAN, DIGEST = 1000.0, 5.0, b"same"
PERIOD = LOAN / REQUESTS_PER_LOAN
RATE = Budget("offers.live", "rate")
whole_sizes = st.one_of(st.integers(1, 700), st.integers(1, MAX_COUNTED), st.integers(MAX_COUNTED + 1, 10**6))
shares = st.one_of(st.just(WHOLE), st.integers(1, WHOLE))
fractions = st.one_of(st.sampled_from([0.0, 0.05, 0.1, 0.25, 0.29, 1.0]), st.floats(0.0, 1.0))


def count(whole: int) -> Budget:
    return budgets_of({}, whole, 3.0)[0]


def names_of(number: int) -> tuple[str, ...]:
    return tuple(f"g{n}" for n in range(number))


@settings(max_examples=300, derandomize=True, deadline=None)
@given(whole_sizes, fractions, st.integers(1, 560), shares)
def test_own_units_and_pool_are_whole_and_within_the_scopes_share(
    whole: int, own_part: float, gateways: int, share: int
) -> None:
    budget = count(whole)
    own = own_parts(budget, own_part, names_of(gateways), share)
    pool = lendable(budget, own_part, share)
    assert sum(own.values()) + pool <= share and pool >= 0
    assert all(parts % budget.grain == 0 for parts in [*own.values(), pool])
    if budget.grain > 1:
        units = share // budget.grain
        have = sum(own.values()) // budget.grain
        assert have == (min(units, max(1, int(own_part * units + 1e-9))) if own_part else 0)
        assert max(own.values()) - min(own.values()) <= budget.grain
        assert have + pool // budget.grain >= units - 1, "at most one unit is unassigned"
        if share == WHOLE:
            assert units == whole


@settings(max_examples=200, derandomize=True, deadline=None)
@given(whole_sizes, st.lists(st.integers(0, WHOLE), max_size=30))
def test_gateways_with_any_parts_of_a_whole_admit_at_most_the_whole(whole: int, cuts: list[int]) -> None:
    edges = [0, *sorted(cuts), WHOLE]
    parts = [b - a for a, b in zip(edges, edges[1:], strict=False)]
    assert sum(whole_units(p, whole) for p in parts) <= whole
    for each in range(0, whole, max(1, whole // 7)):
        part = BudgetShare(0.0)
        part.update(0.0, {}, 0.0, {SET_UPS: each * parts_per_unit(whole) / WHOLE})
        if whole <= MAX_COUNTED:
            assert part.whole_units(T, SET_UPS, whole) == each, "a whole unit counts as one"
            assert parts_used(count(whole), each / whole) >= each * parts_per_unit(whole)
            assert parts_wanted(count(whole), each / whole) >= each * parts_per_unit(whole)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    whole_sizes,
    fractions,
    st.sets(st.integers(0, 40), min_size=1),
    st.sets(st.integers(0, 40), min_size=1),
    fractions,
    shares,
    st.randoms(use_true_random=False),
)
def test_any_mixture_of_versions_during_a_list_change_stays_within_the_unlent_parts(
    whole: int,
    own_part: float,
    now: set[int],
    before: set[int],
    former_part: float,
    share: int,
    chance: random.Random,
) -> None:
    """Each gateway uses the former version or both; the lender uses both."""
    budgets = [RATE, count(whole)]
    current, former = (tuple(f"g{n}" for n in sorted(fleet)) for fleet in (now, before))
    lists = MemberLists(current, former, own_part=own_part, former_own_part=former_part)
    by_both = smallest_own_parts(budgets, lists, share=share)
    old = MemberLists(former, own_part=former_part, former_own_part=former_part)
    by_former = smallest_own_parts(budgets, old, share=share)
    pool = lendable_in_all_versions(budgets, lists, share)
    for _ in range(5):
        mixed = [chance.choice([by_both[n], by_former[n] if n in former else by_both[n]]) for n in by_both]
        for i in range(2):
            assert sum(parts[i] for parts in mixed) + pool[i] <= share
    # Settled: gateways that know it and others that do not yet. Loans of the former version may still be in
    # force: a newcomer waits for them (`OwnPart.parts_at`).
    settled = lists._replace(former=())
    for surely, names, most in (
        (False, current, lendable_in_all_versions(budgets, settled, share)),
        (True, former, lendable_in_all_versions(budgets, old, share)),
    ):
        after = smallest_own_parts(budgets, settled, surely, share)
        for i in range(2):
            own = sum(max(parts[i], by_both[n][i]) for n, parts in after.items() if n in names)
            assert own + most[i] <= share


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    st.integers(1, 900),
    st.integers(1, 900),
    fractions,
    st.integers(1, 40),
    st.randoms(use_true_random=False),
)
def test_sum_stays_within_the_larger_whole_during_a_reload(
    one: int, other: int, own_part: float, gateways: int, chance: random.Random
) -> None:
    names = names_of(gateways)
    for lender, grain in ((one, parts_per_unit(one)), (other, parts_per_unit(other))):
        left, total = lendable(count(lender), own_part), 0
        for name in names:
            whole = chance.choice([one, other])
            loan = chance.choice([0, left, chance.randint(0, left)]) // grain * grain
            left -= loan
            total += whole_units(own_parts(count(whole), own_part, names)[name] + loan, whole)
        assert total <= max(one, other)


def test_own_units_are_assigned_alike_everywhere_and_only_gained_as_units_rise() -> None:
    names = names_of(550)
    before = spread_units(0, SET_UPS, names)
    for units in range(1, 1200):
        now = spread_units(units, SET_UPS, names)
        assert sum(now.values()) == units and sum(now[n] - before[n] for n in names) == 1
        assert all(now[n] >= before[n] for n in names)
        before = now
    assert spread_units(30, SET_UPS, names) == spread_units(30, SET_UPS, tuple(reversed(names)))
    assert spread_units(30, SET_UPS, names) != spread_units(30, "other", names)
    five = own_parts(count(5000), 0.1, names)
    assert sorted(set(five.values())) == [0, WHOLE // 5000] and sum(five.values()) == WHOLE // 10


def test_own_unit_waits_for_use_begun_by_the_last_life_or_holder() -> None:
    budgets = [RATE, Budget(SET_UPS, "count", 3.0, WHOLE // 10)]
    lists = MemberLists(("a", "b"), lease=6.0, former_lease=6.0, own_part=0.2, former_own_part=0.2)
    lag, longest = vote_duration(3.0), vote_duration(loan_duration(6.0))
    one = OwnPart(T, lists, "a", budgets)
    assert one.parts_at(T + lag - 0.01, True, had_part=True) == (WHOLE // 10, 0)
    assert one.parts_at(T + lag, True, had_part=True) == (WHOLE // 10, WHOLE // 10)
    new = OwnPart(T, lists, "a", budgets)
    assert new.parts_at(T + 1.0, True, had_part=False) == (0, 0)
    assert new.parts_at(T + 1.0 + longest, True, had_part=False) == (WHOLE // 10, 0)
    assert new.parts_at(T + 1.0 + longest + lag, True, had_part=False) == (WHOLE // 10, WHOLE // 10)
    # A unit gained by a change of the list waits; a lost one is lost at once.
    names = names_of(6)
    first, *_, last = sorted(names, key=lambda n: -own_parts(budgets[1], 0.1, names)[n])
    six = MemberLists(names, own_part=0.1, former_own_part=0.1)
    five = six._replace(current=tuple(n for n in names if n != first))
    heir = next(n for n, parts in own_parts(budgets[1], 0.1, five.current).items() if parts)
    gains, loses = OwnPart(T, six, heir, budgets), OwnPart(T, five, heir, budgets)
    gains.on_list_change(T + 100.0, five._replace(former=names))
    assert gains.parts_at(T + 150.0, True, had_part=True)[1] == 0
    gains.on_list_change(T + 200.0, five)
    assert gains.parts_at(T + 200.0 + lag - 0.01, True, had_part=True)[1] == 0
    assert gains.parts_at(T + 200.0 + lag, True, had_part=True)[1] == WHOLE // 10
    assert loses.parts_at(T + 99.0, True, had_part=True)[1] == WHOLE // 10
    loses.on_list_change(T + 100.0, six._replace(former=five.current))
    assert loses.parts_at(T + 100.0, True, had_part=True)[1] == 0
    assert last not in (first, heir)
    # A lower whole takes effect at once.
    one.set_budgets([RATE, Budget(SET_UPS, "count", 3.0, WHOLE // 4)])
    assert one.parts_at(T + 300.0, True, had_part=True)[1] == (
        WHOLE // 4 if own_parts(count(4), 0.2, "ab")["a"] else 0
    )


def test_lender_lends_the_scopes_share_minus_own_parts() -> None:
    budgets, names = [RATE, count(30)], names_of(3)
    numbers = {name: n for n, name in enumerate(names)}
    lists = MemberLists(names, own_part=0.1, former_own_part=0.1)
    own, pool, members = lending_terms(budgets, lists, frozenset(), numbers, WHOLE // 2)
    assert pool == (WHOLE // 2 - WHOLE // 20, 13 * (WHOLE // 30)) and members == {0, 1, 2}, "13 of 15"
    assert sum(parts[0] for parts in own.values()) <= WHOLE // 20
    assert sorted(parts[1] // (WHOLE // 30) for parts in own.values()) == [0, 0, 1]


# ---- turns -------------------------------------------------------------------------------------------------


class UnitFleet:
    """Borrowers of one count and a lender, with requests in turn and immediate delivery."""

    def __init__(self, gateways: int, units: int) -> None:
        self.budget = Budget(SET_UPS, "count", 0.2, WHOLE // units)
        self.lender = Lender(
            T - 100.0, 1, [self.budget], {}, [units * self.budget.grain], range(gateways), [DIGEST], LOAN
        )
        self.borrowers = [Borrower([self.budget], [0], me + 1, [DIGEST], LOAN) for me in range(gateways)]
        self.now = T

    def round(self, wanted: dict[int, int]) -> list[int]:
        """Lets all request once within a period; returns the units that each has then."""
        for me, borrower in enumerate(self.borrowers):
            self.now += PERIOD / len(self.borrowers)
            borrower._next_request_at = -1e18
            words = borrower.next_request(self.now, 1, {}, {SET_UPS: wanted.get(me, 0) * self.budget.grain})
            assert words is not None
            answer = self.lender.on_request(self.now, me, words)
            assert answer is not None and borrower.on_loan(self.now, answer)
            assert sum(self.units()) <= WHOLE // self.budget.grain
        return self.units()

    def units(self) -> list[int]:
        held = [b.available(self.now, SET_UPS) for b in self.borrowers]
        assert all(parts % self.budget.grain == 0 for parts in held)
        return [parts // self.budget.grain for parts in held]


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.integers(1, 14), st.integers(1, 6), st.randoms(use_true_random=False))
def test_each_of_many_borrowers_gets_a_scarce_unit_within_its_turn(
    gateways: int, units: int, chance: random.Random
) -> None:
    fleet = UnitFleet(gateways, units)
    most = {me: chance.randint(1, 8) for me in range(gateways)}
    within = math.ceil(gateways / units) * (LOAN + 5 * PERIOD)
    last = dict.fromkeys(range(gateways), fleet.now)
    for _ in range(200):
        held = fleet.round({me: chance.randint(1, wants) for me, wants in most.items()})
        for me, has in enumerate(held):
            if has:
                last[me] = fleet.now
            assert fleet.now - last[me] <= within + PERIOD, (me, gateways, units)


def test_units_go_to_the_largest_needs_and_idle_borrowers_hold_none() -> None:
    fleet = UnitFleet(10, 3)
    wanted = {m: units * fleet.budget.grain for m, units in {1: 1, 4: 9, 5: 9, 7: 9}.items()}
    first = fleet.lender.turns[0].order(T, wanted, {}, {})
    loans = divide(WHOLE, {}, wanted, fleet.budget.grain, first)
    assert loans == {1: 0, 4: WHOLE // 3, 5: WHOLE // 3, 7: WHOLE // 3}
    for _ in range(4):
        held = fleet.round({4: 9, 5: 9, 7: 9})
    assert held == [0, 0, 0, 0, 1, 1, 0, 1, 0, 0]
    for _ in range(5):
        held = fleet.round({1: 1, 2: 1})  # the others want nothing any more
    assert held[1] >= 1 and held[2] >= 1 and sum(held) == 3
    for _ in range(5):
        held = fleet.round({0: 1, 3: 1, 8: 1})
    assert [held[0], held[3], held[8]] == [1, 1, 1]


def test_borrower_keeps_its_unit_for_one_turn_although_others_want_more() -> None:
    fleet = UnitFleet(4, 1)
    for _ in range(3):
        held = fleet.round({0: 1})
    assert held == [1, 0, 0, 0]
    began = fleet.now
    while fleet.units()[0]:
        fleet.round({0: 1, 1: 50, 2: 40})
    assert fleet.now - began <= LOAN + PERIOD, "no longer than a turn while others wait"
    for _ in range(4):
        held = fleet.round({0: 1, 1: 50, 2: 40})
    assert held == [0, 1, 0, 0]


def test_turn_order_of_equal_borrowers_differs_by_lender_term() -> None:
    firsts = set()
    for term in range(1, 5):
        fleet = UnitFleet(4, 1)
        fleet.lender = Lender(T - 100.0, term, [fleet.budget], {}, [WHOLE], range(4), [DIGEST], LOAN)
        order = fleet.lender.turns[0].order(T, dict.fromkeys(range(4), WHOLE), {}, {})
        firsts.add(order[0])
    assert firsts == {0, 1, 2, 3}


# ---- sites without lending ---------------------------------------------------------------------------------


@pytest.mark.parametrize("set_ups", [1, 2, 7, 100, 6000])
def test_site_without_lending_divides_set_ups_into_whole_units(set_ups: int) -> None:
    fleet = site()
    gateways = [GatewayRecord(name=f"g{n}", at="127.0.0.1:1") for n in range(9)]
    door = msgspec.structs.replace(fleet.door, set_ups=float(set_ups))
    fleet = msgspec.structs.replace(fleet, gateways=gateways, door=door)
    each = []
    for g in gateways:
        rest, own = own_shares(fleet, g.name)
        part = BudgetShare(1.0)
        part.update(rest, {}, 0.0, own)
        each.append(part.whole_units(T, SET_UPS, set_ups))
        assert rest == pytest.approx(1 / 9)
    assert sum(each) == set_ups and max(each) - min(each) <= 1


def test_small_rate_admits_one_after_its_interval_and_at_most_one_per_gateway_at_once() -> None:
    """Of two per second, each of 550 gateways has a 275th and admits one every 275 s. Gateways that have been
    idle that long admit one each, 550 at once, as the documentation of budgets says."""
    own = own_parts(RATE, 1.0, names_of(550))["g0"] / WHOLE
    part, rates = BudgetShare(own), PackageRateLimits()
    rates.set_limits({"live": 2.0})
    assert rates.acquire(T, "live", part) == pytest.approx(275.0, rel=1e-3)
    let = [at for at in range(5, 1500, 5) if not rates.acquire(T + at, "live", part)]
    assert len(let) == 5 and all(275 <= b - a <= 280 for a, b in zip([0, *let], let, strict=False))
    assert rates.acquire(T + 9000.0, "live", part) == 0.0 and rates.acquire(T + 9000.0, "live", part) > 200.0
