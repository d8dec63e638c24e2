"""Single cases: rungs, admission, cold hosts, probes, failing hosts, and the simulator's messages."""

import io
from dataclasses import replace

import pytest

from ledgehitch import brain, interface
from ledgehitch.brain import Gateway, Viewing
from ledgehitch.interface import Outcome
from ledgehitch.simhost.wire import main
from tests.helpers import FLEET, LADDER, PLAIN, TERMS, decisions, make_gateway, request, rows

NOW = 200.0  # long after the start, when no media host is cold any more


def playing_viewing(gateway: Gateway, viewing_id: int = 1, rung: int = 1, host: str = "h0") -> Viewing:
    gateway.on_viewing_handover(NOW, viewing_id, "plain", "t1", 0, 6, 3, host)
    gateway.on_report(NOW, viewing_id, host, 2, rung)
    gateway.viewings[viewing_id].hold_until = NOW
    return gateway.viewings[viewing_id]


def next_rung(gateway: Gateway, viewing: Viewing, link: float, uplink: float = 0.0) -> int:
    assert viewing.host is not None
    viewing.host.link.record_reading(NOW, NOW, link)
    viewing.host.uplink.record_reading(NOW, NOW, uplink)
    return gateway._next_rung(NOW, viewing, viewing.host)


def test_estimate_weighs_the_measure_by_three_and_the_old_estimate_by_eight() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway)
    next_rung(gateway, viewing, brain.TARGET_USE)
    assert viewing.estimate == pytest.approx(200.0)
    viewing.estimate = 90.0
    next_rung(gateway, viewing, brain.TARGET_USE)
    assert viewing.estimate == pytest.approx((3 * 200 + 8 * 90) / 11)


def test_rising_measure_raises_the_bounds_and_steps_up_one_rung_only() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway)
    viewing.estimate = 5000.0
    assert next_rung(gateway, viewing, 0.0) == 2
    assert viewing.high >= 2 and viewing.low == 2


def test_measure_below_the_lower_bound_resets_both_bounds() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway, rung=3)
    assert next_rung(gateway, viewing, 1.1) == 2, "above the target but delivered in full: one rung"
    assert (viewing.low, viewing.high) == (0, 2)


def test_short_delivery_steps_down_to_the_measured_rate_despite_the_hold() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway, rung=3)
    viewing.hold_until = NOW + 9
    assert viewing.host is not None
    viewing.host.short, viewing.host.share_at = True, NOW
    assert next_rung(gateway, viewing, 1 / 0.3) == 1, "800 at 0.3 carries 240"


def test_new_shortage_is_handled_at_once_and_a_lasting_one_in_the_next_round() -> None:
    gateway = make_gateway()
    playing_viewing(gateway, rung=3)
    decisions(gateway, NOW)
    gateway.hosts["h0"].tick_at = NOW + 9
    gateway.on_report(NOW, 1, "h0", 1, 0.2)
    assert gateway.wake_at() == NOW and any(isinstance(d, interface.SetRung) for d in decisions(gateway, NOW))
    gateway.on_report(NOW + 1, 1, "h0", 1, 0.2)
    assert gateway.wake_at() == NOW + brain.STEP_INTERVAL_S


def test_rung_is_kept_during_the_hold() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway)
    viewing.hold_until, viewing.estimate = NOW + 1, 5000.0
    assert next_rung(gateway, viewing, 0.0) == 1


@pytest.mark.parametrize(("link", "rung"), [(0.0, 2), (0.65, 1), (0.78, 0), (0.85, None)])
def test_admission_at_the_highest_rung_then_at_the_lowest_then_none(link: float, rung: int | None) -> None:
    gateway = make_gateway()
    request(gateway, NOW, 1)
    host = gateway.hosts["h0"]
    host.link.record_reading(NOW, NOW, link)
    host.link.cap_kb = 1000.0
    assert gateway._highest_fitting_rung(NOW, gateway.viewings[1], host) == rung


def test_least_used_holder_is_chosen_and_the_set_up_counts_at_once() -> None:
    gateway = make_gateway()
    for name, host in gateway.hosts.items():
        host.link.record_reading(NOW, NOW, 0.1 if name == "h4" else 0.5)
    request(gateway, NOW, 1)
    assert [d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn)] == ["h4"]
    assert gateway.link_use(NOW, gateway.hosts["h4"]) == pytest.approx(0.5)


