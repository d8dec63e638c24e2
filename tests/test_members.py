"""Membership: news in any order, refutation, parts within the whole, fleets in virtual time, datagrams."""

import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.members import Crowd
from ledgehitch.config import Site
from ledgehitch.daemon.membership import Membership
from ledgehitch.door.decide import Door
from ledgehitch.gateway.doorman import Doorman
from ledgehitch.loop import Loop
from ledgehitch.members import explore
from ledgehitch.members.decide import Became, KeepFloors, Members, Send
from ledgehitch.members.elsewhere import elsewhere
from ledgehitch.members.explore import ALL, COMMON_MEMBER, explored, walked
from ledgehitch.members.parts import Parts
from ledgehitch.members.roster import LIFE, STATUSES, News, Roster
from ledgehitch.members.words import KINDS, MOST_NEWS, BadWords, Words, digest_of, read, written
from ledgehitch.rehearsal.play import free_ports
from tests.rig import site

T = 100.0
NEWS = st.builds(News, st.integers(0, 4), st.integers(0, 3 * LIFE), st.sampled_from(STATUSES))


# ---- what is believed --------------------------------------------------------------------------------------


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=30), st.randoms(use_true_random=False))
def test_news_in_any_order_and_any_number_lead_to_the_same_belief(
    some: list[News], chance: random.Random
) -> None:
    def believed(order: list[News]) -> Any:
        roster = Roster(T, 0, 5, 1, {3: 2 * LIFE})
        roster.heard(T, order)
        return [(e.incarnation, e.status) for n, e in roster.entries.items() if n != 0]

    other = some + chance.sample(some, len(some) // 2)
    chance.shuffle(other)
    assert believed(some) == believed(other)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(NEWS, max_size=20))
def test_whatever_is_said_of_a_member_it_refutes_it(some: list[News]) -> None:
    roster, other = Roster(T, 0, 5, 1), Roster(T, 1, 5, 1)
    other.heard(T, some)
    roster.heard(T, [News(n, e.incarnation, e.status) for n, e in other.entries.items()])
    other.heard(T, roster.news)
    assert other.status(0) == "alive" and other.entries[0].incarnation == roster.incarnation


def test_what_is_older_than_a_return_is_void_for_good() -> None:
    roster = Roster(T, 0, 3, 1)
    roster.heard(T, [News(1, LIFE, "left")])
    assert roster.left() == ((1, LIFE),)
    assert roster.promised(1, 2 * LIFE) and not roster.promised(1, 2 * LIFE)
    roster.heard(T, [News(1, 2 * LIFE, "alive")])
    again = Roster(T, 0, 3, 2, roster.floors)
    again.heard(T, [News(1, LIFE, "left")])
    assert again.left() == () and again.status(1) == "alive"


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=1300))
def test_bytes_of_any_kind_are_read_or_refused(data: bytes) -> None:
    try:
        words = read(data)
    except BadWords:
        return
    assert written(words) == data


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.sampled_from(KINDS), st.integers(0, 2**32 - 1), st.lists(NEWS, max_size=140))
def test_words_come_through_within_their_bound(kind: Any, sequence: int, some: list[News]) -> None:
    words = Words(kind, sequence, 3, digest_of(((1, 5),)), tuple(some))
    data = written(words)
    assert len(data) <= 1152 and read(data) == words._replace(news=tuple(some[:MOST_NEWS]))


# ---- parts -------------------------------------------------------------------------------------------------


def test_no_interleaving_of_a_small_fleet_gives_away_more_than_the_whole() -> None:
    sound = explored(12_000)
    assert sound.unsafe is None and sound.states == 12_000 and sound.steps > 20_000
    deep = explored(12_000, COMMON_MEMBER)
    assert deep.unsafe is None and deep.states == 12_000
    far = walked(3, 60, 40)
    assert far.unsafe is None and far.states > 1_000


