"""Admission control: client identities, the queue, limits, return times, overload, and the gateway."""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.door import PATIENCE, door, flood, returns, shares, storm
from ledgehitch.config import read_day
from ledgehitch.door.baselines import AdmitAll, FifoQueue, TokenBuckets
from ledgehitch.door.decide import MAX_WAIT_SHARE, AdmissionController, Admit, Reject
from ledgehitch.door.heavy import HeavyHitters
from ledgehitch.door.limits import MIN_LIMIT, AdaptiveLimit, AdmissionRate, FixedLimit
from ledgehitch.door.names import address_prefix, client_name
from ledgehitch.door.part import BudgetShare
from ledgehitch.door.queue import CELL_CAPACITY, QUEUE_CAPACITY, REKEY_PERIOD_S, FairQueue, QueuedRequest
from ledgehitch.door.rates import ClientRateLimits, PackageRateLimits
from ledgehitch.door.returns import EARLY_S, LATE_S, ReturnSlots, ReturnTickets
from ledgehitch.gateway.admission import AdmissionService
from ledgehitch.http import Limits, Request, Response
from ledgehitch.lab.facts import PORTS
from ledgehitch.loop import connect, endpoint
from ledgehitch.model.day import played
from ledgehitch.proof.check import check_rules, rule_parameters
from ledgehitch.quality.keep import SnapshotStore
from ledgehitch.standins.plan import site_of, steps_of
from tests.rig import Host, Rig, answer, request

SECRET = bytes(range(32))
T = 50_000.0


def queued(conn: int, name: str, cost: float = 1.0, until: float = 1e9, since: float = 0.0) -> QueuedRequest:
    return QueuedRequest(conn, name.encode(), "p", cost, since, until)


def decisions(admission: Any, now: float) -> list[Any]:
    return list(iter(lambda: admission.decide(now), None))


def popped(queue: FairQueue, now: float, most: int = 10**6) -> Iterator[QueuedRequest]:
    for _ in range(most):
        one = queue.pop_next(now)
        if one is None:
            return
        yield one


# ---- client identities -------------------------------------------------------------------------------------


def test_clients_are_identified_in_order_of_precedence_and_ipv6_by_its_64() -> None:
    assert client_name(SECRET, "t", "c", "1.2.3.4") == client_name(SECRET, "t", "other", "5.6.7.8")
    assert client_name(SECRET, "", "c", "1.2.3.4") != client_name(SECRET, "", "", "1.2.3.4")
    assert client_name(SECRET, "t", "c", "1.2.3.4", ("certificate",)) == client_name(
        SECRET, "u", "c", "", ("certificate",)
    )
    assert client_name(SECRET, "", "", "2001:db8::1") == client_name(SECRET, "", "", "2001:db8::ffff:2")
    assert client_name(SECRET, "", "", "2001:db8:0:1::1") != client_name(SECRET, "", "", "2001:db8::1")
    assert address_prefix("::ffff:10.0.0.1") == "10.0.0.1" and address_prefix("fe80::1%eth0") == "fe80::/64"
    assert client_name(SECRET, "t", "", "") != client_name(bytes(32), "t", "", ""), (
        "the hash depends on the key"
    )


# ---- queue -------------------------------------------------------------------------------------------------


def test_cells_are_served_by_weight_and_idle_ones_first() -> None:
    queue = FairQueue(SECRET)
    for n in range(40):
        queue.put(T, queued(n, "heavy"))
        queue.put(T, queued(100 + n, "worthy", cost=1 / 3))
    first = [one.name for one in popped(queue, T, 24)]
    assert 16 <= first.count(b"worthy") <= 19, "served three times as often"
    queue.put(T, queued(500, "idle"))
    assert next(popped(queue, T)).conn == 500
    assert len(list(popped(queue, T))) == 80 - 24 and len(queue) == 0


def test_a_flood_displaces_only_itself() -> None:
    queue = FairQueue(SECRET)
    out = [queue.put(T, queued(n, "flood")) for n in range(1000)]
    assert sum(one is None for one in out) == CELL_CAPACITY and out[-1] is not None and out[-1].conn == 999
    n = 10_000
    while len(queue) < QUEUE_CAPACITY:
        n += 1
        queue.put(T, queued(n, f"c{n}"))
    victim = queue.put(T, queued(10**6, "innocent"))
    assert victim is not None and victim.name != b"innocent" and len(queue) == QUEUE_CAPACITY