def test_viewing_that_fits_nowhere_waits_briefly_and_is_blocked() -> None:
    gateway = make_gateway()
    request(gateway, NOW, 1, spread=0)
    assert decisions(gateway, NOW) == []
    assert decisions(gateway, NOW + 0.4) == [interface.Block(1, 0.0)]


def test_new_host_is_cold_from_its_start() -> None:
    gateway = make_gateway()
    new = interface.Row("new", 0, 2.0, "k", "a", "in_service", NOW - 1)
    gateway.on_host_list(NOW, "incr", [new])
    gateway.hosts["h0"].listed = False
    for viewing_id in range(9):
        request(gateway, NOW, viewing_id, spread=1)
    sent = [d for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn)]
    assert 1 <= len(sent) <= 4, "budget of 6 in two seconds for all gateways, and this is one of two"


def test_many_gateways_together_stay_within_the_budget_of_a_cold_host() -> None:
    started, sent = rows(started=NOW), 0
    for ordinal in range(100):
        gateway = make_gateway(terms=replace(TERMS, gateways=100, ordinal=ordinal))
        gateway.on_host_list(NOW, "total", started)
        request(gateway, NOW + ordinal * 0.019, ordinal, spread=1)
        sent += sum(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + ordinal * 0.019))
    assert 1 <= sent <= TERMS.fall_multiple * TERMS.cold_share * 30 / TERMS.warm_up * TERMS.fall_after


def test_large_cold_host_keeps_its_budget_at_a_single_gateway() -> None:
    """Enough set-ups are remembered for the budget: with only the last 512, a larger one was never spent."""
    fleet = replace(FLEET, slots={"k": 4000}, link_unit_kb=1e9, uplink_kb=1e12)
    terms = replace(TERMS, gateways=1)
    gateway = Gateway(7, NOW, LADDER, (PLAIN,), fleet, terms)
    gateway.on_host_list(NOW, "incr", [interface.Row("new", 0, 2.0, "k", "a", "in_service", NOW)])
    limit, sent = terms.fall_multiple * terms.cold_share * 4000 / terms.warm_up * terms.fall_after, 0
    for viewing_id in range(1200):
        request(gateway, NOW + viewing_id * 0.001, viewing_id)
        sent += sum(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + viewing_id * 0.001))
    assert 512 < sent <= limit < 1000


@pytest.mark.parametrize("cell", [interface.UNPLACED, 99])
def test_row_with_unknown_cell_kind_and_zone_affects_no_other_host(cell: int) -> None:
    """A host without a valid cell holds nothing and counts on no rack's uplink."""
    gateway = make_gateway()
    odd = interface.Row("odd", cell, 2.0, "nobody-knows", "nowhere", "in_service", NOW - 1)
    gateway.on_host_list(NOW, "incr", [odd])
    for viewing_id in range(12):
        request(gateway, NOW, viewing_id)
    sent = [d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn)]
    assert len(sent) == 12 and "odd" not in sent
    if cell == interface.UNPLACED:
        assert all("odd" not in [h.row.host for h in rack] for _, rack in gateway.racks)
    everywhere = make_gateway(fleet=replace(FLEET, cells=0))
    everywhere.on_host_list(NOW, "total", [odd])
    for viewing_id in range(40):
        request(everywhere, NOW, viewing_id)
    held = sum(isinstance(d, interface.TuneIn) for d in decisions(everywhere, NOW))
    assert 1 <= held <= 3, (
        "an unknown kind has the smallest budget: 30 slots, 6 set-ups in two seconds, one of two gateways"
    )


def test_one_stalled_host_does_not_blame_the_uplink_of_its_rack() -> None:
    gateway = make_gateway()
    for viewing_id, host in enumerate(["h0", "h2", "h4"]):
        playing_viewing(gateway, viewing_id, host=host)
    gateway.on_report(NOW, 0, "h0", 1, 0.1)
    assert (
        gateway.uplink_use(NOW, gateway.hosts["h2"]) < 0.5 < 1.0 < gateway.link_use(NOW, gateway.hosts["h0"])
    )
    gateway.on_report(NOW, 1, "h2", 1, 0.6)
    gateway.on_report(NOW, 2, "h4", 1, 0.6)
    assert gateway.uplink_use(NOW, gateway.hosts["h2"]) > 1.0


