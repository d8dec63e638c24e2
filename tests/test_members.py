"""Membership: updates in any order, refutation, messages, fleets in virtual time, datagrams."""

import random
from pathlib import Path
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.members import Crowd
from ledgehitch.config import Site
from ledgehitch.daemon.membership import Membership
from ledgehitch.loop import Loop
from ledgehitch.members.decide import StatusChanged
from ledgehitch.members.gateway_choice import pick_gateway
from ledgehitch.members.messages import KINDS, MAX_UPDATES, InvalidMessage, MembershipMessage, decode, encode
from ledgehitch.members.roster import INCARNATIONS_PER_LIFE, STATUSES, MemberStatus, Roster
from ledgehitch.rehearsal.play import free_ports
from tests.rig import site

T = 100.0
UPDATES = st.builds(
    MemberStatus, st.integers(0, 4), st.integers(0, 3 * INCARNATIONS_PER_LIFE), st.sampled_from(STATUSES)
)


# ---- roster and messages -----------------------------------------------------------------------------------


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(UPDATES, max_size=30), st.randoms(use_true_random=False))
def test_updates_in_any_order_and_repetition_give_the_same_roster(
    updates: list[MemberStatus], chance: random.Random
) -> None:
    def believed(order: list[MemberStatus]) -> Any:
        roster = Roster(T, 0, 5, 1)
        roster.merge(T, order)
        return [(e.incarnation, e.status) for n, e in roster.entries.items() if n != 0]

    other = updates + chance.sample(updates, len(updates) // 2)
    chance.shuffle(other)
    assert believed(updates) == believed(other)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(UPDATES, max_size=20))
def test_member_refutes_any_claim_about_itself(updates: list[MemberStatus]) -> None:
    roster, other = Roster(T, 0, 5, 1), Roster(T, 1, 5, 1)
    other.merge(T, updates)
    roster.merge(T, [MemberStatus(n, e.incarnation, e.status) for n, e in other.entries.items()])
    other.merge(T, roster.outgoing)
    assert other.status(0) == "alive" and other.entries[0].incarnation == roster.incarnation


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_decoded_or_refused(data: bytes) -> None:
    try:
        message = decode(data)
    except InvalidMessage:
        return
    assert decode(encode(message)) == message and len(encode(message)) == len(data)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.sampled_from(KINDS), st.integers(0, 2**32 - 1), st.lists(UPDATES, max_size=140))
def test_messages_round_trip_within_their_size_bound(
    kind: Any, sequence: int, updates: list[MemberStatus]
) -> None:
    message = MembershipMessage(kind, sequence, 3, tuple(updates))
    data = encode(message)
    assert len(data) <= 1152 and decode(data) == message._replace(news=tuple(updates[:MAX_UPDATES]))


# ---- fleets in virtual time --------------------------------------------------------------------------------


def test_death_is_known_to_all_without_false_positives() -> None:
    crowd = Crowd(30, loss=0.1)
    crowd.run(40.0)
    assert not any(status == "dead" for *_, status in crowd.became)
    crowd.stop(7)
    crowd.run(25.0)
    assert crowd.knows("dead", 7) == 1.0
    assert {member for _, _, member, status in crowd.became if status == "dead"} == {7}
    crowd.start(7)
    crowd.run(10.0)
    assert crowd.knows("alive", 7) == 1.0, "its new incarnation counts"


def test_rolling_restart_causes_no_deaths_and_partitioned_fleet_merges_again() -> None:
    crowd = Crowd(20)
    crowd.run(5.0)
    for n in range(20):
        crowd.leave(n, False)
        crowd.run(0.4)
        crowd.start(n)
    crowd.run(20.0)
    assert not any(status == "dead" for *_, status in crowd.became)
    assert all(crowd.knows("alive", n) == 1.0 for n in range(20))
    crowd.parted = set(range(10))
    crowd.run(20.0)
    assert crowd.knows("dead", 3) > 0.4
    crowd.parted = set()
    crowd.run(60.0)
    assert all(crowd.knows("alive", n) == 1.0 for n in range(20))


