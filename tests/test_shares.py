"""Regions without processes: the site's regions, shares, owners in two scopes, reports for operators."""

import random
from fractions import Fraction
from pathlib import Path
from typing import Any

import msgspec
import pytest
from blake3 import blake3
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.owners import Crowd
from ledgehitch.budgets.facts import WHOLE as OF_BUDGETS
from ledgehitch.config import BadInput, read_site
from ledgehitch.config.change import changes
from ledgehitch.config.load import load_text
from ledgehitch.config.site import GatewayRecord, RegionRecord, Site, active_gateways, check
from ledgehitch.fleet.owned import OwnersAnswer, summarize_duties, voting_problems
from ledgehitch.fleet.shared import BudgetReport, GatewayBudget, LenderAccount, summarize_budgets
from ledgehitch.owners.decide import Owners
from ledgehitch.owners.durable_state import DurableState
from ledgehitch.owners.facts import BUDGETS, DUTIES, MemberLists, rank_members
from ledgehitch.owners.messages import DutyMessage, encode
from ledgehitch.owners.messages import decode as decode
from ledgehitch.proof.budgeted import FleetLimits, check_budgets
from ledgehitch.proof.owned import check_owners
from ledgehitch.proof.tape import Line
from ledgehitch.regions import facts, shares
from ledgehitch.regions.facts import REGIONAL_DUTIES, WHOLE, Region, region_of, regions_digest, regions_of
from ledgehitch.regions.shares import RegionShares
from tests.explore_regions import INJECTED_FAULTS, SCENARIOS, explore, walk
from tests.rig import site as one_gateway
from tests.test_config import GOOD, messages
from tests.test_owners import take_decisions

T = 1000.0


# ---- shares ------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", SCENARIOS)
def test_no_interleaving_has_two_owners_in_a_scope_or_regions_over_the_whole(name: str) -> None:
    found = explore(1500, SCENARIOS[name])
    assert found.states == 1500 and found.unsafe is None, found.breach
    deeper = walk(5, 25, 30, SCENARIOS[name])
    assert deeper.states > 200 and deeper.unsafe is None, deeper.breach


@pytest.mark.parametrize("fault", INJECTED_FAULTS)
def test_each_injected_fault_is_detected_and_its_path_is_safe_without_it(fault: str) -> None:
    scenario, path = INJECTED_FAULTS[fault]
    found = explore(30_000, SCENARIOS[scenario], fault, path)
    assert found.unsafe is not None
    assert found.breach.startswith(("two owners of", "regions have"))
    assert explore(min(found.states, 1500), SCENARIOS[scenario], "", path).unsafe is None


