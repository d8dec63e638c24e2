"""Plain cases: the mechanism's arithmetic, admission, the troubles met so far, and the adapter's framing."""

import io
from dataclasses import replace

import pytest

from ledgehitch import brain
from ledgehitch import interface as say
from ledgehitch.brain import Gateway, Viewing
from ledgehitch.interface import Outcome
from ledgehitch.simhost.wire import main
from tests.helpers import FLEET, LADDER, PLAIN, TERMS, ask, gateway, pulled, rows

NOW = 200.0  # long after the start, when no media host is cold any more


def playing(gw: Gateway, viewing_id: int = 1, rung: int = 1, host: str = "h0") -> Viewing:
    gw.on_viewing_handover(NOW, viewing_id, "plain", "t1", 0, 6, 3, host)
    gw.on_report(NOW, viewing_id, host, 2, rung)
    gw.viewings[viewing_id].hold_until = NOW
    return gw.viewings[viewing_id]


def step(gw: Gateway, v: Viewing, link: float, uplink: float = 0.0) -> int:
    assert v.host is not None
    v.host.link.read(NOW, NOW, link)
    v.host.uplink.read(NOW, NOW, uplink)
    return gw._step(NOW, v, v.host)


def test_estimate_is_three_parts_measure_and_eight_parts_old() -> None:
    gw = gateway()
    v = playing(gw)
    step(gw, v, brain.MARK)
    assert v.estimate == pytest.approx(200.0)
    v.estimate = 90.0
    step(gw, v, brain.MARK)
    assert v.estimate == pytest.approx((3 * 200 + 8 * 90) / 11)


def test_rising_measure_lifts_the_bounds_and_climbs_one_rung_only() -> None:
    gw = gateway()
    v = playing(gw)
    v.estimate = 5000.0
    assert step(gw, v, 0.0) == 2
    assert v.high >= 2 and v.low == 2


def test_measure_under_the_lower_bound_resets_both() -> None:
    gw = gateway()
    v = playing(gw, rung=3)
    assert step(gw, v, 1.1) == 2, "over the mark but delivered in full: one rung"
    assert (v.low, v.high) == (0, 2)


def test_short_share_drops_to_what_the_measure_carries_despite_the_hold() -> None:
    gw = gateway()
    v = playing(gw, rung=3)
    v.hold_until = NOW + 9
    assert v.host is not None
    v.host.short, v.host.share_at = True, NOW
    assert step(gw, v, 1 / 0.3) == 1, "800 at 0.3 carries 240"


def test_fresh_shortage_is_looked_at_at_once_and_a_lasting_one_at_the_next_look() -> None:
    gw = gateway()
    playing(gw, rung=3)
    pulled(gw, NOW)
    gw.hosts["h0"].tick_at = NOW + 9
    gw.on_report(NOW, 1, "h0", 1, 0.2)
    assert gw.wake_at() == NOW and any(isinstance(d, say.SetRung) for d in pulled(gw, NOW))
    gw.on_report(NOW + 1, 1, "h0", 1, 0.2)
    assert gw.wake_at() == NOW + brain.TICK


def test_hold_keeps_the_rung() -> None:
    gw = gateway()
    v = playing(gw)
    v.hold_until, v.estimate = NOW + 1, 5000.0
    assert step(gw, v, 0.0) == 1


@pytest.mark.parametrize(("link", "rung"), [(0.0, 2), (0.65, 1), (0.78, 0), (0.85, None)])
def test_admission_at_the_highest_rung_then_the_lowest_then_not(link: float, rung: int | None) -> None:
    gw = gateway()
    ask(gw, NOW, 1)
    h = gw.hosts["h0"]
    h.link.read(NOW, NOW, link)
    h.link.cap_kb = 1000.0
    assert gw._fitting(NOW, gw.viewings[1], h) == rung