def test_a_client_shares_a_cell_with_a_flood_only_until_the_key_changes() -> None:
    queue = FairQueue(SECRET)
    queue._update_epoch(T)
    neighbour = next(
        f"c{n}" for n in range(10**6) if queue._cell_number(f"c{n}".encode()) == queue._cell_number(b"flood")
    )
    for n in range(50):
        queue.put(T, queued(n, "flood", since=T))
    queue.put(T, queued(99, neighbour, since=T))
    before = [one.conn for one in popped(queue, T, 3)]
    assert 99 not in before
    after = [one.conn for one in popped(queue, T + REKEY_PERIOD_S, 2)]
    assert 99 in after
    assert next(popped(queue, T - 1000.0)).name == b"flood", "a clock that steps back changes nothing"


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_each_request_is_admitted_or_rejected_once_and_in_time(seed: int) -> None:
    chance = random.Random(seed)
    limit = AdaptiveLimit(limit=MIN_LIMIT) if chance.random() < 0.5 else FixedLimit(10.0)
    admission = AdmissionController(
        T, chance, {"a": 1.0, "b": 3.0}, {"a": 0.8, "b": 0.4}, chance.random() < 0.8, 5.0, limit
    )
    now, conn = T, 0
    asked: dict[int, float] = {}
    over: set[int] = set()
    inside: set[int] = set()
    gone: set[int] = set()
    tickets: list[tuple[str, bytes]] = []
    for _ in range(150):
        now += chance.choice([0.0, 0.01, 0.1, 0.5]) - (50.0 if chance.random() < 0.01 else 0.0)
        for _ in range(chance.randrange(6)):
            conn += 1
            name = bytes([chance.randrange(5)]) * 8
            ticket = chance.choice(tickets)[0] if tickets and chance.random() < 0.3 else ""
            asked[conn] = now + chance.choice([0.1, 3.0])
            admission.on_request(now, conn, name, chance.choice("ab"), asked[conn], ticket)
        if asked and chance.random() < 0.2:
            one = chance.randrange(1, conn + 1)
            if one not in over:
                gone.add(one)
                inside.discard(one)
                admission.on_disconnect(now, one)
        for one in sorted(inside):
            if chance.random() < 0.3:
                inside.discard(one)
                admission.on_result(now, one, chance.random() < 0.2)
        for decision in decisions(admission, now):
            assert decision.conn not in over and (decision.conn not in gone or isinstance(decision, Reject))
            over.add(decision.conn)
            if isinstance(decision, Admit):
                assert now < asked[decision.conn]
                inside.add(decision.conn)
            elif decision.advice:
                assert 0 < decision.advice <= 5.0 and admission.may_advise
                tickets.append((decision.ticket, b""))
            else:
                assert not admission.may_advise and not decision.ticket
        assert len(admission.in_progress) == len(inside) and len(admission.in_progress) <= max(
            admission.limit.limit, 64.0
        )
    now += 60.0
    for decision in decisions(admission, now):
        over.add(decision.conn)
    for one in sorted(inside):
        admission.on_result(now, one, False)
    for decision in decisions(admission, now + 1):
        over.add(decision.conn)
    assert set(asked) - over <= gone, "each request gets a decision"


def test_clients_that_come_once_leave_no_state() -> None:
    admission = door()
    for n in range(30_000):
        now = n * 0.0005
        admission.on_request(now, n, n.to_bytes(8, "big"), "recorded", now + PATIENCE)
        decisions(admission, now)
    queue = admission.queue
    assert (
        len(queue) <= QUEUE_CAPACITY
        and len(queue._cells) <= 1024
        and len(queue._expiries) <= 2 * QUEUE_CAPACITY + 30_000
    )
    decisions(admission, 100.0)
    assert len(queue) == 0 and not queue._expiries and admission.heavy_hitters.total() <= 40_000