def test_old_reading_fades_so_that_a_full_host_is_tried_again() -> None:
    gateway = make_gateway()
    host = gateway.hosts["h0"]
    host.link.record_reading(NOW, NOW, 3.0)
    assert gateway.link_use(NOW + 1, host) > 2 and gateway.link_use(NOW + 60, host) <= brain.TARGET_USE


def test_end_of_short_delivery_does_not_make_an_unknown_uplink_look_empty() -> None:
    gateway = make_gateway()
    playing_viewing(gateway)
    before = gateway.uplink_use(NOW, gateway.hosts["h0"])
    gateway.on_report(NOW, 1, "h0", 1, 0.9)
    gateway.on_report(NOW, 1, "h0", 1, 1.0)
    assert gateway.hosts["h0"].uplink.value != 0.0 and gateway.uplink_use(NOW, gateway.hosts["h0"]) >= before


def test_a_viewing_that_met_an_error_is_answered_though_the_last_host_is_gone() -> None:
    # The median of no failure shares was an error, and the request stayed without an answer.
    gateway = make_gateway(hosts=1)
    request(gateway, 110.0, 1)
    (host,) = [d.host for d in decisions(gateway, 110.0) if isinstance(d, interface.TuneIn)]
    gateway.on_host_list(110.1, "incr", rows(1, state="terminated"))
    gateway.on_tune_in_end(110.2, 1, False, interface.Outcome.ERROR, host, 0.1, 0)
    gateway.on_host_list(110.3, "incr", rows(1, state="terminated"))
    assert not gateway.hosts
    assert [d for d in decisions(gateway, 114.0) if isinstance(d, interface.Block)] == [
        interface.Block(1, 0.0)
    ]


def test_short_delivery_in_an_unlisted_rack_does_not_break_placement_without_a_stated_uplink() -> None:
    """With no uplink size and no host of the rack in service, the rack's rate is zero.

    A report of short delivery then sets the size of its uplink to zero, and a placement divides by that size
    once a host of the rack is back in service.
    """
    gateway = make_gateway(fleet=replace(FLEET, uplink_kb=0), hosts=1)
    gateway.on_viewing_handover(NOW, 1, "plain", "t1", 0, 6, 3, "h0")
    gateway.on_host_list(NOW, "incr", rows(1, "terminating"))
    gateway.on_report(NOW, 1, "h0", 1, 0.9)
    gateway.on_host_list(NOW, "incr", rows(1))
    request(gateway, NOW, 2)
    assert gateway.decide(NOW) is not None


def test_full_host_is_avoided_and_suspended_holders_are_used_when_all_are_suspended() -> None:
    gateway = make_gateway(hosts=2)
    request(gateway, NOW, 1)
    first = next(d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn))
    gateway.on_tune_in_end(NOW, 1, False, Outcome.FULL, first, 0.01, 0)
    second = next(d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn))
    assert {first, second} == {"h0", "h1"}
    for host in gateway.hosts.values():
        host.aside_until = NOW + 50
        host.link.record_reading(NOW, NOW, 0.1)
    request(gateway, NOW, 2)
    assert any(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW))


def test_peer_messages_count_on_the_link_and_invalid_ones_are_ignored() -> None:
    gateway = make_gateway()
    for host in gateway.hosts.values():
        host.link.record_reading(NOW - 1, NOW - 1, 0.2)
    gateway.on_peer_message(NOW, brain.RATE_CHANGE.pack(gateway.hosts["h2"].mark, 400))
    for invalid in (
        b"\x00\x01\x02",
        brain.RATE_CHANGE.pack(gateway.hosts["h2"].mark, 30000),
        brain.RATE_CHANGE.pack(0, 9),
    ):
        gateway.on_peer_message(NOW, invalid)
    assert sum(gateway.link_use(NOW, h) for h in gateway.hosts.values()) == pytest.approx(6 * 0.2 + 0.2)


def test_few_peer_messages_are_sent_where_gateways_rarely_share_media_hosts() -> None:
    sent, fleet = [], replace(FLEET, cells=0, uplink_kb=0.0)
    for hosts in (2, 100):
        gateway = make_gateway(terms=replace(TERMS, gateways=9, ordinal=4), fleet=fleet, hosts=hosts)
        for i in range(40):
            request(gateway, NOW + i, i)
            sent += [
                (hosts, d.recipient) for d in decisions(gateway, NOW + i) if isinstance(d, interface.Tell)
            ]
            gateway.on_tune_in_end(NOW + i, i, True, Outcome.CANCELLED, gateway.viewings[i].tried[0], 0.1, 0)
    assert all(recipient != 4 for _, recipient in sent)
    assert sum(hosts == 100 for hosts, _ in sent) < 10 < sum(hosts == 2 for hosts, _ in sent)