def test_least_used_holder_takes_it_and_the_set_up_counts_at_once() -> None:
    gw = gateway()
    for name, h in gw.hosts.items():
        h.link.read(NOW, NOW, 0.1 if name == "h4" else 0.5)
    ask(gw, NOW, 1)
    assert [d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn)] == ["h4"]
    assert gw.use_link(NOW, gw.hosts["h4"]) == pytest.approx(0.5)


def test_nothing_fits_waits_briefly_then_blocks() -> None:
    gw = gateway()
    ask(gw, NOW, 1, spread=0)
    assert pulled(gw, NOW) == []
    assert pulled(gw, NOW + 0.4) == [say.Block(1, 0.0)]


def test_replacement_first_seen_is_cold_from_its_start() -> None:
    gw = gateway()
    new = say.Row("new", 0, 2.0, "k", "a", "in_service", NOW - 1)
    gw.on_host_list(NOW, "incr", [new])
    gw.hosts["h0"].listed = False
    for viewing_id in range(9):
        ask(gw, NOW, viewing_id, spread=1)
    sent = [d for d in pulled(gw, NOW) if isinstance(d, say.TuneIn)]
    assert 1 <= len(sent) <= 4, "budget of 6 in two seconds for all gateways, and this is one of two"


def test_crowd_at_many_gateways_stays_inside_the_budget_of_a_cold_host() -> None:
    started, sent = rows(started=NOW), 0
    for ordinal in range(100):
        gw = gateway(terms=replace(TERMS, gateways=100, ordinal=ordinal))
        gw.on_host_list(NOW, "total", started)
        ask(gw, NOW + ordinal * 0.019, ordinal, spread=1)
        sent += sum(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + ordinal * 0.019))
    assert 1 <= sent <= TERMS.fall_multiple * TERMS.cold_share * 30 / TERMS.warm_up * TERMS.fall_after


def test_large_machine_at_one_gateway_keeps_its_budget_while_cold() -> None:
    """Once only 512 set-ups were remembered, so that a larger part of the budget was never used up."""
    fleet = replace(FLEET, slots={"k": 4000}, link_unit_kb=1e9, uplink_kb=1e12)
    terms = replace(TERMS, gateways=1)
    gw = Gateway(7, NOW, LADDER, (PLAIN,), fleet, terms)
    gw.on_host_list(NOW, "incr", [say.Row("new", 0, 2.0, "k", "a", "in_service", NOW)])
    limit, sent = terms.fall_multiple * terms.cold_share * 4000 / terms.warm_up * terms.fall_after, 0
    for viewing_id in range(1200):
        ask(gw, NOW + viewing_id * 0.001, viewing_id)
        sent += sum(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + viewing_id * 0.001))
    assert 512 < sent <= limit < 1000


@pytest.mark.parametrize("cell", [say.UNPLACED, 99])
def test_a_row_of_unknown_place_kind_and_zone_harms_no_other_host(cell: int) -> None:
    """Once it counted as holder of whatever its cell came to, and on the uplink of a rack not its own."""
    gw = gateway()
    odd = say.Row("odd", cell, 2.0, "nobody-knows", "nowhere", "in_service", NOW - 1)
    gw.on_host_list(NOW, "incr", [odd])
    for viewing_id in range(12):
        ask(gw, NOW, viewing_id)
    sent = [d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn)]
    assert len(sent) == 12 and "odd" not in sent
    if cell == say.UNPLACED:
        assert all("odd" not in [h.row.host for h in rack] for _, rack in gw.racks)
    everywhere = gateway(fleet=replace(FLEET, cells=0))
    everywhere.on_host_list(NOW, "total", [odd])
    for viewing_id in range(40):
        ask(everywhere, NOW, viewing_id)
    held = sum(isinstance(d, say.TuneIn) for d in pulled(everywhere, NOW))
    assert 1 <= held <= 3, "an unknown kind has the smallest budget: 30 places, 6 in two seconds, one of two"