# ---- heavy clients, limits ---------------------------------------------------------------------------------


def test_the_heaviest_clients_are_found_within_the_stated_error() -> None:
    heavy, chance = HeavyHitters(), random.Random(1)
    true: dict[bytes, int] = {}
    for n in range(60_000):
        name = (chance.randrange(50) if chance.random() < 0.3 else 1000 + n).to_bytes(8, "big")
        true[name] = true.get(name, 0) + 1
        heavy.on_request(T + n / 20_000, name)
    top = sorted(true, key=lambda name: -true[name])[:50]
    for name in top:
        assert true[name] - heavy.error() <= heavy.count(name) <= true[name]
    assert {name for name, _ in heavy.heaviest(50)} >= {name.hex() for name in top[:40]}
    again = HeavyHitters()
    again.restore(T + 3, heavy.snapshot())
    assert [again.count(name) for name in top] == [heavy.count(name) for name in top]
    heavy.on_request(T + 100.0, b"later")
    assert heavy.total() == 1, "old requests are dropped"


def test_the_limit_falls_when_set_ups_are_slow_and_rises_while_it_is_used() -> None:
    limit = AdaptiveLimit(limit=50.0)
    for n in range(200):
        limit.on_setup_end(T + n * 0.01, 50, 0.05, 0.8, False)
    risen = limit.limit
    assert risen > 52.0
    limit.on_setup_end(T + 3, 50, 0.7, 0.8, False)
    limit.on_setup_end(T + 3.01, 50, 0.7, 0.8, False)
    assert limit.limit == pytest.approx(risen * 0.85), "one decrease for all set-ups in progress at that time"
    for n in range(100):
        limit.on_setup_end(T + 4 + n, 5, 0.1, 0.8, True)
    assert limit.limit == MIN_LIMIT
    limit.on_setup_end(T - 500, 5, 0.1, 0.8, True)
    before = limit.limit
    limit.on_setup_end(T + 900, 2, 0.05, 0.8, False)
    assert limit.limit == before, "it does not rise while it is not used"


def test_the_admission_rate_follows_recent_admissions() -> None:
    pace = AdmissionRate()
    for n in range(400):
        pace.on_admission(T + n * 0.02)
    assert pace.rate_at(T + 8.0) == pytest.approx(50.0, rel=0.1)
    assert pace.rate_at(T + 500.0) == 0.0


# ---- returns -----------------------------------------------------------------------------------------------


def test_returns_are_spread_over_the_coming_seconds() -> None:
    places = ReturnSlots()
    advised = [places.book(T, 10.0, 1.0, 5.0) for _ in range(60)]
    told = [a for a in advised if a is not None]
    by_second = {s: sum(int(T + a) == s for a in told) for s in range(int(T) + 1, int(T) + 6)}
    assert set(by_second.values()) == {6} and advised[-1] is None and max(told) <= 5.0
    assert places.book(T - 3600, 10.0, 1.0, 5.0) == 1.0, "there are no bookings after a step of the clock"


def test_tickets_are_valid_once_for_their_client_at_their_time() -> None:
    tickets = ReturnTickets(1, SECRET)
    one = tickets.issue(T, b"client-1")
    assert not tickets.redeem(T - EARLY_S - 0.01, one, b"client-1")
    assert not tickets.redeem(T, one, b"client-2")
    assert tickets.redeem(T - EARLY_S + 0.01, one, b"client-1")
    assert not tickets.redeem(T, one, b"client-1"), "a ticket is used once"
    other = tickets.issue(T, b"client-1")
    assert not tickets.redeem(T + LATE_S + 0.01, other, b"client-1")
    assert not tickets.redeem(T, ReturnTickets(1, bytes(32)).issue(T, b"client-1"), b"client-1")
    assert not tickets.redeem(T, "nonsense", b"client-1")
    tickets.rotate(2, bytes(32))
    assert tickets.redeem(T + LATE_S - 0.01, other, b"client-1"), "the previous key still verifies"
    third = tickets.issue(T, b"client-1")
    kept = msgspec.msgpack.decode(msgspec.msgpack.encode(tickets.snapshot()))
    tickets.rotate(3, SECRET)
    tickets.rotate(4, SECRET)
    assert not tickets.redeem(T, third, b"client-1")
    again = ReturnTickets(9, bytes(32))
    again.restore(kept)
    assert again.redeem(T, third, b"client-1") and not again.redeem(T, other, b"client-1"), (
        "used before the restart"
    )
    assert tickets.refused == {
        "early": 1,
        "another's": 1,
        "used": 1,
        "late": 1,
        "forged": 1,
        "no ticket": 1,
        "old key": 1,
    }


