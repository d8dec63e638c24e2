"""Membership in virtual time: how soon a death is known, false deaths under loss, bytes, parted fleets,
waves.

`python -m benchmarks.members [MEMBERS]`. The network is simulated.
"""

import heapq
import json
import random
import sys
from typing import Any

from ledgehitch.members.decide import Members, Send, StatusChanged
from ledgehitch.members.messages import decode, encode

FRAME = 52  # bytes of head and MAC around the words


class Crowd:
    def __init__(self, members: int, seed: int = 1, loss: float = 0.0) -> None:
        self.chance, self.loss, self.now, self.n = random.Random(seed), loss, 100.0, members
        self.all: dict[int, Members | None] = {}
        self.lives = dict.fromkeys(range(members), 0)
        self.events: list[tuple[float, int, int, int, bytes]] = []
        self.number = self.bytes = self.messages = 0
        self.became: list[tuple[float, int, int, str]] = []  # when, who believes, of whom, what
        self.parted: set[int] = set()
        for n in range(members):
            self.start(n)

    def start(self, n: int) -> None:
        self.lives[n] += 1
        chance = random.Random(f"{n}/{self.lives[n]}")
        self.all[n] = Members(self.now, n, self.n, self.lives[n], chance)

    def stop(self, n: int) -> None:
        self.all[n] = None

    def leave(self, n: int, for_good: bool) -> None:
        one = self.all[n]
        assert one is not None
        one.leave(self.now, for_good)
        self._pull(n)
        self.all[n] = None

    def run(self, seconds: float, step: float = 0.05) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += step
            while self.events and self.events[0][0] <= self.now:
                _, _, sender, to, data = heapq.heappop(self.events)
                one = self.all[to]
                if one is not None:
                    one.on_message(self.now, sender, decode(data))
                    self._pull(to)
            for n, one in self.all.items():
                if one is not None and one.wake_at() <= self.now:
                    self._pull(n)

    def _pull(self, n: int) -> None:
        one = self.all[n]
        assert one is not None
        while (decision := one.decide(self.now)) is not None:
            match decision:
                case Send(to, words):
                    data = encode(words)
                    self.bytes += len(data) + FRAME
                    self.messages += 1
                    apart = (n in self.parted) != (to in self.parted)
                    if not apart and self.chance.random() >= self.loss:
                        self.number += 1
                        late = self.now + self.chance.uniform(0.001, 0.05)
                        heapq.heappush(self.events, (late, self.number, n, to, data))
                case StatusChanged(member, status):
                    self.became.append((self.now, n, member, status))

    def knows(self, status: str, member: int) -> float:
        """The part of those that run and believe this of a member."""
        some = [one for n, one in self.all.items() if one is not None and n != member]
        return sum(one.roster.status(member) == status for one in some) / len(some)


def death(members: int, loss: float) -> dict[str, Any]:
    crowd = Crowd(members, loss=loss)
    crowd.run(40.0)  # the news that all have started is over
    crowd.bytes, before = 0, len(crowd.became)
    crowd.run(60.0)
    quiet_bytes = crowd.bytes / members / 60.0
    since = crowd.became[before:]
    false = len({(member, round(t / 20)) for t, _, member, status in since if status == "dead"})
    doubts = sum(status == "suspect" for *_, status in since)
    at = crowd.now
    crowd.stop(7)
    while crowd.knows("dead", 7) < 0.99 and crowd.now - at < 120.0:
        crowd.run(0.5)
    first = next((t - at for t, _, m, s in crowd.became if m == 7 and s == "dead" and t > at), None)
    return {
        "members_wrongly_dead_in_60_s": false,
        "doubts_heard": doubts,
        "bytes_a_member_a_second": round(quiet_bytes),
        "known_first_s": first and round(first, 1),
        "known_by_99%_s": round(crowd.now - at, 1),
    }


def wave(members: int) -> dict[str, Any]:
    """All restarted within 10 s, in order and killed; how many of those that run others took for dead."""
    found = {}
    for how in ("said so", "killed"):
        crowd = Crowd(members)
        crowd.run(10.0)
        before = len(crowd.became)
        order = list(range(members))
        crowd.chance.shuffle(order)
        back: list[tuple[float, int]] = []
        for i, n in enumerate(order):
            if how == "said so":
                crowd.leave(n, False)
            else:
                crowd.stop(n)
            heapq.heappush(back, (crowd.now + 2.0, n))
            while back and back[0][0] <= crowd.now:
                crowd.start(heapq.heappop(back)[1])
            if i % max(1, members // 100) == 0:
                crowd.run(0.1)
        while back:
            crowd.run(0.1)
            while back and back[0][0] <= crowd.now:
                crowd.start(heapq.heappop(back)[1])
        crowd.run(30.0)
        dead = sum(status == "dead" for _, _, _, status in crowd.became[before:])
        right = sum(crowd.knows("alive", n) for n in range(0, members, 7)) / len(range(0, members, 7))
        found[how] = {"deaths_believed": dead, "known_alive_after": round(right, 4)}
    return found


def parted(members: int) -> dict[str, Any]:
    """Half the fleet apart for 20 s; when all know all alive again."""
    crowd = Crowd(members)
    crowd.run(10.0)
    crowd.parted = set(range(members // 2))
    crowd.run(20.0)
    crowd.parted = set()
    at = crowd.now
    while crowd.now - at < 200.0:
        crowd.run(2.0)
        if all(crowd.knows("alive", n) == 1.0 for n in range(members)):
            break
    return {"together_after_s": round(crowd.now - at, 1)}


def main(members: int) -> dict[str, Any]:
    return {
        "members": members,
        "loss": {str(loss): death(members, loss) for loss in (0.0, 0.1, 0.3, 0.4)},
        "of_50": {str(loss): death(50, loss) for loss in (0.0, 0.3)},
        "wave": wave(members),
        "parted": parted(members),
    }


if __name__ == "__main__":
    print(json.dumps(main(int(sys.argv[1]) if sys.argv[1:] else 300), indent=1))