def test_gateways_without_readings_choose_different_holders() -> None:
    taken = set()
    for seed in range(20):
        gateway = Gateway(seed, 100.0, LADDER, (PLAIN,), replace(FLEET, cells=12), TERMS)
        gateway.on_host_list(100.0, "warm_copy", rows(12))
        request(gateway, NOW, 1, spread=12)
        taken |= {d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn)}
    assert len(taken) > 4


def test_decisions_do_not_depend_on_the_start_of_the_clock() -> None:
    """A use that was never read must not look as if read at 0, or no host is probed just after a boot."""
    decided = []
    for start in (0.0, 3.0, 100.0, 634345.0):
        gateway = Gateway(7, start, LADDER, (PLAIN,), FLEET, replace(TERMS, may_probe=True, warm_up=0.0))
        gateway.on_host_list(start, "warm_copy", rows())
        made: list[str] = []
        for viewing_id in range(4):
            gateway.on_viewing_request(
                start + viewing_id, viewing_id, "plain", "t1", 0, 6, 3, start + viewing_id + 3.0
            )
            for step in range(3):
                made += [
                    type(d).__name__ + getattr(d, "host", "")
                    for d in decisions(gateway, start + viewing_id + step / 8)
                ]
        decided.append(made)
    assert "Probe" in str(decided[0]) and all(made == decided[0] for made in decided)


def test_gateway_that_stalled_blocks_overdue_viewings_at_once() -> None:
    gateway = make_gateway()
    gateway.on_viewing_request(NOW, 1, "plain", "t1", 0, 6, 3, NOW - 0.5)  # its patience has ended already
    # No holder, and the viewer's request is 1.1 s old.
    gateway.on_viewing_request(NOW, 2, "plain", "t1", 0, 0, 3, NOW + 1.9)
    assert decisions(gateway, NOW) == [interface.Block(1, 0.0), interface.Block(2, 0.0)]
    gateway.on_viewing_handover(NOW, 3, "plain", "t1", 0, 6, 3, "h0")
    assert len(decisions(gateway, NOW + 30.0)) <= 2, "one round of steps, however late the timer"


def test_events_of_ended_viewings_and_unknown_hosts_are_ignored() -> None:
    gateway = make_gateway()
    gateway.on_report(NOW, 77, "nowhere", 1, 0.1)
    gateway.on_report(NOW, 77, "h0", 2, 3.0)
    gateway.on_tune_in_success(NOW, 77, "h0", 0, 0.1)
    gateway.on_tune_in_end(NOW, 77, True, Outcome.RESET, "nowhere", 0.1, 0, [0.5, 0.5])
    gateway.on_viewer_left(NOW, 77)
    gateway.on_probe_result(NOW, "nowhere", Outcome.TIMEOUT, 0.25)
    assert decisions(gateway, NOW) == [] and not gateway.viewings


def test_hundreds_of_hosts_that_leave_and_come_back_are_used_again() -> None:
    gateway = make_gateway(hosts=300, fleet=replace(FLEET, uplink_kb=0.0))
    for i in range(4):
        gateway.on_host_list(NOW + i, "incr", rows(300, "terminated"))
        request(gateway, NOW + i, i)
        assert not any(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + i))
        gateway.on_host_list(NOW + i + 0.9, "total", rows(300, started=NOW + i + 0.5))
    request(gateway, NOW + 20, 99)
    assert any(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + 20))


def test_zero_gateways_count_as_one_and_without_a_budget_no_times_are_stored() -> None:
    gateway = make_gateway(terms=replace(TERMS, gateways=0))
    request(gateway, NOW, 1)
    assert any(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW))
    assert not gateway.asked_times


def test_lost_list_is_requested_again() -> None:
    gateway = make_gateway(terms=interface.Terms(on_request=True, ask_within=10.0))
    assert decisions(gateway, 100.0) == [interface.Subscribe()]
    gateway.on_host_list(100.1, "lost", [])
    assert decisions(gateway, 100.2) == [] and decisions(gateway, 103.0) == [interface.Subscribe()]
    gateway.on_host_list(103.1, "incr", rows())
    assert decisions(gateway, 150.0) == []