def test_a_client_that_returns_at_its_time_is_admitted_before_others() -> None:
    admission = door(limit=FixedLimit(1.0))
    admission.on_request(0.0, 1, b"a" * 8, "recorded", 3.0)
    assert decisions(admission, 0.0) == [Admit(1)]
    admission.on_request(0.0, 2, b"b" * 8, "recorded", 3.0)
    (turn,) = decisions(admission, MAX_WAIT_SHARE * 0.8 + 0.01)
    assert isinstance(turn, Reject) and turn.why == "no turn in time" and turn.ticket and turn.advice <= 5.0
    then = MAX_WAIT_SHARE * 0.8 + 0.01 + turn.advice
    for n in range(10, 20):
        admission.on_request(then, n, bytes([n]) * 8, "recorded", then + 3.0)
    admission.on_request(then, 3, b"b" * 8, "recorded", then + 3.0, turn.ticket)
    admission.on_result(then, 1, False)
    assert decisions(admission, then) == [Admit(3)]


def test_no_advice_is_given_where_it_is_not_allowed() -> None:
    admission = AdmissionController(T, random.Random(1), {"p": 1.0}, {"p": 0.8}, False, 5.0, FixedLimit(0.0))
    admission.on_request(T, 1, b"a" * 8, "p", T + 3)
    assert decisions(admission, T + 1) == [Reject(1, "no turn in time")]


def test_a_more_valuable_package_is_served_behind_a_full_queue() -> None:
    admission = door(limit=FixedLimit(10.0))
    now, got, late = 0.0, 0, 0
    for n in range(3000):
        now += 0.005
        admission.on_request(now, 2 * n, n.to_bytes(8, "big"), "recorded", now + 3)
        if n % 8 == 0 and n > 600:
            admission.on_request(now, 2 * n + 1, n.to_bytes(8, "little"), "live", now + 3)
        if n % 4 == 0:
            for conn in list(admission.in_progress)[:1]:
                admission.on_result(now, conn, False)
        for decision in decisions(admission, now):
            if decision.conn % 2 and n > 1000:
                got += isinstance(decision, Admit)
                late += isinstance(decision, Reject)
    assert got > 8 * late and admission.level == 1, "less valuable packages are rejected"


# ---- shares, floods, storms (against a simulated fleet) ----------------------------------------------------


def test_one_client_at_a_hundred_times_its_share_does_not_block_others() -> None:
    ours, none, line = flood(door()), flood(AdmitAll()), flood(FifoQueue())
    assert ours["others_joined"] > 0.99 and ours["p99_ms"] < 800
    assert none["others_joined"] < 0.1 and line["others_joined"] < 0.5
    assert ours["flood_joined"] > 1000, "the flood gets the spare capacity"


def test_clients_of_equal_weight_get_equal_shares() -> None:
    assert shares(door()) > 0.95 > shares(AdmitAll())


def test_a_storm_of_returning_viewers_ends_with_the_overload() -> None:
    ours, none, buckets = (
        storm(door(), length=65.0),
        storm(AdmitAll(), length=65.0),
        storm(TokenBuckets(), length=65.0),
    )
    assert ours["whole_after_s"] is not None and ours["whole_after_s"] <= 10 and ours["late"] < 100
    assert none["whole_after_s"] is None and buckets["whole_after_s"] is None, (
        "without admission control the fleet stays overloaded"
    )


@pytest.mark.parametrize("then", [100.0, 60.0, 180.0])
def test_returning_clients_are_admitted_at_the_advised_time(then: float) -> None:
    found = returns(lambda t: 100.0 if t < 20 else then)
    assert found["with_a_place"] > 500 and found["let_in_when_told"] >= 0.9