def test_one_host_standing_still_does_not_blame_its_rack() -> None:
    gw = gateway()
    for viewing_id, host in enumerate(["h0", "h2", "h4"]):
        playing(gw, viewing_id, host=host)
    gw.on_report(NOW, 0, "h0", 1, 0.1)
    assert gw.use_uplink(NOW, gw.hosts["h2"]) < 0.5 < 1.0 < gw.use_link(NOW, gw.hosts["h0"])
    gw.on_report(NOW, 1, "h2", 1, 0.6)
    gw.on_report(NOW, 2, "h4", 1, 0.6)
    assert gw.use_uplink(NOW, gw.hosts["h2"]) > 1.0


def test_old_reading_fades_so_that_a_full_host_is_tried_again() -> None:
    gw = gateway()
    h = gw.hosts["h0"]
    h.link.read(NOW, NOW, 3.0)
    assert gw.use_link(NOW + 1, h) > 2 and gw.use_link(NOW + 60, h) <= brain.MARK


def test_end_of_a_short_spell_does_not_make_an_unknown_uplink_look_empty() -> None:
    gw = gateway()
    playing(gw)
    before = gw.use_uplink(NOW, gw.hosts["h0"])
    gw.on_report(NOW, 1, "h0", 1, 0.9)
    gw.on_report(NOW, 1, "h0", 1, 1.0)
    assert gw.hosts["h0"].uplink.value != 0.0 and gw.use_uplink(NOW, gw.hosts["h0"]) >= before


def test_full_host_is_passed_over_and_all_holders_set_aside_are_used() -> None:
    gw = gateway(hosts=2)
    ask(gw, NOW, 1)
    first = next(d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn))
    gw.on_tune_in_end(NOW, 1, False, Outcome.FULL, first, 0.01, 0)
    second = next(d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn))
    assert {first, second} == {"h0", "h1"}
    for h in gw.hosts.values():
        h.aside_until = NOW + 50
        h.link.read(NOW, NOW, 0.1)
    ask(gw, NOW, 2)
    assert any(isinstance(d, say.TuneIn) for d in pulled(gw, NOW))


def test_peer_words_count_on_link_and_odd_ones_are_passed_over() -> None:
    gw = gateway()
    for h in gw.hosts.values():
        h.link.read(NOW - 1, NOW - 1, 0.2)
    gw.on_peer_message(NOW, brain.CHANGE.pack(gw.hosts["h2"].mark, 400))
    for odd in (b"\x00\x01\x02", brain.CHANGE.pack(gw.hosts["h2"].mark, 30000), brain.CHANGE.pack(0, 9)):
        gw.on_peer_message(NOW, odd)
    assert sum(gw.use_link(NOW, h) for h in gw.hosts.values()) == pytest.approx(6 * 0.2 + 0.2)


def test_few_words_go_out_where_others_hardly_play_on_the_same_media_hosts() -> None:
    told, fleet = [], replace(FLEET, cells=0, uplink_kb=0.0)
    for hosts in (2, 100):
        gw = gateway(terms=replace(TERMS, gateways=9, ordinal=4), fleet=fleet, hosts=hosts)
        for i in range(40):
            ask(gw, NOW + i, i)
            told += [(hosts, d.recipient) for d in pulled(gw, NOW + i) if isinstance(d, say.Tell)]
            gw.on_tune_in_end(NOW + i, i, True, Outcome.CANCELLED, gw.viewings[i].tried[0], 0.1, 0)
    assert all(to != 4 for _, to in told)
    assert sum(hosts == 100 for hosts, _ in told) < 10 < sum(hosts == 2 for hosts, _ in told)


def test_unread_holders_do_not_draw_every_gateway_to_the_same_one() -> None:
    taken = set()
    for seed in range(20):
        gw = Gateway(seed, 100.0, LADDER, (PLAIN,), replace(FLEET, cells=12), TERMS)
        gw.on_host_list(100.0, "warm_copy", rows(12))
        ask(gw, NOW, 1, spread=12)
        taken |= {d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn)}
    assert len(taken) > 4