NORTH = Region("north", WHOLE // 2, ("g0", "g2", "g4"))
SOUTH = Region("south", WHOLE // 2, ("g1", "g3", "g5"))
EVEN = (NORTH, SOUTH)
RAISED = (NORTH._replace(share=WHOLE * 3 // 4), SOUTH._replace(share=WHOLE // 4))


def start_shares(region: str, regions: tuple[Region, ...], stored: Any) -> RegionShares:
    region_shares = shares.initial_shares(
        region, regions, [g for r in EVEN for g in r.gateways], stored, False
    )
    assert region_shares is not None
    return region_shares


def test_share_rises_when_no_region_has_a_majority_on_the_former_version() -> None:
    held = RegionShares("north", EVEN, EVEN, True).record()
    one = start_shares("north", RAISED, held)
    assert (one.in_force(), one.stated_share()) == (WHOLE // 2, WHOLE * 3 // 4)
    on_new = {"g0", "g2", "g4", "g1"}
    one.on_versions(T, on_new, set(), 20.0)
    assert one.settles_at > T + 1e9, "two of three in the south may use the former version"
    one.on_versions(T, on_new | {"g3"}, set(), 20.0)
    assert not one.settle(T + 19.9) and one.in_force() == WHOLE // 2
    again = start_shares("north", RAISED, msgspec.json.decode(msgspec.json.encode(one.record())))
    assert again.in_force() == WHOLE // 2 and again.settles_at > T + 1e9, "a restart repeats the wait"
    assert one.settle(T + 20.0) and one.in_force() == WHOLE * 3 // 4
    assert start_shares("north", RAISED, one.record()).in_force() == WHOLE * 3 // 4
    lower = start_shares("south", RAISED, RegionShares("south", EVEN, EVEN, True).record())
    assert lower.in_force() == WHOLE // 4, "a lower share takes effect at once"


@given(st.integers(0, WHOLE), st.integers(0, WHOLE), st.floats(0.0, 1.0))
def test_own_parts_of_a_former_larger_share_and_loans_stay_within_the_share(
    before: int, now: int, own_part: float
) -> None:
    changed = RegionShares(
        "north", (Region("north", now, ("a", "b")),), (Region("north", before, ("a", "b")),)
    )
    mine = changed.in_force()
    assert changed.lendable(own_part, False) == mine == min(before, now)
    to_lend = changed.lendable(own_part, True)
    assert 0 <= to_lend <= mine
    own = own_part * max(before, mine)  # at most, of gateways that use either version
    assert to_lend == 0 or own + (1.0 - own_part) * to_lend <= mine + 1e-3
    if own_part == 0.0 or before <= now:
        assert to_lend == mine, "nothing is withheld without need"


def test_no_remembered_version_or_a_third_one_gives_the_smallest_share() -> None:
    lost = start_shares("north", EVEN, None)
    assert lost.in_force() == 0 and lost.stated_share() == WHOLE // 2
    lost.on_versions(T, {"g0", "g2", "g1", "g3"}, set(), 5.0)
    assert lost.settle(T + 5) and lost.in_force() == WHOLE // 2
    second = start_shares("south", RAISED, RegionShares("south", EVEN, EVEN, True).record())
    third = (NORTH._replace(share=WHOLE // 10), SOUTH._replace(share=WHOLE * 9 // 10))
    assert start_shares("south", third, second.record()).in_force() == WHOLE // 4
    assert start_shares("north", third, start_shares("north", RAISED, None).record()).in_force() == 0
    # Back to a site without regions: the whole waits for both regions.
    none = shares.initial_shares(
        "", (), ["g0", "g1"], RegionShares("north", EVEN, EVEN, True).record(), False
    )
    assert none is not None and none.in_force() == 0 and none.stated_share() == WHOLE
    assert shares.initial_shares("", (), ["g0"], None, False) is None


def test_region_declared_gone_is_not_waited_for() -> None:
    alone = (NORTH._replace(share=WHOLE),)
    one = start_shares("north", alone, RegionShares("north", EVEN, EVEN, True).record())
    assert one.in_force() == WHOLE // 2
    one.on_versions(T, {"g0", "g2"}, set(), 5.0)
    assert not one.settle(T + 9)
    one.on_versions(T, {"g0", "g2"}, set(SOUTH.gateways), 5.0)
    assert one.settle(T + 14) and one.in_force() == WHOLE


def test_regions_and_budgets_share_one_whole_and_only_budgets_are_regional() -> None:
    assert WHOLE == OF_BUDGETS
    assert [d for d in DUTIES if d in REGIONAL_DUTIES] == [BUDGETS]


# ---- regions of a site -------------------------------------------------------------------------------------


def two_regions(*regions: RegionRecord, gone: tuple[str, ...] = ()) -> Site:
    gateways = [
        GatewayRecord(name=g, at=f"127.0.0.1:{8000 + n}", zone=f"z{n % 2}", gone=g in gone)
        for n, g in enumerate(f"g{n}" for n in range(6))
    ]
    return msgspec.structs.replace(one_gateway(), gateways=gateways, regions=list(regions))


@given(st.lists(st.integers(1, 600), min_size=1, max_size=12), st.booleans(), st.integers())
def test_shares_are_never_more_than_the_whole(gateways: list[int], stating: bool, seed: int) -> None:
    make_report: list[Fraction | None] = [None] * len(gateways)
    if stating:
        chance = random.Random(seed)
        cuts = sorted(chance.random() for _ in gateways)
        make_report = [Fraction(str(b)) - Fraction(str(a)) for a, b in zip([0.0, *cuts], cuts, strict=False)]
    parts = facts.divide_whole(make_report, gateways)
    assert 0 <= sum(parts) <= WHOLE and parts == facts.divide_whole(make_report, gateways)
    if not stating:
        assert sum(parts) == WHOLE
        assert all(abs(p - WHOLE * n / sum(gateways)) <= 1 for p, n in zip(parts, gateways, strict=True))


def test_regions_of_a_site_and_distribution_of_a_gone_regions_share() -> None:
    north, south = RegionRecord(name="north", zones=["z0"]), RegionRecord(name="south", zones=["z1"])
    assert regions_of(two_regions()) == () and regions_digest(()) == ""
    site = two_regions(north, south)
    check(site, "site")
    assert regions_of(site) == (NORTH, SOUTH)
    assert (region_of(site, "g3"), region_of(two_regions(), "g3")) == ("south", "")
    fewer = regions_of(two_regions(north, south, gone=("g0", "g2")))
    assert [(r.share, r.gateways) for r in fewer] == [(WHOLE // 4, ("g4",)), (WHOLE * 3 // 4, SOUTH.gateways)]
    make_report = [msgspec.structs.replace(r, share=s) for r, s in ((north, 0.2), (south, 0.6))]
    assert [r.share for r in regions_of(two_regions(*make_report))] == [WHOLE // 5, WHOLE * 3 // 5]
    lost = two_regions(make_report[0], msgspec.structs.replace(make_report[1], gone=True))
    assert active_gateways(lost) == NORTH.gateways and regions_of(lost) == (
        NORTH._replace(share=WHOLE * 4 // 5),
    )


INVALID_REGIONS: list[tuple[str, str, str]] = [
    ("regions: north: zones: []", "regions.north.zones", "a region has a zone at least"),
    ('regions: north: zones: ["a", "z9"]', "regions.north.zones.1", "no gateway is in zone 'z9'"),
    (
        'regions: { north: zones: ["a", "b"], south: zones: ["b"] }',
        "regions.south.zones.0",
        "zone 'b' is in region 'north' already",
    ),
    ('regions: north: zones: ["a"]', "gateways.g2.zone", "zone 'b' is in no region, while others are in one"),
    (
        'regions: { north: { zones: ["a"], share: 50% }, south: zones: ["b"] }',
        "regions.south",
        "it has no share, while 'north' states one",
    ),
    (
        'regions: { north: { zones: ["a"], share: 50.1% }, south: { zones: ["b"], share: 50% } }',
        "regions.south.share",
        "shares come to 1.001, more than the whole",
    ),
    (
        'regions: { north: { zones: ["a"], gone: true }, south: { zones: ["b"], gone: true } }',
        "regions",
        "all of them are declared gone",
    ),
]


@pytest.mark.parametrize("text, place, reason", INVALID_REGIONS)
def test_invalid_regions_are_refused_with_their_location(
    text: str, place: str, reason: str, tmp_path: Path
) -> None:
    gateways = 'gateways: { g1: { at: "127.0.0.1:82", zone: "a" }, g2: { at: "127.0.0.1:83", zone: "b" } }'
    good = GOOD.replace('g0: { at: "127.0.0.1:8080" }', 'g0: { at: "127.0.0.1:8080", zone: "a" }')
    make_report = messages(load_text(f"{good}{gateways}\n{text}\n"))
    assert f"{place}: {reason}" in make_report, make_report
    # The same site as JSON.
    both = load_text(f'{good}{gateways}\nregions: {{ north: zones: ["a"], south: zones: ["b"] }}\n')
    assert both.mistakes == [] and both.site is not None
    raw = msgspec.to_builtins(both.site)
    parts = load_text(f"{good}{gateways}\n{text}\n").data["regions"]
    raw["regions"] = [{"name": name, **r} for name, r in parts.items()]
    (tmp_path / "site.json").write_bytes(msgspec.json.encode(raw))
    with pytest.raises(BadInput) as wrong:
        read_site(tmp_path / "site.json")
    assert str(wrong.value).startswith(f"{tmp_path}/site.json: {place}: {reason}")


def test_change_of_regions_needs_a_restart_and_states_its_risk() -> None:
    good = GOOD.replace('g0: { at: "127.0.0.1:8080" }', 'g0: { at: "127.0.0.1:8080", zone: "a" }')
    a, b = load_text(good), load_text(f'{good}regions: north: {{ zones: ["a"], share: 40% }}\n')
    assert "regions" not in a.data, "the digest of a site without regions is unchanged"
    found = {c.path: c for c in changes(a.data, b.data)}
    share = found["regions.north.share"]
    assert share.effect == "restart" and "restart all" in share.risk
    c = load_text(f'{good}regions: north: {{ zones: ["a"], share: 40%, gone: true }}\n')
    assert "all of them are declared gone" in messages(c)
    gone = {x.path: x for x in changes(b.data, c.data)}["regions.north.gone"]
    assert gone.effect == "restart" and "none of its gateways may run" in gone.risk


# ---- owners in two scopes ----------------------------------------------------------------------------------


def test_site_without_regions_keeps_its_digest_file_and_messages() -> None:
    names = ("g0", "g1", "g2")
    before = blake3(b"g0\ng1\ng2\n10.000\n0.100000").digest(4)
    m = DurableState(T, "g0", names, DUTIES, 10.0, None, 1, own_part=0.1)
    assert m.lists.digests() == (before, b"\0" * 4)
    assert sorted(m.record()) == [
        "current",
        "fence",
        "former",
        "former_lease",
        "former_own_part",
        "joined",
        "lease",
        "life",
        "lives",
        "own_part",
        "version",
        "votes",
    ]
    one = Owners(T, 0, names, m, random.Random(1))
    assert one.members == [0, 1, 2] and [d.number for d in one.duties.values()] == [0, 1, 2]
    sent = [d for _ in range(9) if (d := one.decide(T)) is not None]
    sends = [send for d in sent for send in getattr(d, "messages", ())]
    assert sends and {s.message.duty for s in sends} == {0} and {len(s.message.terms) for s in sends} == {3}
    assert rank_members(BUDGETS, names) == rank_members(BUDGETS, names, [0, 1, 2])


class TwoRegions(Crowd):
    """A regional duty: gateways with even numbers are in one region, the others in another."""

    def start(self, n: int, disk: str) -> None:
        if self.all.get(n) is not None:
            return
        mine = [m for m in range(self.n) if m % 2 == n % 2]
        memory = DurableState(
            self.clock(n),
            self.names[n],
            tuple(self.names[m] for m in mine),
            self.duties,
            self.lease,
            self.disks[n] if disk == "same" else None,
            self.chance.getrandbits(32),
            regions="even",
            scope=f"r{n % 2}",
        )
        chance = random.Random(self.chance.random())
        self.all[n] = Owners(self.clock(n), n, self.names, memory, chance, mine, [DUTIES.index(BUDGETS)])
        self.wakes[n] = 0.0

    def owner(self, region: int) -> list[int]:
        return [n for n in self.owners(BUDGETS) if n % 2 == region]


def test_each_region_elects_its_owner_independently_and_without_a_third_of_its_members() -> None:
    crowd = TwoRegions(6, duties=(BUDGETS,))
    crowd.until(lambda: bool(crowd.owner(0) and crowd.owner(1)), 60.0)
    crowd.run(5.0)
    terms = [o and o.durable.voters[BUDGETS].term for o in crowd.all.values()]
    before = crowd.owner(0), crowd.owner(1)
    crowd.part([0, 2, 4])
    crowd.run(60.0)
    assert (crowd.owner(0), crowd.owner(1)) == before and crowd.most_owners == 2
    assert terms == [o and o.durable.voters[BUDGETS].term for o in crowd.all.values()]
    crowd.stop(before[0][0])
    at = crowd.now
    crowd.until(lambda: crowd.owner(0) not in ([], before[0]), 60.0)
    assert crowd.now - at <= 2 * 10.0 + 1.0 and crowd.owner(1) == before[1]
    crowd.stop(crowd.owner(0)[0])
    crowd.run(30.0)
    assert crowd.owner(0) == [] and crowd.owner(1) == before[1], "one of three is no majority"
    crowd.part([])
    for n in (0, 2, 4):
        crowd.start(n, "same")
    crowd.until(lambda: bool(crowd.owner(0)), 60.0)
    assert crowd.most_owners == 2 and crowd.owner(1) == before[1]


def test_messages_of_another_region_version_or_unknown_duty_are_refused_and_counted() -> None:
    names, north = tuple(f"g{n}" for n in range(6)), (0, 2, 4)
    memory = DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, None, 1, regions=regions_digest(EVEN), scope="north"
    )
    memory.confirmed, memory.may_vote_from = True, T
    owners = Owners(T, 0, names, memory, random.Random(1), north, [2])
    take_decisions(owners, T)
    before = memory.record()
    good = DutyMessage("ask", 2, 9, 1, owners.name_digests[2], *memory.lists.digests())
    other = MemberLists(NORTH.gateways, (), 10.0, 10.0, regions=regions_digest(RAISED)).digests()
    for sender, message in (
        (1, good._replace(who=owners.name_digests[1])),
        (2, good._replace(duty=1)),
        (2, good._replace(list=other[0])),
        (2, good._replace(term=1 << 63)),
    ):
        owners.on_message(T, sender, decode(encode(message)))
    assert sorted(owners.counts.items()) == [
        ("a duty that nobody knows", 1),
        ("a term out of reach", 1),
        ("asked by one of another version of the site", 1),
        ("of a gateway of another region", 1),
    ]
    assert memory.record() == before
    owners.on_message(T, 2, good)
    assert memory.voters[BUDGETS].member == "g2"


def test_file_of_another_region_counts_as_lost_and_changed_regions_change_the_list() -> None:
    first = DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, None, 1, regions=regions_digest(EVEN), scope="north"
    )
    stored = first.record()
    assert DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, stored, 2, regions=regions_digest(EVEN), scope="north"
    ).intact
    assert not DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, stored, 2, regions=regions_digest(EVEN), scope="south"
    ).intact
    m = DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, stored, 2, regions=regions_digest(RAISED), scope="north"
    )
    assert m.lists.former == NORTH.gateways and first.lists.digests()[0] == m.lists.digests()[1]
    third = DurableState(
        T, "g0", NORTH.gateways, (BUDGETS,), 10.0, m.record(), 3, regions="third", scope="north"
    )
    assert third.lists == m.lists, "a third version waits"
    m.on_member_list(T, "g2", m.lists.digests()[0])
    m.region_unsettled = True
    assert not m.settle(T + 11)
    m.region_unsettled = False
    assert m.settle(T + 11) and not m.lists.former


def test_duty_moved_to_regions_and_back_keeps_its_terms() -> None:
    names = tuple(f"g{n}" for n in range(6))
    whole = DurableState(T, "g0", names, DUTIES, 10.0, None, 1)
    assert whole.voters[BUDGETS].on_vote_request(T, 7, "g3")
    apart = DurableState(T, "g0", names, DUTIES[:2], 10.0, whole.record(), 2, regions=regions_digest(EVEN))
    assert sorted(apart.voters) == sorted(DUTIES[:2]) and len(apart.terms()) == 2
    back = DurableState(
        T, "g0", names, DUTIES, 10.0, msgspec.json.decode(msgspec.json.encode(apart.record())), 3
    )
    assert back.voters[BUDGETS].term == 7 and back.record()["votes"].keys() == set(DUTIES)


# ---- reports for operators ---------------------------------------------------------------------------------


def make_report(name: str, region: str, mine: tuple[str, ...] = (), stands: bool = True) -> OwnersAnswer:
    def one(duty: str) -> dict[str, Any]:
        return {
            "owner": name if duty in mine else "",
            "term": 3,
            "lease_left": 1.0,
            "mine": duty in mine,
            "refused": 0,
            "standstill": "" if duty in mine else f"no {duty}",
        }

    duties = {d: one(d) for d in DUTIES}
    duties[BUDGETS]["region"] = region
    share = {"in_force": 250, "stated": 500 if stands else 250, "whole": 1000}
    return OwnersAnswer(name, {"duties": duties, "region": {"name": region, "why_not": ""}, "share": share})


def test_owners_are_reported_with_region_and_missing_ones_with_reason() -> None:
    regions = {g: r.name for r in EVEN for g in r.gateways}
    reports = [
        make_report("g0", "north", (BUDGETS,)),
        make_report("g2", "north"),
        make_report("g1", "south"),
        *(OwnersAnswer(name, None, "timed out") for name in ("g3", "g4", "g5")),
    ]
    found = {o.duty: o for o in summarize_duties(reports, regions)}
    assert sorted(found) == ["budgets (north)", "budgets (south)", "restarts", "verdicts"]
    assert (found["budgets (north)"].kind, found["budgets (north)"].owner) == ("owned", "g0")
    assert found["budgets (south)"].kind == "unknown" and "1 of 3 answered" in found["budgets (south)"].why
    all_six = [make_report(n, regions[n]) for n in sorted(regions)]
    found = {o.duty: o for o in summarize_duties(all_six, regions)}
    assert found["budgets (south)"].kind == "nobody" and found["budgets (south)"].standstill == "no budgets"
    assert found["restarts"].why == "it needs a majority of the gateways of all regions; no restarts"
    # A region without any answer is listed, too.
    found = {o.duty: o for o in summarize_duties(reports[:2], regions)}
    assert found["budgets (south)"].kind == "unknown"
    two = summarize_duties(
        [make_report("g0", "north", (BUDGETS,)), make_report("g2", "north", (BUDGETS,))], regions
    )
    assert two[0].kind == "contradicting"
    assert "g0: its region uses 0.250 of the whole, 0.500 is stated" in voting_problems(all_six)[0]
    assert voting_problems([make_report("g0", "north", stands=False)]) == []


def test_budgets_are_summed_over_regions_and_inconsistencies_reported() -> None:
    def told(region: str, loan: int, lends: bool = False, share: int = 500) -> BudgetReport:
        book = [LenderAccount("b", 450, {0: loan}, 0.0)] if lends else None
        return BudgetReport(
            1000, {"b": GatewayBudget(50, loan, 400, 100, "rate")}, 1.0, "", 3, book, region, share
        )

    (good,) = summarize_budgets({"g0": told("north", 400, True), "g1": told("south", 300, True)})
    assert good.wrong == "" and good.free == pytest.approx(0.2)
    assert good.regions == {"north": (0.5, 0.05, 0.4, 0.1), "south": (0.5, 0.05, 0.3, 0.1)}
    (over,) = summarize_budgets({"g0": told("north", 470, True), "g1": told("south", 100, True)})
    assert "gateways of north say 0.5200" in over.wrong
    (twice,) = summarize_budgets({"g0": told("north", 1, True), "g2": told("north", 1, True)})
    assert "say that they lend" in twice.wrong
    (more,) = summarize_budgets({"g0": told("north", 1, share=700), "g1": told("south", 1)})
    assert "more than the whole together" in more.wrong


# ---- checks of tapes ---------------------------------------------------------------------------------------


def make_tape(*loans: tuple[str, str, float, int, float, int]) -> list[Line]:
    """Builds a tape of loans (lender, borrower, time, number, share, term) as request, answer, report."""
    lines: list[tuple[float, str, dict[str, Any]]] = []
    for lender, who, t, number, share, term in loans:
        ask = {"who": who, "to": lender, "term": term, "life": 1}
        lines += [
            (t, "want", {**ask, "sequence": number, "number": 0}),
            (
                t + 0.1,
                "lent",
                {
                    **ask,
                    "who": lender,
                    "to": who,
                    "sequence": number,
                    "number": number,
                    "seconds": 5.0,
                    "loans": [int(share * WHOLE)],
                },
            ),
            (t + 1.0, "want", {**ask, "sequence": number + 50, "number": number}),
        ]
    out = []
    for place, (t, ev, more) in enumerate(sorted(lines, key=lambda x: x[0])):
        out.append(Line({"t": t, "ev": ev, **more}))
        out[-1].at = f"x:{place}"
    return out


LIMITS = FleetLimits(
    {},
    0.0,
    6,
    3.0,
    {g: [WHOLE // 100] for r in EVEN for g in r.gateways},
    regions={r.name: (r.gateways, r.share) for r in EVEN},
)
REGION_OF = {g: r.name for r in EVEN for g in r.gateways}


def test_each_regional_check_fails_on_a_faulty_tape() -> None:
    good = make_tape(
        ("g0", "g2", 1.0, 1, 0.4, 1), ("g1", "g3", 1.0, 1, 0.45, 1), ("g4", "g2", 9.0, 1, 0.4, 2)
    )
    assert check_budgets(good, LIMITS) == [] and check_owners(good, regions=REGION_OF) == []
    over = make_tape(("g0", "g2", 1.0, 1, 0.3, 1), ("g0", "g4", 1.0, 2, 0.3, 1))
    (broken,) = check_budgets(over, LIMITS)
    assert broken.invariant == "parts are within the region's share"
    assert "north: g2, g4 had 1.24" in broken.message
    both = make_tape(("g0", "g2", 1.0, 1, 0.4, 1), ("g4", "g2", 9.0, 1, 0.4, 1))
    assert [b.invariant for b in check_owners(both, regions=REGION_OF)] == ["one owner a term"]
    across = make_tape(("g0", "g2", 1.0, 1, 0.1, 1), ("g0", "g3", 1.0, 2, 0.1, 1))
    assert [b.invariant for b in check_owners(across, regions=REGION_OF)] == ["each region lends for itself"]