def test_a_restored_snapshot_starts_with_half_the_limit() -> None:
    admission = door()
    admission.limit.limit = 400.0
    for n in range(500):
        admission.on_request(1.0, n, b"heavy-00", "recorded", 4.0)
    held = msgspec.msgpack.decode(msgspec.msgpack.encode(admission.snapshot()))
    again = door(2)
    again.restore(2.0, held)
    assert again.heavy_hitters.count(b"heavy-00") == 500 and again.limit.limit == 200.0
    for n in range(5000):
        again.on_request(2.0, n, n.to_bytes(8, "big"), "recorded", 5.0)
    assert sum(isinstance(d, Admit) for d in decisions(again, 2.0)) == 200


def test_expired_requests_of_a_flood_leave_the_queue_while_nothing_is_admitted() -> None:
    admission = door(limit=FixedLimit(0.0))
    for n in range(20_000):
        now = n * 0.01
        admission.on_request(now, n, b"flood-00", "recorded", now + PATIENCE)
        decisions(admission, now)
    assert (
        sum(len(cell.requests) for cell in admission.queue._cells.values())
        == len(admission.queue)
        <= CELL_CAPACITY
    )


def test_a_returning_client_is_rejected_in_time_while_nothing_is_admitted() -> None:
    admission = door(limit=FixedLimit(0.0))
    ticket = admission.tickets.issue(1.0 + 1e6, b"a" * 8)
    admission.on_request(1.0, 7, b"a" * 8, "recorded", 1.0 + PATIENCE, ticket, 1e6)
    assert admission.counts["returned"] == 1 and decisions(admission, 1.1) == []
    wake = admission.wake_at()
    assert wake is not None and wake <= 1.0 + PATIENCE
    (turn,) = decisions(admission, wake)
    assert isinstance(turn, Reject) and turn.conn == 7
    admission.on_request(2.0, 8, b"b" * 8, "recorded", 2.0 + PATIENCE, ticket, -50.0)
    (turn,) = decisions(admission, 2.0 + PATIENCE)
    assert turn.conn == 8, "a step of the wall clock does not change deadlines"


# ---- the gateway -------------------------------------------------------------------------------------------


def slowly(host: Host, request: Request) -> Response:
    host.rig.loop.sleep(0.05)
    return host.plays(request)


def test_the_gateway_admits_fairly_and_rejects_with_advice_and_a_ticket() -> None:
    def day(rig: Rig) -> None:
        service = rig.gateway.executor.admission
        assert service is not None
        admission = service.controller
        assert isinstance(admission, AdmissionController)
        admission.limit = FixedLimit(2.0)
        got: list[tuple[str, Response]] = []

        def ask(n: int, who: str) -> None:
            got.append((who, rig.offer(n, token=who)))

        tasks = [rig.loop.spawn(ask, n, "flood") for n in range(60)]
        rig.loop.sleep(0.1)
        tasks += [rig.loop.spawn(ask, 100 + n, f"other-{n}") for n in range(8)]
        for task in tasks:
            task.wait()
        statuses = {who: [r.status for w, r in got if w == who] for who, _ in got}
        assert all(statuses[f"other-{n}"] == [201] for n in range(8)), "the other clients are admitted"
        turned = [r for who, r in got if r.status == 503]
        assert turned and all(who == "flood" for who, r in got if r.status == 503)
        assert b"no turn in time" in turned[0].body and int(str(turned[0].header("retry-after"))) >= 1
        assert any(r.header("return-ticket") for r in turned)
        told = rig.gateway.state()["door"]
        assert told["let_in"] == statuses["flood"].count(201) + 8 and told["out"] == told["waiting"] == 0
        # A tune-in that times out is followed by further ones of the same viewing: only the first ones count.
        tune_ins = [key.rpartition(".") for _, key in rig.set_ups]
        first = [viewing for viewing, _, attempt in tune_ins if attempt == "0"]
        assert rig.most_out <= 2 and len(first) == told["let_in"]
        assert len({viewing for viewing, _, _ in tune_ins}) == told["let_in"]

    Rig({"*": slowly}, door={"on": True}).run(day)