def test_the_clock_may_start_anywhere() -> None:
    """Once what was never read looked as if it were read at 0, so that a machine just booted asked nobody."""
    decided = []
    for start in (0.0, 3.0, 100.0, 634345.0):
        gw = Gateway(7, start, LADDER, (PLAIN,), FLEET, replace(TERMS, may_probe=True, warm_up=0.0))
        gw.on_host_list(start, "warm_copy", rows())
        said: list[str] = []
        for viewing_id in range(4):
            gw.on_viewing_request(
                start + viewing_id, viewing_id, "plain", "t1", 0, 6, 3, start + viewing_id + 3.0
            )
            for step in range(3):
                said += [
                    type(d).__name__ + getattr(d, "host", "")
                    for d in pulled(gw, start + viewing_id + step / 8)
                ]
        decided.append(said)
    assert "Probe" in str(decided[0]) and all(said == decided[0] for said in decided)


def test_gateway_that_stood_still_answers_at_once_what_has_waited_too_long() -> None:
    gw = gateway()
    gw.on_viewing_request(NOW, 1, "plain", "t1", 0, 6, 3, NOW - 0.5)  # its patience is over already
    gw.on_viewing_request(
        NOW, 2, "plain", "t1", 0, 0, 3, NOW + 1.9
    )  # no holder, and the viewer asked 1.1 s ago
    assert pulled(gw, NOW) == [say.Block(1, 0.0), say.Block(2, 0.0)]
    gw.on_viewing_handover(NOW, 3, "plain", "t1", 0, 6, 3, "h0")
    assert len(pulled(gw, NOW + 30.0)) <= 2, "one look, however late the timer"


def test_events_of_viewings_long_ended_and_of_unknown_hosts_are_passed_over() -> None:
    gw = gateway()
    gw.on_report(NOW, 77, "nowhere", 1, 0.1)
    gw.on_report(NOW, 77, "h0", 2, 3.0)
    gw.on_tune_in_success(NOW, 77, "h0", 0, 0.1)
    gw.on_tune_in_end(NOW, 77, True, Outcome.RESET, "nowhere", 0.1, 0, [0.5, 0.5])
    gw.on_viewer_left(NOW, 77)
    gw.on_probe_result(NOW, "nowhere", Outcome.TIMEOUT, 0.25)
    assert pulled(gw, NOW) == [] and not gw.viewings


def test_list_of_hundreds_that_all_leave_and_come_back_is_taken() -> None:
    gw = gateway(hosts=300, fleet=replace(FLEET, uplink_kb=0.0))
    for i in range(4):
        gw.on_host_list(NOW + i, "incr", rows(300, "terminated"))
        ask(gw, NOW + i, i)
        assert not any(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + i))
        gw.on_host_list(NOW + i + 0.9, "total", rows(300, started=NOW + i + 0.5))
    ask(gw, NOW + 20, 99)
    assert any(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + 20))


def test_no_gateways_told_counts_as_one_and_without_a_budget_no_times_are_kept() -> None:
    gw = gateway(terms=replace(TERMS, gateways=0))
    ask(gw, NOW, 1)
    assert any(isinstance(d, say.TuneIn) for d in pulled(gw, NOW))
    assert not gw.asked_times


def test_lost_list_is_asked_for_again() -> None:
    gw = gateway(terms=say.Terms(on_request=True, ask_within=10.0))
    assert pulled(gw, 100.0) == [say.Subscribe()]
    gw.on_host_list(100.1, "lost", [])
    assert pulled(gw, 100.2) == [] and pulled(gw, 103.0) == [say.Subscribe()]
    gw.on_host_list(103.1, "incr", rows())
    assert pulled(gw, 150.0) == []


