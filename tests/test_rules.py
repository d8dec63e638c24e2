"""Random runs from seeds over many settings; the six rules are checked after each step."""

import random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ledgehitch.brain import Gateway
from ledgehitch.interface import Fleet, Outcome, Package, Row, Terms
from tests.helpers import FLEET, LADDER, RuleChecker

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
# Valid and invalid values of reports.
REPORTED_VALUES = [-1.0, 0.0, 0.01, 0.3, 0.7, 0.97, 1.0, 1.3, 50.0, 1e300, float("nan"), float("inf")]


@settings(max_examples=300, deadline=None, derandomize=True, phases=[Phase.generate])
@given(packages, all_terms, fleets, st.integers(0, 2**32))
def test_the_rules_hold_at_every_step(package: Package, terms: Terms, fleet: Fleet, seed: int) -> None:
    now, viewing_id, chance = 50.0, 0, random.Random(seed)
    gateway = Gateway(3, now, LADDER, (package,), fleet, terms)
    checker = RuleChecker(gateway, terms, (fleet.slots or {}).get("k", 1))
    listed = [Row(f"h{i}", i, 2.0, "k", "ab"[i % 2], "in_service", 0.0) for i in range(5)]

    def list_hosts(how: str, rows: list[Row]) -> None:
        gateway.on_host_list(now, how, rows)
        for row in rows:
            if row.state == "in_service":
                checker.drain_times.pop(row.host, None)
                checker.started[row.host] = row.started
            else:
                checker.drain_times[row.host] = now
            checker.rows[row.host] = row

    list_hosts("warm_copy", listed)
    for _ in range(120):
        now += chance.choice([0.0, 0.01, 0.05, 0.3, 1.0])
        for viewing, (host, number, end) in list(checker.out.items()):
            if now >= end or chance.random() < 0.5:
                code = chance.choice([10, 10, 20, 30, 40, 50, 60, 80]) if now < end else 40
                if code == Outcome.OK:
                    gateway.on_tune_in_success(now, viewing, host, number, 0.1)
                    checker.playing[viewing] = host
                    checker.open.pop(viewing, None)
                else:
                    if code in (20, 40, 60):
                        checker.ran.setdefault(viewing, (host, now))
                    gateway.on_tune_in_end(
                        now, viewing, False, code, host, 0.1, number, [chance.choice(REPORTED_VALUES), 0.5]
                    )
                del checker.out[viewing]
        event = chance.randrange(9)
        if event < 3:
            viewing_id += 1
            top = chance.randrange(-1, 12)
            title, spread = chance.choice("tu"), chance.choice([0, 1, 3, 6])
            gateway.on_viewing_request(
                now, viewing_id, "p", title, chance.randrange(6), spread, top, now + 3.0
            )
            highest = min(top, package.top, 3)
            checker.open[viewing_id] = checker.known[viewing_id] = (package, title, now + 3.0, highest)
            checker.request_times.append(now)
        elif event == 3:
            row = chance.choice(listed)
            state = chance.choice(["in_service", "terminating", "terminated"])
            started = chance.choice([0.0, now - 0.5])
            list_hosts("incr", [Row(row.host, row.cell, 2.0, "k", row.zone, state, started)])
        elif event == 4 and checker.playing:
            ended = chance.choice(sorted(checker.playing))
            gateway.on_tune_in_end(
                now, ended, True, chance.choice([10, 60, 70]), checker.playing.pop(ended), 9.0, 0, []
            )
        elif event == 5:
            reported = chance.choice([*sorted(checker.playing), 999999])
            gateway.on_report(
                now, reported, f"h{chance.randrange(6)}", chance.randrange(6), chance.choice(REPORTED_VALUES)
            )
        elif event == 6:
            gateway.on_host_list(now, "lost", [])
        elif event == 7:
            gateway.on_peer_message(now, chance.randbytes(chance.choice([3, 4, 8])))
        elif event == 8 and checker.open:
            left = chance.choice(sorted(checker.open))
            gateway.on_viewer_left(now, left)
            del checker.open[left]
        checker.check_decisions(now)