def test_a_client_that_disconnects_while_queued_is_never_set_up() -> None:
    def day(rig: Rig) -> None:
        service = rig.gateway.executor.admission
        assert service is not None and isinstance(service.controller, AdmissionController)
        service.controller.limit = FixedLimit(0.0)
        stream = connect(rig.loop, endpoint(rig.at))
        stream.send(request(rig.at, token="t"))
        rig.loop.sleep(0.1)
        assert rig.gateway.state()["door"]["waiting"] == 1
        stream.close()
        rig.loop.sleep(0.1)
        service.controller.limit = FixedLimit(5.0)
        rig.loop.sleep(0.6)
        assert rig.gateway.state()["door"]["waiting"] == 0 and rig.set_ups == []
        assert rig.offer(2, token="u").status == 201

    Rig(door={"on": True}).run(day)


# ---- rates, shares of the fleet's limits, snapshots --------------------------------------------------------


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_no_client_exceeds_its_rate_and_the_wait_is_exact(seed: int) -> None:
    chance = random.Random(seed)
    rates, (a_second, burst) = ClientRateLimits(), chance.choice([(2.0, 1.0), (5.0, 10.0), (0.5, 3.0)])
    rates.set_limit(a_second, burst)
    names = [chance.randbytes(8) for _ in range(5)]
    now, admitted = T, dict[bytes, list[float]]()
    for _ in range(300):
        now += chance.choice([0.0, 0.01, 0.3])
        name = chance.choice(names)
        wait = rates.acquire(now, name)
        if not wait:
            admitted.setdefault(name, []).append(now)
            continue
        assert rates.acquire(now + wait * 0.99, name) > 0, "not before the wait is over"
        if chance.random() < 0.2:
            now += wait + 1e-6
            assert rates.acquire(now, name) == 0.0, "allowed after the wait"
            admitted[name].append(now)
    for times in admitted.values():
        for i, first in enumerate(times):
            within = [t for t in times[i:] if t - first <= 4.0]
            assert len(within) <= burst + a_second * 4.0 + 1


def test_hundreds_of_heavy_clients_do_not_use_up_the_rate_of_others() -> None:
    rates, chance = ClientRateLimits(), random.Random(3)
    rates.set_limit(1.0, 2.0)
    heavy_clients = [chance.randbytes(8) for _ in range(400)]
    for heavy in heavy_clients * 3:
        rates.acquire(T, heavy)
    assert all(rates.acquire(T, heavy) > 0 for heavy in heavy_clients)
    other_clients = [chance.randbytes(8) for _ in range(2000)]
    assert sum(rates.acquire(T, one) == 0.0 for one in other_clients) >= 1990
    rates.set_limit(0.0, 1.0)
    assert rates.acquire(T, heavy_clients[0]) == 0.0, "the limit is disabled"


def test_shares_of_a_package_rate_hold_in_sum_however_they_move() -> None:
    """Loans move among four gateways and expire in between; one gateway restarts each time."""
    own, chance, admitted = 0.1 / 4, random.Random(5), list[float]()
    parts, rates = [BudgetShare(own) for _ in range(4)], [PackageRateLimits() for _ in range(4)]
    for rate in rates:
        rate.set_limits({"recorded": 40.0})
    for n in range(20_000):
        now = T + n / 1000
        if n % 700 == 0:
            at = chance.randrange(4)
            for i, (rate, part) in enumerate(zip(rates, parts, strict=True)):
                rate.refill(now, part)
                lent = {"offers.recorded": 0.9} if i == at else {}
                part.update(own, lent, now + chance.choice([0.2, 0.7]))
            rates[at - 1] = PackageRateLimits()
            rates[at - 1].set_limits({"recorded": 40.0})
        admitted += [
            now for rate, part in zip(rates, parts, strict=True) if not rate.acquire(now, "recorded", part)
        ]
    assert len(admitted) > 40 * 20 * 0.6, "loans are used"
    for first in range(0, len(admitted), 7):
        for last in range(first, len(admitted), 11):
            assert last - first + 1 <= 40 * (admitted[last] - admitted[first]) + 1.0 * 40 + 4 + 1e-6
    assert rates[0].acquire(T, "live", BudgetShare(0.0)) == 0.0, "it has no limit"