def test_a_fault_that_is_planted_is_found_by_the_fewest_steps() -> None:
    found = explored(60_000, COMMON_MEMBER, "returns at once")
    assert (
        found.unsafe is not None and len(found.unsafe) == 6 and found.unsafe[:2] == ("0 leaves", "0 starts")
    )
    assert walked(1, 200, 40, ALL, "returns at once").unsafe is not None


@pytest.mark.parametrize("spoilt", ["", "floors are not kept", "loans count from the answer"])
def test_the_common_member_of_two_majorities_keeps_the_promise(spoilt: str) -> None:
    """0 leaves and comes back; 2 promises to know it, and may crash; 1 would have its loan renewed by 2."""
    w = explore.begun(spoilt)

    def take(word: str) -> None:
        nonlocal w
        w = next(new for name, new in explore.steps(w, COMMON_MEMBER, spoilt) if name == word)

    for word in ("0 leaves", "0 starts", "arrives: said 0 to 1"):
        take(word)
    if spoilt == "loans count from the answer":
        # 2 answers that it knows 0 has left, and the answer is long on its way.
        for word in ("arrives: said 0 to 2", "1 asks 2", "arrives: ask 1 to 2"):
            take(word)
    take("0 asks 2")
    for word in (
        "arrives: join 0 to 2",
        "arrives: promise 2 to 0",
        "time passes",
        "time passes",
        "time passes",
    ):
        take(word)
    assert w.safe() and w.parts[0] is not None and w.parts[0].may_take(w.now)
    if spoilt == "loans count from the answer":
        take("arrives: answer 2 to 1")
    else:
        for word in ("2 crashes", "2 starts", "arrives: said 0 to 2", "1 asks 2", "arrives: ask 1 to 2",
                     "arrives: answer 2 to 1"):  # fmt: skip
            take(word)
    assert w.safe() == (spoilt == ""), "found unsafe exactly where a fault is planted"


def test_a_part_is_lent_by_a_majority_and_taken_back_without_one() -> None:
    parts, left = Parts(0, 5, 10.0, False), ((4, LIFE),)
    assert parts.sharing(T, left) == 5
    parts.answered(1, T, left)
    assert parts.sharing(T, left) == 5, "two of five are no majority"
    parts.answered(2, T + 1, left)
    assert parts.sharing(T + 2, left) == 4 and parts.sharing(T + 10, left) == 5
    parts.answered(1, T + 5, left)
    parts.answered(2, T + 5, ())
    assert parts.sharing(T + 6, left) == 5, "one that knows of no leaver does not agree"
    back = Parts(4, 5, 10.0, True)
    back.promise(T, 1)
    assert back.sharing(T + 50, ()) == 0
    back.promise(T + 60, 2)
    assert back.sharing(T + 70, ()) == 0 and back.sharing(T + 70.1, ()) == 5


# ---- fleets in virtual time --------------------------------------------------------------------------------


def test_a_death_is_known_by_all_and_nobody_is_taken_for_dead_who_is_not() -> None:
    crowd = Crowd(30, loss=0.1)
    crowd.run(40.0)
    assert not any(status == "dead" for *_, status in crowd.became) and crowd.shares() <= 1.0
    crowd.stop(7)
    crowd.run(25.0)
    assert crowd.knows("dead", 7) == 1.0
    assert {member for _, _, member, status in crowd.became if status == "dead"} == {7}
    crowd.start(7)
    crowd.run(10.0)
    assert crowd.knows("alive", 7) == 1.0, "its new incarnation counts"


def test_a_wave_of_restarts_makes_nobody_doubt_for_good_and_a_parted_fleet_grows_together() -> None:
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
    assert crowd.knows("dead", 3) > 0.4 and crowd.shares() <= 1.0 + 1e-9
    crowd.parted = set()
    crowd.run(60.0)
    assert all(crowd.knows("alive", n) == 1.0 for n in range(20))