@pytest.mark.parametrize("within, least, most", [(2.0, 0.1, 1.0), (20.0, 1.0, 6.0), (0.0, 1.0, 6.0)])
def test_lost_list_is_asked_for_before_it_counts_as_heard(within: float, least: float, most: float) -> None:
    """Once up to 6 s later, whatever the settings say of a gateway that does not ask."""
    waits = []
    for seed in range(50):
        gw = Gateway(seed, NOW, LADDER, (PLAIN,), FLEET, replace(TERMS, on_request=True, ask_within=within))
        assert pulled(gw, NOW) == [say.Subscribe()]
        gw.on_host_list(NOW, "incr", rows())
        gw.on_host_list(NOW, "lost", [])
        due = gw.wake_at()
        assert due is not None
        waits.append(due - NOW)
    assert least <= min(waits) < max(waits) <= most, "never all at once, never too late"


def run(text: str) -> tuple[int, str, str]:
    out, err = io.BytesIO(), io.StringIO()
    code = main(io.BytesIO(text.replace(" ", "\t").encode()), out, err)
    return code, out.getvalue().decode(), err.getvalue()


CREATE = "create 5 familyInfo.levelKb=100,200 rules.warmUp=0 ceilings.tryLimit=2 categories.count=1 " + (
    "categories.0.name=p categories.0.onTime=800 familyInfo.linkUnitKb=900 familyInfo.rungWorth=0.5,1 "
    "categories.0.effect=repeatable categories.0.deadline=3000"
)
LIST = "snapshot_rows 0 1\nrow 0 1 k a:1 z in_service -\nview warm_copy 1 0\n"


def test_frames_pass_both_ways() -> None:
    text = f"batch 1000.5 1\nend\nbatch 2000 2\nat 3\n{CREATE}\n{LIST}"
    text += "query 9 5000 aa 0 1 - t 0 1 - p\nend\n"
    code, out, err = run(text + "batch 2010 3\nat 4\nwithdrawn 7\nend\n")
    assert (code, err) == (0, "")
    assert out.splitlines()[:4] == ["ack\t1", "source\t3", "step_to\t9\t1", "forward\t9\ta:1\t450.000"]
    assert out.splitlines()[-1] == "ack\t3"


def test_a_row_without_a_cell_ends_nothing() -> None:
    two = LIST.replace("rows 0 1", "rows 0 2").replace("row 0", "row - 1 k b:1 z in_service -\nrow 0", 1)
    code, out, err = run(f"batch 2000 1\nat 3\n{CREATE}\n{two}query 9 5000 aa 0 1 - t 0 1 - p\nend\n")
    assert (code, err) == (0, "") and "forward\t9\ta:1\t450.000" in out


@pytest.mark.parametrize(
    "line", ["nonsense 1", "withdrawn", "withdrawn x", "view total 1 7", "snapshot_rows 0 2\nat 1"]
)
def test_malformed_line_is_named_and_nothing_is_written(line: str) -> None:
    code, out, err = run(f"batch 1 1\nat 3\n{CREATE}\n{line}\nend\n")
    assert code != 0 and out == "" and err.startswith("ledgehitch.simhost: line ") and err.count("\n") == 1


def test_unread_holder_is_probed_first_and_one_that_answers_late_is_not_waited_for() -> None:
    gw = gateway(terms=replace(TERMS, may_probe=True))
    ask(gw, NOW, 1)
    probe = pulled(gw, NOW)
    assert [type(d) for d in probe] == [say.Probe]
    assert isinstance(probe[0], say.Probe)
    gw.on_probe_result(NOW + 0.02, probe[0].host, 10, 0.02, [3, 0.1])
    assert [d.host for d in pulled(gw, NOW + 0.02) if isinstance(d, say.TuneIn)] == [probe[0].host]
    ask(gw, NOW + 1, 2)
    assert [type(d) for d in pulled(gw, NOW + 1)] == [say.Probe]
    assert any(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + 1.2))


def test_a_join_target_as_long_as_patience_lets_nobody_ask_until_patience_ends() -> None:
    gw = gateway(replace(PLAIN, join_target=3.0), replace(TERMS, may_probe=True, may_tell=False))
    ask(gw, 200.0, 1)
    first = next(t for t in range(300) for d in pulled(gw, 200 + t / 100) if isinstance(d, say.TuneIn))
    assert 20 < first <= 0.4 * 300 + 11, "asks again, and then tries one with time left to come to play"