def test_a_loan_expires_by_itself_and_applies_to_its_budget_only() -> None:
    part = BudgetShare(0.25)
    assert part.share(T, "set_ups") == 0.25 and part.accumulated(T, T + 2, "set_ups") == 0.5
    part.update(0.05, {"set_ups": 0.5}, T + 20.0)
    assert part.share(T + 19, "set_ups") == 0.55 and part.share(T + 20, "set_ups") == 0.05
    assert part.share(T, "offers.live") == 0.05
    assert part.accumulated(T + 19, T + 21, "set_ups") == pytest.approx(0.6)
    admission = door(limit=FixedLimit(100.0))
    admission.set_limits(0.0, 1.0, {"live": 4.0}, 20.0)
    admission.set_share(T, 0.05, {"set_ups": 0.5}, T + 20.0)
    for n in range(15):
        admission.on_request(T + 0.1, n, n.to_bytes(8, "big"), "recorded", T + PATIENCE)
    assert len(decisions(admission, T + 0.1)) == 11, "0.55 of twenty concurrent set-ups"
    used, wanted = admission.demand(T + 0.2)
    assert used == {"set_ups": 0.55} and wanted["set_ups"] == pytest.approx(19.75 / 20)
    for n in range(15):
        admission.on_disconnect(T + 0.2, n)
    assert admission.demand(T + 0.2)[1]["set_ups"] == pytest.approx(19.75 / 20), (
        "the peak since the last report"
    )
    admission.on_demand_reported()
    assert admission.demand(T + 0.2)[1]["set_ups"] == 0.0, (
        "without demand here, other gateways may use the limit"
    )
    admission.on_request(T + 0.2, 99, b"x", "live", T + PATIENCE)
    turned = [d for d in decisions(admission, T + 0.2) if isinstance(d, Reject)]
    assert [t.why for t in turned] == ["over the fleet's budget offers.live"]


def test_a_lowered_limit_takes_effect_by_admitting_nothing() -> None:
    admission = door(limit=FixedLimit(100.0))
    admission.set_limits(0.0, 1.0, {}, 8.0)
    for n in range(20):
        admission.on_request(0.0, n, n.to_bytes(8, "big"), "recorded", PATIENCE)
    assert len(decisions(admission, 0.0)) == 8
    admission.set_limits(0.0, 1.0, {}, 3.0)
    for n in range(5):
        admission.on_result(0.1, n, False)
        assert decisions(admission, 0.1) == [], "seven to three are in progress, the limit is three"
    admission.on_result(0.2, 5, False)
    assert decisions(admission, 0.2) == [Admit(8)]
    admission.set_limits(2.0, 2.0, {}, 0.0)
    for n in range(100, 104):
        admission.on_request(0.3, n, b"the same", "recorded", 0.3 + PATIENCE)
    turned = [d for d in decisions(admission, 0.3) if isinstance(d, Reject)]
    assert [(t.conn, t.why, t.ticket) for t in turned] == [(n, "over its rate", "") for n in (102, 103)]
    assert turned[0].advice == pytest.approx(0.5)


def test_the_limit_does_not_rise_while_set_ups_queue_at_the_hosts() -> None:
    limit = AdaptiveLimit(limit=10.0)
    for n in range(10):
        limit.on_setup_end(T + n, 20, 0.05, 0.8, False)
    assert limit.limit == 20.0, "doubled during slow start"
    for n in range(30):
        limit.on_setup_end(T + 10 + n, 30, 0.05 + 0.01 * n, 0.8, False)
    held = limit.limit
    for n in range(30):
        limit.on_setup_end(T + 50 + n, 30, 0.3, 0.8, False)
    assert limit.limit == held and not limit.slow_start
    limit.on_overload(T + 100)
    limit.on_overload(T + 100.1)
    assert limit.limit == pytest.approx(held * 0.85)