@pytest.mark.parametrize("within, least, most", [(2.0, 0.1, 1.0), (20.0, 1.0, 6.0), (0.0, 1.0, 6.0)])
def test_lost_list_is_requested_again_before_its_changes_count_as_heard(
    within: float, least: float, most: float
) -> None:
    """The wait has to fit the setting `ask_within`; a fixed one of up to 6 s was too long for short ones."""
    waits = []
    for seed in range(50):
        gateway = Gateway(
            seed, NOW, LADDER, (PLAIN,), FLEET, replace(TERMS, on_request=True, ask_within=within)
        )
        assert decisions(gateway, NOW) == [interface.Subscribe()]
        gateway.on_host_list(NOW, "incr", rows())
        gateway.on_host_list(NOW, "lost", [])
        due = gateway.wake_at()
        assert due is not None
        waits.append(due - NOW)
    assert least <= min(waits) < max(waits) <= most, "requests are spread out, and none is late"


def run_simulator(text: str) -> tuple[int, str, str]:
    out, err = io.BytesIO(), io.StringIO()
    code = main(io.BytesIO(text.replace(" ", "\t").encode()), out, err)
    return code, out.getvalue().decode(), err.getvalue()


CREATE = "create 5 familyInfo.levelKb=100,200 rules.warmUp=0 ceilings.tryLimit=2 categories.count=1 " + (
    "categories.0.name=p categories.0.onTime=800 familyInfo.linkUnitKb=900 familyInfo.rungWorth=0.5,1 "
    "categories.0.effect=repeatable categories.0.deadline=3000"
)
LIST = "snapshot_rows 0 1\nrow 0 1 k a:1 z in_service -\nview warm_copy 1 0\n"


def test_simulator_messages_pass_in_both_directions() -> None:
    text = f"batch 1000.5 1\nend\nbatch 2000 2\nat 3\n{CREATE}\n{LIST}"
    text += "query 9 5000 aa 0 1 - t 0 1 - p\nend\n"
    code, out, err = run_simulator(text + "batch 2010 3\nat 4\nwithdrawn 7\nend\n")
    assert (code, err) == (0, "")
    assert out.splitlines()[:4] == ["ack\t1", "source\t3", "step_to\t9\t1", "forward\t9\ta:1\t450.000"]
    assert out.splitlines()[-1] == "ack\t3"


def test_row_without_a_cell_is_accepted_from_the_simulator() -> None:
    two = LIST.replace("rows 0 1", "rows 0 2").replace("row 0", "row - 1 k b:1 z in_service -\nrow 0", 1)
    code, out, err = run_simulator(
        f"batch 2000 1\nat 3\n{CREATE}\n{two}query 9 5000 aa 0 1 - t 0 1 - p\nend\n"
    )
    assert (code, err) == (0, "") and "forward\t9\ta:1\t450.000" in out


@pytest.mark.parametrize(
    "line", ["nonsense 1", "withdrawn", "withdrawn x", "view total 1 7", "snapshot_rows 0 2\nat 1"]
)
def test_malformed_line_is_reported_and_nothing_is_written(line: str) -> None:
    code, out, err = run_simulator(f"batch 1 1\nat 3\n{CREATE}\n{line}\nend\n")
    assert code != 0 and out == "" and err.startswith("ledgehitch.simhost: line ") and err.count("\n") == 1


def test_holder_without_a_reading_is_probed_first_and_a_late_answer_is_not_awaited() -> None:
    gateway = make_gateway(terms=replace(TERMS, may_probe=True))
    request(gateway, NOW, 1)
    probe = decisions(gateway, NOW)
    assert [type(d) for d in probe] == [interface.Probe]
    assert isinstance(probe[0], interface.Probe)
    gateway.on_probe_result(NOW + 0.02, probe[0].host, 10, 0.02, [3, 0.1])
    assert [d.host for d in decisions(gateway, NOW + 0.02) if isinstance(d, interface.TuneIn)] == [
        probe[0].host
    ]
    request(gateway, NOW + 1, 2)
    assert [type(d) for d in decisions(gateway, NOW + 1)] == [interface.Probe]
    assert any(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + 1.2))