def test_holders_that_answer_nothing_are_tried_and_nobody_is_held_to_patience() -> None:
    """Once it asked one after the other for 3 s, sent nothing and blocked 20 ms before patience ended."""
    gw = gateway(terms=replace(TERMS, may_probe=True, may_tell=False, may_advise=True, longest_advice=0.5))
    now, out, asks, tried, answer = 200.0, None, 0, 0, None
    ask(gw, now, 1)
    while answer is None and now < 202.9:
        if out is not None and now >= out[1]:
            gw.on_tune_in_end(now, 1, False, Outcome.TIMEOUT, out[0].host, out[0].within, tried - 1)
            out = None
        for decision in pulled(gw, now):
            if isinstance(decision, say.TuneIn):
                out, tried = (decision, now + decision.within), tried + 1
                assert tried > 1 or now <= 200.0 + PLAIN.join_target + 0.11, "nobody is asked for longer"
            asks += isinstance(decision, say.Probe)
            answer = decision if isinstance(decision, say.Block) else answer
        now += 0.01
    assert answer == say.Block(1, 0.5) and now < 202.5, "blocked at once after the last try, with advice"
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
def test_nobody_is_asked_where_an_answer_tells_no_use_of_a_link(
    fields: tuple[str, ...], reports: str, asks: int
) -> None:
    """Once each viewing there asked holder after holder, and waited for each answer in vain."""
    fleet = replace(FLEET, load_fields=fields, reports=reports)
    gw = gateway(terms=replace(TERMS, may_probe=True, may_tell=False), fleet=fleet)
    ask(gw, 200.0, 1)
    decisions = pulled(gw, 200.0)
    assert sum(isinstance(d, say.Probe) for d in decisions) == asks
    assert sum(isinstance(d, say.TuneIn) for d in decisions) == 1 - asks


def test_restarted_gateway_asks_a_doubted_host_and_uses_it_once_others_are_seen_to_play_there() -> None:
    gw = gateway(terms=replace(TERMS, may_probe=True, gateways=900, ordinal=899))
    ask(gw, 100.0, 1)
    for at, use in ((100.0, 0.0), (100.11, 0.5)):
        (probe,) = pulled(gw, at)
        assert isinstance(probe, say.Probe)
        gw.on_probe_result(at + 0.02, probe.host, 10, 0.02, [9, use])
        assert any(isinstance(d, say.TuneIn) for d in pulled(gw, at + 0.02)) == (use > brain.OTHERS)


def test_pull_only_sites_are_probed_where_viewings_play() -> None:
    fleet = say.Fleet(cells=6, racks=2, link_unit_kb=1000, reports="pull", told_every=1.0)
    gw = gateway(terms=say.Terms(may_probe=True), fleet=fleet)
    playing(gw)
    assert [d for d in pulled(gw, NOW) if isinstance(d, say.Probe)] == [say.Probe("h0")]


def test_handed_over_viewing_climbs_once_its_host_has_reported() -> None:
    both = ("x0", "x1")
    fleet = say.Fleet(cells=6, racks=2, link_unit_kb=1000, uplink_kb=4500, load_fields=both, told_every=3.0)
    gw = gateway(fleet=fleet)
    gw.on_viewing_handover(100.0, 1, "plain", "t1", 0, 6, 3, "h0")
    gw.on_report(100.0, 1, "h0", 2, 0)
    assert not any(isinstance(d, say.SetRung) for d in pulled(gw, 103.0))
    gw.on_report(103.0, 1, "h0", 3, 0.1)
    assert [d for d in pulled(gw, 106.1) if isinstance(d, say.SetRung)] == [say.SetRung(1, 1)]