def test_the_admission_snapshot_survives_a_damaged_file(tmp_path: Path) -> None:
    first = AdmissionService(door(1), SnapshotStore(tmp_path / "g0.door", private=True))
    assert isinstance(first.controller, AdmissionController)
    ticket = first.controller.tickets.issue(1e6, b"client-1")
    first.save()
    later = AdmissionService(door(2), SnapshotStore(tmp_path / "g0.door", private=True))
    assert isinstance(later.controller, AdmissionController)
    assert later.secret == first.secret and later.controller.tickets.redeem(1e6, ticket, b"client-1")
    newest = max(tmp_path.iterdir(), key=lambda p: p.stat().st_mtime_ns)
    newest.write_bytes(newest.read_bytes()[:-7])
    torn = AdmissionService(door(3), SnapshotStore(tmp_path / "g0.door", private=True))
    assert torn.secret == first.secret
    assert all(p.stat().st_mode & 0o077 == 0 for p in tmp_path.iterdir()), "the files with keys are private"
    for path in tmp_path.iterdir():
        path.write_bytes(b"nonsense")
    assert AdmissionService(door(4), SnapshotStore(tmp_path / "g0.door")).secret != first.secret


def test_a_reload_changes_the_limits_of_a_running_gateway() -> None:
    def day(rig: Rig) -> None:
        assert [rig.offer(n).status for n in range(4)] == [201] * 4
        limits = msgspec.structs.replace(rig.site.door, client_rate=0.5, client_burst=1.0)
        rig.gateway.apply_site(msgspec.structs.replace(rig.site, door=limits))
        answers = [rig.offer(n) for n in range(10, 13)]
        assert [a.status for a in answers] == [201, 503, 503]
        assert b"over its rate" in answers[1].body and answers[1].header("retry-after") == "2"
        assert rig.offer(20, token="somebody else").status == 201

    Rig(door={"on": True}).run(day)


def test_incomplete_requests_do_not_delay_others() -> None:
    def day(rig: Rig) -> None:
        halves = [connect(rig.loop, endpoint(rig.at)) for _ in range(100)]
        for n, half in enumerate(halves):
            half.send(request(rig.at, n)[: 40 + n])
        assert [rig.offer(n, token=f"c{n}").status for n in range(5)] == [201] * 5
        state = rig.gateway.state()
        assert state["door"]["let_in"] == 5 and state["door"]["waiting"] == 0
        rig.until(lambda: rig.gateway.server.timeouts >= 100)
        rig.until(lambda: len(rig.gateway.server.open) <= 5)

    Rig(limits=Limits(request_timeout_s=0.3), door={"on": True}).run(day)


def test_the_bad_day_with_tight_admission_limits_keeps_the_rules() -> None:
    bad = read_day(Path(__file__).parent.parent / "days" / "bad-day.lh")
    limits = {"on": True, "set_ups": 3, "client_rate": 1.0, "client_burst": 2}
    narrow = msgspec.Raw(msgspec.json.encode(limits))
    day = msgspec.structs.replace(bad, site={"door": narrow})
    site = site_of(day, 1, PORTS)
    result = played(day, site, steps_of(day, site, 1), 1)
    assert check_rules(result.tape, rule_parameters(site)) == []
    assert result.service.answers["blocked"] > 10 and result.service.answers["plays"] > 200
    again = played(day, site, steps_of(day, site, 1), 1)
    assert [dict(line) for line in again.tape] == [dict(line) for line in result.tape], (
        "the same seed gives the same day"
    )


def test_a_repeated_offer_gets_the_answer_of_the_first() -> None:
    def day(rig: Rig) -> None:
        service = rig.gateway.executor.admission
        assert service is not None and isinstance(service.controller, AdmissionController)
        service.set_limits(0.5, 1.0, {}, 0.0)  # the second would exceed its rate
        first, second = rig.ask(1, token="a"), rig.ask(1, token="a")
        both = [answer(first), answer(second)]
        assert [r.status for r in both] == [201, 201]
        assert both[0].header("location") == both[1].header("location")
        assert len(rig.set_ups) == 1
        refused, again = rig.ask(2, token="a"), rig.ask(2, token="a")
        assert [answer(refused).status, answer(again).status] == [503, 503]
        assert service.controller.counts["over_rate"] == 1, "admission control saw it once"

    Rig(door={"on": True}).run(day)
