"""Seeded random runs over wide settings; the six rules are checked after every step."""

import random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ledgehitch.brain import Gateway
from ledgehitch.interface import Fleet, Outcome, Package, Row, Terms
from tests.helpers import FLEET, LADDER, Ledger

packages = st.builds(
    Package,
    name=st.just("p"),
    join_target=st.just(0.8),
    patience=st.just(3.0),
    floor=st.integers(0, 2),
    effect=st.sampled_from(["repeatable", "by_key", "once"]),
    key_scope=st.sampled_from(["all", "zone", "cell"]),
    key_window=st.sampled_from([0.5, 5.0]),
    top=st.integers(2, 9),
    seats=st.sampled_from([0, 1, 3]),
    scale=st.sampled_from([0.5, 1.0]),
)
all_terms = st.builds(
    Terms,
    zone=st.just("a"),
    gateways=st.integers(1, 4),
    ordinal=st.integers(0, 3),
    tune_ins=st.integers(1, 4),
    answer_slack=st.just(0.04),
    drain_grace=st.just(0.0),
    on_request=st.booleans(),
    ask_within=st.just(5.0),
    cold_share=st.sampled_from([0.2, 0.5]),
    warm_up=st.just(10.0),
    fall_multiple=st.sampled_from([2.0, 4.0]),
    fall_after=st.sampled_from([1.0, 2.0]),
    extra_free=st.sampled_from([None, 0.0, 2.0]),
    extra_ratio=st.sampled_from([0.0, 0.3]),
    extra_window=st.just(4.0),
    may_tell=st.booleans(),
    may_advise=st.booleans(),
    longest_advice=st.sampled_from([0.0, 0.5]),
)
small = Fleet(cells=6, racks=2, links_kb=9000, uplink_kb=3000, slots={"k": 20}, load_fields=("cpu", "x1"))
fleets = st.sampled_from([FLEET, Fleet(), small])
ODD = [-1.0, 0.0, 0.01, 0.3, 0.7, 0.97, 1.0, 1.3, 50.0, 1e300, float("nan"), float("inf")]


@settings(max_examples=300, deadline=None, derandomize=True, phases=[Phase.generate])
@given(packages, all_terms, fleets, st.integers(0, 2**32))
def test_the_rules_hold_at_every_step(package: Package, terms: Terms, fleet: Fleet, seed: int) -> None:
    now, viewing_id, chance = 50.0, 0, random.Random(seed)
    gw = Gateway(3, now, LADDER, (package,), fleet, terms)
    book = Ledger(gw, terms, (fleet.slots or {}).get("k", 1))
    fresh = [Row(f"h{i}", i, 2.0, "k", "ab"[i % 2], "in_service", 0.0) for i in range(5)]

    def take(how: str, rows: list[Row]) -> None:
        gw.on_host_list(now, how, rows)
        for row in rows:
            if row.state == "in_service":
                book.told_gone.pop(row.host, None)
                book.started[row.host] = row.started
            else:
                book.told_gone[row.host] = now
            book.rows[row.host] = row

    take("warm_copy", fresh)
    for _ in range(120):
        now += chance.choice([0.0, 0.01, 0.05, 0.3, 1.0])
        for held, (host, number, ends) in list(book.out.items()):
            if now >= ends or chance.random() < 0.5:
                code = chance.choice([10, 10, 20, 30, 40, 50, 60, 80]) if now < ends else 40
                if code == Outcome.OK:
                    gw.on_tune_in_success(now, held, host, number, 0.1)
                    book.playing[held] = host
                    book.open.pop(held, None)
                else:
                    if code in (20, 40, 60):
                        book.ran.setdefault(held, (host, now))
                    gw.on_tune_in_end(now, held, False, code, host, 0.1, number, [chance.choice(ODD), 0.5])
                del book.out[held]
        event = chance.randrange(9)
        if event < 3:
            viewing_id += 1
            top = chance.randrange(-1, 12)
            title, spread = chance.choice("tu"), chance.choice([0, 1, 3, 6])
            gw.on_viewing_request(now, viewing_id, "p", title, chance.randrange(6), spread, top, now + 3.0)
            highest = min(top, package.top, 3)
            book.open[viewing_id] = book.known[viewing_id] = (package, title, now + 3.0, highest)
            book.asked.append(now)
        elif event == 3:
            row = chance.choice(fresh)
            state = chance.choice(["in_service", "terminating", "terminated"])
            began = chance.choice([0.0, now - 0.5])
            take("incr", [Row(row.host, row.cell, 2.0, "k", row.zone, state, began)])
        elif event == 4 and book.playing:
            done = chance.choice(sorted(book.playing))
            gw.on_tune_in_end(
                now, done, True, chance.choice([10, 60, 70]), book.playing.pop(done), 9.0, 0, []
            )
        elif event == 5:
            some = chance.choice([*sorted(book.playing), 999999])
            gw.on_report(now, some, f"h{chance.randrange(6)}", chance.randrange(6), chance.choice(ODD))
        elif event == 6:
            gw.on_host_list(now, "lost", [])
        elif event == 7:
            gw.on_peer_message(now, chance.randbytes(chance.choice([3, 4, 8])))
        elif event == 8 and book.open:
            gone = chance.choice(sorted(book.open))
            gw.on_viewer_left(now, gone)
            del book.open[gone]
        book.step(now)