def test_who_leaves_for_good_lends_its_part_and_takes_it_back_safely() -> None:
    crowd = Crowd(5)
    crowd.run(5.0)
    crowd.leave(4, True)
    most = 0.0
    for _ in range(40):
        crowd.run(0.5)
        most = max(most, crowd.shares())
    lent = crowd.shares()
    assert lent == pytest.approx(1.0), "four share the whole"
    crowd.start(4)
    for _ in range(120):
        crowd.run(0.25)
        most = max(most, crowd.shares())
    back = crowd.all[4]
    assert back is not None and back.sharing(crowd.now)[0] == 5 and crowd.shares() == pytest.approx(1.0)
    assert most <= 1.0 + 1e-9, "never more than the whole, on the way there and back"


def test_one_that_stood_still_doubts_nobody_when_it_goes_on() -> None:
    crowd = Crowd(10)
    crowd.run(5.0)
    one = crowd.all[0]
    assert one is not None
    before = one.counts["doubts"]
    late = crowd.now + 30.0
    decisions = list(iter(lambda: one.decide(late), None))
    assert one.counts["doubts"] == before and one.slow > 0
    assert not any(isinstance(d, Became) for d in decisions)


def test_a_promise_is_on_disk_before_it_is_answered() -> None:
    one = Members(T, 0, 3, 1, random.Random(1))
    list(iter(lambda: one.decide(T), None))
    one.heard(T, 2, Words("join", 9, 0, b"\0" * 8, (News(2, 3 * LIFE, "alive"),)))
    due = [d for d in iter(lambda: one.decide(T), None) if not isinstance(d, Became)]
    assert due[0] == KeepFloors(((2, 3 * LIFE),))
    assert isinstance(due[1], Send) and due[1].to == 2 and due[1].words.kind == "promise"


def test_viewers_are_sent_to_a_gateway_that_is_there_of_their_hall_where_one_is() -> None:
    one = site().gateways[0]
    some = [msgspec.structs.replace(one, name=f"g{n}", at=f"a{n}", zone="xxy"[n]) for n in range(3)]
    chance = random.Random(1)
    assert {elsewhere("g0", some, lambda name: True, chance) for _ in range(20)} == {"a1"}
    assert elsewhere("g0", some, lambda name: name != "g1", chance) == "a2"
    assert elsewhere("g0", some, lambda name: False, chance) == ""


# ---- datagrams ---------------------------------------------------------------------------------------------


def three() -> Site:
    one = site(3)
    at = [f"127.0.0.1:{port}" for port in free_ports(3)]
    some = [msgspec.structs.replace(one.gateways[0], name=f"g{n}", members_at=at[n]) for n in range(3)]
    return msgspec.structs.replace(one, gateways=some)


def test_gateways_find_one_another_by_datagrams_and_strangers_are_not_heard(tmp_path: Path) -> None:
    some, loop, key = three(), Loop(), bytes(range(32))
    door = Door(T, random.Random(1), {"recorded": 1.0}, {"recorded": 0.8}, True, 5.0, gateways=3)

    def main() -> None:
        doorman = Doorman(door)
        first = Membership(loop, some, "g0", [key], tmp_path / "0", 1, doorman)
        second = Membership(loop, some, "g1", [key], tmp_path / "1", 2, None)
        stranger = Membership(loop, some, "g2", [bytes(32)], tmp_path / "2", 3, None)
        for _ in range(400):
            loop.sleep(0.02)
            if first.members.counts["answered"] and second.members.counts["answered"]:
                break
        assert first.told()["g1"] == second.told()["g0"] == "alive" and door.part.share(0.0) == 1 / 3
        assert first.frames.refused.get("mac", 0) + second.frames.refused.get("mac", 0) > 0
        assert stranger.members.counts["answered"] == 0
        first.leave(back_soon=False)
        for _ in range(200):
            loop.sleep(0.02)
            if second.told()["g0"] == "left":
                break
        assert second.told()["g0"] == "left" and not second.there("g0")
        first.close()
        again = Membership(loop, some, "g0", [key], tmp_path / "0", 1, doorman)
        assert again.life == 2 and again.members.parts.returning and door.part.share(0.0) == 0.0

    loop.run(main)