def test_member_that_left_is_known_as_left_and_alive_again_after_its_return() -> None:
    crowd = Crowd(5)
    crowd.run(5.0)
    crowd.leave(4, True)
    crowd.run(20.0)
    assert crowd.knows("left", 4) == 1.0
    crowd.start(4)
    crowd.run(20.0)
    assert crowd.knows("alive", 4) == 1.0


def test_suspended_member_suspects_nobody_when_it_resumes() -> None:
    crowd = Crowd(10)
    crowd.run(5.0)
    one = crowd.all[0]
    assert one is not None
    before = one.counts["doubts"]
    late = crowd.now + 30.0
    decisions = list(iter(lambda: one.decide(late), None))
    assert one.counts["doubts"] == before and one.slowness > 0
    assert not any(isinstance(d, StatusChanged) for d in decisions)


def test_viewers_are_sent_to_a_present_gateway_preferably_of_their_zone() -> None:
    one = site().gateways[0]
    updates = [msgspec.structs.replace(one, name=f"g{n}", at=f"a{n}", zone="xxy"[n]) for n in range(3)]
    chance = random.Random(1)
    assert {pick_gateway("g0", updates, lambda name: True, chance) for _ in range(20)} == {"a1"}
    assert pick_gateway("g0", updates, lambda name: name != "g1", chance) == "a2"
    assert pick_gateway("g0", updates, lambda name: False, chance) == ""


# ---- datagrams ---------------------------------------------------------------------------------------------


def three_gateway_site() -> Site:
    one = site(3)
    at = [f"127.0.0.1:{port}" for port in free_ports(3)]
    updates = [msgspec.structs.replace(one.gateways[0], name=f"g{n}", members_at=at[n]) for n in range(3)]
    return msgspec.structs.replace(one, gateways=updates)


def test_gateways_discover_each_other_by_datagrams_and_ignore_unauthenticated_ones(tmp_path: Path) -> None:
    updates, loop, key = three_gateway_site(), Loop(), bytes(range(32))

    def main() -> None:
        first = Membership(loop, updates, "g0", [key], tmp_path / "0", 1)
        second = Membership(loop, updates, "g1", [key], tmp_path / "1", 2)
        stranger = Membership(loop, updates, "g2", [bytes(32)], tmp_path / "2", 3)
        for _ in range(400):
            loop.sleep(0.02)
            if first.members.counts["answered"] and second.members.counts["answered"]:
                break
        assert first.statuses()["g1"] == second.statuses()["g0"] == "alive"
        assert first.frames.rejected.get("mac", 0) + second.frames.rejected.get("mac", 0) > 0
        assert stranger.members.counts["answered"] == 0
        first.leave(back_soon=False)
        for _ in range(200):
            loop.sleep(0.02)
            if second.statuses()["g0"] == "left":
                break
        assert second.statuses()["g0"] == "left" and not second.is_alive("g0")
        first.close()
        restarted = Membership(loop, updates, "g0", [key], tmp_path / "0", 1)
        assert restarted.life == 2
        for _ in range(200):
            loop.sleep(0.02)
            if second.statuses()["g0"] == "alive":
                break
        assert second.statuses()["g0"] == "alive"

    loop.run(main)


def test_cached_set_of_alive_members_always_matches_the_roster() -> None:
    """The set is cached between changes, since each decision on owners reads it."""
    crowd = Crowd(12, loss=0.3)
    for step in range(60):
        if step == 20:
            crowd.stop(3)
        if step == 45:
            crowd.start(3)
        crowd.run(1.0)
        for n, one in crowd.all.items():
            if one is not None:
                fresh = {m for m, e in one.roster.entries.items() if m != n and e.status == "alive"}
                assert one.alive() == fresh
    assert any(status == "dead" for *_, status in crowd.became)