def test_marks_are_lower_for_steps_that_earn_less_for_each_kb() -> None:
    gw = gateway()
    ask(gw, NOW, 1)
    marks = gw.viewings[1].marks[1:4]
    assert marks[0] == brain.MARK > marks[1] > marks[2] >= brain.MARK - brain.GRADE


def test_a_set_up_that_no_media_host_can_use_makes_none_look_ill() -> None:
    gw = gateway()
    for viewing_id in range(1, 9):
        ask(gw, NOW, viewing_id)
        for number in range(3):
            host = next(d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn))
            gw.on_tune_in_end(NOW, viewing_id, False, Outcome.ERROR, host, 0.01, number)
        assert say.Block(viewing_id, 0.0) in pulled(gw, NOW)
    assert all(h.aside_until < NOW and not h.bad for h in gw.hosts.values())


def test_an_error_counts_when_the_viewing_plays_elsewhere_or_met_one_only() -> None:
    gw = gateway()
    for viewing_id in (1, 2):
        for h in gw.hosts.values():
            h.link.read(NOW, NOW, 0.0 if h.row.host == "h3" else 0.5)
        ask(gw, NOW, viewing_id)
        host = next(d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn))
        assert host == "h3"
        gw.on_tune_in_end(NOW, viewing_id, False, Outcome.ERROR, host, 0.01, 0)
        other = next(d.host for d in pulled(gw, NOW) if isinstance(d, say.TuneIn))
        gw.on_tune_in_success(NOW, viewing_id, other, 1, 0.01)
    assert gw.hosts["h3"].aside_until > NOW
    lone = gateway(hosts=1)
    ask(lone, NOW, 1)
    assert any(isinstance(d, say.TuneIn) for d in pulled(lone, NOW))
    lone.on_tune_in_end(NOW, 1, False, Outcome.ERROR, "h0", 0.01, 0)
    pulled(lone, NOW + 2.98)
    assert not lone.viewings and lone.hosts["h0"].bad == 1


def test_media_hosts_that_are_gone_leave_no_trace_once_nothing_plays_there() -> None:
    gw = gateway()
    v = playing(gw, host="h1")
    for h in ("h0", "h1"):
        gw.on_host_list(NOW, "incr", [replace(r, state="terminated") for r in rows() if r.host == h])
    assert "h0" not in gw.hosts and "h1" in gw.hosts and v.host is gw.hosts["h1"]
    gw.on_tune_in_end(NOW, 1, True, Outcome.RESET, "h1", 1.0, 0)
    for i in range(10, 60):
        gw.on_host_list(NOW, "incr", [replace(rows(i + 1)[i], cell=0)])
        gw.on_host_list(NOW, "incr", [replace(rows(i + 1)[i], cell=0, state="terminated")])
    assert sorted(gw.hosts) == ["h2", "h3", "h4", "h5"]
    assert sum(len(rack) for _, rack in gw.racks) == 4
    gw.on_host_list(NOW, "incr", [rows()[0]])
    assert gw.hosts["h0"].cold_until > NOW, "one that comes back has just started"
    assert len({h.number for h in gw.hosts.values()}) == 5


def test_a_cold_host_whose_budget_is_under_one_set_up_gets_one_in_a_window_from_all_gateways() -> None:
    """Nobody was let in for the whole warm-up."""
    fleet = replace(FLEET, slots={"k": 1}, link_unit_kb=1e9, uplink_kb=1e12)
    sent = 0
    for ordinal in range(3):
        terms = replace(TERMS, gateways=3, ordinal=ordinal)
        assert terms.fall_multiple * terms.cold_share / terms.warm_up * terms.fall_after < 1
        gw = Gateway(7, NOW, LADDER, (PLAIN,), fleet, terms)
        gw.on_host_list(NOW, "incr", [say.Row("new", 0, 2.0, "k", "a", "in_service", NOW)])
        for viewing_id in range(50):
            ask(gw, NOW + viewing_id * 0.001, viewing_id)
            sent += sum(isinstance(d, say.TuneIn) for d in pulled(gw, NOW + viewing_id * 0.001))
    assert sent == 1