def test_probing_ends_well_before_patience_where_the_join_target_is_as_long() -> None:
    gateway = make_gateway(replace(PLAIN, join_target=3.0), replace(TERMS, may_probe=True, may_tell=False))
    request(gateway, 200.0, 1)
    first = next(
        t for t in range(300) for d in decisions(gateway, 200 + t / 100) if isinstance(d, interface.TuneIn)
    )
    assert 20 < first <= 0.4 * 300 + 11, "probes again, and then tries a holder in time to play"


def test_holders_that_answer_no_probe_are_tried_and_the_viewing_is_blocked_early() -> None:
    """Probing one holder after the other must not use up patience.

    It took all 3 s of it: no tune-in was sent, and the viewing was blocked 20 ms before its patience ended.
    """
    gateway = make_gateway(
        terms=replace(TERMS, may_probe=True, may_tell=False, may_advise=True, longest_advice=0.5)
    )
    now, out, asks, tried, answer = 200.0, None, 0, 0, None
    request(gateway, now, 1)
    while answer is None and now < 202.9:
        if out is not None and now >= out[1]:
            gateway.on_tune_in_end(now, 1, False, Outcome.TIMEOUT, out[0].host, out[0].within, tried - 1)
            out = None
        for decision in decisions(gateway, now):
            if isinstance(decision, interface.TuneIn):
                out, tried = (decision, now + decision.within), tried + 1
                assert tried > 1 or now <= 200.0 + PLAIN.join_target + 0.11, (
                    "no probes beyond the join target"
                )
            asks += isinstance(decision, interface.Probe)
            answer = decision if isinstance(decision, interface.Block) else answer
        now += 0.01
    assert answer == interface.Block(1, 0.5) and now < 202.5, (
        "blocked at once after the last try, with advice"
    )
    assert tried == TERMS.tune_ins and 1 <= asks <= 9


@pytest.mark.parametrize(
    "fields, reports, asks",
    [
        (("x0",), "pull", 1),
        (("active", "cpu"), "piggyback", 1),
        (("active", "x1"), "piggyback", 0),
        (("x0",), "silent", 0),
    ],
)
def test_no_probe_is_sent_where_an_answer_states_no_use_of_a_link(
    fields: tuple[str, ...], reports: str, asks: int
) -> None:
    """Otherwise each viewing probes holder after holder, and waits for answers that state no use."""
    fleet = replace(FLEET, load_fields=fields, reports=reports)
    gateway = make_gateway(terms=replace(TERMS, may_probe=True, may_tell=False), fleet=fleet)
    request(gateway, 200.0, 1)
    made = decisions(gateway, 200.0)
    assert sum(isinstance(d, interface.Probe) for d in made) == asks
    assert sum(isinstance(d, interface.TuneIn) for d in made) == 1 - asks


def test_restarted_gateway_uses_a_doubted_host_only_once_others_are_seen_to_play_there() -> None:
    gateway = make_gateway(terms=replace(TERMS, may_probe=True, gateways=900, ordinal=899))
    request(gateway, 100.0, 1)
    for at, use in ((100.0, 0.0), (100.11, 0.5)):
        (probe,) = decisions(gateway, at)
        assert isinstance(probe, interface.Probe)
        gateway.on_probe_result(at + 0.02, probe.host, 10, 0.02, [9, use])
        assert any(isinstance(d, interface.TuneIn) for d in decisions(gateway, at + 0.02)) == (
            use > brain.WARM_HOST_USE
        )


def test_hosts_with_viewings_are_probed_where_load_is_reported_on_request_only() -> None:
    fleet = interface.Fleet(cells=6, racks=2, link_unit_kb=1000, reports="pull", told_every=1.0)
    gateway = make_gateway(terms=interface.Terms(may_probe=True), fleet=fleet)
    playing_viewing(gateway)
    assert [d for d in decisions(gateway, NOW) if isinstance(d, interface.Probe)] == [interface.Probe("h0")]


def test_handed_over_viewing_steps_up_once_its_host_has_reported() -> None:
    both = ("x0", "x1")
    fleet = interface.Fleet(
        cells=6, racks=2, link_unit_kb=1000, uplink_kb=4500, load_fields=both, told_every=3.0
    )
    gateway = make_gateway(fleet=fleet)
    gateway.on_viewing_handover(100.0, 1, "plain", "t1", 0, 6, 3, "h0")
    gateway.on_report(100.0, 1, "h0", 2, 0)
    assert not any(isinstance(d, interface.SetRung) for d in decisions(gateway, 103.0))
    gateway.on_report(103.0, 1, "h0", 3, 0.1)
    assert [d for d in decisions(gateway, 106.1) if isinstance(d, interface.SetRung)] == [
        interface.SetRung(1, 1)
    ]


def test_target_use_is_lower_for_steps_that_earn_less_a_kb() -> None:
    gateway = make_gateway()
    request(gateway, NOW, 1)
    marks = gateway.viewings[1].marks[1:4]
    assert marks[0] == brain.TARGET_USE > marks[1] > marks[2] >= brain.TARGET_USE - brain.TARGET_USE_REDUCTION


def test_set_up_that_no_media_host_can_carry_out_counts_against_none() -> None:
    gateway = make_gateway()
    for viewing_id in range(1, 9):
        request(gateway, NOW, viewing_id)
        for number in range(3):
            host = next(d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn))
            gateway.on_tune_in_end(NOW, viewing_id, False, Outcome.ERROR, host, 0.01, number)
        assert interface.Block(viewing_id, 0.0) in decisions(gateway, NOW)
    assert all(h.aside_until < NOW and not h.bad for h in gateway.hosts.values())


def test_error_counts_when_the_viewing_plays_elsewhere_or_met_only_one() -> None:
    gateway = make_gateway()
    for viewing_id in (1, 2):
        for known in gateway.hosts.values():
            known.link.record_reading(NOW, NOW, 0.0 if known.row.host == "h3" else 0.5)
        request(gateway, NOW, viewing_id)
        host = next(d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn))
        assert host == "h3"
        gateway.on_tune_in_end(NOW, viewing_id, False, Outcome.ERROR, host, 0.01, 0)
        other = next(d.host for d in decisions(gateway, NOW) if isinstance(d, interface.TuneIn))
        gateway.on_tune_in_success(NOW, viewing_id, other, 1, 0.01)
    assert gateway.hosts["h3"].aside_until > NOW
    lone = make_gateway(hosts=1)
    request(lone, NOW, 1)
    assert any(isinstance(d, interface.TuneIn) for d in decisions(lone, NOW))
    lone.on_tune_in_end(NOW, 1, False, Outcome.ERROR, "h0", 0.01, 0)
    decisions(lone, NOW + 2.98)
    assert not lone.viewings and lone.hosts["h0"].bad == 1


def test_hosts_that_are_gone_are_dropped_once_nothing_plays_there() -> None:
    gateway = make_gateway()
    viewing = playing_viewing(gateway, host="h1")
    for name in ("h0", "h1"):
        gateway.on_host_list(NOW, "incr", [replace(r, state="terminated") for r in rows() if r.host == name])
    assert "h0" not in gateway.hosts and "h1" in gateway.hosts and viewing.host is gateway.hosts["h1"]
    gateway.on_tune_in_end(NOW, 1, True, Outcome.RESET, "h1", 1.0, 0)
    for i in range(10, 60):
        gateway.on_host_list(NOW, "incr", [replace(rows(i + 1)[i], cell=0)])
        gateway.on_host_list(NOW, "incr", [replace(rows(i + 1)[i], cell=0, state="terminated")])
    assert sorted(gateway.hosts) == ["h2", "h3", "h4", "h5"]
    assert sum(len(rack) for _, rack in gateway.racks) == 4
    gateway.on_host_list(NOW, "incr", [rows()[0]])
    assert gateway.hosts["h0"].cold_until > NOW, "a host that comes back has just started"
    assert len({h.number for h in gateway.hosts.values()}) == 5


def test_cold_host_with_a_budget_below_one_set_up_gets_one_in_a_window_from_all_gateways() -> None:
    """A budget rounded down to none would admit no viewing during the whole warm-up."""
    fleet = replace(FLEET, slots={"k": 1}, link_unit_kb=1e9, uplink_kb=1e12)
    sent = 0
    for ordinal in range(3):
        terms = replace(TERMS, gateways=3, ordinal=ordinal)
        assert terms.fall_multiple * terms.cold_share / terms.warm_up * terms.fall_after < 1
        gateway = Gateway(7, NOW, LADDER, (PLAIN,), fleet, terms)
        gateway.on_host_list(NOW, "incr", [interface.Row("new", 0, 2.0, "k", "a", "in_service", NOW)])
        for viewing_id in range(50):
            request(gateway, NOW + viewing_id * 0.001, viewing_id)
            sent += sum(isinstance(d, interface.TuneIn) for d in decisions(gateway, NOW + viewing_id * 0.001))
    assert sent == 1
